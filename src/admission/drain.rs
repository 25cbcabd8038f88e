//! How fast an organisation's requests end while others wait.

use std::time::{Duration, Instant};

/// Weight of a new interval in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Intervals after which the measured rate is used.
const SAMPLES_NEEDED: u32 = 8;
/// Age after which a measurement is no longer believed.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// Moving average of the time between two ends of requests.
///
/// Only intervals that began under pressure count, that is with somebody
/// waiting or refused: an idle organisation ends requests as slowly as they
/// come, and would be thought slow.
///
/// Refusals have to count as pressure. After a stall the average is so long
/// that every arrival is refused and nobody waits; if only waiting counted,
/// no further interval would be measured and one would see an organisation
/// refused for good although its slots come free.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct DrainRate {
    interval: f64,
    samples: u32,
    under_pressure: bool,
    last_end: Option<Instant>,
    last_sample: Option<Instant>,
}

impl DrainRate {
    /// Records that a request had to wait or was refused.
    pub(super) fn record_pressure(&mut self) {
        self.under_pressure = true;
    }

    /// Records the end of a request; `waiting` tells whether others wait.
    pub(super) fn record_end(&mut self, waiting: bool, now: Instant) {
        if let Some(last) = self.last_end {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            self.interval = match self.samples {
                0 => sample,
                _ => self.interval + SAMPLE_WEIGHT * (sample - self.interval),
            };
            self.samples = self.samples.saturating_add(1);
            self.last_sample = Some(now);
        }
        self.last_end = (waiting || self.under_pressure).then_some(now);
        self.under_pressure = false;
    }

    /// Measured time between two ends, if it is known well enough.
    pub(super) fn interval(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.last_sample?);
        match self.samples {
            samples if samples < SAMPLES_NEEDED => None,
            _ if age > STALE_AFTER => None,
            _ => Duration::try_from_secs_f64(self.interval).ok(),
        }
    }

    /// Forgets the measurement, because the limits changed.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}
