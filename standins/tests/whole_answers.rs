//! Checks that every layer runs exactly once and in order, and that each request gets its
//! own complete response, while stages, responses and entry hosts fail.

use std::time::{Duration, Instant};

use jackdawwick::api::wire::{GenerateBody, ResumeToken, StreamEvent};
use standins::caller::{CallerClient, GenerationResponse};
use standins::check::{
    GenerationHistory, RunHistory, check_complete_responses, check_layers, check_single_response,
};
use standins::declarations::VERSION;
use standins::engine::EngineFaults;
use standins::fleet::{EnginePlan, Fleet, FleetEngine, FleetLayout, StagePlan, ZonePlan};

type TestError = Box<dyn std::error::Error + Send + Sync>;
type TestResult = Result<(), TestError>;

const PROMPT: [u64; 6] = [3, 1, 4, 1, 5, 9];
const TOKENS: u64 = 12;
const LAYERS: u32 = 12;
/// Tokens of a response that takes some seconds.
const LONG_RESPONSE_TOKENS: u64 = 300;
type NamedFault = (&'static str, fn(&mut EngineFaults));

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Positions of a run at which a fault is injected.
const PREFILL: u64 = 0;
const FIRST_TOKEN: u64 = 6;
const MIDDLE: u64 = 11;
const LAST_TOKEN: u64 = 16;

/// Starts two entry hosts in two zones, and three stages with three engines each.
async fn start_fleet() -> Result<Fleet, TestError> {
    let zone = |name: &str| ZonePlan {
        name: name.to_owned(),
        entry_hosts: 1,
    };
    let engine = |name: &str, millis: u64| EnginePlan {
        zone: name.to_owned(),
        step_time: Duration::from_millis(millis),
        concurrency: 8,
    };
    let stage = |first_layer: u32| StagePlan {
        first_layer,
        last_layer: first_layer + 3,
        engines: vec![engine("vake", 4), engine("didube", 6), engine("vake", 8)],
    };
    let layout = FleetLayout {
        zones: vec![zone("vake"), zone("didube")],
        stages: vec![stage(0), stage(4), stage(8)],
        ..FleetLayout::franchise()
    };
    Fleet::start(layout).await
}

fn body(fleet: &Fleet) -> GenerateBody {
    GenerateBody {
        model: fleet.layout.model.as_str().into(),
        prompt: PROMPT.to_vec(),
        max_tokens: TOKENS,
        deadline_ms: Some(15_000),
        priority: 0,
        resume: None,
    }
}

fn caller() -> CallerClient {
    CallerClient::open("organisation-1")
}

fn history(fleet: &Fleet, request: &str, responses: Vec<GenerationResponse>) -> RunHistory {
    RunHistory {
        generations: vec![GenerationHistory {
            request: request.into(),
            organisation: "organisation-1".into(),
            model: fleet.layout.model.clone(),
            version: VERSION.to_owned(),
            layers: LAYERS,
            prompt: PROMPT.to_vec(),
            max_tokens: TOKENS,
            responses,
        }],
        ..fleet.recorded()
    }
}

fn assert_invariants(history: &RunHistory) {
    let mut broken = check_layers(history);
    broken.extend(check_complete_responses(history));
    broken.extend(check_single_response(history));
    assert!(broken.is_empty(), "{broken:?}");
}

/// Returns the engine of a stage that has run the highest position of a request, with
/// that position.
fn engine_at<'f>(fleet: &'f Fleet, request: &str, stage: usize) -> Option<(&'f FleetEngine, u64)> {
    let prefix = format!("{request}~");
    let engines = fleet.engines.iter().filter(|engine| engine.stage == stage);
    let reached = |engine: &'f FleetEngine| {
        let records = engine.server.record();
        let own = records
            .iter()
            .filter(|record| record.request.starts_with(&prefix));
        let position = own.map(|record| record.position).max()?;
        Some((engine, position))
    };
    engines
        .filter_map(reached)
        .max_by_key(|(_, position)| *position)
}

