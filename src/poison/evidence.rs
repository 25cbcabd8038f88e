//! Evidence on poison requests that hosts exchange.

use std::time::Duration;

use crate::delta_sync::DeltaBounds;
use crate::ids::{RequestKey, TargetKey};

/// An observation of a request by one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonEvidence {
    /// The request.
    pub request: RequestKey,
    /// What was observed.
    pub event: PoisonEvent,
    /// Time since the observation.
    pub age: Duration,
}

/// Outcome of a request on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonEvent {
    /// The process of this target ended as the request began to run there.
    Ended(TargetKey),
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
