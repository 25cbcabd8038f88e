//! Hundreds of entry hosts, played in memory: what each pays for control, how
//! old its beliefs are, and what it believes after losses.

mod fleet_in_memory;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet_in_memory::{SimFleet, zone_name};
use jackdawwick::fleet::TargetLoad;

/// What a host may spend on control, in bytes a second.
const MAX_HOST_BYTES_PER_S: usize = 22_000;
/// The same for a host that speaks for a zone of 80, in times of that.
const AGGREGATOR_FACTOR: usize = 16;
/// Time until every host has found its place.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time over which is counted.
const COUNT_TIME: Duration = Duration::from_secs(4);

fn settled(zones: usize, hosts_each: usize, engines: usize) -> SimFleet {
    let mut fleet = SimFleet::new(zones, hosts_each, engines);
    fleet.run_for(SETTLE_TIME);
    fleet
}

/// Bytes a second of the busiest host that speaks for nobody, and of the
/// busiest one that does.
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

/// Symptom: with 195 hosts one request in four came late on a calm day, and no
/// host's own lines showed anything. Sequence: each host exchanges with each
/// other one of its zone, and each message names all hosts of all zones. Cause:
/// what a host sends and hears grew with the number of hosts, and packets of
/// callers waited behind it on links of 20 Mbit/s.
#[test]
fn control_traffic_of_a_host_does_not_grow_with_the_fleet() {
    let (small, small_aggregator) = busiest(&mut settled(5, 20, 40));
    let (large, large_aggregator) = busiest(&mut settled(5, 80, 40));
    assert!(large <= MAX_HOST_BYTES_PER_S, "a host pays {large} B/s");
    assert!(large <= small + small / 10, "{small} B/s grow to {large}");
    let budget = AGGREGATOR_FACTOR * MAX_HOST_BYTES_PER_S;
    assert!(
        small_aggregator <= budget,
        "a speaker pays {small_aggregator} B/s"
    );
    assert!(
        large_aggregator <= budget,
        "a speaker pays {large_aggregator} B/s"
    );
}

/// The sums of a zone reach each of its hosts within five eighths of a second,
/// those that speak for other zones within a second and a half.
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

/// No request is counted twice, and none left out, once nothing changes.
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

/// What the hosts of a zone believe: who lives, and who comes first.
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
    assert_eq!(first.len(), 1, "first: {first:?}");
    assert_eq!(live.len(), 1, "{} views", live.len());
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

/// All hosts of a zone know each other a few seconds after they started at the
/// same moment, with three seeds.
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

/// The death of a host that reports is believed by all others of its zone.
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
        "believed dead too soon"
    );
    fleet.run_for(Duration::from_millis(1250));
    assert_converged(&fleet, &zone);
}

/// Symptom: nobody reads the log, plans or speaks for a zone for as long as its
/// hosts live. Sequence: all strong hosts of a zone are lost at once; each other
/// host reports to the next one that it knows. Cause: two hosts that report to
/// each other keep a lost speaker alive, since each takes the other's word.
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

/// A zone that is cut off goes on as it is, and finds the others again.
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
            "{} knows nobody elsewhere",
            host.name
        );
        assert_eq!(host.gossip.known_count(), 200);
    }
}

/// A host that comes under the same name at another time is found, and the
/// calls that it gets are those of a host like any other.
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
        .with_identity(100_000, fleet_in_memory::LIGHT)
    };
    fleet.run_for(Duration::from_secs(3));
    assert_converged(&fleet, &zone);
}

/// Time until something that one host knows has reached every other one of its zone,
/// and every host of the other zones: two reports, an exchange of speakers, one
/// between zones, and the same again there.
const ZONE_PROPAGATION: Duration = Duration::from_millis(750);
const GLOBAL_PROPAGATION: Duration = Duration::from_millis(2000);
/// Target that ended first, second and third.
const LOST_TARGETS: [u64; 3] = [11, 12, 13];

/// Live hosts that do not refuse a request.
fn hosts_without_poison(fleet: &SimFleet, request: u64) -> Vec<String> {
    let hosts = fleet.hosts.iter().filter(|host| host.alive);
    let hosts_without_poison = hosts.filter(|host| !host.poison.is_poison(request, fleet.now));
    hosts_without_poison
        .map(|host| host.name.to_string())
        .collect()
}

/// Symptom: a request under which three engines ended goes on to crash others.
/// Sequence: its caller comes back at another host each time; each host sees one
/// engine end. Cause: what a host had seen of a request stayed with it.
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

/// Symptom: a request that is refused everywhere crashes engines again. Sequence: a
/// host starts again and remembers nothing; the request comes to it. Cause: what a
/// host had told another one counted as known to its next start.
#[test]
fn a_restarted_host_receives_the_poison_requests() {
    let mut fleet = settled(3, 40, 4);
    let zone = fleet.live_hosts_in(&zone_name(1));
    let now = fleet.now;
    for target in LOST_TARGETS {
        fleet.hosts[zone[5]].poison.observe_end(7, target, now);
    }
    // Speakers start anew too, and then have nothing to tell each other at first.
    for index in [zone[0], zone[1], zone[2], zone[30]] {
        fleet.run_for(GLOBAL_PROPAGATION);
        fleet.restart(index);
    }
    fleet.run_for(GLOBAL_PROPAGATION);
    assert_eq!(hosts_without_poison(&fleet, 7), Vec::<String>::new());
}

/// A zone that is cut off refuses what it knows of, and hears the rest afterwards.
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

/// Everything that ran on crashed engines is a suspect: ten engines a second with
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
    assert!(large <= MAX_HOST_BYTES_PER_S, "a host pays {large} B/s");
    assert!(large <= small + small / 10, "{small} B/s grow to {large}");
}
