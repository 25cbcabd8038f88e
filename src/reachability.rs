//! Judges from a host's connections to targets whether the host itself is cut off from
//! all of them.
//!
//! A connection that fails has two explanations: the target is down, or this host has lost
//! its links. Other targets tell them apart: while any of them accepts connections, the
//! links work.

use std::time::{Duration, Instant};

use crate::ids::TargetId;

/// Different targets in a row that have to fail before the host counts as isolated. Two
/// targets fail together now and then; three without a success in between are rare.
const ISOLATING_TARGETS: usize = 3;
/// Age after which a failure no longer counts. On a host with little traffic, targets that
/// crash hours apart would add up.
const EVIDENCE_AGE: Duration = Duration::from_secs(5);

/// A change of the judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No target accepts connections of this host.
    Isolated {
        /// Number of different targets that failed.
        targets: usize,
    },
    /// A target has accepted a connection.
    Restored {
        /// Time since the host counted as isolated.
        after: Duration,
    },
}

/// The results of this host's connections to targets.
#[derive(Debug, Default)]
pub struct ReachabilityTable {
    /// Targets that failed since the last success, and when.
    failed: Vec<(TargetId, Instant)>,
    isolated_since: Option<Instant>,
}

impl ReachabilityTable {
    /// Returns whether no target accepts connections of this host, as far as it knows.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Records that a target accepted a connection.
    pub fn observe_connected(&mut self, now: Instant) -> Option<ReachabilityChange> {
        self.failed.clear();
        let since = self.isolated_since.take()?;
        Some(ReachabilityChange::Restored {
            after: now.saturating_duration_since(since),
        })
    }

    /// Records that no connection to a target could be made. `known` is the number of
    /// targets that this host knows: a smaller fleet needs fewer failures.
    pub fn observe_failed(
        &mut self,
        target: &TargetId,
        known: usize,
        now: Instant,
    ) -> Option<ReachabilityChange> {
        if self.is_isolated() {
            return None;
        }
        self.failed
            .retain(|(id, at)| id != target && now < *at + EVIDENCE_AGE);
        self.failed.push((target.clone(), now));
        let targets = self.failed.len();
        if targets < ISOLATING_TARGETS.min(known.max(1)) {
            return None;
        }
        self.isolated_since = Some(now);
        Some(ReachabilityChange::Isolated { targets })
    }
}
