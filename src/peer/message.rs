//! Messages between daemons, independent of the encoding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::{
    HostId, IdempotencyKey, IncarnationId, LogOffset, OrganisationId, RequestId, ServiceId,
    TargetId, ZoneId,
};
use crate::platform::wire::StoredRecord;
use crate::verdict::RunVerdict;

/// A host's report on itself and on the targets that it watches.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerHeartbeat {
    /// Host that sends the heartbeat.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Grows by one with each heartbeat of this incarnation.
    pub sequence: u64,
    /// Offset after the last applied declaration record.
    pub applied_offset: LogOffset,
    /// Whether the host refuses new requests.
    pub draining: bool,
    /// Address on which it listens to peers.
    pub peer_address: SocketAddr,
    /// Loads of targets.
    pub loads: Vec<PeerLoad>,
    /// Demands on the holder of the zone's shares; empty towards other hosts.
    pub demands: Vec<PeerDemand>,
    /// Offset of the lease whose holder the demands are meant for.
    pub demands_for: Option<LogOffset>,
    /// Summary of its own zone, sent only to hosts of other zones.
    pub digest: Option<ZoneDigest>,
}

/// Load of one target, as last observed by a host that watches it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// The target.
    pub target: TargetId,
    /// Running steps or calls.
    pub running: u32,
    /// Waiting steps or calls.
    pub waiting: u32,
    /// Tokens per second over the last seconds.
    pub tokens_per_second: f64,
    /// Age of the figures when they were sent.
    pub age: Duration,
    /// Whether the target refuses new sessions.
    pub leaving: bool,
}

/// What a host demands of an organisation's capacity, and what it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDemand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting in the organisation's queue.
    pub waiting: u32,
    /// Requests per minute that reached the host over the last seconds.
    pub wanted_rate: u32,
    /// Concurrent requests that the host may run under its last grant.
    pub held_grant: u32,
    /// Requests per minute that the host may start under its last grant.
    pub held_rate: u32,
    /// Number of the last grant applied.
    pub grant_number: u64,
    /// Lease under which that grant was given, if any.
    pub grant_lease: Option<LogOffset>,
}

/// What a host may use of an organisation's capacity until the next grant or the expiry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerGrant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests in flight at once.
    pub concurrent_requests: u32,
    /// Requests started per minute.
    pub requests_per_minute: u32,
    /// Grows with each grant of one holder.
    pub number: u64,
    /// Time until the grant expires unless it is renewed, counted from when the host sent
    /// the heartbeat that is replied to; `None` if the grant does not expire.
    pub expires_after: Option<Duration>,
}

/// A bounded summary of one availability zone, as one of its hosts sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneId,
    /// Hosts counted as live, including the sender.
    pub live_hosts: u32,
    /// Lowest applied offset of the live hosts.
    pub lowest_applied_offset: LogOffset,
    /// The live host with that offset.
    pub slowest_host: HostId,
    /// Some of the unreachable hosts.
    pub unreachable: Vec<HostId>,
    /// Total number of unreachable hosts.
    pub unreachable_count: u32,
}

/// Reply to a heartbeat: the receiver's own heartbeat, and grants if it holds the lease
/// on the zone's shares.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReply {
    /// The receiver's own heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// Lease under which the grants are given; `None` if the receiver holds none.
    pub lease_offset: Option<LogOffset>,
    /// Grants to the caller.
    pub grants: Vec<PeerGrant>,
}

/// Request for log records that a peer has replayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordsRequest {
    /// Stream of the log.
    pub stream: String,
    /// First offset requested.
    pub from: LogOffset,
    /// Maximum number of records.
    pub limit: u32,
}

/// Log records relayed by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RelayedRange {
    /// Oldest offset that the sender can relay.
    pub first_offset: LogOffset,
    /// Offset after the last record that the sender knows of.
    pub end_offset: LogOffset,
    /// Records, in order.
    pub records: Vec<StoredRecord>,
    /// JSON text of a checkpoint, if the records do not reach back far enough.
    pub checkpoint: Option<String>,
}

/// Query to the host that won a claim, for the outcome of the claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimQuery {
    /// Id of the request for which the queried host claimed the key.
    pub request: RequestId,
    /// Called service; empty if the sender does not state it.
    pub service: ServiceId,
    /// Called operation; empty if the sender does not state it.
    pub operation: String,
    /// Idempotency key of the claim.
    pub key: IdempotencyKey,
    /// Organisation that is charged for the request.
    pub organisation: OrganisationId,
}

/// Outcome of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimQueryReply {
    /// The queried host does not know the claim.
    Unknown,
    /// The claim is known, and its request has this verdict.
    Known {
        /// Whether the request may have run.
        verdict: RunVerdict,
        /// HTTP status of the response; zero while there is none.
        status: u16,
        /// Body of the response.
        body: Bytes,
    },
}
