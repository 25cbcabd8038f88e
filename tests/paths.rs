//! Paths over engines: every layer once and in order, the least loaded engines first.

mod placement_support;

use std::time::{Duration, Instant};

use jackdawwick::collections::FastMap;
use jackdawwick::fleet::{
    EnginePath, FleetTable, LayerRange, PathQuery, RequestSize, TargetEntry, TargetLoad,
    TargetUsage, UsageSource, choose_path, repair_path, target_key,
};
use jackdawwick::ids::TargetId;
use jackdawwick::ingress::EngineModel;
use placement_support::{FAST, SLOW};
use proptest::prelude::*;

const SIZE: RequestSize = RequestSize {
    prompt: 760,
    answer: 200,
};

fn model() -> EngineModel {
    let kinds = [("fast".into(), FAST), ("slow".into(), SLOW)];
    EngineModel {
        kinds: kinds.into_iter().collect::<FastMap<_, _>>(),
        ..placement_support::model()
    }
}

fn engine(index: usize, zone: &str, kind: &str, from: u32, to: u32) -> TargetEntry {
    TargetEntry {
        id: format!("i-{index}").into(),
        started_ms: None,
        service: "model".into(),
        address: format!("10.0.0.{}:80", index + 1)
            .parse()
            .expect("an address"),
        zone: zone.into(),
        draining: false,
        kind: Some(kind.into()),
        layers: Some(LayerRange { from, to }),
    }
}

fn fleet(entries: impl IntoIterator<Item = TargetEntry>) -> FleetTable {
    let mut fleet = FleetTable::default();
    for entry in entries {
        fleet.observe_entry(entry);
    }
    fleet
}

fn choose(
    fleet: &FleetTable,
    model: &EngineModel,
    avoid: &[TargetId],
    now: Instant,
) -> Option<EnginePath> {
    let query = PathQuery {
        model,
        size: SIZE,
        zone: "near",
        avoid,
        max_pause: Duration::ZERO,
        preferred_zone: None,
    };
    choose_path(fleet.members("model")?, query, now, || 0.5)
}

fn covers_layers_in_order(path: &EnginePath, layers: u32) -> bool {
    let mut next = 0;
    let follows = path.hops.iter().all(|hop| {
        let fits = hop.layers.from == next && hop.layers.to > hop.layers.from;
        next = hop.layers.to;
        fits
    });
    let mut ids = path.hops.iter().map(|hop| &hop.target).collect::<Vec<_>>();
    ids.sort();
    ids.dedup();
    follows && next == layers && ids.len() == path.hops.len()
}

#[test]
fn own_zone_is_preferred_unless_incomplete() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 40),
        engine(1, "near", "fast", 40, 80),
        engine(2, "far", "fast", 0, 40),
        engine(3, "far", "fast", 40, 80),
    ]);
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert_eq!(&*path.hops[0].target, "i-0");
    fleet.remove("i-1");
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert_eq!(&*path.hops[0].target, "i-2");
}

/// Guards against streams in other zones without need, all of which break when a zone is
/// cut off. A cost of only some milliseconds per event for another zone would send two
/// requests of five there.
#[test]
fn small_load_difference_keeps_requests_in_own_zone() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 30),
        engine(1, "near", "fast", 30, 60),
        engine(2, "near", "fast", 60, 80),
        engine(3, "far", "fast", 0, 30),
        engine(4, "far", "fast", 30, 60),
        engine(5, "far", "fast", 60, 80),
    ]);
    let load = |requests: u32, layers| TargetLoad {
        requests,
        reserved: SIZE.tokens() * f64::from(requests * layers) * 0.5,
        unread: 0.0,
    };
    for (id, layers) in [("i-0", 30), ("i-1", 30), ("i-2", 20)] {
        fleet.observe_start(id, load(60, layers));
    }
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert_eq!(&*path.hops[0].target, "i-0");
    // The other zone serves if the own zone has no capacity.
    for (id, layers) in [("i-0", 30), ("i-1", 30), ("i-2", 20)] {
        fleet.observe_start(id, load(400, layers));
    }
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert_eq!(&*path.hops[0].target, "i-3");
}

#[test]
fn path_crosses_zones_if_no_zone_is_complete() {
    let model = model();
    let now = Instant::now();
    let fleet = fleet([
        engine(0, "near", "fast", 0, 40),
        engine(1, "far", "fast", 40, 80),
    ]);
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert!(covers_layers_in_order(&path, 80));
}

