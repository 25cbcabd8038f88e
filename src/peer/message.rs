//! What peers say to each other, free of any encoding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::{
    HostId, IdempotencyKey, IncarnationId, LogOffset, OrganisationId, RequestId, ServiceId,
    TargetId, ZoneId,
};
use crate::platform::wire::StoredRecord;
use crate::verdict::RunVerdict;

/// A host's statement about itself and about what it watches.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerHeartbeat {
    /// Host that speaks.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Grows by one with each statement of this incarnation.
    pub sequence: u64,
    /// Offset after the last applied declaration record.
    pub applied_offset: LogOffset,
    /// Whether it accepts nothing new.
    pub draining: bool,
    /// Address on which it listens to peers.
    pub peer_address: SocketAddr,
    /// Loads of targets.
    pub loads: Vec<PeerLoad>,
    /// What it asks of the holder of the zone's shares; empty towards others.
    pub demands: Vec<PeerDemand>,
    /// Offset of the lease whose holder the demands address.
    pub demands_for: Option<LogOffset>,
    /// What it knows of its own zone, said only to hosts of other zones.
    pub digest: Option<ZoneDigest>,
}

/// Load of one target, as last measured by a host that watches it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// The target.
    pub target: TargetId,
    /// Steps or calls running.
    pub running: u32,
    /// Steps or calls waiting.
    pub waiting: u32,
    /// Tokens a second over the last seconds.
    pub tokens_per_second: f64,
    /// Age of the figures when they were sent.
    pub age: Duration,
    /// Whether the target refuses new sessions.
    pub leaving: bool,
}

/// What a host wants to use of an organisation's capacity, and what it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDemand {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests waiting in the organisation's queue.
    pub waiting: u32,
    /// Requests per minute asked of the host over the last seconds.
    pub wanted_rate: u32,
    /// Concurrent requests that the host may use until told otherwise.
    pub held_grant: u32,
    /// Requests per minute that the host may start until told otherwise.
    pub held_rate: u32,
    /// Number of the last grant taken in.
    pub grant_number: u64,
    /// Lease under which that grant was given, if there was one.
    pub grant_lease: Option<LogOffset>,
}

/// What a host may use of an organisation's capacity until told otherwise.
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
    /// Time after which it ends unless renewed, counted from when the host
    /// sent the heartbeat that it answers; `None` if it stays.
    pub expires_after: Option<Duration>,
}

/// A bounded summary of one availability zone, as one of its hosts sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDigest {
    /// The zone.
    pub zone: ZoneId,
    /// Hosts counted as live, the speaker among them.
    pub live_hosts: u32,
    /// Lowest applied offset over the live hosts.
    pub lowest_applied_offset: LogOffset,
    /// The live host with that offset.
    pub slowest_host: HostId,
    /// Some of the hosts that cannot be reached.
    pub unreachable: Vec<HostId>,
    /// How many cannot be reached in all.
    pub unreachable_count: u32,
}

/// Answer to a heartbeat: the receiver's own statement, and grants if it
/// holds the lease on the zone's shares.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReply {
    /// The receiver's own heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// Lease under which the grants are given; `None` if it holds none.
    pub lease_offset: Option<LogOffset>,
    /// Grants to the caller.
    pub grants: Vec<PeerGrant>,
}

/// Asks a peer for log records that it has replayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordsRequest {
    /// Stream of the log.
    pub stream: String,
    /// First offset wanted.
    pub from: LogOffset,
    /// Most records to send.
    pub limit: u32,
}

/// Log records passed on by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RelayedRange {
    /// Oldest offset that the sender can pass on.
    pub first_offset: LogOffset,
    /// Offset after the last record that the sender knows of.
    pub end_offset: LogOffset,
    /// Records, in order.
    pub records: Vec<StoredRecord>,
    /// JSON text of a checkpoint, if the records do not reach back far enough.
    pub checkpoint: Option<String>,
}

/// Asks the host that won a claim what became of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimQuery {
    /// The request of the asking host.
    pub request: RequestId,
    /// Service called.
    pub service: ServiceId,
    /// Operation called.
    pub operation: String,
    /// Key under which it was claimed.
    pub key: IdempotencyKey,
    /// Organisation that pays.
    pub organisation: OrganisationId,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The asked host knows nothing of the claim.
    Unknown,
    /// The claim is known and its request has this verdict.
    Known {
        /// Whether it may have run.
        verdict: RunVerdict,
        /// HTTP status of the answer; zero while there is none.
        status: u16,
        /// Body of the answer.
        body: Bytes,
    },
}
