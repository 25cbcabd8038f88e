//! Bodies of calls to the platform: JSON over HTTP/1.1.
//!
//! | call | body | response |
//! |---|---|---|
//! | `POST /v1/streams/{stream}/records` | [`AppendBody`] | 200 [`AppendResponse`] |
//! | `GET /v1/streams/{stream}/records?from=N&limit=M&wait_ms=T` | none | 200 [`ReadResponse`] |
//! | `GET /v1/hosts` | none | 200 [`HostList`] |
//!
//! An append without a response may have taken effect. A read waits up to `wait_ms` while
//! there is no record to return. Records below `first_offset` have expired.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{HostId, LogOffset, TargetId, ZoneId};

/// Records to append, in order, as one batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct AppendBody {
    /// The records, each as JSON text.
    pub records: Vec<String>,
}

/// Offsets of a stored batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AppendResponse {
    /// Offset of the first record; the others have the offsets after it.
    pub first_offset: LogOffset,
}

/// One stored record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: LogOffset,
    /// JSON text, as appended.
    pub body: String,
}

/// Records from an offset on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ReadResponse {
    /// Oldest retained offset.
    pub first_offset: LogOffset,
    /// Offset of the next append.
    pub end_offset: LogOffset,
    /// The records, in order and without gaps.
    pub records: Vec<StoredRecord>,
}

/// Phase of a listed host or target.
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
    /// Id of the target.
    pub target: TargetId,
    /// Its phase.
    pub phase: ListedPhase,
}

/// An entry host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct ListedHost {
    /// Id of the host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which its daemon listens to peers.
    pub peer_address: String,
    /// Its phase.
    pub phase: ListedPhase,
}

/// The platform's list of live and leaving hosts and targets; it lags behind their real
/// state.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
pub struct HostList {
    /// Entry hosts.
    pub hosts: Vec<ListedHost>,
    /// Targets.
    pub targets: Vec<ListedTarget>,
}
