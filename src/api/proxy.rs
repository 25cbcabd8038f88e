//! The bounded listener in front of the HTTP library's own.
//!
//! The library bounds the length of bodies but neither the number of
//! connections, nor the time in which a head or a body must arrive, nor the
//! size of a head; and it answers unknown paths with a body of its own. This
//! listener takes the connections, enforces those bounds, reads each body
//! whole and passes the request on to the library's listener, which stands on
//! the loopback address. A stream of events does not take that way back: it
//! is handed over in memory.

mod accept;
mod connection;
mod forward;
mod request_reader;
mod slots;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub(super) use slots::{SLOT_HEADER, StreamSlots};

/// The bounds that this listener enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApiBounds {
    /// Connections at once; one more is told so and closed.
    pub connections: usize,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Most headers of a request.
    pub head_count: usize,
    /// Time in which a head must have arrived, from the connection's start or
    /// the end of the answer before.
    pub head_timeout: Duration,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time in which a body must have arrived.
    pub body_timeout: Duration,
    /// Time for which a caller may leave sent bytes unacknowledged.
    pub stall_timeout: Duration,
}

impl Default for ApiBounds {
    fn default() -> Self {
        Self {
            connections: 1024,
            head_bytes: 16 << 10,
            head_count: 64,
            head_timeout: Duration::from_secs(10),
            body_bytes: 1 << 20,
            body_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(30),
        }
    }
}

/// What every connection needs.
#[derive(Debug, Clone)]
pub(super) struct ProxyContext {
    pub(super) bounds: ApiBounds,
    /// Where the HTTP library listens.
    pub(super) inner: SocketAddr,
    pub(super) slots: StreamSlots,
}

/// A running listener.
#[derive(Debug)]
pub(super) struct ProxyHandle {
    pub(super) address: SocketAddr,
    stop: CancellationToken,
    running: JoinHandle<()>,
}

impl ProxyHandle {
    /// Takes no new connection and returns when every request in flight has
    /// been answered.
    pub(super) async fn shutdown(self) {
        self.stop.cancel();
        if let Err(error) = self.running.await {
            log::warn!("the HTTP listener on {} ended badly: {error}", self.address);
        }
    }
}

/// Opens the listener.
///
/// # Errors
/// If the address cannot be listened on.
pub(super) fn spawn(address: SocketAddr, context: ProxyContext) -> std::io::Result<ProxyHandle> {
    let listener = accept::bind(address)?;
    let address = listener.local_addr()?;
    let stop = CancellationToken::new();
    let running = tokio::spawn(accept::run(listener, context, stop.clone()));
    Ok(ProxyHandle {
        address,
        stop,
        running,
    })
}
