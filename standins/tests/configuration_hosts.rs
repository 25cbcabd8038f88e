//! Checks that configuration takes effect on every host and is never reverted while hosts
//! and links fail.

mod support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Method, StatusCode};
use jackdawwick::api::wire::{ForceView, GenerateBody, RefusalBody};
use jackdawwick::cli::rollout_progress;
use jackdawwick::platform::wire::{HostList, ListedHost, ListedPhase};
use jackdawwick::reason::RefusalReason;
use jackdawwick::records::DECLARATION_STREAM;
use jackdawwick::verdict::RunVerdict;
use standins::caller::CallerClient;
use standins::declarations::{self, StageLayout, StageTarget};
use standins::engine::{EngineServer, EngineSettings};
use standins::{operator, reference};
use support::configuration::*;
use support::forwarder::{LinkState, TestLink};
use support::hosts::{ReversionDetector, TestHost, accepted, organisation};
use support::{TestError, TestResult, eventually};

const MODEL: &str = "drafter";
const LAYERS: u32 = 4;
const TOKENS: u64 = 60;

fn generation() -> GenerateBody {
    GenerateBody {
        model: MODEL.into(),
        prompt: vec![3, 1, 4],
        max_tokens: TOKENS,
        deadline_ms: None,
        priority: 0,
        resume: None,
    }
}

/// Guards against an old configuration or a deleted resource that returns, because a new
/// host takes an old checkpoint for the whole state, or continues after a checkpoint and
/// misses the records before it. The log keeps few records and changes all the time while
/// every host is replaced twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn configuration_survives_log_retention_and_host_replacement() -> TestResult {
    let platform = start_platform(24).await?;
    let detector = ReversionDetector::spawn();
    let mut hosts = Vec::from(start_hosts(platform.local_addr()).await?);
    let kept = hosts[0].declare("kept", 7).await?;
    let removed = hosts[0].declare("gone", 7).await?;
    let deletion = operator::delete(hosts[0].operators, &key("gone"), removed).await?;
    let deletion = accepted(&deletion)?;
    wait_until_all_serve(&hosts, &key("kept"), kept).await?;
    let (mut version, mut based_on) = (deletion, None);
    for round in 0_u32..6 {
        let seeds: Vec<&TestHost> = hosts.iter().collect();
        let name = format!("successor-{round}");
        let next = TestHost::start(&name, "vake", platform.local_addr(), &seeds).await?;
        hosts.push(next);
        for change in 0..10 {
            let host = &hosts[change as usize % hosts.len()];
            let changed = organisation("desk", 10 * round + change + 1);
            let reply = operator::apply(host.operators, &changed, based_on).await?;
            version = accepted(&reply)?;
            based_on = Some(version);
        }
        wait_until_all_serve(&hosts, &key("desk"), version).await?;
        wait_until_all_serve(&hosts, &key("kept"), kept).await?;
        detector.set_minimum(&key("desk"), version, false);
        detector.set_minimum(&key("kept"), kept, false);
        detector.set_minimum(&key("gone"), deletion, true);
        hosts
            .iter()
            .skip(hosts.len() - 1)
            .for_each(|host| detector.add(host));
        hosts.remove(0).shutdown().await;
    }
    let horizon = platform.record(DECLARATION_STREAM).len() as u64 - 24;
    assert!(
        deletion < horizon,
        "the deletion {deletion} is still in the log, which starts at {horizon}"
    );
    // Without peers a new host has only the log. It starts in a zone where another host
    // divides the shares: with expired lease records the new host could divide them
    // itself only after the longest lease, and would not be ready before.
    let alone = TestHost::start("alone", "vake", platform.local_addr(), &[]).await?;
    detector.add(&alone);
    alone.wait_until_serving(&key("desk"), version).await?;
    alone.wait_until_serving(&key("kept"), kept).await?;
    assert_eq!(alone.version(&key("gone")).await, None);
    detector.finish()
}

