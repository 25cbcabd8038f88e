//! Who this host is and how long it waits for others.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{HostId, IncarnationId, ZoneId};

/// Identity of this host and the times of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// This host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Address on which it listens to peers.
    pub peer_address: SocketAddr,
    /// Time between two exchanges with a host of the same zone.
    pub zone_interval: Duration,
    /// Time between two exchanges with a chosen host of another zone.
    pub remote_interval: Duration,
    /// Least time between two exchanges with whichever hosts of the same zone.
    pub zone_pace: Duration,
    /// Least time between two calls to whichever hosts of other zones.
    pub remote_pace: Duration,
    /// Silence after which a host counts as unreachable; longer if paces
    /// stretch the intervals.
    pub suspect_after: Duration,
    /// Silence after which a delisted host counts as gone.
    pub remove_after: Duration,
    /// Silence after which a host that was never listed counts as gone.
    pub forget_after: Duration,
    /// Hosts called in each other zone.
    pub remote_peers: usize,
    /// Seed of the choice of remote hosts.
    pub seed: u64,
}

impl MembershipSettings {
    /// Usual times for a host.
    pub fn new(
        host: HostId,
        zone: ZoneId,
        incarnation: IncarnationId,
        peer_address: SocketAddr,
    ) -> Self {
        Self {
            host,
            zone,
            incarnation,
            peer_address,
            zone_interval: Duration::from_secs(1),
            remote_interval: Duration::from_secs(2),
            zone_pace: Duration::from_millis(100),
            remote_pace: Duration::from_millis(500),
            suspect_after: Duration::from_secs(5),
            remove_after: Duration::from_secs(30),
            forget_after: Duration::from_secs(600),
            remote_peers: 2,
            seed: 0,
        }
    }
}

/// How targets are watched and how their loads are passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchSettings {
    /// This host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Hosts of the zone that watch one target.
    pub watchers: usize,
    /// Most loads in one heartbeat to another zone.
    pub remote_loads: usize,
    /// Time after which a peer's or the target's own word that it is leaving
    /// lapses, unless it is repeated.
    pub leaving_expiry: Duration,
    /// Age above which a load is not passed on.
    pub max_load_age: Duration,
}

impl WatchSettings {
    /// Usual limits.
    pub fn new(host: HostId, zone: ZoneId) -> Self {
        Self {
            host,
            zone,
            watchers: 2,
            remote_loads: 8,
            leaving_expiry: Duration::from_secs(30),
            max_load_age: Duration::from_secs(30),
        }
    }
}
