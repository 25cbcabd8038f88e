//! Handles that a request holds from its claim to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use super::events::{
    claim_time, execute_decisions, handle_event, handle_event_locked, not_run_outcome,
};
use super::local_state::{ActiveClaim, ClaimStep};
use super::outcome_query::query_holder;
use crate::claims::machine::{ClaimEvent, ClaimMachine, ClaimPolicy, ClaimRequest};
use crate::claims::record::{
    ClaimName, ClaimOutcome, ClaimOwner, RequestFingerprint, StoredResponse,
};
use crate::claims::response::ClaimResponse;
use crate::daemon::core::DaemonCore;
use crate::ids::{OrganisationId, RecordId, RequestId};
use crate::verdict::RunVerdict;

/// Retry delay for refused callers when no better value is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// First pause before a settlement that has not been replayed is appended again.
const SETTLE_DELAY: Duration = Duration::from_millis(250);
/// Maximum size in bytes of a response that is shared with other callers of the same key
/// before it can be read from the log.
const MAX_SHARED_BODY_BYTES: usize = 64 * 1024;

/// A non-idempotent request that claims its key.
#[derive(Debug, Clone)]
pub(in crate::daemon) struct ClaimSubject {
    pub(in crate::daemon) request: RequestId,
    pub(in crate::daemon) organisation: OrganisationId,
    pub(in crate::daemon) key: crate::claims::key::TimedKey,
    pub(in crate::daemon) fingerprint: RequestFingerprint,
    /// Time after which the request is not worth running.
    pub(in crate::daemon) deadline: Instant,
}

/// A claim that has won and is not dispatched yet. Dropping it withdraws the claim.
pub(in crate::daemon) struct ClaimTicket {
    core: Arc<DaemonCore>,
    claim: RecordId,
    steps: mpsc::UnboundedReceiver<ClaimStep>,
    /// Whether the state machine must be notified when the ticket is dropped.
    is_open: bool,
}

/// A claim under which the request may be sent once. If it is dropped without an outcome,
/// the request counts as "may have run".
pub(in crate::daemon) struct DispatchedClaim {
    core: Arc<DaemonCore>,
    claim: RecordId,
    is_open: bool,
}

impl ClaimSubject {
    /// Returns the name of the key, which is unique within its organisation.
    pub(super) fn name(&self) -> ClaimName {
        ClaimName {
            organisation: self.organisation.clone(),
            key: self.key.key.clone(),
        }
    }
}

impl ClaimTicket {
    /// Claims the key and waits until the claim has won.
    ///
    /// # Errors
    /// Returns the response for the caller if the claim does not win.
    pub(in crate::daemon) async fn claim(
        core: &Arc<DaemonCore>,
        subject: ClaimSubject,
    ) -> Result<Self, ClaimResponse> {
        let mut ticket = Self::open(core, subject);
        loop {
            match ticket.steps.recv().await {
                Some(ClaimStep::Dispatch) => return Ok(ticket),
                Some(ClaimStep::QueryHolder(holder)) => {
                    let event =
                        query_holder(core, &ticket.claim, &holder, query_timeout(core)).await;
                    handle_event(core, &ticket.claim, event);
                }
                Some(ClaimStep::Respond(response)) => return Err(response),
                // Unreachable: a state machine responds before it is dropped.
                None => return Err(ClaimResponse::Unknown),
            }
        }
    }

    fn open(core: &Arc<DaemonCore>, subject: ClaimSubject) -> Self {
        let (steps, receiver) = mpsc::unbounded_channel();
        let (host, incarnation) = (core.host(), core.incarnation);
        let claim: RecordId = format!("{host}/{incarnation:x}/{}", core.next_run_number()).into();
        let claim_deadline = Instant::now() + core.options.timing.claim_timeout;
        let name = subject.name();
        let order = ClaimRequest {
            claim: claim.clone(),
            name: name.clone(),
            created: subject.key.created,
            request: subject.request.clone(),
            fingerprint: subject.fingerprint,
            deadline: subject.deadline.min(claim_deadline),
        };
        let owner = ClaimOwner {
            host: host.clone(),
            incarnation,
        };
        let policy = ClaimPolicy {
            retry_after: RETRY_AFTER,
            query_timeout: query_timeout(core),
            settle_delay: SETTLE_DELAY,
        };
        let mut state = core.tables.claims.lock();
        state.insert(ActiveClaim {
            machine: ClaimMachine::new(order, owner, policy),
            name,
            request: subject.request,
            steps,
            outcome: watch::Sender::new(None),
            withdrawal_recorded: false,
            loss_recorded: false,
        });
        let log_available = state.log_available;
        handle_event_locked(
            core,
            &mut state,
            &claim,
            ClaimEvent::Begin { log_available },
        );
        drop(state);
        Self {
            core: Arc::clone(core),
            claim,
            steps: receiver,
            is_open: true,
        }
    }

