//! One trial from its first request to its last.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jackdawwick::fleet::{LayerRange, PathQuery, RequestSize, TargetLoad, choose_path};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::fleet::{SERVICE, TrialFleet, engine_of, id_of, part};
use crate::pipeline::{
    PathPart, PipelineSimulation, RequestSettings, SimulationEvent, SimulationSettings, SubmitError,
};
use crate::trial::{PlanKind, TrialFigures, ZoneEngines};

/// Longest time to the first event that counts as on time.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(500);
/// Longest pause that counts as on time.
const PAUSE_LIMIT: Duration = Duration::from_millis(200);

/// Rule that chooses a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingRule {
    /// The routing by cost of the daemon; refuses a request if an engine is full.
    Cost,
    /// Any path of the zone, with the engines in random order.
    Random,
    /// Engines with the fewest requests first.
    LeastOutstanding,
}

impl RoutingRule {
    /// All rules.
    pub const ALL: [Self; 3] = [Self::Cost, Self::Random, Self::LeastOutstanding];

    /// Returns the name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::Random => "random",
            Self::LeastOutstanding => "least outstanding",
        }
    }
}

/// Parameters of a trial.
#[derive(Debug, Clone)]
pub struct TrialSettings {
    /// Parameters of the simulated engines.
    pub simulation: SimulationSettings,
    /// Engines of each zone.
    pub zones: Vec<ZoneEngines>,
    /// Layer plan.
    pub plan: PlanKind,
    /// Routing rule.
    pub rule: RoutingRule,
    /// Requests per second, spread evenly over all zones.
    pub per_s: f64,
    /// Time during which requests arrive.
    pub length: Duration,
    /// Seed of arrivals and sizes.
    pub seed: u64,
}

struct CallerState {
    sent_at: Duration,
    last_event: Duration,
    longest_pause: Duration,
    path: Vec<PathPart>,
    size: RequestSize,
    first: Option<Duration>,
}

struct TrialRun {
    fleet: TrialFleet,
    rule: RoutingRule,
    start: Instant,
    rng: SmallRng,
    callers: BTreeMap<String, CallerState>,
    figures: TrialFigures,
}

/// Runs a trial.
pub fn run_trial(settings: &TrialSettings) -> TrialFigures {
    let simulation = PipelineSimulation::new(settings.simulation.clone());
    let mut run = TrialRun {
        fleet: TrialFleet::open(simulation, &settings.zones, settings.plan),
        rule: settings.rule,
        start: Instant::now(),
        rng: SmallRng::seed_from_u64(settings.seed),
        callers: BTreeMap::new(),
        figures: TrialFigures::default(),
    };
    let mut at = Duration::ZERO;
    let mut count = 0_usize;
    while at < settings.length {
        let pause = -(1.0 - run.rng.random::<f64>()).ln() / settings.per_s;
        at += Duration::from_secs_f64(pause);
        run.advance_to(at);
        let zone = &settings.zones[count % settings.zones.len()].zone;
        run.submit_request(count, zone, at);
        count += 1;
    }
    run.finish()
}

impl TrialRun {
    fn advance_to(&mut self, now: Duration) {
        while let Some(next) = self
            .fleet
            .simulation
            .next_time()
            .filter(|next| *next <= now)
        {
            for event in self.fleet.simulation.advance(next) {
                self.observe(event, next);
            }
        }
    }

    fn finish(mut self) -> TrialFigures {
        while let Some(next) = self.fleet.simulation.next_time() {
            self.advance_to(next);
        }
        self.figures
    }

    fn submit_request(&mut self, count: usize, zone: &str, now: Duration) {
        self.figures.offered += 1;
        let size = self.draw_size();
        let id = format!("r-{count}");
        let Some(path) = self.choose(zone, size, now) else {
            self.figures.refused += 1;
            return;
        };
        let request = RequestSettings {
            id: id.clone(),
            path: path.clone(),
            prompt: f64::from(size.prompt),
            answer: f64::from(size.answer),
        };
        match self.fleet.simulation.submit(request, now) {
            Ok(()) => {
                self.update_load(&path, size, true);
                let caller = CallerState {
                    sent_at: now,
                    last_event: now,
                    longest_pause: Duration::ZERO,
                    path,
                    size,
                    first: None,
                };
                self.callers.insert(id, caller);
            }
            Err(SubmitError::NoCapacity(_) | SubmitError::WrongLayers(_)) => {
                self.figures.refused += 1;
            }
            Err(SubmitError::BadPath | SubmitError::Unknown) => self.figures.cut += 1,
        }
    }

    /// Draws sizes around the usual ones, with a long tail.
    fn draw_size(&mut self) -> RequestSize {
        let model = &self.fleet.simulation.settings().model;
        let usual = [model.usual_prompt, model.usual_answer].map(f64::from);
        let [prompt, answer] = usual.map(|mean| {
            let drawn = -(1.0 - self.rng.random::<f64>()).ln();
            (mean * drawn.clamp(0.1, 3.0)) as u32
        });
        RequestSize {
            prompt: prompt.max(1),
            answer: answer.max(1),
        }
    }

