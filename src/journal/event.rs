//! The decisions in the journal, and their texts.

use std::fmt;
use std::time::Duration;

use crate::ids::{
    HostId, LogOffset, OperatorId, OrganisationId, PipelineId, StageIndex, TargetId, TokenPosition,
    VersionId,
};
use crate::metrics::DropCause;
use crate::reason::{RefusalReason, RetryReason};
use crate::routing::RouteScore;
use crate::verdict::RunVerdict;

/// One decision with its reason.
#[derive(Debug, Clone, PartialEq)]
pub enum JournalEvent {
    /// The request may start within its organisation's capacity.
    Admitted {
        /// Organisation of the request.
        organisation: OrganisationId,
    },
    /// The request waits in its organisation's queue.
    Queued {
        /// Organisation of the request.
        organisation: OrganisationId,
    },
    /// The request was refused.
    Refused {
        /// Reason.
        reason: RefusalReason,
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// Delay after which the caller may retry, if one was sent.
        retry_after: Option<Duration>,
    },
    /// A pipeline was chosen, with one target for each stage.
    Routed {
        /// Chosen pipeline.
        pipeline: PipelineId,
        /// Version that the pipeline serves.
        version: VersionId,
        /// One target per stage.
        targets: Vec<TargetId>,
        /// Estimated time by which the path was chosen.
        score: RouteScore,
    },
    /// A target of a plain service was chosen.
    ServiceRouted {
        /// Chosen target.
        target: TargetId,
    },
    /// A step or call is retried.
    Retried {
        /// Stage of the step; 0 for a plain service.
        stage: StageIndex,
        /// Target of the retry.
        target: TargetId,
        /// Reason.
        reason: RetryReason,
    },
    /// A stage is moved to another target.
    StageReplaced {
        /// Stage that is moved.
        stage: StageIndex,
        /// New target; `None` if no usable one is left.
        target: Option<TargetId>,
        /// Reason.
        reason: RetryReason,
    },
    /// A KV cache was moved to a new target.
    CacheMoved {
        /// Target that held the cache.
        from: TargetId,
        /// New target.
        to: TargetId,
        /// Next position that the new target can run; `None` if the move failed.
        next_position: Option<TokenPosition>,
    },
    /// A response of a target was dropped.
    ResponseDropped {
        /// Target that sent the response.
        target: TargetId,
        /// Reason.
        cause: DropCause,
    },
    /// Number of tokens delivered to the caller so far.
    Delivered {
        /// Number of tokens.
        count: u64,
    },
    /// The request ended.
    Finished {
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// Number of tokens delivered to the caller.
        delivered: u64,
        /// Reason why the request was abandoned; `None` if the response is complete.
        reason: Option<RefusalReason>,
    },
    /// This host holds the request's idempotency key.
    ClaimWon {
        /// Offset of the claim.
        offset: LogOffset,
    },
    /// Another host holds the request's idempotency key.
    ClaimLost {
        /// Host that holds the key.
        holder: HostId,
    },
    /// The claim did not appear in the log in time and was withdrawn.
    ClaimWithdrawn,
    /// A declared change was accepted.
    ChangeAccepted {
        /// Offset of the change, which is the resource's new version.
        version: LogOffset,
        /// Operator who made the change.
        operator: OperatorId,
    },
    /// A declared change lost to another change of the same resource.
    ChangeLost {
        /// Version in effect; `None` if the resource does not exist.
        winner: Option<LogOffset>,
        /// Operator who made the losing change.
        operator: OperatorId,
    },
    /// An order was sent that brings a target to its declared state.
    OrderSent {
        /// Target of the order.
        target: TargetId,
        /// Fencing number of the order.
        fencing: LogOffset,
    },
    /// A target is excluded from new work.
    TargetExcluded {
        /// Excluded target.
        target: TargetId,
        /// Reason.
        reason: RetryReason,
    },
}

