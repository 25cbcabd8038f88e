//! How fast an organisation's requests end while others wait.

use std::time::{Duration, Instant};

/// Weight of a new interval in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Intervals after which the measured rate is used.
const SAMPLES_NEEDED: u32 = 8;

/// Moving average of the time between two ends of requests.
///
/// Only intervals during which somebody waited count: an idle organisation
/// ends requests as slowly as they come, and would be thought slow.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct DrainRate {
    interval: f64,
    samples: u32,
    last: Option<Instant>,
}

impl DrainRate {
    /// Records the end of a request; `waiting` tells whether others wait.
    pub(super) fn ended(&mut self, waiting: bool, now: Instant) {
        if let Some(last) = self.last {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            self.interval = match self.samples {
                0 => sample,
                _ => self.interval + SAMPLE_WEIGHT * (sample - self.interval),
            };
            self.samples = self.samples.saturating_add(1);
        }
        self.last = waiting.then_some(now);
    }

    /// Measured time between two ends, if it is known well enough.
    pub(super) fn interval(&self) -> Option<Duration> {
        match self.samples {
            samples if samples < SAMPLES_NEEDED => None,
            _ => Duration::try_from_secs_f64(self.interval).ok(),
        }
    }

    /// Forgets the measurement, because the limits changed.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}
