//! Exponential backoff with jitter between attempts of a call.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Limit on doublings, so that the factor cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Bounds of the delay between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

/// Bounds for calls to the platform: quick retries at first, later at most one second
/// apart.
impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            max: Duration::from_secs(1),
        }
    }
}

impl BackoffPolicy {
    /// Returns the delay after `failures` consecutive failures (one or more).
    ///
    /// It is random between half of the bound and the bound, so that hosts that lost the
    /// platform at the same moment do not all retry at once.
    pub fn delay<R>(&self, failures: u32, generator: &mut R) -> Duration
    where
        R: Rng,
    {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(1 << doublings).min(self.max);
        bound.mul_f64(generator.random_range(0.5..=1.0))
    }
}