#[test]
fn draining_silent_and_avoided_engines_are_left_out() {
    let model = model();
    let now = Instant::now();
    let mut leaving = engine(1, "near", "fast", 40, 80);
    leaving.draining = true;
    let mut fleet = fleet([engine(0, "near", "fast", 0, 40), leaving]);
    assert!(choose(&fleet, &model, &[], now).is_none());
    fleet.observe_entry(engine(1, "near", "fast", 40, 80));
    assert!(choose(&fleet, &model, &["i-0".into()], now).is_none());
    fleet.observe_silence("i-1", now);
    assert!(choose(&fleet, &model, &[], now).is_none());
    assert!(choose(&fleet, &model, &[], now + Duration::from_secs(4)).is_some());
}

/// Guards against pausing engines in paths without an alternative, and in moves.
#[test]
fn engines_that_pause_are_left_out_of_paths_and_repairs() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 40),
        engine(1, "near", "fast", 40, 80),
        engine(2, "near", "fast", 40, 80),
    ]);
    let path = choose(&fleet, &model, &["i-2".into()], now).expect("a path");
    fleet.observe_pause("i-2", now + Duration::from_secs(3));
    let avoid = ["i-1".into()];
    assert!(choose(&fleet, &model, &avoid, now).is_none());
    let query = PathQuery {
        model: &model,
        size: SIZE,
        zone: "near",
        avoid: &avoid,
        max_pause: Duration::ZERO,
        preferred_zone: None,
    };
    let repair = |now| {
        let members = fleet.members("model").expect("members");
        repair_path(members, query, &path, 1, now, || 0.5)
    };
    assert!(repair(now).is_none());
    assert!(repair(now + Duration::from_secs(3)).is_some());
}

/// Guards against refusals for lack of memory while other engines have capacity. Several
/// hosts send to the same engines at once, so each must count the requests of the others
/// too.
#[test]
fn requests_of_other_hosts_count_against_memory() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 40),
        engine(1, "near", "fast", 40, 80),
    ]);
    assert!(!choose(&fleet, &model, &[], now).expect("a path").full);
    let uses = vec![TargetUsage {
        key: target_key("i-1"),
        load: TargetLoad {
            requests: 4,
            reserved: 40.0 * 4_500.0,
            unread: 0.0,
        },
    }];
    fleet.observe_usage(UsageSource::Host("other".into()), uses, now);
    assert!(choose(&fleet, &model, &[], now).expect("a path").full);
    fleet.observe_usage(UsageSource::Host("other".into()), Vec::new(), now);
    assert!(!choose(&fleet, &model, &[], now).expect("a path").full);
}

/// Guards against late first events after the loss of an engine. Its requests are
/// prefilled again by another engine, so the cost of an engine must include the prefill
/// that it has yet to do.
#[test]
fn engine_with_prefill_backlog_is_avoided() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 40),
        engine(1, "near", "fast", 40, 80),
        engine(2, "near", "fast", 40, 80),
    ]);
    fleet.observe_start("i-2", SIZE.load(40));
    fleet.observe_start("i-2", SIZE.load(40));
    fleet.observe_prefill("i-2", 2.0 * SIZE.load(40).unread);
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert_eq!(&*path.hops[1].target, "i-1");
    let moved = TargetLoad {
        requests: 0,
        reserved: 0.0,
        unread: 20.0 * SIZE.load(40).unread,
    };
    fleet.observe_start("i-1", moved);
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert_eq!(&*path.hops[1].target, "i-2");
    fleet.observe_prefill("i-1", moved.unread);
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert_eq!(&*path.hops[1].target, "i-1");
}

/// Guards against timeouts after one engine in the middle of the paths becomes slow. The
/// host must request its pace and use it in the cost.
#[test]
fn a_slow_engine_is_avoided() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 40),
        engine(1, "near", "fast", 40, 80),
        engine(2, "far", "fast", 0, 40),
        engine(3, "far", "fast", 40, 80),
    ]);
    assert!(fleet.begin_pace_request("i-1", now));
    assert!(!fleet.begin_pace_request("i-1", now));
    fleet.observe_pace("i-1", 12.0, now);
    let path = choose(&fleet, &model, &[], now).expect("a path");
    assert!(path.hops.iter().all(|hop| &*hop.target != "i-1"));
    let later = now + Duration::from_secs(10);
    let path = choose(&fleet, &model, &[], later).expect("a path");
    assert_eq!(&*path.hops[0].target, "i-0");
}

