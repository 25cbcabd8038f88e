//! Legal ranges and defaults of numbers and durations.

use std::time::Duration;

/// Legal range and default of a number.
#[derive(Debug, Clone, Copy)]
pub(super) struct NumberRange<N> {
    pub(super) min: N,
    pub(super) max: N,
    pub(super) default: N,
}

/// Legal range and default of a duration.
pub(super) type DurationRange = NumberRange<Duration>;

impl DurationRange {
    /// Creates a range in milliseconds.
    pub(super) const fn millis(min: u64, max: u64, default: u64) -> Self {
        Self {
            min: Duration::from_millis(min),
            max: Duration::from_millis(max),
            default: Duration::from_millis(default),
        }
    }
}

impl<N> NumberRange<N>
where
    N: Copy + PartialOrd,
{
    /// Creates a range with inclusive ends.
    pub(super) const fn new(min: N, max: N, default: N) -> Self {
        Self { min, max, default }
    }

    /// Returns the number if it is in the range.
    pub(super) fn check(self, number: N) -> Option<N> {
        (self.min <= number && number <= self.max).then_some(number)
    }
}
