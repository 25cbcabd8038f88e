//! Expected response to each request, derived from its id alone.

use std::hash::{Hash, Hasher};

/// Returns a number that depends only on the id.
fn hash_of(id: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Returns the complete body of a plain response.
pub(super) fn plain_body(id: &str) -> String {
    let repeats = 1 + hash_of(id) % 40;
    (0..repeats).map(|index| format!("{id}:{index};")).collect()
}

/// Returns the number of events of a stream.
pub(super) fn event_count(id: &str) -> u64 {
    4 + hash_of(id) % 40
}

/// Returns one event of a stream, numbered from 1.
pub(super) fn event_text(id: &str, number: u64) -> String {
    format!(
        "id: {number}\ndata: {id}-{number}-{:x}\n\n",
        hash_of(id) ^ number
    )
}

/// Returns the complete body of a stream.
pub(super) fn stream_body(id: &str) -> String {
    (1..=event_count(id))
        .map(|number| event_text(id, number))
        .collect()
}
