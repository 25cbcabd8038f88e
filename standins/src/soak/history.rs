//! History of what callers, targets and the soak itself recorded.

use std::time::{Duration, Instant};

use super::configuration::RetryBound;
use crate::check::AdvertisedLimit;

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream that may be resumed.
    Stream,
    /// A stream that may run at most once.
    StreamOnce,
}

impl CallKind {
    /// Returns whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::StreamOnce)
    }

    /// Returns whether the call may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream)
    }
}

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response was received.
    Completed {
        /// Status code of the response.
        status: u16,
        /// Whether the response carries a target's proof.
        sealed: bool,
        /// Whether the response carries the id of the call and the body that belongs to
        /// this id.
        matching: bool,
    },
    /// The connection ended in the middle of the response.
    Interrupted,
    /// The connection ended before a response began.
    Unanswered,
    /// No connection could be opened.
    NoConnection,
    /// The caller gave up at its deadline.
    TimedOut,
    /// A probe for the active configuration, checked as a [`ProbeRecord`].
    Probe,
}

/// One call of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// Unique id of the call.
    pub id: String,
    /// Kind of the call.
    pub kind: CallKind,
    /// Index of the entry host that it was sent to.
    pub host: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Whether the response says that the call has not run.
    pub not_run: bool,
}

/// A call that a target began to run.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Id of the call.
    pub id: String,
    /// Id of the target.
    pub target: String,
    /// When the call arrived.
    pub at: Instant,
    /// Whether the engines of its path held every layer once, in order.
    pub layers_covered: bool,
    /// Whether the target responds with a failure, or not at all.
    pub failed: bool,
}

/// An attempt of a call that reached a target, whether or not the target ran it.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    /// Id of the call.
    pub id: String,
    /// Id of the target.
    pub target: String,
    /// When the call arrived.
    pub arrived: Instant,
    /// When the target responded.
    pub responded: Instant,
    /// The pause that the response requests, if the response reached the host.
    pub pause: Option<Duration>,
    /// Whether the response states that the target is leaving, and reached the host.
    pub leaving: bool,
}

/// A call whose target ended, or broke the connection itself, while it ran the call.
#[derive(Debug, Clone)]
pub struct TargetBreak {
    /// Id of the call.
    pub id: String,
    /// When the target ended or broke the connection.
    pub at: Instant,
}

/// A period in which connections of a host end for a reason outside the host, or at the
/// end of its grace period.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLoss {
    /// Index of the host.
    pub host: usize,
    /// Which connections end.
    pub peer: LossPeer,
    /// When the first of them may end.
    pub from: Instant,
    /// When the last of them may end.
    pub until: Instant,
}

/// Peers of the connections that a host loses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossPeer {
    /// Callers.
    Callers,
    /// Targets.
    Targets,
}

/// A target that announced that it leaves.
#[derive(Debug, Clone)]
pub struct TargetDeparture {
    /// Id of the target.
    pub target: String,
    /// When the announcement was in the log.
    pub at: Instant,
}

/// A limit that a target advertised.
#[derive(Debug, Clone)]
pub struct TargetLimit {
    /// Id of the target.
    pub target: String,
    /// The limit, and when it was advertised.
    pub limit: AdvertisedLimit,
}

/// One probe for the configuration that is active at a host.
#[derive(Debug, Clone, Copy)]
pub struct ProbeRecord {
    /// Index of the host.
    pub host: usize,
    /// Number of the process of the host that responded.
    pub incarnation: u32,
    /// The version that was probed.
    pub version: u64,
    /// Whether this version, or a later one, was active.
    pub active: bool,
    /// When the version was in the log.
    pub published: Instant,
    /// When the probe was sent.
    pub sent: Instant,
    /// When the response was received.
    pub received: Instant,
}

/// What a disturbance affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceScope {
    /// One entry host: its process or its links.
    Host(usize),
    /// The log service, for all hosts.
    Log,
    /// A target.
    Target,
}

/// A period in which a fault was injected.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// What it affected.
    pub scope: DisturbanceScope,
    /// Whether it is a regular operation: a stop by SIGTERM and the restart after it.
    pub planned: bool,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// Everything that a run of the soak recorded.
#[derive(Debug, Clone, Default)]
pub struct SoakHistory {
    /// Calls, as callers saw them.
    pub calls: Vec<CallRecord>,
    /// Runs, as targets saw them.
    pub runs: Vec<RunRecord>,
    /// Attempts, as targets saw them.
    pub attempts: Vec<AttemptRecord>,
    /// Calls that targets broke.
    pub breaks: Vec<TargetBreak>,
    /// Connections that hosts lost.
    pub losses: Vec<ConnectionLoss>,
    /// Targets that left.
    pub departures: Vec<TargetDeparture>,
    /// Limits that targets advertised.
    pub limits: Vec<TargetLimit>,
    /// Probes for the active configuration.
    pub probes: Vec<ProbeRecord>,
    /// Hosts whose last process has ended, and when.
    pub ended_hosts: Vec<(usize, Instant)>,
    /// What was disturbed, and when.
    pub disturbances: Vec<Disturbance>,
    /// Processes that exited unexpectedly or did not exit when stopped.
    pub unexpected_exits: Vec<String>,
    /// Whether every host served again after all faults had ended.
    pub recovered: bool,
    /// Bound on calls that reach targets again.
    pub retry_bound: RetryBound,
}

impl SoakHistory {
    /// Returns whether a call was sent after the last process of its host had ended.
    pub(super) fn is_sent_after_end(&self, call: &CallRecord) -> bool {
        let mut ended = self.ended_hosts.iter();
        ended.any(|(host, at)| *host == call.host && call.sent > *at)
    }
}
