//! What entry hosts on the users' platform say to each other, free of any
//! encoding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::fleet::{TargetUsage, UsageScope, ZoneUsage};
use crate::ids::{HostId, HostWeight, IncarnationId, LogOffset, TargetId, ZoneId};
use crate::permits::LimitDelta;
use crate::poison::PoisonListing;

/// A host's statement about itself, requests on targets, and the hosts that it
/// knows.
#[derive(Debug, Clone, PartialEq)]
pub struct HostView {
    /// Host that speaks.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it listens to peers.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Grows with each statement of this incarnation.
    pub sequence: u64,
    /// Version of the configuration in force there; 0 while none is known.
    pub configuration_version: u64,
    /// What it has for duties besides its callers' requests.
    pub weight: HostWeight,
    /// Whose requests `usage` are.
    pub scope: UsageScope,
    /// Requests under way on targets.
    pub usage: Vec<TargetUsage>,
    /// Hosts that it knows, as far as they are news to the listener.
    pub listing: HostListing,
    /// What the speaker has taken in of the listener's own listings.
    pub seen: SeenListing,
    /// Hosts of each zone that were heard of lately.
    pub counts: Vec<ZoneCount>,
    /// Since when it has had the log of targets; `None` if it never had.
    pub log: Option<LogAges>,
    /// What is known of requests that targets ended under.
    pub poison: PoisonListing,
    /// What is known of the limits that targets name.
    pub limits: LimitDelta,
}

/// Known hosts whose entries changed after one version of the speaker's table
/// and up to another one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HostListing {
    /// Version from which on changes are listed; 0 lists everything.
    pub from: u64,
    /// Version up to which they are; 0 where nothing is listed.
    pub to: u64,
    /// The hosts, the speaker left out.
    pub hosts: Vec<KnownHost>,
}

/// Up to where the listings of a host were taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SeenListing {
    /// Incarnation of the host; another one has other versions.
    pub incarnation: IncarnationId,
    /// Version of its table; 0 if nothing was taken in.
    pub to: u64,
    /// Scope of the view that held the last listing.
    pub scope: UsageScope,
}

/// Since when a host has had the log of targets, read by itself or by a host of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogAges {
    /// Time since it began to have it without a break.
    pub since: Duration,
    /// Time since it last had it.
    pub read: Duration,
}

/// How many hosts a zone has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneCount {
    /// The zone.
    pub zone: ZoneId,
    /// Its hosts, those that fell silent a moment ago among them.
    pub hosts: u32,
}

/// A host that another one knows.
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
    /// What it has for duties besides its callers' requests.
    pub weight: HostWeight,
    /// Time since it was last heard.
    pub silent: Duration,
}

/// Asks a host for what it reads from the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FollowRequest {
    /// Version of the configuration that the asking host has; 0 if none.
    pub configuration_version: u64,
    /// Incarnation of the host that gave `from`; 0 at the first question, the
    /// largest number where another host gave it.
    pub incarnation: IncarnationId,
    /// Change of targets to go on from, as the last answer said.
    pub from: u64,
    /// How long the answer may wait for news.
    pub hold: Duration,
    /// Whether the answer is to hold the requests of other zones' hosts.
    pub wants_remote: bool,
}

/// What a host has read from the platform's log since a question before.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FollowReply {
    /// Incarnation of the answering host.
    pub incarnation: IncarnationId,
    /// Whether it has the log without trouble, read by itself or passed on.
    pub fresh: bool,
    /// Time since the log was read, by whomever.
    pub age: Duration,
    /// A configuration record newer than the version in the question.
    pub configuration: Option<Bytes>,
    /// Whether `targets` are all that are known, and not just changes.
    pub whole: bool,
    /// Records of targets.
    pub targets: Vec<TargetChange>,
    /// Where the next question goes on from.
    pub next: u64,
    /// Requests of other zones' hosts.
    pub remote: Vec<ZoneUsage>,
    /// Offset up to which the answering host covers the log of targets.
    pub read_to: LogOffset,
    /// What it has of the log of targets; `None` if it never had it.
    pub log: Option<FollowedLog>,
}

/// How much of the log of targets a host has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FollowedLog {
    /// Time since it first had the log. It has judged what left after that.
    pub first: Duration,
    /// Time since it last had it.
    pub read: Duration,
}

/// What the log says of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChange {
    /// The target.
    pub id: TargetId,
    /// Where the record stands in the log.
    pub offset: LogOffset,
    /// The record; `None` if the target is gone.
    pub value: Option<Bytes>,
    /// Where the log dropped the record, if the host that tells holds that it may have
    /// lapsed.
    pub dropped_at: Option<LogOffset>,
}
