//! Plans of zones whose engines have more memory for requests than slots at the first layer.

mod placement_support;

use jackdawwick::ingress::{AcceleratorKind, EngineModel};
use jackdawwick::placement::EngineView;
use placement_support::{apply, engines, model};

const fn kind(memory_mb: f64, pace: f64, read_factor: f64) -> AcceleratorKind {
    AcceleratorKind {
        memory_mb,
        pace,
        read_factor,
    }
}

const H100: AcceleratorKind = kind(72_000.0, 1.4, 1.0);
const A100S: AcceleratorKind = kind(36_000.0, 3.1, 3.2);
const L4: AcceleratorKind = kind(21_600.0, 16.0, 8.2);
const T4: AcceleratorKind = kind(14_400.0, 15.0, 15.0);

/// Engines of a zone, and the requests that its plan runs at once at least. A plan by memory
/// alone gives 384, 384 and 529, for its two or three engines at the first layer.
const ZONES: [(&[(AcceleratorKind, usize)], f64); 3] = [
    (&[(A100S, 4), (L4, 11), (T4, 18)], 520.0),
    (&[(H100, 1), (A100S, 2), (L4, 13), (T4, 17)], 520.0),
    (&[(H100, 1), (A100S, 2), (L4, 20), (T4, 9)], 600.0),
];

fn small_cache_model() -> EngineModel {
    EngineModel {
        kv_token_bytes: 393_000.0,
        step_ms: 0.85,
        per_request_ms: 0.002_55,
        per_context_k_ms: 0.003_41,
        read_per_s: 294_000.0,
        usual_prompt: 730,
        usual_answer: 180,
        ..model()
    }
}

/// Returns the usual requests that a zone runs at once, by memory at each layer and by slots
/// at the first.
fn concurrent(model: &EngineModel, engines: &[EngineView]) -> f64 {
    let usual = f64::from(model.usual_prompt + model.usual_answer);
    let at = |layer: u32| {
        let held = engines.iter().filter_map(|engine| {
            let layers = engine.layers.filter(|layers| layers.contains(layer))?;
            let capacity = model.cache_capacity(engine.kind, layers.width());
            let requests = capacity / f64::from(layers.width()) / usual;
            let slots = f64::from(model.slots);
            Some(if layer == 0 {
                requests.min(slots)
            } else {
                requests
            })
        });
        held.sum::<f64>()
    };
    (0..model.layers).map(at).fold(f64::INFINITY, f64::min)
}

/// Guards against zones whose few first engines limit the requests that run at once, while
/// the memory of all other layers stays unused.
#[test]
fn first_plan_has_slots_for_the_requests_that_fit_in_memory() {
    let model = small_cache_model();
    for (kinds, least) in ZONES {
        let mut zone = engines(kinds);
        apply(&model, &mut zone);
        let achieved = concurrent(&model, &zone);
        assert!(achieved >= least, "{kinds:?}: {achieved}");
    }
}

/// Guards against orders for a running zone whose plan counts slots: an engine that gives up
/// layers first waits for the requests that use them.
#[test]
fn plan_with_slots_is_stable_at_rest() {
    let model = small_cache_model();
    for (kinds, _) in ZONES {
        let mut zone = engines(kinds);
        apply(&model, &mut zone);
        assert_eq!(apply(&model, &mut zone), 0, "{kinds:?}");
    }
}

/// Guards against a plan that chases each crash: only the engine that comes back empty gets
/// an order, while every layer has a holder.
#[test]
fn an_engine_that_returns_empty_is_the_only_one_ordered() {
    let model = small_cache_model();
    for (kinds, _) in ZONES {
        let mut zone = engines(kinds);
        apply(&model, &mut zone);
        for lost in 0..zone.len() {
            let mut back = zone.clone();
            back[lost].layers = None;
            assert!(apply(&model, &mut back) <= 1, "{kinds:?}, lost {lost}");
        }
    }
}
