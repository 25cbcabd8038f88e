//! Retry-After for requests refused during overload.

use std::time::{Duration, Instant};

/// Minimum Retry-After. A zone that is short of engines stays so for seconds. A caller
/// that comes back earlier, for example after 0.5 s, is refused again and lost, while one
/// that is served late is not.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum Retry-After. Overload caused by lost engines lasts some seconds, until their
/// layers are loaded again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time constant of the exponential decay of both counters.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Maximum jitter as a fraction of the Retry-After: callers that are refused at the same
/// moment must not come back at the same moment.
const MAX_JITTER: f64 = 0.5;

/// Exponentially decaying counters of refusals and starts.
#[derive(Debug, Clone, Default)]
pub struct OverloadGauge {
    refused: f64,
    started: f64,
    updated_at: Option<Instant>,
}

impl OverloadGauge {
    /// Counts a started request.
    pub fn count_start(&mut self, now: Instant) {
        self.decay(now);
        self.started += 1.0;
    }

    /// Counts a refused request and returns its Retry-After; `random` is a random number
    /// from 0 to 1.
    ///
    /// With as many refusals as starts, the load is twice the capacity, and a returning
    /// caller has to wait twice as long for a free slot.
    pub fn count_refusal(&mut self, now: Instant, random: f64) -> Duration {
        self.decay(now);
        self.refused += 1.0;
        let excess = self.refused / self.started.max(1.0);
        let wait = MIN_RETRY_AFTER
            .mul_f64(1.0 + 2.0 * excess)
            .min(MAX_RETRY_AFTER);
        wait.mul_f64(1.0 + MAX_JITTER * random)
    }

    /// Counts a request that was refused because all targets pause, and returns its
    /// Retry-After. `pause` is the time until the first target is available again, `random`
    /// a random number from 0 to 1.
    ///
    /// Callers come back after the end of that pause, spread over the time that it takes
    /// to start as many requests as were refused.
    pub fn count_paused_refusal(&mut self, pause: Duration, now: Instant, random: f64) -> Duration {
        self.decay(now);
        self.refused += 1.0;
        let excess = self.refused / self.started.max(1.0);
        let spread = DECAY_TIME.mul_f64(excess).min(MAX_RETRY_AFTER);
        pause + spread.mul_f64(random)
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
