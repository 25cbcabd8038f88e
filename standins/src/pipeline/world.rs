//! All engines and requests, moved on by events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use jackdawwick::collections::FastMap;
use jackdawwick::fleet::LayerRange;

use super::engine::{EngineIndex, SimEngine};
use super::request::{PathPart, RequestPhase, RequestSettings, SimRequest};
use super::settings::WorldSettings;

/// What callers see of the model.
#[derive(Debug, Clone, PartialEq)]
pub enum WorldEvent {
    /// An event of a stream: so many tokens are made now.
    Event {
        /// The request.
        id: String,
        /// Tokens made so far.
        made: f64,
        /// Whether it was the last.
        last: bool,
    },
    /// The request has not run; the engine is at fault.
    Refused {
        /// The request.
        id: String,
        /// The engine.
        at: EngineIndex,
    },
    /// The stream breaks off.
    Cut {
        /// The request.
        id: String,
    },
}

/// Why a request is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// An engine does not hold its part.
    WrongLayers(EngineIndex),
    /// An engine is dead, draining, or short of memory.
    NoRoom(EngineIndex),
    /// An engine appears twice, or there is none.
    BadPath,
    /// No such request.
    Unknown,
}

/// What an engine tells of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Layers held.
    pub layers: Option<LayerRange>,
    /// An order is being carried out.
    pub busy: bool,
    /// Orders accepted.
    pub orders: u64,
    /// Requests in a pass or ready for one.
    pub running: usize,
    /// Requests that wait for memory.
    pub waiting: usize,
    /// Memory in use, in tokens times layers.
    pub used: f64,
    /// Memory for requests in all.
    pub total: f64,
    /// Whether it refuses what is new.
    pub draining: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    Arrive { id: String, epoch: u64 },
    EndPass { engine: EngineIndex, life: u64 },
    EndLoad { engine: EngineIndex, life: u64 },
    EndStall { id: String, epoch: u64 },
}

/// Engines and requests.
#[derive(Debug)]
pub struct PipelineWorld {
    settings: WorldSettings,
    engines: Vec<SimEngine>,
    requests: BTreeMap<String, SimRequest>,
    agenda: BinaryHeap<Reverse<(Duration, u64, Action)>>,
    pipes: FastMap<(String, String), Duration>,
    events: Vec<WorldEvent>,
    sequence: u64,
}

impl PipelineWorld {
    /// A world without engines.
    pub fn new(settings: WorldSettings) -> Self {
        Self {
            settings,
            engines: Vec::new(),
            requests: BTreeMap::new(),
            agenda: BinaryHeap::new(),
            pipes: FastMap::default(),
            events: Vec::new(),
            sequence: 0,
        }
    }

    /// The figures of the world.
    pub fn settings(&self) -> &WorldSettings {
        &self.settings
    }

    /// Adds an empty engine of a kind.
    pub fn add_engine(&mut self, zone: &str, kind: &str) -> EngineIndex {
        self.engines.push(SimEngine {
            zone: zone.to_owned(),
            kind: self.settings.model.kinds[kind],
            layers: None,
            loading: None,
            alive: true,
            draining: false,
            ready: Vec::new(),
            pass: None,
            parked: Vec::new(),
            used: 0.0,
            orders: 0,
            slowness: 1.0,
            life: 0,
        });
        self.engines.len() - 1
    }

    /// What an engine tells of itself.
    pub fn status(&self, engine: EngineIndex) -> EngineStatus {
        let state = &self.engines[engine];
        EngineStatus {
            layers: state.layers,
            busy: state.loading.is_some(),
            orders: state.orders,
            running: state.ready.len() + state.pass.as_ref().map_or(0, Vec::len),
            waiting: state.parked.len(),
            used: state.used,
            total: state.room(&self.settings.model),
            draining: state.draining,
        }
    }

    /// Requests that began at an engine and wait for a dead one, as a report
    /// tells them.
    pub fn stalled(&self, engine: EngineIndex, now: Duration) -> Vec<(String, EngineIndex)> {
        let lag = self.settings.report_lag;
        let told = |request: &&SimRequest| {
            request.path[0].engine == engine
                && request.stalled.is_some_and(|since| now >= since + lag)
        };
        let requests = self.requests.iter().filter(|(_, request)| told(request));
        requests
            .map(|(id, request)| (id.clone(), request.part().engine))
            .collect()
    }

