//! Checks that engines are ordered to load what is declared, whichever host holds the
//! lease, and that a change of version loses no request.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use jackdawwick::api::wire::{GenerateBody, ResourceView, StreamEvent};
use jackdawwick::lease::record::LeaseBody;
use jackdawwick::records::{LEASE_STREAM, LogRecord};
use jackdawwick::resources::{
    FencingSupport, ModelSpec, PipelineSpec, ResourceSpec, StageSpec, VersionSpec,
};
use jackdawwick::target::wire::{StateOrder, TargetState};
use jackdawwick::verdict::RunVerdict;
use standins::caller::CallerClient;
use standins::check::{
    GenerationHistory, RunHistory, TargetSteps, check_complete_responses, check_layers,
    check_not_run,
};
use standins::daemon_settings::{DaemonConfig, SeedPeer};
use standins::declarations::{self, StageLayout, StageTarget, VERSION};
use standins::engine::{EngineServer, EngineSettings, FencingMode};
use standins::json_client::call;
use standins::operator::{self, Declaration};
use standins::platform::{PlatformServer, PlatformSettings};
use support::{DaemonProcess, TestError, TestResult, WAIT_TIMEOUT, eventually};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

const MODEL: &str = "drafter";
const NEXT_VERSION: &str = "v2";
const LAYERS: u32 = 8;
const ZONE: &str = "anfa";
const HOSTS: [&str; 2] = ["entry-1", "entry-2"];
const ORGANISATION: &str = "desk";
const PROMPT: [u64; 3] = [5, 6, 7];
const SHORT_TOKENS: u64 = 3;
/// Tokens of a response that takes more than a second, but less time than a range stays
/// loaded after its declaration is deleted.
const LONG_TOKENS: u64 = 100;
const STEP_TIME: Duration = Duration::from_millis(5);
const SEND_INTERVAL: Duration = Duration::from_millis(50);

struct SmallFleet {
    platform: PlatformServer,
    engines: Vec<(StageTarget, EngineServer)>,
    daemons: Vec<DaemonProcess>,
}

/// Starts two stages with two engines each, of which the second ignores fencing numbers,
/// and two daemons in one zone.
async fn start_fleet(load_time: Duration) -> Result<SmallFleet, TestError> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformServer::bind(any_port, PlatformSettings::default()).await?;
    let mut engines = Vec::new();
    let mut stages = Vec::new();
    for first_layer in [0, LAYERS / 2] {
        let last_layer = first_layer + LAYERS / 2 - 1;
        for fencing in [FencingMode::Checks, FencingMode::Ignores] {
            let settings = EngineSettings {
                step_time: STEP_TIME,
                load_time,
                fencing,
                ..EngineSettings::new(MODEL, VERSION, LAYERS, first_layer, last_layer)
            };
            let server = EngineServer::bind(any_port, settings).await?;
            let target = StageTarget {
                name: format!("engine-{}", engines.len()),
                zone: ZONE.into(),
                address: server.local_addr(),
                tokens_per_second: 1_000.0,
                concurrency: 16,
            };
            engines.push((target, server));
        }
        let targets = engines.iter().rev().take(2);
        stages.push(StageLayout {
            first_layer,
            last_layer,
            targets: targets.map(|(target, _)| target.clone()).collect(),
        });
    }
    let seeds = reserve_peer_addresses()?;
    let mut daemons = Vec::new();
    for seed in &seeds {
        let settings = DaemonConfig {
            peers: seed.address,
            seeds: seeds.clone(),
            ..DaemonConfig::new(&seed.host, ZONE, platform.local_addr())
        };
        let timing = "\n[timing]\nlease_duration = \"2s\"\ndefault_deadline = \"4s\"\n";
        daemons.push(DaemonProcess::spawn(&settings.to_toml(timing))?);
    }
    let mut resources = declarations::pipeline(MODEL, &stages);
    for (index, resource) in resources.iter_mut().enumerate() {
        if let ResourceSpec::Target(spec) = &mut resource.spec
            && index % 2 == 1
        {
            spec.fencing = FencingSupport::Ignores;
        }
    }
    resources.push(declarations::organisation(ORGANISATION, 200, 2_000));
    operator::declare_all(daemons[0].operators, &resources).await?;
    let fleet = SmallFleet {
        platform,
        engines,
        daemons,
    };
    for daemon in &fleet.daemons {
        eventually("a request completes", || async {
            let caller = CallerClient::open(ORGANISATION);
            let response = caller.generate(daemon.callers, "first", &body(1)).await;
            response.is_complete()
        })
        .await?;
    }
    Ok(fleet)
}

