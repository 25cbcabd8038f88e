//! Changes to a zone whose engines hold layers already.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placing::estimate::HeldRange;
use crate::placing::{EngineView, PlannedRange};

/// Part of an engine's memory that its layers may take when it is given a new
/// range: what is left holds the requests that pass it.
const MOST_WEIGHTS_SHARE: f64 = 0.75;

/// Requests for which a layer's room is worth half of what it can be worth. A
/// zone of a dozen engines carries about a hundred at once.
const HALF_WORTH_REQUESTS: f64 = 50.0;

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

/// Room for requests at one layer, in tokens.
#[derive(Debug, Clone, Copy, Default)]
struct LayerRoom {
    /// Over all holders.
    whole: f64,
    /// On the holder with the most.
    largest: f64,
}

impl LayerRoom {
    fn add(self, room: f64) -> Self {
        Self {
            whole: self.whole + room,
            largest: self.largest.max(room),
        }
    }

    /// What the room is worth, with all holders and without the largest: it
    /// grows fast up to the room of `usual` requests and slowly beyond.
    fn benefit(self, usual: f64) -> f64 {
        let worth = |room: f64| room / (room + usual);
        worth(self.whole) + worth(self.whole - self.largest)
    }
}

fn layer_rooms(model: &EngineModel, engines: &[EngineView]) -> Vec<LayerRoom> {
    let mut rooms = vec![LayerRoom::default(); model.layers as usize];
    for engine in engines {
        let Some(layers) = engine.layers else {
            continue;
        };
        let held = HeldRange {
            kind: engine.kind,
            layers,
        };
        // A full engine still holds its layers, which is worth something.
        let room = held.room(model).max(1.0);
        for slot in &mut rooms[layers.from as usize..layers.to as usize] {
            *slot = slot.add(room);
        }
    }
    rooms
}

/// The range in which an engine helps the layers with the least room most.
pub(super) fn neediest_range(
    model: &EngineModel,
    engines: &[EngineView],
    index: usize,
) -> LayerRange {
    let rooms = layer_rooms(model, engines);
    let kind = engines[index].kind;
    let most = model.most_layers(kind).max(1);
    let usual = f64::from(model.usual_prompt + model.usual_answer) * HALF_WORTH_REQUESTS;
    let mut best = (f64::NEG_INFINITY, LayerRange { from: 0, to: most });
    for width in 1..=most {
        let range = |from| LayerRange {
            from,
            to: from + width,
        };
        let added = HeldRange {
            kind,
            layers: range(0),
        }
        .room(model)
        .max(1.0);
        for layers in (0..=model.layers - width).map(range) {
            let touched = &rooms[layers.from as usize..layers.to as usize];
            let gains = touched
                .iter()
                .map(|room| room.add(added).benefit(usual) - room.benefit(usual));
            let gain = gains.sum::<f64>();
            if gain > best.0 + 1e-9 {
                best = (gain, layers);
            }
        }
    }
    best.1
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