/// Waits until a stage has run `position` and returns the engine that ran it.
async fn wait_for<'f>(
    fleet: &'f Fleet,
    request: &str,
    stage: usize,
    position: u64,
) -> Result<&'f FleetEngine, TestError> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        match engine_at(fleet, request, stage) {
            Some((engine, reached)) if reached >= position => return Ok(engine),
            _ => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
    Err(format!("{request}: stage {stage} has not run position {position}").into())
}

/// Runs one request and injects a fault into the engines of `stages` once the first of
/// these stages has run `position`.
async fn run_with_fault<F>(
    fleet: &Fleet,
    request: &str,
    stages: &[usize],
    position: u64,
    fault: F,
) -> Result<GenerationResponse, TestError>
where
    F: Fn(&FleetEngine),
{
    let host = fleet.daemons[0].callers;
    let body = body(fleet);
    let name = request.to_owned();
    let response = tokio::spawn(async move { caller().generate(host, &name, &body).await });
    wait_for(fleet, request, stages[0], position).await?;
    for stage in stages {
        if let Some((engine, _)) = engine_at(fleet, request, *stage) {
            fault(engine);
        }
    }
    Ok(response.await?)
}

/// Guards against a response that stops, repeats tokens or continues with wrong ones
/// after the KV cache of a stage is lost. The engine of one stage dies while it serves a
/// request, at the prefill, the first token, in the middle or near the last token.
/// Delivered tokens must not appear again, and the remaining ones must depend on every
/// earlier position.
#[tokio::test(flavor = "multi_thread")]
async fn a_stage_that_dies_is_replaced_at_any_point() -> TestResult {
    for stage in 0..3 {
        let mut fleet = start_fleet().await?;
        for position in [PREFILL, FIRST_TOKEN, MIDDLE, LAST_TOKEN] {
            let request = format!("die-{stage}-{position}");
            let response = run_with_fault(&fleet, &request, &[stage], position, |engine| {
                engine.server.crash();
            })
            .await?;
            assert!(response.is_complete(), "{request}: {response:?}");
            assert_invariants(&history(&fleet, &request, vec![response]));
            for engine in &fleet.engines {
                engine.server.revive();
            }
        }
        fleet.shutdown().await;
    }
    Ok(())
}

/// Guards against wrong tokens, or a run that fails because no stage is left to replay
/// from: the stage before the replaced one has lost its outputs too. The engines of two
/// stages die at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn two_stages_that_die_at_once_are_replaced() -> TestResult {
    let mut fleet = start_fleet().await?;
    for (number, stages) in [[0, 1], [1, 2], [0, 2]].iter().enumerate() {
        let request = format!("two-{number}");
        let response = run_with_fault(&fleet, &request, stages, MIDDLE, |engine| {
            engine.server.crash();
        })
        .await?;
        assert!(response.is_complete(), "{request}: {response:?}");
        assert_invariants(&history(&fleet, &request, vec![response]));
        for engine in &fleet.engines {
            engine.server.revive();
        }
    }
    fleet.shutdown().await;
    Ok(())
}

/// Guards against a position that runs twice and a token of another position. A response
/// is lost after its step ran, so it must be requested again instead of the step; a
/// second engine returns the response of another session, and a third repeats its
/// previous response, and both must be discarded.
#[tokio::test(flavor = "multi_thread")]
async fn lost_swapped_and_repeated_responses_do_not_corrupt_results() -> TestResult {
    let mut fleet = start_fleet().await?;
    let faults: [NamedFault; 3] = [
        ("lost", |faults| faults.lose_answers = 1),
        ("crossed", |faults| faults.cross_answers = 1),
        ("repeated", |faults| faults.repeat_answers = 1),
    ];
    for (name, fault) in faults {
        for stage in 0..3 {
            let request = format!("{name}-{stage}");
            let other = tokio::spawn({
                let (host, body) = (fleet.daemons[1].callers, body(&fleet));
                let name = format!("beside-{request}");
                async move { caller().generate(host, &name, &body).await }
            });
            let response = run_with_fault(&fleet, &request, &[stage], FIRST_TOKEN, |engine| {
                engine.server.faults().update(fault);
            })
            .await?;
            let concurrent = other.await?;
            assert!(response.is_complete(), "{request}: {response:?}");
            assert!(concurrent.is_complete(), "beside {request}: {concurrent:?}");
            assert_invariants(&history(&fleet, &request, vec![response]));
            let concurrent_request = format!("beside-{request}");
            assert_invariants(&history(&fleet, &concurrent_request, vec![concurrent]));
        }
    }
    fleet.shutdown().await;
    Ok(())
}

