//! Which host hands out the permits for a target, as hosts that hear of each other by
//! their views see it.

mod fleet_in_memory;

use std::time::Duration;

use fleet_in_memory::{SimFleet, zone_name};
use jackdawwick::ids::HostId;
use jackdawwick::permits::issued_part;

const ZONES: usize = 3;
const HOSTS_EACH: usize = 8;
const TARGETS: u64 = 12;

/// The host that one takes for the issuer of a target of a zone.
fn believed(fleet: &SimFleet, place: usize, zone: &str, target: u64) -> Option<HostId> {
    let gossip = &fleet.hosts[place].gossip;
    gossip.permit_host(zone, target, fleet.now)
}

/// Hosts that answer for a target of a zone, whichever live host asks. A host of another
/// zone may be sent on once.
fn issuers(fleet: &SimFleet, zone: &str, target: u64) -> Vec<HostId> {
    let live = (0..fleet.hosts.len()).filter(|place| fleet.hosts[*place].alive);
    let named = live.filter_map(|place| {
        let asked = place_of(fleet, &believed(fleet, place, zone, target)?);
        let passed_on = believed(fleet, asked, zone, target)?;
        let answers = believed(fleet, place_of(fleet, &passed_on), zone, target)?;
        assert_eq!(passed_on, answers, "a question is passed on twice");
        Some(answers)
    });
    let mut named = named.collect::<Vec<_>>();
    named.sort_unstable();
    named.dedup();
    named
}

fn place_of(fleet: &SimFleet, name: &HostId) -> usize {
    let mut hosts = fleet.hosts.iter();
    hosts.position(|host| host.name == *name).expect("a host")
}

/// Guards against two hosts that hand out the same limit.
#[test]
fn all_hosts_agree_on_who_hands_out_permits() {
    let mut fleet = SimFleet::new(ZONES, HOSTS_EACH, 1);
    fleet.run_for(Duration::from_secs(5));
    for zone in (0..ZONES).map(zone_name) {
        for target in 0..TARGETS {
            assert_eq!(issuers(&fleet, &zone, target).len(), 1, "{zone} {target}");
        }
    }
}

/// Guards against targets that nobody hands out permits for after a host has ended.
#[test]
fn another_host_hands_out_permits_soon_after_one_has_ended() {
    let mut fleet = SimFleet::new(ZONES, HOSTS_EACH, 1);
    fleet.run_for(Duration::from_secs(5));
    let zone = zone_name(1);
    let ended = issuers(&fleet, &zone, 0).remove(0);
    let place = place_of(&fleet, &ended);
    fleet.hosts[place].alive = false;
    fleet.run_for(Duration::from_secs(4));
    let next = issuers(&fleet, &zone, 0);
    assert_eq!(next.len(), 1, "{next:?}");
    assert_ne!(next[0], ended);
    assert_eq!(&*fleet.hosts[place_of(&fleet, &next[0])].zone, zone);
}

/// Guards against a whole limit on either side of a partition.
#[test]
fn the_sides_of_a_partition_hand_out_parts_of_a_limit() {
    for known in 1..40 {
        for live in 0..=known {
            let both = issued_part(live, known) + issued_part(known - live, known);
            assert!(both <= 1.25 + 1e-9, "{live} of {known}: {both}");
        }
    }
    assert_eq!(issued_part(7, 8), 1.0);
}

/// Guards against a host that hands out permits before it has heard of the others.
#[test]
fn a_host_that_starts_hands_out_nothing_at_first() {
    let mut fleet = SimFleet::new(ZONES, HOSTS_EACH, 1);
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(issuers(&fleet, &zone_name(0), 0), Vec::<HostId>::new());
}
