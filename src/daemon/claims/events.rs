//! Passes events to a request's state machine and executes its decisions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use super::local_state::{ActiveClaim, ClaimState, ClaimStep};
use crate::claims::machine::{ClaimDecision, ClaimEvent};
use crate::claims::record::{ClaimBody, ClaimEntry, ClaimOutcome, StoredResponse};
use crate::claims::response::{ClaimRefusal, ClaimResponse};
use crate::claims::window::ClaimTime;
use crate::daemon::core::DaemonCore;
use crate::ids::{LogOffset, RecordId};
use crate::journal::JournalEvent;
use crate::metrics::ClaimResult;
use crate::platform::append_queue::AppendResult;
use crate::platform::error::AppendVerdict;
use crate::records::LogRecord;
use crate::verdict::RunVerdict;

/// Returns the current time by the monotonic and the wall clock.
pub(super) fn claim_time() -> ClaimTime {
    ClaimTime {
        instant: Instant::now(),
        wall: SystemTime::now(),
    }
}

/// Passes an event to the state machine of a claim. Does nothing if the claim has ended.
pub(super) fn handle_event(core: &Arc<DaemonCore>, claim: &RecordId, event: ClaimEvent) {
    let mut state = core.tables.claims.lock();
    handle_event_locked(core, &mut state, claim, event);
}

/// Passes an event as [`handle_event`] does, for a caller that already holds the lock.
pub(super) fn handle_event_locked(
    core: &Arc<DaemonCore>,
    state: &mut ClaimState,
    claim: &RecordId,
    event: ClaimEvent,
) {
    let mut events = VecDeque::from([event]);
    while let Some(event) = events.pop_front() {
        let now = claim_time();
        let Some(active) = state.active.get_mut(claim) else {
            return;
        };
        let decisions = active.machine.handle(event, &state.table, now);
        events.extend(execute_decisions(core, active, decisions));
    }
    state.retire(claim, Instant::now());
}

/// Executes the decisions in order. Returns the event that is to be handled next, if any.
pub(super) fn execute_decisions(
    core: &Arc<DaemonCore>,
    active: &mut ActiveClaim,
    decisions: Vec<ClaimDecision>,
) -> Option<ClaimEvent> {
    let mut next = None;
    for decision in decisions {
        match decision {
            ClaimDecision::Append(record) => next = append(core, active, &record).or(next),
            ClaimDecision::Dispatch => send_step(active, ClaimStep::Dispatch),
            ClaimDecision::QueryHolder(holder) => {
                record_loss(core, active);
                let host = holder.owner.host.clone();
                core.record_event(&active.request, JournalEvent::ClaimLost { holder: host });
                send_step(active, ClaimStep::QueryHolder(holder));
            }
            ClaimDecision::Respond(response) => {
                record_claim_response(core, active, &response);
                send_step(active, ClaimStep::Respond(response));
            }
        }
    }
    next
}

/// Sends a step to the request's task. If the caller has disconnected, nobody receives
/// it, and dropping the ticket withdraws the claim.
fn send_step(active: &ActiveClaim, step: ClaimStep) {
    let _ = active.steps.send(step);
}

fn append(
    core: &Arc<DaemonCore>,
    active: &mut ActiveClaim,
    record: &LogRecord<ClaimBody>,
) -> Option<ClaimEvent> {
    let is_claim = matches!(record.body.entry, ClaimEntry::Claim(_));
    if matches!(record.body.entry, ClaimEntry::Withdraw(_)) {
        record_withdrawal(core, active);
    }
    match submit(core, record) {
        Some(appended) if is_claim => {
            tokio::spawn(await_append(Arc::clone(core), record.id.clone(), appended));
            None
        }
        // The state machine appends a settlement again until it is replayed.
        Some(_) => None,
        None if is_claim => Some(ClaimEvent::AppendFailed(AppendVerdict::NotAppended)),
        None => None,
    }
}

type AppendWait = tokio::sync::oneshot::Receiver<AppendResult>;

/// Submits a record to the append queue of the claim stream. Returns `None` if the queue
/// does not accept it.
pub(super) fn submit(core: &DaemonCore, record: &LogRecord<ClaimBody>) -> Option<AppendWait> {
    let text = serde_json::to_string(record).ok()?;
    core.claim_appends.submit(text).ok()
}

async fn await_append(core: Arc<DaemonCore>, claim: RecordId, appended: AppendWait) {
    // A confirmed append needs no event: the claim counts once it is replayed.
    let verdict = match appended.await {
        Ok(Ok(_)) => return,
        Ok(Err(error)) => error.verdict,
        Err(_) => AppendVerdict::MayBeAppended,
    };
    handle_event(&core, &claim, ClaimEvent::AppendFailed(verdict));
}

/// Records that a claim of this host holds its key.
pub(super) fn record_win(core: &DaemonCore, active: &ActiveClaim, offset: LogOffset) {
    core.metrics.claim_settled(ClaimResult::Won);
    core.record_event(&active.request, JournalEvent::ClaimWon { offset });
}

fn record_loss(core: &DaemonCore, active: &mut ActiveClaim) {
    if !std::mem::replace(&mut active.loss_recorded, true) {
        core.metrics.claim_settled(ClaimResult::Lost);
    }
}

fn record_withdrawal(core: &DaemonCore, active: &mut ActiveClaim) {
    if !std::mem::replace(&mut active.withdrawal_recorded, true) {
        core.metrics.claim_settled(ClaimResult::Withdrawn);
        core.record_event(&active.request, JournalEvent::ClaimWithdrawn);
    }
}

/// Counts the result of a claim that is not dispatched, and publishes to querying hosts
/// that the request was refused here.
fn record_claim_response(core: &DaemonCore, active: &mut ActiveClaim, response: &ClaimResponse) {
    let ClaimResponse::Refused { refusal, .. } = response else {
        return record_loss(core, active);
    };
    match refusal {
        ClaimRefusal::LogUnavailable => core.metrics.claim_settled(ClaimResult::Unavailable),
        ClaimRefusal::KeyReused | ClaimRefusal::HolderWithdrew => record_loss(core, active),
        _ => {}
    }
    active.outcome.send_replace(Some(not_run_outcome()));
}

/// Returns the outcome of a request that was not run.
pub(super) fn not_run_outcome() -> ClaimOutcome {
    ClaimOutcome {
        verdict: RunVerdict::NotRun,
        status: 0,
        answer: StoredResponse::Whole(String::new()),
    }
}
