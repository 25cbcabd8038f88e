//! Compares the routing policies in a small queueing simulation with its own clock.
//!
//! Eight entry hosts plan runs over three stages of ten targets each, of three speeds,
//! and receive load reports late. The results are those of the simulation, not of a
//! machine; equal seeds give equal results. `POLICY_SEEDS` sets the number of seeds,
//! `POLICY_SECONDS` the length of a run.

// The printed table is the result of the comparison.
#![allow(clippy::print_stdout)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use jackdawwick::ids::{ModelId, TargetId, ZoneId};
use jackdawwick::resources::{ResourceKey, ResourceKind, ResourceSpec};
use jackdawwick::routing::{PlannedRoute, RoutePolicy, RouteRequest, RouteSettings, RouteTable};
use jackdawwick::target::wire::LoadReport;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HOSTS: usize = 8;
const STAGES: usize = 3;
const ZONES: [&str; 3] = ["a", "b", "c"];
const TOKENS: u64 = 16;
const SLOTS: usize = 8;
/// Milliseconds that a step occupies its slot, for each target of a stage.
const STEP_MS: [u64; 10] = [5, 5, 5, 10, 10, 10, 20, 20, 20, 20];
const REPORT_MS: u64 = 200;

struct SimulatedTarget {
    id: TargetId,
    zone: usize,
    step: Duration,
    slots: BinaryHeap<Reverse<Instant>>,
    present: u32,
    reported: u32,
}

struct SimulatedRun {
    host: usize,
    route: PlannedRoute,
    began: Instant,
    sent: Instant,
    token: u64,
    stage: usize,
    ended: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Reached(usize),
    Completed(usize),
    Reports,
}

struct Simulation {
    shape: Shape,
    tables: Vec<RouteTable>,
    targets: Vec<SimulatedTarget>,
    runs: Vec<SimulatedRun>,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    event_count: usize,
    rng: StdRng,
}

#[derive(Clone, Copy, PartialEq)]
enum Shape {
    /// One pipeline over interchangeable targets.
    OnePipeline,
    /// The same; a fast target of each stage becomes five times as slow.
    SlowTargets,
    /// Ten pipelines with one target per stage.
    TenPipelines,
}

impl Shape {
    fn pipelines(self) -> Vec<Vec<Vec<String>>> {
        let name = |stage, nth| format!("t{stage}.{nth}");
        let whole = |stage| (0..STEP_MS.len()).map(|nth| name(stage, nth)).collect();
        match self {
            Self::OnePipeline | Self::SlowTargets => vec![(0..STAGES).map(whole).collect()],
            Self::TenPipelines => (0..STEP_MS.len())
                .map(|nth| (0..STAGES).map(|stage| vec![name(stage, nth)]).collect())
                .collect(),
        }
    }
}

fn resources(shape: Shape) -> Vec<(ResourceKey, ResourceSpec)> {
    let mut resources = Vec::new();
    for index in 0..STAGES * STEP_MS.len() {
        let (stage, nth) = (index / STEP_MS.len(), index % STEP_MS.len());
        let spec = serde_json::json!({"target": {
            "kind": "engine", "zone": ZONES[nth % 3], "address": "127.0.0.1:1",
            "tokens_per_second": SLOTS as f64 * 1_000.0 / STEP_MS[nth] as f64,
            "concurrency": SLOTS,
        }});
        resources.push((ResourceKind::Target, format!("t{stage}.{nth}"), spec));
    }
    for (number, targets) in shape.pipelines().iter().enumerate() {
        let stages = targets.iter().enumerate().map(|(stage, targets)| {
            serde_json::json!({"first_layer": stage, "last_layer": stage, "targets": targets})
        });
        let spec = serde_json::json!({"pipeline": {
            "model": "m", "version": "v", "stages": stages.collect::<Vec<_>>(),
        }});
        resources.push((ResourceKind::Pipeline, format!("p{number}"), spec));
    }
    let model = serde_json::json!({"model": {
        "offered": "v", "versions": [{"name": "v", "layers": STAGES}],
    }});
    resources.push((ResourceKind::Model, "m".to_owned(), model));
    resources
        .into_iter()
        .map(|(kind, name, spec)| {
            let spec = serde_json::from_value(spec).expect("a resource");
            (ResourceKey::new(kind, name), spec)
        })
        .collect()
}

