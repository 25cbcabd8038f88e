//! The state of all engines and requests, advanced by events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use jackdawwick::collections::FastMap;
use jackdawwick::fleet::LayerRange;

use super::engine::{EngineIndex, SimEngine};
use super::request::SimRequest;
use super::settings::SimulationSettings;

/// Events that callers observe.
#[derive(Debug, Clone, PartialEq)]
pub enum SimulationEvent {
    /// An event of a stream, with the number of tokens generated.
    Event {
        /// The request.
        id: String,
        /// Tokens generated so far.
        generated: f64,
        /// Whether this is the last event.
        last: bool,
    },
    /// The request was refused before its first token because an engine is dead.
    Refused {
        /// The request.
        id: String,
        /// The engine.
        at: EngineIndex,
    },
    /// The stream was cut.
    Cut {
        /// The request.
        id: String,
    },
}

/// Reason why a request is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The engine does not hold the layers of its part.
    WrongLayers(EngineIndex),
    /// The engine is dead, draining or short of memory.
    NoCapacity(EngineIndex),
    /// An engine appears twice, the path is empty, or its first part changes.
    BadPath,
    /// The request does not exist.
    Unknown,
}

/// Status that an engine reports.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Layers held.
    pub layers: Option<LayerRange>,
    /// Whether an order is being executed.
    pub busy: bool,
    /// Number of accepted orders.
    pub orders: u64,
    /// Requests in a pass or ready for one.
    pub running: usize,
    /// Requests that wait for memory.
    pub waiting: usize,
    /// Memory in use, in tokens times layers.
    pub used: f64,
    /// Total memory for requests, in tokens times layers.
    pub total: f64,
    /// Whether the engine refuses new requests.
    pub draining: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Action {
    Arrive {
        id: String,
        epoch: u64,
    },
    EndPass {
        engine: EngineIndex,
        incarnation: u64,
    },
    EndLoad {
        engine: EngineIndex,
        incarnation: u64,
    },
    EndStall {
        id: String,
        epoch: u64,
    },
}

/// A simulation of engines and requests.
#[derive(Debug)]
pub struct PipelineSimulation {
    pub(super) settings: SimulationSettings,
    pub(super) engines: Vec<SimEngine>,
    pub(super) requests: BTreeMap<String, SimRequest>,
    pub(super) event_queue: BinaryHeap<Reverse<(Duration, u64, Action)>>,
    pub(super) zone_links: FastMap<(String, String), Duration>,
    pub(super) events: Vec<SimulationEvent>,
    pub(super) sequence: u64,
}

impl PipelineSimulation {
    /// Creates a simulation without engines.
    pub fn new(settings: SimulationSettings) -> Self {
        Self {
            settings,
            engines: Vec::new(),
            requests: BTreeMap::new(),
            event_queue: BinaryHeap::new(),
            zone_links: FastMap::default(),
            events: Vec::new(),
            sequence: 0,
        }
    }

    /// Returns the parameters of the simulation.
    pub fn settings(&self) -> &SimulationSettings {
        &self.settings
    }

