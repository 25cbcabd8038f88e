//! Pipelines: ordered stages that together hold every layer of a version.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{LayerIndex, ModelId, TargetId, VersionId};

/// Stages over targets that serve one version of one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PipelineSpec {
    /// Model served.
    pub model: ModelId,
    /// Version served.
    pub version: VersionId,
    /// Stages in order; their layer ranges tile the model.
    pub stages: Vec<StageSpec>,
}

/// One stage: a layer range and the targets that each hold it.
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
