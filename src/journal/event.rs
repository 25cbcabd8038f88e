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
        match self {
            Self::Admitted { .. }
            | Self::Queued { .. }
            | Self::Refused { .. }
            | Self::Delivered { .. }
            | Self::Finished { .. } => self.write_request(formatter),
            Self::Routed { .. }
            | Self::ServiceRouted { .. }
            | Self::Retried { .. }
            | Self::StageReplaced { .. }
            | Self::CacheMoved { .. }
            | Self::AnswerDropped { .. } => self.write_stage(formatter),
            _ => self.write_control(formatter),
        }
    }
}

impl JournalEvent {
    fn write_request(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted { organisation } => {
                write!(formatter, "admitted within the capacity of {organisation}")
            }
            Self::Queued { organisation } => {
                write!(formatter, "queued: {organisation} uses all of its capacity")
            }
            Self::Refused {
                reason,
                verdict,
                retry_after,
            } => {
                write!(formatter, "refused ({}): {}", reason.name(), told(*verdict))?;
                match retry_after {
                    Some(wait) => write!(formatter, ", to come back in {wait:.1?}"),
                    None => Ok(()),
                }
            }
            Self::Delivered { count } => write!(formatter, "{count} tokens given to the caller"),
            Self::Finished {
                verdict,
                delivered,
                reason,
            } => match reason {
                None => write!(formatter, "finished whole with {delivered} tokens"),
                Some(reason) => write!(
                    formatter,
                    "given up ({}) after {delivered} tokens: {}",
                    reason.name(),
                    told(*verdict)
                ),
            },
            _ => Ok(()),
        }
    }

    fn write_stage(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Routed {
                pipeline,
                version,
                targets,
                score,
            } => write_route(formatter, pipeline, version, targets, score),
            Self::ServiceRouted { target } => write!(formatter, "routed to {target}"),
            Self::Retried {
                stage,
                target,
                reason,
            } => write!(
                formatter,
                "stage {stage} sent again to {target} ({})",
                reason.name()
            ),
            Self::StageReplaced {
                stage,
                target,
                reason,
            } => match target {
                Some(target) => write!(
                    formatter,
                    "stage {stage} moved to {target} ({})",
                    reason.name()
                ),
                None => write!(
                    formatter,
                    "no target is left for stage {stage} ({})",
                    reason.name()
                ),
            },
            Self::CacheMoved {
                from,
                to,
                next_position,
            } => match next_position {
                Some(next) => write!(
                    formatter,
                    "KV cache moved from {from} to {to}, which goes on at position {next}"
                ),
                None => write!(formatter, "KV cache not moved from {from} to {to}"),
            },
            Self::AnswerDropped { target, cause } => {
                write!(formatter, "answer of {target} dropped ({})", cause.name())
            }
            _ => Ok(()),
        }
    }

    fn write_control(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ClaimWon { offset } => {
                write!(formatter, "claim won at offset {offset}")
            }
            Self::ClaimLost { holder } => write!(formatter, "claim lost: {holder} holds the key"),
            Self::ClaimWithdrawn => formatter.write_str("claim withdrawn: it did not show in time"),
            Self::ChangeAccepted { version, operator } => {
                write!(
                    formatter,
                    "change by {operator} accepted as version {version}"
                )
            }
            Self::ChangeLost { winner, operator } => match winner {
                Some(winner) => write!(formatter, "change by {operator} lost to version {winner}"),
                None => write!(formatter, "change by {operator} lost: no such resource"),
            },
            Self::OrderSent { target, fencing } => {
                write!(
                    formatter,
                    "order sent to {target} with fencing number {fencing}"
                )
            }
            Self::TargetExcluded { target, reason } => {
                write!(formatter, "no new work for {target} ({})", reason.name())
            }
            _ => Ok(()),
        }
    }
}

fn told(verdict: RunVerdict) -> &'static str {
    match verdict {
        RunVerdict::NotRun => "it did not run",
        RunVerdict::MayHaveRun => "it may have run",
        RunVerdict::Ran => "it ran",
    }
}

fn write_route(
    formatter: &mut fmt::Formatter<'_>,
    pipeline: &PipelineId,
    version: &VersionId,
    targets: &[TargetId],
    score: &RouteScore,
) -> fmt::Result {
    write!(
        formatter,
        "routed over {pipeline} (version {version}): {}; estimated {:.1?} = \
         queue {:.1?} + prefill {:.1?} + decode {:.1?} + links {:.1?}",
        targets.join(" > "),
        score.total(),
        score.queue,
        score.prefill,
        score.decode,
        score.links
    )
}
