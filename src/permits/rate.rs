//! The rate limit of a target.

/// Requests per second that a target accepts from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit {
    per_second: f64,
}

impl RateLimit {
    /// Creates a limit; `None` unless the rate is a finite number of at least 0.
    pub fn new(per_second: f64) -> Option<Self> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then_some(Self { per_second })
    }

    /// Returns the limit in requests per second.
    pub fn per_second(self) -> f64 {
        self.per_second
    }
}