/// Finds a peer port for each host, on a loopback address from which no connection goes
/// out, so that the ports stay free until the daemons listen.
fn reserve_peer_addresses() -> Result<Vec<SeedPeer>, TestError> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let mut listeners = Vec::new();
    let mut seeds = Vec::new();
    for host in HOSTS {
        let listener = TcpListener::bind(SocketAddr::from(([127, high, low, 4], 0)))?;
        seeds.push(SeedPeer {
            host: host.to_owned(),
            zone: ZONE.to_owned(),
            address: listener.local_addr()?,
        });
        listeners.push(listener);
    }
    Ok(seeds)
}

fn body(max_tokens: u64) -> GenerateBody {
    GenerateBody {
        model: MODEL.into(),
        prompt: PROMPT.to_vec(),
        max_tokens,
        deadline_ms: Some(15_000),
        priority: 0,
        resume: None,
    }
}

/// Runs a request and returns its history, with the version named by the first event.
async fn run(host: SocketAddr, request: String, max_tokens: u64) -> GenerationHistory {
    let caller = CallerClient::open(ORGANISATION);
    let response = caller.generate(host, &request, &body(max_tokens)).await;
    let version = response
        .events
        .iter()
        .find_map(|received| match &received.event {
            StreamEvent::Started { version, .. } => Some(version.clone()),
            _ => None,
        });
    GenerationHistory {
        request: request.as_str().into(),
        organisation: ORGANISATION.into(),
        model: MODEL.to_owned(),
        version: version.unwrap_or_default(),
        layers: LAYERS,
        prompt: PROMPT.to_vec(),
        max_tokens,
        responses: vec![response],
    }
}

/// Short requests through both daemons at a steady rate.
struct SteadyLoad {
    stop: watch::Sender<bool>,
    task: JoinHandle<Vec<GenerationHistory>>,
}

impl SteadyLoad {
    fn spawn(fleet: &SmallFleet) -> Self {
        let stop = watch::Sender::new(false);
        let stopped = stop.subscribe();
        let hosts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
        let task = tokio::spawn(async move {
            let mut runs = JoinSet::new();
            let mut number = 0;
            while !*stopped.borrow() {
                for host in &hosts {
                    runs.spawn(run(*host, format!("run-{number}"), SHORT_TOKENS));
                    number += 1;
                }
                tokio::time::sleep(SEND_INTERVAL).await;
            }
            runs.join_all().await
        });
        Self { stop, task }
    }

    async fn end(self) -> Result<Vec<GenerationHistory>, TestError> {
        self.stop.send_replace(true);
        Ok(self.task.await?)
    }
}

impl SmallFleet {
    /// Returns a pipeline with the same stages in the next version.
    fn next_pipeline(&self) -> Declaration {
        let stage = |index: usize| StageSpec {
            first_layer: index as u32 * LAYERS / 2,
            last_layer: (index as u32 + 1) * LAYERS / 2 - 1,
            targets: self.engines[2 * index..2 * index + 2]
                .iter()
                .map(|(target, _)| target.name.as_str().into())
                .collect(),
        };
        let spec = PipelineSpec {
            model: MODEL.into(),
            version: NEXT_VERSION.into(),
            stages: vec![stage(0), stage(1)],
        };
        Declaration::new("drafter-next", ResourceSpec::Pipeline(spec))
    }

    async fn state(&self, engine: usize) -> Result<TargetState, TestError> {
        let address = self.engines[engine].0.address;
        let reply = call(Method::GET, address, "/v1/state", &()).await?;
        Ok(reply.json()?)
    }

