//! How many steps are at a target, from fresh local counts and late reports.

use std::time::{Duration, Instant};

use crate::target::wire::LoadReport;

/// The last load report of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ReportedLoad {
    /// Steps at the target that other hosts had sent, as of the report.
    others: f64,
    /// When the figures were true.
    observed: Instant,
}

impl ReportedLoad {
    /// Takes in a report; `local` is what this host had there at that time,
    /// as near as it knows.
    pub(super) fn new(report: &LoadReport, local: f64, received: Instant) -> Self {
        let age = Duration::from_millis(report.age_ms);
        let total = f64::from(report.running) + f64::from(report.waiting);
        Self {
            others: (total - local).max(0.0),
            observed: received.checked_sub(age).unwrap_or(received),
        }
    }

    /// Steps of other hosts that are believed to be there now.
    ///
    /// An old report taken at its word sends every host to the target that
    /// was idle some time ago; one sees load swing between targets at the
    /// reporting interval. Fading it leaves the fresh local count to decide.
    pub(super) fn others(&self, decay: Duration, now: Instant) -> f64 {
        self.others * fade(now.saturating_duration_since(self.observed), decay)
    }

    /// When the figures were true.
    pub(super) fn observed(&self) -> Instant {
        self.observed
    }
}

/// Weight of something that was true `age` ago: 1 at first, 1/e at `decay`.
pub(super) fn fade(age: Duration, decay: Duration) -> f64 {
    if decay.is_zero() {
        return if age.is_zero() { 1.0 } else { 0.0 };
    }
    (-age.as_secs_f64() / decay.as_secs_f64()).exp()
}
