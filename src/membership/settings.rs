//! Settings of membership and of target monitoring.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{HostId, IncarnationId, ZoneId};

/// Identity of this host and the timeouts of membership.
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
    /// Minimum interval between exchanges with one host of the same zone.
    pub zone_interval: Duration,
    /// Minimum interval between exchanges with one chosen host of another zone.
    pub remote_interval: Duration,
    /// Minimum interval between exchanges with any two hosts of the same zone.
    pub zone_pace: Duration,
    /// Minimum interval between calls to any two hosts of other zones.
    pub remote_pace: Duration,
    /// Silence after which a host counts as unreachable, longer if paces stretch the
    /// intervals.
    pub suspect_after: Duration,
    /// Silence after which a delisted host is removed.
    pub remove_after: Duration,
    /// Silence after which a host that was never listed is removed.
    pub forget_after: Duration,
    /// Hosts called in each other zone.
    pub remote_peers: usize,
    /// Seed of the hash that ranks remote hosts.
    pub seed: u64,
}

impl MembershipSettings {
    /// Creates settings with the default timeouts.
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

/// Settings of target monitoring and of the relay of loads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchSettings {
    /// This host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Hosts of the zone that watch each target.
    pub watchers: usize,
    /// Maximum number of loads in one heartbeat to another zone.
    pub remote_loads: usize,
    /// Time after which a report that a target is leaving expires, whether a peer's or
    /// the target's own, unless it is repeated.
    pub leaving_expiry: Duration,
    /// Age above which a load is not relayed.
    pub max_load_age: Duration,
}

impl WatchSettings {
    /// Creates settings with the default limits.
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
