//! Membership and target monitoring on many tables in memory, without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use jackdawwick::ids::HostId;
use jackdawwick::membership::{
    DeclaredTarget, MemberPhase, MembershipDecision, MembershipSettings, MembershipTable,
    RemovalCause, RotationReason, TargetWatch, WatchSettings,
};
use jackdawwick::peer::{PeerHeartbeat, PeerLoad};
use jackdawwick::platform::wire::{HostList, ListedHost, ListedPhase, ListedTarget};
use jackdawwick::target::wire::LoadReport;

const STEP: Duration = Duration::from_millis(250);

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn zone_of(host: &str) -> &str {
    host.split('-').next().expect("a zone")
}

fn settings(host: &str, incarnation: u64) -> MembershipSettings {
    MembershipSettings::new(host.into(), zone_of(host).into(), incarnation, address())
}

fn list(hosts: &[&str]) -> HostList {
    let hosts = hosts
        .iter()
        .map(|host| ListedHost {
            host: (*host).into(),
            zone: zone_of(host).into(),
            peer_address: address().to_string(),
            phase: ListedPhase::Live,
        })
        .collect();
    HostList {
        hosts,
        targets: Vec::new(),
    }
}

fn heartbeat(host: &str, incarnation: u64, sequence: u64, applied_offset: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        host: host.into(),
        zone: zone_of(host).into(),
        incarnation,
        sequence,
        applied_offset,
        draining: false,
        peer_address: address(),
        loads: Vec::new(),
        demands: Vec::new(),
        demands_for: None,
        digest: None,
    }
}

/// Tables of many hosts that exchange heartbeats in memory.
struct TableMesh {
    tables: BTreeMap<HostId, MembershipTable>,
    silent: BTreeSet<HostId>,
    cut_zone: Option<&'static str>,
    calls: BTreeMap<(HostId, HostId), usize>,
    now: Instant,
}

impl TableMesh {
    fn new(hosts: &[String]) -> Self {
        let now = Instant::now();
        let names: Vec<_> = hosts.iter().map(String::as_str).collect();
        let tables = names
            .iter()
            .map(|host| {
                let mut table = MembershipTable::new(settings(host, 1), now);
                table.observe_host_list(&list(&names), now);
                (HostId::from(*host), table)
            })
            .collect();
        Self {
            tables,
            silent: BTreeSet::new(),
            cut_zone: None,
            calls: BTreeMap::new(),
            now,
        }
    }

    fn is_cut(&self, left: &str, right: &str) -> bool {
        let is_separated = |zone: &str| (zone_of(left) == zone) != (zone_of(right) == zone);
        self.silent.contains(left)
            || self.silent.contains(right)
            || self.cut_zone.is_some_and(is_separated)
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let hosts: Vec<_> = self.tables.keys().cloned().collect();
            for host in hosts {
                let now = self.now;
                let decisions = self.table(&host).tick(now);
                for decision in decisions {
                    if let MembershipDecision::SendHeartbeat { to, remote, .. } = decision {
                        self.exchange(&host, &to, remote);
                    }
                }
            }
        }
    }

    fn exchange(&mut self, from: &HostId, to: &HostId, remote: bool) {
        *self.calls.entry((from.clone(), to.clone())).or_default() += 1;
        let now = self.now;
        if self.is_cut(from, to) {
            return;
        }
        let sent = self.table(from).next_heartbeat(remote, Vec::new());
        self.table(to).observe_heartbeat(&sent, now);
        let reply = self.table(to).next_heartbeat(remote, Vec::new());
        self.table(from).observe_heartbeat(&reply, now);
    }

    fn table(&mut self, host: &str) -> &mut MembershipTable {
        self.tables.get_mut(host).expect("a table")
    }
}

fn hosts(zones: usize, each: usize) -> Vec<String> {
    (0..zones)
        .flat_map(|zone| (0..each).map(move |host| format!("z{zone}-{host}")))
        .collect()
}

