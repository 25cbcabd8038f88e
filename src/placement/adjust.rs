//! Adjusts the plan of a zone whose engines already hold layers.

use std::time::Duration;

use crate::ingress::EngineModel;
use crate::placement::best_range::{
    LoadCost, RangeChange, best_range, distinct_engines, mean_over_horizon,
};
use crate::placement::fill::fill_empty;
use crate::placement::replan::{REPLAN_DELAY, replan_zone};
use crate::placement::zone_estimate::{ZoneEstimate, uncovered_count};
use crate::placement::{EngineView, PlannedRange};

/// Minimum ratio of the score after a change of an engine that holds layers to the score
/// before. Each load is billed and takes bandwidth of the weights store, so small gains
/// are not worth it; a zone that stays short of capacity gains for longer.
const MIN_GAIN: f64 = 1.15;
/// Most changes of engines that hold layers in one plan, when layers are uncovered.
const MAX_MOVES: usize = 12;

/// Gives each empty engine the range in which it helps most, then covers layers without a
/// holder, or makes one change that clearly raises the score of the zone.
pub(super) fn plan_adjustments(
    model: &EngineModel,
    engines: &[EngineView],
    uncovered_for: Duration,
) -> Vec<PlannedRange> {
    let mut changed = engines.to_vec();
    fill_empty(model, &mut changed);
    if let Some(rearranged) = rearrange(model, engines, &changed) {
        changed = rearranged;
    }
    if uncovered_count(model, &changed) > 0 {
        // A partial repair only takes capacity from layers that still work.
        let closed = cover_all_layers(model, &changed);
        let closed = match closed {
            None if uncovered_for >= REPLAN_DELAY => replan_zone(model, &changed),
            closed => closed,
        };
        changed = closed.unwrap_or(changed);
    } else if let Some(change) = best_change(model, &changed) {
        changed[change.engine].layers = Some(change.layers);
    }
    let pairs = engines.iter().zip(changed);
    let planned = pairs.filter(|(before, after)| before.layers != after.layers);
    let planned = planned.filter_map(|(_, engine)| {
        let layers = engine.layers?;
        Some(PlannedRange {
            id: engine.id,
            layers,
        })
    });
    planned.collect()
}

/// Places the empty engines together with one that holds the layer which is still
/// scarcest in `filled`, the plan that only fills the empty engines. Returns `None` if
/// that is not clearly better.
///
/// An engine that was widened to cover missing layers has no capacity left. When an empty
/// engine joins, neither can improve the plan alone: narrowing the first would uncover
/// layers again, and the second helps only where the first is short of capacity.
fn rearrange(
    model: &EngineModel,
    engines: &[EngineView],
    filled: &[EngineView],
) -> Option<Vec<EngineView>> {
    if engines.iter().all(|engine| engine.layers.is_some()) {
        return None;
    }
    let zone = ZoneEstimate::of(model, filled, None);
    let (scarcest, now) = (zone.scarcest_layer(), zone.score());
    let holds = |engine: &EngineView| engine.layers.is_some_and(|held| held.contains(scarcest));
    let holders = (0..engines.len()).filter(|index| holds(&engines[*index]));
    let options = distinct_engines(engines, holders).into_iter().map(|index| {
        let mut option = engines.to_vec();
        option[index].layers = None;
        fill_empty(model, &mut option);
        let score = rearranged_score(model, engines, &option, index);
        (score / now, option)
    });
    let best = options.max_by(|left, right| left.0.total_cmp(&right.0))?;
    (best.0 > MIN_GAIN).then_some(best.1)
}

/// Returns the mean score of an option in which one engine changes its layers, including
/// the time in which the engine serves nothing.
fn rearranged_score(
    model: &EngineModel,
    engines: &[EngineView],
    option: &[EngineView],
    index: usize,
) -> f64 {
    let after = ZoneEstimate::of(model, option, None).score();
    let during = ZoneEstimate::of(model, option, Some(index)).score();
    match (engines[index].layers, option[index].layers) {
        (Some(held), Some(wanted)) => mean_over_horizon(model, held, wanted, during, after),
        _ => after,
    }
}

/// Returns the engines with every layer covered, or `None` if some layers stay uncovered.
fn cover_all_layers(model: &EngineModel, engines: &[EngineView]) -> Option<Vec<EngineView>> {
    let mut engines = engines.to_vec();
    for _ in 0..MAX_MOVES {
        let change = best_change(model, &engines)?;
        engines[change.engine].layers = Some(change.layers);
        if uncovered_count(model, &engines) == 0 {
            return Some(engines);
        }
    }
    None
}

/// Returns the single change with the highest gain, if the gain is large enough.
fn best_change(model: &EngineModel, engines: &[EngineView]) -> Option<RangeChange> {
    let changes = distinct_engines(engines, 0..engines.len()).into_iter();
    let changes = changes.filter_map(|index| best_range(model, engines, index, LoadCost::Counted));
    let best = changes.max_by(|left, right| left.gain.total_cmp(&right.gain))?;
    (best.gain > MIN_GAIN).then_some(best)
}
