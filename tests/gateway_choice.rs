//! The choice of the host through which a request is sent to a target.

use std::time::{Duration, Instant};

use jackdawwick::gateway::{GatewayCandidate, GatewayResult, GatewayTable};
use jackdawwick::ids::HostId;

fn candidate(host: &str, zone: &str) -> GatewayCandidate {
    GatewayCandidate {
        host: host.into(),
        zone: zone.into(),
        address: ([10, 0, 0, 1], 7340).into(),
    }
}

fn fleet() -> Vec<GatewayCandidate> {
    ["a1", "a2", "b1", "b2"]
        .map(|host| candidate(host, &host[..1]))
        .to_vec()
}

fn choose(table: &GatewayTable, tried: &[HostId], now: Instant) -> Option<HostId> {
    let chosen = table.choose(&fleet(), "a", tried, now, || 0.5);
    chosen.map(|chosen| chosen.host)
}

#[test]
fn hosts_of_the_own_zone_are_chosen_until_they_are_loaded() {
    let now = Instant::now();
    let mut table = GatewayTable::default();
    let mut chosen = Vec::new();
    for _ in 0..12 {
        let host = choose(&table, &[], now).expect("a gateway");
        table.observe_start(&host);
        chosen.push(host);
    }
    assert!(chosen[..8].iter().all(|host| host.starts_with('a')));
    assert!(chosen[8..].iter().any(|host| host.starts_with('b')));
    for host in &chosen {
        table.observe_end(host);
    }
    assert!(choose(&table, &[], now).is_some_and(|host| host.starts_with('a')));
}

/// Guards against repeated requests to hosts that are cut off as well.
#[test]
fn hosts_that_are_isolated_are_avoided_for_a_while_and_proven_ones_preferred() {
    let now = Instant::now();
    let mut table = GatewayTable::default();
    for host in ["a1", "a2"] {
        table.observe_result(&host.into(), GatewayResult::Isolated, now);
    }
    table.observe_proof(&"b2".into(), now);
    let later = now + Duration::from_millis(1900);
    assert_eq!(choose(&table, &[], later).as_deref(), Some("b2"));
    assert_eq!(choose(&table, &["b2".into()], later).as_deref(), Some("b1"));
    let tried = ["b1".into(), "b2".into()];
    assert_eq!(choose(&table, &tried, later), None);
    let end = now + Duration::from_millis(2100);
    assert!(choose(&table, &tried, end).is_some());
}

#[test]
fn results_about_the_target_do_not_exclude_the_gateway() {
    let now = Instant::now();
    let mut table = GatewayTable::default();
    for result in [
        GatewayResult::Refused,
        GatewayResult::Unreachable,
        GatewayResult::Unavailable,
        GatewayResult::Broken,
    ] {
        table.observe_result(&"a1".into(), result, now);
    }
    let others = ["a2".into(), "b1".into(), "b2".into()];
    assert_eq!(choose(&table, &others, now).as_deref(), Some("a1"));
    table.observe_failure(&"a1".into(), now);
    assert_eq!(choose(&table, &others, now), None);
}

#[test]
fn every_result_is_read_back_by_its_name() {
    assert_eq!(
        GatewayResult::from_name(GatewayResult::Isolated.name()),
        Some(GatewayResult::Isolated)
    );
    assert_eq!(GatewayResult::from_name("something else"), None);
}