/// Guards against control traffic that grows with the square of the number of hosts, if
/// every host calls every other one and both hosts of a pair call.
#[test]
fn one_call_per_pair_within_a_zone_and_few_across_zones() {
    let mut mesh = TableMesh::new(&hosts(6, 10));
    mesh.run(Duration::from_secs(5));
    mesh.calls.clear();
    mesh.run(Duration::from_secs(10));

    let from = |host: &str, same_zone: bool| {
        mesh.calls
            .iter()
            .filter(|((caller, _), _)| **caller == *host)
            .filter(|((_, callee), _)| (zone_of(callee) == zone_of(host)) == same_zone)
            .map(|((_, callee), calls)| (callee.clone(), *calls))
            .collect::<Vec<_>>()
    };
    let mut in_zone_calls = 0;
    for host in mesh.tables.keys() {
        let remote = from(host, false);
        assert!(remote.len() <= 5 * 2, "{host} calls {remote:?}");
        assert!(remote.iter().all(|(_, calls)| *calls <= 6), "{remote:?}");
        in_zone_calls += from(host, true)
            .iter()
            .map(|(_, calls)| calls)
            .sum::<usize>();
    }
    let pairs = 6 * 10 * 9 / 2;
    assert_eq!(in_zone_calls, pairs * 10);
    for table in mesh.tables.values() {
        assert!(table.force_view(mesh.now).is_whole());
        assert_eq!(table.working_hosts().len(), 10);
    }
}

/// Guards against a daemon that spends its whole budget on heartbeats, if the intervals
/// do not grow with the number of hosts. One host knows 19 others of its zone and 19
/// zones of 20 hosts.
#[test]
fn call_rate_is_bounded_with_many_hosts() {
    let names = hosts(20, 20);
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let start = Instant::now();
    let mut table = MembershipTable::new(settings("z0-0", 1), start);
    table.observe_host_list(&list(&names), start);
    let mut calls = BTreeMap::from([(false, 0), (true, 0)]);
    for step in 1..=400 {
        let now = start + STEP * step;
        for decision in table.tick(now) {
            if let MembershipDecision::SendHeartbeat { to, remote, .. } = decision {
                *calls.entry(remote).or_default() += 1;
                table.observe_heartbeat(&heartbeat(&to, 1, u64::from(step), 0), now);
            }
        }
        // Hosts of the zone that this host does not call call it instead.
        for name in names.iter().filter(|name| zone_of(name) == "z0") {
            if table
                .member(name)
                .is_some_and(|member| member.phase == MemberPhase::Unknown)
            {
                table.observe_heartbeat(&heartbeat(name, 1, u64::from(step), 0), now);
            }
        }
    }
    let seconds = 100;
    assert!(calls[&false] <= 10 * seconds, "{calls:?}");
    assert!(calls[&true] <= 2 * seconds + 2 * 19, "{calls:?}");
}

/// Guards against a change reported as in effect while one host has not applied it, if
/// offsets are taken only from hosts in direct contact. The lagging host is in another
/// zone and exchanges no heartbeats with the queried host.
#[test]
fn a_lagging_host_without_direct_contact_lowers_the_reported_offset() {
    let mut mesh = TableMesh::new(&hosts(3, 8));
    for (index, table) in mesh.tables.values_mut().enumerate() {
        table.set_applied_offset(100 + index as u64);
    }
    mesh.table("z2-5").set_applied_offset(42);
    mesh.run(Duration::from_secs(6));
    let now = mesh.now;
    let mut indirect = 0;
    for (host, table) in &mesh.tables {
        let view = table.force_view(now);
        assert_eq!(view.lowest_applied_offset(), Some(42), "{host}");
        assert_eq!(view.zones["z2"].slowest_host.as_deref(), Some("z2-5"));
        let has_direct_contact = table
            .member("z2-5")
            .is_some_and(|member| member.applied_offset == 42);
        indirect += usize::from(!has_direct_contact && **host != *"z2-5");
    }
    assert!(indirect > 0, "no host depends on the digests");
}

