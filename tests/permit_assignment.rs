//! Tests which host issues the permits for a target, as hosts see it that learn of each
//! other by gossip.

use std::time::Duration;

use jackdawwick::ids::HostId;
use jackdawwick::permits::issued_share;
use models::fleet::{SimFleet, zone_name};

const ZONES: usize = 3;
const HOSTS_EACH: usize = 8;
const TARGETS: u64 = 12;

/// Returns the host that the host at `index` takes for the issuer of a target of a zone.
fn expected_issuer(fleet: &SimFleet, index: usize, zone: &str, target: u64) -> Option<HostId> {
    let gossip = &fleet.hosts[index].gossip;
    gossip.permit_host(zone, target, fleet.now)
}

/// Returns the hosts that issue permits for a target of a zone, whichever live host
/// requests. A request from a host of another zone may be relayed once.
fn issuers(fleet: &SimFleet, zone: &str, target: u64) -> Vec<HostId> {
    let live = (0..fleet.hosts.len()).filter(|index| fleet.hosts[*index].alive);
    let named = live.filter_map(|index| {
        let requested = index_of(fleet, &expected_issuer(fleet, index, zone, target)?);
        let relayed_to = expected_issuer(fleet, requested, zone, target)?;
        let issuer = expected_issuer(fleet, index_of(fleet, &relayed_to), zone, target)?;
        assert_eq!(relayed_to, issuer, "a request is relayed twice");
        Some(issuer)
    });
    let mut named = named.collect::<Vec<_>>();
    named.sort_unstable();
    named.dedup();
    named
}

fn index_of(fleet: &SimFleet, name: &HostId) -> usize {
    let mut hosts = fleet.hosts.iter();
    hosts.position(|host| host.name == *name).expect("a host")
}

/// Guards against two hosts that issue the same limit.
#[test]
fn all_hosts_agree_on_the_issuing_host() {
    let mut fleet = SimFleet::new(ZONES, HOSTS_EACH, 1);
    fleet.run_for(Duration::from_secs(5));
    for zone in (0..ZONES).map(zone_name) {
        for target in 0..TARGETS {
            assert_eq!(issuers(&fleet, &zone, target).len(), 1, "{zone} {target}");
        }
    }
}

/// Guards against targets without an issuing host after a host has ended.
#[test]
fn another_host_issues_permits_after_the_issuing_host_ends() {
    let mut fleet = SimFleet::new(ZONES, HOSTS_EACH, 1);
    fleet.run_for(Duration::from_secs(5));
    let zone = zone_name(1);
    let ended = issuers(&fleet, &zone, 0).remove(0);
    let index = index_of(&fleet, &ended);
    fleet.hosts[index].alive = false;
    fleet.run_for(Duration::from_secs(4));
    let next = issuers(&fleet, &zone, 0);
    assert_eq!(next.len(), 1, "{next:?}");
    assert_ne!(next[0], ended);
    assert_eq!(&*fleet.hosts[index_of(&fleet, &next[0])].zone, zone);
}

/// Guards against both sides of a partition issuing the whole limit.
#[test]
fn the_sides_of_a_partition_issue_shares_of_a_limit() {
    for known in 1..40 {
        for live in 0..=known {
            let both = issued_share(live, known) + issued_share(known - live, known);
            assert!(both <= 1.25 + 1e-9, "{live} of {known}: {both}");
        }
    }
    assert_eq!(issued_share(7, 8), 1.0);
}

/// Guards against a host that issues permits before it knows the others.
#[test]
fn a_starting_host_issues_no_permits() {
    let mut fleet = SimFleet::new(ZONES, HOSTS_EACH, 1);
    fleet.run_for(Duration::from_millis(500));
    assert_eq!(issuers(&fleet, &zone_name(0), 0), Vec::<HostId>::new());
}