/// Guards against a host that serves an old configuration, or none, because it becomes
/// ready as soon as it has any state. The platform is down, and a new host first reaches
/// a peer that has been disconnected for long, or no peer at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_started_during_an_outage_waits_for_the_newest_state() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let link = TestLink::bind().await?;
    link.forward_to(platform.local_addr());
    let old = TestHost::start("old", "vake", link.address, &[]).await?;
    let new = TestHost::start("new", "vake", platform.local_addr(), &[]).await?;
    let before = new.declare("desk", 1).await?;
    old.wait_until_serving(&key("desk"), before).await?;
    link.set(LinkState::Cut);
    let after = new.declare("desk", 2).await?;
    platform.faults().update(|faults| faults.outage = true);

    new.peer_link.set(LinkState::Held);
    let long_peer_timeout = "peer_timeout = \"50s\"";
    let seeds = [&old, &new];
    let started = TestHost::start_with(
        "a",
        "vake",
        platform.local_addr(),
        &seeds,
        long_peer_timeout,
    )
    .await?;
    let isolated = TestHost::start("b", "didube", platform.local_addr(), &[]).await?;
    eventually("the host has the old state", || async {
        started.version(&key("desk")).await == Some(before)
    })
    .await?;
    for _ in 0..20 {
        assert!(
            !started.is_ready().await,
            "the host is ready with the old state"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    new.peer_link.set(LinkState::Open);
    started.wait_until_serving(&key("desk"), after).await?;

    let reply = operator::apply(isolated.operators, &organisation("b", 1), None).await?;
    assert_eq!(reply.json::<RefusalBody>()?.verdict, RunVerdict::NotRun);
    let ready = standins::json_client::call(Method::GET, isolated.callers, "/readyz", &()).await?;
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    // Without configuration the host knows no organisation either. A caller that gets
    // "unknown organisation" would not retry.
    let caller = CallerClient::open("desk");
    let response = caller
        .generate(isolated.callers, "early", &generation())
        .await;
    let refusal = response.refused().ok_or("no refusal")?;
    assert_eq!(refusal.reason, RefusalReason::NotReady);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    platform.faults().update(|faults| faults.outage = false);
    isolated.wait_until_serving(&key("desk"), after).await
}

/// Guards against a zone that keeps an old configuration, stops serving, or reverts after
/// it has reconnected, because records arrive only through the log or unknown state
/// counts as new. The zone loses the platform, then also its peers, and then reconnects
/// to both.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_disconnected_zone_follows_its_peers_or_keeps_its_configuration() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let link = TestLink::bind().await?;
    link.forward_to(platform.local_addr());
    let cut = TestHost::start("cut", "anfa", link.address, &[]).await?;
    let near = TestHost::start("near", "sidi", platform.local_addr(), &[&cut]).await?;
    let far = TestHost::start("far", "sidi", platform.local_addr(), &[&cut, &near]).await?;
    let hosts = [cut, near, far];
    let detector = ReversionDetector::spawn();
    hosts.iter().for_each(|host| detector.add(host));
    let desk = key("desk");
    let first = hosts[1].declare("desk", 1).await?;
    wait_until_all_serve(&hosts, &desk, first).await?;
    detector.set_minimum(&desk, first, false);

    link.set(LinkState::Cut);
    let mut by_peers = first;
    // Each peer in turn is unreachable for the host, but calls the host itself.
    for unreachable in [&hosts[1], &hosts[2]] {
        unreachable.peer_link.set(LinkState::Cut);
        by_peers = hosts[1].declare("desk", 2).await?;
        wait_until_all_serve(&hosts, &desk, by_peers).await?;
        detector.set_minimum(&desk, by_peers, false);
        unreachable.peer_link.set(LinkState::Open);
    }
    let [_, wrong] = correct_and_wrong_tables(&platform)?;
    append(&platform, checkpoint("wrong", &wrong)?).await?;
    let reports_difference = || async { metric(&hosts[0], DIFFERING_CHECKPOINTS).await == Some(1) };
    eventually(
        "the disconnected host counts the wrong checkpoint",
        reports_difference,
    )
    .await?;

    hosts
        .iter()
        .for_each(|host| host.peer_link.set(LinkState::Cut));
    let unseen = hosts[1].declare("desk", 3).await?;
    hosts[2].wait_until_serving(&desk, unseen).await?;
    let is_isolated = || async {
        assert!(hosts[0].is_ready().await, "stopped serving");
        let view = operator::read::<ForceView>(hosts[0].operators, "/v1/force").await;
        view.is_ok_and(|view| view.hosts.iter().filter(|host| host.reachable).count() == 1)
    };
    eventually("the disconnected host reaches no peer", is_isolated).await?;
    for _ in 0..50 {
        assert!(hosts[0].is_ready().await, "stopped serving");
        assert_eq!(hosts[0].version(&desk).await, Some(by_peers));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    hosts
        .iter()
        .for_each(|host| host.peer_link.set(LinkState::Open));
    wait_until_all_serve(&hosts, &desk, unseen).await?;
    detector.set_minimum(&desk, unseen, false);
    link.set(LinkState::Open);
    let last = hosts[0].declare("desk", 4).await?;
    wait_until_all_serve(&hosts, &desk, last).await?;
    detector.finish()
}

/// Guards against a `watch` that never ends, or ends while a host is behind, because a
/// host without a direct connection counts as unreachable for ever, or a new incarnation
/// is taken for the old one. In a fleet of 8 hosts in 3 zones each host is connected to
/// only 2 hosts of each other zone, and hosts restart under their names.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn the_force_view_lists_every_host_after_restarts() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let address = platform.local_addr();
    let mut hosts: Vec<TestHost> = Vec::new();
    for (zone, count) in [("vake", 3), ("saburtalo", 3), ("didube", 2)] {
        for number in 1..=count {
            let seeds: Vec<&TestHost> = hosts.iter().collect();
            let name = format!("{zone}-{number}");
            hosts.push(TestHost::start(&name, zone, address, &seeds).await?);
        }
    }
    for round in 1..=6 {
        platform.set_hosts(host_list(&hosts));
        let version = hosts[round as usize % 8].declare("desk", round).await?;
        for host in &hosts {
            let what = format!(
                "{} reports version {version} in effect on 8 hosts",
                host.name
            );
            eventually(&what, || async {
                let view = operator::read::<ForceView>(host.operators, "/v1/force").await;
                view.is_ok_and(|view| {
                    view.hosts.len() == 8 && rollout_progress(&view, version + 1).done
                })
            })
            .await?;
        }
        for host in &hosts {
            assert!(
                host.version(&key("desk")).await >= Some(version),
                "{}",
                host.name
            );
        }
        let old = hosts.remove(0);
        let (name, zone) = (old.name.clone(), old.zone.clone());
        old.shutdown().await;
        let seeds: Vec<&TestHost> = hosts.iter().collect();
        hosts.insert(0, TestHost::start(&name, &zone, address, &seeds).await?);
    }
    Ok(())
}

