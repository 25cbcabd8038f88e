//! Checks that a graceful shutdown interrupts no request. The daemons are separate
//! processes that are terminated by a signal under load.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use http::StatusCode;
use jackdawwick::api::wire::{GenerateBody, RefusalBody};
use jackdawwick::lease::record::{LeaseBody, LeaseEntry};
use jackdawwick::platform::wire::{AppendBody, HostList, ListedHost, ListedPhase};
use jackdawwick::reason::RefusalReason;
use jackdawwick::records::{JUDGING_RULES, LEASE_STREAM, LogRecord};
use jackdawwick::verdict::RunVerdict;
use standins::caller::{CallerClient, OutgoingCall, new_key};
use standins::check::{
    GenerationHistory, RunHistory, TargetSteps, check_complete_responses, check_layers,
    check_single_response,
};
use standins::daemon_settings::DaemonConfig;
use standins::declarations::{self, StageLayout, StageTarget, VERSION};
use standins::engine::{EngineServer, EngineSettings};
use standins::json_client::call;
use standins::operator;
use standins::platform::{PlatformServer, PlatformSettings};
use standins::service::{ServiceServer, ServiceSettings};
use support::{DaemonProcess, TestError, TestResult, eventually};
use tokio::task::JoinHandle;

const MODEL: &str = "drafter";
const LAYERS: u32 = 8;
const ZONE: &str = "anfa";
const HOSTS: [&str; 2] = ["entry-1", "entry-2"];
const PROMPT: [u64; 3] = [5, 6, 7];
/// Tokens of a response that takes about two seconds.
const LONG_TOKENS: u64 = 120;
const STREAMS: usize = 6;
const STEP_TIME: Duration = Duration::from_millis(5);
const CALL_TIME: Duration = Duration::from_secs(1);
/// Organisation that may run one request at a time, so that others wait in the queue.
const NARROW: &str = "narrow";
const WIDE: &str = "wide";
/// Far longer than the timeouts of these tests, so that a host that gets the lease in
/// time got it by a release.
const LEASE_DURATION: &str = "30s";

struct SmallFleet {
    platform: PlatformServer,
    engines: Vec<(StageTarget, EngineServer)>,
    service: ServiceServer,
    daemons: Vec<DaemonProcess>,
}

/// Starts two stages with two engines each, a service, and two daemons in one zone.
async fn start_fleet(drain_timeout: &str) -> Result<SmallFleet, TestError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::bind(any_port, PlatformSettings::default()).await?;
    let mut engines = Vec::new();
    let mut stages = Vec::new();
    for first_layer in [0, LAYERS / 2] {
        let last_layer = first_layer + LAYERS / 2 - 1;
        for number in 0..2 {
            let settings = EngineSettings {
                step_time: STEP_TIME,
                ..EngineSettings::new(MODEL, VERSION, LAYERS, first_layer, last_layer)
            };
            let server = EngineServer::bind(any_port, settings).await?;
            let name = format!("engine-{first_layer}-{number}");
            engines.push((stage_target(&name, server.local_addr()), server));
        }
        let targets = engines.iter().rev().take(2);
        stages.push(StageLayout {
            first_layer,
            last_layer,
            targets: targets.map(|(target, _)| target.clone()).collect(),
        });
    }
    let settings = ServiceSettings {
        call_time: CALL_TIME,
        ..ServiceSettings::default()
    };
    let service = ServiceServer::bind(any_port, settings).await?;
    let mut daemons = Vec::new();
    for host in HOSTS {
        daemons.push(start_daemon(host, &platform, drain_timeout)?);
    }
    platform.set_hosts(HostList {
        hosts: HOSTS
            .iter()
            .zip(&daemons)
            .map(|(host, daemon)| listed(host, daemon))
            .collect(),
        targets: Vec::new(),
    });
    let mut resources = declarations::pipeline(MODEL, &stages);
    let targets = [stage_target("artifacts-1", service.local_addr())];
    resources.extend(declarations::service("artifacts", &targets, &[]));
    resources.push(declarations::organisation(WIDE, 100, 1_000));
    resources.push(declarations::organisation(NARROW, 1, 1_000));
    operator::declare_all(daemons[0].operators, &resources).await?;
    let fleet = SmallFleet {
        platform,
        engines,
        service,
        daemons,
    };
    for daemon in &fleet.daemons {
        eventually("a request completes", || async {
            let caller = CallerClient::open(WIDE);
            let response = caller.generate(daemon.callers, "first", &body(1)).await;
            response.is_complete()
        })
        .await?;
    }
    Ok(fleet)
}

