//! A target that limits its rate of requests gets no more than that from all
//! hosts together.

use std::time::{Duration, Instant};

/// Any span of this length counts.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first naming of a limit until it has to be kept.
const ENFORCED_AFTER: Duration = Duration::from_secs(3);
/// What may come beyond the limit: a part of it, and requests besides.
const EXCESS_FACTOR: f64 = 1.5;
const EXCESS_REQUESTS: f64 = 5.0;

/// A limit, from its first naming to its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests a second.
    pub per_second: f64,
    /// When the target first named it.
    pub from: Instant,
    /// When it named it last.
    pub until: Instant,
}

/// More requests in a window than a limit allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitViolation {
    /// End of the window.
    pub at: Instant,
    /// Requests that came in it.
    pub arrived: usize,
    /// Requests that the limit allows in it.
    pub allowed: f64,
}

impl AdvertisedLimit {
    /// Requests that it allows in any window.
    pub fn allowed(&self) -> f64 {
        EXCESS_FACTOR * self.per_second * WINDOW.as_secs_f64() + EXCESS_REQUESTS
    }

    /// Most requests in a window that ends while the limit has to be kept; the moments
    /// are in order of time.
    pub fn most_in_window(&self, arrivals: &[Instant]) -> usize {
        self.windows(arrivals)
            .map(|(_, arrived)| arrived)
            .max()
            .unwrap_or(0)
    }

    /// The worst breach by requests that came at these moments, in order of time.
    /// Windows that end while the limit has to be kept count, also what came in
    /// them before the limit was named.
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

    /// The windows that end with each request, and what came in them.
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
