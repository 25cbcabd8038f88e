//! The closed sets of label values.

use prometheus_client::encoding::EncodeLabelSet;

use crate::records::{ALLOTMENT_STREAM, CLAIM_STREAM, DECLARATION_STREAM, LEASE_STREAM};

/// Shape of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Tokens from a model.
    Generate,
    /// A call of a plain service.
    Service,
}

impl RequestKind {
    pub(super) const ALL: [Self; 2] = [Self::Generate, Self::Service];

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Generate => "generate",
            Self::Service => "service",
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was given.
    Whole,
    /// It was refused before anything ran.
    NotRun,
    /// It was given up when it may have run.
    MayHaveRun,
    /// The caller went away first.
    CallerGone,
}

impl RequestOutcome {
    pub(super) const ALL: [Self; 4] = [
        Self::Whole,
        Self::NotRun,
        Self::MayHaveRun,
        Self::CallerGone,
    ];

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Why an answer of a target was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropCause {
    /// It matched no step that was awaited: late, crossed or doubled.
    Unmatched,
    /// The run had ended.
    RunEnded,
    /// It could not be read.
    Unreadable,
}

impl DropCause {
    pub(super) const ALL: [Self; 3] = [Self::Unmatched, Self::RunEnded, Self::Unreadable];

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unmatched => "unmatched",
            Self::RunEnded => "run_ended",
            Self::Unreadable => "unreadable",
        }
    }
}

/// How a claim on an idempotency key ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimResult {
    /// This host holds the key.
    Won,
    /// Another host holds it.
    Lost,
    /// It did not show up in time and was withdrawn.
    Withdrawn,
    /// The log could not be written.
    Unavailable,
}

impl ClaimResult {
    pub(super) const ALL: [Self; 4] = [Self::Won, Self::Lost, Self::Withdrawn, Self::Unavailable];

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Withdrawn => "withdrawn",
            Self::Unavailable => "unavailable",
        }
    }
}

/// What became of an append to the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log gave an offset.
    Done,
    /// The log refused it.
    Failed,
    /// No answer came; it may be in the log.
    Lost,
}

impl AppendOutcome {
    pub(super) const ALL: [Self; 3] = [Self::Done, Self::Failed, Self::Lost];

    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Lost => "lost",
        }
    }
}

/// Every stream that the daemon appends to.
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
pub(super) struct ClaimLabel {
    pub(super) result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct AppendLabels {
    pub(super) stream: &'static str,
    pub(super) outcome: &'static str,
}