    /// Adds an engine of a kind, without layers.
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
            queued: VecDeque::new(),
            used: 0.0,
            orders: 0,
            slow_factor: 1.0,
            incarnation: 0,
        });
        self.engines.len() - 1
    }

    /// Returns the status that an engine reports.
    pub fn status(&self, engine: EngineIndex) -> EngineStatus {
        let state = &self.engines[engine];
        EngineStatus {
            layers: state.layers,
            busy: state.loading.is_some(),
            orders: state.orders,
            running: state.ready.len() + state.pass.as_ref().map_or(0, Vec::len),
            waiting: state.parked.len(),
            used: state.used,
            total: state.capacity(&self.settings.model),
            draining: state.draining,
        }
    }

    /// Returns the requests whose path begins at `engine` and that wait for a dead
    /// engine, as far as reports show them.
    pub fn stalled(&self, engine: EngineIndex, now: Duration) -> Vec<(String, EngineIndex)> {
        let lag = self.settings.report_lag;
        let is_reported = |request: &&SimRequest| {
            request.path[0].engine == engine
                && request.stalled.is_some_and(|since| now >= since + lag)
        };
        let requests = self
            .requests
            .iter()
            .filter(|(_, request)| is_reported(request));
        requests
            .map(|(id, request)| (id.clone(), request.part().engine))
            .collect()
    }

    /// Orders an engine to hold `layers`. An order beyond the memory of the engine kills
    /// it.
    pub fn place(&mut self, engine: EngineIndex, layers: LayerRange, now: Duration) {
        let model = &self.settings.model;
        let state = &mut self.engines[engine];
        if state.layers == Some(layers) {
            return;
        }
        state.orders += 1;
        if layers.width() > model.max_layers(state.kind) {
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
        let incarnation = state.incarnation;
        self.schedule(
            done,
            Action::EndLoad {
                engine,
                incarnation,
            },
        );
    }

    /// Sets the layers of an engine without loading time.
    pub fn preload(&mut self, engine: EngineIndex, layers: LayerRange) {
        self.engines[engine].layers = Some(layers);
    }

    /// Sets the factor on the duration of passes of an engine.
    pub fn set_slow_factor(&mut self, engine: EngineIndex, factor: f64) {
        self.engines[engine].slow_factor = factor;
    }

    /// Sets whether an engine refuses new requests.
    pub fn set_draining(&mut self, engine: EngineIndex, draining: bool) {
        self.engines[engine].draining = draining;
    }

    /// Kills an engine. Its layers are lost and its requests stall.
    pub fn kill(&mut self, engine: EngineIndex, now: Duration) {
        let state = &mut self.engines[engine];
        state.alive = false;
        state.incarnation += 1;
        state.layers = None;
        state.loading = None;
        state.orders = 0;
        state.used = 0.0;
        let in_pass = state.pass.take().unwrap_or_default();
        let mut waiting = in_pass.into_iter().map(|(id, _)| id).collect::<Vec<_>>();
        waiting.append(&mut state.ready);
        waiting.append(&mut state.parked);
        waiting.extend(state.queued.drain(..));
        for id in waiting {
            self.stall(&id, now);
        }
    }

    /// Restarts a dead engine, without layers.
    pub fn revive(&mut self, engine: EngineIndex) {
        let state = &mut self.engines[engine];
        state.alive = true;
        state.draining = false;
        state.slow_factor = 1.0;
    }

    /// Returns the time of the next event.
    pub fn next_time(&self) -> Option<Duration> {
        self.event_queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Advances time to `now` and returns the events that callers observe, in order.
    pub fn advance(&mut self, now: Duration) -> Vec<SimulationEvent> {
        while self.next_time().is_some_and(|at| at <= now) {
            let Some(Reverse((at, _, action))) = self.event_queue.pop() else {
                break;
            };
            match action {
                Action::Arrive { id, epoch } if self.is_current(&id, epoch) => self.arrive(&id, at),
                Action::EndPass {
                    engine,
                    incarnation,
                } if self.engines[engine].incarnation == incarnation => {
                    self.end_pass(engine, at);
                }
                Action::EndLoad {
                    engine,
                    incarnation,
                } if self.engines[engine].incarnation == incarnation => {
                    self.end_load(engine, at);
                }
                Action::EndStall { id, epoch } if self.is_current(&id, epoch) => {
                    self.end_stall(&id, at);
                }
                _ => {}
            }
        }
        std::mem::take(&mut self.events)
    }

    pub(super) fn is_current(&self, id: &str, epoch: u64) -> bool {
        self.requests
            .get(id)
            .is_some_and(|request| request.epoch == epoch)
    }

    pub(super) fn schedule(&mut self, at: Duration, action: Action) {
        self.sequence += 1;
        self.event_queue.push(Reverse((at, self.sequence, action)));
    }

    pub(super) fn end_load(&mut self, engine: EngineIndex, now: Duration) {
        let state = &mut self.engines[engine];
        if let Some((layers, done)) = state.loading
            && done <= now
        {
            state.layers = Some(layers);
            state.loading = None;
        }
    }

    pub(super) fn stall(&mut self, id: &str, now: Duration) {
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

    pub(super) fn end_stall(&mut self, id: &str, now: Duration) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.stalled.is_none() {
            return;
        }
        let event = match request.is_begun() {
            true => SimulationEvent::Cut { id: id.to_owned() },
            false => SimulationEvent::Refused {
                id: id.to_owned(),
                at: request.part().engine,
            },
        };
        self.events.push(event);
        let first = request.path[0].engine;
        self.release_where(id, |_| true);
        self.requests.remove(id);
        self.start_queued(first, now);
    }
}
