//! What a request holds from its claim to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};

use super::ask::ask_holder;
use super::desk::{ActiveClaim, ClaimStep};
use super::feed::{carry_out, claim_time, feed, feed_desk, not_run};
use crate::claims::machine::{ClaimEvent, ClaimMachine, ClaimPolicy, ClaimRequest};
use crate::claims::record::{
    ClaimName, ClaimOutcome, ClaimOwner, RequestFingerprint, StoredResponse,
};
use crate::claims::response::ClaimResponse;
use crate::daemon::core::DaemonCore;
use crate::ids::{OrganisationId, RecordId, RequestId};
use crate::verdict::RunVerdict;

/// When a refused caller may come back, if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// First pause before a settlement that does not show is appended again.
const SETTLE_DELAY: Duration = Duration::from_millis(250);
/// Longest answer handed to other callers of the same key before it is read
/// from the log, in bytes.
const MAX_SHARED_ANSWER: usize = 64 * 1024;

/// A non-idempotent request.
#[derive(Debug, Clone)]
pub(in crate::daemon) struct ClaimSubject {
    pub(in crate::daemon) request: RequestId,
    pub(in crate::daemon) organisation: OrganisationId,
    pub(in crate::daemon) key: crate::claims::key::TimedKey,
    pub(in crate::daemon) fingerprint: RequestFingerprint,
    /// Until when the request is worth running.
    pub(in crate::daemon) deadline: Instant,
}

/// A claim that has won and was not dispatched. Dropped, it is withdrawn.
pub(in crate::daemon) struct ClaimTicket {
    core: Arc<DaemonCore>,
    claim: RecordId,
    steps: mpsc::UnboundedReceiver<ClaimStep>,
    /// Whether the machine is to be told when the ticket is dropped.
    is_open: bool,
}

/// A claim under which the request may be sent, once. Dropped without an
/// outcome it counts as "may have run".
pub(in crate::daemon) struct DispatchedClaim {
    core: Arc<DaemonCore>,
    claim: RecordId,
    is_open: bool,
}

impl ClaimSubject {
    /// The key, which is unique within its organisation.
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
    /// What the caller is to be told instead.
    pub(in crate::daemon) async fn claim(
        core: &Arc<DaemonCore>,
        subject: ClaimSubject,
    ) -> Result<Self, ClaimResponse> {
        let mut ticket = Self::open(core, subject);
        loop {
            match ticket.steps.recv().await {
                Some(ClaimStep::Dispatch) => return Ok(ticket),
                Some(ClaimStep::Ask(holder)) => {
                    let event = ask_holder(core, &ticket.claim, &holder, ask_timeout(core)).await;
                    feed(core, &ticket.claim, event);
                }
                Some(ClaimStep::Answer(answer)) => return Err(answer),
                // Cannot happen: a machine answers before it is dropped.
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
            query_timeout: ask_timeout(core),
            settle_delay: SETTLE_DELAY,
        };
        let mut desk = core.tables.claims.lock();
        desk.insert(ActiveClaim {
            machine: ClaimMachine::new(order, owner, policy),
            name,
            request: subject.request,
            steps,
            outcome: watch::Sender::new(None),
            withdrawn: false,
            lost: false,
        });
        let log_available = desk.log_available;
        feed_desk(core, &mut desk, &claim, ClaimEvent::Begin { log_available });
        drop(desk);
        Self {
            core: Arc::clone(core),
            claim,
            steps: receiver,
            is_open: true,
        }
    }

    /// Asks for leave to send, right before the first byte is written.
    ///
    /// # Errors
    /// What the caller is to be told if the leave is no longer given.
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
            if let ClaimStep::Answer(answer) = step {
                return Err(answer);
            }
        }
        Err(ClaimResponse::Unknown)
    }

    fn try_authorise(&self) -> bool {
        let mut desk = self.core.tables.claims.lock();
        let desk = &mut *desk;
        let Some(active) = desk.active.get_mut(&self.claim) else {
            return false;
        };
        match active.machine.authorise(&desk.table, claim_time()) {
            Ok(_permit) => true,
            Err(decisions) => {
                carry_out(&self.core, active, decisions);
                false
            }
        }
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        // A claim that nobody will dispatch would block its key. One that has
        // not been judged is withdrawn by its machine at its deadline.
        if self.is_open && self.try_authorise() {
            let outcome = not_run();
            let shared = outcome.answer.clone();
            close(&self.core, &self.claim, outcome, shared);
        }
    }
}

impl DispatchedClaim {
    /// Says how the request ended, before its caller is answered.
    pub(in crate::daemon) fn finish(mut self, verdict: RunVerdict, status: u16, body: &[u8]) {
        self.is_open = false;
        let outcome = ClaimOutcome {
            verdict,
            status,
            answer: StoredResponse::of(body),
        };
        let shared = match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_SHARED_ANSWER => StoredResponse::Whole(text.to_owned()),
            _ => outcome.answer.clone(),
        };
        close(&self.core, &self.claim, outcome, shared);
    }

    /// Says that a generation ended; its tokens are kept as a digest only.
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

/// Ends a dispatched claim: tells those who wait for the outcome here, with as
/// much of the answer as is `shared`, and hands it to the log.
fn close(core: &Arc<DaemonCore>, claim: &RecordId, outcome: ClaimOutcome, shared: StoredResponse) {
    let mut desk = core.tables.claims.lock();
    if let Some(active) = desk.active.get(claim) {
        active.outcome.send_replace(Some(ClaimOutcome {
            answer: shared,
            ..outcome
        }));
    }
    feed_desk(core, &mut desk, claim, ClaimEvent::Finished(outcome));
}

/// How long the holder of a key may take to say how its request ended: as long
/// as it may take for the claim and the call.
fn ask_timeout(core: &DaemonCore) -> Duration {
    core.options.timing.claim_timeout + core.options.timing.step_timeout
}
