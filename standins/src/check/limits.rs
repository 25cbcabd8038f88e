//! Checks that all hosts together stay within the rate limit of a target.

use std::time::{Duration, Instant};

/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first advertisement of a limit until it has to be kept.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// Allowed excess over the limit: a factor, and a number of requests in addition.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// A limit that a target advertises, and the period in which it does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests per second.
    pub per_second: f64,
    /// When the target first advertised the limit.
    pub from: Instant,
    /// When the target last advertised the limit.
    pub until: Instant,
}

/// A window with more requests than a limit allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitViolation {
    /// End of the window.
    pub at: Instant,
    /// Number of requests that arrived in the window.
    pub arrived: usize,
    /// Number of requests that the limit allows in the window.
    pub allowed: f64,
}

impl AdvertisedLimit {
    /// Returns the number of requests that the limit allows in any window.
    pub fn allowed(&self) -> f64 {
        EXCESS_FACTOR * self.per_second * WINDOW.as_secs_f64() + EXCESS_REQUESTS
    }

    /// Returns the largest number of requests in a window that ends while the limit has
    /// to be kept. `arrivals` are sorted by time.
    pub fn most_in_window(&self, arrivals: &[Instant]) -> usize {
        self.windows(arrivals)
            .map(|(_, arrived)| arrived)
            .max()
            .unwrap_or(0)
    }

    /// Returns the worst violation by requests that arrived at these times, sorted by
    /// time. Windows that end while the limit has to be kept are checked, and requests in
    /// them that arrived before the limit was advertised count as well.
    pub fn worst_violation(&self, arrivals: &[Instant]) -> Option<LimitViolation> {
        let windows = self.windows(arrivals);
        let violations = windows.filter(|(_, arrived)| *arrived as f64 > self.allowed());
        let (at, arrived) = violations.max_by_key(|(_, arrived)| *arrived)?;
        Some(LimitViolation {
            at,
            arrived,
            allowed: self.allowed(),
        })
    }

    /// Returns the window that ends at each request: its end and the number of requests
    /// in it.
    fn windows(&self, arrivals: &[Instant]) -> impl Iterator<Item = (Instant, usize)> {
        let judged = self.from + ENFORCED_AFTER..=self.until;
        let ends = arrivals.iter().copied().enumerate();
        let ends = ends.filter(move |(_, at)| judged.contains(at));
        ends.map(|(newest, at)| {
            let oldest = arrivals.partition_point(|earlier| *earlier + WINDOW <= at);
            (at, newest + 1 - oldest)
        })
    }
}