impl Simulation {
    fn new<C>(shape: Shape, configure: &C, seed: u64, start: Instant) -> Self
    where
        C: Fn(&mut RouteSettings),
    {
        let resources = resources(shape);
        let tables = (0..HOSTS).map(|host| {
            let mut settings = RouteSettings::new(ZoneId::from(ZONES[host % 3]));
            configure(&mut settings);
            let mut table = RouteTable::new(settings);
            table.set_pipelines(resources.iter().map(|(key, spec)| (key, spec)));
            table
        });
        let targets = (0..STAGES * STEP_MS.len()).map(|index| {
            let nth = index % STEP_MS.len();
            SimulatedTarget {
                id: format!("t{}.{nth}", index / STEP_MS.len()).into(),
                zone: nth % 3,
                step: Duration::from_millis(STEP_MS[nth]),
                slots: (0..SLOTS).map(|_| Reverse(start)).collect(),
                present: 0,
                reported: 0,
            }
        });
        Self {
            shape,
            tables: tables.collect(),
            targets: targets.collect(),
            runs: Vec::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn target_of(&self, run: usize) -> usize {
        let run = &self.runs[run];
        let id = &run.route.stages[run.stage].target;
        self.targets
            .iter()
            .position(|target| target.id == *id)
            .expect("a target")
    }

    fn one_way(&self, run: usize) -> Duration {
        let far = self.runs[run].host % 3 != self.targets[self.target_of(run)].zone;
        Duration::from_micros(if far { 500 } else { 100 })
    }

    fn send(&mut self, run: usize, now: Instant) {
        let id = self.targets[self.target_of(run)].id.clone();
        let host = self.runs[run].host;
        self.runs[run].sent = now;
        self.tables[host].step_sent(&id, now);
        self.push(now + self.one_way(run), Event::Reached(run));
    }

    fn arrive(&mut self, now: Instant) {
        let host = self.rng.random_range(0..HOSTS);
        let request = RouteRequest {
            model: ModelId::from("m"),
            version: None,
            prefixes: Vec::new(),
            prompt_tokens: 0,
            max_tokens: TOKENS,
            deadline: now + Duration::from_secs(3_600),
            excluded: Vec::new(),
        };
        let route = self.tables[host]
            .plan(&request, now, &mut self.rng)
            .expect("a route");
        self.tables[host].run_started(&route);
        self.runs.push(SimulatedRun {
            host,
            route,
            began: now,
            sent: now,
            token: 0,
            stage: 0,
            ended: false,
        });
        self.send(self.runs.len() - 1, now);
    }

    fn step_done(&mut self, run: usize, now: Instant, latencies: &mut Vec<Duration>) {
        let target = self.target_of(run);
        self.targets[target].present -= 1;
        let id = self.targets[target].id.clone();
        let SimulatedRun { host, sent, .. } = self.runs[run];
        self.tables[host].step_completed(&id, now - sent, 1, now);
        self.runs[run].stage = (self.runs[run].stage + 1) % STAGES;
        self.runs[run].token += u64::from(self.runs[run].stage == 0);
        if self.runs[run].token < TOKENS {
            return self.send(run, now);
        }
        self.runs[run].ended = true;
        self.tables[host].run_ended(&self.runs[run].route);
        latencies.push(now - self.runs[run].began);
    }

    /// Delivers the loads observed one interval ago.
    fn report(&mut self, now: Instant) {
        for target in &mut self.targets {
            let report = LoadReport {
                running: target.reported.min(SLOTS as u32),
                waiting: target.reported.saturating_sub(SLOTS as u32),
                tokens_per_second: 0.0,
                age_ms: REPORT_MS,
            };
            for table in &mut self.tables {
                table.observe_load(&target.id, &report, now);
            }
            target.reported = target.present;
        }
    }

    /// Runs at `load` times the maximum throughput and returns the latency of each run.
    fn run(&mut self, load: f64, length: Duration, start: Instant) -> Vec<Duration> {
        let stage_rate: f64 = STEP_MS
            .iter()
            .map(|step| SLOTS as f64 * 1_000.0 / *step as f64)
            .sum();
        let gap = TOKENS as f64 / (stage_rate * load);
        let slow_from = match self.shape {
            Shape::SlowTargets => start + length / 3,
            _ => start + length,
        };
        let mut latencies = Vec::new();
        self.push(start, Event::Arrival);
        self.push(start, Event::Reports);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                _ if now > start + length => break,
                Event::Arrival => {
                    self.arrive(now);
                    let drawn = -(1.0 - self.rng.random::<f64>()).ln() * gap;
                    self.push(now + Duration::from_secs_f64(drawn), Event::Arrival);
                }
                Event::Reached(run) => {
                    let index = self.target_of(run);
                    let target = &mut self.targets[index];
                    target.present += 1;
                    let Reverse(free) = target.slots.pop().expect("a slot");
                    let is_slow = index % STEP_MS.len() == 1 && now >= slow_from;
                    let done = free.max(now) + target.step * if is_slow { 5 } else { 1 };
                    target.slots.push(Reverse(done));
                    self.push(done + self.one_way(run), Event::Completed(run));
                }
                Event::Completed(run) => self.step_done(run, now, &mut latencies),
                Event::Reports => {
                    self.report(now);
                    self.push(now + Duration::from_millis(REPORT_MS), Event::Reports);
                }
            }
        }
        // Runs that did not end count with the time that they have taken so far.
        let open = self.runs.iter().filter(|run| !run.ended);
        latencies.extend(open.map(|run| start + length - run.began));
        latencies
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Prints the median and the range of the percentiles over the seeds, in milliseconds,
/// and returns the median of the 95th percentile.
fn row<C>(name: &str, shape: Shape, load: f64, configure: C) -> f64
where
    C: Fn(&mut RouteSettings),
{
    let length = Duration::from_secs(setting("POLICY_SECONDS", 3));
    let mut columns = vec![Vec::new(); 3];
    for seed in 0..setting("POLICY_SEEDS", 3) {
        let start = Instant::now();
        let mut latencies =
            Simulation::new(shape, &configure, seed, start).run(load, length, start);
        latencies.sort();
        for (column, part) in columns.iter_mut().zip([0.5, 0.95, 0.99]) {
            let rank = (latencies.len() as f64 * part) as usize;
            column.push(latencies[rank].as_secs_f64() * 1e3);
        }
    }
    let mut cells = Vec::new();
    for column in &mut columns {
        column.sort_by(f64::total_cmp);
        let median = column[column.len() / 2];
        cells.push(format!(
            "{median:.0} ({:.0}–{:.0})",
            column[0],
            column[column.len() - 1]
        ));
    }
    println!("| {name} | {load:.2} | {} |", cells.join(" | "));
    columns[1][columns[1].len() / 2]
}

fn compare(shape: Shape) {
    println!("| policy | load | p50 ms | p95 ms | p99 ms |\n|---|---|---|---|---|");
    for load in [0.6, 0.9] {
        let p95 = RoutePolicy::ALL.map(|policy| {
            row(policy.name(), shape, load, |settings| {
                settings.policy = policy;
            })
        });
        for (baseline, other) in RoutePolicy::ALL.iter().zip(p95).skip(1) {
            assert!(p95[0] < other, "{} is better at {load}", baseline.name());
        }
    }
}

#[test]
fn estimate_beats_the_baselines_over_targets() {
    compare(Shape::OnePipeline);
}

#[test]
fn estimate_beats_the_baselines_over_pipelines() {
    compare(Shape::TenPipelines);
}

#[test]
fn estimate_beats_the_baselines_with_slow_targets() {
    compare(Shape::SlowTargets);
}
