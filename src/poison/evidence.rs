//! What hosts tell each other of poison requests.

use std::time::Duration;

use crate::delta_sync::DeltaBounds;
use crate::ids::{RequestKey, TargetKey};

/// Something that one host saw of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonEvidence {
    /// The request.
    pub request: RequestKey,
    /// What became of it.
    pub event: PoisonEvent,
    /// Time since then.
    pub age: Duration,
}

/// What became of a request on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonEvent {
    /// The process of this target ended as the request began to run there.
    Ended(TargetKey),
    /// A target ran it and lives on: nothing from before speaks against it.
    Survived,
}

/// The notes that a host has for another one, and what it has heard of that one's.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PoisonDelta {
    /// The versions that it covers.
    pub bounds: DeltaBounds,
    /// The notes of the records that changed in between.
    pub evidence: Vec<PoisonEvidence>,
}
