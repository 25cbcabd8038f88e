//! The rate that a target names.

/// Requests a second that a target takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RateLimit {
    per_second: f64,
}

impl RateLimit {
    /// `None` unless the rate is a finite number of 0 or more.
    pub fn new(per_second: f64) -> Option<Self> {
        let valid = per_second.is_finite() && per_second >= 0.0;
        valid.then_some(Self { per_second })
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.per_second
    }
}
