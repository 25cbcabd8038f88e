//! Rate at which an organisation's requests end while others wait.

use std::time::{Duration, Instant};

/// Weight of a new interval in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of intervals after which the measured rate is used.
const SAMPLES_NEEDED: u32 = 8;
/// Age after which a measurement is discarded.
const STALE_AFTER: Duration = Duration::from_secs(10);

/// Moving average of the time between two completed requests.
///
/// Only intervals that began under pressure count, that is, with a request waiting or
/// refused. The requests of an idle organisation end as slowly as they arrive, which says
/// nothing about how fast it could be served.
///
/// Refusals have to count as pressure. After a stall the average is so long that every
/// arrival is refused and the queue stays empty. If only waiting requests counted, no
/// further interval would be measured, and the organisation would be refused forever
/// although its slots become free.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct DrainRate {
    /// Moving average, in seconds.
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

    /// Records the end of a request; `waiting` is true if others wait.
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

    /// Returns the measured time between two ends, or `None` with too few or only old
    /// samples.
    pub(super) fn interval(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.last_sample?);
        match self.samples {
            samples if samples < SAMPLES_NEEDED => None,
            _ if age > STALE_AFTER => None,
            _ => Duration::try_from_secs_f64(self.interval).ok(),
        }
    }

    /// Discards the measurement after a change of limits.
    pub(super) fn reset(&mut self) {
        *self = Self::default();
    }
}
