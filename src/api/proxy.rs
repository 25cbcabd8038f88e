//! Reverse proxy that limits connections and requests before they reach the HTTP library.
//!
//! The library limits the length of bodies, but neither the number of connections, nor
//! the time in which a head or a body must arrive, nor the size of a head; and it
//! responds to unknown paths with a body of its own format. This proxy accepts the
//! connections, enforces these bounds, reads each body to its end and forwards the
//! request to the library's listener on the loopback address. Event streams are not sent
//! back over that connection: they are passed in memory.

mod accept;
mod connection;
mod forward;
mod request_reader;
mod slots;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::buffer::BufferBudget;

pub(super) use slots::{SLOT_HEADER, StreamSlots};

/// Bounds that the proxy enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ApiBounds {
    /// Maximum number of simultaneous connections; further ones are refused and closed.
    pub connections: usize,
    /// Maximum length of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Maximum number of headers of a request.
    pub head_count: usize,
    /// Time in which a head must arrive, from the start of the connection or the end of
    /// the previous response.
    pub head_timeout: Duration,
    /// Maximum length of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Time in which a body must arrive.
    pub body_timeout: Duration,
    /// Memory for the bodies of all requests, in bytes.
    pub buffered_bytes: usize,
    /// Maximum time for which a caller may leave sent bytes unacknowledged.
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
            buffered_bytes: 64 << 20,
            stall_timeout: Duration::from_secs(30),
        }
    }
}

/// State shared by all connections.
#[derive(Debug, Clone)]
pub(super) struct ProxyContext {
    pub(super) bounds: ApiBounds,
    /// Memory for bodies of requests.
    pub(super) budget: BufferBudget,
    /// Address of the HTTP library's listener.
    pub(super) inner: SocketAddr,
    pub(super) slots: StreamSlots,
}

/// Handle of a running proxy.
#[derive(Debug)]
pub(super) struct ProxyHandle {
    pub(super) address: SocketAddr,
    stop: CancellationToken,
    running: JoinHandle<()>,
}

impl ProxyHandle {
    /// Stops accepting connections and returns when every request in flight has received
    /// its response.
    pub(super) async fn shutdown(self) {
        self.stop.cancel();
        if let Err(error) = self.running.await {
            log::warn!("the HTTP proxy on {} failed: {error}", self.address);
        }
    }
}

/// Binds the listener and starts the proxy.
///
/// # Errors
/// Returns an error if the address cannot be bound.
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
