//! Plays hosts that lose their links to targets, in memory: the real tables of
//! reachability, gateways and targets, with links that fail in every way, and the rule
//! that hosts without links serve their callers nearly as often as the others.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use jackdawwick::fleet::{FleetTable, TargetEntry, choose_target};
use jackdawwick::gateway::{GatewayCandidate, GatewayResult, GatewayTable};
use jackdawwick::ids::{HostId, TargetId};
use jackdawwick::reachability::{ReachabilityChange, ReachabilityTable, TargetWay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 9;
const ZONES: usize = 3;
const TARGETS: usize = 6;
const FORGETTING_TICKS: usize = 100;
const TICK: Duration = Duration::from_millis(10);
/// Time after which hosts without links have to serve their callers.
const ADAPTATION: Duration = Duration::from_secs(3);
const MAX_TRIES: usize = 6;
/// Most callers' requests of a host that find out that its links are lost.
const ISOLATING_ATTEMPTS: usize = 3;

/// How a host treats lost links.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    /// As the product does.
    Gateways,
    /// Sends nothing through other hosts.
    OwnLinks,
    /// Forgets each second which links are lost, and tries them again.
    Forgets,
    /// Takes the first target that does not respond for a lost link.
    Hasty,
}

/// What happens to the link between a host and a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Works,
    Refuses,
    Silent,
}

struct ModelHost {
    fleet: FleetTable,
    reachability: ReachabilityTable,
    gateways: GatewayTable,
}

struct Game {
    strategy: Strategy,
    random: StdRng,
    now: Instant,
    hosts: Vec<ModelHost>,
    links: Vec<Vec<LinkState>>,
    /// Targets that are down.
    down: BTreeSet<usize>,
    /// Requests through gateways.
    passed_on: usize,
    /// Attempts of callers' requests over lost links, by host.
    lost_attempts: Vec<usize>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Share {
    sent: usize,
    served: usize,
}

impl Share {
    fn count(&mut self, served: bool) {
        self.sent += 1;
        self.served += usize::from(served);
    }

    fn failed(self) -> usize {
        self.sent - self.served
    }
}

fn target_id(index: usize) -> TargetId {
    format!("t{index}").into()
}

fn host_id(index: usize) -> HostId {
    format!("h{index}").into()
}

fn zone(index: usize) -> String {
    format!("z{}", index % ZONES)
}

impl Game {
    fn new(strategy: Strategy, seed: u64, start: Instant) -> Self {
        let hosts = (0..HOSTS).map(|_| {
            let mut fleet = FleetTable::default();
            for index in 0..TARGETS {
                fleet.observe_entry(TargetEntry {
                    id: target_id(index),
                    started_ms: None,
                    service: "plain".into(),
                    address: ([10, 0, 0, index as u8], 80).into(),
                    zone: zone(index).as_str().into(),
                    draining: false,
                    kind: None,
                    layers: None,
                });
            }
            ModelHost {
                fleet,
                reachability: ReachabilityTable::default(),
                gateways: GatewayTable::default(),
            }
        });
        Self {
            strategy,
            random: StdRng::seed_from_u64(seed),
            now: start,
            hosts: hosts.collect(),
            links: vec![vec![LinkState::Works; TARGETS]; HOSTS],
            down: BTreeSet::new(),
            passed_on: 0,
            lost_attempts: vec![0; HOSTS],
        }
    }

    /// Connects over a host's own link, and records the result.
    fn connect(&mut self, host: usize, target: usize) -> LinkState {
        let state = match self.links[host][target] {
            LinkState::Works if self.down.contains(&target) => LinkState::Refuses,
            state => state,
        };
        let (id, now) = (target_id(target), self.now);
        let own = &mut self.hosts[host];
        let change = match state {
            LinkState::Works => own.reachability.observe_connected(&id, now),
            _ => own.reachability.observe_failed(&id, TARGETS, now),
        };
        if let Some(ReachabilityChange::Isolated { .. }) = change {
            own.fleet.readmit_all();
        }
        if self.strategy == Strategy::Hasty && state != LinkState::Works {
            for other in 0..TARGETS {
                let other = target_id(other);
                own.reachability.observe_failed(&other, TARGETS, now);
            }
        }
        state
    }

