//! Start and shutdown of the two listeners.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, BuildError, ConfigDropshot, HandlerTaskMode,
    HttpServer, ServerBuilder, ServerContext,
};
use futures::future::BoxFuture;
use tokio_util::task::TaskTracker;

use super::backend::{CallerBackend, OperatorBackend};
use super::callers::{self, CallerContext};
use super::operators;
use super::proxy::{self, ApiBounds, ProxyContext, ProxyHandle, StreamSlots};
use crate::buffer::BufferBudget;

/// Address of the HTTP library's listener, which other hosts cannot reach.
const INNER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of one listener.
#[derive(Debug, Clone)]
pub struct ApiSettings {
    /// Address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Bounds on connections and requests.
    pub bounds: ApiBounds,
    /// Logger for the HTTP library.
    pub log: slog::Logger,
}

impl ApiSettings {
    /// Creates settings with the default bounds.
    pub fn new(address: SocketAddr, log: slog::Logger) -> Self {
        Self {
            address,
            bounds: ApiBounds::default(),
            log,
        }
    }
}

/// Reason why a listener could not be started.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The address is in use or does not belong to this host.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The HTTP library's listener could not be started.
    #[error("cannot start the inner HTTP listener: {0}")]
    Open(#[from] BuildError),
    /// Two endpoints conflict.
    #[error("cannot register an endpoint: {0}")]
    Register(#[from] ApiDescriptionRegisterError),
    /// The OpenAPI document could not be generated.
    #[error("cannot write the OpenAPI document: {0}")]
    Document(#[from] serde_json::Error),
}

/// Handle of a running listener.
pub struct ApiHandle {
    address: SocketAddr,
    close: Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>,
}

impl ApiHandle {
    /// Returns the address on which the listener accepts connections.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, lets requests and streams in flight finish, and
    /// returns when the last one has finished.
    pub async fn shutdown(self) {
        (self.close)().await;
    }
}

/// Starts the callers' listener.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn spawn_callers(
    settings: &ApiSettings,
    backend: CallerBackend,
) -> Result<ApiHandle, ApiError> {
    let running_calls = TaskTracker::new();
    let slots = StreamSlots::default();
    let context = CallerContext {
        backend,
        running_calls: running_calls.clone(),
        slots: slots.clone(),
    };
    let server = serve(settings, callers::description()?, Arc::new(context))?;
    open(settings, server, slots, running_calls)
}

/// Starts the operators' listener.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub fn spawn_operators(
    settings: &ApiSettings,
    backend: OperatorBackend,
) -> Result<ApiHandle, ApiError> {
    let server = serve(settings, operators::description()?, Arc::new(backend))?;
    open(settings, server, StreamSlots::default(), TaskTracker::new())
}

/// Starts the HTTP library's own listener.
fn serve<C>(
    settings: &ApiSettings,
    api: ApiDescription<C>,
    context: C,
) -> Result<HttpServer<C>, BuildError>
where
    C: ServerContext,
{
    let config = ConfigDropshot {
        bind_address: INNER_ADDRESS,
        default_request_body_max_bytes: settings.bounds.body_bytes,
        // A handler is dropped when its caller disconnects, so that the backend notices
        // that its response is no longer needed.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, settings.log.clone())
        .config(config)
        .start()
}

/// Starts the proxy in front of the HTTP library's listener.
fn open<C>(
    settings: &ApiSettings,
    server: HttpServer<C>,
    slots: StreamSlots,
    running_calls: TaskTracker,
) -> Result<ApiHandle, ApiError>
where
    C: ServerContext,
{
    let address = settings.address;
    let context = ProxyContext {
        bounds: settings.bounds,
        // One body of legal size always finds room.
        budget: BufferBudget::new(
            settings
                .bounds
                .buffered_bytes
                .max(settings.bounds.body_bytes),
        ),
        inner: server.local_addr(),
        slots,
    };
    let proxy =
        proxy::spawn(address, context).map_err(|error| ApiError::Listen { address, error })?;
    Ok(ApiHandle {
        address: proxy.address,
        close: Box::new(move || Box::pin(close(proxy, server, running_calls))),
    })
}

/// Closes the proxy first, so that no new request arrives while the rest shuts down.
async fn close<C>(proxy: ProxyHandle, server: HttpServer<C>, running_calls: TaskTracker)
where
    C: ServerContext,
{
    proxy.shutdown().await;
    running_calls.close();
    running_calls.wait().await;
    if let Err(error) = server.close().await {
        log::warn!("cannot close the inner HTTP listener: {error}");
    }
}
