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

/// Size in bytes up to which a response body is stored whole in the log. Of a larger body
/// only the digest is stored.
pub const MAX_STORED_RESPONSE_BYTES: usize = 1024;

/// Body of a record in the claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBody {
    /// When the record was written, and what its writer had read by then.
    pub mark: TimeMark,
    /// Content of the record.
    pub entry: ClaimEntry,
}

/// Relates offsets to wall time: all records below `seen` had been appended when the
/// writer's wall clock showed `written`.
///
/// The offset of the record itself gives no such bound, because an append may reach the
/// log long after the record was written.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimeMark {
    /// Offset after the last record that the writer had read.
    pub seen: LogOffset,
    /// Wall clock of the writer, in Unix milliseconds.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub written: SystemTime,
}

/// Content of a record of the claim stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimEntry {
    /// The writer wants to dispatch the request.
    Claim(ClaimDetails),
    /// The writer will never dispatch under this claim, or the target refused the
    /// request.
    Withdraw(ClaimRef),
    /// Outcome of the claimed request.
    Outcome {
        /// The claim.
        claim: ClaimRef,
        /// The outcome.
        outcome: ClaimOutcome,
    },
    /// A time mark only.
    Mark,
}

/// A claim on an idempotency key. The id of the record identifies the claim.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimDetails {
    /// The claimed key.
    pub name: ClaimName,
    /// Id of the request that the writer received under the key.
    pub request: RequestId,
    /// Fingerprint of the request's content.
    #[serde_as(as = "DisplayFromStr")]
    pub fingerprint: RequestFingerprint,
    /// Creation time of the key, in Unix milliseconds.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub created: SystemTime,
}

/// An idempotency key, which is unique within its organisation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimName {
    /// Organisation that the request was authenticated for.
    pub organisation: OrganisationId,
    /// The key in its canonical form.
    pub key: IdempotencyKey,
}

/// Reference to a claim in a later record of its writer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRef {
    /// Record id of the claim.
    pub claim: RecordId,
    /// Creation time of the claimed key. A reader that sees this record without the claim
    /// derives from it how long to keep the entry.
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    pub created: SystemTime,
}

/// The daemon incarnation that wrote a claim. No other one may dispatch under it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// Host of the daemon.
    pub host: HostId,
    /// Incarnation of the daemon.
    pub incarnation: IncarnationId,
}

/// Outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// HTTP status that the caller received.
    pub status: u16,
    /// Body of the response.
    pub answer: StoredResponse,
}

/// A response body as it is stored in the log.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredResponse {
    /// The whole body.
    Whole(String),
    /// The digest only, because the body was too large or not text.
    Digest(#[serde_as(as = "DisplayFromStr")] RequestFingerprint),
}

impl StoredResponse {
    /// Returns the stored form of a body: the whole body if it is text of at most
    /// [`MAX_STORED_RESPONSE_BYTES`], otherwise its digest.
    pub fn of(body: &[u8]) -> Self {
        match std::str::from_utf8(body) {
            Ok(text) if text.len() <= MAX_STORED_RESPONSE_BYTES => Self::Whole(text.to_owned()),
            _ => Self::Digest(RequestFingerprint::of("", body)),
        }
    }
}

/// SHA-256 hash of a request's resource and body, written as 64 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint([u8; 32]);

/// The text is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint is 64 hex digits")]
pub struct FingerprintError;

impl RequestFingerprint {
    /// Computes the fingerprint of a request with this body to a service or model.
    pub fn of(resource: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        // The length separates the name from the body.
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
