//! Tests of the engine stand-in: batch, prefix cache, orders and faults.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use jackdawwick::target::wire::{
    CacheEvents, CacheExport, LoadReport, StateOrder, StepLabel, StepRequest, StepResponse,
    TargetRefusal, TargetRefusalKind, TargetState,
};
use standins::engine::{EngineServer, EngineSettings, FencingMode, StepKind};
use standins::json_client::{CallError, JsonResponse, call};
use standins::reference;
use tokio::time::timeout;

const MODEL: &str = "drafter";
const VERSION: &str = "v1";
const LAYERS: u32 = 4;
const DEADLINE: Duration = Duration::from_secs(10);

type TestResult = Result<(), CallError>;

fn settings() -> EngineSettings {
    EngineSettings::new(MODEL, VERSION, LAYERS, 0, LAYERS - 1)
}

async fn bind(settings: EngineSettings) -> std::io::Result<EngineServer> {
    EngineServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await
}

fn order(request: &str, position: u64, inputs: &[u64]) -> StepRequest {
    StepRequest {
        label: StepLabel {
            request: request.into(),
            attempt: 0,
            stage: 0,
        },
        model: MODEL.into(),
        version: VERSION.into(),
        first_layer: 0,
        last_layer: LAYERS - 1,
        position,
        inputs: inputs.to_vec(),
        priority: 0,
    }
}

async fn step(engine: &EngineServer, order: &StepRequest) -> Result<JsonResponse, CallError> {
    call(Method::POST, engine.local_addr(), "/v1/steps", order).await
}

async fn get(engine: &EngineServer, path: &str) -> Result<JsonResponse, CallError> {
    call(Method::GET, engine.local_addr(), path, &()).await
}

/// Polls until the load report has these values.
async fn wait_for_load(engine: &EngineServer, running: u32, waiting: u32) -> TestResult {
    let poll = async {
        loop {
            let load: LoadReport = get(engine, "/v1/load").await?.json()?;
            if (load.running, load.waiting) == (running, waiting) {
                return Ok(());
            }
        }
    };
    timeout(DEADLINE, poll).await?
}

fn refusal(reply: &JsonResponse) -> Result<TargetRefusalKind, serde_json::Error> {
    Ok(reply.json::<TargetRefusal>()?.refused)
}

#[tokio::test]
async fn higher_priorities_run_first_and_a_full_queue_refuses() -> TestResult {
    let engine = bind(EngineSettings {
        concurrency: 1,
        max_waiting: 2,
        prefill_time_per_token: Duration::from_secs(3_600),
        load_lag: Duration::from_millis(1),
        ..settings()
    })
    .await?;
    let (holder, low) = (order("holder", 0, &[1]), order("low", 0, &[1]));
    let high = StepRequest {
        priority: 9,
        ..order("high", 0, &[1])
    };
    let high_later = async {
        wait_for_load(&engine, 1, 1).await?;
        step(&engine, &high).await
    };
    let low_later = async {
        wait_for_load(&engine, 1, 0).await?;
        step(&engine, &low).await
    };
    let script = async {
        wait_for_load(&engine, 1, 2).await?;
        let fourth = step(&engine, &order("fourth", 0, &[1])).await?;
        assert_eq!(refusal(&fourth)?, TargetRefusalKind::Overloaded);
        // Steps that start from now on take no time.
        engine.faults().update(|faults| faults.slow_factor = 0.0);
        let path = format!("/v1/sessions/{}", holder.label.session());
        call(Method::DELETE, engine.local_addr(), &path, &()).await
    };
    let all = async { tokio::try_join!(step(&engine, &holder), low_later, high_later, script) };
    let (held, _, _, cancelled) = timeout(DEADLINE, all).await??;
    assert_eq!(held.status, StatusCode::CONFLICT);
    assert_eq!(cancelled.status, StatusCode::NO_CONTENT);
    let record = engine.record();
    let requests: Vec<_> = record.iter().map(|entry| &entry.request[..]).collect();
    assert_eq!(requests, ["high", "low"]);
    Ok(())
}

// Guards against undetected mix-ups of responses: an engine that returns the response of
// another session, or the previous one, must return its label and position too.
#[tokio::test]
async fn crossed_and_repeated_responses_have_the_wrong_label_or_position() -> TestResult {
    let engine = bind(settings()).await?;
    step(&engine, &order("a", 0, &[1, 2])).await?;
    step(&engine, &order("b", 0, &[3])).await?;
    engine.faults().update(|faults| faults.cross_answers = 1);
    let crossed: StepResponse = step(&engine, &order("b", 1, &[4])).await?.json()?;
    assert_eq!(&crossed.label.request[..], "a");
    engine.faults().update(|faults| faults.repeat_answers = 1);
    let repeated: StepResponse = step(&engine, &order("a", 2, &[5])).await?.json()?;
    assert_eq!((repeated.position, repeated.outputs.len()), (0, 2));
    assert!(
        engine
            .record()
            .iter()
            .all(|entry| entry.kind == StepKind::Ran)
    );
    Ok(())
}

