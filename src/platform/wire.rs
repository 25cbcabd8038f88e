//! Bodies exchanged with the platform: JSON over HTTP/1.1.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/streams/{stream}/records` | [`AppendBody`] | 200 [`AppendResponse`] |
//! | `GET /v1/streams/{stream}/records?from=N&limit=M&wait_ms=T` | none | 200 [`ReadResponse`] |
//! | `GET /v1/hosts` | none | 200 [`HostList`] |
//!
//! An append whose answer is lost may have taken effect. A read waits up to
//! `wait_ms` when nothing is there yet. Records below `first_offset` have expired.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{HostId, LogOffset, TargetId, ZoneId};

/// Records to append, in order, as one batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct AppendBody {
    /// Bodies of the records; each is the JSON text of a record.
    pub records: Vec<String>,
}

/// Where a batch was stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AppendResponse {
    /// Offset of the first record; the others follow.
    pub first_offset: LogOffset,
}

/// One stored record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// JSON text as appended.
    pub body: String,
}

/// Records from an offset on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReadResponse {
    /// Oldest offset still kept.
    pub first_offset: LogOffset,
    /// Offset that the next append will get.
    pub end_offset: LogOffset,
    /// The records, in order, without gaps from the first returned.
    pub records: Vec<StoredRecord>,
}

/// Whether a listed host is live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ListedPhase {
    /// In service.
    Live,
    /// About to leave.
    Leaving,
}

/// A target's entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ListedTarget {
    /// Name of the target.
    pub target: TargetId,
    /// Its phase.
    pub phase: ListedPhase,
}

/// An entry host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which its daemon listens to peers.
    pub peer_address: String,
    /// Its phase.
    pub phase: ListedPhase,
}

/// The platform's list of live and leaving hosts; it lags behind reality.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
pub struct HostList {
    /// Entry hosts.
    pub hosts: Vec<ListedHost>,
    /// Target hosts.
    pub targets: Vec<ListedTarget>,
}
