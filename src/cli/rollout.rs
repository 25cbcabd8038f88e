//! Judges how far a change is in force.

use serde::Serialize;

use crate::api::wire::{ForceView, HostForceView};
use crate::ids::{HostId, LogOffset};

/// How far a change is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RolloutProgress {
    /// End offset that every host must have applied.
    pub required: LogOffset,
    /// Lowest applied end offset over the hosts that can be reached.
    pub in_force: LogOffset,
    /// Whether every host has applied it.
    pub done: bool,
    /// Hosts that can be reached and have not applied it.
    pub behind: Vec<HostLag>,
    /// Hosts that cannot be reached, whatever they had applied.
    pub unreachable: Vec<HostLag>,
}

/// A host and how far it was when last heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct HostLag {
    /// The host.
    pub host: HostId,
    /// Offset after the last record that it has applied.
    pub applied: LogOffset,
}

impl RolloutProgress {
    /// Version of the change: the offset of the last record required.
    pub fn version(&self) -> LogOffset {
        self.required.saturating_sub(1)
    }
}

/// Judges a view against the end offset that is required.
///
/// A host that cannot be reached counts with what it was last heard to have
/// applied: it is not left out, since it may go on serving callers.
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

/// The end offset of the newest change that any host has applied.
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
