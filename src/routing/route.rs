//! What is asked of the router and what it answers.

use std::time::{Duration, Instant};

use crate::ids::{ModelId, PipelineId, TargetId, VersionId};
use crate::reason::RefusalReason;
use crate::run::PlannedStage;

/// A request as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// Model asked for.
    pub model: ModelId,
    /// Version to stay on, if the run has begun; else the offered one.
    pub version: Option<VersionId>,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// When the answer is worthless.
    pub deadline: Instant,
    /// Targets not to be used.
    pub excluded: Vec<TargetId>,
}

/// A whole pipeline chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRoute {
    /// Pipeline used.
    pub pipeline: PipelineId,
    /// Version served.
    pub version: VersionId,
    /// One target a stage.
    pub stages: Vec<PlannedStage>,
    /// Why this one.
    pub score: RouteScore,
}

/// The parts of a route's estimated completion time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RouteScore {
    /// Waiting in the engines' queues.
    pub queue: Duration,
    /// Prompt processing, less what the prefix caches hold.
    pub prefill: Duration,
    /// Decoding at the rate of the slowest stage.
    pub decode: Duration,
    /// Links between the entry host and the stages.
    pub links: Duration,
}

impl RouteScore {
    /// Estimated time to completion.
    pub fn total(&self) -> Duration {
        self.queue + self.prefill + self.decode + self.links
    }
}

/// Why there is no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRefusal {
    /// The reason, as counted.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Duration,
}
