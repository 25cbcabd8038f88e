//! Accepts callers' connections.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::exchange::handle_request;
use super::socket;
use super::tables::ServingTables;

/// Time that an idle connection is kept beyond the configured timeout, so that a request
/// that is in transit at that moment still finds it open.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Pause after a failed accept, for instance while file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A running listener.
#[derive(Debug)]
pub struct ServingHandle {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl ServingHandle {
    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        self.task.abort();
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
    let task = tokio::spawn(accept_all(tables, listener));
    Ok(ServingHandle { address, task })
}

async fn accept_all(tables: Arc<ServingTables>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) if tables.admits_connection() => {
                tokio::spawn(serve_connection(tables.clone(), stream));
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

async fn serve_connection(tables: Arc<ServingTables>, stream: TcpStream) {
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
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle + IDLE_MARGIN)
        .max_buf_size(limits.header_bytes.max(8192) * 2)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("caller connection failed: {error}");
    }
}
