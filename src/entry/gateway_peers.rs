//! The other entry hosts as gateways, and this host as one of theirs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::entry::EntrySettings;
use crate::entry::peer_exchange::{PeerState, call_peer};
use crate::forward::{GatewayHandle, GatewayPeers, ServingTables, probe_targets, serve_gateway};
use crate::gateway::GatewayCandidate;
use crate::ids::HostId;

/// Serves other hosts as a gateway on the first internal port, which is the same on all
/// hosts, and uses those that do. Does nothing without internal ports.
///
/// Returns the gateway that this host serves.
pub(super) fn spawn(
    tables: &Arc<ServingTables>,
    peers: &Arc<PeerState>,
    settings: &EntrySettings,
) -> Option<GatewayHandle> {
    let Some(port) = settings.internal_ports.first() else {
        log::info!("no internal ports: no gateways");
        return None;
    };
    let address = SocketAddr::new(settings.peers.ip(), *port);
    let members = peers.clone();
    let is_member = Arc::new(move |ip| members.is_member_ip(ip));
    let gateway = match serve_gateway(tables.clone(), address, is_member) {
        Ok(gateway) => {
            log::info!(gateway:% = gateway.address; "listening to other hosts");
            Some(gateway)
        }
        // The host itself serves callers without it.
        Err(error) => {
            log::warn!(address:% = address, error:% = error; "no gateway is served");
            None
        }
    };
    let live = peers.clone();
    let introducing = peers.clone();
    tables.set_gateway_peers(GatewayPeers {
        source: address.ip(),
        candidates: Arc::new(move |now| candidates(&live, address.port(), now)),
        introduce: Arc::new(move |host| introduce(&introducing, host)),
    });
    tokio::spawn(probe_targets(tables.clone()));
    gateway
}

fn candidates(peers: &PeerState, port: u16, now: Instant) -> Vec<GatewayCandidate> {
    let live = peers.live_members(now).into_iter();
    let candidates = live.map(|(host, zone, address)| GatewayCandidate {
        host,
        zone,
        address: SocketAddr::new(address.ip(), port),
    });
    candidates.collect()
}

/// Exchanges views with a host of another zone, which does not know every host of this one.
fn introduce(peers: &Arc<PeerState>, host: &HostId) {
    let (Some(address), Some(handle)) = (peers.address_of(host), peers.handle()) else {
        return;
    };
    tokio::spawn(call_peer(peers.clone(), handle.clone(), address));
}
