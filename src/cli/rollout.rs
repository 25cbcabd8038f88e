//! Computes how far a change has been applied by the hosts.

use serde::Serialize;

use crate::api::wire::{ForceView, HostForceView};
use crate::ids::{HostId, LogOffset};

/// Progress of a change across the hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutProgress {
    /// End offset that every host must have applied.
    pub required: LogOffset,
    /// Lowest applied end offset of all reachable hosts.
    pub in_force: LogOffset,
    /// Whether every host has applied the change.
    pub done: bool,
    /// Reachable hosts that have not applied the change.
    pub behind: Vec<HostLag>,
    /// Unreachable hosts, whatever they had applied.
    pub unreachable: Vec<HostLag>,
}

/// A host and the offset that it last reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HostLag {
    /// The host.
    pub host: HostId,
    /// Offset after the last record that the host has applied.
    pub applied: LogOffset,
}

impl RolloutProgress {
    /// Returns the version of the change: the offset of the last required record.
    pub fn version(&self) -> LogOffset {
        self.required.saturating_sub(1)
    }
}

/// Compares the hosts' applied offsets with the required end offset.
///
/// An unreachable host counts with the offset that it last reported. It is not left out,
/// since it may still be serving callers.
pub fn rollout_progress(view: &ForceView, required: LogOffset) -> RolloutProgress {
    let is_behind = |host: &&HostForceView| host.applied < required;
    let reachable = view.hosts.iter().filter(|host| host.reachable);
    let unreachable = view.hosts.iter().filter(|host| !host.reachable);
    RolloutProgress {
        required,
        in_force: view.in_force,
        done: view.in_force >= required && !view.hosts.iter().any(|host| is_behind(&host)),
        behind: reachable.filter(is_behind).map(HostLag::of).collect(),
        unreachable: unreachable.map(HostLag::of).collect(),
    }
}

/// Returns the end offset of the newest change that any host has applied.
pub(super) fn newest_applied(view: &ForceView) -> LogOffset {
    let applied = view.hosts.iter().map(|host| host.applied);
    applied.fold(view.in_force, LogOffset::max)
}

impl HostLag {
    fn of(host: &HostForceView) -> Self {
        Self {
            host: host.host.clone(),
            applied: host.applied,
        }
    }
}
