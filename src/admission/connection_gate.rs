//! Decides whether a host takes new connections of callers.

use std::time::Duration;

/// Delay of this host's tasks from which it is overloaded. Events should pass a host within
/// 120 ms, and a request is delayed at several steps.
const OVERLOADED_LAG: Duration = Duration::from_millis(50);
/// Requests by which a host has to exceed the others of its zone together. One with a handful
/// of requests is slow for another reason.
const MIN_EXCESS: u32 = 8;

/// The requests of a host and of the others of its zone, each counted on all its targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneLoad {
    /// Requests of this host.
    pub own: u32,
    /// Requests of the other hosts together.
    pub others: u32,
    /// Number of other hosts.
    pub hosts: usize,
}

impl ZoneLoad {
    /// Returns whether this host has more requests than the others of its zone together.
    fn is_concentrated(self) -> bool {
        self.hosts > 0 && self.own > self.others.saturating_add(MIN_EXCESS)
    }
}

/// Refuses new connections while this host is overloaded and others of its zone are not.
///
/// A load balancer may send most connections to one host. A caller whose connection is
/// closed before a request was read comes back to another host, while a request that was read
/// has to be served here.
#[derive(Debug, Clone, Default)]
pub struct ConnectionGate {
    lag: Duration,
}

impl ConnectionGate {
    /// Records by how much a task of this host ran late. A smaller lag counts half of the one
    /// before, so that a burst does not pass between two observations.
    pub fn observe_lag(&mut self, lag: Duration) {
        self.lag = lag.max(self.lag / 2);
    }

    /// Returns whether the host is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.lag >= OVERLOADED_LAG
    }

    /// Returns whether a new connection is accepted. `load` is called if the host is
    /// overloaded.
    pub fn admits<F>(&self, load: F) -> bool
    where
        F: FnOnce() -> ZoneLoad,
    {
        !self.is_overloaded() || !load().is_concentrated()
    }
}
