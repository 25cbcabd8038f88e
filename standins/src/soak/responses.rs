//! What each request is to be answered, worked out from its id alone.

use std::hash::{Hash, Hasher};

/// A number that depends on the id only.
fn hash_of(id: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// The whole body of a plain answer.
pub(super) fn plain_body(id: &str) -> String {
    let repeats = 1 + hash_of(id) % 40;
    (0..repeats).map(|index| format!("{id}:{index};")).collect()
}

/// Number of events of a stream.
pub(super) fn event_count(id: &str) -> u64 {
    4 + hash_of(id) % 40
}

/// One event of a stream, numbered from 1.
pub(super) fn event_text(id: &str, number: u64) -> String {
    format!(
        "id: {number}\ndata: {id}-{number}-{:x}\n\n",
        hash_of(id) ^ number
    )
}

/// The whole body of a stream.
pub(super) fn stream_body(id: &str) -> String {
    (1..=event_count(id))
        .map(|number| event_text(id, number))
        .collect()
}
