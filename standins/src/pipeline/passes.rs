//! Passes of engines, and the transfer of their results.

use std::time::Duration;

use super::engine::EngineIndex;
use super::request::RequestPhase;
use super::simulation::{Action, PipelineSimulation, SimulationEvent};

impl PipelineSimulation {
    pub(super) fn start_pass(&mut self, engine: EngineIndex, now: Duration) {
        let state = &self.engines[engine];
        if !state.alive || state.pass.is_some() || state.ready.is_empty() {
            return;
        }
        let (jobs, took) = self.plan_pass(engine);
        let state = &mut self.engines[engine];
        state.ready.clear();
        state.pass = Some(jobs);
        let incarnation = state.incarnation;
        self.schedule(
            now + took,
            Action::EndPass {
                engine,
                incarnation,
            },
        );
    }

    /// Returns the tokens that each request reads in the next pass, and the duration of
    /// the pass.
    pub(super) fn plan_pass(&self, engine: EngineIndex) -> (Vec<(String, f64)>, Duration) {
        let state = &self.engines[engine];
        let model = &self.settings.model;
        let layers = f64::from(model.layers);
        let stride = f64::from(model.stride);
        let requests = state
            .ready
            .iter()
            .filter_map(|id| Some((id, self.requests.get(id)?)));
        let requests = requests.collect::<Vec<_>>();
        let has_decode = requests
            .iter()
            .any(|(_, request)| matches!(request.phase, RequestPhase::Decode));
        let mut chunk = self.settings.chunk * if has_decode { stride } else { 1.0 };
        let mut step_share = 0.0_f64;
        let mut step_ms = 0.0;
        let mut read_ms = 0.0;
        let mut jobs = Vec::with_capacity(requests.len());
        for (id, request) in requests {
            let share = f64::from(request.part().layers.width()) / layers;
            match request.phase {
                RequestPhase::Decode => {
                    step_share = step_share.max(share);
                    let context_ms =
                        request.context() / 1000.0 * model.per_context_k_ms * state.kind.pace;
                    step_ms += (model.per_request_ms * state.kind.read_factor + context_ms) * share;
                    jobs.push((id.clone(), 0.0));
                }
                RequestPhase::Prefill { left } => {
                    let read = left.min(chunk);
                    chunk -= read;
                    let pairs = read * request.context() / 1e6 * self.settings.pairs_per_m_ms;
                    let tokens_ms = read / model.read_per_s * 1000.0;
                    read_ms += (tokens_ms + pairs) * state.kind.read_factor * share;
                    jobs.push((id.clone(), read));
                }
            }
        }
        step_ms += model.step_ms * state.kind.pace * step_share;
        let total_ms = (step_ms * stride + read_ms) * state.slow_factor;
        (jobs, Duration::from_secs_f64(total_ms.max(0.01) / 1000.0))
    }

    pub(super) fn end_pass(&mut self, engine: EngineIndex, now: Duration) {
        let jobs = self.engines[engine].pass.take().unwrap_or_default();
        for (id, read) in jobs {
            self.end_request_pass(&id, read, engine, now);
        }
        self.unpark(engine, now);
        self.start_pass(engine, now);
    }

    /// Handles the end of a request's share of a pass.
    pub(super) fn end_request_pass(
        &mut self,
        id: &str,
        read: f64,
        engine: EngineIndex,
        now: Duration,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.part().engine != engine {
            return;
        }
        let hop = request.hop;
        let tokens = match request.phase {
            RequestPhase::Prefill { left } if left - read > 0.5 => {
                request.phase = RequestPhase::Prefill { left: left - read };
                self.engines[engine].ready.push(id.to_owned());
                return;
            }
            RequestPhase::Prefill { .. } => {
                request.unread[hop] = false;
                request.context()
            }
            RequestPhase::Decode => f64::from(self.settings.model.stride),
        };
        if hop + 1 < request.path.len() {
            request.hop += 1;
            request.phase = match request.unread[hop + 1] {
                true => RequestPhase::Prefill {
                    left: request.context(),
                },
                false => RequestPhase::Decode,
            };
            self.forward(id, engine, tokens, now);
            return;
        }
        request.generated += match request.phase {
            RequestPhase::Prefill { .. } => 1.0,
            RequestPhase::Decode => f64::from(self.settings.model.stride),
        };
        request.phase = RequestPhase::Decode;
        request.hop = 0;
        let (generated, last) = (request.generated, request.generated >= request.answer);
        self.events.push(SimulationEvent::Event {
            id: id.to_owned(),
            generated,
            last,
        });
        if last {
            self.cancel(id, now);
        } else {
            self.forward(id, engine, 1.0, now);
        }
    }

    /// Sends the output of an engine to the next part of the request.
    pub(super) fn forward(&mut self, id: &str, from: EngineIndex, tokens: f64, now: Duration) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let (to, epoch) = (request.part().engine, request.epoch);
        let zones = (
            self.engines[from].zone.clone(),
            self.engines[to].zone.clone(),
        );
        let mut at = now + self.settings.link_time(tokens);
        if zones.0 == zones.1 {
            at += self.settings.same_zone_delay;
        } else {
            let pair = if zones.0 < zones.1 {
                zones
            } else {
                (zones.1, zones.0)
            };
            let free = self.zone_links.entry(pair).or_default();
            *free = at.max(*free) + self.settings.zone_link_time(tokens);
            at = *free + self.settings.cross_zone_delay;
        }
        self.schedule(
            at,
            Action::Arrive {
                id: id.to_owned(),
                epoch,
            },
        );
    }
}
