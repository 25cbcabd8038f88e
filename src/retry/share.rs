//! Divides the retries that the platform allows among the entry hosts.

use std::time::{Duration, Instant};

use super::WindowSettings;

/// Minimum number of hosts among which the slack is divided until the other hosts are
/// known.
const MIN_HOSTS: usize = 12;
/// Fraction of the allowed retries that is used, as hosts count each other with a delay.
const USED_SHARE: f64 = 0.9;
/// Fraction of this host's share in the first window after a start: the previous process
/// may have used its share already.
const START_SHARE: f64 = 0.3;
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
    settings: WindowSettings,
}

impl RetryShare {
    /// Creates the share of a process that started at `started` and knows no other host.
    pub fn new(bounds: RetryBounds, started: Instant) -> Self {
        Self {
            bounds,
            started,
            hosts: MIN_HOSTS,
            settings: settings(bounds, MIN_HOSTS, START_SHARE),
        }
    }

    /// Adjusts the share to the number of known hosts.
    pub fn observe(&mut self, known: usize, now: Instant) {
        let age = now.saturating_duration_since(self.started);
        self.hosts = match known {
            2.. if age >= SETTLE_TIME => known,
            _ => known.max(MIN_HOSTS),
        };
        let part = match age >= self.bounds.window {
            true => 1.0,
            false => START_SHARE,
        };
        self.settings = settings(self.bounds, self.hosts, part);
    }

    /// Returns the number of hosts among which the retries are divided.
    pub fn hosts(&self) -> usize {
        self.hosts
    }

    /// Returns the limits of this host's budgets.
    pub fn settings(&self) -> WindowSettings {
        self.settings
    }
}

fn settings(bounds: RetryBounds, hosts: usize, part: f64) -> WindowSettings {
    WindowSettings {
        window: bounds.window,
        ratio: bounds.ratio * USED_SHARE,
        slack: bounds.slack * USED_SHARE * part / hosts as f64,
    }
}
