//! Entry hosts that share no live seed find each other in the log, and issue few permits until
//! they know that they are all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawwick::ids::HostId;
use jackdawwick::membership::{GossipTable, RegisteredHost, RegistryChange};

const TICK: Duration = Duration::from_millis(125);
const ZONE: &str = "north";
/// Time for which a host has to be the leader of its zone before it reads the log.
const START_DELAY: Duration = Duration::from_secs(2);

struct SimHost {
    gossip: GossipTable,
    address: SocketAddr,
    leader_since: Option<Instant>,
    is_alive: bool,
}

/// Hosts of one zone in memory, and the log in which they register.
struct SimFleet {
    start: Instant,
    now: Instant,
    hosts: Vec<SimHost>,
    log: BTreeMap<HostId, RegisteredHost>,
    has_log: bool,
    writes: usize,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8 + 1], 9000).into()
}

/// Addresses at which no host listens.
fn stale() -> Vec<SocketAddr> {
    (0..3).map(|index| address(200 + index)).collect()
}

impl SimFleet {
    /// Starts a host for each list of seeds.
    fn start(seeds: Vec<Vec<SocketAddr>>) -> Self {
        let start = Instant::now() + Duration::from_secs(3600);
        let hosts = seeds.into_iter().enumerate().map(|(index, seeds)| {
            let name = format!("host-{index}").as_str().into();
            let gossip = GossipTable::new(name, ZONE.into(), address(index), seeds);
            SimHost {
                gossip: gossip.with_identity(1, 4),
                address: address(index),
                leader_since: None,
                is_alive: true,
            }
        });
        Self {
            start,
            now: start,
            hosts: hosts.collect(),
            log: BTreeMap::new(),
            has_log: true,
            writes: 0,
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        for caller in 0..self.hosts.len() {
            if !self.hosts[caller].is_alive {
                continue;
            }
            for callee in self.hosts[caller].gossip.due_calls(now) {
                self.call(caller, callee);
            }
            self.follow_log(caller);
        }
    }

    fn call(&mut self, caller: usize, address: SocketAddr) {
        let now = self.now;
        let mut hosts = self.hosts.iter();
        let callee = hosts.position(|host| host.address == address && host.is_alive);
        let Some(callee) = callee else {
            let gossip = &mut self.hosts[caller].gossip;
            gossip.observe_failed_call(address, now);
            return;
        };
        let request = self.hosts[caller].gossip.request_view(address, now);
        self.hosts[callee].gossip.observe_view(&request, now);
        let reply = self.hosts[callee].gossip.reply_view(&request, now);
        self.hosts[caller].gossip.observe_view(&reply, now);
    }

    fn follow_log(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        if !host.gossip.is_leader(now) {
            if host.leader_since.take().is_some() {
                host.gossip.registry_mut().clear();
            }
            return;
        }
        let since = *host.leader_since.get_or_insert(now);
        if !self.has_log || now < since + START_DELAY {
            return;
        }
        let listed = self.log.values().cloned().collect();
        host.gossip.registry_mut().apply_list(listed);
        for change in host.gossip.registry_changes(now) {
            self.writes += 1;
            match change {
                RegistryChange::Register(own) => drop(self.log.insert(own.host.clone(), own)),
                RegistryChange::Remove(host) => drop(self.log.remove(&host)),
            }
        }
    }

    /// Returns the sum of the shares of a limit that hosts would issue.
    fn issued(&self) -> f64 {
        let live = self.hosts.iter().filter(|host| host.is_alive);
        let shares = live.enumerate().map(|(index, host)| {
            let own = format!("host-{index}");
            match host.gossip.permit_host(ZONE, 7, self.now) {
                Some(issuer) if *issuer == *own => host.gossip.permit_share(ZONE, self.now),
                _ => 0.0,
            }
        });
        shares.sum()
    }

    /// Steps until a time since the start, and returns the largest sum of shares meanwhile.
    fn run_until(&mut self, seconds: u64) -> f64 {
        let mut largest = 0.0_f64;
        while self.now < self.start + Duration::from_secs(seconds) {
            self.step();
            largest = largest.max(self.issued());
        }
        largest
    }
}

/// Guards against hosts that each issue the whole limit of a target: all their seeds are
/// outdated, so that none hears of the others.
#[test]
fn hosts_with_outdated_seeds_find_each_other_and_issue_one_limit() {
    let mut fleet = SimFleet::start(vec![stale(); 4]);
    let largest = fleet.run_until(5);
    assert!(largest <= 1.0, "{largest} of the limit was issued");
    assert!((fleet.issued() - 1.0).abs() < f64::EPSILON);
    let largest = fleet.run_until(120);
    assert!(largest <= 1.0, "{largest} of the limit was issued");
    for host in &fleet.hosts {
        assert_eq!(host.gossip.live_count(fleet.now), 4);
    }
    // Each registered once; nobody was removed.
    assert_eq!(fleet.writes, 4);
}

/// Guards against groups of hosts that each know only their own, one of them a single host,
/// and that each issue the whole limit.
#[test]
fn groups_of_hosts_without_a_common_seed_merge() {
    for first_group in [1, 2] {
        let seeds = (0..4).map(|index| match index < first_group {
            true => vec![address(0)],
            false => vec![address(3)],
        });
        let mut fleet = SimFleet::start(seeds.collect());
        fleet.run_until(6);
        let largest = fleet.run_until(60);
        assert!(largest <= 1.0, "{largest} of the limit was issued");
        assert!((fleet.issued() - 1.0).abs() < f64::EPSILON);
        for host in &fleet.hosts {
            assert_eq!(host.gossip.live_count(fleet.now), 4);
        }
    }
}

/// Guards against hosts that each take themselves for the only one while neither their seeds
/// nor the log tells them of the others.
#[test]
fn hosts_that_cannot_know_the_others_issue_no_share() {
    let mut fleet = SimFleet::start(vec![stale(); 4]);
    fleet.has_log = false;
    assert!(fleet.run_until(60).abs() < f64::EPSILON);
    // Corrected seeds are enough.
    for host in &mut fleet.hosts {
        host.gossip.set_seeds(vec![address(0)]);
    }
    fleet.run_until(64);
    let largest = fleet.run_until(90);
    assert!((largest - 1.0).abs() < f64::EPSILON, "{largest}");
    assert!((fleet.issued() - 1.0).abs() < f64::EPSILON);
}

/// Guards against a host that is alone and never uses the limit of a target: its seeds are
/// outdated, and the log may name a host that is gone.
#[test]
fn host_that_is_alone_issues_the_whole_limit() {
    for (names_lost_host, until) in [(false, 5), (true, 32)] {
        let mut fleet = SimFleet::start(vec![stale()]);
        if names_lost_host {
            let lost = RegisteredHost {
                host: "lost".into(),
                zone: ZONE.into(),
                address: address(90),
            };
            fleet.log.insert("lost".into(), lost);
        }
        fleet.run_until(until);
        assert!((fleet.issued() - 1.0).abs() < f64::EPSILON);
        assert_eq!(fleet.log.len(), 1);
        // An outage of the log says nothing of other hosts.
        fleet.has_log = false;
        fleet.run_until(until + 60);
        assert!((fleet.issued() - 1.0).abs() < f64::EPSILON);
    }
}

/// Guards against a pause in which a limit is not used: the first host of the zone is lost,
/// and the log still names it.
#[test]
fn loss_of_a_registered_host_leaves_the_share_of_the_others() {
    let mut fleet = SimFleet::start(vec![stale(); 5]);
    fleet.run_until(10);
    fleet.hosts[0].is_alive = false;
    fleet.run_until(13);
    while fleet.now < fleet.start + Duration::from_secs(100) {
        fleet.step();
        let issued = (1..5).map(|index| {
            let host = &fleet.hosts[index];
            let issuer = host.gossip.permit_host(ZONE, 7, fleet.now);
            match issuer.as_deref() == Some(format!("host-{index}").as_str()) {
                true => host.gossip.permit_share(ZONE, fleet.now),
                false => 0.0,
            }
        });
        let issued = issued.sum::<f64>();
        assert!((issued - 1.0).abs() < f64::EPSILON, "{issued}");
    }
    assert!(!fleet.log.contains_key("host-0"));
}

/// Guards against a host that starts again with outdated seeds and issues a whole limit beside
/// the host that does so already.
#[test]
fn host_that_starts_again_joins_the_others() {
    let mut fleet = SimFleet::start(vec![stale(); 3]);
    fleet.run_until(10);
    let gossip = GossipTable::new("host-2".into(), ZONE.into(), address(2), stale());
    fleet.hosts[2].gossip = gossip.with_identity(2, 4);
    fleet.hosts[2].leader_since = None;
    let largest = fleet.run_until(40);
    assert!(largest <= 1.0, "{largest} of the limit was issued");
    assert_eq!(fleet.hosts[2].gossip.live_count(fleet.now), 3);
}
