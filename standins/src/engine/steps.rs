//! Runs steps: resumes known positions, waits for a batch slot, runs the layers and
//! records the work.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawwick::ids::TokenPosition;
use jackdawwick::target::wire::{StepRequest, StepResponse, TargetRefusal, TargetRefusalKind};
use parking_lot::Mutex;
use tokio::time::sleep_until;

use super::prefix_cache::{CacheLimits, PrefixCache};
use super::record::{StepKind, StepRecord};
use super::session::{EngineSession, SessionData, SessionTable};
use super::settings::{EngineFaults, EngineSettings};
use crate::batch::StepBatch;
use crate::faults::FaultSwitch;
use crate::load_gauge::LoadGauge;
use crate::record_list::{RecordList, next_order, now_micros};
use crate::refusal::refused;

/// State that steps share.
#[derive(Debug)]
pub(super) struct StepRunner {
    settings: Arc<EngineSettings>,
    faults: FaultSwitch<EngineFaults>,
    pub(super) sessions: SessionTable,
    pub(super) batch: Arc<StepBatch>,
    pub(super) gauge: LoadGauge,
    pub(super) cache: Mutex<PrefixCache>,
    pub(super) record: RecordList<StepRecord>,
}

/// Result of a step.
#[derive(Debug)]
pub(super) struct StepResult {
    pub(super) response: StepResponse,
    /// The previous response of the session.
    pub(super) previous: Option<StepResponse>,
}

impl StepRunner {
    pub(super) fn new(settings: Arc<EngineSettings>, faults: FaultSwitch<EngineFaults>) -> Self {
        let limits = CacheLimits {
            prefixes: settings.cached_prefixes,
            chunk_inputs: settings.chunk_inputs,
            event_delay: settings.cache_event_delay,
            drop_event_every: settings.drop_cache_event_every,
        };
        Self {
            faults,
            sessions: SessionTable::default(),
            batch: Arc::new(StepBatch::new(settings.concurrency, settings.max_waiting)),
            gauge: LoadGauge::new(Instant::now()),
            cache: Mutex::new(PrefixCache::new(limits)),
            record: RecordList::new(settings.record_cap),
            settings,
        }
    }

    /// Removes all sessions and the prefix cache.
    pub(super) fn clear_state(&self) {
        self.sessions.close_all();
        self.cache.lock().clear(Instant::now());
    }

    /// Runs the positions of `order` that have not run yet.
    pub(super) async fn run(&self, order: &StepRequest) -> Result<StepResult, TargetRefusal> {
        let session = self.session_for(order)?;
        let mut data = session.data.lock().await;
        let result = self.run_in(order, &session, &mut data).await;
        let is_unused = data.next_position() == 0 && !session.is_closed();
        if result.is_err() && is_unused {
            // A refused first step must not leave an empty session behind.
            self.sessions.close(&order.label.session());
        }
        result
    }

    fn session_for(&self, order: &StepRequest) -> Result<Arc<EngineSession>, TargetRefusal> {
        match self.sessions.find(&order.label.session()) {
            Some(session) => Ok(session),
            None if order.position > 0 => Err(unknown_position(0)),
            None if self.faults.read(|faults| faults.leaving) => {
                Err(refused(TargetRefusalKind::Leaving))
            }
            None => Ok(self.sessions.find_or_open(order)),
        }
    }

    async fn run_in(
        &self,
        order: &StepRequest,
        session: &EngineSession,
        data: &mut SessionData,
    ) -> Result<StepResult, TargetRefusal> {
        let next = data.next_position();
        match order {
            _ if session.is_closed() => return Err(unknown_position(0)),
            order if order.position > next => return Err(unknown_position(next)),
            order if !data.matches(order) => return Err(refused(TargetRefusalKind::NotLoaded)),
            _ => {}
        }
        let resumed = order.inputs.len().min((next - order.position) as usize);
        let (old_inputs, new_inputs) = order.inputs.split_at(resumed);
        if !new_inputs.is_empty() {
            self.work(order, new_inputs, session).await?;
        }
        let faults = self.faults.get();
        let mut outputs = Vec::with_capacity(order.inputs.len());
        for (&input, position) in old_inputs.iter().zip(order.position..) {
            let output = data
                .output(position)
                .ok_or_else(|| unknown_position(next))?;
            self.record_step(order, position, input, output, &[], StepKind::Resumed);
            outputs.push(output);
        }
        for (&input, position) in new_inputs.iter().zip(next..) {
            let run = data.run_next(input, self.settings.model_layers, &faults);
            self.record_step(
                order,
                position,
                input,
                run.output,
                &run.layers,
                StepKind::Ran,
            );
            outputs.push(run.output);
        }
        self.gauge.count(new_inputs.len());
        let response = StepResponse {
            label: order.label.clone(),
            position: order.position,
            outputs,
        };
        let previous = data.last_response.replace(response.clone());
        Ok(StepResult { response, previous })
    }

    /// Occupies a slot of the batch for the time that the inputs take.
    async fn work(
        &self,
        order: &StepRequest,
        inputs: &[u64],
        session: &EngineSession,
    ) -> Result<(), TargetRefusal> {
        let work = async {
            let mut slot = self.batch.acquire(order.priority).await;
            if let Ok(slot) = &mut slot {
                let done_at = slot.book(self.work_time(order, inputs));
                sleep_until(done_at.into()).await;
                self.faults.wait_until(|faults| !faults.frozen).await;
            }
            slot
        };
        let slot = tokio::select! {
            // The cancellation is polled first, so that no cancelled session continues.
            biased;
            () = session.closed() => return Err(unknown_position(0)),
            slot = work => slot,
        };
        slot.map_err(|_| refused(TargetRefusalKind::Overloaded))?;
        if order.position == 0 {
            self.cache.lock().insert(&order.inputs, Instant::now());
        }
        Ok(())
    }

    fn work_time(&self, order: &StepRequest, inputs: &[u64]) -> Duration {
        let is_decode = order.position > 0 && inputs.len() == 1;
        let time = if is_decode {
            self.settings.step_time
        } else {
            let cached = self.cached_inputs(order);
            let computed = inputs.len().saturating_sub(cached) as u32;
            self.settings.prefill_time_per_token * computed
        };
        time.mul_f64(self.faults.read(|faults| faults.slow_factor).max(0.0))
    }

    fn cached_inputs(&self, order: &StepRequest) -> usize {
        match order.position {
            0 => self.cache.lock().cached_inputs(&order.inputs),
            _ => 0,
        }
    }

    fn record_step(
        &self,
        order: &StepRequest,
        position: TokenPosition,
        input: u64,
        output: u64,
        layers: &[u32],
        kind: StepKind,
    ) {
        self.record.push(|| StepRecord {
            order: next_order(),
            request: order.label.request.clone(),
            attempt: order.label.attempt,
            stage: order.label.stage,
            model: order.model.clone(),
            version: order.version.clone(),
            layers: layers.to_vec(),
            position,
            input,
            output,
            kind,
            at_micros: now_micros(),
        });
    }
}

fn unknown_position(next: TokenPosition) -> TargetRefusal {
    TargetRefusal {
        refused: TargetRefusalKind::UnknownPosition,
        next_position: Some(next),
    }
}