    /// Waits until every engine has loaded its range in exactly these versions.
    async fn wait_for_versions(&self, versions: &[&str]) -> TestResult {
        eventually(&format!("engines hold {versions:?}"), || async {
            for engine in 0..self.engines.len() {
                let Ok(state) = self.state(engine).await else {
                    return false;
                };
                let mut held: Vec<&str> =
                    state.loaded.iter().map(|range| &*range.version).collect();
                held.sort_unstable();
                if held != versions || !state.loading.is_empty() {
                    return false;
                }
            }
            true
        })
        .await
    }

    fn history(&self, generations: Vec<GenerationHistory>) -> RunHistory {
        let steps = self.engines.iter().map(|(target, server)| TargetSteps {
            target: target.name.as_str().into(),
            records: server.record(),
        });
        RunHistory {
            steps: steps.collect(),
            generations,
            ..RunHistory::default()
        }
    }

    /// Returns the index of the daemon that wrote the last record of the lease for
    /// orders.
    async fn lease_holder(&self) -> Result<usize, TestError> {
        let lease_name = format!("orders/{ZONE}");
        let last = || -> Option<usize> {
            let records = self.platform.record(LEASE_STREAM).into_iter();
            let mut parsed = records.filter_map(|record| {
                serde_json::from_str::<LogRecord<LeaseBody>>(&record.body).ok()
            });
            let last = parsed.rfind(|record| *record.body.name == *lease_name)?;
            HOSTS.iter().position(|host| **host == *last.writer)
        };
        eventually("a host takes the lease", || async { last().is_some() }).await?;
        last().ok_or_else(|| "no host holds the lease".into())
    }
}

fn model(offered: &str) -> Declaration {
    let version = |name: &str| VersionSpec {
        name: name.into(),
        layers: LAYERS,
        adapters: Vec::new(),
    };
    let spec = ModelSpec {
        offered: offered.into(),
        versions: vec![version(VERSION), version(NEXT_VERSION)],
    };
    Declaration::new(MODEL, ResourceSpec::Model(spec))
}

/// Deletes the pipeline of the first version.
async fn delete_first_pipeline(host: SocketAddr) -> TestResult {
    let path = format!("/v1/resources/pipeline/{MODEL}");
    let view: ResourceView = operator::read(host, &path).await?;
    let path = format!("{path}?based_on={}", view.version);
    let reply = operator::operate(host, Method::DELETE, &path, Vec::new()).await?;
    match reply.status {
        status if status.is_success() => Ok(()),
        status => Err(format!("{status}: {:?}", reply.body).into()),
    }
}

/// Guards against requests that fail during a rollout, because work goes to an engine
/// that has not loaded the version, or a version is unloaded while it has runs. A second
/// version is declared, loaded and offered, and the pipeline of the first one is deleted,
/// under load and with a long run on the first version.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_rolled_out_without_a_lost_request() -> TestResult {
    let fleet = start_fleet(Duration::from_millis(300)).await?;
    let (operators, callers) = (fleet.daemons[0].operators, fleet.daemons[0].callers);
    let load = SteadyLoad::spawn(&fleet);
    operator::declare_all(operators, &[model(VERSION), fleet.next_pipeline()]).await?;
    fleet.wait_for_versions(&[VERSION, NEXT_VERSION]).await?;
    let long = tokio::spawn(run(callers, "long".to_owned(), LONG_TOKENS));
    eventually("the long run has begun", || async {
        let steps = fleet.history(Vec::new()).steps;
        let mut records = steps.iter().flat_map(|engine| &engine.records);
        records.any(|record| record.request.starts_with("long~") && record.position > 4)
    })
    .await?;
    operator::declare_all(operators, &[model(NEXT_VERSION)]).await?;
    delete_first_pipeline(operators).await?;
    eventually("the next version responds", || async {
        run(callers, "probe".to_owned(), 1).await.version == NEXT_VERSION
    })
    .await?;
    assert!(!long.is_finished(), "the long run is too short");
    let long = long.await?;
    assert_eq!(long.version, VERSION);
    fleet.wait_for_versions(&[NEXT_VERSION]).await?;
    let mut generations = load.end().await?;
    assert!(
        generations
            .iter()
            .any(|generation| generation.version == VERSION)
    );
    assert!(
        generations
            .iter()
            .any(|generation| generation.version == NEXT_VERSION)
    );
    generations.push(long);
    for generation in &generations {
        assert!(generation.responses[0].is_complete(), "{generation:?}");
    }
    let history = fleet.history(generations);
    assert_eq!(check_layers(&history), []);
    assert_eq!(check_complete_responses(&history), []);
    Ok(())
}