/// Guards against a change reported as in effect everywhere while one zone is cut off and
/// a host of another zone is down, if silent hosts are left out.
#[test]
fn unreachable_hosts_and_zones_are_named_until_they_return() {
    let mut mesh = TableMesh::new(&hosts(3, 4));
    mesh.run(Duration::from_secs(5));
    mesh.cut_zone = Some("z1");
    mesh.silent.insert("z2-3".into());
    mesh.run(Duration::from_secs(12));
    let now = mesh.now;
    let view = mesh.table("z0-0").force_view(now);
    assert_eq!(view.zones["z1"].lowest_applied_offset, None);
    let named: BTreeSet<&str> = view.unreachable().map(|host| &**host).collect();
    assert_eq!(
        named,
        BTreeSet::from(["z1-0", "z1-1", "z1-2", "z1-3", "z2-3"])
    );
    assert!(!view.is_whole());

    mesh.cut_zone = None;
    mesh.silent.clear();
    mesh.run(Duration::from_secs(25));
    let now = mesh.now;
    for (host, table) in &mesh.tables {
        assert!(table.force_view(now).is_whole(), "{host}");
    }
}

/// Guards against a change reported as in effect while a host has not applied it, if a
/// digest without unreachable hosts is taken to cover all hosts. The platform lists a new
/// host before the hosts of its zone have read the list, so that their digests do not
/// count it.
#[test]
fn a_host_missing_from_the_digests_of_its_zone_counts_as_unreachable() {
    let mut mesh = TableMesh::new(&hosts(2, 3));
    mesh.run(Duration::from_secs(6));
    let now = mesh.now;
    assert!(mesh.table("z0-0").force_view(now).is_whole());
    let mut names = hosts(2, 3);
    names.push("z1-9".to_owned());
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    mesh.table("z0-0").observe_host_list(&list(&names), now);
    let view = mesh.table("z0-0").force_view(now);
    assert_eq!(view.zones["z1"].unnamed_unreachable, 1);
    assert!(!view.is_whole());
}

/// Guards against a restarted host that shows old values or vanishes, if heartbeats are
/// ordered by arrival. A frozen process wakes after its host has started a new one, and
/// later a clock set back gives a lower incarnation.
#[test]
fn heartbeats_of_an_ended_incarnation_are_ignored() {
    let start = Instant::now();
    let mut table = MembershipTable::new(settings("z0-0", 1), start);
    table.observe_heartbeat(&heartbeat("z0-1", 10, 5, 70), start);
    let replaced = table.observe_heartbeat(&heartbeat("z0-1", 20, 1, 90), start);
    let removed = MembershipDecision::HostRemoved {
        host: "z0-1".into(),
        incarnation: Some(10),
        cause: RemovalCause::Replaced,
    };
    assert!(replaced.contains(&removed), "{replaced:?}");
    assert_eq!(
        table.observe_heartbeat(&heartbeat("z0-1", 10, 6, 71), start),
        vec![]
    );
    assert_eq!(
        table.observe_heartbeat(&heartbeat("z0-1", 15, 1, 72), start),
        vec![]
    );
    assert_eq!(
        table.observe_heartbeat(&heartbeat("z0-1", 20, 1, 73), start),
        vec![]
    );
    assert_eq!(table.member("z0-1").expect("a member").applied_offset, 90);

    let much_later = start + Duration::from_secs(40);
    let replaced = table.observe_heartbeat(&heartbeat("z0-1", 15, 2, 95), much_later);
    assert_eq!(replaced.len(), 2, "{replaced:?}");
    assert_eq!(
        table.observe_heartbeat(&heartbeat("z0-1", 20, 9, 91), much_later),
        vec![]
    );
    assert!(table.is_current("z0-1", 15));
}

/// Guards against giving the shares of a partitioned host to others, if silence or a
/// faulty list removes the host. The host falls silent during an outage of the platform.
/// Then the list comes back empty, complete, and without the host.
#[test]
fn a_silent_host_is_removed_only_once_delisted() {
    let start = Instant::now();
    let mut table = MembershipTable::new(settings("z0-0", 1), start);
    table.observe_host_list(&list(&["z0-0", "z0-1"]), start);
    table.observe_heartbeat(&heartbeat("z0-1", 10, 1, 7), start);
    let mut now = start;
    let mut removals_during = |table: &mut MembershipTable, seconds: u64| {
        let end = now + Duration::from_secs(seconds);
        let mut removed = Vec::new();
        while now < end {
            now += STEP;
            let decisions = table.tick(now);
            removed.extend(
                decisions
                    .into_iter()
                    .filter(|decision| matches!(decision, MembershipDecision::HostRemoved { .. })),
            );
        }
        (removed, now)
    };
    let (removed, at) = removals_during(&mut table, 100);
    assert_eq!(removed, vec![]);
    assert_eq!(
        table.member("z0-1").expect("a member").phase,
        MemberPhase::Suspected
    );
    table.observe_host_list(&HostList::default(), at);
    let (removed, at) = removals_during(&mut table, 100);
    assert_eq!(removed, vec![]);
    table.observe_host_list(&list(&["z0-0", "z0-1"]), at);
    let (removed, at) = removals_during(&mut table, 100);
    assert_eq!(removed, vec![]);
    table.observe_host_list(&list(&["z0-0"]), at);
    let (removed, _) = removals_during(&mut table, 1);
    let expected = MembershipDecision::HostRemoved {
        host: "z0-1".into(),
        incarnation: Some(10),
        cause: RemovalCause::Delisted,
    };
    assert_eq!(removed, vec![expected]);
}

