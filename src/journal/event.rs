//! The decisions that the journal knows, and how they read.

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
        /// Organisation that pays.
        organisation: OrganisationId,
    },
    /// The request waits in its organisation's queue.
    Queued {
        /// Organisation that pays.
        organisation: OrganisationId,
    },
    /// The request was refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        verdict: RunVerdict,
        /// When the caller was told to come back, if it was.
        retry_after: Option<Duration>,
    },
    /// A whole pipeline was chosen.
    Routed {
        /// Pipeline chosen.
        pipeline: PipelineId,
        /// Version that it serves.
        version: VersionId,
        /// One target a stage.
        targets: Vec<TargetId>,
        /// Why this one.
        score: RouteScore,
    },
    /// A target of a plain service was chosen.
    ServiceRouted {
        /// Target chosen.
        target: TargetId,
    },
    /// A step or call is sent again.
    Retried {
        /// Stage concerned; 0 for a plain service.
        stage: StageIndex,
        /// Target asked.
        target: TargetId,
        /// Why.
        reason: RetryReason,
    },
    /// Another target takes over a stage.
    StageReplaced {
        /// Stage concerned.
        stage: StageIndex,
        /// The new target; `None` if no usable one is left.
        target: Option<TargetId>,
        /// Why.
        reason: RetryReason,
    },
    /// A KV cache was moved to the target that takes over.
    CacheMoved {
        /// Target that held it.
        from: TargetId,
        /// Target that takes over.
        to: TargetId,
        /// Next position that it can run; `None` if the move failed.
        next_position: Option<TokenPosition>,
    },
    /// An answer of a target was dropped.
    AnswerDropped {
        /// Target that sent it.
        target: TargetId,
        /// Why.
        cause: DropCause,
    },
    /// Tokens given to the caller so far.
    Delivered {
        /// Their number.
        count: u64,
    },
    /// The request ended.
    Finished {
        /// Whether it may have run.
        verdict: RunVerdict,
        /// Tokens given to the caller.
        delivered: u64,
        /// Why it was given up; `None` if the answer is whole.
        reason: Option<RefusalReason>,
    },
    /// This host holds the request's idempotency key.
    ClaimWon {
        /// Offset of the claim.
        offset: LogOffset,
    },
    /// Another host holds the request's idempotency key.
    ClaimLost {
        /// The host that holds it.
        holder: HostId,
    },
    /// The claim did not show up in time and was made unusable.
    ClaimWithdrawn,
    /// A declared change was accepted.
    ChangeAccepted {
        /// Its offset: the resource's new version.
        version: LogOffset,
        /// Who made it.
        operator: OperatorId,
    },
    /// A declared change lost a race.
    ChangeLost {
        /// Version that stands; `None` if the resource does not exist.
        winner: Option<LogOffset>,
        /// Who made the change that lost.
        operator: OperatorId,
    },
    /// An order was sent to bring a target to its declared state.
    OrderSent {
        /// Target ordered.
        target: TargetId,
        /// Fencing number that the order carries.
        fencing: LogOffset,
    },
    /// A target is no longer given new work.
    TargetExcluded {
        /// Target concerned.
        target: TargetId,
        /// Why.
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
            Self::AnswerDropped { target, cause } => {
                format!("answer of {target} dropped ({})", cause.name())
            }
            Self::Delivered { count } => format!("{count} tokens given to the caller"),
            Self::Finished {
                verdict,
                delivered,
                reason,
            } => finished_text(*verdict, *delivered, *reason),
            Self::ClaimWon { offset } => format!("claim won at offset {offset}"),
            Self::ClaimLost { holder } => format!("claim lost: {holder} holds the key"),
            Self::ClaimWithdrawn => "claim withdrawn: it did not show in time".to_owned(),
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
    let wait = retry_after.map_or_else(String::new, |wait| format!(", to come back in {wait:.1?}"));
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
            format!("KV cache moved from {from} to {to}, which goes on at position {next}")
        }
        None => format!("KV cache not moved from {from} to {to}"),
    }
}

fn finished_text(verdict: RunVerdict, delivered: u64, reason: Option<RefusalReason>) -> String {
    match reason {
        None => format!("finished whole with {delivered} tokens"),
        Some(reason) => format!(
            "given up ({}) after {delivered} tokens: {}",
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
