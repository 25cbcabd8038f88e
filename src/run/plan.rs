//! The input of a run.

use std::time::Instant;

use crate::ids::{LayerIndex, ModelId, RequestId, TargetId, TokenValue, VersionId};

/// A request with the route chosen for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlan {
    /// Id of this run, part of every label. It must be new for each run, even if a
    /// request continues on another entry host: the first host may be suspended and
    /// resume, and two writers in one session would each receive the other's outputs.
    pub request: RequestId,
    /// The requested model.
    pub model: ModelId,
    /// The model version, which stays the same during the run.
    pub version: VersionId,
    /// The stages in order, with one target each; their layer ranges cover the model
    /// without gaps.
    pub stages: Vec<PlannedStage>,
    /// Prompt; if the caller resumes, followed by the tokens that an earlier entry host
    /// delivered.
    pub prompt: Vec<TokenValue>,
    /// Number of tokens that the caller already received.
    pub already_delivered: u64,
    /// Number of tokens to generate in total, including those already delivered.
    pub max_tokens: u64,
    /// When the run is given up.
    pub deadline: Instant,
    /// Priority that is passed to the engines.
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