/// Guards against a new share holder that waits forever for a host that died before it
/// started, or frees the grants of a live host that it has not received heartbeats from.
/// The log names incarnations that are not in the table.
#[test]
fn an_unknown_incarnation_has_ended_once_a_late_list_lacks_it() {
    let start = Instant::now();
    let mut table = MembershipTable::new(settings("z0-0", 4), start);
    table.observe_host_list(&list(&["z0-0", "z0-1"]), start);
    assert!(!table.has_ended("z0-1", 7), "listed, without a heartbeat");
    assert!(!table.has_ended("z0-2", 7), "the list may lag");
    table.observe_heartbeat(&heartbeat("z0-1", 8, 1, 0), start);
    assert!(table.has_ended("z0-1", 7), "replaced");
    assert!(!table.has_ended("z0-1", 8));
    assert!(table.has_ended("z0-0", 3), "an earlier process here");
    table.observe_host_list(&list(&["z0-0"]), start + Duration::from_secs(30));
    assert!(table.has_ended("z0-2", 7));
}

/// Guards against a paused host that counts all others as unreachable, if its own pause
/// is taken for their silence.
#[test]
fn a_paused_host_suspects_no_host_when_it_wakes() {
    let mut mesh = TableMesh::new(&hosts(1, 4));
    mesh.run(Duration::from_secs(5));
    let woken = mesh.now + Duration::from_secs(60);
    let decisions = mesh.table("z0-0").tick(woken);
    let suspects = |decision: &MembershipDecision| {
        matches!(decision, MembershipDecision::HostSuspected { .. })
    };
    assert!(!decisions.iter().any(suspects), "{decisions:?}");
}

fn declared(count: usize) -> Vec<DeclaredTarget> {
    (0..count)
        .map(|index| DeclaredTarget {
            target: format!("engine-{index}").into(),
            zone: "z0".into(),
            draining: false,
        })
        .collect()
}

fn watch(host: &str, working: &[HostId], targets: usize) -> TargetWatch {
    let mut watch = TargetWatch::new(WatchSettings::new(host.into(), zone_of(host).into()));
    watch.set_declared(&declared(targets));
    watch.set_working_hosts(working);
    watch
}

fn report(running: u32) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        tokens_per_second: 1.0,
        age_ms: 0,
    }
}

/// Guards against targets without a watcher after a host has ended, if watchers are fixed
/// or hosts choose them differently. A zone of six hosts loses one.
#[test]
fn each_target_keeps_two_watchers_after_the_loss_of_a_host() {
    let all: Vec<HostId> = (0..6).map(|index| format!("z0-{index}").into()).collect();
    let watchers = |working: &[HostId]| {
        let mut watchers: BTreeMap<Arc<str>, BTreeSet<HostId>> = BTreeMap::new();
        for host in working {
            for target in watch(host, working, 40).watched() {
                watchers
                    .entry(target.clone())
                    .or_default()
                    .insert(host.clone());
            }
        }
        watchers
    };
    let before = watchers(&all);
    let after = watchers(&all[1..]);
    assert!(before.len() == 40 && before.values().all(|hosts| hosts.len() == 2));
    assert!(after.len() == 40 && after.values().all(|hosts| hosts.len() == 2));
    for (target, hosts) in &before {
        let kept = hosts.iter().filter(|host| **host != all[0]);
        assert!(kept.into_iter().all(|host| after[target].contains(host)));
    }
}

