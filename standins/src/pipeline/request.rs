//! One request on its way over a path.

use std::time::Duration;

use jackdawwick::fleet::LayerRange;

use super::engine::EngineIndex;

/// A part of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathPart {
    /// The engine.
    pub engine: EngineIndex,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// What a caller wants.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSettings {
    /// Its id.
    pub id: String,
    /// The path.
    pub path: Vec<PathPart>,
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens of the answer, those that the caller has already left out.
    pub answer: f64,
}

/// What a request does at its part of the path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RequestPhase {
    /// So many tokens are still to be read at this part.
    Prefill { left: f64 },
    /// One step after the other.
    Decode,
}

#[derive(Debug, Clone)]
pub(super) struct SimRequest {
    pub(super) path: Vec<PathPart>,
    pub(super) prompt: f64,
    pub(super) answer: f64,
    pub(super) generated: f64,
    pub(super) phase: RequestPhase,
    /// Index of the part where the request is, or is on the way to.
    pub(super) hop: usize,
    /// Parts whose engine holds memory for it, and how much.
    pub(super) held: Vec<f64>,
    /// Grows with each change of the path: what was under way before is void.
    pub(super) epoch: u64,
    /// Order of arrival; the newest is preempted first.
    pub(super) order: u64,
    /// Since when it waits for a dead engine.
    pub(super) stalled: Option<Duration>,
    /// Parts that must read again what the request holds so far.
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
