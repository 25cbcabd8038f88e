//! Simulates hundreds of entry hosts in memory: the control traffic of each, the age of
//! its state, and its membership view after losses.

use std::collections::BTreeSet;
use std::time::Duration;

use jackdawwick::fleet::TargetLoad;
use models::fleet::{SimFleet, zone_name};

/// Maximum control traffic of a host, in bytes per second.
const MAX_HOST_BYTES_PER_S: usize = 22_000;
/// Maximum control traffic of an aggregator of a zone of 80 hosts, in multiples of that
/// of other hosts.
const AGGREGATOR_FACTOR: usize = 16;
/// Time until the membership of a new fleet has converged.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time over which traffic is counted.
const COUNT_TIME: Duration = Duration::from_secs(4);

fn settled(zones: usize, hosts_each: usize, engines: usize) -> SimFleet {
    let mut fleet = SimFleet::new(zones, hosts_each, engines);
    fleet.run_for(SETTLE_TIME);
    fleet
}

/// Returns the bytes per second of the busiest host that is no aggregator and of the
/// busiest aggregator.
fn busiest(fleet: &mut SimFleet) -> (usize, usize) {
    fleet.reset_counters();
    fleet.run_for(COUNT_TIME);
    let now = fleet.now;
    let most = |aggregates: bool| {
        let hosts = fleet.hosts.iter();
        let hosts = hosts.filter(|host| host.gossip.is_aggregator(now) == aggregates);
        let bytes = hosts.map(|host| host.bytes / COUNT_TIME.as_secs() as usize);
        bytes.max().unwrap_or(0)
    };
    (most(false), most(true))
}

/// Guards against control traffic that grows with the number of hosts: with 195 hosts
/// that exchanged views pairwise, packets of callers queued behind control traffic on
/// links of 20 Mbit/s, and one request in four was late.
#[test]
fn control_traffic_of_a_host_does_not_grow_with_the_fleet() {
    let (small, small_aggregator) = busiest(&mut settled(5, 20, 40));
    let (large, large_aggregator) = busiest(&mut settled(5, 80, 40));
    assert!(
        large <= MAX_HOST_BYTES_PER_S,
        "control traffic of a host: {large} B/s"
    );
    assert!(
        large <= small + small / 10,
        "control traffic of a host grows from {small} to {large} B/s"
    );
    let budget = AGGREGATOR_FACTOR * MAX_HOST_BYTES_PER_S;
    assert!(
        small_aggregator <= budget,
        "control traffic of an aggregator: {small_aggregator} B/s"
    );
    assert!(
        large_aggregator <= budget,
        "control traffic of an aggregator: {large_aggregator} B/s"
    );
}

/// The sums of a zone reach each of its hosts within 625 ms, and the leaders of other
/// zones within 1.5 s.
#[test]
fn requests_of_one_host_reach_all_hosts() {
    let mut fleet = settled(5, 80, 4);
    let zone = zone_name(2);
    let members = fleet.live_hosts_in(&zone);
    let target = format!("i-{zone}-0");
    let before = members.iter().map(|index| fleet.near(*index, &target));
    let before = before.collect::<Vec<_>>();
    let reporter = members[70];
    let load = TargetLoad {
        requests: 1000,
        reserved: 1.0,
        unread: 0.0,
    };
    fleet.hosts[reporter].fleet.observe_start(&target, load);
    fleet.run_for(Duration::from_millis(625));
    for (index, before) in members.iter().zip(before) {
        let known = fleet.near(*index, &target);
        let expected = if *index == reporter {
            before
        } else {
            before + 1000
        };
        assert_eq!(known, expected, "{}", fleet.hosts[*index].name);
    }
    fleet.run_for(Duration::from_secs(1));
    let now = fleet.now;
    let leaders = fleet.hosts.iter().filter(|host| host.gossip.is_leader(now));
    let elsewhere = leaders.filter(|host| *host.zone != *zone);
    let sums = elsewhere.map(|host| host.fleet.get(&target).expect("known").remote.requests);
    let sums = sums.collect::<Vec<_>>();
    assert_eq!(sums.len(), 4);
    assert!(sums.iter().all(|sum| *sum > 1000), "{sums:?}");
}

