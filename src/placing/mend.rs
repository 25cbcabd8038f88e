//! Changes to a zone whose engines hold layers already.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placing::estimate::{HeldRange, plan_worth};
use crate::placing::need::neediest_range;
use crate::placing::{EngineView, PlannedRange};

/// Part of an engine's memory that its layers may take when it is widened:
/// what is left holds the requests that pass it.
const WIDENED_SHARE: f64 = 0.75;
/// The same where a layer would otherwise have no holder at all: room for a
/// few requests is better than none.
const STRETCHED_SHARE: f64 = 0.92;
/// How much more a zone has to carry after a move for it to be worth the load,
/// which takes seconds and a share of the weights store.
const LEAST_GAIN: f64 = 1.25;
/// Moves in one plan, to close holes.
const MOST_MOVES: usize = 12;

/// Gives empty engines the range that is most in need; closes holes and makes
/// up for losses by moving engines that are a spare and widening neighbours.
pub(super) fn plan_changes(model: &EngineModel, engines: &[EngineView]) -> Vec<PlannedRange> {
    let mut changed = engines.to_vec();
    fill_empty(model, &mut changed);
    let closed = [WIDENED_SHARE, STRETCHED_SHARE]
        .into_iter()
        .find_map(|share| close_holes(model, &changed, share));
    // Half a mend only takes room from what still works.
    let mut changed = closed.unwrap_or(changed);
    if let Some(better) = improve(model, &changed) {
        changed = better;
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

/// Largest first.
fn fill_empty(model: &EngineModel, engines: &mut [EngineView]) {
    let empty = (0..engines.len()).filter(|index| engines[*index].layers.is_none());
    let mut empty = empty.collect::<Vec<_>>();
    empty.sort_by(|one, other| {
        let memory = |index: &usize| engines[*index].kind.memory_mb;
        memory(other).total_cmp(&memory(one))
    });
    for index in empty {
        engines[index].layers = Some(neediest_range(model, engines, index));
    }
}

/// The engines after all holes are closed; `None` if some cannot be.
fn close_holes(
    model: &EngineModel,
    engines: &[EngineView],
    widened_share: f64,
) -> Option<Vec<EngineView>> {
    let mut engines = engines.to_vec();
    let mut holes = hole_count(model, &engines);
    for _ in 0..MOST_MOVES {
        if holes == 0 {
            break;
        }
        let moves = spare_moves(model, &engines);
        let moves = moves
            .into_iter()
            .chain(widenings(model, &engines, widened_share));
        let options = moves.map(|moved| {
            let left = hole_count(model, &moved);
            (left, worth(model, &moved), moved)
        });
        let best = options.min_by(|one, other| {
            let worth = other.1.total_cmp(&one.1);
            one.0.cmp(&other.0).then(worth)
        });
        match best {
            Some((left, _, moved)) if left < holes => {
                holes = left;
                engines = moved;
            }
            _ => return None,
        }
    }
    (holes == 0).then_some(engines)
}

/// The engines after the one move that lets the zone carry clearly more.
fn improve(model: &EngineModel, engines: &[EngineView]) -> Option<Vec<EngineView>> {
    let now = worth(model, engines);
    let options = spare_moves(model, engines).into_iter().map(|moved| {
        let worth = worth(model, &moved);
        (worth, moved)
    });
    let best = options.max_by(|one, other| one.0.total_cmp(&other.0))?;
    (best.0 > now * LEAST_GAIN && now > 0.0).then_some(best.1)
}

/// Each way to move an engine, whose layers others hold too, to where it is
/// missed most.
fn spare_moves(model: &EngineModel, engines: &[EngineView]) -> Vec<Vec<EngineView>> {
    let is_spare = |index: &usize| {
        let Some(layers) = engines[*index].layers else {
            return false;
        };
        let others = engines
            .iter()
            .enumerate()
            .filter(|(other, _)| other != index);
        let others = others
            .filter_map(|(_, engine)| engine.layers)
            .collect::<Vec<_>>();
        (layers.from..layers.to).all(|layer| others.iter().any(|range| range.contains(layer)))
    };
    let spares = (0..engines.len()).filter(is_spare);
    let moves = spares.map(|index| {
        let mut moved = engines.to_vec();
        moved[index].layers = None;
        moved[index].layers = Some(neediest_range(model, &moved, index));
        moved
    });
    moves.filter(|moved| moved != engines).collect()
}

/// Each way to widen an engine into the hole beside it.
fn widenings(model: &EngineModel, engines: &[EngineView], share: f64) -> Vec<Vec<EngineView>> {
    let mut options = Vec::new();
    for hole in holes(model, engines) {
        for (index, engine) in engines.iter().enumerate() {
            let Some(layers) = engine.layers else {
                continue;
            };
            let most = (engine.kind.memory_mb * share / model.layer_mb) as u32;
            let free = most.saturating_sub(layers.width()).min(hole.width());
            let widened = match layers {
                LayerRange { from, to } if to == hole.from => LayerRange {
                    from,
                    to: to + free,
                },
                LayerRange { from, to } if from == hole.to => LayerRange {
                    from: from - free,
                    to,
                },
                _ => continue,
            };
            if free > 0 {
                let mut moved = engines.to_vec();
                moved[index].layers = Some(widened);
                options.push(moved);
            }
        }
    }
    options
}

/// Runs of layers without holder.
fn holes(model: &EngineModel, engines: &[EngineView]) -> Vec<LayerRange> {
    let held = |layer: u32| {
        let mut ranges = engines.iter().filter_map(|engine| engine.layers);
        ranges.any(|range| range.contains(layer))
    };
    let mut holes: Vec<LayerRange> = Vec::new();
    for layer in (0..model.layers).filter(|layer| !held(*layer)) {
        match holes.last_mut() {
            Some(hole) if hole.to == layer => hole.to += 1,
            _ => holes.push(LayerRange {
                from: layer,
                to: layer + 1,
            }),
        }
    }
    holes
}

fn hole_count(model: &EngineModel, engines: &[EngineView]) -> u32 {
    holes(model, engines).iter().map(|hole| hole.width()).sum()
}

fn worth(model: &EngineModel, engines: &[EngineView]) -> f64 {
    plan_worth(model, &HeldRange::all(engines))
}
