//! What one host does for one non-idempotent request.
//!
//! ```text
//!           append          replayed as won        authorise
//! (begin) ─────────▶ Waiting ─────────────▶ Won ─────────────▶ Dispatched
//!    │                  │  │                 │                     │
//!    │    replayed as   │  │ deadline        │ deadline            │ finished
//!    ▼    lost          ▼  ▼                 ▼                     ▼
//!  Asking ◀─────────────┘  Closed (withdrawal)              Closed (outcome)
//! ```

mod transitions;

use std::time::{Duration, Instant, SystemTime};

use crate::claims::record::{ClaimBody, ClaimName, ClaimOutcome, ClaimOwner, RequestFingerprint};
use crate::claims::response::ClaimResponse;
use crate::claims::table::{ClaimHolder, ClaimJudgement};
use crate::ids::{RecordId, RequestId};
use crate::platform::error::AppendVerdict;
use crate::records::LogRecord;

/// A non-idempotent request that asks to be run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Record id for its claim; unique over all daemons and their lives.
    pub claim: RecordId,
    /// The key.
    pub name: ClaimName,
    /// The key's creation time.
    pub created: SystemTime,
    /// The request.
    pub request: RequestId,
    /// What it asks for.
    pub fingerprint: RequestFingerprint,
    /// Until when it must be dispatched, or else is refused.
    pub deadline: Instant,
}

/// Delays that a claimant uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimPolicy {
    /// When a refused caller may come back, if nothing better is known.
    pub retry_after: Duration,
    /// How long the daemon that holds the key may take to tell how the
    /// request ended.
    pub query_timeout: Duration,
    /// First delay before a withdrawal or outcome that does not show in the
    /// log is appended again; doubled each time.
    pub settle_delay: Duration,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The request came.
    Begin {
        /// Whether the log can be reached, as far as is known.
        log_available: bool,
    },
    /// The append of the claim failed.
    AppendFailed(AppendVerdict),
    /// The record with the claim's id was replayed.
    ClaimReplayed(ClaimJudgement),
    /// The record with the id [`ClaimMachine::settlement_id`] was replayed.
    SettlementReplayed,
    /// The holder of the key said how the request ended.
    HolderReplied(ClaimOutcome),
    /// The holder of the key could not be asked, or does not know.
    HolderUnavailable,
    /// The dispatched request ended.
    Finished(ClaimOutcome),
    /// Time passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimDecision {
    /// Append this record to the claim stream.
    Append(LogRecord<ClaimBody>),
    /// The claim won: call [`ClaimMachine::authorise`] right before the first
    /// byte is written to a target.
    Dispatch,
    /// Ask the daemon that holds the key how the request ends.
    QueryHolder(ClaimHolder),
    /// Answer the caller; given once, and never after a dispatch.
    Respond(ClaimResponse),
}

/// Leave to dispatch a claimed request once. Cannot be copied.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    claim: RecordId,
}

impl DispatchPermit {
    /// The claim under which the request is dispatched.
    pub fn claim(&self) -> &RecordId {
        &self.claim
    }
}

/// The claimant's state for one request.
#[derive(Debug)]
pub struct ClaimMachine {
    request: ClaimRequest,
    owner: ClaimOwner,
    policy: ClaimPolicy,
    state: ClaimState,
    settlement: Option<ClaimSettlement>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    /// Not begun.
    New,
    /// The claim was appended, perhaps; its record has not been replayed.
    Waiting,
    /// The claim holds the key; nothing was dispatched.
    Won,
    /// A permit was given out. It is never given again.
    Dispatched,
    /// Another daemon holds the key and is being asked.
    Querying {
        /// Until when.
        until: Instant,
    },
    /// The caller has its answer, or the run has ended. No permit any more.
    Closed,
}

/// A withdrawal or outcome that is appended until it shows in the log.
#[derive(Debug, Clone)]
struct ClaimSettlement {
    record: LogRecord<ClaimBody>,
    next_attempt: Instant,
    delay: Duration,
}

impl ClaimMachine {
    /// A machine for a request of this daemon's.
    pub fn new(request: ClaimRequest, owner: ClaimOwner, policy: ClaimPolicy) -> Self {
        Self {
            request,
            owner,
            policy,
            state: ClaimState::New,
            settlement: None,
        }
    }

    /// Id of the claim's record.
    pub fn claim_id(&self) -> &RecordId {
        &self.request.claim
    }

    /// Id of the record that withdraws the claim or says how it ended. A
    /// machine appends only one of the two.
    pub fn settlement_id(&self) -> RecordId {
        format!("{}/settled", self.request.claim).into()
    }

    /// Whether nothing is left to do, so that the machine may be dropped.
    pub fn is_done(&self) -> bool {
        self.state == ClaimState::Closed && self.settlement.is_none()
    }

    /// Whether a permit was given out.
    pub fn is_dispatched(&self) -> bool {
        self.state == ClaimState::Dispatched
    }
}
