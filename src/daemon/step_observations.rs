//! Records what runs observe of their targets in the route table.

use std::time::Instant;

use super::core::DaemonCore;
use super::targets::mark_leaving;
use crate::ids::RequestId;
use crate::journal::JournalEvent;
use crate::metrics::DropCause;
use crate::reason::RetryReason;
use crate::run::StepObservation;

/// Records one observation in the route table, the journal and the metrics.
pub(super) fn record_step(core: &DaemonCore, request: &RequestId, observation: &StepObservation) {
    journal_step(core, request, observation);
    let now = Instant::now();
    if let StepObservation::Failed {
        target,
        reason: RetryReason::TargetLeaving,
        ..
    } = observation
    {
        mark_leaving(core, target, now);
    }
    let mut routes = core.tables.routes.write();
    match observation {
        StepObservation::Sent { target, .. } => routes.step_sent(target, now),
        StepObservation::Completed {
            target,
            positions,
            latency,
        } => routes.step_completed(target, *latency, *positions, now),
        StepObservation::Failed {
            target,
            reason,
            verdict,
            ..
        } => {
            log::warn!(
                request:% = request;
                "step on target {target} failed: {} ({verdict:?})", reason.name()
            );
            routes.step_failed(target, *reason, now);
        }
        StepObservation::Abandoned { target, .. } => routes.step_abandoned(target),
        StepObservation::Replacing { .. } | StepObservation::ResponseDropped { .. } => {}
    }
}

/// Counts and journals unusual observations. Successful steps get no journal entry.
fn journal_step(core: &DaemonCore, request: &RequestId, observation: &StepObservation) {
    match observation {
        StepObservation::Sent {
            target,
            stage,
            retry: Some(reason),
            ..
        } => {
            core.metrics.retried(*reason);
            core.record_event(
                request,
                JournalEvent::Retried {
                    stage: *stage,
                    target: target.clone(),
                    reason: *reason,
                },
            );
        }
        StepObservation::Replacing {
            stage,
            reason,
            chosen,
        } => {
            log::warn!(
                request:% = request;
                "stage {stage} is moved to target {chosen:?}: {}", reason.name()
            );
            core.record_event(
                request,
                JournalEvent::StageReplaced {
                    stage: *stage,
                    target: chosen.clone(),
                    reason: *reason,
                },
            );
        }
        StepObservation::ResponseDropped { target } => {
            let cause = DropCause::Unmatched;
            core.metrics.response_dropped(cause);
            core.record_event(
                request,
                JournalEvent::ResponseDropped {
                    target: target.clone(),
                    cause,
                },
            );
        }
        _ => {}
    }
}
