//! Desired state of each engine, derived from declared resources.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ModelId, TargetId};
use crate::resources::{FencingSupport, ModelSpec, PipelineSpec, StageSpec};
use crate::target::wire::{EngineRole, LoadedRange};

/// The state that a target should be in.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DesiredState {
    /// Ranges to load.
    pub loaded: BTreeSet<LoadedRange>,
    /// Role to take.
    pub role: EngineRole,
    /// Whether the target rejects old fencing numbers.
    pub fencing: FencingSupport,
}

/// Returns the desired state of every engine of one availability zone.
///
/// `engines` are the engines of the zone with their fencing support. Engines that no
/// pipeline names are desired empty.
pub fn desired_states<'a, P, F>(
    engines: &BTreeMap<TargetId, FencingSupport>,
    pipelines: P,
    find_model: F,
) -> BTreeMap<TargetId, DesiredState>
where
    P: IntoIterator<Item = &'a PipelineSpec>,
    F: Fn(&ModelId) -> Option<&'a ModelSpec>,
{
    let mut states: BTreeMap<TargetId, DesiredState> = engines
        .iter()
        .map(|(target, fencing)| (target.clone(), empty_state(*fencing)))
        .collect();
    for pipeline in pipelines {
        let adapters = find_model(&pipeline.model)
            .and_then(|model| model.version(&pipeline.version))
            .map(|version| version.adapters.clone())
            .unwrap_or_default();
        for stage in &pipeline.stages {
            add_stage(&mut states, pipeline, stage, &adapters);
        }
    }
    states
}

fn empty_state(fencing: FencingSupport) -> DesiredState {
    DesiredState {
        fencing,
        ..DesiredState::default()
    }
}

fn add_stage(
    states: &mut BTreeMap<TargetId, DesiredState>,
    pipeline: &PipelineSpec,
    stage: &StageSpec,
    adapters: &[String],
) {
    for target in &stage.targets {
        let Some(state) = states.get_mut(target) else {
            continue;
        };
        state.loaded.insert(LoadedRange {
            model: pipeline.model.clone(),
            version: pipeline.version.clone(),
            first_layer: stage.first_layer,
            last_layer: stage.last_layer,
            adapters: adapters.to_vec(),
        });
    }
}
