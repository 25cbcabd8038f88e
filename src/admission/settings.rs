//! What can be set about admission.

use std::time::Duration;

/// Settings of an [`super::AdmissionTable`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Requests that may wait in one organisation's queue.
    pub queue_length: usize,
    /// Requests that may wait in all queues together.
    pub total_queue_length: usize,
    /// Seconds of its rate that an organisation may start at once after a pause.
    pub rate_burst: Duration,
    /// Shortest Retry-After before jitter.
    pub min_retry_after: Duration,
    /// Longest Retry-After before jitter.
    pub max_retry_after: Duration,
    /// Largest jitter, as a fraction of the Retry-After.
    pub jitter: f64,
    /// Time over which refusals count as demand.
    pub demand_window: Duration,
    /// How long requests may wait while this host holds no share of their
    /// organisation at all, for another host may be about to give one up.
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