/// Guards against requests that start over when one engine of their path dies. A repair
/// must replace only the failed hop, so that the other engines keep the prompt that they
/// have processed.
#[test]
fn repair_keeps_the_other_hops() {
    let model = model();
    let now = Instant::now();
    let fleet = fleet([
        engine(0, "near", "fast", 0, 30),
        engine(1, "near", "fast", 30, 60),
        engine(2, "near", "fast", 60, 80),
        engine(3, "near", "slow", 30, 42),
        engine(4, "near", "slow", 40, 50),
        engine(5, "near", "slow", 50, 60),
    ]);
    let path = choose(&fleet, &model, &[], now).expect("a path");
    let position = path
        .hops
        .iter()
        .position(|hop| &*hop.target == "i-1")
        .expect("a hop");
    let query = PathQuery {
        model: &model,
        size: SIZE,
        zone: "near",
        avoid: &[],
        max_pause: Duration::ZERO,
        preferred_zone: None,
    };
    let members = fleet.members("model").expect("members");
    let repaired = repair_path(members, query, &path, position, now, || 0.5).expect("a path");
    assert!(covers_layers_in_order(&repaired, 80));
    assert_eq!(repaired.hops.first(), path.hops.first());
    assert_eq!(repaired.hops.last(), path.hops.last());
    assert!(repaired.hops.iter().all(|hop| &*hop.target != "i-1"));
}

/// Starts up to 400 requests that never end, and returns how many were placed before an
/// engine was full.
fn count_placed<F>(
    fleet: &mut FleetTable,
    model: &EngineModel,
    now: Instant,
    mut choose_next: F,
) -> usize
where
    F: FnMut(&FleetTable, usize) -> Option<EnginePath>,
{
    let free_capacity = |fleet: &FleetTable, id: &str| {
        let state = fleet.get(id).expect("an engine");
        let kind = model.kinds[state.entry.kind.as_deref().expect("a kind")];
        let width = state.entry.layers.expect("layers").width();
        model.cache_capacity(kind, width) - state.load().reserved
    };
    let mut count = 0;
    for attempt in 0..400 {
        let Some(path) = choose_next(fleet, attempt) else {
            break;
        };
        let full = path.hops.iter().any(|hop| {
            free_capacity(fleet, &hop.target) < f64::from(hop.layers.width()) * SIZE.tokens()
        });
        if full {
            break;
        }
        for hop in &path.hops {
            fleet.observe_start(&hop.target, SIZE.load(hop.layers.width()));
        }
        count += 1;
    }
    let _ = now;
    count
}

/// Uses two chains of unequal capacity: round robin stops when the smaller one is full,
/// the choice by cost fills both.
#[test]
fn choice_by_cost_places_more_requests_than_round_robin() {
    let model = model();
    let now = Instant::now();
    let entries = || {
        [
            engine(0, "near", "fast", 0, 27),
            engine(1, "near", "fast", 27, 54),
            engine(2, "near", "fast", 54, 80),
            engine(3, "near", "fast", 0, 38),
            engine(4, "near", "fast", 38, 76),
            engine(5, "near", "slow", 70, 80),
        ]
    };
    let chain = |first: usize| {
        let ranges = match first {
            0 => [(0, 0, 27), (1, 27, 54), (2, 54, 80)],
            _ => [(3, 0, 38), (4, 38, 76), (5, 76, 80)],
        };
        let hops = ranges.map(|(index, from, to)| {
            let entry = engine(index, "near", "fast", from, to);
            jackdawwick::fleet::PathHop {
                target: entry.id,
                address: entry.address,
                layers: LayerRange { from, to },
            }
        });
        EnginePath {
            hops: hops.to_vec(),
            cost_ms: 0.0,
            first_event_ms: 0.0,
            full: false,
        }
    };
    let round_robin = count_placed(&mut fleet(entries()), &model, now, |_, attempt| {
        Some(chain(attempt % 2))
    });
    let chosen = count_placed(&mut fleet(entries()), &model, now, |fleet, _| {
        choose(fleet, &model, &[], now).filter(|path| !path.full)
    });
    assert!(
        chosen > round_robin,
        "by cost {chosen}, by turns {round_robin}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn every_path_runs_every_layer_once(
        ranges in prop::collection::vec((0_u32..80, 1_u32..41, any::<bool>()), 1..16),
        draw in 0.0..1.0,
    ) {
        let model = model();
        let entries = ranges.iter().enumerate().map(|(index, (from, width, near))| {
            let zone = if *near { "near" } else { "far" };
            engine(index, zone, "fast", *from, (from + width).min(80))
        });
        let fleet = fleet(entries);
        let covered = (0..80).all(|layer| {
            fleet.targets().any(|state| state.entry.layers.is_some_and(|range| range.contains(layer)))
        });
        let query = PathQuery { model: &model, size: SIZE, zone: "near", avoid: &[], max_pause: Duration::ZERO , preferred_zone: None,};
        let members = fleet.members("model").expect("members");
        let path = choose_path(members, query, Instant::now(), || draw);
        prop_assert_eq!(path.is_some(), covered);
        if let Some(path) = path {
            prop_assert!(covers_layers_in_order(&path, 80));
        }
    }
}

