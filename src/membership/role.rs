//! Which hosts of an availability zone work for the others, by what they have.

use std::cmp::Reverse;

use crate::ids::{HostId, HostWeight};

/// Hosts that one speaker serves on average at the most. Each reports to it four
/// times a second. The busiest speaker of a zone of 80 hosts and 40 engines has
/// 315 KB a second in both directions, an eighth of a link of 20 Mbit/s (400 hosts
/// played in memory); its processor time was not measured.
const HOSTS_PER_AGGREGATOR: usize = 24;
/// Up to how many hosts speak where fewer could serve all. Speakers tell each
/// other what they hear in one step, so that a zone of four hosts has no detour.
const PREFERRED_AGGREGATORS: usize = 4;
/// Thousandths of a core that count as much as one Mbit/s of a link. Not measured:
/// chosen so that a host with an eighth of a core and 20 Mbit/s is taken for what
/// its processor is, and one with half a core and 10 Mbit/s for what its link is.
const MILLICORES_PER_MBPS: f64 = 8.0;

/// A host that may be given duties.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleCandidate {
    /// The host.
    pub host: HostId,
    /// What it has for them.
    pub weight: HostWeight,
}

/// What a host with so much processor and so fast a link has for duties, in
/// doublings: hosts that differ by a little count as equal.
pub fn host_weight(cores: f64, link_mbps: f64) -> HostWeight {
    let scarcer = (cores * 1000.0).min(link_mbps * MILLICORES_PER_MBPS);
    scarcer.max(1.0).log2().round() as HostWeight
}

/// Puts hosts in the order in which they take duties: the strong ones first,
/// equal ones by name, so that all hosts agree without asking.
///
/// With the first by name in charge, whatever it had, a host with an eighth of a
/// core read the log, planned and spoke for a zone of 39 hosts, next to three
/// that had four times as much.
pub fn rank_hosts(candidates: &mut [RoleCandidate]) {
    candidates.sort_by(|left, right| {
        let weight = Reverse(left.weight).cmp(&Reverse(right.weight));
        weight.then_with(|| left.host.cmp(&right.host))
    });
}

/// How many hosts of a zone, the first ones in the order of duties, speak for
/// the others. What one of them serves does not grow with the zone.
pub fn aggregator_count(ranked: &[RoleCandidate]) -> usize {
    let Some(first) = ranked.first() else {
        return 0;
    };
    let heaviest = ranked.iter();
    let heaviest = heaviest.take_while(|candidate| candidate.weight == first.weight);
    let lower = ranked.len().div_ceil(HOSTS_PER_AGGREGATOR);
    let upper = lower.max(PREFERRED_AGGREGATORS);
    heaviest.count().clamp(lower, upper).min(ranked.len())
}
