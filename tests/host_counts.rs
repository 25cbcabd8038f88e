//! Tests how the hosts of a zone learn the number of hosts of other zones.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawwick::membership::GossipTable;
use jackdawwick::peer::{HostView, ZoneCount};
use models::fleet::{SimFleet, zone_name};

const ZONES: usize = 3;
const HOSTS_EACH: usize = 12;
const ADDED_EACH: usize = 5;
/// Time until hosts that start know each other.
const JOIN_TIME: Duration = Duration::from_secs(12);
/// Time after which silent hosts are no longer counted.
const FORGET_TIME: Duration = Duration::from_secs(45);

/// Returns a fleet without the last hosts of zones 1 and 2, and the indices of these hosts.
fn small_fleet(view_delay: Duration) -> (SimFleet, Vec<usize>) {
    let mut fleet = SimFleet::new(ZONES, HOSTS_EACH, 1);
    fleet.view_delay = view_delay;
    let indices = HOSTS_EACH..ZONES * HOSTS_EACH;
    // The last host of zone 1 is a seed.
    let late = indices.filter(|index| (6..6 + ADDED_EACH).contains(&(index % HOSTS_EACH)));
    let late = late.collect::<Vec<_>>();
    for index in &late {
        fleet.hosts[*index].alive = false;
    }
    fleet.run_for(JOIN_TIME);
    (fleet, late)
}

fn set_alive(fleet: &mut SimFleet, hosts: &[usize], alive: bool) {
    for index in hosts {
        fleet.hosts[*index].alive = alive;
    }
}

/// Returns the distinct counts of the live hosts.
fn counts(fleet: &SimFleet) -> BTreeSet<usize> {
    let live = fleet.hosts.iter().filter(|host| host.alive);
    live.map(|host| host.gossip.known_count()).collect()
}

/// Guards against an old count that goes round between the aggregators.
#[test]
fn added_hosts_are_counted_by_all_at_any_delay_of_views() {
    for delay_ms in [0, 125, 250] {
        let (mut fleet, late) = small_fleet(Duration::from_millis(delay_ms));
        set_alive(&mut fleet, &late, true);
        fleet.run_for(JOIN_TIME);
        let all = ZONES * HOSTS_EACH;
        assert_eq!(counts(&fleet), BTreeSet::from([all]), "delay {delay_ms} ms");
    }
}

/// Guards against counts that can only grow.
#[test]
fn hosts_that_are_removed_are_counted_by_none() {
    for delay_ms in [0, 125, 250] {
        let (mut fleet, late) = small_fleet(Duration::from_millis(delay_ms));
        set_alive(&mut fleet, &late, true);
        fleet.run_for(JOIN_TIME);
        set_alive(&mut fleet, &late, false);
        fleet.run_for(FORGET_TIME);
        let left = ZONES * HOSTS_EACH - late.len();
        assert_eq!(
            counts(&fleet),
            BTreeSet::from([left]),
            "delay {delay_ms} ms"
        );
    }
}

/// Guards against a zone that learns counts from one host alone.
#[test]
fn counts_are_learned_after_the_highest_host_has_ended() {
    for ended in 1..=3 {
        let (mut fleet, late) = small_fleet(Duration::from_millis(125));
        let ranked = fleet.hosts[0].gossip.live_hosts(&zone_name(0), fleet.now);
        let highest = ranked[..ended].to_vec();
        let is_ended = |index: &usize| highest.contains(&fleet.hosts[*index].name);
        let indices = (0..HOSTS_EACH).filter(is_ended).collect::<Vec<_>>();
        set_alive(&mut fleet, &indices, false);
        set_alive(&mut fleet, &late, true);
        fleet.run_for(FORGET_TIME);
        let left = ZONES * HOSTS_EACH - ended;
        assert_eq!(counts(&fleet), BTreeSet::from([left]), "{ended} ended");
    }
}

/// Guards against a host that takes over with fewer counts than the others have.
#[test]
fn a_host_that_starts_while_zones_are_cut_off_takes_the_counts_of_lower_ranks() {
    let (mut fleet, _) = small_fleet(Duration::from_millis(125));
    let before = counts(&fleet);
    fleet.partitioned = (1..ZONES)
        .map(|zone| zone_name(zone).as_str().into())
        .collect();
    for index in 0..3 {
        fleet.restart(index);
        fleet.run_for(Duration::from_secs(6));
    }
    let own_zone = fleet.hosts[..HOSTS_EACH].iter();
    let counted = own_zone.map(|host| host.gossip.known_count());
    assert_eq!(counted.collect::<BTreeSet<_>>(), before);
}

/// Guards against counts from before a cut that outlast it.
#[test]
fn hosts_that_are_added_behind_a_cut_are_counted_after_it() {
    let (mut fleet, late) = small_fleet(Duration::from_millis(125));
    fleet.partitioned = vec![zone_name(1).as_str().into()];
    fleet.run_for(Duration::from_secs(3));
    set_alive(&mut fleet, &late, true);
    fleet.run_for(FORGET_TIME);
    fleet.partitioned.clear();
    fleet.run_for(JOIN_TIME);
    assert_eq!(counts(&fleet), BTreeSet::from([ZONES * HOSTS_EACH]));
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 9000).into()
}

/// Returns a table whose host ranks by the number in its name.
fn table(zone: &str, host: u8) -> GossipTable {
    let name = format!("{zone}-{host}");
    let table = GossipTable::new(name.as_str().into(), zone.into(), address(host), Vec::new());
    table.with_identity(1, 1)
}

/// Returns a view of a host that counts the hosts of zone `b`.
fn view(zone: &str, host: u8, sequence: u64, hosts: u32) -> HostView {
    let mut view = table(zone, host).request_view(address(1), Instant::now());
    view.sequence = sequence;
    view.counts = vec![ZoneCount {
        zone: "b".into(),
        hosts,
    }];
    view
}

#[test]
fn a_count_is_replaced_only_by_its_zone_and_by_higher_ranks() {
    let now = Instant::now();
    let mut table = table("a", 5);
    let mut observe = |view| {
        table.observe_view(&view, now);
        let zone_b = "b".into();
        let own_zone = table.live_hosts("a", now).len();
        table
            .complete_count([&zone_b], now)
            .map(|count| count - own_zone)
    };
    // Without any count, one from a lower rank is better than none.
    assert_eq!(observe(view("a", 9, 1, 40)), Some(40));
    assert_eq!(observe(view("a", 8, 1, 30)), Some(40));
    assert_eq!(observe(view("a", 2, 1, 20)), Some(20));
    assert_eq!(observe(view("b", 1, 1, 10)), Some(10));
    assert_eq!(observe(view("a", 9, 2, 40)), Some(10));
    assert_eq!(observe(view("a", 2, 2, 12)), Some(12));
    assert_eq!(observe(view("b", 1, 2, 8)), Some(8));
    // A third zone does not know the count.
    assert_eq!(observe(view("c", 1, 1, 40)), Some(8 + 1));
}
