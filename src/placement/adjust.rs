//! Changes to a zone whose engines hold layers already.

use std::time::Duration;

use crate::ingress::EngineModel;
use crate::placement::best_range::{
    LoadCost, RangeChange, best_range, distinct_engines, mean_over_horizon,
};
use crate::placement::fill::fill_empty;
use crate::placement::replan::{REPLAN_DELAY, replan_zone};
use crate::placement::zone_estimate::{ZoneEstimate, uncovered_count};
use crate::placement::{EngineView, PlannedRange};

/// How much more a zone has to carry after an engine changes its layers for
/// the load to be worth it: each is priced and takes a share of the weights
/// store. Without any such change mean worth was the same in 40 simulated days
/// of 41 s with faults (0.721); a zone that stays short gains by it for longer.
const MIN_GAIN: f64 = 1.15;
/// Changes of engines that hold layers in one plan, to close holes.
const MAX_MOVES: usize = 12;

/// Gives empty engines the range in which they help most; closes holes, or
/// makes one change that lets the zone carry clearly more.
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
        // Half a mend only takes room from what still works.
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

/// Places the empty engines together with one that holds the layer which is
/// still scarcest after they were `filled` in; `None` if that is no better.
///
/// An engine that was widened to close a hole has no room left. When an empty
/// one comes, neither can do better alone: the first would leave the hole again,
/// the second only helps where the first is short of room.
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
        let score = rearranged_worth(model, engines, &option, index);
        (score / now, option)
    });
    let best = options.max_by(|left, right| left.0.total_cmp(&right.0))?;
    (best.0 > MIN_GAIN).then_some(best.1)
}

/// Worth of an option in which one engine holds other layers than before, with
/// what is missing until it does.
fn rearranged_worth(
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

/// The engines after all holes are closed; `None` if some cannot be.
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

/// The one change that lets the zone carry clearly more.
fn best_change(model: &EngineModel, engines: &[EngineView]) -> Option<RangeChange> {
    let changes = distinct_engines(engines, 0..engines.len()).into_iter();
    let changes = changes.filter_map(|index| best_range(model, engines, index, LoadCost::Counted));
    let best = changes.max_by(|left, right| left.gain.total_cmp(&right.gain))?;
    (best.gain > MIN_GAIN).then_some(best)
}
