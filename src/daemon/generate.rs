//! Handles a generation: admission, route, run, stream.

mod claimed;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use super::admission::{AdmissionSlot, admit};
use super::claims::{ClaimSubject, ClaimTicket, DispatchedClaim};
use super::core::{DaemonCore, DaemonPhase};
use super::step_observations::record_step;
use crate::admission::AdmissionRequest;
use crate::api::backend::{GenerateCall, GenerateStream};
use crate::api::wire::{RefusalBody, StreamEvent};
use crate::ids::{RequestId, StageIndex, TargetId, TokenValue};
use crate::journal::JournalEvent;
use crate::metrics::{RequestKind, RequestOutcome};
use crate::reason::{RefusalReason, RetryReason};
use crate::routing::{PlannedRoute, ReplaceRequest, RouteRequest};
use crate::run::{DeliveredToken, RunHooks, RunLimits, RunMachine, RunOutcome, RunPlan, drive_run};
use crate::target::prefix::{PREFIX_CHUNK_TOKENS, prefix_hashes};
use crate::verdict::RunVerdict;

/// Tokens buffered for a slow caller before its run has to wait.
const STREAM_BUFFER: usize = 64;

/// Starts a generation and returns the stream of its events.
///
/// # Errors
/// Returns the refusal. Nothing has been sent to a target in that case.
pub(super) async fn generate(
    core: Arc<DaemonCore>,
    call: GenerateCall,
) -> Result<GenerateStream, RefusalBody> {
    // A shutdown waits for this request from here on, even while it is queued. The token
    // is taken before the phase is checked, because otherwise the shutdown could finish
    // in between.
    let _in_flight = core.in_flight.token();
    check_body(&call)?;
    let deadline = deadline_of(&core, &call);
    let subject = claimed::subject_of(&call, deadline)?;
    let begun = start_generation(&core, call, subject.clone(), deadline).await;
    begun.map_err(|refusal| claimed::correct_refusal(&core, subject.as_ref(), refusal))
}

async fn start_generation(
    core: &Arc<DaemonCore>,
    call: GenerateCall,
    subject: Option<ClaimSubject>,
    deadline: Instant,
) -> Result<GenerateStream, RefusalBody> {
    check_phase(core, &call.request)?;
    let estimate = plan_route(core, &call, deadline)?;
    let request = AdmissionRequest {
        request: call.request.clone(),
        organisation: call.organisation.clone(),
        service_time: known_service_time(core, &estimate),
        deadline,
        priority: call.body.priority,
    };
    let slot = admit(core, request).await?;
    // If the ticket is dropped before the run begins, it withdraws the claim.
    let ticket = claimed::claim(core, subject).await?;
    // The route is planned again, because targets may have joined, left or filled up
    // while the request waited.
    let route = plan_route(core, &call, deadline)?;
    core.record_event(&call.request, routed_event(&route));
    core.tables.routes.write().run_started(&route);
    let (events, stream) = mpsc::channel(STREAM_BUFFER);
    let runner = GenerationRunner {
        core: Arc::clone(core),
        call,
        route,
        deadline,
        events,
    };
    core.metrics.request_begun(RequestKind::Generate);
    core.in_flight.spawn(runner.run(slot, ticket));
    Ok(stream)
}

/// Returns the estimated duration of the run. Declared values do not count here: a model
/// that is declared too slow would never be tried.
fn known_service_time(core: &DaemonCore, route: &PlannedRoute) -> Duration {
    let routes = core.tables.routes.read();
    routes.known_service_time(route, Instant::now())
}

/// Refuses new work unless the daemon is serving.
pub(super) fn check_phase(core: &DaemonCore, request: &RequestId) -> Result<(), RefusalBody> {
    let body = match core.phase() {
        DaemonPhase::Serving => return Ok(()),
        DaemonPhase::Starting => RefusalBody::not_run(
            RefusalReason::NotReady,
            "this entry host has no usable configuration yet",
        ),
        DaemonPhase::Draining => {
            RefusalBody::not_run(RefusalReason::Draining, "this entry host is shutting down")
        }
    };
    Err(body
        .retry_after(Duration::from_secs(1))
        .for_request(request.clone()))
}

fn check_body(call: &GenerateCall) -> Result<(), RefusalBody> {
    let problem = match &call.body {
        body if body.prompt.is_empty() => "prompt: at least one token is needed",
        body if body.max_tokens == 0 => "max_tokens: at least 1 is needed",
        body if delivered(call).len() as u64 >= body.max_tokens => {
            "resume.delivered: fewer than max_tokens are allowed"
        }
        _ => return Ok(()),
    };
    Err(RefusalBody::not_run(RefusalReason::Malformed, problem).for_request(call.request.clone()))
}

