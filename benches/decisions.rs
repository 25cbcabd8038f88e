//! Benchmarks of the decisions whose cost grows with the size of a zone: its plans, and
//! the choice of a path among its engines; and of the decision whether a request starts.

use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use jackdawwick::admission::start::{
    PathOutlook, RankObjective, ServiceRanks, StartContext, StartRequest, decide,
};
use jackdawwick::balance::BalanceTable;
use jackdawwick::capacity::{
    CapacityView, OrganisationDemand, PriorityDemand, ServiceCapacity, ZoneCapacity,
};
use jackdawwick::collections::FastMap;
use jackdawwick::fleet::{FleetTable, PathQuery, RequestSize, TargetEntry, choose_path};
use jackdawwick::ingress::{AcceleratorKind, EngineModel};
use jackdawwick::placement::{EngineView, plan_zone};

/// Sizes of zones, in engines.
const ZONES: [usize; 4] = [38, 96, 333, 1000];
/// Number of engines of each kind in every 20.
const KINDS: [(&str, usize); 3] = [("fast", 2), ("usual", 7), ("slow", 11)];

fn kind(name: &str) -> AcceleratorKind {
    let (memory_mb, pace, read_factor) = match name {
        "fast" => (72_000.0, 2.4, 3.2),
        "usual" => (43_200.0, 5.6, 2.7),
        _ => (21_600.0, 16.0, 8.2),
    };
    AcceleratorKind {
        memory_mb,
        pace,
        read_factor,
    }
}

fn model() -> EngineModel {
    let kinds = KINDS.iter().map(|(name, _)| ((*name).into(), kind(name)));
    EngineModel {
        slots: 192,
        layers: 80,
        layer_mb: 1750.0,
        kv_token_bytes: 590_000.0,
        step_ms: 1.02,
        per_request_ms: 0.004_59,
        per_context_k_ms: 0.006_15,
        read_per_s: 164_000.0,
        stride: 5,
        load_s: 14.0,
        usual_prompt: 774,
        usual_answer: 203,
        kinds: kinds.collect::<FastMap<_, _>>(),
    }
}

fn kind_name(index: usize) -> &'static str {
    let mut position = index % 20;
    for (name, count) in KINDS {
        if position < count {
            return name;
        }
        position -= count;
    }
    KINDS[2].0
}

fn engines(count: usize) -> Vec<EngineView> {
    let engines = (0..count).map(|index| EngineView {
        id: format!("i-{index:04}").into(),
        kind: kind(kind_name(index)),
        layers: None,
    });
    engines.collect()
}

fn planned(count: usize) -> Vec<EngineView> {
    let model = model();
    let mut engines = engines(count);
    for range in plan_zone(&model, &engines, Duration::ZERO) {
        let engine = engines.iter_mut().find(|engine| engine.id == range.id);
        engine.expect("a known engine").layers = Some(range.layers);
    }
    engines
}

fn plans(criterion: &mut Criterion) {
    let model = model();
    let mut group = criterion.benchmark_group("plan");
    group.sample_size(10);
    for count in ZONES {
        let empty = engines(count);
        group.bench_function(BenchmarkId::new("first", count), |bencher| {
            bencher.iter(|| plan_zone(&model, &empty, Duration::ZERO));
        });
        let whole = planned(count);
        group.bench_function(BenchmarkId::new("at rest", count), |bencher| {
            bencher.iter(|| plan_zone(&model, &whole, Duration::ZERO));
        });
        let mut reduced = whole.clone();
        reduced.remove(0);
        group.bench_function(BenchmarkId::new("after a loss", count), |bencher| {
            bencher.iter(|| plan_zone(&model, &reduced, Duration::ZERO));
        });
        let mut emptied = whole.clone();
        for engine in &mut emptied[..4] {
            engine.layers = None;
        }
        group.bench_function(BenchmarkId::new("four empty", count), |bencher| {
            bencher.iter(|| plan_zone(&model, &emptied, Duration::ZERO));
        });
    }
    group.finish();
}

