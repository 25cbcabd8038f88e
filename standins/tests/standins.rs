//! Tests that the stand-ins return and record what they did.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use jackdawwick::platform::wire::{AppendBody, ReadResponse};
use jackdawwick::target::wire::{StepLabel, StepRequest, StepResponse, TargetRefusal};
use standins::engine::{EngineServer, EngineSettings, StepKind};
use standins::json_client::{CallError, JsonResponse, call};
use standins::platform::{PlatformServer, PlatformSettings};
use standins::reference;
use standins::service::{ServiceResponse, ServiceServer, ServiceSettings};
use tokio::time::timeout;

const MODEL: &str = "reader";
const VERSION: &str = "v1";
const MODEL_LAYERS: u32 = 12;
const RANGES: [(u32, u32); 3] = [(0, 3), (4, 7), (8, 11)];
const PROMPT: [u64; 5] = [17, 4, 4, 49_999, 0];
const TOKENS: usize = 8;
const DEADLINE: Duration = Duration::from_secs(10);

type TestResult = Result<(), CallError>;

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn order(stage: usize, position: u64, inputs: &[u64]) -> StepRequest {
    let (first_layer, last_layer) = RANGES[stage];
    StepRequest {
        label: StepLabel {
            request: "request-1".into(),
            attempt: 1,
            stage,
        },
        model: MODEL.into(),
        version: VERSION.into(),
        first_layer,
        last_layer,
        position,
        inputs: inputs.to_vec(),
        priority: 0,
    }
}

async fn step(addr: SocketAddr, order: &StepRequest) -> Result<JsonResponse, CallError> {
    call(Method::POST, addr, "/v1/steps", order).await
}

async fn bind_engines() -> std::io::Result<Vec<EngineServer>> {
    let mut engines = Vec::new();
    for (first, last) in RANGES {
        let settings = EngineSettings::new(MODEL, VERSION, MODEL_LAYERS, first, last);
        engines.push(EngineServer::bind(any_port(), settings).await?);
    }
    Ok(engines)
}

/// Runs a generation over the chain of engines like a router without faults.
async fn generate(engines: &[EngineServer]) -> Result<Vec<u64>, CallError> {
    let mut tokens = Vec::new();
    let mut position = 0;
    let mut inputs = PROMPT.to_vec();
    while tokens.len() < TOKENS {
        let mut values = inputs.clone();
        for (stage, engine) in engines.iter().enumerate() {
            let response = step(engine.local_addr(), &order(stage, position, &values)).await?;
            values = response.json::<StepResponse>()?.outputs;
        }
        position += inputs.len() as u64;
        let token = values.last().copied().ok_or("no output")?;
        tokens.push(token);
        inputs = vec![token];
    }
    Ok(tokens)
}

fn expected_tokens() -> Vec<u64> {
    reference::generate(MODEL, VERSION, MODEL_LAYERS, &PROMPT, TOKENS)
}

#[tokio::test]
async fn a_chain_of_engines_returns_the_reference_response() -> TestResult {
    let engines = bind_engines().await?;
    assert_eq!(generate(&engines).await?, expected_tokens());
    let record = engines[1].record();
    assert_eq!(record.len(), PROMPT.len() + TOKENS - 1);
    assert!(record.iter().all(|entry| entry.layers == [4, 5, 6, 7]));
    Ok(())
}

// Guards against wrong tokens that go unnoticed: a stage that skips a layer or runs one
// twice must change the response, so that a comparison with the reference detects it.
#[tokio::test]
async fn faulty_layers_change_the_response() -> TestResult {
    let engines = bind_engines().await?;
    engines[1]
        .faults()
        .update(|faults| faults.skip_layer = Some(5));
    assert_ne!(generate(&engines).await?, expected_tokens());
    assert!(
        engines[1]
            .record()
            .iter()
            .all(|entry| entry.layers == [4, 6, 7])
    );

    let engines = bind_engines().await?;
    engines[2]
        .faults()
        .update(|faults| faults.double_layer = Some(8));
    assert_ne!(generate(&engines).await?, expected_tokens());
    Ok(())
}

