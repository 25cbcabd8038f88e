//! Requests to the router and its results.

use std::time::{Duration, Instant};

use crate::ids::{ModelId, PipelineId, TargetId, VersionId};
use crate::reason::RefusalReason;
use crate::run::PlannedStage;

/// A request as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRequest {
    /// The requested model.
    pub model: ModelId,
    /// Version that a started run stays on; `None` for the offered one.
    pub version: Option<VersionId>,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub max_tokens: u64,
    /// Time after which a response is useless.
    pub deadline: Instant,
    /// Targets not to use.
    pub excluded: Vec<TargetId>,
}

/// A whole pipeline chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRoute {
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The version that it serves.
    pub version: VersionId,
    /// One target per stage.
    pub stages: Vec<PlannedStage>,
    /// The estimate by which the route was chosen.
    pub score: RouteScore,
}

/// The parts of a route's estimated completion time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RouteScore {
    /// Waiting in the engines' queues.
    pub queue: Duration,
    /// Prompt processing that the prefix caches do not save.
    pub prefill: Duration,
    /// Time of decoding in the slots of all stages.
    pub decode: Duration,
    /// Links between the entry host and the stages.
    pub links: Duration,
}

impl RouteScore {
    /// Returns the estimated time to completion.
    pub fn total(&self) -> Duration {
        self.queue + self.prefill + self.decode + self.links
    }
}

/// The reason why there is no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRefusal {
    /// The reason as counted in metrics.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}