/// Guards against a target that stays out of rotation after its return, if peers' reports
/// are relayed. Also guards against a leaving target that gets work because a reading
/// from before its refusal arrives late.
#[test]
fn leaving_is_reported_to_all_hosts_and_cleared_after_the_return() {
    let hosts: Vec<HostId> = (0..3).map(|index| format!("z0-{index}").into()).collect();
    let mut watches: Vec<_> = hosts.iter().map(|host| watch(host, &hosts, 1)).collect();
    let mut now = Instant::now() + Duration::from_secs(60);
    let report_all = |watches: &mut Vec<TargetWatch>, now: Instant| {
        for from in 0..watches.len() {
            let loads = watches[from].zone_loads(now);
            for to in (0..watches.len()).filter(|to| *to != from) {
                watches[to].observe_peer_loads(&hosts[from], &loads, now);
            }
        }
    };
    let reasons = |watches: &[TargetWatch], now: Instant| {
        watches
            .iter()
            .map(|watch| watch.out_of_rotation("engine-0", now))
            .collect::<Vec<_>>()
    };
    watches[0].observe_refusal("engine-0", now);
    report_all(&mut watches, now);
    let reported = Some(RotationReason::Reported);
    assert_eq!(
        reasons(&watches, now),
        vec![Some(RotationReason::Refused), reported, reported]
    );

    let late = PeerLoad {
        target: "engine-0".into(),
        running: 0,
        waiting: 0,
        tokens_per_second: 1.0,
        age: Duration::from_secs(2),
        leaving: false,
    };
    watches[0].observe_peer_loads(&hosts[2], &[late], now);
    assert_eq!(reasons(&watches, now)[0], Some(RotationReason::Refused));

    for _ in 0..3 {
        now += Duration::from_secs(1);
        for watch in &mut watches {
            if watch.watched().any(|target| **target == *"engine-0") {
                watch.observe_poll("engine-0", &report(0), false, now);
            }
        }
        report_all(&mut watches, now);
    }
    now += Duration::from_secs(31);
    assert_eq!(reasons(&watches, now), vec![None; 3]);
}

/// Guards against a target that stays idle after its return. It refused a host of a zone
/// where no host polls it, so that no reading clears the refusal.
#[test]
fn an_unconfirmed_refusal_expires() {
    let hosts: Vec<HostId> = vec!["z0-0".into()];
    let mut watch = watch(&hosts[0], &hosts, 1);
    let expiry = WatchSettings::new("z0-0".into(), "z0".into()).leaving_expiry;
    let refused = Instant::now();
    watch.observe_refusal("engine-0", refused);
    let reason_after = |passed| watch.out_of_rotation("engine-0", refused + passed);
    let just_before = expiry - Duration::from_millis(1);
    assert_eq!(reason_after(just_before), Some(RotationReason::Refused));
    assert_eq!(reason_after(expiry), None);
}

/// Guards against new work for a target that the platform lists as leaving, in a zone
/// that is cut off from the platform and learns of it only by heartbeats of another zone.
#[test]
fn a_listed_target_is_out_of_rotation_in_a_zone_without_the_list() {
    let now = Instant::now();
    let mut near = watch("z0-0", &["z0-0".into()], 30);
    let mut far = watch("z1-0", &["z1-0".into()], 30);
    let listed = HostList {
        hosts: Vec::new(),
        targets: vec![ListedTarget {
            target: "engine-7".into(),
            phase: ListedPhase::Leaving,
        }],
    };
    near.observe_host_list(&listed);
    near.observe_host_list(&HostList::default());
    assert_eq!(
        near.out_of_rotation("engine-7", now),
        Some(RotationReason::Listed)
    );
    for index in 0..30 {
        near.observe_poll(&format!("engine-{index}"), &report(index), false, now);
    }
    for _ in 0..4 {
        let loads = near.remote_loads(now);
        assert!(loads.len() <= 8);
        far.observe_peer_loads(&"z0-0".into(), &loads, now);
    }
    assert_eq!(
        far.out_of_rotation("engine-7", now),
        Some(RotationReason::Reported)
    );
    for index in 0..30 {
        let load_sample = far
            .load_sample(&format!("engine-{index}"))
            .expect("passed on");
        assert_eq!(load_sample.running, index);
    }
}

