//! Initial plan of a large zone, computed in partitions.

use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::initial::{best_plan, sorted_by_pace};

/// Most engines of a partition. The time to plan grows faster than linearly in the number
/// of engines.
pub(super) const MAX_PARTITION_ENGINES: usize = 64;
/// Least memory of a partition, in copies of the weights. A smaller partition has no
/// second holder of its layers, or no memory for requests.
const MIN_COPIES: f64 = 2.0;

/// Plans a zone whose engines hold no layers yet. A zone of more than
/// [`MAX_PARTITION_ENGINES`] engines is divided into similar partitions, each of which
/// holds every layer.
///
/// Planned as a whole, a zone of hundreds of engines would hold no layers for half a
/// minute or longer after its start. Equal partitions are planned once. Requests may use
/// engines of several partitions.
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

/// Returns the number of partitions of a zone.
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

/// Distributes engines round robin, so that each partition gets its share of each kind.
fn distribute(sorted: Vec<EngineView>, partition_count: usize) -> Vec<Vec<EngineView>> {
    let mut partitions = vec![Vec::new(); partition_count];
    for (index, engine) in sorted.into_iter().enumerate() {
        partitions[index % partition_count].push(engine);
    }
    partitions
}

/// Returns whether two partitions have engines of the same kinds in the same order.
fn have_same_kinds(left: &[EngineView], right: &[EngineView]) -> bool {
    let kinds = |partition: &[EngineView]| {
        partition
            .iter()
            .map(|engine| engine.kind)
            .collect::<Vec<_>>()
    };
    kinds(left) == kinds(right)
}

/// Returns the partition with the ranges of the engines of `template`.
fn copy_ranges(mut partition: Vec<EngineView>, template: &[EngineView]) -> Vec<EngineView> {
    for (engine, planned_engine) in partition.iter_mut().zip(template) {
        engine.layers = planned_engine.layers;
    }
    partition
}
