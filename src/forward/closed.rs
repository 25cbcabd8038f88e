//! Checks whether a target still listens on its address.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::gateway_link::PeerWitness;
use super::tables::ServingTables;
use crate::ids::TargetId;
use crate::reachability::TargetWay;

/// Longest time to connect: a hundred times the delay of a link. A timeout gives no
/// information.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// When a target was last probed, and what was found. The lock admits one probe at a time.
///
/// All requests of a target break or stall at the same moment: one probe serves them all.
pub(super) type PortCell = Arc<tokio::sync::Mutex<Option<(Instant, PortState)>>>;

/// Whether a process listens at the address of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PortState {
    Listening,
    Closed,
    /// Neither this host nor another one could tell.
    Unknown,
}

/// Returns whether nothing listens at the address of a target, as [`port_state`] finds.
pub(super) async fn is_closed(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
    since: Instant,
) -> bool {
    port_state(tables, target, address, since).await == PortState::Closed
}

/// Returns whether a process listens at the address of a target, as of `since` or later.
///
/// A broken connection alone does not show that a process has ended: targets reset
/// surplus connections, abort responses and lose their links. The operating system
/// refuses a connection only where no process listens. If the port is closed, a target
/// whose connection broke has ended, while one whose connection is still open is shutting
/// down and completes its running requests. Results from before `since` do not count,
/// since a network fault that refuses connections can heal. Such a fault may also concern this
/// host alone, so that another host is asked.
pub(super) async fn port_state(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
    since: Instant,
) -> PortState {
    let cell = tables.port_cell(target);
    let mut last = cell.lock().await;
    match *last {
        Some((at, state)) if at >= since => state,
        _ => {
            let state = probe_port(tables, target, address).await;
            let now = Instant::now();
            *last = Some((now, state));
            if state == PortState::Closed {
                tables.fleet.lock().observe_silence(target, now);
                tables.report_ended(target, now);
            }
            state
        }
    }
}

/// Connects to a target. Where this host's own link is lost, or may be, other hosts have to
/// agree that the target refuses connections.
async fn probe_port(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
) -> PortState {
    if tables.way(target) == TargetWay::Direct {
        let connected = tables
            .connect_target(target, address, CONNECT_TIMEOUT)
            .await;
        match connected.map_err(|error| error.kind()) {
            Ok(_) => return PortState::Listening,
            Err(io::ErrorKind::ConnectionRefused) => {}
            Err(_) => return PortState::Unknown,
        }
    }
    match tables.ask_peers(target).await {
        PeerWitness::FindsClosed => PortState::Closed,
        PeerWitness::Reaches => PortState::Listening,
        PeerWitness::Unknown if tables.way(target) == TargetWay::Direct => PortState::Closed,
        PeerWitness::Unknown | PeerWitness::CannotReach => PortState::Unknown,
    }
}
