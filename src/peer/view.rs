//! What entry hosts on the users' platform say to each other, free of any
//! encoding.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::ids::{HostId, IncarnationId, TargetId, ZoneId};

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
    /// Requests under way.
    pub requests: u32,
    /// Memory that they are expected to need, in tokens times layers.
    pub reserved: f64,
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

/// The newest records that a host has read from the platform's log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HostSnapshot {
    /// The configuration record, if one is known.
    pub configuration: Option<Bytes>,
    /// The targets' records, by the targets' ids.
    pub targets: Vec<(TargetId, Bytes)>,
}
