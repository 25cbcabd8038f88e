//! The first plan of a large zone, as plans of parts of it.

use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::initial::{best_plan, sorted_by_pace};

/// Most engines of a part. The time of a plan grows faster than its engines.
pub(super) const MAX_PARTITION_ENGINES: usize = 64;
/// Least memory of a part, in copies of the weights: with fewer, a part has no
/// second holder of its layers, or no room for requests.
const MIN_COPIES: f64 = 2.0;

/// Plans a zone whose engines hold nothing yet; a zone of more than
/// [`MAX_PARTITION_ENGINES`] as parts that are alike, each of them a whole zone by itself.
///
/// Answers a start of a zone of hundreds of engines: planned as one, it holds no
/// layers for half a minute and longer. Equal parts are planned once. Requests
/// may cross from part to part.
pub(super) fn plan_partitioned(model: &EngineModel, engines: &[EngineView]) -> Vec<EngineView> {
    let sorted = sorted_by_pace(engines);
    let mut planned: Vec<Vec<EngineView>> = Vec::new();
    for partition in distribute(sorted, partition_count_for(model, engines)) {
        let template = planned
            .iter()
            .find(|template| have_same_kinds(template, &partition));
        let partition = match template {
            Some(template) => copy_ranges(partition, template),
            None => best_plan(model, &partition),
        };
        planned.push(partition);
    }
    planned.into_iter().flatten().collect()
}

/// How many parts a zone is planned in.
fn partition_count_for(model: &EngineModel, engines: &[EngineView]) -> usize {
    let layers = engines.iter().map(|engine| model.max_layers(engine.kind));
    let copies = f64::from(layers.sum::<u32>()) / f64::from(model.layers.max(1));
    let by_memory = (copies / MIN_COPIES) as usize;
    engines
        .len()
        .div_ceil(MAX_PARTITION_ENGINES)
        .min(by_memory)
        .max(1)
}

/// Deals engines out in turn, so that each part gets its share of each kind.
fn distribute(sorted: Vec<EngineView>, partition_count: usize) -> Vec<Vec<EngineView>> {
    let mut partitions = vec![Vec::new(); partition_count];
    for (index, engine) in sorted.into_iter().enumerate() {
        partitions[index % partition_count].push(engine);
    }
    partitions
}

/// Whether two parts consist of the same kinds, one by one.
fn have_same_kinds(left: &[EngineView], right: &[EngineView]) -> bool {
    let kinds = |partition: &[EngineView]| {
        partition
            .iter()
            .map(|engine| engine.kind)
            .collect::<Vec<_>>()
    };
    kinds(left) == kinds(right)
}

/// A part with the ranges of one that is alike.
fn copy_ranges(mut partition: Vec<EngineView>, template: &[EngineView]) -> Vec<EngineView> {
    for (engine, planned_engine) in partition.iter_mut().zip(template) {
        engine.layers = planned_engine.layers;
    }
    partition
}
