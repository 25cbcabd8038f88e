//! Tests when a host takes its count of the hosts for the size of the fleet.

use std::time::{Duration, Instant};

use jackdawwick::ids::ZoneId;
use jackdawwick::membership::GossipTable;
use jackdawwick::platform::configuration_record::parse_configuration;
use jackdawwick::retry::FleetSize;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a host that divides a bound by the hosts that it knows right after its
/// start.
#[test]
fn a_growing_count_is_not_used() {
    let start = Instant::now();
    let mut size = FleetSize::default();
    for (second, counted) in [(1, 1), (2, 20), (3, 61), (4, 61)] {
        size.observe(Some(counted), start + SECOND * second);
        assert_eq!(size.hosts(), None, "after {second} s");
    }
    size.observe(Some(61), start + SECOND * 5);
    assert_eq!(size.hosts(), Some(61));
}

/// Guards against a share that grows because a host that has just started reports few hosts.
#[test]
fn a_smaller_count_is_used_late_and_a_larger_one_at_once() {
    let start = Instant::now();
    let mut size = FleetSize::default();
    for second in 0..4 {
        size.observe(Some(61), start + SECOND * second);
    }
    for second in 4..63 {
        size.observe(Some(20), start + SECOND * second);
        assert_eq!(size.hosts(), Some(61), "after {second} s");
    }
    size.observe(Some(20), start + SECOND * 63);
    assert_eq!(size.hosts(), Some(20));
    size.observe(Some(72), start + SECOND * 64);
    assert_eq!(size.hosts(), Some(72));
}

/// Guards against a known size that is given up because the view is incomplete for a while.
#[test]
fn an_incomplete_count_changes_nothing() {
    let start = Instant::now();
    let mut size = FleetSize::default();
    size.observe(None, start);
    assert_eq!(size.hosts(), None);
    for second in 0..4 {
        size.observe(Some(8), start + SECOND * second);
    }
    size.observe(None, start + SECOND * 100);
    assert_eq!(size.hosts(), Some(8));
}

fn table(seeds: &[u16]) -> GossipTable {
    let seeds = seeds.iter().map(|port| ([10, 0, 0, 1], *port).into());
    let own = ([10, 0, 0, 1], 1).into();
    GossipTable::new("a".into(), "z".into(), own, seeds.collect())
}

/// Guards against a host that starts cut off from all others and takes itself for the fleet.
#[test]
fn a_host_that_has_heard_of_no_other_has_no_complete_count() {
    let zones: [ZoneId; 1] = ["z".into()];
    let now = Instant::now();
    assert_eq!(table(&[1, 2]).complete_count(&zones, now), None);
    assert_eq!(table(&[1]).complete_count(&zones, now), Some(1));
}

/// Guards against a host that starts in a zone that is cut off and does not miss the others.
#[test]
fn a_declared_zone_without_known_hosts_makes_a_count_incomplete() {
    let body = r#"{"version": 1, "services": [{"name": "s", "health_path": "/h", "engine": {
        "kv_token_bytes": 1, "step_ms": 1, "per_seq_ms": 1, "context_per_k": 1,
        "read_per_s": 1, "delays": [{"from": "z", "to": "y", "delay_ms": 0.3}]}}]}"#;
    let configuration = parse_configuration(body.as_bytes()).expect("a valid configuration");
    assert_eq!(configuration.zones.len(), 2);
    assert_eq!(
        table(&[1]).complete_count(&configuration.zones, Instant::now()),
        None
    );
}
