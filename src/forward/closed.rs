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

/// When a target was last probed, and whether it refused the connection. The lock admits
/// one probe at a time.
///
/// All requests of a target break or stall at the same moment: one probe serves them all.
pub(super) type ClosedCell = Arc<tokio::sync::Mutex<Option<(Instant, bool)>>>;

/// Returns whether nothing listens at the address of a target, as of `since` or later.
///
/// A broken connection alone does not show that a process has ended: targets reset
/// surplus connections, abort responses and lose their links. The operating system
/// refuses a connection only where no process listens. If the port is closed, a target
/// whose connection broke has ended, while one whose connection is still open is shutting
/// down and completes its running requests. Results from before `since` do not count,
/// since a network fault that refuses connections can heal. Such a fault may also concern this
/// host alone, so that another host is asked.
pub(super) async fn is_closed(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
    since: Instant,
) -> bool {
    let cell = tables.closed_cell(target);
    let mut last = cell.lock().await;
    match *last {
        Some((at, closed)) if at >= since => closed,
        _ => {
            let closed = refuses_connections(tables, target, address).await;
            let now = Instant::now();
            *last = Some((now, closed));
            if closed {
                tables.fleet.lock().observe_silence(target, now);
                tables.report_ended(target, now);
            }
            closed
        }
    }
}

/// Returns whether the host of a target refuses connections. Where this host's own link is
/// lost, or may be, other hosts have to agree.
async fn refuses_connections(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
) -> bool {
    if tables.way(target) == TargetWay::Direct {
        let connected = tables
            .connect_target(target, address, CONNECT_TIMEOUT)
            .await;
        let error = connected.err().map(|error| error.kind());
        if error != Some(io::ErrorKind::ConnectionRefused) {
            return false;
        }
    }
    match tables.ask_peers(target).await {
        PeerWitness::FindsClosed => true,
        PeerWitness::Reaches | PeerWitness::CannotReach => false,
        PeerWitness::Unknown => tables.way(target) == TargetWay::Direct,
    }
}
