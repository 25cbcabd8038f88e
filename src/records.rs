//! The envelope of every record that the system keeps in the platform's log.

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

/// Stream with declared changes and checkpoints of them.
pub const DECLARATION_STREAM: &str = "declarations";
/// Stream with leases.
pub const LEASE_STREAM: &str = "leases";
/// Stream with claims on idempotency keys.
pub const CLAIM_STREAM: &str = "claims";
/// Stream with the split of bought capacity over availability zones.
pub const ALLOTMENT_STREAM: &str = "allotments";

/// Version of the rules by which records are judged. A record with a higher
/// version than the reader knows stops the reader from being ready, because
/// it would judge differently from the others.
pub const JUDGING_RULES: u32 = 1;

/// A record: who wrote it, under which unique id, and its body.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord<B> {
    /// Chosen by the writer before the first append; a repeated append has the same id.
    pub id: RecordId,
    /// Rules by which the record is to be judged.
    pub rules: u32,
    /// Host that wrote it.
    pub writer: HostId,
    /// The writer's incarnation.
    pub incarnation: IncarnationId,
    /// What it says.
    pub body: B,
}
