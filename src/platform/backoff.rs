//! Jittered exponential backoff between attempts at a call.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Doublings after which the delay stops growing, against overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Bounds of the delay between attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

/// Bounds for calls to the platform: quick at first, then once a second.
impl Default for BackoffPolicy {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            max: Duration::from_secs(1),
        }
    }
}

impl BackoffPolicy {
    /// The delay after `failures` failures in a row (one or more).
    ///
    /// Drawn between half the bound and the bound, so that hosts which lost
    /// the platform at the same moment do not come back at the same moment.
    pub fn delay<R>(&self, failures: u32, generator: &mut R) -> Duration
    where
        R: Rng,
    {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(1 << doublings).min(self.max);
        bound.mul_f64(generator.random_range(0.5..=1.0))
    }
}
