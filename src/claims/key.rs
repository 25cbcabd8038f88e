//! Idempotency keys: UUIDs of version 7, which carry their creation time.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use thiserror::Error;
use uuid::Uuid;

use crate::ids::IdempotencyKey;

/// The UUID version whose first 48 bits are the unix time in milliseconds.
const TIMESTAMPED_UUID_VERSION: usize = 7;

/// Bytes of the timestamp in front of such a UUID.
const TIMESTAMP_BYTES: usize = 6;

/// A key together with the creation time that it carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TimedKey {
    /// The key in its canonical form: lower case, hyphenated.
    pub key: IdempotencyKey,
    /// When the caller made it, by the caller's clock.
    pub created: SystemTime,
}

/// Why a value of `Idempotency-Key` is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum KeyError {
    /// Not a UUID.
    #[error("the idempotency key must be a UUID of version 7")]
    NotUuid,
    /// A UUID without a creation time.
    #[error("the idempotency key must be a UUID of version 7, not {0}: only that carries its time")]
    NoTime(usize),
}

/// Reads the value of an `Idempotency-Key` header, with or without the quotes
/// of a structured field string.
///
/// # Errors
///
/// Refuses keys that do not carry their creation time: once its records have
/// expired from the log, nothing else would tell an old key from a new one,
/// and the request could run a second time.
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
    // Written in one way only, or the same key in capitals would be another.
    let key = Arc::from(uuid.hyphenated().to_string());
    let created = UNIX_EPOCH + Duration::from_millis(millis);
    Ok(TimedKey { key, created })
}
