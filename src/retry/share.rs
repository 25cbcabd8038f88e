//! Divides the retries that the platform allows among the entry hosts.

use std::time::{Duration, Instant};

use super::WindowSettings;

/// Minimum number of hosts among which the slack is divided until the other hosts are
/// known.
const MIN_HOSTS: usize = 12;
/// Fraction of the allowed retries that is used, as hosts count each other with a delay.
const USED_SHARE: f64 = 0.9;
/// Time after a start within which the other hosts become known.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Retries that the platform allows for one service, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Time over which retries are counted.
    pub window: Duration,
    /// Retries that each request earns.
    pub ratio: f64,
    /// Retries allowed in each window beyond the earned ones.
    pub slack: f64,
}

/// This host's share of the allowed retries.
#[derive(Debug, Clone)]
pub struct RetryShare {
    bounds: RetryBounds,
    started: Instant,
    hosts: usize,
}

impl RetryShare {
    /// Creates the share of a process that started at `started` and knows no other host.
    pub fn new(bounds: RetryBounds, started: Instant) -> Self {
        Self {
            bounds,
            started,
            hosts: MIN_HOSTS,
        }
    }

    /// Adjusts the share to the number of known hosts.
    pub fn observe(&mut self, known: usize, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        self.hosts = match known {
            2.. if age >= SETTLE_TIME => known,
            _ => known.max(MIN_HOSTS),
        };
    }

    /// Returns the number of hosts among which the retries are divided.
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Returns the limits of this host's budgets.
    pub fn settings(&self) -> WindowSettings {
        WindowSettings {
            window: self.bounds.window,
            ratio: self.bounds.ratio * USED_SHARE,
            slack: self.bounds.slack * USED_SHARE / self.hosts as f64,
            opened: self.started,
        }
    }
}
