//! Measures the saturated rate of a single stand-in engine against its declared rate.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::join_all;
use jackdawwick::target::client::{TargetClient, TargetTimeouts};
use jackdawwick::target::wire::{StepLabel, StepRequest};

use crate::declarations::VERSION;
use crate::engine::{EngineServer, EngineSettings};
use crate::fleet::{EnginePlan, FleetLayout};
use crate::json_client::CallError;

/// Time for which the engine is kept busy.
const LENGTH: Duration = Duration::from_secs(1);
/// Sessions per slot, so that no slot is ever idle.
const SESSIONS_PER_SLOT: usize = 2;

/// Measures the saturated rate of an engine like the first one of the layout, as a share
/// of its declared rate.
///
/// # Errors
/// If the engine cannot be started.
pub(super) async fn saturation(layout: &FleetLayout) -> Result<f64, CallError> {
    let stage = layout.stages.first().ok_or("the layout has no stage")?;
    let plan = stage
        .engines
        .first()
        .ok_or("the first stage has no engine")?;
    let settings = EngineSettings {
        concurrency: plan.concurrency,
        step_time: plan.step_time,
        // The first step of a session has a prompt of one input.
        prefill_time_per_token: plan.step_time,
        ..EngineSettings::new(
            &layout.model,
            VERSION,
            layout.layers(),
            stage.first_layer,
            stage.last_layer,
        )
    };
    let engine = EngineServer::bind(SocketAddr::from(([127, 0, 0, 1], 0)), settings).await?;
    let client = TargetClient::open(TargetTimeouts::default());
    let start = Instant::now();
    let until = start + LENGTH;
    let sessions = (0..plan.concurrency * SESSIONS_PER_SLOT)
        .map(|session| keep_busy(&client, engine.local_addr(), layout, session, until));
    let steps: usize = join_all(sessions).await.into_iter().sum();
    // Steps that are running when the time ends are counted, as is their duration.
    let rate = steps as f64 / start.elapsed().as_secs_f64();
    Ok(rate / EnginePlan::tokens_per_second(plan))
}

/// Runs steps of one session until `until` and returns their number.
async fn keep_busy(
    client: &TargetClient,
    engine: SocketAddr,
    layout: &FleetLayout,
    session: usize,
    until: Instant,
) -> usize {
    let mut order = StepRequest {
        label: StepLabel {
            request: format!("calibrate-{session}").into(),
            attempt: 0,
            stage: 0,
        },
        model: layout.model.as_str().into(),
        version: VERSION.into(),
        first_layer: layout.stages[0].first_layer,
        last_layer: layout.stages[0].last_layer,
        position: 0,
        inputs: vec![1],
        priority: 0,
    };
    let mut steps = 0;
    while Instant::now() < until && client.step(engine, &order).await.is_ok() {
        order.position += 1;
        steps += 1;
    }
    steps
}
