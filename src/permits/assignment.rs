//! Which host hands out the permits for a target, and how much of the limit.

use crate::ids::{HostId, TargetKey};
use crate::rendezvous::top_ranked;

/// Hosts of a zone that share the duty.
const ISSUING_HOSTS: usize = 4;
/// Seed of the hash that spreads targets over them.
const ASSIGNMENT_SEED: u64 = 0x7065_726d;
/// Part of the known hosts that has to live for the whole limit to be handed out.
const FULL_LIMIT_SHARE: f64 = 0.8;

/// The host among `hosts`, the first ones of a zone in the order of duties, that hands
/// out the permits for a target.
pub fn issuing_host(target: TargetKey, hosts: &[HostId]) -> Option<HostId> {
    let key = format!("{target:016x}");
    let candidates = hosts.iter().take(ISSUING_HOSTS).map(AsRef::as_ref);
    let chosen = top_ranked(ASSIGNMENT_SEED, &key, candidates, 1).pop()?;
    hosts.iter().find(|host| ***host == *chosen).cloned()
}

/// The part of a limit that the side of a partition with `live` of `known` hosts hands
/// out: the sides cannot tell a partition from the other side's end, and together stay
/// within the limit and a quarter of it.
pub fn issued_share(live: usize, known: usize) -> f64 {
    let share = live as f64 / known.max(live).max(1) as f64;
    (share / FULL_LIMIT_SHARE).min(1.0)
}
