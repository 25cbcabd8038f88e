//! State machine of one non-idempotent request on one host.
//!
//! ```text
//!            append          replayed as won        authorise
//!  (begin) ─────────▶ Waiting ─────────────▶ Won ─────────────▶ Dispatched
//!     │                  │  │                 │                     │
//!     │    replayed as   │  │ deadline        │ deadline            │ finished
//!     ▼    lost          ▼  ▼                 ▼                     ▼
//!  Querying ◀────────────┘  Closed (withdrawal)              Closed (outcome)
//! ```

mod transitions;

use std::time::{Duration, Instant, SystemTime};

use crate::claims::record::{ClaimBody, ClaimName, ClaimOutcome, ClaimOwner, RequestFingerprint};
use crate::claims::response::ClaimResponse;
use crate::claims::table::{ClaimHolder, ClaimJudgement};
use crate::ids::{RecordId, RequestId};
use crate::platform::error::AppendVerdict;
use crate::records::LogRecord;

/// A non-idempotent request for which a claim is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Record id of the claim; unique over all daemons and their incarnations.
    pub claim: RecordId,
    /// The idempotency key.
    pub name: ClaimName,
    /// Creation time of the key.
    pub created: SystemTime,
    /// Id of the request.
    pub request: RequestId,
    /// Fingerprint of the request's content.
    pub fingerprint: RequestFingerprint,
    /// Time by which the request must be dispatched; after it the request is refused.
    pub deadline: Instant,
}

/// Delays and timeouts of a claimant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// When a refused caller may retry, if no better time is known.
    pub retry_after: Duration,
    /// How long the daemon that holds the key may take to report the outcome of the
    /// request.
    pub query_timeout: Duration,
    /// Delay before a withdrawal or outcome that has not appeared in the log is appended
    /// again; doubled after each attempt.
    pub settle_delay: Duration,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The request arrived.
    Begin {
        /// Whether the log is reachable, as far as is known.
        log_available: bool,
    },
    /// The append of the claim failed.
    AppendFailed(AppendVerdict),
    /// The record with the claim's id was replayed.
    ClaimReplayed(ClaimJudgement),
    /// The record with the id [`ClaimMachine::settlement_id`] was replayed.
    SettlementReplayed,
    /// The holder of the key reported the outcome of the request.
    HolderReplied(ClaimOutcome),
    /// The holder of the key could not be reached, or does not know the outcome.
    HolderUnavailable,
    /// The dispatched request ended.
    Finished(ClaimOutcome),
    /// Time has passed.
    Tick,
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimDecision {
    /// Append this record to the claim stream.
    Append(LogRecord<ClaimBody>),
    /// Dispatch the request, as the claim has won. [`ClaimMachine::authorise`] must be
    /// called right before the first byte is written to a target.
    Dispatch,
    /// Query the daemon that holds the key for the outcome of the request.
    QueryHolder(ClaimHolder),
    /// Respond to the caller. Decided at most once, and never after a dispatch.
    Respond(ClaimResponse),
}

/// Permission to dispatch a claimed request once. It cannot be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    claim: RecordId,
}

impl DispatchPermit {
    /// Returns the id of the claim under which the request is dispatched.
    pub fn claim(&self) -> &RecordId {
        &self.claim
    }
}

/// State of one request on the host that claims its key.
#[derive(Debug)]
pub struct ClaimMachine {
    request: ClaimRequest,
    owner: ClaimOwner,
    policy: ClaimPolicy,
    phase: ClaimPhase,
    settlement: Option<ClaimSettlement>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimPhase {
    /// [`ClaimEvent::Begin`] has not been handled.
    New,
    /// The claim may have been appended; its record has not been replayed.
    Waiting,
    /// The claim holds the key; the request has not been dispatched.
    Won,
    /// The dispatch permit was issued. It is never issued again.
    Dispatched,
    /// Another daemon holds the key and is being queried.
    Querying {
        /// When the query times out.
        until: Instant,
    },
    /// The caller has a response, or the request has ended. No permit is issued any more.
    Closed,
}

/// A withdrawal or outcome that is appended until it appears in the log.
#[derive(Debug, Clone)]
struct ClaimSettlement {
    record: LogRecord<ClaimBody>,
    next_attempt: Instant,
    delay: Duration,
}

impl ClaimMachine {
    /// Creates the state machine of a request that this daemon received.
    pub fn new(request: ClaimRequest, owner: ClaimOwner, policy: ClaimPolicy) -> Self {
        Self {
            request,
            owner,
            policy,
            phase: ClaimPhase::New,
            settlement: None,
        }
    }

    /// Returns the id of the claim's record.
    pub fn claim_id(&self) -> &RecordId {
        &self.request.claim
    }

    /// Returns the id of the record that withdraws the claim or states its outcome. A
    /// state machine appends only one of the two.
    pub fn settlement_id(&self) -> RecordId {
        format!("{}/settled", self.request.claim).into()
    }

    /// Returns whether all work is done, so that the state machine may be dropped.
    pub fn is_done(&self) -> bool {
        self.phase == ClaimPhase::Closed && self.settlement.is_none()
    }

    /// Returns whether the dispatch permit was issued.
    pub fn is_dispatched(&self) -> bool {
        self.phase == ClaimPhase::Dispatched
    }
}
