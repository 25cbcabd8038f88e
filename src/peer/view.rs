//! What entry hosts on the users' platform say to each other, free of any
//! encoding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::fleet::TargetLoad;
use crate::ids::{HostId, IncarnationId, LogOffset, TargetId, ZoneId};

/// A host's statement about itself, its requests on targets, and the hosts
/// that it knows.
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
    /// Whether `uses` are those of all hosts of its zone.
    pub zone_wide: bool,
    /// Requests under way on targets.
    pub uses: Vec<TargetUse>,
    /// Hosts that it knows, itself left out.
    pub hosts: Vec<KnownHost>,
}

/// Requests that a host, or a zone's hosts, have on a target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetUse {
    /// The target.
    pub target: TargetId,
    /// The requests.
    pub load: TargetLoad,
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
    /// Time since it was last heard, by whomever.
    pub silent: Duration,
}

/// Requests that the hosts of another zone have on targets.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneUses {
    /// The zone.
    pub zone: ZoneId,
    /// The requests.
    pub uses: Vec<TargetUse>,
}

/// Asks a host for what it reads from the platform's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FollowQuestion {
    /// Version of the configuration that the asking host has; 0 if none.
    pub configuration_version: u64,
    /// Incarnation of the host that gave `from`; 0 at the first question, the
    /// largest number where another host gave it.
    pub incarnation: IncarnationId,
    /// Change of targets to go on from, as the last answer said.
    pub from: u64,
}

/// What a host has read from the platform's log since a question before.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FollowAnswer {
    /// Incarnation of the answering host.
    pub incarnation: IncarnationId,
    /// Whether it reads the log without trouble.
    pub fresh: bool,
    /// A configuration record newer than the version in the question.
    pub configuration: Option<Bytes>,
    /// Whether `targets` are all that are known, and not just changes.
    pub whole: bool,
    /// Records of targets.
    pub targets: Vec<TargetChange>,
    /// Where the next question goes on from.
    pub next: u64,
    /// Requests of other zones' hosts.
    pub remote: Vec<ZoneUses>,
    /// Offset up to which the answering host covers the log of targets.
    pub read_to: LogOffset,
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
}
