//! Applies declared resources to the route table.

use std::collections::BTreeMap;

use crate::collections::FastMap;
use crate::ids::{ModelId, TargetId};
use crate::resources::{PipelineSpec, ResourceKey, ResourceSpec, StageSpec, TargetSpec};

use super::RouteTable;
use super::entry::TargetEntry;
use super::load::LoadSums;
use super::table::{DeclaredPipeline, ModelRoutes};

impl RouteTable {
    /// Replaces the pipelines and targets by those among `resources`.
    ///
    /// Counts and measurements of a target are kept, except that only its counts are kept
    /// if its address changes. Pipelines of models that are not declared and stages over
    /// undeclared targets are left out of every plan.
    pub fn set_pipelines<'r, I>(&mut self, resources: I)
    where
        I: IntoIterator<Item = (&'r ResourceKey, &'r ResourceSpec)>,
    {
        let mut models = BTreeMap::new();
        let mut pipelines = Vec::new();
        let mut targets = FastMap::default();
        for (key, spec) in resources {
            match spec {
                ResourceSpec::Model(model) => {
                    let routes = ModelRoutes {
                        offered: model.offered.clone(),
                        versions: BTreeMap::new(),
                    };
                    models.insert(key.name.clone(), routes);
                }
                ResourceSpec::Pipeline(pipeline) => pipelines.push((key, pipeline)),
                ResourceSpec::Target(target) => {
                    let entry = self.entry_for(key, target);
                    targets.insert(key.name.clone(), entry);
                }
                ResourceSpec::Service(_) | ResourceSpec::Organisation(_) => (),
            }
        }
        pipelines.sort_by(|left, right| left.0.cmp(right.0));
        for (key, pipeline) in pipelines {
            add_pipeline(&mut models, &targets, key, pipeline);
        }
        self.models = models;
        self.targets = targets;
        self.load_sums = LoadSums::default();
        for entry in self.targets.values() {
            self.load_sums.add(entry.load);
        }
    }

    fn entry_for(&self, key: &ResourceKey, spec: &TargetSpec) -> TargetEntry {
        let fresh = TargetEntry::new(spec.clone());
        match self.targets.get(&key.name) {
            Some(known) if known.spec.address == spec.address => TargetEntry {
                spec: spec.clone(),
                ..known.clone()
            },
            Some(known) => TargetEntry {
                runs: known.runs,
                steps: known.steps,
                ..fresh
            },
            None => fresh,
        }
    }
}

fn add_pipeline(
    models: &mut BTreeMap<ModelId, ModelRoutes>,
    targets: &FastMap<TargetId, TargetEntry>,
    key: &ResourceKey,
    pipeline: &PipelineSpec,
) {
    if !is_contiguous(&pipeline.stages) {
        return;
    }
    let Some(routes) = models.get_mut(&pipeline.model) else {
        return;
    };
    let declared = DeclaredPipeline {
        id: key.name.clone(),
        stages: pipeline.stages.clone(),
        rate: bottleneck_rate(&pipeline.stages, targets),
    };
    routes
        .versions
        .entry(pipeline.version.clone())
        .or_default()
        .push(declared);
}

/// Returns the tokens per second of the stage whose declared targets have the lowest
/// total rate.
fn bottleneck_rate(stages: &[StageSpec], targets: &FastMap<TargetId, TargetEntry>) -> f64 {
    let stage_rate = |stage: &StageSpec| -> f64 {
        stage
            .targets
            .iter()
            .filter_map(|target| targets.get(target))
            .map(|entry| entry.spec.tokens_per_second)
            .sum()
    };
    stages
        .iter()
        .map(stage_rate)
        .reduce(f64::min)
        .unwrap_or(0.0)
}

/// Returns whether the layer ranges start at zero and follow each other without gap or
/// overlap.
///
/// A gap would skip a layer in every response and show only as wrong text. Declarations
/// are validated before they are accepted; this check also holds for one that passed by
/// mistake, since plans are made only from pipelines that pass it.
fn is_contiguous(stages: &[StageSpec]) -> bool {
    let mut expected = 0;
    for stage in stages {
        if stage.first_layer != expected || stage.last_layer < stage.first_layer {
            return false;
        }
        expected = stage.last_layer + 1;
    }
    !stages.is_empty()
}
