//! The plan of engines that hold nothing yet.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placing::{EngineView, PlannedRange};

/// Part of a zone's memory that stays free for requests. A copy of the weights
/// more gives a spare, and takes room for requests.
const LEAST_CACHE_SHARE: f64 = 0.30;

/// Copies of the weights that leave room for requests, at least one.
fn copies(model: &EngineModel, memory_mb: f64) -> usize {
    let weights_mb = model.layer_mb * f64::from(model.layers);
    let copies = memory_mb * (1.0 - LEAST_CACHE_SHARE) / weights_mb;
    (copies.floor() as usize).max(1)
}

/// Parts the engines into chains of equal memory, each of which holds every
/// layer once, and gives each engine of a chain layers by its memory: every
/// request of a chain passes all its engines, so the room for requests should
/// run out on all at the same time.
pub(super) fn plan_empty(model: &EngineModel, engines: &[EngineView]) -> Vec<PlannedRange> {
    let memory = engines
        .iter()
        .map(|engine| engine.kind.memory_mb)
        .sum::<f64>();
    let chains = split(engines, copies(model, memory));
    let planned = chains.iter().flat_map(|chain| plan_chain(model, chain));
    planned.collect()
}

/// Largest first, each to the chain with the least memory so far.
fn split(engines: &[EngineView], chains: usize) -> Vec<Vec<&EngineView>> {
    let mut sorted = engines.iter().collect::<Vec<_>>();
    sorted.sort_by(|one, other| {
        let size = other.kind.memory_mb.total_cmp(&one.kind.memory_mb);
        size.then_with(|| one.id.cmp(&other.id))
    });
    let mut parts = vec![(0.0_f64, Vec::new()); chains];
    for engine in sorted {
        let least = parts
            .iter_mut()
            .min_by(|one, other| one.0.total_cmp(&other.0));
        if let Some((memory, members)) = least {
            *memory += engine.kind.memory_mb;
            members.push(engine);
        }
    }
    parts.into_iter().map(|(_, members)| members).collect()
}

/// Layers by memory, rounded so that they add up, within what each can hold.
fn plan_chain(model: &EngineModel, chain: &[&EngineView]) -> Vec<PlannedRange> {
    let total = chain
        .iter()
        .map(|engine| engine.kind.memory_mb)
        .sum::<f64>();
    let layers = f64::from(model.layers);
    let ideal = chain
        .iter()
        .map(|engine| layers * engine.kind.memory_mb / total);
    let ideal = ideal.collect::<Vec<_>>();
    let most = chain
        .iter()
        .map(|engine| model.most_layers(engine.kind))
        .collect::<Vec<_>>();
    let mut widths = ideal
        .iter()
        .zip(&most)
        .map(|(ideal, most)| (*ideal as u32).min(*most));
    let mut widths = widths.by_ref().collect::<Vec<_>>();
    let mut missing = model.layers.saturating_sub(widths.iter().sum());
    while missing > 0 {
        let rest = |index: &usize| ideal[*index] - f64::from(widths[*index]);
        let open = (0..chain.len()).filter(|index| widths[*index] < most[*index]);
        let Some(neediest) = open.max_by(|one, other| rest(one).total_cmp(&rest(other))) else {
            break;
        };
        widths[neediest] += 1;
        missing -= 1;
    }
    let mut from = 0;
    let mut planned = Vec::with_capacity(chain.len());
    for (engine, width) in chain.iter().zip(widths) {
        let layers = LayerRange {
            from,
            to: from + width,
        };
        from += width;
        if width > 0 {
            planned.push(PlannedRange {
                id: engine.id.clone(),
                layers,
            });
        }
    }
    planned
}
