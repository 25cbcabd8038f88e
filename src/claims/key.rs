//! Idempotency keys: UUIDs of version 7, which contain their creation time.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use thiserror::Error;
use uuid::Uuid;

use crate::ids::IdempotencyKey;

/// UUID version whose first 48 bits are the Unix time in milliseconds.
const TIMESTAMPED_UUID_VERSION: usize = 7;

/// Length in bytes of the timestamp at the start of such a UUID.
const TIMESTAMP_BYTES: usize = 6;

/// An idempotency key and the creation time that it contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedKey {
    /// The key in its canonical form: lower case, hyphenated.
    pub key: IdempotencyKey,
    /// Creation time by the caller's clock.
    pub created: SystemTime,
}

/// Why a value of the `Idempotency-Key` header is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The value is not a UUID.
    #[error("the idempotency key must be a UUID of version 7")]
    NotUuid,
    /// The UUID has another version, which does not contain a creation time.
    #[error(
        "the idempotency key must be a UUID of version 7, not {0}: only version 7 contains the creation time"
    )]
    NoTime(usize),
}

/// Parses the value of an `Idempotency-Key` header, with or without the quotes of a
/// structured field string.
///
/// # Errors
///
/// Rejects keys that do not contain their creation time: once the records of a key have
/// expired from the log, only its creation time distinguishes an old key from a new one.
/// Without it the request could run a second time.
pub fn parse_key(value: &str) -> Result<TimedKey, KeyError> {
    let value = value.trim();
    let text = value
        .strip_prefix('"')
        .and_then(|rest| rest.strip_suffix('"'))
        .unwrap_or(value);
    let uuid = Uuid::parse_str(text).map_err(|_| KeyError::NotUuid)?;
    if uuid.get_version_num() != TIMESTAMPED_UUID_VERSION {
        return Err(KeyError::NoTime(uuid.get_version_num()));
    }
    let millis = uuid.as_bytes()[..TIMESTAMP_BYTES]
        .iter()
        .fold(0, |millis, &byte| (millis << 8) | u64::from(byte));
    // The canonical form makes keys that differ only in case equal.
    let key = Arc::from(uuid.hyphenated().to_string());
    let created = UNIX_EPOCH + Duration::from_millis(millis);
    Ok(TimedKey { key, created })
}
