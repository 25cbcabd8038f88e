//! Whether a host reads the platform's log itself, and how often it retries.

use std::time::Duration;

use tokio::sync::watch;

/// Maximum doublings of the pause after failed reads by a fallback reader: a pause of 0.6 s
/// becomes 4.8 s.
const MAX_DOUBLINGS: u32 = 3;

/// How a host gets the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogRole {
    /// Follows another host of the zone.
    Follower,
    /// Reads the log itself, and other hosts rely on it.
    Reader,
    /// Reads the log for itself alone, since no host that it follows has the log.
    FallbackReader,
}

impl LogRole {
    /// Returns whether the host reads the log itself.
    pub fn is_reader(self) -> bool {
        self != Self::Follower
    }

    /// Returns the pause after `failures` consecutive failed reads, where `usual` is the
    /// pause after one.
    ///
    /// While the log is down for all, every host of the fleet tries to read it; each call
    /// costs money and adds to the load under which the log recovers. The three readers of
    /// a zone keep retrying. The other hosts poll them four times a second and follow the
    /// first that has the log again, so that they lose nothing by retrying less often.
    pub fn retry_pause(self, usual: Duration, failures: u32) -> Duration {
        match self {
            Self::FallbackReader => {
                usual * 2_u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS))
            }
            Self::Reader | Self::Follower => usual,
        }
    }
}

/// Waits until the host has to read the log itself; returns `None` if the sender of roles
/// was dropped.
pub(super) async fn wait_for_reader_role(role: &mut watch::Receiver<LogRole>) -> Option<LogRole> {
    let current = role.wait_for(|role| role.is_reader()).await;
    current.ok().map(|current| *current)
}
