//! Complete runs over real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jackdawwick::ids::{StageIndex, TargetId};
use jackdawwick::reason::{RefusalReason, RetryReason};
use jackdawwick::run::{
    DeliveredToken, PlannedStage, RunHooks, RunLimits, RunMachine, RunOutcome, RunPlan,
    StepObservation, drive_run,
};
use jackdawwick::target::wire::{StepRequest, StepResponse};
use jackdawwick::verdict::RunVerdict;
use parking_lot::Mutex;
use tokio::sync::mpsc;

use super::client;
use super::tiny_server::{SeenRequest, TinyReply, TinyServer};

const LONG: Duration = Duration::from_secs(60);

fn plan(deadline: Duration) -> RunPlan {
    RunPlan {
        request: "r".into(),
        model: "m".into(),
        version: "v".into(),
        stages: vec![PlannedStage {
            target: "a".into(),
            first_layer: 0,
            last_layer: 1,
        }],
        prompt: vec![5, 6],
        already_delivered: 0,
        max_tokens: 3,
        deadline: Instant::now() + deadline,
        priority: 0,
    }
}

/// Responds as an engine whose output for a position is that position plus 100.
fn engine_reply(request: &SeenRequest) -> TinyReply {
    let Ok(order) = serde_json::from_slice::<StepRequest>(&request.body) else {
        return TinyReply::Response(204, String::new());
    };
    let positions = order.position..order.position + order.inputs.len() as u64;
    let response = StepResponse {
        label: order.label,
        position: order.position,
        outputs: positions.map(|position| position + 100).collect(),
    };
    TinyReply::Response(200, serde_json::to_string(&response).expect("encode"))
}

/// A run in progress, with the observations that it reported.
struct RunningRun {
    tokens: mpsc::Receiver<DeliveredToken>,
    observed: Arc<Mutex<Vec<StepObservation>>>,
    outcome: tokio::task::JoinHandle<RunOutcome>,
}

impl RunningRun {
    /// Starts a run on target `a`, with `b` as the replacement if there is one.
    fn spawn(plan: RunPlan, a: SocketAddr, b: Option<SocketAddr>) -> Self {
        let (sender, tokens) = mpsc::channel(8);
        let observed = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&observed);
        let hooks = RunHooks {
            choose: move |_: StageIndex, _: &[TargetId], _: RetryReason| b.map(|_| "b".into()),
            address: move |target: &TargetId| if target.as_ref() == "a" { Some(a) } else { b },
            is_leaving: |_: &TargetId| false,
            observe: move |observation| log.lock().push(observation),
        };
        let machine = RunMachine::new(plan, RunLimits::default());
        let outcome = tokio::spawn(drive_run(machine, client(LONG), hooks, sender));
        Self {
            tokens,
            observed,
            outcome,
        }
    }

    async fn finish(mut self) -> (Vec<u64>, RunOutcome) {
        let mut tokens = Vec::new();
        while let Some(token) = self.tokens.recv().await {
            assert_eq!(token.number, tokens.len() as u64);
            tokens.push(token.token);
        }
        (tokens, self.outcome.await.expect("driven"))
    }
}

/// Guards against a caller that receives the response to another request, because
/// responses are matched by their connection alone. Only the second response on the
/// connection is wrong.
#[tokio::test]
async fn response_to_another_request_is_dropped_and_requested_again() {
    let responses = AtomicUsize::new(0);
    let server = TinyServer::bind(move |request| {
        let reply = engine_reply(request?);
        match (reply, responses.fetch_add(1, Ordering::SeqCst)) {
            (TinyReply::Response(status, body), 1) => {
                let crossed = body.replace(r#""request":"r""#, r#""request":"other""#);
                Some(TinyReply::Response(status, crossed.replace("102", "999")))
            }
            (reply, _) => Some(reply),
        }
    });
    let server = server.await;
    let run = RunningRun::spawn(plan(LONG), server.address, None);
    let observed = Arc::clone(&run.observed);
    let (tokens, outcome) = run.finish().await;
    assert_eq!(tokens, [101, 102, 103]);
    assert_eq!((outcome.verdict, outcome.refusal), (RunVerdict::Ran, None));
    let count = |wanted: fn(&StepObservation) -> bool| {
        observed.lock().iter().filter(|seen| wanted(seen)).count()
    };
    assert_eq!(
        count(|seen| matches!(seen, StepObservation::ResponseDropped { .. })),
        1
    );
    assert_eq!(
        count(|seen| matches!(seen, StepObservation::Sent { .. })),
        4
    );
    server.wait_for("DELETE /v1/sessions/r.0.0").await;
}

/// Guards against a run that stops when an engine fails, because it retries the same
/// target forever. The target resets the connection on every step, and another target is
/// available.
#[tokio::test]
async fn broken_target_is_replaced() {
    let broken = TinyServer::bind(|request| request.map(|_| TinyReply::ResetRead)).await;
    let healthy = TinyServer::bind(|request| request.map(engine_reply)).await;
    let run = RunningRun::spawn(plan(LONG), broken.address, Some(healthy.address));
    let (tokens, outcome) = run.finish().await;
    assert_eq!(tokens, [101, 102, 103]);
    assert_eq!(outcome.verdict, RunVerdict::Ran);
}

/// Guards against engines that continue for callers that have left, because the run
/// notices it only when it writes a token, or cancels a session of another name. The
/// request id contains characters that are special in a path.
#[tokio::test]
async fn session_is_cancelled_when_the_caller_leaves() {
    let server = TinyServer::bind(|request| request.map(silent_steps)).await;
    let mut plan = plan(LONG);
    plan.request = "r/1?".into();
    let run = RunningRun::spawn(plan, server.address, None);
    server.wait_for("POST /v1/steps").await;
    drop(run.tokens);
    let outcome = run.outcome.await.expect("driven");
    assert_eq!(outcome.refusal, Some(RefusalReason::CallerGone));
    assert_eq!(outcome.verdict, RunVerdict::MayHaveRun);
    server.wait_for("DELETE /v1/sessions/r%2F1%3F.0.0 ").await;
    let last = run.observed.lock().last().cloned();
    assert!(matches!(last, Some(StepObservation::Abandoned { .. })));
}

/// Guards against a run that exceeds its deadline, because the deadline is checked only
/// between steps. The engine hangs during a step.
#[tokio::test]
async fn deadline_ends_a_run_during_a_step() {
    let server = TinyServer::bind(|request| request.map(silent_steps)).await;
    let run = RunningRun::spawn(plan(Duration::from_millis(200)), server.address, None);
    let (tokens, outcome) = run.finish().await;
    assert!(tokens.is_empty());
    assert_eq!(outcome.refusal, Some(RefusalReason::DeadlinePassed));
    assert_eq!(outcome.verdict, RunVerdict::MayHaveRun);
}

fn silent_steps(request: &SeenRequest) -> TinyReply {
    match request.line.starts_with("POST") {
        true => TinyReply::Silence,
        false => TinyReply::Response(204, String::new()),
    }
}
