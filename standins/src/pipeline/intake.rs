//! Arrival, rerouting and cancellation of requests.

use std::time::Duration;

use super::engine::EngineIndex;
use super::request::{PathPart, RequestPhase, RequestSettings, SimRequest};
use super::simulation::{PipelineSimulation, SubmitError};

impl PipelineSimulation {
    /// Accepts a request.
    ///
    /// # Errors
    ///
    /// If the path is invalid, or one of its engines cannot accept the request.
    pub fn submit(&mut self, request: RequestSettings, now: Duration) -> Result<(), SubmitError> {
        self.check_path(&request.path)?;
        for part in &request.path {
            let need = request.prompt * f64::from(part.layers.width());
            let state = &self.engines[part.engine];
            if state.used + need > state.capacity(&self.settings.model) {
                return Err(SubmitError::NoCapacity(part.engine));
            }
        }
        self.sequence += 1;
        let parts = request.path.len();
        let id = request.id.clone();
        let first = request.path[0].engine;
        let queued = self.started_at(first) >= self.settings.model.slots as usize;
        self.requests.insert(
            request.id,
            SimRequest {
                path: request.path,
                prompt: request.prompt,
                answer: request.answer,
                generated: 0.0,
                phase: RequestPhase::Prefill {
                    left: request.prompt,
                },
                queued,
                hop: 0,
                held: vec![0.0; parts],
                epoch: self.sequence,
                order: self.sequence,
                stalled: None,
                unread: vec![true; parts],
            },
        );
        match queued {
            true => self.engines[first].queued.push_back(id),
            false => self.arrive(&id, now),
        }
        Ok(())
    }

    /// Returns the number of requests that occupy a slot of an engine.
    fn started_at(&self, engine: EngineIndex) -> usize {
        let started = self.requests.values();
        let started = started.filter(|request| !request.queued && request.path[0].engine == engine);
        started.count()
    }

    /// Starts requests that wait for a slot of an engine, oldest first.
    pub(super) fn start_queued(&mut self, engine: EngineIndex, now: Duration) {
        while self.started_at(engine) < self.settings.model.slots as usize
            && let Some(id) = self.engines[engine].queued.pop_front()
        {
            if let Some(request) = self.requests.get_mut(&id) {
                request.queued = false;
                self.arrive(&id, now);
            }
        }
    }

    pub(super) fn check_path(&self, path: &[PathPart]) -> Result<(), SubmitError> {
        let mut seen = path.iter().map(|part| part.engine).collect::<Vec<_>>();
        seen.sort_unstable();
        seen.dedup();
        if path.is_empty() || seen.len() < path.len() {
            return Err(SubmitError::BadPath);
        }
        for part in path {
            let state = &self.engines[part.engine];
            if !state.alive || state.draining {
                return Err(SubmitError::NoCapacity(part.engine));
            }
            if !state.holds(part.layers) {
                return Err(SubmitError::WrongLayers(part.engine));
            }
        }
        Ok(())
    }

    /// Moves a running request to another path with the same first part.
    ///
    /// # Errors
    ///
    /// If the request does not exist, or an engine of a new part cannot accept it.
    pub fn reroute(
        &mut self,
        id: &str,
        path: Vec<PathPart>,
        now: Duration,
    ) -> Result<(), SubmitError> {
        let Some(request) = self.requests.get(id) else {
            return Err(SubmitError::Unknown);
        };
        if path.first() != request.path.first() {
            return Err(SubmitError::BadPath);
        }
        let old = request.path.clone();
        let context = request.context();
        let fresh = path
            .iter()
            .filter(|part| !old.contains(part))
            .copied()
            .collect::<Vec<_>>();
        self.check_path(&fresh)?;
        for part in &fresh {
            let state = &self.engines[part.engine];
            let need = context * f64::from(part.layers.width());
            if state.used + need > state.capacity(&self.settings.model) {
                return Err(SubmitError::NoCapacity(part.engine));
            }
        }
        self.release_where(id, |part| !path.contains(part));
        self.sequence += 1;
        let sequence = self.sequence;
        let Some(request) = self.requests.get_mut(id) else {
            return Err(SubmitError::Unknown);
        };
        let kept = |part: &PathPart| request.path.iter().position(|old| old == part);
        let held = path
            .iter()
            .map(|part| kept(part).map_or(0.0, |old| request.held[old]));
        let held = held.collect::<Vec<_>>();
        let unread = path
            .iter()
            .map(|part| kept(part).is_none_or(|old| request.unread[old]));
        let unread = unread.collect::<Vec<_>>();
        request.held = held;
        request.unread = unread;
        request.path = path;
        request.epoch = sequence;
        request.stalled = None;
        request.hop = 0;
        request.phase = match request.is_begun() {
            true => RequestPhase::Decode,
            false => RequestPhase::Prefill {
                left: request.prompt,
            },
        };
        self.remove_from_engines(id);
        self.arrive(id, now);
        Ok(())
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, id: &str, now: Duration) {
        self.release_where(id, |_| true);
        self.remove_from_engines(id);
        if let Some(request) = self.requests.remove(id) {
            self.start_queued(request.path[0].engine, now);
            self.unpark_all(now);
        }
    }
}