    /// Orders an engine to hold `layers`; more than it can hold kills it.
    pub fn place(&mut self, engine: EngineIndex, layers: LayerRange, now: Duration) {
        let model = &self.settings.model;
        let state = &mut self.engines[engine];
        if state.layers == Some(layers) {
            return;
        }
        state.orders += 1;
        if layers.width() > model.most_layers(state.kind) {
            self.kill(engine, now);
            return;
        }
        let kept = state.layers.map_or(0, |held| {
            layers
                .to
                .min(held.to)
                .saturating_sub(layers.from.max(held.from))
        });
        let share = f64::from(layers.width() - kept) / f64::from(model.layers);
        let done = now + Duration::from_secs_f64(model.load_s * share);
        state.loading = Some((layers, done));
        let life = state.life;
        self.schedule(done, Action::EndLoad { engine, life });
    }

    /// Gives an engine its layers at once, for a start.
    pub fn preload(&mut self, engine: EngineIndex, layers: LayerRange) {
        self.engines[engine].layers = Some(layers);
    }

    /// Makes an engine slower.
    pub fn set_slowness(&mut self, engine: EngineIndex, factor: f64) {
        self.engines[engine].slowness = factor;
    }

    /// Makes an engine refuse what is new.
    pub fn set_draining(&mut self, engine: EngineIndex, draining: bool) {
        self.engines[engine].draining = draining;
    }

    /// An engine dies with all that it holds.
    pub fn kill(&mut self, engine: EngineIndex, now: Duration) {
        let state = &mut self.engines[engine];
        state.alive = false;
        state.life += 1;
        state.layers = None;
        state.loading = None;
        state.orders = 0;
        state.used = 0.0;
        let passed = state.pass.take().unwrap_or_default();
        let mut waiting = passed.into_iter().map(|(id, _)| id).collect::<Vec<_>>();
        waiting.append(&mut state.ready);
        waiting.append(&mut state.parked);
        for id in waiting {
            self.stall(&id, now);
        }
    }

    /// A dead engine is back, empty.
    pub fn revive(&mut self, engine: EngineIndex) {
        let state = &mut self.engines[engine];
        state.alive = true;
        state.draining = false;
        state.slowness = 1.0;
    }

    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// If the path is none, or an engine of it cannot take the request.
    pub fn submit(&mut self, request: RequestSettings, now: Duration) -> Result<(), SubmitError> {
        self.check_path(&request.path)?;
        for part in &request.path {
            let need = request.prompt * f64::from(part.layers.width());
            let state = &self.engines[part.engine];
            if state.used + need > state.room(&self.settings.model) {
                return Err(SubmitError::NoRoom(part.engine));
            }
        }
        self.sequence += 1;
        let parts = request.path.len();
        let id = request.id.clone();
        self.requests.insert(
            request.id,
            SimRequest {
                path: request.path,
                prompt: request.prompt,
                answer: request.answer,
                made: 0.0,
                phase: RequestPhase::Reading {
                    left: request.prompt,
                },
                hop: 0,
                held: vec![0.0; parts],
                epoch: self.sequence,
                order: self.sequence,
                stalled: None,
                unread: vec![true; parts],
            },
        );
        self.arrive(&id, now);
        Ok(())
    }

    fn check_path(&self, path: &[PathPart]) -> Result<(), SubmitError> {
        let mut seen = path.iter().map(|part| part.engine).collect::<Vec<_>>();
        seen.sort_unstable();
        seen.dedup();
        if path.is_empty() || seen.len() < path.len() {
            return Err(SubmitError::BadPath);
        }
        for part in path {
            let state = &self.engines[part.engine];
            if !state.alive || state.draining {
                return Err(SubmitError::NoRoom(part.engine));
            }
            if !state.holds(part.layers) {
                return Err(SubmitError::WrongLayers(part.engine));
            }
        }
        Ok(())
    }

    /// Takes a running request over another path with the same first part.
    ///
    /// # Errors
    ///
    /// If there is no such request, or a new part cannot take it.
    pub fn repath(
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
            if state.used + need > state.room(&self.settings.model) {
                return Err(SubmitError::NoRoom(part.engine));
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
            true => RequestPhase::Writing,
            false => RequestPhase::Reading {
                left: request.prompt,
            },
        };
        self.forget(id);
        self.arrive(id, now);
        Ok(())
    }

    /// The caller has left.
    pub fn cancel(&mut self, id: &str, now: Duration) {
        self.release_where(id, |_| true);
        self.forget(id);
        if self.requests.remove(id).is_some() {
            self.unpark_all(now);
        }
    }

    /// When something happens next.
    pub fn next_time(&self) -> Option<Duration> {
        self.agenda.peek().map(|Reverse((at, ..))| *at)
    }

