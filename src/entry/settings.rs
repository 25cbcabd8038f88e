//! Settings that an entry host gets at its start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{HostId, ZoneId};
use crate::retry::RetryBounds;

/// Settings of one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Name of the host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address that other entry hosts connect to.
    pub peers: SocketAddr,
    /// First and last of the ports that entry hosts may use among themselves, the same on
    /// all hosts; empty if there are none.
    pub internal_ports: Vec<u16>,
    /// Addresses of some entry hosts, which may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Address of the log service.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Interval between two heartbeats of a target.
    pub heartbeat: Duration,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Largest number of file descriptors of the process.
    pub descriptors: usize,
    /// CPU quota of the host, in cores.
    pub cores: f64,
    /// Speed of the host's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Bounds that the operators have agreed on with the platform.
    pub bounds: EntryBounds,
}

impl EntrySettings {
    /// Returns the names of the settings that differ in `next` and are fixed while a process
    /// runs.
    pub fn fixed_keys_changed(&self, next: &Self) -> Vec<&'static str> {
        let addresses = |settings: &Self| (settings.callers, settings.readiness, settings.peers);
        let limits = |settings: &Self| {
            let Self {
                memory_mb,
                descriptors,
                cores,
                link_mbps,
                ..
            } = settings;
            (*memory_mb, *descriptors, *cores, *link_mbps)
        };
        let changes = [
            ("node", self.host != next.host),
            ("zone", self.zone != next.zone),
            ("listen", addresses(self) != addresses(next)),
            ("internal_ports", self.internal_ports != next.internal_ports),
            ("provider", self.store != next.store),
            ("heartbeat_ms", self.heartbeat != next.heartbeat),
            ("limits", limits(self) != limits(next)),
            ("bounds", self.bounds != next.bounds),
        ];
        let changed = changes.into_iter().filter(|(_, is_changed)| *is_changed);
        changed.map(|(key, _)| key).collect()
    }
}

/// Bounds on times and retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryBounds {
    /// Time after which a leaving target gets no new requests.
    pub drain: Duration,
    /// Time between the request to stop and the end of the process.
    pub grace: Duration,
    /// How long work waits for a lost engine.
    pub stall: Duration,
    /// Retries of each service, over all hosts.
    pub retries: RetryBounds,
}