#[tokio::test]
async fn an_imported_cache_resumes_at_the_exported_position() -> TestResult {
    let (old, new) = (bind(settings()).await?, bind(settings()).await?);
    let prompt = [5, 6, 7];
    let right = reference::generate(MODEL, VERSION, LAYERS, &prompt, 2);
    step(&old, &order("a", 0, &prompt)).await?;
    let path = format!("/v1/sessions/{}/cache", order("a", 0, &[]).label.session());
    let export: CacheExport = get(&old, &path).await?.json()?;
    call(Method::PUT, new.local_addr(), &path, &export).await?;
    let response: StepResponse = step(&new, &order("a", 3, &right[..1])).await?.json()?;
    assert_eq!(response.outputs, right[1..]);
    let resumed: StepResponse = step(&new, &order("a", 0, &prompt)).await?.json()?;
    assert_eq!(resumed.outputs[2], right[0]);
    Ok(())
}

#[tokio::test]
async fn a_leaving_engine_serves_existing_sessions_only() -> TestResult {
    let engine = bind(settings()).await?;
    step(&engine, &order("old", 0, &[1])).await?;
    engine.faults().update(|faults| faults.leaving = true);
    let new = step(&engine, &order("new", 0, &[1])).await?;
    assert_eq!(refusal(&new)?, TargetRefusalKind::Leaving);
    let old = step(&engine, &order("old", 1, &[2])).await?;
    assert_eq!(old.status, StatusCode::OK);
    Ok(())
}

// Guards against an order by a host that no longer holds the lease: an engine that checks
// fencing refuses a late order, here number 6 after 7, with status 412; one that ignores
// it unloads the range.
#[tokio::test]
async fn only_an_engine_that_checks_fencing_refuses_an_old_order() -> TestResult {
    for fencing in [FencingMode::Checks, FencingMode::Ignores] {
        let engine = bind(EngineSettings {
            fencing,
            ..settings()
        })
        .await?;
        let put = async |fencing, loaded| {
            let order = StateOrder {
                loaded,
                role: Default::default(),
                fencing,
                deadline_ms: 60_000,
            };
            call(Method::PUT, engine.local_addr(), "/v1/state", &order).await
        };
        put(7, settings().loaded).await?;
        let late = put(6, Vec::new()).await?;
        let state: TargetState = get(&engine, "/v1/state").await?.json()?;
        match fencing {
            FencingMode::Checks => {
                assert_eq!(refusal(&late)?, TargetRefusalKind::OldFencing);
                assert_eq!(state.loaded, settings().loaded);
            }
            FencingMode::Ignores => {
                assert!(state.loaded.is_empty());
                let step = step(&engine, &order("a", 0, &[1])).await?;
                assert_eq!(refusal(&step)?, TargetRefusalKind::NotLoaded);
            }
        }
    }
    Ok(())
}

#[tokio::test]
async fn dropped_cache_events_leave_gaps() -> TestResult {
    let engine = bind(EngineSettings {
        cached_prefixes: 2,
        chunk_inputs: 2,
        drop_cache_event_every: Some(3),
        ..settings()
    })
    .await?;
    // Stores 0 and 1; then stores 2 (dropped) and 3, evicts 4 and 5 (dropped).
    step(&engine, &order("a", 0, &[1, 2, 3, 4])).await?;
    step(&engine, &order("b", 0, &[5, 6, 7, 8])).await?;
    let events: CacheEvents = get(&engine, "/v1/cache-events?from=1").await?.json()?;
    let seen: Vec<_> = events
        .events
        .iter()
        .map(|event| (event.number, event.stored))
        .collect();
    assert_eq!(seen, [(1, true), (3, true), (4, false)]);
    assert_eq!(events.next, 5);
    Ok(())
}

// Guards against a simulated freeze that drops work: a frozen engine keeps the steps that
// have arrived and runs them once it resumes, even if their callers have given up.
#[tokio::test]
async fn a_frozen_engine_responds_only_after_it_resumes() -> TestResult {
    let engine = bind(settings()).await?;
    engine.faults().update(|faults| faults.frozen = true);
    let order = order("a", 0, &[1]);
    let frozen = timeout(Duration::from_millis(50), step(&engine, &order)).await;
    assert!(frozen.is_err());
    assert!(engine.record().is_empty());
    engine.faults().update(|faults| faults.frozen = false);
    // The step runs now although its caller has given up.
    let has_run = async {
        while engine.record().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    timeout(DEADLINE, has_run).await?;
    let response = timeout(DEADLINE, step(&engine, &order)).await??;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(engine.record()[1].kind, StepKind::Resumed);
    Ok(())
}
