//! Judges the records of the claim stream, alike on every host.

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
    /// Set once a record has come that this program cannot judge.
    saw_newer_rules: bool,
    claims: FastMap<RecordId, KnownClaim>,
    /// The live or ended claim of each key.
    holders: FastMap<ClaimName, HeldKey>,
    /// Order in which claims are forgotten.
    by_age: BTreeSet<(SystemTime, RecordId)>,
    /// Keys made before this may have been forgotten. Never moves back, even
    /// if the wall clock does.
    pruned_before: SystemTime,
    last_mark: SystemTime,
}

/// A claim seen in the log, or named there by its writer before it shows.
#[derive(Debug, Clone)]
struct KnownClaim {
    owner: ClaimOwner,
    status: ClaimStatus,
}

/// What has become of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ClaimStatus {
    /// It holds its key: its owner may dispatch, may have dispatched, or has
    /// finished.
    Holds(ClaimName),
    /// Another claim held the key when it came.
    Lost,
    /// Its owner withdrew it; it never counts, even if it turns up later.
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
    /// Who may dispatch for it.
    pub owner: ClaimOwner,
    /// The request that the owner got.
    pub request: RequestId,
}

/// What the log says about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// No claim holds it.
    Free,
    /// A claim holds it; the outcome is not known.
    Held(ClaimHolder),
    /// The request under it has ended.
    Ended(ClaimOutcome),
    /// It is held for another request.
    Mismatched,
}

/// How a record was judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimJudgement {
    /// The claim holds its key.
    Won,
    /// The key is held by another claim.
    Lost {
        /// Whether the other claim is for another request.
        mismatched: bool,
        /// The other claim.
        holder: ClaimHolder,
    },
    /// The claim had been withdrawn before it showed.
    AlreadyWithdrawn,
    /// The key is so old that claims on it may have been forgotten.
    TooOld,
    /// The withdrawal or outcome took effect, or had already.
    Settled,
    /// The withdrawal or outcome is not its owner's, or comes too late; or the
    /// text is no record.
    Ignored,
    /// The record was seen before.
    Repeated,
    /// It carried only a time mark.
    Marked,
    /// It is to be judged by rules that this program does not know.
    UnknownRules,
}

/// A record's id, as far as it could be read, and how it was judged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JudgedClaim {
    /// The record's id.
    pub id: Option<RecordId>,
    /// The judgement.
    pub judgement: ClaimJudgement,
}

impl ClaimTable {
    /// An empty table, to be filled from offset zero on.
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
