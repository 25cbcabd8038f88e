//! Ranking of the hosts of an availability zone for roles.

use jackdawwick::membership::{RoleCandidate, aggregator_count, host_weight, rank_hosts};
use proptest::prelude::*;

fn candidates(weights: &[u32]) -> Vec<RoleCandidate> {
    let hosts = weights.iter().enumerate();
    let hosts = hosts.map(|(number, weight)| RoleCandidate {
        host: format!("host-{number:03}").as_str().into(),
        weight: *weight,
    });
    hosts.collect()
}

/// Guards against a ranking by name alone, with which a zone of 39 hosts waits for a
/// leader with an eighth of a core.
#[test]
fn hosts_are_ranked_by_weight_and_then_by_name() {
    let mut ranked = candidates(&[6, 8, 6, 8]);
    ranked.reverse();
    rank_hosts(&mut ranked);
    let names = ranked.iter().map(|candidate| &*candidate.host);
    let names = names.collect::<Vec<_>>();
    assert_eq!(names, ["host-001", "host-003", "host-000", "host-002"]);
}

#[test]
fn host_weight_is_limited_by_the_scarcer_resource() {
    let heavy = host_weight(0.5, 200.0);
    assert!(heavy > host_weight(0.12, 20.0));
    assert!(heavy > host_weight(0.5, 10.0));
    assert_eq!(host_weight(0.25, 1000.0), host_weight(0.26, 1000.0));
    assert_eq!(host_weight(0.0, 0.0), 0);
}

#[test]
fn the_heaviest_hosts_are_aggregators_while_there_are_enough() {
    let zone = |heavy: usize, light: usize| {
        let weights = [vec![8; heavy], vec![6; light]].concat();
        aggregator_count(&candidates(&weights))
    };
    assert_eq!(zone(0, 0), 0);
    assert_eq!(zone(0, 3), 3);
    assert_eq!(zone(3, 36), 3);
    assert_eq!(zone(1, 2), 1);
    assert_eq!(zone(1, 36), 2);
    assert_eq!(zone(0, 26), 4);
    assert_eq!(zone(0, 200), 9);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// No aggregator serves more hosts than it can, however many hosts there are.
    #[test]
    fn hosts_per_aggregator_are_bounded(weights in prop::collection::vec(5_u32..9, 1..400)) {
        let mut ranked = candidates(&weights);
        rank_hosts(&mut ranked);
        let aggregators = aggregator_count(&ranked);
        prop_assert!(aggregators >= 1);
        prop_assert!(ranked.len() <= aggregators * 24);
    }
}