fn delivered(call: &GenerateCall) -> &[TokenValue] {
    match &call.body.resume {
        Some(resume) => &resume.delivered,
        None => &[],
    }
}

fn deadline_of(core: &DaemonCore, call: &GenerateCall) -> Instant {
    let default = core.options.timing.default_deadline;
    let allowed = call.body.deadline_ms.map_or(default, Duration::from_millis);
    call.received + allowed
}

fn plan_route(
    core: &DaemonCore,
    call: &GenerateCall,
    deadline: Instant,
) -> Result<PlannedRoute, RefusalBody> {
    let prompt = whole_prompt(call);
    let request = RouteRequest {
        model: call.body.model.clone(),
        version: call
            .body
            .resume
            .as_ref()
            .map(|resume| resume.version.as_str().into()),
        prefixes: prefix_hashes(&prompt, PREFIX_CHUNK_TOKENS),
        prompt_tokens: prompt.len() as u64,
        max_tokens: call.body.max_tokens - delivered(call).len() as u64,
        deadline,
        excluded: Vec::new(),
    };
    let routes = core.tables.routes.read();
    let mut random = core.tables.random.lock();
    routes
        .plan(&request, Instant::now(), &mut *random)
        .map_err(|refusal| {
            let message = match refusal.reason {
                RefusalReason::Unknown => "no such model is declared",
                RefusalReason::NoRoute => "no pipeline of the model has a usable target per stage",
                _ => "the deadline cannot be met",
            };
            RefusalBody::not_run(refusal.reason, message)
                .retry_after(refusal.retry_after)
                .for_request(call.request.clone())
        })
}

/// Returns the prompt followed by the tokens that the caller already has.
fn whole_prompt(call: &GenerateCall) -> Vec<TokenValue> {
    let mut prompt = call.body.prompt.clone();
    prompt.extend_from_slice(delivered(call));
    prompt
}

fn routed_event(route: &PlannedRoute) -> JournalEvent {
    JournalEvent::Routed {
        pipeline: route.pipeline.clone(),
        version: route.version.clone(),
        targets: route
            .stages
            .iter()
            .map(|stage| stage.target.clone())
            .collect(),
        score: route.score,
    }
}

/// A generation in progress.
struct GenerationRunner {
    core: Arc<DaemonCore>,
    call: GenerateCall,
    route: PlannedRoute,
    deadline: Instant,
    events: mpsc::Sender<StreamEvent>,
}

impl GenerationRunner {
    async fn run(mut self, slot: AdmissionSlot, ticket: Option<ClaimTicket>) {
        let started = StreamEvent::Started {
            request: self.call.request.clone(),
            version: self.route.version.to_string(),
        };
        if self.events.send(started).await.is_err() {
            self.core.tables.routes.write().run_ended(&self.route);
            // The end is recorded here as well: otherwise each caller that disconnects
            // this early would leave the gauge of requests in flight too high.
            self.record_outcome(RunOutcome {
                delivered: 0,
                verdict: RunVerdict::NotRun,
                refusal: Some(RefusalReason::CallerGone),
            });
            return;
        }
        let mut outcome = match claimed::authorise(ticket).await {
            Ok(dispatched) => self.run_once(dispatched).await,
            Err(outcome) => outcome,
        };
        self.core.tables.routes.write().run_ended(&self.route);
        let is_cut = self.core.drain_expired.is_cancelled() && !self.events.is_closed();
        if is_cut && outcome.refusal == Some(RefusalReason::CallerGone) {
            outcome.refusal = Some(RefusalReason::Draining);
        }
        if outcome.refusal.is_none() {
            slot.complete();
        }
        self.record_outcome(outcome);
        log::info!(
            request:% = self.call.request;
            "generation ended after {} tokens, verdict {:?}, refusal {:?}",
            outcome.delivered, outcome.verdict, outcome.refusal
        );
        // A disconnected caller needs no closing event.
        let _ = self.events.send(closing_event(&self.call, outcome)).await;
    }

    async fn run_once(&mut self, dispatched: Option<DispatchedClaim>) -> RunOutcome {
        let (tokens, receiver) = mpsc::channel(STREAM_BUFFER);
        let forward = forward_tokens(
            Arc::clone(&self.core),
            self.call.received,
            receiver,
            self.events.clone(),
        );
        let drive = self.drive(tokens);
        let (outcome, sent) = tokio::join!(drive, forward);
        claimed::finish(dispatched, outcome, &sent);
        outcome
    }