/// Guards against tokens of an abandoned session in the response, because a frozen engine
/// does not know that it was replaced. An engine freezes, its stage is replaced, and the
/// engine resumes its earlier requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_that_resumes_does_not_corrupt_results() -> TestResult {
    let mut fleet = start_fleet().await?;
    for stage in 0..3 {
        let request = format!("frozen-{stage}");
        let frozen_faults = std::sync::Mutex::new(None);
        let response = run_with_fault(&fleet, &request, &[stage], MIDDLE, |engine| {
            let faults = engine.server.faults();
            faults.update(|faults| faults.frozen = true);
            *frozen_faults
                .lock()
                .unwrap_or_else(|error| error.into_inner()) = Some(faults);
        })
        .await?;
        assert!(response.is_complete(), "{request}: {response:?}");
        let faults = frozen_faults.into_inner()?.ok_or("no engine was frozen")?;
        faults.update(|faults| faults.frozen = false);
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_invariants(&history(&fleet, &request, vec![response]));
    }
    fleet.shutdown().await;
    Ok(())
}

/// Guards against tokens that are delivered twice or not at all after a stream broke.
/// Hosts store nothing, so only the caller knows what was delivered. The entry host is
/// killed in the middle of a stream, and the caller continues at another host with the
/// tokens that it has.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_on_another_host() -> TestResult {
    let mut fleet = start_fleet().await?;
    let request = "resumed";
    let first = tokio::spawn({
        let (host, body) = (fleet.daemons[0].callers, body(&fleet));
        async move { caller().generate(host, request, &body).await }
    });
    wait_for(&fleet, request, 2, MIDDLE).await?;
    fleet.daemons[0].kill().await;
    let first = first.await?;
    assert!(first.broken, "{first:?}");
    let delivered = first.tokens();
    assert!(!delivered.is_empty());
    let resume = ResumeToken {
        request: request.into(),
        version: VERSION.to_owned(),
        delivered: delivered.clone(),
    };
    let resumed = GenerateBody {
        resume: Some(resume),
        ..body(&fleet)
    };
    let second = caller()
        .generate(fleet.daemons[1].callers, request, &resumed)
        .await;
    let numbers: Vec<u64> = second
        .events
        .iter()
        .filter_map(|received| match received.event {
            StreamEvent::Token { number, .. } => Some(number),
            _ => None,
        })
        .collect();
    let expected: Vec<u64> = (delivered.len() as u64..TOKENS).collect();
    assert_eq!(numbers, expected);
    assert_invariants(&history(&fleet, request, vec![first, second]));
    fleet.shutdown().await;
    Ok(())
}

/// Guards against engines that continue to work for a disconnected caller, because
/// nothing cancels the run; the wasted steps cost throughput. The caller closes its
/// connection in the middle of a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_ends_when_its_caller_goes() -> TestResult {
    let mut fleet = start_fleet().await?;
    let request_body = GenerateBody {
        max_tokens: LONG_RESPONSE_TOKENS,
        ..body(&fleet)
    };
    let host = fleet.daemons[0].callers;
    let stream = caller()
        .start_generation(host, "gone", &request_body)
        .await?;
    wait_for(&fleet, "gone", 2, MIDDLE).await?;
    drop(stream);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let count = |fleet: &Fleet| -> usize {
        fleet
            .engines
            .iter()
            .map(|engine| engine.server.record().len())
            .sum()
    };
    loop {
        let before = count(&fleet);
        tokio::time::sleep(Duration::from_millis(200)).await;
        if count(&fleet) == before {
            break;
        }
        assert!(Instant::now() < deadline, "the run continues");
    }
    let (_, reached) = engine_at(&fleet, "gone", 0).ok_or("no engine ran it")?;
    assert!(
        reached < LONG_RESPONSE_TOKENS / 2,
        "the run continued to position {reached}"
    );
    fleet.shutdown().await;
    Ok(())
}
