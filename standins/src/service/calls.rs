//! HTTP endpoints of the service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use jackdawwick::target::wire::{
    EngineRole, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TargetRefusalKind, TargetState,
};
use serde_json::Value;
use tokio::time::{sleep, sleep_until};

use super::settings::{CallRecord, DeathPoint, ServiceFaults, ServiceResponse, ServiceSettings};
use crate::batch::StepBatch;
use crate::faults::FaultSwitch;
use crate::http_server::{CallOutcome, ServedCall};
use crate::load_gauge::LoadGauge;
use crate::record_list::{RecordList, next_order, now_micros};
use crate::refusal::{refusal_outcome, refused};

#[derive(Debug)]
pub(super) struct ServiceCalls {
    pub(super) settings: ServiceSettings,
    pub(super) faults: FaultSwitch<ServiceFaults>,
    pub(super) record: RecordList<CallRecord>,
    pub(super) batch: Arc<StepBatch>,
    pub(super) gauge: LoadGauge,
    ran: AtomicU64,
}

impl ServiceCalls {
    pub(super) fn new(settings: ServiceSettings) -> Self {
        Self {
            faults: FaultSwitch::new(ServiceFaults::default()),
            record: RecordList::new(settings.record_cap),
            batch: Arc::new(StepBatch::new(settings.concurrency, settings.max_waiting)),
            gauge: LoadGauge::new(Instant::now()),
            ran: AtomicU64::new(0),
            settings,
        }
    }

    pub(super) async fn serve(&self, call: ServedCall) -> CallOutcome {
        if call.path().first() == Some(&"control") {
            return self.serve_control(&call).unwrap_or_else(|outcome| outcome);
        }
        self.faults.wait_until(|faults| !faults.frozen).await;
        let outcome = self.serve_target(&call).await;
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
            (&Method::GET, ["record"]) => Ok(CallOutcome::ok(&self.record.entries())),
            (&Method::PUT, ["faults"]) => {
                self.faults.set(call.json()?);
                Ok(CallOutcome::empty(StatusCode::NO_CONTENT))
            }
            _ => Err(CallOutcome::empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn serve_target(&self, call: &ServedCall) -> Result<CallOutcome, CallOutcome> {
        match (&call.method, &call.path()[..]) {
            (&Method::POST, ["v1", "calls", operation]) => self.run(call, operation).await,
            (&Method::GET, ["v1", "load"]) => {
                Ok(CallOutcome::ok(&self.gauge.report(Instant::now())))
            }
            (&Method::GET, ["v1", "state"]) => Ok(CallOutcome::ok(&self.state())),
            _ => Err(CallOutcome::empty(StatusCode::NOT_FOUND)),
        }
    }

    fn state(&self) -> TargetState {
        TargetState {
            loaded: Vec::new(),
            loading: Vec::new(),
            role: EngineRole::Mixed,
            leaving: self.faults.read(|faults| faults.leaving),
            fencing: None,
        }
    }

    async fn run(&self, call: &ServedCall, operation: &str) -> Result<CallOutcome, CallOutcome> {
        self.admit()?;
        let body: Value = serde_json::from_slice(&call.body)
            .map_err(|_| refusal_outcome(refused(TargetRefusalKind::Malformed)))?;
        let slot = self.batch.acquire(0).await;
        let mut slot = slot.map_err(|_| refusal_outcome(refused(TargetRefusalKind::Overloaded)))?;
        // A service that crashes while the call waits for its slot never runs it.
        self.check_death_point(DeathPoint::Before)?;
        let ran = self.ran.fetch_add(1, Ordering::Relaxed) + 1;
        self.record_call(call, operation, body);
        self.check_death_point(DeathPoint::During)?;
        let slow_factor = self.faults.read(|faults| faults.slow_factor).max(0.0);
        let done_at = slot.book(self.settings.call_time.mul_f64(slow_factor));
        sleep_until(done_at.into()).await;
        drop(slot);
        self.gauge.count(1);
        self.check_death_point(DeathPoint::After)?;
        if self.faults.take_one(|faults| &mut faults.lose_answers) {
            return Err(CallOutcome::Close);
        }
        Ok(CallOutcome::ok(&ServiceResponse {
            ran,
            operation: operation.to_owned(),
        }))
    }

    fn admit(&self) -> Result<(), CallOutcome> {
        if self.faults.take_one(|faults| &mut faults.lose_calls) {
            return Err(CallOutcome::Close);
        }
        if self.faults.take_one(|faults| &mut faults.refuse_calls) {
            let kind = self.faults.read(|faults| faults.refusal);
            return Err(refusal_outcome(refused(kind)));
        }
        match self.faults.read(|faults| faults.leaving) {
            true => Err(refusal_outcome(refused(TargetRefusalKind::Leaving))),
            false => Ok(()),
        }
    }

    /// Crashes the service if a fault is set for `point`. A call of a crashed service
    /// goes no further.
    fn check_death_point(&self, point: DeathPoint) -> Result<(), CallOutcome> {
        self.faults.update_if(|faults| {
            let dies = faults.die_at == Some(point);
            if dies {
                faults.dead = true;
                faults.die_at = None;
            }
            dies
        });
        match self.faults.read(|faults| faults.dead) {
            true => Err(CallOutcome::Close),
            false => Ok(()),
        }
    }

    fn record_call(&self, call: &ServedCall, operation: &str, body: Value) {
        self.record.push(|| CallRecord {
            order: next_order(),
            request: call.header_text(REQUEST_ID_HEADER).map(Into::into),
            idempotency_key: call.header_text(IDEMPOTENCY_KEY_HEADER).map(Into::into),
            operation: operation.to_owned(),
            body,
            at_micros: now_micros(),
        });
    }
}
