//! Changes to a zone whose engines hold layers already.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placing::{EngineView, PlannedRange};

/// Part of an engine's memory that its layers may take when it is given a new
/// range: what is left holds the requests that pass it.
const MOST_WEIGHTS_SHARE: f64 = 0.75;

/// Gives empty engines the range that is most in need, and closes holes by
/// widening neighbours.
pub(super) fn plan_changes(model: &EngineModel, engines: &[EngineView]) -> Vec<PlannedRange> {
    let mut engines = engines.to_vec();
    let mut planned = Vec::new();
    let mut empty = (0..engines.len()).filter(|index| engines[*index].layers.is_none());
    let mut empty = empty.by_ref().collect::<Vec<_>>();
    empty.sort_by(|one, other| {
        let memory = |index: &usize| engines[*index].kind.memory_mb;
        memory(other).total_cmp(&memory(one))
    });
    for index in empty {
        let layers = neediest_range(model, &engines, index);
        engines[index].layers = Some(layers);
        planned.push(PlannedRange {
            id: engines[index].id.clone(),
            layers,
        });
    }
    while let Some(hole) = first_hole(model, &engines) {
        let Some((index, layers)) = widened_neighbour(model, &engines, hole) else {
            break;
        };
        engines[index].layers = Some(layers);
        let id = engines[index].id.clone();
        match planned.iter_mut().find(|range| range.id == id) {
            Some(range) => range.layers = layers,
            None => planned.push(PlannedRange { id, layers }),
        }
    }
    planned
}

/// Room for requests at each layer, over all its holders, in tokens.
fn layer_room(model: &EngineModel, engines: &[EngineView]) -> Vec<f64> {
    let mut room = vec![0.0; model.layers as usize];
    for engine in engines {
        let Some(layers) = engine.layers else {
            continue;
        };
        let width = layers.width().max(1);
        let each = model.cache_room(engine.kind, layers.width()) / f64::from(width);
        // A full engine still holds its layers, which is worth something.
        for slot in room
            .iter_mut()
            .take(layers.to as usize)
            .skip(layers.from as usize)
        {
            *slot += each.max(1.0);
        }
    }
    room
}

/// The range in which the engine helps the layers with the least room most.
fn neediest_range(model: &EngineModel, engines: &[EngineView], index: usize) -> LayerRange {
    let room = layer_room(model, engines);
    let kind = engines[index].kind;
    let most = model.most_layers(kind);
    let usual = (f64::from(most) * MOST_WEIGHTS_SHARE).ceil() as u32;
    let usual = usual.clamp(1, model.layers);
    let widths = [usual / 2, usual * 3 / 4, usual, most];
    let mut best = (f64::NEG_INFINITY, LayerRange { from: 0, to: usual });
    for width in widths {
        let width = width.clamp(1, most.max(1));
        let added = model.cache_room(kind, width) / f64::from(width);
        for from in 0..=model.layers - width {
            let layers = LayerRange {
                from,
                to: from + width,
            };
            let gain = range_gain(&room, layers, added.max(1.0));
            if gain > best.0 + 1e-9 {
                best = (gain, layers);
            }
        }
    }
    best.1
}

/// How much better off the layers are with `added` tokens more in a range. The
/// benefit of room falls with what is there: a layer without holder counts
/// above all.
fn range_gain(room: &[f64], layers: LayerRange, added: f64) -> f64 {
    let benefit = |room: f64| (room + 1.0).ln();
    let range = &room[layers.from as usize..layers.to as usize];
    range
        .iter()
        .map(|room| benefit(room + added) - benefit(*room))
        .sum()
}

fn first_hole(model: &EngineModel, engines: &[EngineView]) -> Option<u32> {
    let held = |layer: u32| {
        let mut ranges = engines.iter().filter_map(|engine| engine.layers);
        ranges.any(|range| range.contains(layer))
    };
    (0..model.layers).find(|layer| !held(*layer))
}

/// The engine beside a hole that can take its first layer, with the most room
/// per layer left after that.
fn widened_neighbour(
    model: &EngineModel,
    engines: &[EngineView],
    hole: u32,
) -> Option<(usize, LayerRange)> {
    let widened = |(index, engine): (usize, &EngineView)| {
        let range = engine.layers?;
        let layers = match range {
            LayerRange { from, to } if to == hole => LayerRange { from, to: to + 1 },
            LayerRange { from, to } if from == hole + 1 => LayerRange { from: hole, to },
            _ => return None,
        };
        let weights_mb = f64::from(layers.width()) * model.layer_mb;
        if weights_mb > engine.kind.memory_mb * MOST_WEIGHTS_SHARE {
            return None;
        }
        let room = model.cache_room(engine.kind, layers.width()) / f64::from(layers.width());
        Some((room, index, layers))
    };
    let options = engines.iter().enumerate().filter_map(widened);
    let best = options.max_by(|one, other| one.0.total_cmp(&other.0));
    best.map(|(_, index, layers)| (index, layers))
}