    /// Requests permission to send, immediately before the first byte is written.
    ///
    /// # Errors
    /// Returns the response for the caller if permission is no longer given.
    pub(in crate::daemon) async fn authorise(mut self) -> Result<DispatchedClaim, ClaimResponse> {
        if self.try_authorise() {
            self.is_open = false;
            return Ok(DispatchedClaim {
                core: Arc::clone(&self.core),
                claim: self.claim.clone(),
                is_open: true,
            });
        }
        while let Some(step) = self.steps.recv().await {
            if let ClaimStep::Respond(response) = step {
                return Err(response);
            }
        }
        Err(ClaimResponse::Unknown)
    }

    fn try_authorise(&self) -> bool {
        let mut state = self.core.tables.claims.lock();
        let state = &mut *state;
        let Some(active) = state.active.get_mut(&self.claim) else {
            return false;
        };
        match active.machine.authorise(&state.table, claim_time()) {
            Ok(_permit) => true,
            Err(decisions) => {
                execute_decisions(&self.core, active, decisions);
                false
            }
        }
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        // A claim that is never dispatched would block its key. A claim that is not
        // judged yet is withdrawn by its state machine at its deadline.
        if self.is_open && self.try_authorise() {
            let outcome = not_run_outcome();
            let shared = outcome.answer.clone();
            close(&self.core, &self.claim, outcome, shared);
        }
    }
}

impl DispatchedClaim {
    /// Records the outcome of the request, before its caller receives the response.
    pub(in crate::daemon) fn finish(mut self, verdict: RunVerdict, status: u16, body: &[u8]) {
        self.is_open = false;
        let outcome = ClaimOutcome {
            verdict,
            status,
            answer: StoredResponse::of(body),
        };
        let shared = match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_SHARED_BODY_BYTES => {
                StoredResponse::Whole(text.to_owned())
            }
            _ => outcome.answer.clone(),
        };
        close(&self.core, &self.claim, outcome, shared);
    }

    /// Records that a generation has ended. Only a digest of its tokens is kept.
    pub(in crate::daemon) fn finish_stream(
        mut self,
        verdict: RunVerdict,
        digest: RequestFingerprint,
    ) {
        self.is_open = false;
        let outcome = ClaimOutcome {
            verdict,
            status: http::StatusCode::OK.as_u16(),
            answer: StoredResponse::Digest(digest),
        };
        let shared = outcome.answer.clone();
        close(&self.core, &self.claim, outcome, shared);
    }
}

impl Drop for DispatchedClaim {
    fn drop(&mut self) {
        if self.is_open {
            let status = http::StatusCode::GATEWAY_TIMEOUT.as_u16();
            let outcome = ClaimOutcome {
                verdict: RunVerdict::MayHaveRun,
                status,
                answer: StoredResponse::Whole(String::new()),
            };
            let shared = outcome.answer.clone();
            close(&self.core, &self.claim, outcome, shared);
        }
    }
}

/// Ends a dispatched claim: publishes the outcome to local waiters, with the part of the
/// response in `shared`, and appends it to the log.
fn close(core: &Arc<DaemonCore>, claim: &RecordId, outcome: ClaimOutcome, shared: StoredResponse) {
    let mut state = core.tables.claims.lock();
    if let Some(active) = state.active.get(claim) {
        active.outcome.send_replace(Some(ClaimOutcome {
            answer: shared,
            ..outcome
        }));
    }
    handle_event_locked(core, &mut state, claim, ClaimEvent::Finished(outcome));
}

/// Returns how long the holder of a key may take to report the outcome of its request:
/// the time allowed for the claim and for the call.
fn query_timeout(core: &DaemonCore) -> Duration {
    core.options.timing.claim_timeout + core.options.timing.step_timeout
}
