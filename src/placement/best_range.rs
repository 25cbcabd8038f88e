//! Search for the layer range in which one engine helps its zone most.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::zone_estimate::ZoneEstimate;

/// Time over which a change has to pay off, in seconds. A zone that lost engines is short
/// of capacity for 10 to 20 s.
const HORIZON_S: f64 = 20.0;
/// Time from an order until its engine is used again, excluding the load itself, in
/// seconds: half a heartbeat interval and the poll intervals of two hosts.
const ORDER_DELAY_S: f64 = 1.0;

/// Time until an engine has drained layers that it gives up, in seconds. The engine waits
/// for the requests that use them, the longest of which take 8 to 10 s; the drain takes
/// up to 13 s if other engines are slow.
const DRAIN_S: f64 = 8.0;

/// A new range for one engine and the gain for the zone.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RangeChange {
    /// Index of the engine.
    pub(super) engine: usize,
    pub(super) layers: LayerRange,
    /// Score after the change divided by the score before.
    pub(super) gain: f64,
}

/// Whether the time of a load counts against a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadCost {
    /// Loads are free: the engine serves nothing yet.
    Free,
    /// Layers that the engine gives up are missing until its load is done.
    Counted,
}

/// Returns the first of each set of interchangeable engines, in order: the best range for
/// one of them is the best for all.
pub(super) fn distinct_engines<I>(engines: &[EngineView], indexes: I) -> Vec<usize>
where
    I: Iterator<Item = usize>,
{
    let mut chosen: Vec<usize> = Vec::new();
    for index in indexes {
        let is_equal = |known: &usize| are_interchangeable(&engines[*known], &engines[index]);
        if !chosen.iter().any(is_equal) {
            chosen.push(index);
        }
    }
    chosen
}

/// Returns whether two engines have the same kind and hold the same layers.
pub(super) fn are_interchangeable(left: &EngineView, right: &EngineView) -> bool {
    left.kind == right.kind && left.layers == right.layers
}

/// Returns the best range for an engine, or `None` if its present range is the best.
pub(super) fn best_range(
    model: &EngineModel,
    engines: &[EngineView],
    index: usize,
    cost: LoadCost,
) -> Option<RangeChange> {
    let engine = &engines[index];
    let zone = ZoneEstimate::of(model, engines, None);
    let others = ZoneEstimate::of(model, engines, Some(index)).sharing_steps_of(&zone);
    let now = zone.score();
    let without = others.prefix_sums();
    let mut best: Option<RangeChange> = None;
    for width in 1..=model.max_layers(engine.kind) {
        let candidate = others.with_width(engine.kind, width, &without);
        for from in 0..=model.layers - width {
            let layers = LayerRange {
                from,
                to: from + width,
            };
            let after = candidate.score(layers);
            let gain = match (cost, engine.layers) {
                (LoadCost::Counted, Some(held)) => {
                    let during = candidate.score(intersection(held, layers));
                    mean_over_horizon(model, held, layers, during, after) / now
                }
                _ => after / now,
            };
            if best.is_none_or(|best| gain > best.gain + 1e-9) {
                best = Some(RangeChange {
                    engine: index,
                    layers,
                    gain,
                });
            }
        }
    }
    best.filter(|best| engine.layers != Some(best.layers))
}

/// Returns the mean score of a zone over the horizon in which an engine changes its
/// layers: `during` until the engine holds them, `after` from then on.
pub(super) fn mean_over_horizon(
    model: &EngineModel,
    held: LayerRange,
    wanted: LayerRange,
    during: f64,
    after: f64,
) -> f64 {
    let transition_share = (load_time(model, held, wanted) / HORIZON_S).min(1.0);
    after * (1.0 - transition_share) + during * transition_share
}

/// Returns the layers of `range` that lie within `bounds`.
///
/// The result is empty if there are none, and always lies within `bounds`: an engine may
/// report layers that the model does not have, which must not become indexes of the
/// planner.
pub(super) fn intersection(range: LayerRange, bounds: LayerRange) -> LayerRange {
    let from = range.from.max(bounds.from).min(bounds.to);
    LayerRange {
        from,
        to: range.to.min(bounds.to).max(from),
    }
}

/// Returns the time in seconds to change an engine from the layers held to those wanted.
fn load_time(model: &EngineModel, held: LayerRange, wanted: LayerRange) -> f64 {
    let kept = intersection(held, wanted).width();
    let new = wanted.width() - kept;
    let drain_s = if kept < held.width() { DRAIN_S } else { 0.0 };
    ORDER_DELAY_S + drain_s + model.load_s * f64::from(new) / f64::from(model.layers)
}
