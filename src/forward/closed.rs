//! Tells whether a target takes connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::forward::{ServingTables, socket};
use crate::ids::TargetId;

/// How long a connection may take: a hundred times the delay of a link. One that
/// takes longer tells nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// When a target was last asked for a connection, and whether it refused; one question
/// at a time.
///
/// All requests of a target break or fall silent at the same moment: it is asked once,
/// and all hear the answer.
pub(super) type ClosedCell = Arc<tokio::sync::Mutex<Option<(Instant, bool)>>>;

/// Whether nothing listens any more at the address of a target, as of `since` or later.
///
/// A connection that breaks says little by itself: targets reset connections that are too
/// many, break off answers and lose their links. The system refuses a connection only
/// where no process listens. So a target whose connection broke has ended if it is closed;
/// one whose connection stands leaves, and serves on what it has. What was found before
/// `since` does not count: a cut that refuses connections heals.
pub(super) async fn is_closed(
    tables: &ServingTables,
    target: &TargetId,
    address: SocketAddr,
    since: Instant,
) -> bool {
    let cell = tables.closed_cell(target);
    let mut last = cell.lock().await;
    match *last {
        Some((at, closed)) if at >= since => closed,
        _ => {
            let closed = refuses_connections(address).await;
            let now = Instant::now();
            *last = Some((now, closed));
            if closed {
                tables.fleet.lock().observe_silence(target, now);
            }
            closed
        }
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match socket::connect(address, CONNECT_TIMEOUT).await {
        Ok(_) => false,
        Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    }
}
