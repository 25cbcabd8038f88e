//! Tells whether the process of a target has ended, or only a connection to it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::forward::{ServingTables, socket};
use crate::ids::TargetId;

/// How long a connection may take: a hundred times the delay of a link. One that
/// takes longer tells nothing.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// When a target was last asked for a connection, and whether it had ended; one
/// question at a time.
///
/// All requests of a target break at the same moment: it is asked once, and all
/// hear the answer.
pub(super) type EndCell = Arc<tokio::sync::Mutex<Option<(Instant, bool)>>>;

/// Whether nothing listens any more at the address of a target whose connection
/// broke at `broke`.
///
/// A connection that breaks says little: targets reset connections that are too
/// many, break off answers and lose their links. The system refuses a connection
/// only where no process listens.
pub(super) async fn has_ended(
    tables: &ServingTables,
    target: &TargetId,
    address: SocketAddr,
    broke: Instant,
) -> bool {
    let cell = tables.end_cell(target);
    let mut last = cell.lock().await;
    match *last {
        Some((_, true)) => true,
        Some((at, false)) if at >= broke => false,
        _ => {
            let ended = refuses_connections(address).await;
            let now = Instant::now();
            *last = Some((now, ended));
            if ended {
                tables.fleet.lock().observe_silence(target, now);
            }
            ended
        }
    }
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match socket::connect(address, CONNECT_LIMIT).await {
        Ok(_) => false,
        Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    }
}
