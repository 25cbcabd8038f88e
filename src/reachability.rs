//! Judges from a host's connections which targets it reaches by its own links.
//!
//! A connection that fails has two explanations: the target is down, or this host has lost
//! its link to it. Two kinds of evidence tell them apart. While no target at all accepts
//! connections, the host counts as isolated. And where another host reaches a target that
//! this one does not, the target counts as blocked. In both cases requests go through a
//! gateway, another host that reaches the target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::TargetId;

/// Different targets in a row that have to fail before the host counts as isolated. Two
/// targets fail together now and then; three without a success in between are rare.
const ISOLATING_TARGETS: usize = 3;
/// Fewest targets that have to fail in a small fleet: a single one may be down.
const MIN_TARGETS: usize = 2;
/// Age after which a failure no longer counts. On a host with little traffic, targets that
/// crash hours apart would add up.
const EVIDENCE_AGE: Duration = Duration::from_secs(5);
/// Probes in a row that have to succeed before the link to a target counts as restored.
const REQUIRED_PROOFS: u32 = 2;
/// Probes in a row that have to succeed before an isolation ends. A host that reaches a few
/// of the targets would otherwise be isolated and restored by turns.
const ISOLATION_PROOFS: u32 = 4;
/// Interval between two rounds of probes over lost links, and the targets of a round.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBED_TARGETS: usize = 4;

/// How a host sends a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetWay {
    /// Over its own link.
    Direct,
    /// Through another host.
    Gateway,
}

/// A change of the judgement about this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No target accepts connections of this host.
    Isolated {
        /// Number of different targets that failed.
        targets: usize,
    },
    /// Targets accept connections again.
    Restored {
        /// Time since the host counted as isolated.
        after: Duration,
    },
    /// A blocked target accepts connections again.
    Unblocked {
        /// Time since the target counted as blocked.
        after: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct BlockedTarget {
    since: Instant,
    proofs: u32,
}

/// The results of this host's connections to targets.
#[derive(Debug, Default)]
pub struct ReachabilityTable {
    /// Targets that failed since the last success, and when.
    failed: Vec<(TargetId, Instant)>,
    isolated_since: Option<Instant>,
    /// Connections in a row that succeeded while the host counted as isolated.
    proofs: u32,
    /// Targets that other hosts reach and this one does not.
    blocked: BTreeMap<TargetId, BlockedTarget>,
    last_probe: Option<Instant>,
    /// Number of targets probed so far, which selects the next ones in rotation.
    probed: usize,
}

impl ReachabilityTable {
    /// Returns whether no target accepts connections of this host, as far as it knows.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns whether this host may be cut off from all targets, so that a target that it
    /// does not reach may be reached by others.
    pub fn is_doubtful(&self) -> bool {
        const DOUBTFUL_TARGETS: usize = 2;
        self.is_isolated() || self.failed.len() >= DOUBTFUL_TARGETS
    }

    /// Returns how to send a request to a target.
    pub fn way(&self, target: &str) -> TargetWay {
        match self.is_isolated() || self.blocked.contains_key(target) {
            true => TargetWay::Gateway,
            false => TargetWay::Direct,
        }
    }

    /// Records that a target accepted a connection.
    pub fn observe_connected(
        &mut self,
        target: &TargetId,
        now: Instant,
    ) -> Option<ReachabilityChange> {
        self.failed.clear();
        let unblocked = self.observe_proof(target, now);
        let Some(since) = self.isolated_since else {
            return unblocked;
        };
        self.proofs += 1;
        if self.proofs < ISOLATION_PROOFS {
            return None;
        }
        self.isolated_since = None;
        Some(ReachabilityChange::Restored {
            after: now.saturating_duration_since(since),
        })
    }

    fn observe_proof(&mut self, target: &TargetId, now: Instant) -> Option<ReachabilityChange> {
        let blocked = self.blocked.get_mut(target)?;
        blocked.proofs += 1;
        if blocked.proofs < REQUIRED_PROOFS {
            return None;
        }
        let after = now.saturating_duration_since(blocked.since);
        self.blocked.remove(target);
        Some(ReachabilityChange::Unblocked { after })
    }

    /// Records that no connection to a target could be made. `known` is the number of
    /// targets that this host knows: a smaller fleet needs fewer failures.
    pub fn observe_failed(
        &mut self,
        target: &TargetId,
        known: usize,
        now: Instant,
    ) -> Option<ReachabilityChange> {
        self.proofs = 0;
        if let Some(blocked) = self.blocked.get_mut(target) {
            blocked.proofs = 0;
        }
        if self.is_isolated() {
            return None;
        }
        let blocked = &self.blocked;
        let is_valid = |id: &TargetId, at: Instant| {
            // Other hosts reach a blocked target, so that it is not down.
            blocked.contains_key(id) || now < at + EVIDENCE_AGE
        };
        self.failed
            .retain(|(id, at)| id != target && is_valid(id, *at));
        self.failed.push((target.clone(), now));
        let targets = self.failed.len();
        if targets < ISOLATING_TARGETS.min(known.max(MIN_TARGETS)) {
            return None;
        }
        self.isolated_since = Some(now);
        Some(ReachabilityChange::Isolated { targets })
    }

    /// Records that another host reaches a target to which this one could not connect.
    /// Returns whether that was unknown.
    pub fn observe_blocked(&mut self, target: &TargetId, now: Instant) -> bool {
        let is_new = !self.blocked.contains_key(target);
        let blocked = self.blocked.entry(target.clone());
        blocked.or_insert(BlockedTarget {
            since: now,
            proofs: 0,
        });
        is_new
    }

    /// Returns whether links to targets are lost, so that some are to be probed.
    pub fn has_lost_links(&self) -> bool {
        self.is_isolated() || !self.blocked.is_empty()
    }

    /// Forgets a target that has left.
    pub fn forget(&mut self, target: &str) {
        self.blocked.remove(target);
        self.failed.retain(|(id, _)| **id != *target);
    }

    /// Returns the targets to probe now over this host's own links, and records the round.
    /// `known` are the targets that this host knows.
    ///
    /// Only probes end an isolation. Requests of callers would be delayed by those that
    /// fail, and be lost where the link fails later.
    pub fn due_probes<'a, I>(&mut self, known: I, now: Instant) -> Vec<TargetId>
    where
        I: Iterator<Item = &'a TargetId>,
    {
        let is_due = self
            .last_probe
            .is_none_or(|last| now >= last + PROBE_INTERVAL);
        let candidates = match self.is_isolated() {
            _ if !is_due => Vec::new(),
            true => known.cloned().collect(),
            false => self.blocked.keys().cloned().collect::<Vec<_>>(),
        };
        if candidates.is_empty() {
            return candidates;
        }
        self.last_probe = Some(now);
        let count = PROBED_TARGETS.min(candidates.len());
        let first = self.probed;
        self.probed = self.probed.wrapping_add(count);
        let rotation = candidates.iter().cycle().skip(first % candidates.len());
        rotation.take(count).cloned().collect()
    }
}
