//! Selects the host that issues the permits for a target, and the share of the limit that
//! it may issue.

use crate::ids::{HostId, TargetKey};
use crate::rendezvous::top_ranked;

/// Number of hosts of a zone that issue permits.
const ISSUING_HOSTS: usize = 4;
/// Seed of the hash that distributes targets over these hosts.
const ASSIGNMENT_SEED: u64 = 0x7065_726d;
/// Share of the known hosts that has to be alive for the whole limit to be issued.
const FULL_LIMIT_SHARE: f64 = 0.8;

/// Returns the host that issues the permits for a target. `hosts` are the hosts of a zone
/// in the order of their ranking.
pub fn issuing_host(target: TargetKey, hosts: &[HostId]) -> Option<HostId> {
    let key = format!("{target:016x}");
    let candidates = hosts.iter().take(ISSUING_HOSTS).map(AsRef::as_ref);
    let chosen = top_ranked(ASSIGNMENT_SEED, &key, candidates, 1).pop()?;
    hosts.iter().find(|host| ***host == *chosen).cloned()
}

/// Returns the share of a limit that a side of a partition with `live` of `known` hosts
/// issues. The sides cannot distinguish a partition from a failure of the other side, so
/// together they may exceed the limit by a quarter at most.
pub fn issued_share(live: usize, known: usize) -> f64 {
    let share = live as f64 / known.max(live).max(1) as f64;
    (share / FULL_LIMIT_SHARE).min(1.0)
}
