//! Limits of the reconciler.

use std::time::Duration;

/// Limits on the reconciler's concurrency and times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReconcileLimits {
    /// Maximum number of targets that load weights at the same time.
    pub concurrent_loads: usize,
    /// Time within which a target starts to execute an order or drops it.
    pub order_deadline: Duration,
    /// Age at which an observation is stale and the target is read again.
    pub observe_interval: Duration,
    /// Pause after a failed order.
    pub failure_backoff: Duration,
    /// How long a range is kept after it is no longer declared, so that runs on it can
    /// end.
    pub retain_for: Duration,
    /// How long a target that does not respond counts as loading weights, if it may be
    /// doing so.
    pub load_timeout: Duration,
}

impl Default for ReconcileLimits {
    fn default() -> Self {
        Self {
            concurrent_loads: 2,
            order_deadline: Duration::from_secs(1),
            observe_interval: Duration::from_secs(1),
            failure_backoff: Duration::from_secs(2),
            retain_for: Duration::from_secs(30),
            load_timeout: Duration::from_secs(60),
        }
    }
}
