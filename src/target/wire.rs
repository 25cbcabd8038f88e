//! Bodies of calls to targets: JSON over HTTP/1.1.
//!
//! | call | body | response |
//! |---|---|---|
//! | `POST /v1/steps` | [`StepRequest`] | 200 [`StepResponse`], else [`TargetRefusal`] |
//! | `DELETE /v1/sessions/{session}` | none | 204, also when unknown |
//! | `GET /v1/sessions/{session}/cache` | none | 200 [`CacheExport`] or 404 |
//! | `PUT /v1/sessions/{session}/cache` | [`CacheExport`] | 204 |
//! | `GET /v1/load` | none | 200 [`LoadReport`] |
//! | `GET /v1/state` | none | 200 [`TargetState`] |
//! | `PUT /v1/state` | [`StateOrder`] | 200 [`TargetState`], 412 if the fencing number is old |
//! | `GET /v1/cache-events?from=N` | none | 200 [`CacheEvents`] |
//! | `POST /v1/calls/{operation}` | the caller's JSON | the service's response |
//!
//! Steps are idempotent: a step at a position that the session has already run returns
//! the recorded outputs, and one ahead of the session is refused with 409.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{
    AttemptNumber, LayerIndex, LogOffset, ModelId, RequestId, StageIndex, TokenPosition, VersionId,
};

/// Header that carries the request id to a plain service.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the idempotency key to a plain service.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Identifies the part of one attempt that runs on one stage; echoed in each response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
pub struct StepLabel {
    /// Request that the step belongs to.
    pub request: RequestId,
    /// Attempt that opened the session on this stage.
    pub attempt: AttemptNumber,
    /// Stage of the pipeline.
    pub stage: StageIndex,
}

impl StepLabel {
    /// Returns the engine's session name for this label.
    pub fn session(&self) -> String {
        format!("{}.{}.{}", self.request, self.attempt, self.stage)
    }
}

/// Request to run consecutive positions through a layer range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StepRequest {
    /// Request, attempt and stage.
    pub label: StepLabel,
    /// Model to run.
    pub model: ModelId,
    /// Version to run.
    pub version: VersionId,
    /// First layer, inclusive.
    pub first_layer: LayerIndex,
    /// Last layer, inclusive.
    pub last_layer: LayerIndex,
    /// Position of the first input.
    pub position: TokenPosition,
    /// One value per position: token values for the first stage, the outputs of the
    /// previous stage for the others.
    pub inputs: Vec<u64>,
    /// A higher priority goes first in the engine's batch.
    #[serde(default)]
    pub priority: u8,
}

/// Outputs for the positions of a [`StepRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StepResponse {
    /// Copied from the request.
    pub label: StepLabel,
    /// Copied from the request.
    pub position: TokenPosition,
    /// One output per position: values for the next stage, or token values if the range
    /// ends with the model's last layer.
    pub outputs: Vec<u64>,
}

/// Reason of a refusal, sent only if no part of the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TargetRefusalKind {
    /// The position is ahead of what the session has run, or the session is unknown.
    UnknownPosition,
    /// Model, version or layers are not loaded.
    NotLoaded,
    /// The target is leaving and accepts no new sessions.
    Leaving,
    /// The batch queue is full.
    Overloaded,
    /// The fencing number is older than one seen.
    OldFencing,
    /// The body could not be parsed.
    Malformed,
}

/// Body of a target's refusal (status 4xx or 503).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetRefusal {
    /// Reason of the refusal.
    pub refused: TargetRefusalKind,
    /// Next position that the session can run, if known.
    #[serde(default)]
    pub next_position: Option<TokenPosition>,
}

/// KV cache of a session, opaque to the router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CacheExport {
    /// Model that filled the cache.
    pub model: ModelId,
    /// Version that filled the cache.
    pub version: VersionId,
    /// First layer held.
    pub first_layer: LayerIndex,
    /// Last layer held.
    pub last_layer: LayerIndex,
    /// End of the held positions, exclusive; they begin at zero.
    pub next_position: TokenPosition,
    /// Opaque contents, one entry per layer.
    pub layers: Vec<u64>,
    /// Outputs for the held positions, so that a step can be resumed.
    pub outputs: Vec<u64>,
}

/// Load that a target reports; it lags behind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct LoadReport {
    /// Running steps or calls.
    pub running: u32,
    /// Waiting steps or calls.
    pub waiting: u32,
    /// Tokens per second over the last seconds.
    pub tokens_per_second: f64,
    /// Age of these figures when they were sent, in milliseconds.
    pub age_ms: u64,
}

/// A model version with a layer range, as loaded on a target.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
pub struct LoadedRange {
    /// Loaded model.
    pub model: ModelId,
    /// Loaded version.
    pub version: VersionId,
    /// First layer, inclusive.
    pub first_layer: LayerIndex,
    /// Last layer, inclusive.
    pub last_layer: LayerIndex,
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// The role of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompt processing and decoding.
    #[default]
    Mixed,
    /// Prompt processing only.
    Prefill,
    /// Decoding only.
    Decode,
}

/// State of a target: what it holds, and whether it accepts new sessions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct TargetState {
    /// Ranges that are loaded and can serve.
    pub loaded: Vec<LoadedRange>,
    /// Ranges whose weights are still being loaded.
    #[serde(default)]
    pub loading: Vec<LoadedRange>,
    /// Role of the engine.
    #[serde(default)]
    pub role: EngineRole,
    /// Whether the target refuses new sessions.
    #[serde(default)]
    pub leaving: bool,
    /// Highest fencing number seen, for targets that check it.
    #[serde(default)]
    pub fencing: Option<LogOffset>,
}

/// Declarative order to reach a state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StateOrder {
    /// Ranges to hold; all others are unloaded.
    pub loaded: Vec<LoadedRange>,
    /// Role to assume.
    #[serde(default)]
    pub role: EngineRole,
    /// Fencing number of the lease under which the order is given.
    pub fencing: LogOffset,
    /// Time in milliseconds after which the target drops the order if it has not begun to
    /// execute it.
    pub deadline_ms: u64,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct CacheEvent {
    /// Number of the event; a gap means that events were dropped.
    pub number: u64,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events from a number on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
pub struct CacheEvents {
    /// Events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
    /// Number from which the next request continues.
    pub next: u64,
}
