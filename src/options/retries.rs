//! Section `[retries]`: retry budget and outlier ejection.

use std::time::Duration;

use super::range::{DurationRange, NumberRange};
use super::section::SectionReader;

const BUDGET_RATIO: NumberRange<f64> = NumberRange::new(0.0, 1.0, 0.1);
const BURST: NumberRange<u32> = NumberRange::new(0, 10_000, 10);
const EJECTION_FAILURES: NumberRange<u32> = NumberRange::new(1, 1000, 5);
const EJECTION_TIME: DurationRange = DurationRange::millis(10, 600_000, 5000);
const EJECTION_FRACTION: NumberRange<f64> = NumberRange::new(0.0, 1.0, 0.3);

/// Retry budget and outlier ejection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryOptions {
    /// Retries allowed per first attempt, on average over time.
    pub budget_ratio: f64,
    /// Maximum number of retries at once when the budget is full.
    pub burst: u32,
    /// Conditions for ejecting a failing target.
    pub ejection: EjectionOptions,
}

/// Conditions for ejecting a failing target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EjectionOptions {
    /// Consecutive failures that eject a target.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; later ones last longer.
    pub base_time: Duration,
    /// Maximum fraction of a group of targets that may be ejected at once.
    pub max_fraction: f64,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<RetryOptions> {
    let budget_ratio = section.fraction("budget_ratio", BUDGET_RATIO);
    let burst = section.integer("burst", BURST);
    let consecutive_failures = section.integer("ejection_failures", EJECTION_FAILURES);
    let base_time = section.duration("ejection_time", EJECTION_TIME);
    let max_fraction = section.fraction("ejection_max_fraction", EJECTION_FRACTION);
    Some(RetryOptions {
        budget_ratio: budget_ratio?,
        burst: burst?,
        ejection: EjectionOptions {
            consecutive_failures: consecutive_failures?,
            base_time: base_time?,
            max_fraction: max_fraction?,
        },
    })
}
