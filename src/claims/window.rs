//! How long an idempotency key may be used, and by how much clocks may differ.

use std::time::{Duration, Instant, SystemTime};

use thiserror::Error;

/// Time marks that the stream of claims gets within one window.
const MARKS_PER_WINDOW: u32 = 4;

/// The present, by both clocks of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTime {
    /// Monotonic clock, for deadlines on this host.
    pub instant: Instant,
    /// Wall clock, for the age of keys.
    pub wall: SystemTime,
}

/// The window within which a key is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWindow {
    window: Duration,
    skew: Duration,
}

/// The log keeps records too briefly for the window asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the log must keep claims for more than {needed:?}, but keeps them for {horizon:?}")]
pub struct WindowError {
    /// How long records must be kept.
    pub needed: Duration,
    /// How long they are kept.
    pub horizon: Duration,
}

impl ClaimWindow {
    /// A window over a log that keeps records for `horizon`, where the wall
    /// clocks of any two hosts differ by at most `skew`.
    ///
    /// # Errors
    ///
    /// Fails if records would expire before a starting host could learn from
    /// them that it knows every claim that still counts. That takes the
    /// window, two time marks, and the skew of the clocks involved.
    pub fn new(window: Duration, skew: Duration, horizon: Duration) -> Result<Self, WindowError> {
        let needed = window + window * 2 / MARKS_PER_WINDOW + skew * 3;
        if horizon <= needed {
            return Err(WindowError { needed, horizon });
        }
        Ok(Self { window, skew })
    }

    /// Whether a key is too old at `now`.
    pub fn is_expired(&self, created: SystemTime, now: SystemTime) -> bool {
        created + self.window < now
    }

    /// Whether a key claims to come from further ahead than clocks may differ.
    pub fn is_from_future(&self, created: SystemTime, now: SystemTime) -> bool {
        created > now + self.skew
    }

    /// From when on no key counts that was claimed before `before`.
    ///
    /// The claimant's clock may have been ahead by the skew, and it takes
    /// keys that are ahead of its clock by the skew.
    pub(super) fn all_expired_at(&self, before: SystemTime) -> SystemTime {
        before + self.window + self.skew * 2
    }

    /// Keys made before this need not be remembered at `now`.
    pub(super) fn prune_before(&self, now: SystemTime) -> SystemTime {
        now.checked_sub(self.window + self.skew * 2)
            .unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// How far apart time marks are.
    pub(super) fn mark_interval(&self) -> Duration {
        self.window / MARKS_PER_WINDOW
    }
}
