//! Messages between entry hosts on the users' platform, independent of the encoding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::capacity::{DemandReport, ZoneDemand};
use crate::fleet::{EndedTarget, TargetUsage, UsageScope, ZoneUsage};
use crate::ids::{
    HeartbeatNumber, HostId, HostWeight, IncarnationId, LogPosition, TargetId, ZoneId,
};
use crate::permits::LimitDelta;
use crate::poison::PoisonDelta;

/// A host's report on itself, on the requests that run on targets, and on the hosts that
/// it knows.
#[derive(Debug, Clone, PartialEq)]
pub struct HostView {
    /// Host that sends the view.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to peers.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Grows with each view of this incarnation.
    pub sequence: u64,
    /// Version of the configuration in effect on the host; 0 while it has none.
    pub configuration_version: u64,
    /// Capacity that it has for roles besides its callers' requests.
    pub weight: HostWeight,
    /// Which hosts' requests `usage` counts.
    pub scope: UsageScope,
    /// Requests in flight on targets.
    pub usage: Vec<TargetUsage>,
    /// Hosts that it knows and whose entries changed since the receiver's last
    /// acknowledgement.
    pub listing: HostListing,
    /// How far the sender has applied the receiver's own listings.
    pub seen: SeenListing,
    /// Number of hosts of each zone that the sender has recently learned of.
    pub counts: Vec<ZoneCount>,
    /// How long the host has had the log of targets; `None` if it never had the log.
    pub log: Option<LogAges>,
    /// Evidence on requests during which targets ended.
    pub poison: PoisonDelta,
    /// Limits that targets have stated.
    pub limits: LimitDelta,
    /// Demand of the callers of the hosts that `scope` names.
    pub demand: DemandReport,
    /// Targets that some host recently found ended.
    pub ended: Vec<EndedTarget>,
}

/// Known hosts whose entries changed after one version of the sender's table and up to
/// another one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HostListing {
    /// Version after which changes are listed; 0 for a complete listing.
    pub from: u64,
    /// Version up to which changes are listed; 0 if nothing is listed.
    pub to: u64,
    /// The hosts, without the sender.
    pub hosts: Vec<KnownHost>,
}

/// Acknowledgement of the listings of a host that were applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SeenListing {
    /// Incarnation of the host; each incarnation counts its versions anew.
    pub incarnation: IncarnationId,
    /// Version of its table; 0 if nothing was applied.
    pub to: u64,
    /// Scope of the view that carried the last listing.
    pub scope: UsageScope,
}

/// How long a host has had the log of targets, read by itself or by a host of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogAges {
    /// Time since the start of the span in which it has had the log without a gap.
    pub since: Duration,
    /// Time since the log was last read.
    pub read: Duration,
}

/// Number of hosts of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneCount {
    /// The zone.
    pub zone: ZoneId,
    /// Its hosts, including those that fell silent only recently.
    pub hosts: u32,
}

/// A host that the sender of a listing knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownHost {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to peers.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Capacity that it has for roles besides its callers' requests.
    pub weight: HostWeight,
    /// Time since the last exchange with it that the sender knows of.
    pub silent: Duration,
}

/// Request for what a host reads from the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FollowRequest {
    /// Version of the configuration that the requesting host has; 0 if none.
    pub configuration_version: u64,
    /// Incarnation of the host that issued `from`; 0 in the first request, the largest
    /// number if another host issued it.
    pub incarnation: IncarnationId,
    /// Position in the changes of targets to continue from: `next` of the last reply.
    pub from: u64,
    /// How long the reply may wait for updates.
    pub hold: Duration,
    /// Whether the reply is to include the usage of targets by other zones' hosts.
    pub wants_remote: bool,
}

/// What a host has read from the platform's log since an earlier request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FollowReply {
    /// Incarnation of the replying host.
    pub incarnation: IncarnationId,
    /// Whether the host currently follows the log, directly or through another host.
    pub fresh: bool,
    /// Time since the log was last read, by this host or by the one that relayed it.
    pub age: Duration,
    /// A configuration record newer than the version in the request.
    pub configuration: Option<Bytes>,
    /// Whether `targets` holds all known targets instead of changes only.
    pub whole: bool,
    /// Records of targets.
    pub targets: Vec<TargetChange>,
    /// Position from which the next request continues.
    pub next: u64,
    /// Usage of targets by other zones' hosts.
    pub remote: Vec<ZoneUsage>,
    /// Demand of the callers of other zones' hosts.
    pub remote_demand: Vec<ZoneDemand>,
    /// Position up to which the replying host has covered the log of targets.
    pub read_to: LogPosition,
    /// How much of the log of targets the host has; `None` if it never had the log.
    pub log: Option<FollowedLog>,
}

/// How much of the log of targets a host has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedLog {
    /// Time since the host first had the log. It has evaluated all removals since then
    /// itself.
    pub first: Duration,
    /// Time since the log was last read.
    pub read: Duration,
}

/// State of a target according to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChange {
    /// The target.
    pub id: TargetId,
    /// Position of the record in the log.
    pub position: LogPosition,
    /// The record; `None` if the target was removed.
    pub value: Option<Bytes>,
    /// Position at which the log dropped the record, if the reporting host considers that
    /// the record may merely have expired.
    pub dropped_at: Option<LogPosition>,
    /// Whether the record is current although it looks outdated.
    pub reinstated: bool,
    /// First heartbeat by which a removed target can return; the largest number if it left.
    pub first_return: HeartbeatNumber,
}
