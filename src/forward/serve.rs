//! Accepts callers' connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::exchange::handle_request;
use super::idle_timer::IdleTimer;
use super::socket;
use super::tables::ServingTables;

/// Pause after a failed accept, for instance while file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A running listener.
#[derive(Debug)]
pub struct ServingHandle {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    connections: TaskTracker,
    /// Cancelled to stop accepting connections and to close those without a request.
    shutdown: CancellationToken,
}

impl ServingHandle {
    /// Stops accepting connections, closes those without a request, and returns when the
    /// responses of the others are sent, at most at `end`.
    pub async fn shutdown(self, end: Instant) {
        self.shutdown.cancel();
        self.connections.close();
        let closed = tokio::time::timeout_at(end.into(), self.connections.wait()).await;
        if closed.is_err() {
            log::warn!(connections = self.connections.len(); "connections cut by the shutdown");
        }
    }
}

/// Serves callers on `address`.
///
/// # Errors
///
/// If the address cannot be used.
pub fn serve(tables: Arc<ServingTables>, address: SocketAddr) -> io::Result<ServingHandle> {
    let listener = socket::bind(address)?;
    let address = listener.local_addr()?;
    let connections = TaskTracker::new();
    let shutdown = CancellationToken::new();
    let accepted = accept_all(tables, listener, connections.clone(), shutdown.clone());
    connections.spawn(accepted);
    Ok(ServingHandle {
        address,
        connections,
        shutdown,
    })
}

async fn accept_all(
    tables: Arc<ServingTables>,
    listener: TcpListener,
    connections: TaskTracker,
    shutdown: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) if tables.admits_connection() => {
                connections.spawn(serve_connection(tables.clone(), stream, shutdown.clone()));
            }
            // Closed before a request is read, so that the caller comes back elsewhere.
            Ok((stream, _)) => drop(stream),
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a caller connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    tables: Arc<ServingTables>,
    stream: TcpStream,
    shutdown: CancellationToken,
) {
    if let Err(error) = socket::prepare(&stream) {
        log::debug!("cannot configure caller connection: {error}");
        return;
    }
    let limits = tables
        .configuration
        .load()
        .as_ref()
        .map(|known| known.limits);
    let limits = limits.unwrap_or_default();
    let service = service_fn(|request| {
        let tables = tables.clone();
        async move {
            let mut response = handle_request(tables.clone(), request).await;
            if tables.is_draining() {
                // The caller opens its next connection to a host that keeps running.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let timer = IdleTimer::open(tables.clone());
    let connection = hyper::server::conn::http1::Builder::new()
        .header_read_timeout(timer.first_limit)
        .timer(timer)
        .max_buf_size(limits.header_bytes.max(8192) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        // A request that has arrived is read before the connection is found idle.
        biased;
        served = connection.as_mut() => served,
        () = shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        log::debug!("caller connection failed: {error}");
    }
}
