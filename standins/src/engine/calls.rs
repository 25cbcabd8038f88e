//! HTTP endpoints of the engine.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use jackdawwick::target::wire::{
    CacheExport, StateOrder, StepRequest, StepResponse, TargetRefusal, TargetRefusalKind,
};
use parking_lot::Mutex;
use tokio::time::sleep;

use super::range_store::RangeStore;
use super::settings::{EngineFaults, EngineSettings};
use super::steps::StepRunner;
use crate::faults::FaultSwitch;
use crate::http_server::{CallOutcome, ServedCall};
use crate::refusal::{refusal_outcome, refused};

#[derive(Debug)]
pub(super) struct EngineCalls {
    pub(super) settings: Arc<EngineSettings>,
    pub(super) faults: FaultSwitch<EngineFaults>,
    pub(super) steps: StepRunner,
    ranges: Mutex<RangeStore>,
    /// Last responses of two different sessions, for the fault `cross_answers`.
    recent_responses: Mutex<Vec<StepResponse>>,
}

impl EngineCalls {
    pub(super) fn new(settings: EngineSettings) -> Self {
        let settings = Arc::new(settings);
        let faults = FaultSwitch::new(EngineFaults::default());
        let ranges = RangeStore::new(
            settings.fencing,
            settings.load_time,
            settings.loaded.clone(),
            settings.role,
        );
        Self {
            steps: StepRunner::new(Arc::clone(&settings), faults.clone()),
            settings,
            faults,
            ranges: Mutex::new(ranges),
            recent_responses: Mutex::default(),
        }
    }

    pub(super) async fn serve(&self, call: ServedCall) -> CallOutcome {
        if call.path().first() == Some(&"control") {
            return self.serve_control(&call).unwrap_or_else(|outcome| outcome);
        }
        let arrived_at = Instant::now();
        self.faults.wait_until(|faults| !faults.frozen).await;
        let outcome = self.serve_target(&call, arrived_at).await;
        self.faults.wait_until(|faults| !faults.frozen).await;
        let link_delay_ms = self.faults.read(|faults| faults.link_delay_ms);
        if link_delay_ms > 0 {
            sleep(Duration::from_millis(link_delay_ms)).await;
        }
        outcome.unwrap_or_else(|outcome| outcome)
    }

