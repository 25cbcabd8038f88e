//! Who takes duties in an availability zone.

use jackdawwick::membership::{RoleCandidate, aggregator_count, host_weight, rank_hosts};
use proptest::prelude::*;

fn candidates(strengths: &[u32]) -> Vec<RoleCandidate> {
    let hosts = strengths.iter().enumerate();
    let hosts = hosts.map(|(number, weight)| RoleCandidate {
        host: format!("host-{number:03}").as_str().into(),
        weight: *weight,
    });
    hosts.collect()
}

/// Symptom: a zone of 39 hosts waits for one with an eighth of a core. Sequence:
/// that host comes first by name. Cause: duties went by name alone.
#[test]
fn the_strong_come_first_and_equal_ones_by_name() {
    let mut ranked = candidates(&[6, 8, 6, 8]);
    ranked.reverse();
    rank_hosts(&mut ranked);
    let names = ranked.iter().map(|candidate| &*candidate.host);
    let names = names.collect::<Vec<_>>();
    assert_eq!(names, ["host-001", "host-003", "host-000", "host-002"]);
}

#[test]
fn a_host_is_as_strong_as_what_it_has_least_of() {
    let strong = host_weight(0.5, 200.0);
    assert!(strong > host_weight(0.12, 20.0));
    assert!(strong > host_weight(0.5, 10.0));
    assert_eq!(host_weight(0.25, 1000.0), host_weight(0.26, 1000.0));
    assert_eq!(host_weight(0.0, 0.0), 0);
}

#[test]
fn only_strong_hosts_speak_while_there_are_enough() {
    let zone = |strong: usize, weak: usize| {
        let strengths = [vec![8; strong], vec![6; weak]].concat();
        aggregator_count(&candidates(&strengths))
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

    /// No speaker serves more hosts than it can, however many there are.
    #[test]
    fn what_a_speaker_serves_is_bounded(strengths in prop::collection::vec(5_u32..9, 1..400)) {
        let mut ranked = candidates(&strengths);
        rank_hosts(&mut ranked);
        let aggregators = aggregator_count(&ranked);
        prop_assert!(aggregators >= 1);
        prop_assert!(ranked.len() <= aggregators * 24);
    }
}
