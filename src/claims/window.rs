//! How long an idempotency key is accepted, and how far clocks may differ.

use std::time::{Duration, Instant, SystemTime};

use thiserror::Error;

/// Number of time marks that are written to the claim stream within one window.
const MARKS_PER_WINDOW: u32 = 4;

/// The current time by both clocks of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimTime {
    /// Monotonic clock, for deadlines on this host.
    pub instant: Instant,
    /// Wall clock, for the age of keys.
    pub wall: SystemTime,
}

/// The period after its creation within which a key is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimWindow {
    window: Duration,
    skew: Duration,
}

/// The log does not retain records long enough for the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the log must keep claims for more than {needed:?}, but keeps them for {horizon:?}")]
pub struct WindowError {
    /// Required retention of records; the actual one must be longer.
    pub needed: Duration,
    /// Actual retention of records.
    pub horizon: Duration,
}

impl ClaimWindow {
    /// Creates a window for a log that retains records for `horizon`, where the wall
    /// clocks of any two hosts differ by at most `skew`.
    ///
    /// # Errors
    ///
    /// Fails if records would expire before a starting host can learn from them that it
    /// knows every valid claim. That takes the window, two intervals between time marks,
    /// and three times the skew for the clocks involved.
    pub fn new(window: Duration, skew: Duration, horizon: Duration) -> Result<Self, WindowError> {
        let needed = window + window * 2 / MARKS_PER_WINDOW + skew * 3;
        if horizon <= needed {
            return Err(WindowError { needed, horizon });
        }
        Ok(Self { window, skew })
    }

    /// Returns whether a key created at `created` is too old at `now`.
    pub fn is_expired(&self, created: SystemTime, now: SystemTime) -> bool {
        created + self.window < now
    }

    /// Returns whether a key's creation time is further in the future than the clock skew
    /// explains.
    pub fn is_from_future(&self, created: SystemTime, now: SystemTime) -> bool {
        created > now + self.skew
    }

    /// Returns the time from which every key that was claimed before `before` has
    /// expired.
    ///
    /// It adds the skew twice: the claimant's clock may be ahead by the skew, and the
    /// claimant accepts keys whose creation time is ahead of its clock by the skew.
    pub(super) fn all_expired_at(&self, before: SystemTime) -> SystemTime {
        before + self.window + self.skew * 2
    }

    /// Returns the creation time before which keys need not be kept at `now`.
    pub(super) fn prune_before(&self, now: SystemTime) -> SystemTime {
        now.checked_sub(self.window + self.skew * 2)
            .unwrap_or(SystemTime::UNIX_EPOCH)
    }

    /// Returns the interval between time marks.
    pub(super) fn mark_interval(&self) -> Duration {
        self.window / MARKS_PER_WINDOW
    }
}
