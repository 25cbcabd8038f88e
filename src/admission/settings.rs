//! Settings of admission control.

use std::time::Duration;

/// Settings of an [`super::AdmissionTable`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum number of waiting requests per organisation.
    pub queue_length: usize,
    /// Maximum number of waiting requests of all organisations together.
    pub total_queue_length: usize,
    /// Burst size: how many seconds of its rate an organisation may start at once after a
    /// pause.
    pub rate_burst: Duration,
    /// Minimum Retry-After before jitter.
    pub min_retry_after: Duration,
    /// Maximum Retry-After before jitter.
    pub max_retry_after: Duration,
    /// Maximum jitter as a fraction of the Retry-After.
    pub jitter: f64,
    /// Window in which refusals count as demand.
    pub demand_window: Duration,
    /// How long requests may wait while this host holds no share of their organisation,
    /// as another host may be about to release one.
    pub share_grace: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue_length: 256,
            total_queue_length: 4_096,
            rate_burst: Duration::from_millis(100),
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(30),
            jitter: 0.5,
            demand_window: Duration::from_secs(1),
            share_grace: Duration::ZERO,
        }
    }
}