/// Waits until the host holds the one unit of capacity of [`NARROW`], which the other
/// host may hold at first.
async fn wait_for_narrow_capacity(host: SocketAddr) -> TestResult {
    eventually("the narrow organisation is served", || async {
        let caller = CallerClient::open(NARROW);
        caller.generate(host, "hold", &body(1)).await.is_complete()
    })
    .await
}

fn listed(host: &str, daemon: &DaemonProcess) -> ListedHost {
    ListedHost {
        host: host.into(),
        zone: ZONE.into(),
        peer_address: daemon.peers.to_string(),
        phase: ListedPhase::Live,
    }
}

fn start_daemon(
    host: &str,
    platform: &PlatformServer,
    drain_timeout: &str,
) -> Result<DaemonProcess, TestError> {
    let timing = format!(
        "\n[timing]\ndrain_timeout = {drain_timeout:?}\nlease_duration = {LEASE_DURATION:?}\n"
    );
    let settings = DaemonConfig::new(host, ZONE, platform.local_addr()).to_toml(&timing);
    DaemonProcess::spawn(&settings)
}

fn stage_target(name: &str, address: SocketAddr) -> StageTarget {
    StageTarget {
        name: name.to_owned(),
        zone: ZONE.into(),
        address,
        tokens_per_second: 1_000.0,
        concurrency: 16,
    }
}

fn body(max_tokens: u64) -> GenerateBody {
    GenerateBody {
        model: MODEL.into(),
        prompt: PROMPT.to_vec(),
        max_tokens,
        deadline_ms: Some(60_000),
        priority: 0,
        resume: None,
    }
}

fn start_run(
    host: SocketAddr,
    organisation: &'static str,
    request: String,
    max_tokens: u64,
) -> JoinHandle<GenerationHistory> {
    tokio::spawn(async move {
        let caller = CallerClient::open(organisation);
        let response = caller.generate(host, &request, &body(max_tokens)).await;
        GenerationHistory {
            request: request.as_str().into(),
            organisation: organisation.into(),
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            layers: LAYERS,
            prompt: PROMPT.to_vec(),
            max_tokens,
            responses: vec![response],
        }
    })
}

impl SmallFleet {
    /// Returns the steps that each engine has run.
    fn steps(&self) -> Vec<TargetSteps> {
        let steps = self.engines.iter().map(|(target, server)| TargetSteps {
            target: target.name.as_str().into(),
            records: server.record(),
        });
        steps.collect()
    }

    fn has_run(&self, request: &str) -> bool {
        let prefix = format!("{request}~");
        let records = self.steps().into_iter().flat_map(|steps| steps.records);
        let mut positions = records.filter(|record| record.request.starts_with(&prefix));
        positions.any(|record| record.position > PROMPT.len() as u64)
    }
}

fn lease_records(platform: &PlatformServer) -> Result<Vec<LogRecord<LeaseBody>>, TestError> {
    let stored = platform.record(LEASE_STREAM).into_iter();
    let lease_name = format!("orders/{ZONE}");
    let parsed: Result<Vec<LogRecord<LeaseBody>>, _> = stored
        .map(|record| serde_json::from_str(&record.body))
        .collect();
    let mut records = parsed?;
    records.retain(|record| *record.body.name == *lease_name);
    Ok(records)
}

/// Returns the index of the host that first acquired the lease for orders.
async fn lease_holder(platform: &PlatformServer) -> Result<usize, TestError> {
    let first = || -> Option<usize> {
        let records = lease_records(platform).ok()?;
        let writer = &records.first()?.writer;
        HOSTS.iter().position(|host| **host == **writer)
    };
    eventually("a host takes the lease", || async { first().is_some() }).await?;
    first().ok_or_else(|| "no host holds the lease".into())
}

/// Waits until the other host has acquired the lease after its release.
async fn wait_for_handover(platform: &PlatformServer, from: usize) -> TestResult {
    let other = HOSTS[1 - from];
    eventually("the other host takes the lease", || async {
        let records = lease_records(platform).unwrap_or_default();
        let is_release = |record: &&LogRecord<LeaseBody>| {
            matches!(record.body.entry, LeaseEntry::Release { .. })
        };
        let mut later = records.iter().skip_while(|record| !is_release(record));
        later.any(|record| {
            let is_acquired = matches!(record.body.entry, LeaseEntry::Acquire { .. });
            is_acquired && &*record.writer == other
        })
    })
    .await
}

