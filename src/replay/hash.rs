//! An incremental hash of the whole state that is updated in constant time.
//!
//! Each entry (resource, tombstone, recent record) is hashed separately and the hashes
//! are added, so that a change costs two hashes regardless of the size of the state. The
//! sum detects faults and does not resist attackers: the records come from the system's
//! own daemons.

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::ids::LogOffset;
use crate::records::{
    DeclaredResource, RecentRecord, ResourceTombstone, STATE_HASH_BYTES, StateHash,
};
use crate::resources::ResourceKey;

/// Number of lanes of 64 bits in a state hash.
const LANES: usize = 4;
/// Size of a lane in bytes.
const LANE_BYTES: usize = STATE_HASH_BYTES / LANES;

/// One entry of the state. Its compact JSON is the text that is hashed.
///
/// A new field of a resource must leave the JSON of existing resources unchanged
/// (`skip_serializing_if`); otherwise a new program would reject every checkpoint of the
/// old one as damaged.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum HashedEntry<'a> {
    Resource {
        key: &'a ResourceKey,
        resource: &'a DeclaredResource,
    },
    Tombstone {
        key: &'a ResourceKey,
        tombstone: &'a ResourceTombstone,
    },
    Recent(&'a RecentRecord),
}

/// Lane-wise wrapping sum of the hashes of all entries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct HashSum([u64; LANES]);

impl HashSum {
    pub(super) fn add(&mut self, entry: &HashedEntry<'_>) {
        let lanes = entry_lanes(entry);
        for (sum, lane) in self.0.iter_mut().zip(lanes) {
            *sum = sum.wrapping_add(lane);
        }
    }

    pub(super) fn remove(&mut self, entry: &HashedEntry<'_>) {
        let lanes = entry_lanes(entry);
        for (sum, lane) in self.0.iter_mut().zip(lanes) {
            *sum = sum.wrapping_sub(lane);
        }
    }

    /// Returns the hash of the state at an offset.
    pub(super) fn finish(&self, as_of: LogOffset, rules: u32) -> StateHash {
        let mut hasher = Sha256::new();
        hasher.update(as_of.to_le_bytes());
        hasher.update(rules.to_le_bytes());
        for lane in self.0 {
            hasher.update(lane.to_le_bytes());
        }
        StateHash(hasher.finalize().into())
    }
}

fn entry_lanes(entry: &HashedEntry<'_>) -> [u64; LANES] {
    // Serialization cannot fail, because no entry has a map with non-string keys. If it
    // did, the hash of an empty text would hide a difference, so the error text is
    // hashed.
    let text = serde_json::to_vec(entry).unwrap_or_else(|error| error.to_string().into_bytes());
    let digest: [u8; STATE_HASH_BYTES] = Sha256::digest(&text).into();
    let mut lanes = [0; LANES];
    for (lane, chunk) in lanes.iter_mut().zip(digest.chunks_exact(LANE_BYTES)) {
        *lane = chunk
            .iter()
            .fold(0, |value, byte| value << 8 | u64::from(*byte));
    }
    lanes
}