    /// Passes a request, or a probe, to a gateway, and returns what it states.
    fn ask_gateway(&mut self, host: usize, target: usize) -> Option<GatewayResult> {
        let candidates = (0..HOSTS).filter(|other| *other != host);
        let candidates = candidates.map(|other| GatewayCandidate {
            host: host_id(other),
            zone: zone(other).as_str().into(),
            address: ([10, 0, 1, other as u8], 80).into(),
        });
        let candidates = candidates.collect::<Vec<_>>();
        let mut tried = Vec::new();
        while tried.len() < 4 {
            let draw = self.random.random::<f64>();
            let (own, now) = (&self.hosts[host], self.now);
            let chosen = own
                .gateways
                .choose(&candidates, &zone(host), &tried, now, || draw)?;
            let index = (0..HOSTS).find(|other| host_id(*other) == chosen.host)?;
            let result = self.pass_on(index, target);
            let own = &mut self.hosts[host];
            own.gateways.observe_result(&chosen.host, result, now);
            tried.push(chosen.host);
            if result != GatewayResult::Isolated {
                return Some(result);
            }
        }
        None
    }

    fn pass_on(&mut self, gateway: usize, target: usize) -> GatewayResult {
        if self.hosts[gateway].reachability.is_isolated() {
            return GatewayResult::Isolated;
        }
        match self.connect(gateway, target) {
            LinkState::Works => GatewayResult::Reachable,
            _ if self.hosts[gateway].reachability.is_doubtful() => GatewayResult::Isolated,
            LinkState::Refuses => GatewayResult::Refused,
            LinkState::Silent => GatewayResult::Unreachable,
        }
    }

    /// Tries one target for a request, and returns whether it was served.
    fn attempt(&mut self, host: usize, target: usize) -> bool {
        let id = target_id(target);
        if self.hosts[host].reachability.way(&id) == TargetWay::Direct
            || self.strategy == Strategy::OwnLinks
        {
            if self.connect(host, target) == LinkState::Works {
                return true;
            }
            self.lost_attempts[host] += usize::from(!self.down.contains(&target));
            if self.strategy == Strategy::OwnLinks {
                self.hosts[host].fleet.observe_silence(&id, self.now);
                return false;
            }
            if self.hosts[host].reachability.way(&id) == TargetWay::Direct
                && self.ask_gateway(host, target) == Some(GatewayResult::Reachable)
            {
                let own = &mut self.hosts[host];
                own.reachability.observe_blocked(&id, self.now);
                own.fleet.readmit(&id);
            }
        }
        if self.hosts[host].reachability.way(&id) == TargetWay::Gateway {
            match self.ask_gateway(host, target) {
                Some(GatewayResult::Reachable) => {
                    self.passed_on += 1;
                    return true;
                }
                None => return false,
                Some(_) => {}
            }
        }
        self.hosts[host].fleet.observe_silence(&id, self.now);
        false
    }

    /// Sends a request to a host, and returns whether it was served.
    fn request(&mut self, host: usize) -> bool {
        let mut avoid = Vec::new();
        for _ in 0..MAX_TRIES {
            let draw = self.random.random();
            let Some(members) = self.hosts[host].fleet.members("plain") else {
                return false;
            };
            let (own_zone, now) = (zone(host), self.now);
            let chosen = choose_target(members, &own_zone, &avoid, Duration::ZERO, now, draw);
            let Some(chosen) = chosen else {
                return false;
            };
            // A host without any target that it takes for usable refuses at once.
            if members.values().all(|state| state.is_ejected(now)) {
                return false;
            }
            let target = (0..TARGETS).find(|index| target_id(*index) == chosen);
            let Some(target) = target else {
                return false;
            };
            if self.attempt(host, target) {
                return true;
            }
            avoid.push(chosen);
        }
        false
    }

