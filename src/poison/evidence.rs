//! Evidence on requests and parts of prompts that may crash targets, as hosts exchange it.

use std::time::Duration;

use crate::delta_sync::DeltaBounds;
use crate::ids::SuspectKey;

/// An observation of a request, or of a part of its prompt, by one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonEvidence {
    /// The request or part.
    pub suspect: SuspectKey,
    /// What was observed.
    pub event: PoisonEvent,
    /// Time since the observation.
    pub age: Duration,
}

/// Outcome of a request, or of one with a part, on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonEvent {
    /// The process of a target ended as the request began to run there. The number is the
    /// target's key for a request, and an [`EndSource`](super::EndSource) for a part.
    Ended(u64),
    /// A target ran the request and stayed up, which cancels all earlier evidence.
    Survived,
}

/// Changes of a host's poison table for one peer, and how far the peer's own deltas have
/// been applied.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoisonDelta {
    /// The versions that the delta covers.
    pub bounds: DeltaBounds,
    /// Evidence of the records that changed between these versions.
    pub evidence: Vec<PoisonEvidence>,
}
