//! One request on its path.

use std::time::Duration;

use jackdawwick::fleet::LayerRange;

use super::engine::EngineIndex;

/// A part of a path: one engine and the layers that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathPart {
    /// The engine.
    pub engine: EngineIndex,
    /// The layers that the engine runs.
    pub layers: LayerRange,
}

/// Parameters of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSettings {
    /// Request id.
    pub id: String,
    /// The path.
    pub path: Vec<PathPart>,
    /// Number of prompt tokens.
    pub prompt: f64,
    /// Number of tokens to generate, without those that the caller already has.
    pub answer: f64,
}

/// Phase of a request at its part of the path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RequestPhase {
    /// The part reads tokens; `left` are still to be read.
    Prefill { left: f64 },
    /// The part runs one decode step after the other.
    Decode,
}

#[derive(Debug, Clone)]
pub(super) struct SimRequest {
    pub(super) path: Vec<PathPart>,
    pub(super) prompt: f64,
    pub(super) answer: f64,
    pub(super) generated: f64,
    pub(super) phase: RequestPhase,
    /// Whether the request waits for a slot of its first engine.
    pub(super) queued: bool,
    /// Index of the part at which the request is or to which it is being transferred.
    pub(super) hop: usize,
    /// Memory that the engine of each part holds for the request.
    pub(super) held: Vec<f64>,
    /// Changes with each change of the path: transfers that began before are void.
    pub(super) epoch: u64,
    /// Order of arrival; the newest request is preempted first.
    pub(super) order: u64,
    /// Time since which the request waits for a dead engine.
    pub(super) stalled: Option<Duration>,
    /// Parts that must read the context of the request again.
    pub(super) unread: Vec<bool>,
}

impl SimRequest {
    pub(super) fn context(&self) -> f64 {
        self.prompt + self.generated
    }

    pub(super) fn part(&self) -> PathPart {
        self.path[self.hop]
    }

    pub(super) fn is_begun(&self) -> bool {
        self.generated > 0.0
    }
}
