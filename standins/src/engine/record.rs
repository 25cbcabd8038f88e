//! Record of the work that an engine performed, for history checks.

use jackdawwick::ids::{
    AttemptNumber, LayerIndex, ModelId, RequestId, StageIndex, TokenPosition, VersionId,
};
use serde::{Deserialize, Serialize};

/// Whether a position was computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepKind {
    /// The layers ran.
    Ran,
    /// The recorded output was returned; no layer ran.
    Resumed,
}

/// One position of one step, as the engine processed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Sequence number over all stand-ins of one process.
    pub order: u64,
    /// Request of the step.
    pub request: RequestId,
    /// Attempt that opened the session.
    pub attempt: AttemptNumber,
    /// Stage of the pipeline.
    pub stage: StageIndex,
    /// Model that ran.
    pub model: ModelId,
    /// Version that ran.
    pub version: VersionId,
    /// Layers in the order in which they ran; empty for a resumed position.
    pub layers: Vec<LayerIndex>,
    /// Position in the sequence.
    pub position: TokenPosition,
    /// Input given for the position.
    pub input: u64,
    /// Output that was computed or returned from the record.
    pub output: u64,
    /// Whether the position was computed.
    pub kind: StepKind,
    /// Microseconds since the Unix epoch.
    pub at_micros: u64,
}
