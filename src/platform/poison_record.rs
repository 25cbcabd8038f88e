//! A poison request as it stands in the log: the key is the request's, the value
//! names the targets that ended under it.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::{RequestKey, TargetKey};
use crate::poison::{PoisonEvent, PoisonEvidence};

/// A record's value.
#[derive(Serialize, Deserialize)]
struct PoisonBody {
    ends: Vec<EndBody>,
}

/// A target that ended as the request began to run there.
#[derive(Serialize, Deserialize)]
struct EndBody {
    target: TargetKey,
    /// Unix millisecond, by the clock of the host that wrote the record.
    at_ms: u64,
}

/// The request whose record has this key.
///
/// # Errors
///
/// If the key is no [`key_text`](crate::poison::key_text); the text says why.
pub fn parse_key(key: &str) -> Result<RequestKey, String> {
    RequestKey::from_str_radix(key, 16).map_err(|error| error.to_string())
}

/// The value of the record of a request that is refused.
///
/// # Errors
///
/// If it cannot be encoded; the text says why.
pub fn poison_value(notes: &[PoisonEvidence], now: SystemTime) -> Result<Vec<u8>, String> {
    let ends = notes.iter().filter_map(|note| match note.event {
        PoisonEvent::Ended(target) => Some(EndBody {
            target,
            at_ms: unix_ms(now.checked_sub(note.age)?),
        }),
        PoisonEvent::Survived => None,
    });
    let body = PoisonBody {
        ends: ends.collect(),
    };
    serde_json::to_vec(&body).map_err(|error| error.to_string())
}

/// What a record says of a request.
///
/// # Errors
///
/// If the value is another writer's; the text says why.
pub fn parse_poison(
    request: RequestKey,
    value: &[u8],
    now: SystemTime,
) -> Result<Vec<PoisonEvidence>, String> {
    let body = serde_json::from_slice::<PoisonBody>(value).map_err(|error| error.to_string())?;
    let notes = body.ends.into_iter().map(|end| PoisonEvidence {
        request,
        event: PoisonEvent::Ended(end.target),
        // Clocks of two hosts differ; nothing ends in the future.
        age: Duration::from_millis(unix_ms(now).saturating_sub(end.at_ms)),
    });
    Ok(notes.collect())
}

fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
