//! The first plan of a large zone, as plans of parts of it.

use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::initial::{best_plan, sorted_by_pace};

/// Most engines of a part. The time of a plan grows faster than its engines.
pub(super) const PART_ENGINES: usize = 64;
/// Least memory of a part, in copies of the weights: with fewer, a part has no
/// second holder of its layers, or no room for requests.
const LEAST_COPIES: f64 = 2.0;

/// Plans a zone whose engines hold nothing yet; a zone of more than
/// [`PART_ENGINES`] as parts that are alike, each of them a whole zone by itself.
///
/// Answers a start of a zone of hundreds of engines: planned as one, it holds no
/// layers for half a minute and longer. Equal parts are planned once. Requests
/// may cross from part to part.
pub(super) fn plan_partitioned(model: &EngineModel, engines: &[EngineView]) -> Vec<EngineView> {
    let sorted = sorted_by_pace(engines);
    let mut planned: Vec<Vec<EngineView>> = Vec::new();
    for part in deal(sorted, part_count(model, engines)) {
        let alike = planned.iter().find(|other| are_alike(other, &part));
        let part = match alike {
            Some(other) => with_ranges_of(part, other),
            None => best_plan(model, &part),
        };
        planned.push(part);
    }
    planned.into_iter().flatten().collect()
}

/// How many parts a zone is planned in.
fn part_count(model: &EngineModel, engines: &[EngineView]) -> usize {
    let layers = engines.iter().map(|engine| model.max_layers(engine.kind));
    let copies = f64::from(layers.sum::<u32>()) / f64::from(model.layers.max(1));
    let by_memory = (copies / LEAST_COPIES) as usize;
    engines.len().div_ceil(PART_ENGINES).min(by_memory).max(1)
}

/// Deals engines out in turn, so that each part gets its share of each kind.
fn deal(sorted: Vec<EngineView>, parts: usize) -> Vec<Vec<EngineView>> {
    let mut dealt = vec![Vec::new(); parts];
    for (index, engine) in sorted.into_iter().enumerate() {
        dealt[index % parts].push(engine);
    }
    dealt
}

/// Whether two parts consist of the same kinds, one by one.
fn are_alike(one: &[EngineView], other: &[EngineView]) -> bool {
    let kinds = |part: &[EngineView]| part.iter().map(|engine| engine.kind).collect::<Vec<_>>();
    kinds(one) == kinds(other)
}

/// A part with the ranges of one that is alike.
fn with_ranges_of(mut part: Vec<EngineView>, other: &[EngineView]) -> Vec<EngineView> {
    for (engine, alike) in part.iter_mut().zip(other) {
        engine.layers = alike.layers;
    }
    part
}
