//! Telling the router's table what runs see of their targets.

use std::time::Instant;

use super::core::DaemonCore;
use crate::ids::RequestId;
use crate::run::StepObservation;

/// Takes one observation in.
pub(super) fn note_step(core: &DaemonCore, request: &RequestId, observation: &StepObservation) {
    let now = Instant::now();
    let mut routes = core.tables.routes.write();
    match observation {
        StepObservation::Sent { target, .. } => routes.step_sent(target, now),
        StepObservation::Answered {
            target,
            positions,
            latency,
        } => routes.step_answered(target, *latency, *positions, now),
        StepObservation::Failed {
            target,
            reason,
            verdict,
            ..
        } => {
            log::warn!(
                request:% = request;
                "step on {target} failed: {} ({verdict:?})", reason.name()
            );
            routes.step_failed(target, *reason, now);
        }
        StepObservation::Abandoned { target, .. } => routes.step_abandoned(target),
        StepObservation::Replacing { .. } | StepObservation::AnswerDropped { .. } => {}
    }
}
