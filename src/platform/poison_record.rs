//! Format of poison requests in the log: the key identifies the request, the value lists
//! the targets that ended while it ran.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::SuspectKey;
use crate::poison::{PoisonEvent, PoisonEvidence};

/// Value of a record.
#[derive(Serialize, Deserialize)]
struct PoisonBody {
    ends: Vec<EndBody>,
}

/// A target that ended when the request began to run on it.
#[derive(Serialize, Deserialize)]
struct EndBody {
    /// As in [`PoisonEvent::Ended`].
    target: u64,
    /// Unix time in milliseconds, by the clock of the host that wrote the record.
    at_ms: u64,
}

/// Parses the key of a record.
///
/// # Errors
///
/// Fails if the key was not made by [`key_text`](crate::poison::key_text); the text gives
/// the reason.
pub fn parse_key(key: &str) -> Result<SuspectKey, String> {
    SuspectKey::from_str_radix(key, 16).map_err(|error| error.to_string())
}

/// Returns the value of the record for a refused request.
///
/// # Errors
///
/// Fails if the value cannot be encoded; the text gives the reason.
pub fn poison_value(evidence: &[PoisonEvidence], now: SystemTime) -> Result<Vec<u8>, String> {
    let ends = evidence.iter().filter_map(|item| match item.event {
        PoisonEvent::Ended(target) => Some(EndBody {
            target,
            at_ms: unix_ms(now.checked_sub(item.age)?),
        }),
        PoisonEvent::Survived => None,
    });
    let body = PoisonBody {
        ends: ends.collect(),
    };
    serde_json::to_vec(&body).map_err(|error| error.to_string())
}

/// Parses the evidence on a request from the value of its record.
///
/// # Errors
///
/// Fails if the value is not in this format; the text gives the reason.
pub fn parse_poison(
    suspect: SuspectKey,
    value: &[u8],
    now: SystemTime,
) -> Result<Vec<PoisonEvidence>, String> {
    let body = serde_json::from_slice::<PoisonBody>(value).map_err(|error| error.to_string())?;
    let evidence = body.ends.into_iter().map(|end| PoisonEvidence {
        suspect,
        event: PoisonEvent::Ended(end.target),
        // The clocks of hosts differ; a time in the future counts as age zero.
        age: Duration::from_millis(unix_ms(now).saturating_sub(end.at_ms)),
    });
    Ok(evidence.collect())
}

fn unix_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(SystemTime::UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
