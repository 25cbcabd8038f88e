//! The envelope of all records that the system keeps in the platform's log.

mod checkpoint;
mod declaration;
mod raw;

pub use checkpoint::{
    CheckpointResource, CheckpointTombstone, DeclaredResource, RecentRecord, RecordResult,
    ResourceTombstone, STATE_HASH_BYTES, StateCheckpoint, StateHash,
};
pub use declaration::{ChangeAction, DeclarationBody, ResourceChange};
pub use raw::RawRecord;

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, IncarnationId, RecordId};

/// Stream of declared changes and checkpoints of the declared state.
pub const DECLARATION_STREAM: &str = "declarations";
/// Stream of leases.
pub const LEASE_STREAM: &str = "leases";
/// Stream of claims on idempotency keys.
pub const CLAIM_STREAM: &str = "claims";
/// Stream of the allocation of bought capacity to availability zones.
pub const ALLOTMENT_STREAM: &str = "allotments";

/// Version of the rules by which records are judged. A record with a higher version stops
/// its reader, which is then not ready, because it would judge the record differently
/// from other hosts.
pub const JUDGING_RULES: u32 = 1;

/// A log record: its unique id, its writer and its body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord<B> {
    /// Chosen by the writer before the first append; a repeated append carries the same
    /// id.
    pub id: RecordId,
    /// Version of the rules by which the record is judged.
    pub rules: u32,
    /// Host that wrote the record.
    pub writer: HostId,
    /// Incarnation of the writer.
    pub incarnation: IncarnationId,
    /// Content of the record.
    pub body: B,
}
