//! Hands events to a request's machine and carries out what it decides.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use super::desk::{ActiveClaim, ClaimDesk, ClaimStep};
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

/// The present by both clocks.
pub(super) fn claim_time() -> ClaimTime {
    ClaimTime {
        instant: Instant::now(),
        wall: SystemTime::now(),
    }
}

/// Feeds an event to the machine of a claim; nothing if it has ended.
pub(super) fn feed(core: &Arc<DaemonCore>, claim: &RecordId, event: ClaimEvent) {
    let mut desk = core.tables.claims.lock();
    feed_desk(core, &mut desk, claim, event);
}

/// Like [`feed`], under a lock that is held already.
pub(super) fn feed_desk(
    core: &Arc<DaemonCore>,
    desk: &mut ClaimDesk,
    claim: &RecordId,
    event: ClaimEvent,
) {
    let mut events = VecDeque::from([event]);
    while let Some(event) = events.pop_front() {
        let now = claim_time();
        let Some(active) = desk.active.get_mut(claim) else {
            return;
        };
        let decisions = active.machine.handle(event, &desk.table, now);
        events.extend(carry_out(core, active, decisions));
    }
    desk.retire(claim, Instant::now());
}

/// Carries out decisions, in order; may give back what is to be fed next.
pub(super) fn carry_out(
    core: &Arc<DaemonCore>,
    active: &mut ActiveClaim,
    decisions: Vec<ClaimDecision>,
) -> Option<ClaimEvent> {
    let mut next = None;
    for decision in decisions {
        match decision {
            ClaimDecision::Append(record) => next = append(core, active, &record).or(next),
            ClaimDecision::Dispatch => tell(active, ClaimStep::Dispatch),
            ClaimDecision::QueryHolder(holder) => {
                note_lost(core, active);
                let host = holder.owner.host.clone();
                core.note(&active.request, JournalEvent::ClaimLost { holder: host });
                tell(active, ClaimStep::Ask(holder));
            }
            ClaimDecision::Respond(answer) => {
                note_answer(core, active, &answer);
                tell(active, ClaimStep::Answer(answer));
            }
        }
    }
    next
}

/// A request whose caller has gone away no longer listens; its ticket gives
/// the claim back.
fn tell(active: &ActiveClaim, step: ClaimStep) {
    let _ = active.steps.send(step);
}

fn append(
    core: &Arc<DaemonCore>,
    active: &mut ActiveClaim,
    record: &LogRecord<ClaimBody>,
) -> Option<ClaimEvent> {
    let is_claim = matches!(record.body.entry, ClaimEntry::Claim(_));
    if matches!(record.body.entry, ClaimEntry::Withdraw(_)) {
        note_withdrawal(core, active);
    }
    match submit(core, record) {
        Some(appended) if is_claim => {
            tokio::spawn(await_append(Arc::clone(core), record.id.clone(), appended));
            None
        }
        // A settlement is appended again by the machine until it shows.
        Some(_) => None,
        None if is_claim => Some(ClaimEvent::AppendFailed(AppendVerdict::NotAppended)),
        None => None,
    }
}

type AppendWait = tokio::sync::oneshot::Receiver<AppendResult>;

/// Hands a record to the queue of the claim stream; `None` if it was not taken.
pub(super) fn submit(core: &DaemonCore, record: &LogRecord<ClaimBody>) -> Option<AppendWait> {
    let text = serde_json::to_string(record).ok()?;
    core.claim_appends.submit(text).ok()
}

async fn await_append(core: Arc<DaemonCore>, claim: RecordId, appended: AppendWait) {
    // A confirmed append is of no interest: the claim counts once replayed.
    let verdict = match appended.await {
        Ok(Ok(_)) => return,
        Ok(Err(error)) => error.verdict,
        Err(_) => AppendVerdict::MayBeAppended,
    };
    feed(&core, &claim, ClaimEvent::AppendFailed(verdict));
}

/// Notes that a claim of this host holds its key.
pub(super) fn note_won(core: &DaemonCore, active: &ActiveClaim, offset: LogOffset) {
    core.metrics.claim_settled(ClaimResult::Won);
    core.note(&active.request, JournalEvent::ClaimWon { offset });
}

fn note_lost(core: &DaemonCore, active: &mut ActiveClaim) {
    if !std::mem::replace(&mut active.lost, true) {
        core.metrics.claim_settled(ClaimResult::Lost);
    }
}

fn note_withdrawal(core: &DaemonCore, active: &mut ActiveClaim) {
    if !std::mem::replace(&mut active.withdrawn, true) {
        core.metrics.claim_settled(ClaimResult::Withdrawn);
        core.note(&active.request, JournalEvent::ClaimWithdrawn);
    }
}

/// Counts how a claim ended that is not dispatched, and tells those who ask
/// about the request that it was refused here.
fn note_answer(core: &DaemonCore, active: &mut ActiveClaim, answer: &ClaimResponse) {
    let ClaimResponse::Refused { refusal, .. } = answer else {
        return note_lost(core, active);
    };
    match refusal {
        ClaimRefusal::LogUnavailable => core.metrics.claim_settled(ClaimResult::Unavailable),
        ClaimRefusal::KeyReused | ClaimRefusal::HolderWithdrew => note_lost(core, active),
        _ => {}
    }
    active.outcome.send_replace(Some(not_run()));
}

/// The outcome of a request that was not run.
pub(super) fn not_run() -> ClaimOutcome {
    ClaimOutcome {
        verdict: RunVerdict::NotRun,
        status: 0,
        answer: StoredResponse::Whole(String::new()),
    }
}
