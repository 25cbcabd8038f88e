//! Delays between attempts.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Parameters of the exponential backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffSettings {
    /// Upper bound of the first delay.
    pub first: Duration,
    /// Upper bound of any delay.
    pub longest: Duration,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first: Duration::from_millis(5),
            longest: Duration::from_secs(1),
        }
    }
}

/// Number of doublings after which the bound is always `longest`.
const MAX_DOUBLINGS: u32 = 20;

/// Returns the delay before a retry, drawn uniformly between half the bound and the bound.
///
/// `failures` counts the failures so far, from zero; the bound doubles with each. The
/// jitter keeps callers that failed together from retrying together, which would cause
/// waves of load at the doubling times.
pub fn backoff_delay<R>(settings: BackoffSettings, failures: u32, rng: &mut R) -> Duration
where
    R: Rng + ?Sized,
{
    let doublings = failures.min(MAX_DOUBLINGS);
    let bound = settings.first.saturating_mul(1 << doublings);
    let bound = bound.min(settings.longest);
    bound.mul_f64(rng.random_range(0.5..=1.0))
}
