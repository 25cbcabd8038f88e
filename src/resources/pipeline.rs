//! Pipelines: ordered stages that together hold all layers of a model version.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{LayerIndex, ModelId, TargetId, VersionId};

/// Stages of targets that serve one version of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PipelineSpec {
    /// Model served.
    pub model: ModelId,
    /// Version served.
    pub version: VersionId,
    /// Stages in order; their layer ranges cover the model without gap or overlap.
    pub stages: Vec<StageSpec>,
}

/// One stage: a layer range and the targets of which each holds the whole range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StageSpec {
    /// First layer, inclusive.
    pub first_layer: LayerIndex,
    /// Last layer, inclusive.
    pub last_layer: LayerIndex,
    /// Targets that can run this stage; a route uses one of them.
    pub targets: Vec<TargetId>,
}