    fn probe(&mut self, host: usize) {
        let known = (0..TARGETS).map(target_id).collect::<Vec<_>>();
        let due = self.hosts[host]
            .reachability
            .due_probes(known.iter(), self.now);
        for id in due {
            if let Some(target) = (0..TARGETS).find(|index| target_id(*index) == id) {
                self.connect(host, target);
            }
        }
    }

    /// Lets a time pass in which every host has a request every 50 ms; counts the requests
    /// of hosts for which `is_cut` holds, and of the others, that come after `from`.
    fn play<C>(&mut self, time: Duration, from: Duration, is_cut: C) -> (Share, Share)
    where
        C: Fn(usize) -> bool,
    {
        let start = self.now;
        let (mut cut, mut others) = (Share::default(), Share::default());
        let mut tick = 0;
        self.lost_attempts.fill(0);
        while self.now < start + time {
            for host in 0..HOSTS {
                if tick % 25 == host {
                    self.probe(host);
                }
                if tick % 5 != host % 5 {
                    continue;
                }
                let served = self.request(host);
                match (self.now >= start + from, is_cut(host)) {
                    (false, _) => {}
                    (true, true) => cut.count(served),
                    (true, false) => others.count(served),
                }
            }
            if self.strategy == Strategy::Forgets && tick % FORGETTING_TICKS == 0 {
                self.forget_lost_links();
            }
            self.now += TICK;
            tick += 1;
        }
        (cut, others)
    }

    fn forget_lost_links(&mut self) {
        for own in &mut self.hosts {
            own.reachability = ReachabilityTable::default();
        }
    }