/// Guards against a caller that gets "may have run" or no response while no engine has
/// loaded the version. The version is offered as soon as it is declared, and its weights
/// take a second to load. All engines refuse, and the caller must get "not run" with a
/// time for its retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_offered_too_early_is_refused_as_not_run() -> TestResult {
    let fleet = start_fleet(Duration::from_secs(1)).await?;
    let (operators, callers) = (fleet.daemons[0].operators, fleet.daemons[0].callers);
    operator::declare_all(operators, &[model(NEXT_VERSION), fleet.next_pipeline()]).await?;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut generations = Vec::new();
    loop {
        let request = format!("early-{}", generations.len());
        let generation = run(callers, request, SHORT_TOKENS).await;
        let is_complete = generation.responses[0].is_complete();
        generations.push(generation);
        if is_complete {
            break;
        }
        assert!(Instant::now() < deadline, "{generations:?}");
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    let refused = &generations[..generations.len() - 1];
    assert!(
        !refused.is_empty(),
        "the weights were loaded before the first request"
    );
    for (number, generation) in refused.iter().enumerate() {
        let refusal = generation
            .refusal()
            .ok_or("a response is neither complete nor refused")?;
        assert!(refusal.retry_after_ms.is_some());
        // Later the first stage may be loaded, and run, before the second.
        assert!(
            number > 0 || refusal.verdict == RunVerdict::NotRun,
            "{generation:?}"
        );
    }
    let history = fleet.history(generations);
    assert_eq!(check_not_run(&history), []);
    assert_eq!(check_complete_responses(&history), []);
    Ok(())
}

/// Guards against an engine that stays in the state of an earlier change, because the
/// holder does not know that it was stopped, or an engine executes a delayed order. The
/// lease holder is stopped past its lease, another host takes over and orders a change,
/// the first host resumes, and an order with its old fencing number reaches both kinds of
/// engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_order_of_a_resumed_holder_is_corrected() -> TestResult {
    let fleet = start_fleet(Duration::from_millis(100)).await?;
    let holder = fleet.lease_holder().await?;
    let other = 1 - holder;
    fleet.daemons[holder].process.signal("STOP")?;
    let change = [model(VERSION), fleet.next_pipeline()];
    operator::declare_all(fleet.daemons[other].operators, &change).await?;
    fleet.wait_for_versions(&[VERSION, NEXT_VERSION]).await?;
    let fencing = fleet
        .state(0)
        .await?
        .fencing
        .ok_or("the engine got no order")?;
    fleet.daemons[holder].process.signal("CONT")?;
    for engine in 0..fleet.engines.len() {
        let state = fleet.state(engine).await?;
        let stale = StateOrder {
            loaded: state.loaded[..1].to_vec(),
            role: state.role,
            fencing: fencing - 1,
            deadline_ms: 1_000,
        };
        let address = fleet.engines[engine].0.address;
        let reply = call(Method::PUT, address, "/v1/state", &stale).await?;
        let expected = match engine % 2 {
            0 => StatusCode::PRECONDITION_FAILED,
            _ => StatusCode::OK,
        };
        assert_eq!(reply.status, expected);
    }
    fleet.wait_for_versions(&[VERSION, NEXT_VERSION]).await?;
    // Longer than the resumed host needs to read the state and send an order.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.wait_for_versions(&[VERSION, NEXT_VERSION]).await
}

/// Guards against a zone whose engines get no orders any more, because the lease stays
/// with a dead host or the other one does not take over. The lease holder is killed, then
/// a change is declared.
#[tokio::test(flavor = "multi_thread")]
async fn the_other_host_takes_over_after_the_holder_is_killed() -> TestResult {
    let mut fleet = start_fleet(Duration::from_millis(100)).await?;
    let holder = fleet.lease_holder().await?;
    fleet.daemons[holder].process.kill()?;
    let change = [model(VERSION), fleet.next_pipeline()];
    operator::declare_all(fleet.daemons[1 - holder].operators, &change).await?;
    fleet.wait_for_versions(&[VERSION, NEXT_VERSION]).await
}