fn fleet(zones: usize, each: usize) -> FleetTable {
    let mut fleet = FleetTable::default();
    for (index, engine) in planned(each).into_iter().enumerate() {
        for zone in 0..zones {
            let [high, low] = (index as u16).to_be_bytes();
            fleet.observe_entry(TargetEntry {
                id: format!("{}-{zone}", engine.id).as_str().into(),
                started_ms: None,
                service: "engines".into(),
                address: ([10, zone as u8, high, low], 1000).into(),
                zone: format!("zone-{zone}").as_str().into(),
                draining: false,
                kind: Some(kind_name(index).into()),
                layers: engine.layers,
            });
        }
    }
    fleet
}

fn paths(criterion: &mut Criterion) {
    let model = model();
    let mut group = criterion.benchmark_group("path");
    for each in ZONES {
        let fleet = fleet(3, each);
        let members = fleet.members("engines").expect("engines");
        let now = Instant::now();
        let query = PathQuery {
            model: &model,
            size: RequestSize {
                prompt: 774,
                answer: 203,
            },
            zone: "zone-0",
            avoid: &[],
            max_pause: Duration::ZERO,
            preferred_zone: None,
        };
        group.bench_function(BenchmarkId::new("three zones of", each), |bencher| {
            bencher.iter(|| choose_path(members, query, now, rand::random));
        });
    }
    group.finish();
}

fn starts(criterion: &mut Criterion) {
    let ranks = (0..3).map(|priority| RankObjective {
        priority,
        objective: Duration::from_millis(500),
    });
    let ranks = ServiceRanks::new(ranks.collect()).expect("two ranks");
    let demand = (0..3).map(|priority| PriorityDemand {
        priority,
        arrivals_per_s: 50.0,
        refused_per_s: 10.0,
        waiting: 0,
    });
    let organisations = (0..16).map(|organisation| OrganisationDemand {
        organisation,
        priority: 2,
        arrivals_per_s: 3.0,
    });
    let zone = ZoneCapacity {
        zone: "zone-0".into(),
        concurrent: 600.0,
        in_flight: 500.0,
        prompt_per_s: 1e5,
        unread: 0.0,
        demand: demand.collect(),
        organisations: organisations.collect(),
        demand_age: Duration::from_millis(500),
    };
    let request = StartRequest {
        priority: 2,
        organisation: 15,
        objective: Duration::from_millis(500),
        age: Duration::ZERO,
        left: Duration::from_secs(20),
        is_returning: false,
        is_admitted: false,
    };
    let path = PathOutlook {
        first_event: Duration::from_millis(100),
        full: false,
    };
    let context = StartContext {
        ranks: &ranks,
        zone: Some(&zone),
        home: None,
        floor_due: false,
        waiting_above: false,
    };
    criterion.bench_function("start of a request", |bencher| {
        bencher.iter(|| decide(&request, path, context));
    });
}

/// Capacity of one service in `count` zones, of which every other one is full.
fn capacity(count: usize) -> CapacityView {
    let zones = (0..count).map(|index| ZoneCapacity {
        zone: format!("zone-{index}").as_str().into(),
        concurrent: 800.0,
        in_flight: if index % 2 == 0 { 1000.0 } else { 400.0 },
        prompt_per_s: 1e5,
        unread: 0.0,
        demand: vec![PriorityDemand {
            priority: 0,
            arrivals_per_s: if index % 2 == 0 { 100.0 } else { 40.0 },
            refused_per_s: 0.0,
            waiting: 0,
        }],
        organisations: Vec::new(),
        demand_age: Duration::ZERO,
    });
    let service = ServiceCapacity {
        zones: zones.collect(),
    };
    CapacityView {
        built_at: None,
        services: [("engines".into(), service)].into(),
    }
}

fn balance(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("balance");
    for zones in [3, 16] {
        let start = Instant::now();
        let mut view = capacity(zones);
        let mut table = BalanceTable::default();
        let mut update = |table: &mut BalanceTable, at: Instant| {
            view.built_at = Some(at);
            table.update(&view, "zone-0", at);
        };
        for step in 0..40 {
            update(&mut table, start + Duration::from_millis(250) * step);
        }
        let now = start + Duration::from_secs(10);
        group.bench_function(BenchmarkId::new("draw for zones", zones), |bencher| {
            bencher.iter(|| table.preferred_zone("engines", "zone-0", now, rand::random));
        });
        let mut at = now;
        group.bench_function(BenchmarkId::new("update of zones", zones), |bencher| {
            bencher.iter(|| {
                at += Duration::from_millis(250);
                update(&mut table, at);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, plans, paths, starts, balance);
criterion_main!(benches);
