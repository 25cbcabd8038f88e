//! Checks the whole path of a request in separate processes on the loopback address.

mod support;

use std::net::SocketAddr;

use http::Method;
use jackdawwick::api::wire::{GenerateBody, StatusView};
use jackdawwick::platform::wire::{HostList, ListedHost, ListedPhase};
use standins::caller::{CallerClient, OutgoingCall};
use standins::daemon_settings::DaemonConfig;
use standins::declarations::{self, StageLayout, StageTarget};
use standins::engine::{EngineFaults, StepRecord};
use standins::json_client::call;
use standins::{operator, reference};
use support::{DaemonProcess, TestError, TestProcess, TestResult, eventually};

const MODEL: &str = "receipt-reader";
const LAYERS: u32 = 12;
const PROMPT: [u64; 5] = [11, 22, 33, 44, 55];
const TOKENS: u64 = 9;
/// Step times of the three stages in microseconds, with mixed speeds.
const STEP_TIMES: [u64; 3] = [200, 1_000, 400];

/// Entry hosts and their availability zones.
const HOSTS: [(&str, &str); 3] = [
    ("entry-1", "vake"),
    ("entry-2", "vake"),
    ("entry-3", "didube"),
];

struct ProcessFleet {
    processes: Vec<TestProcess>,
    engines: Vec<SocketAddr>,
    daemons: Vec<DaemonProcess>,
}

/// Starts a platform, one engine per stage, a service and three daemons in two zones.
async fn start_fleet() -> Result<ProcessFleet, TestError> {
    let mut processes = Vec::new();
    let mut start = |program: &str, arguments: &[String]| -> Result<SocketAddr, TestError> {
        let mut process = TestProcess::spawn(program, arguments)?;
        let address = process.address("listening ")?;
        processes.push(process);
        Ok(address)
    };
    let platform = start("platform", &[])?;
    let mut stages = Vec::new();
    for (index, step_time) in (0..).zip(STEP_TIMES) {
        let (first, last) = (index * 4, index * 4 + 3);
        let arguments = [
            format!("--layers={first}-{last}"),
            format!("--model={MODEL}"),
            format!("--model-layers={LAYERS}"),
            format!("--step-time-us={step_time}"),
        ];
        let address = start("engine", &arguments)?;
        stages.push(StageLayout {
            first_layer: first,
            last_layer: last,
            targets: vec![stage_target(
                &format!("engine-{index}"),
                zone_of(index),
                address,
            )],
        });
    }
    let ledger = start("service", &[])?;
    let mut daemons = Vec::new();
    for (host, zone) in HOSTS {
        let settings = DaemonConfig::new(host, zone, platform).to_toml("");
        daemons.push(DaemonProcess::spawn(&settings)?);
    }
    let hosts = HostList {
        hosts: HOSTS
            .iter()
            .zip(&daemons)
            .map(|((host, zone), daemon)| listed(host, zone, daemon))
            .collect(),
        targets: Vec::new(),
    };
    call(Method::PUT, platform, "/control/hosts", &hosts).await?;
    let mut resources = declarations::pipeline(MODEL, &stages);
    resources.extend(declarations::service(
        "ledger",
        &[stage_target("ledger-1", "vake", ledger)],
        &["settle"],
    ));
    resources.push(declarations::organisation("desk", 100, 1_000));
    let version = operator::declare_all(daemons[0].operators, &resources).await?;
    for daemon in &daemons {
        eventually("the declarations are in effect", || async {
            let status = operator::read::<StatusView>(daemon.operators, "/v1/status").await;
            status.is_ok_and(|status| status.ready && status.applied > version)
        })
        .await?;
        eventually("the daemon is ready for callers", || async {
            let ready = call(Method::GET, daemon.callers, "/readyz", &()).await;
            ready.is_ok_and(|ready| ready.status == http::StatusCode::OK)
        })
        .await?;
    }
    let engines = stages
        .iter()
        .map(|stage| stage.targets[0].address)
        .collect();
    Ok(ProcessFleet {
        processes,
        engines,
        daemons,
    })
}

