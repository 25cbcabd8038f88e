//! Selects by capacity the hosts of an availability zone that work for the others.

use std::cmp::{Ordering, Reverse};

use crate::ids::{HostId, HostWeight};

/// Maximum mean number of hosts per aggregator. Each host reports to its aggregator four
/// times a second. In a zone of 80 hosts and 40 engines the busiest aggregator transfers
/// 315 KB/s in both directions together, an eighth of a link of 20 Mbit/s.
const HOSTS_PER_AGGREGATOR: usize = 24;
/// Maximum number of equally heavy hosts that are aggregators although fewer could serve
/// the zone. Aggregators exchange what they receive in one step, so that a zone of four
/// hosts needs no second step.
const PREFERRED_AGGREGATORS: usize = 4;
/// Thousandths of a core that weigh as much as one Mbit/s of a link. With this ratio the
/// processor limits a host with an eighth of a core and 20 Mbit/s, and the link limits a
/// host with half a core and 10 Mbit/s.
const MILLICORES_PER_MBPS: f64 = 8.0;

/// A host that may take a role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleCandidate {
    /// The host.
    pub host: HostId,
    /// Its capacity for roles.
    pub weight: HostWeight,
}

/// Returns the weight of a host: the rounded base-2 logarithm of its capacity, which the
/// scarcer of processor and link limits. Hosts of almost the same capacity weigh the
/// same.
pub fn host_weight(cores: f64, link_mbps: f64) -> HostWeight {
    let scarcer = (cores * 1000.0).min(link_mbps * MILLICORES_PER_MBPS);
    scarcer.max(1.0).log2().round() as HostWeight
}

/// Sorts hosts by rank: the heaviest first, hosts of equal weight by name. All hosts
/// compute the same ranking without an agreement.
///
/// Ranking by name alone would let a host with an eighth of a core read the log, plan and
/// aggregate for a zone of 39 hosts, even if three others have four times its capacity.
pub fn rank_hosts(candidates: &mut [RoleCandidate]) {
    candidates.sort_by(compare_ranks);
}

/// Compares the ranks of two hosts. The higher rank is the lesser one.
pub(crate) fn compare_ranks(left: &RoleCandidate, right: &RoleCandidate) -> Ordering {
    let weight = Reverse(left.weight).cmp(&Reverse(right.weight));
    weight.then_with(|| left.host.cmp(&right.host))
}

/// Returns how many hosts of a zone, taken from the head of the ranking, are aggregators.
/// The load on each does not grow with the zone.
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