    fn record_outcome(&self, outcome: RunOutcome) {
        let (core, request) = (&self.core, &self.call.request);
        let ended = match (outcome.refusal, outcome.verdict) {
            (None, _) => RequestOutcome::Whole,
            (Some(RefusalReason::CallerGone), _) => RequestOutcome::CallerGone,
            (Some(_), RunVerdict::NotRun) => RequestOutcome::NotRun,
            (Some(_), _) => RequestOutcome::MayHaveRun,
        };
        core.metrics.request_ended(RequestKind::Generate, ended);
        if let Some(reason) = outcome.refusal {
            core.metrics.refused(reason);
        }
        let event = JournalEvent::Finished {
            verdict: outcome.verdict,
            delivered: outcome.delivered,
            reason: outcome.refusal,
        };
        core.record_event(request, event);
    }

    async fn drive(&mut self, tokens: mpsc::Sender<DeliveredToken>) -> RunOutcome {
        let core = Arc::clone(&self.core);
        let machine = RunMachine::new(self.plan(), run_limits(&core));
        let route = parking_lot::Mutex::new(&mut self.route);
        let model = self.call.body.model.clone();
        let choose = |stage: StageIndex, excluded: &[TargetId], _: RetryReason| {
            choose_replacement(&core, &mut route.lock(), &model, stage, excluded)
        };
        let address = |target: &TargetId| -> Option<SocketAddr> { core.target_address(target) };
        let is_leaving = |target: &TargetId| core.tables.routes.read().is_leaving(target);
        let request = self.call.request.clone();
        let observe = |observation| record_step(&core, &request, &observation);
        let hooks = RunHooks {
            choose,
            address,
            is_leaving,
            observe,
        };
        drive_run(machine, core.targets.clone(), hooks, tokens).await
    }

    fn plan(&self) -> RunPlan {
        RunPlan {
            request: run_id(&self.core, &self.call.request),
            model: self.call.body.model.clone(),
            version: self.route.version.clone(),
            stages: self.route.stages.clone(),
            prompt: whole_prompt(&self.call),
            already_delivered: delivered(&self.call).len() as u64,
            max_tokens: self.call.body.max_tokens,
            deadline: self.deadline,
            priority: self.call.body.priority,
        }
    }
}

/// Returns the id under which engines know a run.
///
/// A caller that returns after its entry host has died, or that sends one request to two
/// hosts, uses the same request id. Engines would treat both runs as one session and mix
/// up their positions, so each run gets a unique suffix.
fn run_id(core: &DaemonCore, request: &RequestId) -> RequestId {
    let number = core.next_run_number();
    format!("{request}~{:x}-{number:x}", core.incarnation).into()
}

fn run_limits(core: &DaemonCore) -> RunLimits {
    RunLimits {
        jitter_seed: core.next_run_number(),
        ..RunLimits::default()
    }
}

fn choose_replacement(
    core: &DaemonCore,
    route: &mut PlannedRoute,
    model: &crate::ids::ModelId,
    stage: StageIndex,
    excluded: &[TargetId],
) -> Option<TargetId> {
    let request = ReplaceRequest {
        model: model.clone(),
        version: route.version.clone(),
        stage: route.stages.get(stage)?.clone(),
        excluded: excluded.to_vec(),
    };
    let mut routes = core.tables.routes.write();
    let chosen = {
        let mut random = core.tables.random.lock();
        routes.replace(&request, Instant::now(), &mut *random)?
    };
    routes.stage_moved(route, stage, &chosen);
    Some(chosen)
}

/// Forwards tokens to the caller and measures the time between them. Returns the tokens
/// that were sent.
async fn forward_tokens(
    core: Arc<DaemonCore>,
    received: Instant,
    mut tokens: mpsc::Receiver<DeliveredToken>,
    events: mpsc::Sender<StreamEvent>,
) -> Vec<TokenValue> {
    let mut last = None;
    let mut sent = Vec::new();
    loop {
        let delivered = tokio::select! {
            delivered = tokens.recv() => delivered,
            // Returning drops the receiver, so that the run learns at once that the
            // caller has disconnected, even while no token is due.
            () = events.closed() => return sent,
            // The drain timeout has expired: the run has to end as well.
            () = core.drain_expired.cancelled() => return sent,
        };
        let Some(DeliveredToken { number, token }) = delivered else {
            return sent;
        };
        let now = Instant::now();
        match last.replace(now) {
            None => core.metrics.first_token(now - received),
            Some(before) => core.metrics.next_token(now - before),
        }
        if events
            .send(StreamEvent::Token { number, token })
            .await
            .is_err()
        {
            return sent;
        }
        sent.push(token);
    }
}

fn closing_event(call: &GenerateCall, outcome: RunOutcome) -> StreamEvent {
    let Some(reason) = outcome.refusal else {
        return StreamEvent::Done {
            count: outcome.delivered,
        };
    };
    let body = RefusalBody {
        verdict: outcome.verdict,
        ..RefusalBody::not_run(reason, "the response was cut short")
    };
    StreamEvent::Error(
        body.retry_after(Duration::from_secs(1))
            .for_request(call.request.clone()),
    )
}
