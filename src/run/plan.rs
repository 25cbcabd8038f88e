//! What a run sets out to do.

use std::time::Instant;

use crate::ids::{LayerIndex, ModelId, RequestId, TargetId, TokenValue, VersionId};

/// A request with the route chosen for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlan {
    /// Name of this run, in every label. It must be new for each run, also of
    /// one request that continues on another entry host: the first host may be
    /// paused and go on, and two writers in one session would each take the
    /// other's outputs.
    pub request: RequestId,
    /// Model asked for.
    pub model: ModelId,
    /// Version that the whole run stays on.
    pub version: VersionId,
    /// One target a stage, in order; the layer ranges tile the model.
    pub stages: Vec<PlannedStage>,
    /// Prompt, with the tokens that an earlier entry host already delivered
    /// appended if the caller resumes.
    pub prompt: Vec<TokenValue>,
    /// Number of tokens that the caller already holds.
    pub already_delivered: u64,
    /// Tokens to generate in all, including those already delivered.
    pub max_tokens: u64,
    /// When the run is given up.
    pub deadline: Instant,
    /// Priority passed to the engines.
    pub priority: u8,
}

/// One stage of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedStage {
    /// Target that runs the stage.
    pub target: TargetId,
    /// First layer, inclusive.
    pub first_layer: LayerIndex,
    /// Last layer, inclusive.
    pub last_layer: LayerIndex,
}
