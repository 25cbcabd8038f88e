//! What membership decides.

use std::net::SocketAddr;

use crate::ids::{HostId, IncarnationId, ZoneId};

/// Why an incarnation counts as ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalCause {
    /// Another incarnation of the same host has been heard.
    Replaced,
    /// The platform no longer lists the host and nothing is heard from it.
    Delisted,
    /// It was never listed and has been silent for very long.
    Forgotten,
}

/// Something to do, or a change that others should know of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipDecision {
    /// Send a heartbeat.
    SendHeartbeat {
        /// Host to call.
        to: HostId,
        /// Where it listens.
        address: SocketAddr,
        /// Whether it stands in another zone and is to be told a digest.
        remote: bool,
    },
    /// An incarnation was heard for the first time.
    HostJoined {
        /// The host.
        host: HostId,
        /// Its zone.
        zone: ZoneId,
        /// The incarnation.
        incarnation: IncarnationId,
    },
    /// A host that should be heard is silent.
    HostSuspected {
        /// The host.
        host: HostId,
    },
    /// A suspected host is heard again.
    HostRecovered {
        /// The host.
        host: HostId,
    },
    /// An incarnation has ended for good.
    HostRemoved {
        /// The host.
        host: HostId,
        /// The incarnation, if one was ever heard.
        incarnation: Option<IncarnationId>,
        /// Why.
        cause: RemovalCause,
    },
}
