//! Memory of engines: admission and preemption of requests.

use std::time::Duration;

use super::engine::EngineIndex;
use super::request::{PathPart, RequestPhase};
use super::simulation::PipelineSimulation;

impl PipelineSimulation {
    /// Handles the arrival of a request at the engine of its part.
    pub(super) fn arrive(&mut self, id: &str, now: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let part = request.part();
        let hop = request.hop;
        if !self.engines[part.engine].alive {
            self.stall(id, now);
            return;
        }
        let mut need = request.context();
        if request.unread[hop] {
            request.phase = RequestPhase::Prefill { left: need };
        } else if matches!(request.phase, RequestPhase::Decode) {
            need += f64::from(self.settings.model.stride);
        }
        let need = need * f64::from(part.layers.width());
        let more = need - request.held[hop];
        if self.engines[part.engine].used + more
            > self.engines[part.engine].capacity(&self.settings.model)
        {
            self.park(id, part.engine);
            return;
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.held[hop] = need;
        }
        let engine = &mut self.engines[part.engine];
        engine.used += more;
        engine.ready.push(id.to_owned());
        self.start_pass(part.engine, now);
    }

    /// Preempts the newest request, which may be this one, as no memory is left.
    pub(super) fn park(&mut self, id: &str, engine: EngineIndex) {
        let order = |id: &String| self.requests.get(id).map(|request| request.order);
        let own_order = order(&id.to_owned());
        let ready = self.engines[engine].ready.iter();
        let newest = ready
            .filter(|queued| order(queued) > own_order)
            .max_by_key(|queued| order(queued));
        let newest = newest.cloned();
        self.engines[engine].parked.push(id.to_owned());
        if let Some(newest) = newest {
            self.engines[engine]
                .ready
                .retain(|queued| *queued != newest);
            self.engines[engine].parked.push(newest.clone());
            self.release_memory(&newest, engine);
        } else {
            self.release_memory(id, engine);
        }
    }

    pub(super) fn release_memory(&mut self, id: &str, engine: EngineIndex) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let hop = request.hop;
        self.engines[engine].used -= std::mem::take(&mut request.held[hop]);
        request.unread[hop] = true;
    }

    pub(super) fn unpark_all(&mut self, now: Duration) {
        for engine in 0..self.engines.len() {
            self.unpark(engine, now);
        }
    }

    /// Resumes parked requests, oldest first, while memory lasts.
    pub(super) fn unpark(&mut self, engine: EngineIndex, now: Duration) {
        let mut parked = std::mem::take(&mut self.engines[engine].parked);
        parked.sort_by_key(|id| self.requests.get(id).map(|request| request.order));
        let mut rest = Vec::new();
        for id in parked {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let need = request.context() * f64::from(request.part().layers.width());
            let state = &self.engines[engine];
            if rest.is_empty() && state.used + need <= state.capacity(&self.settings.model) {
                self.arrive(&id, now);
            } else {
                rest.push(id);
            }
        }
        self.engines[engine].parked.extend(rest);
    }

    /// Releases the memory of the parts for which `released` returns true.
    pub(super) fn release_where<F>(&mut self, id: &str, released: F)
    where
        F: Fn(&PathPart) -> bool,
    {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        for (part, held) in request.path.iter().zip(&mut request.held) {
            let engine = &mut self.engines[part.engine];
            if released(part) {
                engine.used = (engine.used - std::mem::take(held)).max(0.0);
            }
        }
    }

    /// Removes a request from the lists of every engine.
    pub(super) fn remove_from_engines(&mut self, id: &str) {
        for engine in &mut self.engines {
            engine.ready.retain(|queued| queued != id);
            engine.parked.retain(|queued| queued != id);
            engine.queued.retain(|queued| queued != id);
            if let Some(pass) = &mut engine.pass {
                pass.retain(|(queued, _)| queued != id);
            }
        }
    }
}