/// No request is counted twice or left out once nothing changes.
#[test]
fn zone_sums_equal_the_requests_of_the_hosts() {
    let fleet = settled(3, 30, 4);
    let zone = zone_name(0);
    let members = fleet.live_hosts_in(&zone);
    for target in 0..4 {
        let target = format!("i-{zone}-{target}");
        let own = |index: &usize| {
            fleet.hosts[*index]
                .fleet
                .get(&target)
                .expect("known")
                .own
                .requests
        };
        let all = members.iter().map(own).sum::<u32>();
        for index in &members {
            assert_eq!(fleet.near(*index, &target) + own(index), all);
        }
    }
}

/// Returns the distinct lists of live hosts that the hosts of a zone have, and their
/// distinct leaders.
fn live_views(fleet: &SimFleet, zone: &str) -> (BTreeSet<Vec<String>>, BTreeSet<String>) {
    let mut live = BTreeSet::new();
    let mut first = BTreeSet::new();
    for index in fleet.live_hosts_in(zone) {
        let hosts = fleet.hosts[index].gossip.live_hosts(zone, fleet.now);
        let hosts = hosts.iter().map(ToString::to_string).collect::<Vec<_>>();
        first.insert(hosts[0].clone());
        live.insert(hosts);
    }
    (live, first)
}

fn assert_converged(fleet: &SimFleet, zone: &str) {
    let (live, first) = live_views(fleet, zone);
    assert_eq!(first.len(), 1, "leaders differ: {first:?}");
    assert_eq!(live.len(), 1, "{} different views", live.len());
    let live_view = live
        .first()
        .expect("one")
        .iter()
        .cloned()
        .collect::<BTreeSet<_>>();
    let real = fleet.live_hosts_in(zone).into_iter();
    let real = real.map(|index| fleet.hosts[index].name.to_string());
    assert_eq!(live_view, real.collect::<BTreeSet<_>>());
}

/// All hosts of a zone know each other a few seconds after a simultaneous start with
/// three seeds.
#[test]
fn membership_converges_when_all_hosts_start_at_once() {
    let fleet = settled(5, 80, 1);
    for zone in 0..5 {
        assert_converged(&fleet, &zone_name(zone));
    }
    let counts = fleet.hosts.iter().map(|host| host.gossip.known_count());
    let counts = counts.collect::<BTreeSet<_>>();
    assert_eq!(counts, BTreeSet::from([400]));
}

/// Guards against hosts that never hear of some others because views cross on their way.
#[test]
fn hosts_that_are_added_are_counted_by_all_although_views_are_late() {
    let mut fleet = SimFleet::new(3, 20, 1);
    fleet.view_delay = Duration::from_millis(125);
    let added = (0..60).filter(|index| index % 20 > 7).collect::<Vec<_>>();
    for index in &added {
        fleet.hosts[*index].alive = false;
    }
    fleet.run_for(SETTLE_TIME * 2);
    for index in added {
        fleet.hosts[index].alive = true;
    }
    fleet.run_for(SETTLE_TIME * 3);
    let counts = fleet.hosts.iter().map(|host| host.gossip.known_count());
    assert_eq!(counts.collect::<BTreeSet<_>>(), BTreeSet::from([60]));
}

/// All other hosts of the zone detect the death of a host that is no aggregator.
#[test]
fn a_dead_host_is_detected_within_two_and_a_half_seconds() {
    let mut fleet = settled(5, 80, 1);
    let zone = zone_name(1);
    let dead = fleet.live_hosts_in(&zone)[40];
    fleet.hosts[dead].alive = false;
    fleet.run_for(Duration::from_millis(1250));
    let (live, _) = live_views(&fleet, &zone);
    assert!(
        live.iter().all(|hosts| hosts.len() == 80),
        "detected as dead too early"
    );
    fleet.run_for(Duration::from_millis(1250));
    assert_converged(&fleet, &zone);
}

