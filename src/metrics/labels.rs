//! The closed sets of label values.

use prometheus_client::encoding::EncodeLabelSet;

use crate::records::{ALLOTMENT_STREAM, CLAIM_STREAM, DECLARATION_STREAM, LEASE_STREAM};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Generation of tokens by a model.
    Generate,
    /// A call of a plain service.
    Service,
}

impl RequestKind {
    pub(super) const ALL: [Self; 2] = [Self::Generate, Self::Service];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Generate => "generate",
            Self::Service => "service",
        }
    }
}

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response was delivered.
    Whole,
    /// The request was refused before anything ran.
    NotRun,
    /// The request was abandoned when it may have run.
    MayHaveRun,
    /// The caller disconnected first.
    CallerGone,
}

impl RequestOutcome {
    pub(super) const ALL: [Self; 4] = [
        Self::Whole,
        Self::NotRun,
        Self::MayHaveRun,
        Self::CallerGone,
    ];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Why a response of a target was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropCause {
    /// The response matched no pending step: it was late, mismatched or a duplicate.
    Unmatched,
    /// The run had ended.
    RunEnded,
    /// The response could not be parsed.
    Unreadable,
}

impl DropCause {
    pub(super) const ALL: [Self; 3] = [Self::Unmatched, Self::RunEnded, Self::Unreadable];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unmatched => "unmatched",
            Self::RunEnded => "run_ended",
            Self::Unreadable => "unreadable",
        }
    }
}

/// Result of a claim on an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimResult {
    /// This host holds the key.
    Won,
    /// Another host holds the key.
    Lost,
    /// The claim did not appear in the log in time and was withdrawn.
    Withdrawn,
    /// The log could not be written.
    Unavailable,
}

impl ClaimResult {
    pub(super) const ALL: [Self; 4] = [Self::Won, Self::Lost, Self::Withdrawn, Self::Unavailable];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Withdrawn => "withdrawn",
            Self::Unavailable => "unavailable",
        }
    }
}

/// Result of an append to the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log returned an offset.
    Done,
    /// The log rejected the append.
    Failed,
    /// No reply arrived; the record may be in the log.
    Lost,
}

impl AppendOutcome {
    pub(super) const ALL: [Self; 3] = [Self::Done, Self::Failed, Self::Lost];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// All streams that the daemon appends to.
pub(super) const STREAMS: [&str; 4] = [
    DECLARATION_STREAM,
    LEASE_STREAM,
    CLAIM_STREAM,
    ALLOTMENT_STREAM,
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabel {
    pub(super) reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub(super) kind: &'static str,
    pub(super) outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct KindLabel {
    pub(super) kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CauseLabel {
    pub(super) cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct SilenceLabels {
    pub(super) cause: &'static str,
    pub(super) action: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ClaimLabel {
    pub(super) result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct AppendLabels {
    pub(super) stream: &'static str,
    pub(super) outcome: &'static str,
}

/// A service and an availability zone that gets its requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ZoneLabels {
    pub(super) service: String,
    pub(super) zone: String,
}