/// Guards against a choice that drops the cheapest of several engines with the same
/// range, as it keeps only some of them to save time: the cost must equal that of the
/// best combination of engines.
#[test]
fn equal_ranges_do_not_hide_the_cheapest_engines() {
    let model = model();
    let now = Instant::now();
    let entries = [(0, 30), (30, 80), (0, 30), (30, 80)];
    let entries = entries.iter().enumerate().map(|(index, (from, to))| {
        let kind = if index < 2 { "fast" } else { "slow" };
        engine(index, "near", kind, *from, *to)
    });
    let mut whole = fleet(entries.collect::<Vec<_>>());
    for requests in 0..60 {
        let load = SIZE.load(30);
        whole.observe_start(&format!("i-{}", requests % 3), load);
        let path = choose(&whole, &model, &[], now).expect("a path");
        let pairs = [
            ["i-0", "i-1"],
            ["i-0", "i-3"],
            ["i-2", "i-1"],
            ["i-2", "i-3"],
        ];
        let costs = pairs.iter().filter_map(|pair| {
            let others = (0..4).map(|index| TargetId::from(format!("i-{index}")));
            let others = others.filter(|id| !pair.contains(&&**id));
            choose(&whole, &model, &others.collect::<Vec<_>>(), now)
        });
        let least = costs.map(|path| path.cost_ms).fold(f64::INFINITY, f64::min);
        assert!((path.cost_ms - least).abs() < 1e-6, "{requests} requests");
    }
}

/// Guards against a fixed cost for requests that are drawn for another zone, and against
/// other paths for requests that are not.
#[test]
fn preferred_zone_costs_nothing_extra() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 40),
        engine(1, "near", "fast", 40, 80),
        engine(2, "far", "fast", 0, 40),
        engine(3, "far", "fast", 40, 80),
    ]);
    let load = |requests| TargetLoad {
        requests,
        ..TargetLoad::default()
    };
    for id in ["i-0", "i-1"] {
        fleet.observe_start(id, load(60));
    }
    let first = |preferred_zone| {
        let query = PathQuery {
            model: &model,
            size: SIZE,
            zone: "near",
            avoid: &[],
            max_pause: Duration::ZERO,
            preferred_zone,
        };
        let members = fleet.members("model").expect("members");
        let path = choose_path(members, query, now, || 0.5).expect("a path");
        path.hops[0].target.to_string()
    };
    assert_eq!(first(None), "i-0");
    assert_eq!(first(Some("far")), "i-2");
    assert_eq!(first(Some("missing")), "i-0");
}

/// Guards against first engines with more requests than slots beside an engine of another
/// zone with free ones: at 0.3 of the wait, the fixed cost of another zone kept requests
/// in the queue, and hosts with equally late views all chose the same engine.
#[test]
fn requests_are_spread_before_a_first_engine_is_over_its_slots() {
    let model = model();
    let now = Instant::now();
    let mut fleet = fleet([
        engine(0, "near", "fast", 0, 24),
        engine(1, "near", "fast", 24, 80),
        engine(2, "far", "fast", 0, 24),
        engine(3, "far", "fast", 24, 80),
    ]);
    let load = TargetLoad {
        requests: 180,
        ..TargetLoad::default()
    };
    fleet.observe_start("i-0", load);
    let chosen = (0..20).map(|number| {
        let query = PathQuery {
            model: &model,
            size: SIZE,
            zone: "near",
            avoid: &[],
            max_pause: Duration::ZERO,
            preferred_zone: None,
        };
        let members = fleet.members("model").expect("members");
        let draw = f64::from(number) / 20.0;
        let path = choose_path(members, query, now, || draw).expect("a path");
        path.hops[0].target.to_string()
    });
    let chosen = chosen.collect::<Vec<_>>();
    let near = chosen.iter().filter(|id| *id == "i-0").count();
    assert!((1..15).contains(&near), "{chosen:?}");
}