/// Guards against a zone without a leader for as long as its hosts live. If all heavy
/// hosts are lost at once and two hosts report to each other, each keeps the lost
/// aggregators alive on the evidence of the other.
#[test]
fn a_zone_that_loses_all_aggregators_selects_others() {
    let mut fleet = settled(5, 80, 1);
    let zone = zone_name(3);
    let now = fleet.now;
    let aggregators = fleet.live_hosts_in(&zone).into_iter();
    let aggregators = aggregators.filter(|index| fleet.hosts[*index].gossip.is_aggregator(now));
    let aggregators = aggregators.collect::<Vec<_>>();
    assert!(aggregators.len() >= 3);
    for index in aggregators {
        fleet.hosts[index].alive = false;
    }
    fleet.run_for(Duration::from_secs(5));
    assert_converged(&fleet, &zone);
    let zone_of_others = zone_name(0);
    assert_converged(&fleet, &zone_of_others);
}

/// A partitioned zone keeps its membership and finds the other zones again.
#[test]
fn a_partitioned_zone_stays_whole_and_rejoins() {
    let mut fleet = settled(5, 40, 1);
    let zone = zone_name(4);
    fleet.partitioned.push(zone.as_str().into());
    fleet.run_for(Duration::from_secs(6));
    assert_converged(&fleet, &zone);
    let now = fleet.now;
    let inside = fleet.live_hosts_in(&zone)[7];
    let live_view = fleet.hosts[inside].gossip.live_hosts(&zone_name(0), now);
    assert_eq!(live_view.len(), 0, "{live_view:?}");
    fleet.partitioned.clear();
    fleet.run_for(Duration::from_secs(5));
    for index in fleet.live_hosts_in(&zone) {
        let host = &fleet.hosts[index];
        let live_view = host.gossip.live_hosts(&zone_name(0), fleet.now);
        assert!(
            !live_view.is_empty(),
            "{} knows no host of another zone",
            host.name
        );
        assert_eq!(host.gossip.known_count(), 200);
    }
}

/// A host that restarts under its old name at another time finds its zone with a single
/// seed.
#[test]
fn a_host_that_starts_alone_joins_its_zone() {
    let mut fleet = settled(5, 40, 1);
    let zone = zone_name(2);
    let late = fleet.live_hosts_in(&zone)[20];
    fleet.hosts[late].alive = false;
    fleet.run_for(Duration::from_secs(3));
    let other = SimFleet::new(5, 40, 1);
    let fresh = other.hosts.into_iter().nth(late).expect("there");
    fleet.hosts[late] = fresh;
    fleet.hosts[late].gossip = {
        let host = &fleet.hosts[late];
        let seeds = vec![fleet.hosts[0].address];
        jackdawwick::membership::GossipTable::new(
            host.name.clone(),
            host.zone.clone(),
            host.address,
            seeds,
        )
        .with_identity(100_000, models::fleet::LIGHT)
    };
    fleet.run_for(Duration::from_secs(3));
    assert_converged(&fleet, &zone);
}

/// Times within which a change known to one host reaches every other host of its zone,
/// and every host of the other zones. The change takes two reports, an exchange of
/// aggregators and one between zones, and the same steps again there.
const ZONE_PROPAGATION: Duration = Duration::from_millis(750);
const GLOBAL_PROPAGATION: Duration = Duration::from_millis(2000);
/// Targets that end while they run a request.
const LOST_TARGETS: [u64; 3] = [11, 12, 13];

/// Returns the live hosts that do not refuse a request.
fn hosts_without_poison(fleet: &SimFleet, request: u64) -> Vec<String> {
    let hosts = fleet.hosts.iter().filter(|host| host.alive);
    let hosts_without_poison = hosts.filter(|host| !host.poison.is_poison(request, fleet.now));
    hosts_without_poison
        .map(|host| host.name.to_string())
        .collect()
}

