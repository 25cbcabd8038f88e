//! Applies the records of the claim stream, with the same result on every host.

mod commands;
mod queries;

use std::collections::BTreeSet;
use std::time::SystemTime;

use crate::claims::coverage::LogCoverage;
use crate::claims::record::{ClaimName, ClaimOutcome, ClaimOwner, RequestFingerprint};
use crate::claims::window::ClaimWindow;
use crate::collections::FastMap;
use crate::ids::{LogOffset, RecordId, RequestId};

/// The claims that one host knows from the log.
#[derive(Debug, Clone)]
pub struct ClaimTable {
    window: ClaimWindow,
    next_offset: LogOffset,
    coverage: LogCoverage,
    /// Set once a record was read whose rules this program does not know.
    saw_newer_rules: bool,
    claims: FastMap<RecordId, KnownClaim>,
    /// The claim that holds each key, whether its request is in progress or has ended.
    holders: FastMap<ClaimName, HeldKey>,
    /// Claims in the order in which they are pruned.
    by_age: BTreeSet<(SystemTime, RecordId)>,
    /// Claims on keys created before this time may have been pruned. The time never moves
    /// back, even if the wall clock does.
    pruned_before: SystemTime,
    last_mark: SystemTime,
}

/// A claim that was read from the log, or that its writer withdrew before its record was
/// read.
#[derive(Debug, Clone)]
struct KnownClaim {
    owner: ClaimOwner,
    status: ClaimStatus,
}

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ClaimStatus {
    /// The claim holds its key: its owner may dispatch, may have dispatched, or has
    /// finished.
    Holds(ClaimName),
    /// Another claim held the key when the record was applied.
    Lost,
    /// The owner withdrew the claim. It never takes effect, even if its record appears
    /// later.
    Withdrawn,
}

#[derive(Debug, Clone)]
struct HeldKey {
    holder: ClaimHolder,
    fingerprint: RequestFingerprint,
    outcome: Option<ClaimOutcome>,
}

/// The claim that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimHolder {
    /// Record id of the claim.
    pub claim: RecordId,
    /// The daemon that may dispatch under the claim.
    pub owner: ClaimOwner,
    /// Id of the request that the owner received.
    pub request: RequestId,
}

/// State of a key according to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// No claim holds the key.
    Free,
    /// A claim holds the key; its outcome is unknown.
    Held(ClaimHolder),
    /// The request under the key has ended.
    Ended(ClaimOutcome),
    /// The key is held for a different request.
    Mismatched,
}

/// The result of applying a record of the claim stream under this program's rules.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimJudgement {
    /// The claim holds its key.
    Won,
    /// Another claim holds the key.
    Lost {
        /// Whether the other claim is for a different request.
        mismatched: bool,
        /// The claim that holds the key.
        holder: ClaimHolder,
    },
    /// The claim had been withdrawn before its record appeared.
    AlreadyWithdrawn,
    /// The key is so old that claims on it may have been pruned.
    TooOld,
    /// The withdrawal or outcome took effect, now or earlier.
    Settled,
    /// The withdrawal or outcome was not written by the claim's owner, or comes too late;
    /// or the text is not a record.
    Ignored,
    /// The offset was applied before.
    Repeated,
    /// The record contains only a time mark.
    Marked,
    /// The record has rules that this program does not know.
    UnknownRules,
}

/// The judgement of a record, with the record's id if it could be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JudgedClaim {
    /// Id of the record.
    pub id: Option<RecordId>,
    /// Judgement of the record.
    pub judgement: ClaimJudgement,
}

impl ClaimTable {
    /// Creates an empty table, which expects records from offset zero.
    pub fn new(window: ClaimWindow) -> Self {
        Self {
            window,
            next_offset: 0,
            coverage: LogCoverage::Unread,
            saw_newer_rules: false,
            claims: FastMap::default(),
            holders: FastMap::default(),
            by_age: BTreeSet::new(),
            pruned_before: SystemTime::UNIX_EPOCH,
            last_mark: SystemTime::UNIX_EPOCH,
        }
    }
}
