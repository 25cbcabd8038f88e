//! A model, its accelerators and zones of engines, and functions that apply and inspect
//! plans.

#![allow(dead_code, reason = "each test uses a part of it")]

use jackdawwick::collections::FastMap;
use jackdawwick::ingress::{AcceleratorKind, EngineModel};
use jackdawwick::placement::{EngineView, HeldRange, REPLAN_DELAY, plan_score, plan_zone};

pub(crate) const FAST: AcceleratorKind = AcceleratorKind {
    memory_mb: 72_000.0,
    pace: 2.4,
    read_factor: 3.2,
};
pub(crate) const USUAL: AcceleratorKind = AcceleratorKind {
    memory_mb: 43_200.0,
    pace: 5.6,
    read_factor: 2.7,
};
pub(crate) const SLOW: AcceleratorKind = AcceleratorKind {
    memory_mb: 21_600.0,
    pace: 16.0,
    read_factor: 8.2,
};

pub(crate) fn model() -> EngineModel {
    EngineModel {
        slots: 192,
        layers: 80,
        layer_mb: 1750.0,
        kv_token_bytes: 918_000.0,
        step_ms: 1.02,
        per_request_ms: 0.007,
        per_context_k_ms: 0.0096,
        read_per_s: 105_000.0,
        stride: 3,
        load_s: 14.0,
        usual_prompt: 774,
        usual_answer: 203,
        kinds: FastMap::default(),
    }
}

pub(crate) fn engines(kinds: &[(AcceleratorKind, usize)]) -> Vec<EngineView> {
    let kinds = kinds
        .iter()
        .flat_map(|(kind, count)| std::iter::repeat_n(*kind, *count));
    let engines = kinds.enumerate().map(|(index, kind)| EngineView {
        id: format!("i-{index:02}").into(),
        kind,
        layers: None,
    });
    engines.collect()
}

/// Applies a plan of the zone and returns the number of orders.
pub(crate) fn apply(model: &EngineModel, engines: &mut [EngineView]) -> usize {
    let planned = plan_zone(model, engines, REPLAN_DELAY);
    for range in &planned {
        let engine = engines.iter_mut().find(|engine| engine.id == range.id);
        engine.expect("a known engine").layers = Some(range.layers);
    }
    planned.len()
}

pub(crate) fn holders(engines: &[EngineView], layer: u32) -> usize {
    let ranges = engines.iter().filter_map(|engine| engine.layers);
    ranges.filter(|range| range.contains(layer)).count()
}

pub(crate) fn score(model: &EngineModel, engines: &[EngineView]) -> f64 {
    let held = engines.iter().filter_map(|engine| {
        Some(HeldRange {
            kind: engine.kind,
            layers: engine.layers?,
        })
    });
    plan_score(model, &held.collect::<Vec<_>>())
}
