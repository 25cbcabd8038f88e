//! One trial from its first request to its last.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jackdawwick::fleet::{LayerRange, PathQuery, RequestSize, TargetLoad, choose_path};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

use super::fleet::{SERVICE, TrialFleet, engine_of, id_of, part};
use crate::pipeline::{
    PathPart, PipelineWorld, RequestSettings, SubmitError, WorldEvent, WorldSettings,
};
use crate::trial::{PlanKind, TrialFigures, ZoneEngines};

/// Latest first event that is on time.
const FIRST_AIM: Duration = Duration::from_millis(500);
/// Longest pause that is on time.
const PAUSE_AIM: Duration = Duration::from_millis(200);

/// How a path is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingRule {
    /// The project's choice by cost; refuses when an engine is full.
    Cost,
    /// Any path of the zone, engines in random order.
    Random,
    /// The engines with the fewest requests first.
    LeastOutstanding,
}

impl RoutingRule {
    /// Every rule.
    pub const ALL: [Self; 3] = [Self::Cost, Self::Random, Self::LeastOutstanding];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::Random => "random",
            Self::LeastOutstanding => "least outstanding",
        }
    }
}

/// What is played.
#[derive(Debug, Clone)]
pub struct TrialSettings {
    /// Figures of the engines.
    pub world: WorldSettings,
    /// The engines.
    pub zones: Vec<ZoneEngines>,
    /// Which engine holds what.
    pub plan: PlanKind,
    /// How paths are chosen.
    pub rule: RoutingRule,
    /// Requests a second, over all zones alike.
    pub per_s: f64,
    /// Time in which requests come.
    pub length: Duration,
    /// Seed of arrivals and sizes.
    pub seed: u64,
}

struct CallerState {
    asked: Duration,
    heard: Duration,
    longest: Duration,
    path: Vec<PathPart>,
    size: RequestSize,
    first: Option<Duration>,
}

struct TrialRun {
    fleet: TrialFleet,
    rule: RoutingRule,
    start: Instant,
    draws: SmallRng,
    callers: BTreeMap<String, CallerState>,
    figures: TrialFigures,
}

/// Plays a trial.
pub fn run_trial(settings: &TrialSettings) -> TrialFigures {
    let world = PipelineWorld::new(settings.world.clone());
    let mut run = TrialRun {
        fleet: TrialFleet::open(world, &settings.zones, settings.plan),
        rule: settings.rule,
        start: Instant::now(),
        draws: SmallRng::seed_from_u64(settings.seed),
        callers: BTreeMap::new(),
        figures: TrialFigures::default(),
    };
    let mut at = Duration::ZERO;
    let mut count = 0_usize;
    while at < settings.length {
        let pause = -(1.0 - run.draws.random::<f64>()).ln() / settings.per_s;
        at += Duration::from_secs_f64(pause);
        run.advance_to(at);
        let zone = &settings.zones[count % settings.zones.len()].zone;
        run.ask(count, zone, at);
        count += 1;
    }
    run.finish()
}

impl TrialRun {
    fn advance_to(&mut self, now: Duration) {
        while let Some(next) = self.fleet.world.next_time().filter(|next| *next <= now) {
            for event in self.fleet.world.advance(next) {
                self.observe(event, next);
            }
        }
    }

    fn finish(mut self) -> TrialFigures {
        while let Some(next) = self.fleet.world.next_time() {
            self.advance_to(next);
        }
        self.figures
    }

    fn ask(&mut self, count: usize, zone: &str, now: Duration) {
        self.figures.asked += 1;
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
        match self.fleet.world.submit(request, now) {
            Ok(()) => {
                self.count(&path, size, true);
                let caller = CallerState {
                    asked: now,
                    heard: now,
                    longest: Duration::ZERO,
                    path,
                    size,
                    first: None,
                };
                self.callers.insert(id, caller);
            }
            Err(SubmitError::NoRoom(_) | SubmitError::WrongLayers(_)) => self.figures.refused += 1,
            Err(SubmitError::BadPath | SubmitError::Unknown) => self.figures.cut += 1,
        }
    }

    /// Sizes spread about the usual ones, with a long tail.
    fn draw_size(&mut self) -> RequestSize {
        let model = &self.fleet.world.settings().model;
        let usual = [model.usual_prompt, model.usual_answer].map(f64::from);
        let [prompt, answer] = usual.map(|mean| {
            let drawn = -(1.0 - self.draws.random::<f64>()).ln();
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
            RoutingRule::Random => order.shuffle(&mut self.draws),
            RoutingRule::LeastOutstanding => {
                order.shuffle(&mut self.draws);
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
        let model = &self.fleet.world.settings().model;
        // The length of the answer is known on average only.
        let expected = RequestSize {
            answer: model.usual_answer,
            ..size
        };
        let query = PathQuery {
            model,
            size: expected,
            zone,
            avoid: &[],
        };
        let members = self.fleet.table.members(SERVICE)?;
        let draws = &mut self.draws;
        let path = choose_path(members, query, self.start + now, || draws.random())?;
        let parts = path.hops.iter().map(|hop| part(&hop.target, hop.layers));
        (!path.full).then(|| parts.collect())
    }

    fn engines_of(&self, zone: &str) -> Vec<String> {
        let states = self.fleet.table.targets();
        let own = states.filter(|state| *state.entry.zone == *zone);
        own.map(|state| state.entry.id.to_string()).collect()
    }

    /// Takes at each layer the first engine of `order` that holds it, to its
    /// end.
    fn first_path(&self, order: &[String]) -> Option<Vec<PathPart>> {
        let layers = self.fleet.world.settings().model.layers;
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

    /// The engines have read the request.
    fn observe_read(&mut self, path: &[PathPart], size: RequestSize) {
        for part in path {
            let unread = size.load(part.layers.width()).unread;
            let id = id_of(part.engine);
            self.fleet.table.observe_prefill(&id, unread);
        }
    }

    fn count(&mut self, path: &[PathPart], size: RequestSize, starts: bool) {
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

    fn observe(&mut self, event: WorldEvent, now: Duration) {
        match event {
            WorldEvent::Event { id, last, .. } => {
                if let Some(mut caller) = self.callers.remove(&id) {
                    match caller.first {
                        None => {
                            caller.first = Some(now - caller.asked);
                            self.observe_read(&caller.path, caller.size);
                        }
                        Some(_) => caller.longest = caller.longest.max(now - caller.heard),
                    }
                    caller.heard = now;
                    self.callers.insert(id.clone(), caller);
                }
                if last && let Some(caller) = self.drop_caller(&id) {
                    self.end(&caller);
                }
            }
            WorldEvent::Refused { id, .. } => {
                self.figures.refused += usize::from(self.drop_caller(&id).is_some());
            }
            WorldEvent::Cut { id } => {
                self.figures.cut += usize::from(self.drop_caller(&id).is_some());
            }
        }
    }

    fn drop_caller(&mut self, id: &str) -> Option<CallerState> {
        let caller = self.callers.remove(id)?;
        if caller.first.is_none() {
            self.observe_read(&caller.path, caller.size);
        }
        self.count(&caller.path, caller.size, false);
        Some(caller)
    }

    fn end(&mut self, caller: &CallerState) {
        let first = caller.first.unwrap_or_default();
        self.figures.first.push(first);
        self.figures.pauses.push(caller.longest);
        match first <= FIRST_AIM && caller.longest <= PAUSE_AIM {
            true => self.figures.on_time += 1,
            false => self.figures.late += 1,
        }
    }
}
