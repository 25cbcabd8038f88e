//! Checkpoints of the declared state, as written to the log and sent to peers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::formats::Lowercase;
use serde_with::hex::Hex;
use serde_with::serde_as;

use crate::ids::{LogOffset, OperatorId, RecordId};
use crate::resources::{ResourceKey, ResourceSpec};

/// Size of a [`StateHash`] in bytes.
pub const STATE_HASH_BYTES: usize = 32;

/// Hash of the whole content of a checkpoint; equal states have equal hashes. Serialized
/// as lower-case hex.
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

/// The declared state after all records below `as_of`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateCheckpoint {
    /// Offset after the last included record.
    pub as_of: LogOffset,
    /// Highest rules version of the included records.
    pub rules: u32,
    /// Declared resources, sorted by key.
    pub resources: Vec<CheckpointResource>,
    /// Deleted resources whose last version is still kept, sorted by key.
    pub tombstones: Vec<CheckpointTombstone>,
    /// Records whose ids are still kept, sorted by offset.
    pub recent: Vec<RecentRecord>,
    /// Hash of all of the above.
    pub hash: StateHash,
}

/// A declared resource and the change that declared it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeclaredResource {
    /// The declaration.
    pub spec: ResourceSpec,
    /// Offset of the accepted change; used as version, ETag and fencing number.
    pub version: LogOffset,
    /// Operator who made the change.
    pub operator: OperatorId,
}

/// A resource in a checkpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointResource {
    /// Kind and name.
    pub key: ResourceKey,
    /// The declared resource.
    pub resource: Arc<DeclaredResource>,
}

/// The deletion of a resource, kept so that a change based on a version before the
/// deletion is not mistaken for a first declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceTombstone {
    /// Offset of the accepted deletion.
    pub version: LogOffset,
    /// Operator who deleted the resource.
    pub operator: OperatorId,
}

/// A tombstone in a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointTombstone {
    /// Kind and name.
    pub key: ResourceKey,
    /// The deletion.
    pub tombstone: ResourceTombstone,
}

/// A record whose id is kept to detect a repeated append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentRecord {
    /// Offset of its first appearance.
    pub offset: LogOffset,
    /// Id of the record.
    pub id: RecordId,
    /// Result of applying the record.
    #[serde(rename = "fate")]
    pub result: RecordResult,
}

/// The part of a judgement on which all readers agree. The result of comparing a
/// checkpoint is specific to a reader and left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordResult {
    /// The change was accepted; a later change may have replaced it.
    Accepted,
    /// The change was not based on the latest version.
    Lost {
        /// Version that was the latest at the time; `None` if there was none.
        winner: Option<LogOffset>,
        /// Operator who made that change.
        operator: Option<OperatorId>,
    },
    /// The change was not valid.
    Invalid,
    /// The record could not be parsed.
    Malformed,
    /// The record is a checkpoint.
    Checkpoint,
}