fn listed(host: &str, zone: &str, daemon: &DaemonProcess) -> ListedHost {
    ListedHost {
        host: host.into(),
        zone: zone.into(),
        peer_address: daemon.peers.to_string(),
        phase: ListedPhase::Live,
    }
}

/// Returns the zone of an engine. Both zones have engines, since capacity is divided
/// among the zones with targets.
fn zone_of(index: u32) -> &'static str {
    match index {
        1 => "didube",
        _ => "vake",
    }
}

fn stage_target(name: &str, zone: &str, address: SocketAddr) -> StageTarget {
    StageTarget {
        name: name.to_owned(),
        zone: zone.into(),
        address,
        tokens_per_second: 1_000.0,
        concurrency: 16,
    }
}

fn body() -> GenerateBody {
    GenerateBody {
        model: MODEL.into(),
        prompt: PROMPT.to_vec(),
        max_tokens: TOKENS,
        deadline_ms: None,
        priority: 0,
        resume: None,
    }
}

/// Checks in the records of the engines that every layer ran exactly once for each
/// position of a run, in the order of the stages.
fn check_layers(records: &[Vec<StepRecord>], request: &str) -> Result<(), TestError> {
    let positions = PROMPT.len() as u64 + TOKENS - 1;
    for position in 0..positions {
        let mut layers = Vec::new();
        for record in records.iter().flatten() {
            let is_own = record.request.starts_with(&format!("{request}~"));
            if is_own && record.position == position {
                layers.extend(record.layers.iter().copied());
            }
        }
        let expected: Vec<u32> = (0..LAYERS).collect();
        if layers != expected {
            return Err(format!("{request}, position {position}: layers {layers:?}").into());
        }
    }
    Ok(())
}

async fn engine_records(fleet: &ProcessFleet) -> Result<Vec<Vec<StepRecord>>, TestError> {
    let mut records = Vec::new();
    for engine in &fleet.engines {
        let reply = call(Method::GET, *engine, "/control/record", &()).await?;
        records.push(reply.json()?);
    }
    Ok(records)
}

#[tokio::test]
async fn a_request_crosses_three_stages_through_any_daemon() -> TestResult {
    let fleet = start_fleet().await?;
    let expected_tokens = reference::generate(
        MODEL,
        declarations::VERSION,
        LAYERS,
        &PROMPT,
        TOKENS as usize,
    );
    let caller = CallerClient::open("desk");
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let request = format!("request-{index}");
        let response = caller.generate(daemon.callers, &request, &body()).await;
        assert!(response.is_complete(), "{response:?}");
        assert_eq!(response.tokens(), expected_tokens);
        check_layers(&engine_records(&fleet).await?, &request)?;
    }
    let plain = OutgoingCall {
        path: "ledger/balance",
        body: "{}".into(),
        key: None,
    };
    let reply = caller
        .call_service(fleet.daemons[2].callers, "plain-1", plain)
        .await?;
    assert_eq!(reply.status, http::StatusCode::OK);
    assert_eq!(fleet.processes.len(), 5);
    Ok(())
}

/// Guards against a checker that cannot fail. An engine skips one layer of its range in
/// every step; the protocol does not show it, only the records of the engines do.
#[tokio::test]
async fn the_checker_detects_a_skipped_layer() -> TestResult {
    let fleet = start_fleet().await?;
    let faults = EngineFaults {
        skip_layer: Some(5),
        ..EngineFaults::default()
    };
    call(Method::PUT, fleet.engines[1], "/control/faults", &faults).await?;
    let caller = CallerClient::open("desk");
    let daemon = &fleet.daemons[0];
    let response = caller.generate(daemon.callers, "skipped", &body()).await;
    let expected_tokens = reference::generate(
        MODEL,
        declarations::VERSION,
        LAYERS,
        &PROMPT,
        TOKENS as usize,
    );
    assert!(response.is_complete());
    assert_ne!(response.tokens(), expected_tokens);
    assert!(check_layers(&engine_records(&fleet).await?, "skipped").is_err());
    Ok(())
}
