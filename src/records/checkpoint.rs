//! The state of the declarations, as written to the log and sent to peers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::formats::Lowercase;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::ids::{LogOffset, OperatorId, RecordId};
use crate::resources::{ResourceKey, ResourceSpec};

/// Bytes in a [`StateHash`].
pub const STATE_HASH_BYTES: usize = 32;

/// Hash over everything that a checkpoint carries; equal states have equal
/// hashes. Written as lower-case hex.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StateHash(#[serde_as(as = "Hex<Lowercase>")] pub [u8; STATE_HASH_BYTES]);

impl fmt::Display for StateHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// The state after every record below `as_of`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateCheckpoint {
    /// Offset after the last record included.
    pub as_of: LogOffset,
    /// Highest judging rules of the records included.
    pub rules: u32,
    /// Declared resources, sorted by key.
    pub resources: Vec<CheckpointResource>,
    /// Deleted resources whose last version is still remembered, sorted by key.
    pub tombstones: Vec<CheckpointTombstone>,
    /// Records whose ids are still remembered, sorted by offset.
    pub recent: Vec<RecentRecord>,
    /// Hash over all of the above.
    pub hash: StateHash,
}

/// A declared resource: what stands and since which change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredResource {
    /// What was declared.
    pub spec: ResourceSpec,
    /// Offset of the accepted change: version, ETag and fencing number.
    pub version: LogOffset,
    /// Operator who made it.
    pub operator: OperatorId,
}

/// A resource in a checkpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointResource {
    /// Kind and name.
    pub key: ResourceKey,
    /// What stands.
    pub resource: Arc<DeclaredResource>,
}

/// The deletion of a resource, remembered so that a change based on what
/// stood before it is not taken for a first declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceTombstone {
    /// Offset of the accepted deletion.
    pub version: LogOffset,
    /// Operator who deleted it.
    pub operator: OperatorId,
}

/// A tombstone in a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointTombstone {
    /// Kind and name.
    pub key: ResourceKey,
    /// Its deletion.
    pub tombstone: ResourceTombstone,
}

/// A record whose id is remembered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentRecord {
    /// Offset of its first appearance.
    pub offset: LogOffset,
    /// Its id.
    pub id: RecordId,
    /// How it was judged.
    #[serde(rename = "fate")]
    pub result: RecordResult,
}

/// How a record was judged, as far as every reader judges it alike. What a
/// reader found when comparing a checkpoint is its own affair and left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordResult {
    /// The change stands, or stood until a later one.
    Accepted,
    /// The change was not based on the latest one.
    Lost {
        /// The latest change at the time; `None` if there was none.
        winner: Option<LogOffset>,
        /// Who made it.
        operator: Option<OperatorId>,
    },
    /// The change was not valid.
    Invalid,
    /// The record could not be read.
    Malformed,
    /// The record is a checkpoint.
    Checkpoint,
}