impl fmt::Display for JournalEvent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Admitted { organisation } => {
                format!("admitted within the capacity of {organisation}")
            }
            Self::Queued { organisation } => {
                format!("queued: {organisation} uses all of its capacity")
            }
            Self::Refused {
                reason,
                verdict,
                retry_after,
            } => refused_text(*reason, *verdict, *retry_after),
            Self::Routed {
                pipeline,
                version,
                targets,
                score,
            } => routed_text(pipeline, version, targets, score),
            Self::ServiceRouted { target } => format!("routed to {target}"),
            Self::Retried {
                stage,
                target,
                reason,
            } => format!("stage {stage} sent again to {target} ({})", reason.name()),
            Self::StageReplaced {
                stage,
                target,
                reason,
            } => replaced_text(*stage, target.as_ref(), *reason),
            Self::CacheMoved {
                from,
                to,
                next_position,
            } => cache_moved_text(from, to, *next_position),
            Self::ResponseDropped { target, cause } => {
                format!("response of {target} dropped ({})", cause.name())
            }
            Self::Delivered { count } => format!("{count} tokens delivered to the caller"),
            Self::Finished {
                verdict,
                delivered,
                reason,
            } => finished_text(*verdict, *delivered, *reason),
            Self::ClaimWon { offset } => format!("claim won at offset {offset}"),
            Self::ClaimLost { holder } => format!("claim lost: {holder} holds the key"),
            Self::ClaimWithdrawn => {
                "claim withdrawn: it did not appear in the log in time".to_owned()
            }
            Self::ChangeAccepted { version, operator } => {
                format!("change by {operator} accepted as version {version}")
            }
            Self::ChangeLost { winner, operator } => change_lost_text(*winner, operator),
            Self::OrderSent { target, fencing } => {
                format!("order sent to {target} with fencing number {fencing}")
            }
            Self::TargetExcluded { target, reason } => {
                format!("no new work for {target} ({})", reason.name())
            }
        };
        formatter.write_str(&text)
    }
}

fn refused_text(
    reason: RefusalReason,
    verdict: RunVerdict,
    retry_after: Option<Duration>,
) -> String {
    let wait = retry_after.map_or_else(String::new, |wait| format!(", retry after {wait:.1?}"));
    format!(
        "refused ({}): {}{wait}",
        reason.name(),
        verdict_text(verdict)
    )
}

fn replaced_text(stage: StageIndex, target: Option<&TargetId>, reason: RetryReason) -> String {
    let reason = reason.name();
    match target {
        Some(target) => format!("stage {stage} moved to {target} ({reason})"),
        None => format!("no target is left for stage {stage} ({reason})"),
    }
}

fn cache_moved_text(
    from: &TargetId,
    to: &TargetId,
    next_position: Option<TokenPosition>,
) -> String {
    match next_position {
        Some(next) => {
            format!("KV cache moved from {from} to {to}, which continues at position {next}")
        }
        None => format!("KV cache not moved from {from} to {to}"),
    }
}

fn finished_text(verdict: RunVerdict, delivered: u64, reason: Option<RefusalReason>) -> String {
    match reason {
        None => format!("finished with {delivered} tokens"),
        Some(reason) => format!(
            "abandoned ({}) after {delivered} tokens: {}",
            reason.name(),
            verdict_text(verdict)
        ),
    }
}

fn change_lost_text(winner: Option<LogOffset>, operator: &OperatorId) -> String {
    match winner {
        Some(winner) => format!("change by {operator} lost to version {winner}"),
        None => format!("change by {operator} lost: no such resource"),
    }
}

fn verdict_text(verdict: RunVerdict) -> &'static str {
    match verdict {
        RunVerdict::NotRun => "it did not run",
        RunVerdict::MayHaveRun => "it may have run",
        RunVerdict::Ran => "it ran",
    }
}

fn routed_text(
    pipeline: &PipelineId,
    version: &VersionId,
    targets: &[TargetId],
    score: &RouteScore,
) -> String {
    let RouteScore {
        queue,
        prefill,
        decode,
        links,
    } = score;
    format!(
        "routed over {pipeline} (version {version}): {}; estimated {:.1?} = \
         queue {queue:.1?} + prefill {prefill:.1?} + decode {decode:.1?} + links {links:.1?}",
        targets.join(" > "),
        score.total(),
    )
}
