//! Bounds on what the reconciler does.

use std::time::Duration;

/// Bounds on what the reconciler does at once, and for how long it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReconcileLimits {
    /// Targets that may fetch weights at the same time.
    pub concurrent_loads: usize,
    /// Time within which a target begins an order or drops it.
    pub order_deadline: Duration,
    /// How old an observation may become before the target is asked again.
    pub observe_interval: Duration,
    /// Pause after a failed order.
    pub failure_backoff: Duration,
    /// For how long a range is kept after it is no longer declared, so that
    /// runs on it can end.
    pub retain_for: Duration,
    /// For how long a target that does not answer counts as fetching weights,
    /// if it may do so.
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