/// One step of a random history of another host.
#[derive(Debug, Clone)]
enum HistoryStep {
    Received { incarnation: u64, sequence: u64 },
    Listed(bool),
    Elapsed(u64),
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        3 => (1_u64..4, 1_u64..30)
            .prop_map(|(incarnation, sequence)| HistoryStep::Received { incarnation, sequence }),
        1 => any::<bool>().prop_map(HistoryStep::Listed),
        3 => (1_u64..40).prop_map(HistoryStep::Elapsed),
    ]
}

/// Reference model that keeps every event and computes the current state from the whole
/// history.
#[derive(Default)]
struct NaiveHost {
    accepted: Vec<(Duration, u64, u64)>,
    listed: Vec<(Duration, bool)>,
    known: Option<Duration>,
    ended_before: BTreeSet<u64>,
}

impl NaiveHost {
    fn current(&self) -> Option<(u64, u64)> {
        self.accepted
            .last()
            .map(|(_, incarnation, sequence)| (*incarnation, *sequence))
    }

    fn silent_since(&self) -> Option<Duration> {
        self.accepted.last().map(|(at, _, _)| *at).or(self.known)
    }

    fn receive(&mut self, at: Duration, incarnation: u64, sequence: u64) {
        let silence = self
            .silent_since()
            .map_or(Duration::ZERO, |since| at - since);
        let accepts = match self.current() {
            _ if self.ended_before.contains(&incarnation) => false,
            None => true,
            Some((current, last)) if current == incarnation => sequence > last,
            Some((current, _)) => incarnation > current || silence >= Duration::from_secs(30),
        };
        if !accepts {
            return;
        }
        if let Some((current, _)) = self
            .current()
            .filter(|(current, _)| *current != incarnation)
        {
            self.ended_before.insert(current);
        }
        self.known.get_or_insert(at);
        self.accepted.push((at, incarnation, sequence));
    }

    fn is_removed(&self, at: Duration) -> bool {
        let Some(since) = self.silent_since() else {
            return false;
        };
        let was_listed = self.listed.iter().any(|(_, listed)| *listed);
        let limit = Duration::from_secs(if was_listed { 30 } else { 600 });
        match self.listed.last() {
            Some((read, false)) => *read > since && at - since >= limit,
            _ => false,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6d65_6d62),
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_table_matches_a_naive_model_for_any_history(
        steps in prop::collection::vec(history_step(), 1..60),
    ) {
        let start = Instant::now();
        let mut at = Duration::ZERO;
        let mut table = MembershipTable::new(settings("z0-0", 1), start);
        let mut naive = NaiveHost::default();
        for step in steps {
            match step {
                HistoryStep::Received { incarnation, sequence } => {
                    table.observe_heartbeat(&heartbeat("z0-1", incarnation, sequence, 0), start + at);
                    naive.receive(at, incarnation, sequence);
                }
                HistoryStep::Listed(listed) => {
                    let names: &[&str] = if listed { &["z0-0", "z0-1"] } else { &["z0-0"] };
                    table.observe_host_list(&list(names), start + at);
                    if listed {
                        naive.known.get_or_insert(at);
                    }
                    if naive.known.is_some() {
                        naive.listed.push((at, listed));
                    }
                }
                HistoryStep::Elapsed(seconds) => {
                    for _ in 0..seconds {
                        at += Duration::from_secs(1);
                        table.tick(start + at);
                        if naive.is_removed(at) {
                            naive = NaiveHost::default();
                        }
                    }
                }
            }
            let member = table.member("z0-1");
            prop_assert_eq!(member.is_some(), naive.known.is_some());
            prop_assert_eq!(
                member.and_then(|member| member.incarnation),
                naive.current().map(|(incarnation, _)| incarnation)
            );
            let silent = naive.silent_since().map_or(Duration::ZERO, |since| at - since);
            let is_live = naive.current().is_some() && silent < Duration::from_secs(5);
            prop_assert_eq!(member.is_some_and(|member| member.phase == MemberPhase::Live), is_live);
        }
    }
}
