//! Amounts of capacity.

use std::iter::Sum;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::admission::ShareLimit;
use crate::resources::CapacitySpec;

/// Seconds per minute.
pub(crate) const MINUTE_SECONDS: u32 = 60;

/// Amounts of both kinds of capacity; operations apply to each kind separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShareUnits {
    /// Maximum number of requests in flight.
    pub concurrent_requests: u32,
    /// Maximum number of starts per minute; the per-second rate of a small organisation
    /// is too small to divide over the hosts of a zone.
    pub requests_per_minute: u32,
}

impl ShareUnits {
    /// No capacity.
    pub const NONE: Self = Self::new(0, 0);

    /// Creates an amount.
    pub const fn new(concurrent_requests: u32, requests_per_minute: u32) -> Self {
        Self {
            concurrent_requests,
            requests_per_minute,
        }
    }

    /// Returns the minimum of two amounts for each kind.
    #[must_use]
    pub fn lower(self, other: Self) -> Self {
        self.zip(other, u32::min)
    }

    /// Returns the maximum of two amounts for each kind.
    #[must_use]
    pub fn higher(self, other: Self) -> Self {
        self.zip(other, u32::max)
    }

    /// Returns whether neither kind exceeds that of `limit`.
    pub fn is_within(self, limit: Self) -> bool {
        self.lower(limit) == self
    }

    fn zip<F>(self, other: Self, combine: F) -> Self
    where
        F: Fn(u32, u32) -> u32,
    {
        Self {
            concurrent_requests: combine(self.concurrent_requests, other.concurrent_requests),
            requests_per_minute: combine(self.requests_per_minute, other.requests_per_minute),
        }
    }
}

impl Add for ShareUnits {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.zip(other, u32::saturating_add)
    }
}

/// Subtraction saturates at zero: if more is counted as used than exists, nothing is
/// free.
impl Sub for ShareUnits {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }
}

impl Sum for ShareUnits {
    fn sum<I>(units: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        units.fold(Self::NONE, Add::add)
    }
}

impl From<CapacitySpec> for ShareUnits {
    fn from(capacity: CapacitySpec) -> Self {
        Self::new(
            capacity.concurrent_requests,
            capacity.requests_per_second.saturating_mul(MINUTE_SECONDS),
        )
    }
}

impl From<ShareUnits> for ShareLimit {
    fn from(units: ShareUnits) -> Self {
        Self {
            concurrent_requests: units.concurrent_requests,
            requests_per_minute: units.requests_per_minute,
        }
    }
}
