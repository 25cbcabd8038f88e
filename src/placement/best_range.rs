//! The range in which one engine helps its zone most.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::zone_estimate::ZoneEstimate;

/// Time over which a change has to pay, in seconds. A zone that lost engines
/// was short of room for 10 to 20 s on the days that were traced.
const HORIZON_S: f64 = 20.0;
/// Time from an order until its engine is used again, besides the load itself,
/// in seconds: half a heartbeat and the pauses of two hosts.
const ORDER_DELAY_S: f64 = 1.0;

/// Time until an engine is rid of layers that it gives up, in seconds: it waits
/// for the requests that pass them, the longest of which take 8 to 10 s. An
/// engine that was moved while others were slow was out for 13 s.
const DRAIN_S: f64 = 8.0;

/// A range for one engine and what the zone gains by it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RangeChange {
    /// Index of the engine.
    pub(super) engine: usize,
    pub(super) layers: LayerRange,
    /// Worth after the change, in times of the worth before.
    pub(super) gain: f64,
}

/// Whether loads take time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadCost {
    /// Nothing is served yet.
    Free,
    /// What an engine gives up is missing for the time of its load.
    Counted,
}

/// One of each set of interchangeable engines, in order: what is best for one of them
/// is best for all.
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

/// Whether two engines are of one kind and hold the same.
pub(super) fn are_interchangeable(left: &EngineView, right: &EngineView) -> bool {
    left.kind == right.kind && left.layers == right.layers
}

/// The best range for an engine; `None` where it should stay as it is.
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
        let figure = others.with_width(engine.kind, width, &without);
        for from in 0..=model.layers - width {
            let layers = LayerRange {
                from,
                to: from + width,
            };
            let after = figure.score(layers);
            let gain = match (cost, engine.layers) {
                (LoadCost::Counted, Some(held)) => {
                    let during = figure.score(intersection(held, layers));
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

/// Mean worth of a zone over the horizon in which an engine changes its layers:
/// `during` until it holds them, `after` from then on.
pub(super) fn mean_over_horizon(
    model: &EngineModel,
    held: LayerRange,
    wanted: LayerRange,
    during: f64,
    after: f64,
) -> f64 {
    let out = (load_time(model, held, wanted) / HORIZON_S).min(1.0);
    after * (1.0 - out) + during * out
}

/// The layers that two ranges have in common. Empty where there are none, and
/// within `other` also then: what an engine says that it holds may lie outside
/// of the model, and the planner would end with an index out of bounds.
pub(super) fn intersection(range: LayerRange, bounds: LayerRange) -> LayerRange {
    let from = range.from.max(bounds.from).min(bounds.to);
    LayerRange {
        from,
        to: range.to.min(bounds.to).max(from),
    }
}

/// Seconds until an engine that holds some layers holds others.
fn load_time(model: &EngineModel, held: LayerRange, wanted: LayerRange) -> f64 {
    let kept = intersection(held, wanted).width();
    let new = wanted.width() - kept;
    let drain_s = if kept < held.width() { DRAIN_S } else { 0.0 };
    ORDER_DELAY_S + drain_s + model.load_s * f64::from(new) / f64::from(model.layers)
}
