//! Delivery of admission decisions to the requests that wait for them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::core::DaemonCore;
use super::tables::AdmissionState;
use crate::admission::{AdmissionDecision, AdmissionRequest, ReleaseCause};
use crate::api::wire::RefusalBody;
use crate::ids::RequestId;
use crate::journal::JournalEvent;
use crate::reason::RefusalReason;

/// Maximum time between two runs of the admission table.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// An admitted request's slot, released on drop.
///
/// The future of a request is dropped at any await point once its caller disconnects.
/// Without the release on drop the slot would stay occupied, and the organisation would
/// gradually lose its capacity.
pub(super) struct AdmissionSlot {
    core: Arc<DaemonCore>,
    request: RequestId,
    cause: ReleaseCause,
}

impl AdmissionSlot {
    /// Marks the request as served, so that its release counts as progress.
    pub(super) fn complete(mut self) {
        self.cause = ReleaseCause::Completed;
    }
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        let mut state = self.core.tables.admission.lock();
        let now = Instant::now();
        state.waiters.remove(&self.request);
        if state.table.cancel(&self.request, now) {
            return;
        }
        let decisions = state.table.release(&self.request, now, self.cause);
        notify_waiters(&mut state, decisions);
    }
}

/// Waits until the request may start.
///
/// # Errors
/// Returns the refusal as soon as it is decided.
pub(super) async fn admit(
    core: &Arc<DaemonCore>,
    request: AdmissionRequest,
) -> Result<AdmissionSlot, RefusalBody> {
    let id = request.request.clone();
    let organisation = request.organisation.clone();
    let (decision, waiter) = request_admission(core, request);
    if let AdmissionDecision::Refuse {
        request,
        reason,
        retry_after,
    } = decision
    {
        return Err(refusal(request, reason, retry_after));
    }
    let slot = AdmissionSlot {
        core: Arc::clone(core),
        request: id,
        cause: ReleaseCause::Abandoned,
    };
    let Some(waiter) = waiter else {
        core.record_event(&slot.request, JournalEvent::Admitted { organisation });
        return Ok(slot);
    };
    core.record_event(
        &slot.request,
        JournalEvent::Queued {
            organisation: organisation.clone(),
        },
    );
    core.admission_changed.notify_one();
    let outcome = tokio::select! {
        // Polled first: streams that end when the drain timeout expires release their
        // slots to waiting requests. A request that was started then would be cut off at
        // once, and its caller would receive the verdict "may have run".
        biased;
        () = core.drain_expired.cancelled() => {
            return Err(refusal(slot.request.clone(), RefusalReason::Draining, IDLE_TICK));
        }
        outcome = waiter => outcome,
    };
    match outcome {
        Ok(AdmissionDecision::Refuse {
            request,
            reason,
            retry_after,
        }) => Err(refusal(request, reason, retry_after)),
        Ok(_) => {
            core.record_event(&slot.request, JournalEvent::Admitted { organisation });
            Ok(slot)
        }
        Err(_) => Err(refusal(
            slot.request.clone(),
            RefusalReason::Draining,
            IDLE_TICK,
        )),
    }
}

fn request_admission(
    core: &DaemonCore,
    request: AdmissionRequest,
) -> (
    AdmissionDecision,
    Option<oneshot::Receiver<AdmissionDecision>>,
) {
    let mut state = core.tables.admission.lock();
    let id = request.request.clone();
    let decision = state.table.admit(request, Instant::now());
    match decision {
        AdmissionDecision::Wait { .. } => {
            let (sender, waiter) = oneshot::channel();
            state.waiters.insert(id, sender);
            (decision, Some(waiter))
        }
        _ => (decision, None),
    }
}

fn refusal(request: RequestId, reason: RefusalReason, retry_after: Duration) -> RefusalBody {
    let message = match reason {
        RefusalReason::CapacityUsedUp => "the organisation's bought capacity is used up",
        RefusalReason::QueueFull => "the queue is full",
        RefusalReason::DeadlineUnreachable => "the deadline cannot be met",
        RefusalReason::DeadlinePassed => "the deadline passed while the request waited",
        RefusalReason::Malformed => "a request with this id is in flight on this host",
        _ => "the request was not started",
    };
    RefusalBody::not_run(reason, message)
        .retry_after(retry_after)
        .for_request(request)
}

/// Sends each decision to the request that waits for it.
pub(super) fn notify_waiters(state: &mut AdmissionState, decisions: Vec<AdmissionDecision>) {
    for decision in decisions {
        let request = match &decision {
            AdmissionDecision::Start { request }
            | AdmissionDecision::Wait { request }
            | AdmissionDecision::Refuse { request, .. } => request,
        };
        if let Some(waiter) = state.waiters.remove(request) {
            // If the waiting request has ended, its slot is released on drop.
            let _ = waiter.send(decision);
        }
    }
}

/// Runs the admission table whenever one of its queues has something due.
pub(super) async fn run_admission(core: Arc<DaemonCore>) {
    loop {
        let next = {
            let mut state = core.tables.admission.lock();
            let decisions = state.table.tick(Instant::now());
            notify_waiters(&mut state, decisions);
            state.table.next_tick()
        };
        let latest = Instant::now() + IDLE_TICK;
        let wake_at = next.map_or(latest, |next| next.min(latest));
        tokio::select! {
            () = tokio::time::sleep_until(wake_at.into()) => {}
            () = core.admission_changed.notified() => {}
        }
    }
}