    fn cut(&mut self, hosts: &[usize], state: LinkState) {
        for host in hosts {
            self.links[*host] = vec![state; TARGETS];
        }
    }
}

fn keeps_rule(cut: Share, others: Share) -> bool {
    let share = |share: Share| share.served as f64 / share.sent.max(1) as f64;
    share(cut) >= share(others) * 2.0 / 3.0 || cut.failed() <= 10 + cut.sent / 50
}

/// Plays a cut of some hosts with one target down, and its end.
fn play_cut(strategy: Strategy, seed: u64) -> Result<(), String> {
    let mut game = Game::new(strategy, seed, Instant::now());
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    let calm = Duration::from_secs(2);
    game.play(calm, Duration::ZERO, |_| false);
    if game.passed_on > 0 {
        return Err(format!("{} passed on before the cut", game.passed_on));
    }
    let count = random.random_range(1..HOSTS);
    let mut cut = (0..HOSTS).collect::<Vec<_>>();
    while cut.len() > count {
        cut.swap_remove(random.random_range(0..cut.len()));
    }
    let state = match random.random_bool(0.5) {
        true => LinkState::Refuses,
        false => LinkState::Silent,
    };
    game.cut(&cut, state);
    if random.random_bool(0.5) {
        game.down.insert(random.random_range(0..TARGETS));
    }
    let (isolated, others) = game.play(Duration::from_secs(10), ADAPTATION, |host| {
        cut.contains(&host)
    });
    if !keeps_rule(isolated, others) {
        return Err(format!(
            "cut {cut:?} {state:?}: {isolated:?}, others {others:?}"
        ));
    }
    let lost = cut.iter().map(|host| game.lost_attempts[*host]);
    if lost.max() > Some(ISOLATING_ATTEMPTS) {
        return Err(format!(
            "callers' requests tried lost links: {:?}",
            game.lost_attempts
        ));
    }
    game.cut(&cut, LinkState::Works);
    game.play(Duration::from_secs(4), Duration::ZERO, |_| false);
    let passed_on = game.passed_on;
    let (all, _) = game.play(Duration::from_secs(2), Duration::ZERO, |_| true);
    if game.passed_on > passed_on || all.failed() > all.sent / 50 {
        return Err(format!(
            "after the cut {} passed on, {all:?}",
            game.passed_on - passed_on
        ));
    }
    Ok(())
}

fn failures(strategy: Strategy) -> Vec<(u64, String)> {
    let results = (0..60).map(|seed| (seed, play_cut(strategy, seed)));
    let failed = results.filter_map(|(seed, result)| Some((seed, result.err()?)));
    failed.collect()
}

/// Guards against hosts without links that serve nobody while other hosts could.
#[test]
fn hosts_without_links_serve_callers_and_return_to_their_links() {
    assert_eq!(failures(Strategy::Gateways), []);
}

/// Guards against some, most or all hosts of a zone that serve nobody without links, beside
/// a target that is down and one that is silent for a second.
#[test]
fn any_part_of_a_zone_serves_callers_beside_targets_that_are_down_or_silent() {
    let hosts_of_zone = (0..HOSTS).step_by(ZONES).collect::<Vec<_>>();
    for part in 1..=hosts_of_zone.len() {
        for state in [LinkState::Refuses, LinkState::Silent] {
            let cut = &hosts_of_zone[..part];
            let mut game = Game::new(Strategy::Gateways, 5, Instant::now());
            game.play(Duration::from_secs(2), Duration::ZERO, |_| false);
            game.cut(cut, state);
            game.down.insert(1);
            let is_cut = |host: usize| cut.contains(&host);
            game.play(ADAPTATION, Duration::ZERO, is_cut);
            let before = game.links.clone();
            for links in &mut game.links {
                links[2] = LinkState::Silent;
            }
            let (silent, others) = game.play(Duration::from_secs(1), Duration::ZERO, is_cut);
            assert!(
                keeps_rule(silent, others),
                "{part} {state:?}: {silent:?}, {others:?}"
            );
            game.links = before;
            let (isolated, others) = game.play(Duration::from_secs(6), Duration::ZERO, is_cut);
            assert!(
                keeps_rule(isolated, others),
                "{part} {state:?}: {isolated:?}, {others:?}"
            );
        }
    }
}

#[test]
fn the_game_finds_hosts_that_keep_to_their_own_links() {
    assert!(failures(Strategy::OwnLinks).len() > 40);
}

#[test]
fn the_game_finds_hosts_that_forget_that_they_are_cut_off() {
    assert!(failures(Strategy::Forgets).len() > 40);
}

/// Guards against requests through other hosts because a single target is silent.
#[test]
fn a_target_that_is_down_or_silent_for_everybody_sends_nothing_through_other_hosts() {
    let passed_on = |strategy| {
        let mut game = Game::new(strategy, 1, Instant::now());
        for state in [LinkState::Refuses, LinkState::Silent] {
            for links in &mut game.links {
                links[2] = state;
            }
            game.play(Duration::from_secs(5), Duration::ZERO, |_| false);
            for links in &mut game.links {
                links[2] = LinkState::Works;
            }
            game.play(Duration::from_secs(2), Duration::ZERO, |_| false);
        }
        game.passed_on
    };
    assert_eq!(passed_on(Strategy::Gateways), 0);
    assert!(passed_on(Strategy::Hasty) > 0);
}

/// Guards against callers of hosts that have lost the targets of one zone only.
#[test]
fn hosts_that_lost_some_targets_use_gateways_for_these_alone() {
    let mut game = Game::new(Strategy::Gateways, 3, Instant::now());
    for target in (0..TARGETS).filter(|target| target % ZONES == 0) {
        game.links[0][target] = LinkState::Refuses;
    }
    let (cut, others) = game.play(Duration::from_secs(6), Duration::ZERO, |host| host == 0);
    assert_eq!((cut.failed(), others.failed()), (0, 0));
    assert!(game.passed_on > 0);
    assert_eq!(game.hosts[0].reachability.way("t1"), TargetWay::Direct);
    assert_eq!(game.hosts[0].reachability.way("t0"), TargetWay::Gateway);
}
