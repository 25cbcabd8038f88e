//! Results of membership events.

use std::net::SocketAddr;

use crate::ids::{HostId, IncarnationId, ZoneId};

/// Why an incarnation counts as ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalCause {
    /// A heartbeat of another incarnation of the same host was received.
    Replaced,
    /// The platform no longer lists the host, and the host is silent.
    Delisted,
    /// The host was never listed and has been silent for `forget_after`.
    Forgotten,
}

/// An action to execute or a change of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipDecision {
    /// Send a heartbeat.
    SendHeartbeat {
        /// Host to call.
        to: HostId,
        /// Address on which the host listens to peers.
        address: SocketAddr,
        /// Whether the host is in another zone, so that the heartbeat carries a digest.
        remote: bool,
    },
    /// The first heartbeat of an incarnation was received.
    HostJoined {
        /// The host.
        host: HostId,
        /// Its zone.
        zone: ZoneId,
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// A host whose heartbeats are expected is silent.
    HostSuspected {
        /// The host.
        host: HostId,
    },
    /// A suspected host sends heartbeats again.
    HostRecovered {
        /// The host.
        host: HostId,
    },
    /// An incarnation has ended permanently.
    HostRemoved {
        /// The host.
        host: HostId,
        /// The incarnation, if a heartbeat of the host was ever received.
        incarnation: Option<IncarnationId>,
        /// Why it ended.
        cause: RemovalCause,
    },
}