/// Waits for a terminated daemon and returns its exit status.
fn wait_for_exit(daemon: &mut DaemonProcess) -> Result<Option<i32>, TestError> {
    tokio::task::block_in_place(|| daemon.process.wait())
}

async fn is_unready(daemon: SocketAddr) -> bool {
    let path = "/readyz";
    let reply = call(http::Method::GET, daemon, path, &()).await;
    reply.is_ok_and(|reply| reply.status == StatusCode::SERVICE_UNAVAILABLE)
}

/// Terminates the lease holder by a signal under load and calls `after_signal` right
/// after it. Every request that was accepted before must complete.
async fn terminate_under_load<F>(after_signal: F) -> TestResult
where
    F: FnOnce(&SmallFleet),
{
    let mut fleet = start_fleet("60s").await?;
    let holder = lease_holder(&fleet.platform).await?;
    let host = fleet.daemons[holder].callers;
    wait_for_narrow_capacity(host).await?;
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| start_run(host, WIDE, format!("wide-{number}"), LONG_TOKENS))
        .collect();
    let queued: Vec<_> = (0..3)
        .map(|number| start_run(host, NARROW, format!("narrow-{number}"), LONG_TOKENS / 4))
        .collect();
    let download = tokio::spawn(async move {
        let call = OutgoingCall {
            path: "artifacts/download",
            body: "{}".into(),
            key: None,
        };
        let caller = CallerClient::open(WIDE);
        caller.call_service(host, "call", call).await
    });
    eventually("the streams run", || async {
        (0..STREAMS).all(|number| fleet.has_run(&format!("wide-{number}")))
    })
    .await?;
    fleet.daemons[holder].process.signal("TERM")?;
    after_signal(&fleet);
    eventually("the daemon is not ready", || is_unready(host)).await?;
    let late = CallerClient::open(WIDE)
        .generate(host, "late", &body(1))
        .await;
    let is_in_flight = streams.iter().any(|stream| !stream.is_finished());
    assert!(is_in_flight, "the streams ended before the check");
    let refusal = late
        .refusal
        .ok_or("a request was accepted while draining")?;
    assert_eq!(refusal.reason, RefusalReason::Draining);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    let mut generations = Vec::new();
    for stream in streams.into_iter().chain(queued) {
        generations.push(stream.await?);
    }
    assert_eq!(download.await??.status, StatusCode::OK);
    assert_eq!(wait_for_exit(&mut fleet.daemons[holder])?, Some(0));
    for generation in &generations {
        assert!(generation.responses[0].is_complete(), "{generation:?}");
    }
    assert!(!fleet.has_run("late"));
    let history = RunHistory {
        generations,
        steps: fleet.steps(),
        ..RunHistory::default()
    };
    let mut broken = check_layers(&history);
    broken.extend(check_complete_responses(&history));
    broken.extend(check_single_response(&history));
    assert_eq!(broken, []);
    wait_for_handover(&fleet.platform, holder).await
}

/// Guards against streams that break when a host is replaced, because the process ends or
/// closes connections too early. SIGTERM arrives while long streams run, requests wait in
/// the queue and a service call is in flight.
#[tokio::test(flavor = "multi_thread")]
async fn termination_under_load_completes_all_requests() -> TestResult {
    terminate_under_load(|_| {}).await
}

/// Guards against a draining daemon that does not repair its runs. Right after SIGTERM
/// one engine of the second stage dies.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_that_dies_while_draining_is_replaced() -> TestResult {
    terminate_under_load(|fleet| {
        let busiest = fleet.engines[2..]
            .iter()
            .max_by_key(|(_, server)| server.record().len());
        if let Some((_, server)) = busiest {
            server.crash();
        }
    })
    .await
}