    fn serve_control(&self, call: &ServedCall) -> Result<CallOutcome, CallOutcome> {
        match (&call.method, &call.path()[1..]) {
            (&Method::GET, ["faults"]) => Ok(CallOutcome::ok(&self.faults.get())),
            (&Method::GET, ["record"]) => Ok(CallOutcome::ok(&self.steps.record.entries())),
            (&Method::PUT, ["faults"]) => {
                self.faults.set(call.json()?);
                Ok(CallOutcome::empty(StatusCode::NO_CONTENT))
            }
            _ => Err(CallOutcome::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn serve_target(
        &self,
        call: &ServedCall,
        arrived_at: Instant,
    ) -> Result<CallOutcome, CallOutcome> {
        let now = Instant::now();
        match (&call.method, &call.path()[..]) {
            (&Method::POST, ["v1", "steps"]) => self.step(call).await,
            (&Method::DELETE, ["v1", "sessions", session]) => {
                self.steps.sessions.close(session);
                Ok(CallOutcome::empty(StatusCode::NO_CONTENT))
            }
            (&Method::GET, ["v1", "sessions", session, "cache"]) => self.export(session).await,
            (&Method::PUT, ["v1", "sessions", session, "cache"]) => self.import(session, call),
            (&Method::GET, ["v1", "load"]) => Ok(CallOutcome::ok(&self.steps.gauge.report(now))),
            (&Method::GET, ["v1", "state"]) => Ok(self.state(now)),
            (&Method::PUT, ["v1", "state"]) => self.order_state(call, arrived_at, now),
            (&Method::GET, ["v1", "cache-events"]) => {
                let from = call.query_number("from").unwrap_or(0);
                Ok(CallOutcome::ok(&self.steps.cache.lock().events(from, now)))
            }
            _ => Err(CallOutcome::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn state(&self, now: Instant) -> CallOutcome {
        let leaving = self.faults.read(|faults| faults.leaving);
        CallOutcome::ok(&self.ranges.lock().state(leaving, now))
    }

    fn order_state(
        &self,
        call: &ServedCall,
        arrived_at: Instant,
        now: Instant,
    ) -> Result<CallOutcome, CallOutcome> {
        let order: StateOrder = call.json()?;
        let deadline = Duration::from_millis(order.deadline_ms);
        if now.saturating_duration_since(arrived_at) <= deadline {
            let ordered = self.ranges.lock().order(order, now);
            ordered.map_err(|kind| refusal_outcome(refused(kind)))?;
        }
        Ok(self.state(now))
    }

    async fn export(&self, session: &str) -> Result<CallOutcome, CallOutcome> {
        let session = self.steps.sessions.find(session);
        let session = session.ok_or_else(|| CallOutcome::empty(StatusCode::NOT_FOUND))?;
        let export = session.data.lock().await.export();
        Ok(CallOutcome::ok(&export))
    }

    fn import(&self, session: &str, call: &ServedCall) -> Result<CallOutcome, CallOutcome> {
        let export: CacheExport = call.json()?;
        self.steps.sessions.import(session, export);
        Ok(CallOutcome::empty(StatusCode::NO_CONTENT))
    }

    async fn step(&self, call: &ServedCall) -> Result<CallOutcome, CallOutcome> {
        let order: StepRequest = match call.json() {
            Ok(order) => order,
            Err(_) => return Err(refusal_outcome(refused(TargetRefusalKind::Malformed))),
        };
        if self.faults.take_one(|faults| &mut faults.lose_steps) {
            return Err(CallOutcome::Close);
        }
        self.admit(&order).map_err(refusal_outcome)?;
        let result = self.steps.run(&order).await.map_err(refusal_outcome)?;
        let crossed = self.exchange_response(&result.response);
        if self.faults.take_one(|faults| &mut faults.lose_answers) {
            return Err(CallOutcome::Close);
        }
        if self.faults.take_one(|faults| &mut faults.cross_answers) {
            return Ok(CallOutcome::ok(&crossed));
        }
        match result.previous {
            Some(previous) if self.faults.take_one(|faults| &mut faults.repeat_answers) => {
                Ok(CallOutcome::ok(&previous))
            }
            _ => Ok(CallOutcome::ok(&result.response)),
        }
    }

    fn admit(&self, order: &StepRequest) -> Result<(), TargetRefusal> {
        if order.inputs.is_empty() {
            return Err(refused(TargetRefusalKind::Malformed));
        }
        if self.faults.take_one(|faults| &mut faults.refuse_steps) {
            return Err(refused(TargetRefusalKind::Overloaded));
        }
        match self.ranges.lock().holds(order, Instant::now()) {
            true => Ok(()),
            false => Err(refused(TargetRefusalKind::NotLoaded)),
        }
    }

    /// Stores `response` and returns the last response of another session.
    fn exchange_response(&self, response: &StepResponse) -> StepResponse {
        let mut recent = self.recent_responses.lock();
        recent.retain(|other| other.label != response.label);
        let crossed = recent
            .last()
            .cloned()
            .unwrap_or_else(|| foreign_response(response));
        recent.push(response.clone());
        if recent.len() > 2 {
            recent.remove(0);
        }
        crossed
    }
}

/// Builds a response of a session that does not exist, for use while there is no second
/// session.
fn foreign_response(response: &StepResponse) -> StepResponse {
    let mut foreign = response.clone();
    foreign.label.request = format!("other-than-{}", foreign.label.request).into();
    foreign.outputs.iter_mut().for_each(|output| *output ^= 1);
    foreign
}
