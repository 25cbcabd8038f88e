//! What callers, targets and the soak itself saw.

use std::time::Instant;

use crate::check::AdvertisedLimit;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A stream that may be resumed.
    Stream,
}

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer came.
    Answered {
        /// Its status.
        status: u16,
        /// It bore a target's proof.
        sealed: bool,
        /// It bore the id of the call, and the body was the one of that id.
        matching: bool,
    },
    /// The connection ended before the whole answer.
    Interrupted,
    /// There was no connection.
    NoConnection,
    /// The caller left at its deadline.
    TimedOut,
    /// A look at the configuration in force, judged as a [`ProbeRecord`].
    Probe,
}

/// One call of a caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Unique id of the call.
    pub id: String,
    /// Its kind.
    pub kind: CallKind,
    /// Index of the entry host that it was sent to.
    pub host: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// A call that a target began to run.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// The call.
    pub id: String,
    /// The target.
    pub target: String,
    /// When it arrived.
    pub at: Instant,
    /// Whether the engines of its path held every layer once, in order.
    pub layers_covered: bool,
}

/// A target that said that it leaves.
#[derive(Debug, Clone)]
pub struct TargetDeparture {
    /// The target.
    pub target: String,
    /// When the log had it.
    pub at: Instant,
}

/// A limit that a target named.
#[derive(Debug, Clone)]
pub struct TargetLimit {
    /// The target.
    pub target: String,
    /// The limit, and when it was named.
    pub limit: AdvertisedLimit,
}

/// One look at which configuration a host has in force.
#[derive(Debug, Clone, Copy)]
pub struct ProbeRecord {
    /// Index of the host.
    pub host: usize,
    /// Which process of that host answered.
    pub incarnation: u32,
    /// The version that was asked for.
    pub version: u64,
    /// Whether that version, or a later one, was in force.
    pub active: bool,
    /// When the log had the version.
    pub published: Instant,
    /// When the question was sent.
    pub sent: Instant,
    /// When the answer came.
    pub answered: Instant,
}

/// What a disturbance touches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceScope {
    /// One entry host, its process or its links.
    Host(usize),
    /// The log service, for all.
    Log,
    /// A target.
    Target,
}

/// A time in which something was made to misbehave.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// What it touched.
    pub scope: DisturbanceScope,
    /// Whether it is ordinary work: a stop by SIGTERM and the start after it.
    pub planned: bool,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// Everything that was seen.
#[derive(Debug, Clone, Default)]
pub struct SoakHistory {
    /// Calls, as callers saw them.
    pub calls: Vec<CallRecord>,
    /// Runs, as targets saw them.
    pub runs: Vec<RunRecord>,
    /// Targets that left.
    pub departures: Vec<TargetDeparture>,
    /// Limits that targets named.
    pub limits: Vec<TargetLimit>,
    /// Looks at the configuration in force.
    pub probes: Vec<ProbeRecord>,
    /// What was made to misbehave, and when.
    pub disturbances: Vec<Disturbance>,
    /// Processes that ended though nobody told them to.
    pub unexpected_exits: Vec<String>,
    /// Whether every host served again once all faults were over.
    pub recovered: bool,
}
