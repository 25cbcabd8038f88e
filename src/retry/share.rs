//! Divides the retries that the platform allows among the entry hosts.

use std::time::{Duration, Instant};

use super::{FleetSize, WindowSettings};

/// Fraction of the allowed retries that is used: hosts count each other, and the requests that
/// earn retries, with a delay.
const USED_SHARE: f64 = 0.95;

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

/// This host's share of the allowed retries: what its own requests earn, and a part of the
/// slack once the number of hosts is known.
#[derive(Debug, Clone)]
pub struct RetryShare {
    bounds: RetryBounds,
    opened: Instant,
    size: FleetSize,
}

impl RetryShare {
    /// Creates the share of a process that started at `opened`.
    pub fn new(bounds: RetryBounds, opened: Instant) -> Self {
        Self {
            bounds,
            opened,
            size: FleetSize::default(),
        }
    }

    /// Applies a count of the hosts of the fleet; `None` if it may be incomplete.
    pub fn observe(&mut self, counted: Option<usize>, now: Instant) {
        self.size.observe(counted, now);
    }

    /// Returns the number of hosts among which the slack is divided; `None` while it is
    /// unknown and this host takes no slack.
    pub fn hosts(&self) -> Option<usize> {
        self.size.hosts()
    }

    /// Returns the limits of this host's budgets.
    pub fn settings(&self) -> WindowSettings {
        let slack = self
            .hosts()
            .map_or(0.0, |hosts| self.bounds.slack / hosts as f64);
        WindowSettings {
            window: self.bounds.window,
            ratio: self.bounds.ratio * USED_SHARE,
            slack: slack * USED_SHARE,
            opened: self.opened,
        }
    }
}