/// Guards against a caller whose connection breaks without a verdict, because the process
/// ends with the stream open. A stream takes longer than the drain timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_that_takes_too_long_ends_streams_with_a_verdict() -> TestResult {
    let mut fleet = start_fleet("300ms").await?;
    let host = fleet.daemons[0].callers;
    wait_for_narrow_capacity(host).await?;
    let stream = start_run(host, WIDE, "long".to_owned(), 10 * LONG_TOKENS);
    let running = start_run(host, NARROW, "running".to_owned(), 10 * LONG_TOKENS);
    let has_begun = || async { fleet.has_run("long") && fleet.has_run("running") };
    eventually("the streams run", has_begun).await?;
    let waiting = start_run(host, NARROW, "waiting".to_owned(), LONG_TOKENS);
    // No interface shows that the request is in the queue.
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.daemons[0].process.signal("TERM")?;
    for cut in [stream.await?, running.await?] {
        let response = &cut.responses[0];
        assert!(!response.broken, "{response:?}");
        let refusal = response.refused().ok_or("no error event")?;
        assert_eq!(refusal.reason, RefusalReason::Draining);
        assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
        assert!(!response.tokens().is_empty());
    }
    let refused = waiting.await?;
    let refusal = refused
        .refusal()
        .ok_or("the queued request was not refused")?;
    assert_eq!(refusal.reason, RefusalReason::Draining);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert!(!fleet.has_run("waiting"));
    assert_eq!(wait_for_exit(&mut fleet.daemons[0])?, Some(0));
    Ok(())
}

/// Guards against a process that outlasts its drain timeout for a service, and is then killed
/// under the calls.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_that_takes_too_long_ends_calls_with_a_verdict() -> TestResult {
    let mut fleet = start_fleet("300ms").await?;
    let host = fleet.daemons[0].callers;
    let key = new_key(SystemTime::now(), [1; 10]);
    let calls = [None, Some(key)].map(|key| {
        tokio::spawn(async move {
            let call = OutgoingCall {
                path: "artifacts/download",
                body: "{}".into(),
                key: key.as_deref(),
            };
            let caller = CallerClient::open(WIDE);
            let request = call.key.map_or("repeatable", |_| "claimed");
            caller.call_service(host, request, call).await
        })
    });
    eventually("the calls run", || async {
        fleet.service.record().len() == 2
    })
    .await?;
    fleet.daemons[0].process.signal("TERM")?;
    for call in calls {
        let response = call.await??;
        let refusal: RefusalBody = serde_json::from_slice(&response.body)?;
        assert_eq!(refusal.reason, RefusalReason::Draining);
        assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
    }
    assert_eq!(wait_for_exit(&mut fleet.daemons[0])?, Some(0));
    Ok(())
}

/// Guards against a zone whose targets get no orders for a whole lease, because a process
/// without requests in flight ends before it has released the lease. An idle lease holder
/// gets SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_host_releases_its_leases() -> TestResult {
    let mut fleet = start_fleet("60s").await?;
    let holder = lease_holder(&fleet.platform).await?;
    fleet.daemons[holder].process.signal("TERM")?;
    assert_eq!(wait_for_exit(&mut fleet.daemons[holder])?, Some(0));
    wait_for_handover(&fleet.platform, holder).await
}

/// Appends records of another lease all the time, so that each read of the stream returns
/// as soon as its delay has passed, and not because of the record that a test waits for.
fn keep_readers_busy(platform: SocketAddr) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            tokio::spawn(async move {
                let body = LeaseBody {
                    name: "orders/elsewhere".into(),
                    seen: 0,
                    entry: LeaseEntry::Release { fencing: 0 },
                };
                let record = LogRecord {
                    id: uuid::Uuid::new_v4().to_string().into(),
                    rules: JUDGING_RULES,
                    writer: "elsewhere".into(),
                    incarnation: 1,
                    body,
                };
                let path = format!("/v1/streams/{LEASE_STREAM}/records");
                let records = serde_json::to_string(&record).map(|text| vec![text]);
                let body = AppendBody {
                    records: records.unwrap_or_default(),
                };
                let _ = call(http::Method::POST, platform, &path, &body).await;
            });
        }
    })
}

/// Guards against a lease that is not released because its host does not know yet that it
/// holds it. SIGTERM arrives after the acquisition has reached the log and before the
/// host has read it there.
#[tokio::test(flavor = "multi_thread")]
async fn a_newly_acquired_lease_is_released() -> TestResult {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::bind(any_port, PlatformSettings::default()).await?;
    platform.faults().update(|faults| faults.delay_ms = 400);
    let background_appends = keep_readers_busy(platform.local_addr());
    let mut daemon = start_daemon(HOSTS[0], &platform, "60s")?;
    let holder = lease_holder(&platform).await?;
    daemon.process.signal("TERM")?;
    assert_eq!(wait_for_exit(&mut daemon)?, Some(0));
    background_appends.abort();
    platform.faults().update(|faults| faults.delay_ms = 0);
    let _other = start_daemon(HOSTS[1 - holder], &platform, "60s")?;
    wait_for_handover(&platform, holder).await
}
