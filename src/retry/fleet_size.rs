//! The number of entry hosts among which a bound of the whole fleet is divided.

use std::time::{Duration, Instant};

/// Time for which a count must not have grown before it is used: hosts that start together
/// learn of each other within about two seconds.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time for which a larger count is kept. Hosts that start again report fewer hosts than
/// there are, and a silent host is forgotten after 30 s although it may come back.
const HOLD_TIME: Duration = Duration::from_secs(60);

/// The largest number of hosts that was counted lately.
///
/// A number that is too small lets the hosts together exceed the bound that they divide, so
/// that it is unknown until a complete count has settled, and shrinks late.
#[derive(Debug, Clone, Default)]
pub struct FleetSize {
    largest: Option<LargestCount>,
    is_settled: bool,
}

#[derive(Debug, Clone, Copy)]
struct LargestCount {
    hosts: usize,
    grown_at: Instant,
    last_seen: Instant,
}

impl FleetSize {
    /// Applies a count of the hosts; `None` if it may be incomplete.
    pub fn observe(&mut self, counted: Option<usize>, now: Instant) {
        let Some(hosts) = counted else { return };
        let largest = self.largest.get_or_insert(LargestCount {
            hosts,
            grown_at: now,
            last_seen: now,
        });
        let is_held = now.saturating_duration_since(largest.last_seen) < HOLD_TIME;
        match hosts {
            _ if hosts > largest.hosts => {
                largest.hosts = hosts;
                largest.grown_at = now;
                largest.last_seen = now;
            }
            _ if hosts == largest.hosts => largest.last_seen = now,
            _ if is_held => {}
            _ => {
                largest.hosts = hosts;
                largest.last_seen = now;
            }
        }
        self.is_settled |= now.saturating_duration_since(largest.grown_at) >= SETTLE_TIME;
    }

    /// Returns the number of hosts; `None` while it is unknown.
    pub fn hosts(&self) -> Option<usize> {
        let largest = self.largest.filter(|_| self.is_settled)?;
        Some(largest.hosts)
    }
}
