//! Whether a host reads the platform's log itself, and how often it tries.

use std::time::Duration;

use tokio::sync::watch;

/// Doublings of the pause after failed reads by a host that stands in: a pause
/// of 0.6 s becomes 4.8 s.
const MAX_DOUBLINGS: u32 = 3;

/// Who reads the platform's log for a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogRole {
    /// Another host of the zone.
    Follower,
    /// The host itself, and others rely on it.
    Reader,
    /// The host itself, for itself alone, since no host that it follows has the
    /// log.
    FallbackReader,
}

impl LogRole {
    /// Whether the host reads the log itself.
    pub fn is_reader(self) -> bool {
        self != Self::Follower
    }

    /// Pause after so many failed reads in a row, where `usual` is the pause
    /// after one.
    ///
    /// While the log is down for all, every host of the fleet tries to read it,
    /// and each call is priced and adds to the load under which it comes back.
    /// The three hosts that read for their zone go on trying; the others ask them
    /// four times a second and follow whoever has the log again, so that they
    /// lose nothing by trying less often themselves.
    pub fn retry_pause(self, usual: Duration, failures: u32) -> Duration {
        match self {
            Self::FallbackReader => {
                usual * 2_u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS))
            }
            Self::Reader | Self::Follower => usual,
        }
    }
}

/// Waits until the host has to read the log itself; `None` if it never will,
/// since nobody is left to say so.
pub(super) async fn wait_for_reader_role(role: &mut watch::Receiver<LogRole>) -> Option<LogRole> {
    let current = role.wait_for(|role| role.is_reader()).await;
    current.ok().map(|current| *current)
}