// Guards against positions that run twice: a step whose response is lost is sent again,
// here two times at once, and the engine must return the recorded outputs.
#[tokio::test]
async fn a_repeated_step_is_resumed_and_a_step_ahead_is_refused() -> TestResult {
    let engines = bind_engines().await?;
    let engine = &engines[0];
    engine.faults().update(|faults| faults.lose_answers = 1);
    let prefill = order(0, 0, &PROMPT);
    assert!(step(engine.local_addr(), &prefill).await.is_err());

    // Neither of the two may run the positions again.
    let (first, second) = tokio::join!(
        step(engine.local_addr(), &prefill),
        step(engine.local_addr(), &prefill)
    );
    assert_eq!(
        first?.json::<StepResponse>()?,
        second?.json::<StepResponse>()?
    );
    let kinds: Vec<_> = engine.record().iter().map(|entry| entry.kind).collect();
    let (ran, resumed) = kinds.split_at(PROMPT.len());
    assert!(ran.iter().all(|kind| *kind == StepKind::Ran));
    assert!(resumed.iter().all(|kind| *kind == StepKind::Resumed));
    assert_eq!(resumed.len(), 2 * PROMPT.len());

    let ahead = step(engine.local_addr(), &order(0, 9, &[1])).await?;
    assert_eq!(ahead.status, StatusCode::CONFLICT);
    let next_position = ahead.json::<TargetRefusal>()?.next_position;
    assert_eq!(next_position, Some(PROMPT.len() as u64));
    Ok(())
}

// Guards against sessions that survive a crash: after a prefill, a crash and a restart,
// the next decode step must be refused, as the KV cache is lost.
#[tokio::test]
async fn a_dead_engine_refuses_connections_and_comes_back_empty() -> TestResult {
    let engines = bind_engines().await?;
    let engine = &engines[0];
    let prefill = order(0, 0, &PROMPT);
    step(engine.local_addr(), &prefill).await?;
    engine.crash();
    let is_refused = async {
        while step(engine.local_addr(), &prefill).await.is_ok() {
            tokio::task::yield_now().await;
        }
    };
    timeout(DEADLINE, is_refused).await?;
    engine.revive();
    let next = order(0, PROMPT.len() as u64, &[1]);
    let first_response = async {
        loop {
            match step(engine.local_addr(), &next).await {
                Ok(response) => return response,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    };
    let response = timeout(DEADLINE, first_response).await?;
    assert_eq!(response.status, StatusCode::CONFLICT);
    Ok(())
}

// Guards against a stand-in that confuses two faults: an append whose response is lost
// has taken effect and shows up later; an append that is lost itself has not.
#[tokio::test]
async fn an_append_whose_response_is_lost_takes_effect() -> TestResult {
    let platform = PlatformServer::bind(any_port(), PlatformSettings::default()).await?;
    let addr = platform.local_addr();
    let path = "/v1/streams/claims/records";
    let body = |text: &str| AppendBody {
        records: vec![text.to_owned()],
    };
    platform
        .faults()
        .update(|faults| faults.lose_append_answers = 1);
    assert!(call(Method::POST, addr, path, &body("1")).await.is_err());
    platform.faults().update(|faults| faults.lose_appends = 1);
    assert!(call(Method::POST, addr, path, &body("2")).await.is_err());
    call(Method::POST, addr, path, &body("3")).await?;
    call(Method::POST, addr, path, &body("4")).await?;

    call(Method::PUT, addr, "/control/retention", &2).await?;
    let read = call(Method::GET, addr, &format!("{path}?from=0"), &()).await?;
    let read: ReadResponse = read.json()?;
    assert_eq!((read.first_offset, read.end_offset), (1, 3));
    let bodies: Vec<_> = read.records.iter().map(|record| &record.body[..]).collect();
    assert_eq!(bodies, ["3", "4"]);
    assert_eq!(platform.record("claims").len(), 3);
    Ok(())
}

// Guards against records that differ from the calls that ran: a call whose response is
// lost has run, a refused one has not.
#[tokio::test]
async fn a_service_records_each_call_that_ran() -> TestResult {
    let service = ServiceServer::bind(any_port(), ServiceSettings::default()).await?;
    let addr = service.local_addr();
    let path = "/v1/calls/charge";
    service.faults().update(|faults| faults.lose_answers = 1);
    assert!(call(Method::POST, addr, path, &"a").await.is_err());
    service.faults().update(|faults| faults.refuse_calls = 1);
    let refused = call(Method::POST, addr, path, &"b").await?;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let response: ServiceResponse = call(Method::POST, addr, path, &"c").await?.json()?;
    assert_eq!(response.ran, 2);
    let bodies: Vec<_> = service
        .record()
        .into_iter()
        .map(|entry| entry.body)
        .collect();
    assert_eq!(bodies, ["a", "c"]);
    Ok(())
}