    /// Lets time pass up to `now`; gives what callers see, in order.
    pub fn advance(&mut self, now: Duration) -> Vec<WorldEvent> {
        while self.next_time().is_some_and(|at| at <= now) {
            let Some(Reverse((at, _, action))) = self.agenda.pop() else {
                break;
            };
            match action {
                Action::Arrive { id, epoch } if self.is_current(&id, epoch) => self.arrive(&id, at),
                Action::EndPass { engine, life } if self.engines[engine].life == life => {
                    self.end_pass(engine, at);
                }
                Action::EndLoad { engine, life } if self.engines[engine].life == life => {
                    self.end_load(engine, at);
                }
                Action::EndStall { id, epoch } if self.is_current(&id, epoch) => {
                    self.end_stall(&id);
                }
                _ => {}
            }
        }
        std::mem::take(&mut self.events)
    }

    fn is_current(&self, id: &str, epoch: u64) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| request.epoch == epoch)
    }

    fn schedule(&mut self, at: Duration, action: Action) {
        self.sequence += 1;
        self.agenda.push(Reverse((at, self.sequence, action)));
    }

    /// A request reaches the engine of its part.
    fn arrive(&mut self, id: &str, now: Duration) {
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
            request.phase = RequestPhase::Reading { left: need };
        } else if matches!(request.phase, RequestPhase::Writing) {
            need += f64::from(self.settings.model.stride);
        }
        let need = need * f64::from(part.layers.width());
        let more = need - request.held[hop];
        if self.engines[part.engine].used + more
            > self.engines[part.engine].room(&self.settings.model)
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

    /// No memory is left: the newest request yields, which may be this one.
    fn park(&mut self, id: &str, engine: EngineIndex) {
        let order = |id: &String| self.requests.get(id).map(|request| request.order);
        let own = order(&id.to_owned());
        let ready = self.engines[engine].ready.iter();
        let newest = ready
            .filter(|other| order(other) > own)
            .max_by_key(|other| order(other));
        let newest = newest.cloned();
        self.engines[engine].parked.push(id.to_owned());
        if let Some(newest) = newest {
            self.engines[engine].ready.retain(|other| *other != newest);
            self.engines[engine].parked.push(newest.clone());
            self.yield_memory(&newest, engine);
        } else {
            self.yield_memory(id, engine);
        }
    }

    fn yield_memory(&mut self, id: &str, engine: EngineIndex) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let hop = request.hop;
        self.engines[engine].used -= std::mem::take(&mut request.held[hop]);
        request.unread[hop] = true;
    }

    fn unpark_all(&mut self, now: Duration) {
        for engine in 0..self.engines.len() {
            self.unpark(engine, now);
        }
    }

    /// Oldest first, as far as memory goes.
    fn unpark(&mut self, engine: EngineIndex, now: Duration) {
        let mut parked = std::mem::take(&mut self.engines[engine].parked);
        parked.sort_by_key(|id| self.requests.get(id).map(|request| request.order));
        let mut rest = Vec::new();
        for id in parked {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let need = request.context() * f64::from(request.part().layers.width());
            let state = &self.engines[engine];
            if rest.is_empty() && state.used + need <= state.room(&self.settings.model) {
                self.arrive(&id, now);
            } else {
                rest.push(id);
            }
        }
        self.engines[engine].parked.extend(rest);
    }

    fn start_pass(&mut self, engine: EngineIndex, now: Duration) {
        let state = &self.engines[engine];
        if !state.alive || state.pass.is_some() || state.ready.is_empty() {
            return;
        }
        let (jobs, took) = self.plan_pass(engine);
        let state = &mut self.engines[engine];
        state.ready.clear();
        state.pass = Some(jobs);
        let life = state.life;
        self.schedule(now + took, Action::EndPass { engine, life });
    }

    /// What each request of the next pass reads, and how long the pass takes.
    fn plan_pass(&self, engine: EngineIndex) -> (Vec<(String, f64)>, Duration) {
        let state = &self.engines[engine];
        let model = &self.settings.model;
        let layers = f64::from(model.layers);
        let stride = f64::from(model.stride);
        let requests = state
            .ready
            .iter()
            .filter_map(|id| Some((id, self.requests.get(id)?)));
        let requests = requests.collect::<Vec<_>>();
        let writes = requests
            .iter()
            .any(|(_, request)| matches!(request.phase, RequestPhase::Writing));
        let mut chunk = self.settings.chunk * if writes { stride } else { 1.0 };
        let mut step_share = 0.0_f64;
        let mut step_ms = 0.0;
        let mut read_ms = 0.0;
        let mut jobs = Vec::with_capacity(requests.len());
        for (id, request) in requests {
            let share = f64::from(request.part().layers.width()) / layers;
            match request.phase {
                RequestPhase::Writing => {
                    step_share = step_share.max(share);
                    let context_ms =
                        request.context() / 1000.0 * model.per_context_k_ms * state.kind.pace;
                    step_ms += (model.per_request_ms * state.kind.read_factor + context_ms) * share;
                    jobs.push((id.clone(), 0.0));
                }
                RequestPhase::Reading { left } => {
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
        let total_ms = (step_ms * stride + read_ms) * state.slowness;
        (jobs, Duration::from_secs_f64(total_ms.max(0.01) / 1000.0))
    }

    fn end_pass(&mut self, engine: EngineIndex, now: Duration) {
        let jobs = self.engines[engine].pass.take().unwrap_or_default();
        for (id, read) in jobs {
            self.end_turn(&id, read, engine, now);
        }
        self.unpark(engine, now);
        self.start_pass(engine, now);
    }

    /// A request's part in a pass is over.
    fn end_turn(&mut self, id: &str, read: f64, engine: EngineIndex, now: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request.part().engine != engine {
            return;
        }
        let hop = request.hop;
        let tokens = match request.phase {
            RequestPhase::Reading { left } if left - read > 0.5 => {
                request.phase = RequestPhase::Reading { left: left - read };
                self.engines[engine].ready.push(id.to_owned());
                return;
            }
            RequestPhase::Reading { .. } => {
                request.unread[hop] = false;
                request.context()
            }
            RequestPhase::Writing => f64::from(self.settings.model.stride),
        };
        if hop + 1 < request.path.len() {
            request.hop += 1;
            request.phase = match request.unread[hop + 1] {
                true => RequestPhase::Reading {
                    left: request.context(),
                },
                false => RequestPhase::Writing,
            };
            self.travel(id, engine, tokens, now);
            return;
        }
        request.made += match request.phase {
            RequestPhase::Reading { .. } => 1.0,
            RequestPhase::Writing => f64::from(self.settings.model.stride),
        };
        request.phase = RequestPhase::Writing;
        request.hop = 0;
        let (made, last) = (request.made, request.made >= request.answer);
        self.events.push(WorldEvent::Event {
            id: id.to_owned(),
            made,
            last,
        });
        if last {
            self.cancel(id, now);
        } else {
            self.travel(id, engine, 1.0, now);
        }
    }

    /// Sends what an engine made to the request's next part.
    fn travel(&mut self, id: &str, from: EngineIndex, tokens: f64, now: Duration) {
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
            at += self.settings.near_delay;
        } else {
            let pair = if zones.0 < zones.1 {
                zones
            } else {
                (zones.1, zones.0)
            };
            let free = self.pipes.entry(pair).or_default();
            *free = at.max(*free) + self.settings.pipe_time(tokens);
            at = *free + self.settings.far_delay;
        }
        self.schedule(
            at,
            Action::Arrive {
                id: id.to_owned(),
                epoch,
            },
        );
    }

    fn end_load(&mut self, engine: EngineIndex, now: Duration) {
        let state = &mut self.engines[engine];
        if let Some((layers, done)) = state.loading
            && done <= now
        {
            state.layers = Some(layers);
            state.loading = None;
        }
    }

    fn stall(&mut self, id: &str, now: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.stalled = Some(now);
        let epoch = request.epoch;
        let at = now + self.settings.stall;
        self.schedule(
            at,
            Action::EndStall {
                id: id.to_owned(),
                epoch,
            },
        );
    }

    fn end_stall(&mut self, id: &str) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.stalled.is_none() {
            return;
        }
        let event = match request.is_begun() {
            true => WorldEvent::Cut { id: id.to_owned() },
            false => WorldEvent::Refused {
                id: id.to_owned(),
                at: request.part().engine,
            },
        };
        self.events.push(event);
        self.release_where(id, |_| true);
        self.requests.remove(id);
    }

    /// Gives back the memory of the parts that `gone` names.
    fn release_where<F>(&mut self, id: &str, gone: F)
    where
        F: Fn(&PathPart) -> bool,
    {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        for (part, held) in request.path.iter().zip(&mut request.held) {
            let engine = &mut self.engines[part.engine];
            if gone(part) {
                engine.used = (engine.used - std::mem::take(held)).max(0.0);
            }
        }
    }

    /// Takes a request out of every engine's lists.
    fn forget(&mut self, id: &str) {
        for engine in &mut self.engines {
            engine.ready.retain(|other| other != id);
            engine.parked.retain(|other| other != id);
            if let Some(pass) = &mut engine.pass {
                pass.retain(|(other, _)| other != id);
            }
        }
    }
}