    fn choose(&mut self, zone: &str, size: RequestSize, now: Duration) -> Option<Vec<PathPart>> {
        let mut order = self.engines_of(zone);
        match self.rule {
            RoutingRule::Cost => return self.choose_by_cost(zone, size, now),
            RoutingRule::Random => order.shuffle(&mut self.rng),
            RoutingRule::LeastOutstanding => {
                order.shuffle(&mut self.rng);
                let table = &self.fleet.table;
                order.sort_by_key(|id| table.get(id).map_or(0, |state| state.own.requests));
            }
        }
        self.first_path(&order)
    }

    fn choose_by_cost(
        &mut self,
        zone: &str,
        size: RequestSize,
        now: Duration,
    ) -> Option<Vec<PathPart>> {
        let model = &self.fleet.simulation.settings().model;
        // Only the average length of the response is known in advance.
        let expected = RequestSize {
            answer: model.usual_answer,
            ..size
        };
        let query = PathQuery {
            model,
            size: expected,
            zone,
            avoid: &[],
            max_pause: Duration::ZERO,
            preferred_zone: None,
        };
        let members = self.fleet.table.members(SERVICE)?;
        let rng = &mut self.rng;
        let path = choose_path(members, query, self.start + now, || rng.random())?;
        let parts = path.hops.iter().map(|hop| part(&hop.target, hop.layers));
        (!path.full).then(|| parts.collect())
    }

    fn engines_of(&self, zone: &str) -> Vec<String> {
        let states = self.fleet.table.targets();
        let engines = states.filter(|state| *state.entry.zone == *zone);
        engines.map(|state| state.entry.id.to_string()).collect()
    }

    /// Returns the path that takes, at each next layer, the first engine of `order` that
    /// holds it and uses that engine up to the end of its range.
    fn first_path(&self, order: &[String]) -> Option<Vec<PathPart>> {
        let layers = self.fleet.simulation.settings().model.layers;
        let mut next = 0;
        let mut path: Vec<PathPart> = Vec::new();
        while next < layers {
            let holder = order.iter().find_map(|id| {
                let held = self.fleet.table.get(id)?.entry.layers?;
                let used = path.iter().any(|part| part.engine == engine_of(id));
                (held.contains(next) && !used).then_some((id, held))
            });
            let (id, held) = holder?;
            let range = LayerRange {
                from: next,
                to: held.to,
            };
            path.push(part(id, range));
            next = held.to;
        }
        Some(path)
    }

    /// Records that the engines of the path have read the request.
    fn observe_prefill(&mut self, path: &[PathPart], size: RequestSize) {
        for part in path {
            let unread = size.load(part.layers.width()).unread;
            let id = id_of(part.engine);
            self.fleet.table.observe_prefill(&id, unread);
        }
    }

    fn update_load(&mut self, path: &[PathPart], size: RequestSize, starts: bool) {
        for part in path {
            let id = id_of(part.engine);
            let load = size.load(part.layers.width());
            match starts {
                true => self.fleet.table.observe_start(&id, load),
                false => {
                    let read = TargetLoad {
                        unread: 0.0,
                        ..load
                    };
                    self.fleet.table.observe_end(&id, read);
                }
            }
        }
    }

    fn observe(&mut self, event: SimulationEvent, now: Duration) {
        match event {
            SimulationEvent::Event { id, last, .. } => {
                if let Some(mut caller) = self.callers.remove(&id) {
                    match caller.first {
                        None => {
                            caller.first = Some(now - caller.sent_at);
                            self.observe_prefill(&caller.path, caller.size);
                        }
                        Some(_) => {
                            caller.longest_pause =
                                caller.longest_pause.max(now - caller.last_event);
                        }
                    }
                    caller.last_event = now;
                    self.callers.insert(id.clone(), caller);
                }
                if last && let Some(caller) = self.drop_caller(&id) {
                    self.end(&caller);
                }
            }
            SimulationEvent::Refused { id, .. } => {
                self.figures.refused += usize::from(self.drop_caller(&id).is_some());
            }
            SimulationEvent::Cut { id } => {
                self.figures.cut += usize::from(self.drop_caller(&id).is_some());
            }
        }
    }

    fn drop_caller(&mut self, id: &str) -> Option<CallerState> {
        let caller = self.callers.remove(id)?;
        if caller.first.is_none() {
            self.observe_prefill(&caller.path, caller.size);
        }
        self.update_load(&caller.path, caller.size, false);
        Some(caller)
    }

    fn end(&mut self, caller: &CallerState) {
        let first = caller.first.unwrap_or_default();
        self.figures.first.push(first);
        self.figures.pauses.push(caller.longest_pause);
        match first <= FIRST_EVENT_LIMIT && caller.longest_pause <= PAUSE_LIMIT {
            true => self.figures.on_time += 1,
            false => self.figures.late += 1,
        }
    }
}
