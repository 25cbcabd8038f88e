//! Records of the claim stream.

use std::fmt;
use std::str::FromStr;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, TimestampMilliSeconds, serde_as};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::ids::{
    HostId, IdempotencyKey, IncarnationId, LogOffset, OrganisationId, RecordId, RequestId,
};
use crate::verdict::RunVerdict;

/// Largest answer kept whole in the log, in bytes; larger ones are kept as a
/// fingerprint.
pub const MAX_STORED_RESPONSE_BYTES: usize = 1024;

/// Body of a record in the claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBody {
    /// When it was written, and what its writer had read by then.
    pub mark: TimeMark,
    /// What it says.
    pub entry: ClaimEntry,
}

/// Ties offsets to wall time: all records below `seen` had been appended when
/// the writer's wall clock showed `written`.
///
/// A record's own offset proves nothing of the kind, because an append may
/// reach the log long after it was written.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeMark {
    /// Offset after the last record that the writer had read.
    pub seen: LogOffset,
    /// The writer's wall clock, in unix milliseconds.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub written: SystemTime,
}

/// What a record of the claim stream says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEntry {
    /// The writer wants to dispatch the request.
    Claim(ClaimDetails),
    /// The writer will never dispatch for this claim, or its target refused.
    Withdraw(ClaimRef),
    /// How the claimed request ended.
    Outcome {
        /// The claim.
        claim: ClaimRef,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// Nothing but the time mark.
    Mark,
}

/// A claim on an idempotency key. The record's id identifies the claim.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimDetails {
    /// What is claimed.
    pub name: ClaimName,
    /// The request that the writer got under the key.
    pub request: RequestId,
    /// What the request asks for.
    #[serde_as(as = "DisplayFromStr")]
    pub fingerprint: RequestFingerprint,
    /// The key's creation time, in unix milliseconds.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub created: SystemTime,
}

/// A key, which is unique within its organisation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimName {
    /// Organisation that the request was authenticated for.
    pub organisation: OrganisationId,
    /// The key in its canonical form.
    pub key: IdempotencyKey,
}

/// Names a claim in a later record of its writer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Record id of the claim.
    pub claim: RecordId,
    /// The claimed key's creation time, so that a reader which sees this
    /// record without the claim knows how long to remember it.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub created: SystemTime,
}

/// The daemon's life that wrote a claim, the only one that may dispatch for it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// Its host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: IncarnationId,
}

/// How a claimed request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// HTTP status that its caller was given.
    pub status: u16,
    /// The answer's body.
    pub answer: StoredResponse,
}

/// An answer's body, as far as it is kept.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredResponse {
    /// The whole body.
    Whole(String),
    /// Only its fingerprint: it was too large, or not text.
    Digest(#[serde_as(as = "DisplayFromStr")] RequestFingerprint),
}

impl StoredResponse {
    /// Keeps a body whole if it is short text.
    pub fn of(body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_STORED_RESPONSE_BYTES => Self::Whole(text.to_owned()),
            _ => Self::Digest(RequestFingerprint::of("", body)),
        }
    }
}

/// SHA-256 over what a request asks for, written as 64 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint([u8; 32]);

/// Text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint is 64 hex digits")]
pub struct FingerprintError;

impl RequestFingerprint {
    /// The fingerprint of a request with this body to this service or model.
    pub fn of(resource: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        // The length keeps the name and the body apart.
        hasher.update(resource.len().to_be_bytes());
        hasher.update(resource);
        hasher.update(body);
        Self(hasher.finalize().into())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; 32];
        if text.len() != 2 * bytes.len() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(FingerprintError);
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| FingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