fn host_list(hosts: &[TestHost]) -> HostList {
    let listed = hosts.iter().map(|host| ListedHost {
        host: host.name.as_str().into(),
        zone: host.zone.as_str().into(),
        peer_address: host.peer_link.address.to_string(),
        phase: ListedPhase::Live,
    });
    HostList {
        hosts: listed.collect(),
        targets: Vec::new(),
    }
}

/// Guards against streams that break when an operator changes a resource, because tables
/// are rebuilt and lose the runs in flight. The engine, model and organisation of a
/// running stream are declared again while it runs, and the platform fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stream_survives_changes_of_its_resources() -> TestResult {
    let platform = start_platform(u64::MAX).await?;
    let hosts = start_hosts(platform.local_addr()).await?;
    let settings = EngineSettings {
        step_time: Duration::from_millis(15),
        ..EngineSettings::new(MODEL, declarations::VERSION, LAYERS, 0, LAYERS - 1)
    };
    let engine = EngineServer::bind(any_port(), settings).await?;
    let target = |tokens_per_second: f64| StageTarget {
        name: "engine-1".to_owned(),
        zone: "vake".into(),
        address: engine.local_addr(),
        tokens_per_second,
        concurrency: 4,
    };
    let stages = |rate: f64| {
        [StageLayout {
            first_layer: 0,
            last_layer: LAYERS - 1,
            targets: vec![target(rate)],
        }]
    };
    let declared = declarations::pipeline(MODEL, &stages(100.0));
    operator::declare_all(hosts[0].operators, &declared).await?;
    let version = hosts[0].declare("desk", 100).await?;
    wait_until_all_serve(&hosts, &key("desk"), version).await?;
    let body = generation();
    let caller = CallerClient::open("desk");
    let ended = AtomicBool::new(false);
    let changes = async {
        let mut change_count = 0;
        while !ended.load(Ordering::Relaxed) {
            let rate = 100.0 + f64::from(change_count);
            let changed = declarations::pipeline(MODEL, &stages(rate));
            operator::declare_all(hosts[1].operators, &changed).await?;
            hosts[2].declare("desk", 100 + change_count).await?;
            change_count += 1;
        }
        platform.faults().update(|faults| faults.outage = true);
        Ok::<_, TestError>(change_count)
    };
    let stream = async {
        let response = caller.generate(hosts[0].callers, "long", &body).await;
        ended.store(true, Ordering::Relaxed);
        response
    };
    let (response, change_count) = tokio::join!(stream, changes);
    let expected = reference::generate(
        MODEL,
        declarations::VERSION,
        LAYERS,
        &body.prompt,
        TOKENS as usize,
    );
    assert!(response.is_complete(), "{response:?}");
    assert_eq!(response.tokens(), expected);
    assert!(change_count? > 0, "nothing changed while the stream ran");
    // The platform is down, and the configuration stays in effect.
    let response = caller.generate(hosts[0].callers, "after", &body).await;
    assert_eq!(response.tokens(), expected);
    Ok(())
}