/// Guards against a request that ended three engines and goes on to end others, if each
/// host knows only what it has seen itself. The caller retries at another host each time,
/// and each host sees one engine end.
#[test]
fn poison_seen_by_three_hosts_is_refused_by_all() {
    let mut fleet = settled(5, 80, 4);
    let zone = fleet.live_hosts_in(&zone_name(1));
    let elsewhere = fleet.live_hosts_in(&zone_name(3));
    for (index, target) in [zone[70], zone[20], elsewhere[50]]
        .into_iter()
        .zip(LOST_TARGETS)
    {
        let now = fleet.now;
        fleet.hosts[index].poison.observe_end(7, target, now);
    }
    fleet.run_for(GLOBAL_PROPAGATION);
    assert_eq!(hosts_without_poison(&fleet, 7), Vec::<String>::new());
    assert_eq!(hosts_without_poison(&fleet, 8).len(), 400);
}

/// Guards against a restarted host that accepts a request refused everywhere else, if the
/// evidence sent to a host counts as known to the next incarnation of the host.
#[test]
fn a_restarted_host_receives_the_poison_requests() {
    let mut fleet = settled(3, 40, 4);
    let zone = fleet.live_hosts_in(&zone_name(1));
    let now = fleet.now;
    for target in LOST_TARGETS {
        fleet.hosts[zone[5]].poison.observe_end(7, target, now);
    }
    // Aggregators restart too, and have nothing to send to each other at first.
    for index in [zone[0], zone[1], zone[2], zone[30]] {
        fleet.run_for(GLOBAL_PROPAGATION);
        fleet.restart(index);
    }
    fleet.run_for(GLOBAL_PROPAGATION);
    assert_eq!(hosts_without_poison(&fleet, 7), Vec::<String>::new());
}

/// A partitioned zone refuses the poison requests that it has seen, and receives the
/// others afterwards.
#[test]
fn a_partitioned_zone_refuses_the_poison_that_it_has_seen() {
    let mut fleet = settled(3, 40, 4);
    let partitioned = zone_name(2);
    let inside = fleet.live_hosts_in(&partitioned);
    let outside = fleet.live_hosts_in(&zone_name(0));
    fleet.partitioned.push(partitioned.as_str().into());
    let now = fleet.now;
    for target in LOST_TARGETS {
        fleet.hosts[inside[9]].poison.observe_end(7, target, now);
        fleet.hosts[outside[9]].poison.observe_end(8, target, now);
    }
    fleet.run_for(ZONE_PROPAGATION);
    let refused = |fleet: &SimFleet, request| {
        let known = inside.iter().map(|index| &fleet.hosts[*index]);
        known
            .filter(|host| host.poison.is_poison(request, fleet.now))
            .count()
    };
    assert_eq!((refused(&fleet, 7), refused(&fleet, 8)), (40, 0));
    fleet.partitioned.clear();
    fleet.run_for(Duration::from_secs(6));
    assert_eq!(hosts_without_poison(&fleet, 7), Vec::<String>::new());
    assert_eq!(hosts_without_poison(&fleet, 8), Vec::<String>::new());
}

/// Every request that ran on a crashed engine is suspected: ten engines per second with
/// 60 requests each, seen by all hosts of a zone.
#[test]
fn control_traffic_for_suspected_requests_is_bounded() {
    let control_traffic = |hosts_each: usize| {
        let mut fleet = settled(2, hosts_each, 40);
        let zone = fleet.live_hosts_in(&zone_name(1));
        fleet.reset_counters();
        for second in 0..COUNT_TIME.as_secs() {
            for number in 0..600 {
                let now = fleet.now;
                let index = zone[number % zone.len()];
                let (request, target) = (second * 600 + number as u64, number as u64 / 60);
                fleet.hosts[index].poison.observe_end(request, target, now);
            }
            fleet.run_for(Duration::from_secs(1));
        }
        let now = fleet.now;
        let hosts = fleet.hosts.iter();
        let ordinary = hosts.filter(|host| !host.gossip.is_aggregator(now));
        let bytes = ordinary.map(|host| host.bytes / COUNT_TIME.as_secs() as usize);
        bytes.max().unwrap_or(0)
    };
    let (small, large) = (control_traffic(20), control_traffic(80));
    assert!(
        large <= MAX_HOST_BYTES_PER_S,
        "control traffic of a host: {large} B/s"
    );
    assert!(
        large <= small + small / 10,
        "control traffic of a host grows from {small} to {large} B/s"
    );
}
