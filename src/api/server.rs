//! The two listeners: how they are opened and closed.

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

/// Where the HTTP library listens: out of reach for other hosts.
const INNER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of one listener.
#[derive(Debug, Clone)]
pub struct ApiSettings {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// What callers may send and hold.
    pub bounds: ApiBounds,
    /// Where the HTTP library logs.
    pub log: slog::Logger,
}

impl ApiSettings {
    /// Settings with the default bounds.
    pub fn new(address: SocketAddr, log: slog::Logger) -> Self {
        Self {
            address,
            bounds: ApiBounds::default(),
            log,
        }
    }
}

/// Why a listener could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The address is in use or not one of this host's.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        error: std::io::Error,
    },
    /// The HTTP library's listener could not be opened.
    #[error("cannot open the inner HTTP listener: {0}")]
    Open(#[from] BuildError),
    /// Two endpoints clash.
    #[error("cannot register an endpoint: {0}")]
    Register(#[from] ApiDescriptionRegisterError),
    /// The OpenAPI document could not be written.
    #[error("cannot write the OpenAPI document: {0}")]
    Document(#[from] serde_json::Error),
}

/// A running listener.
pub struct ApiHandle {
    address: SocketAddr,
    close: Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>,
}

impl ApiHandle {
    /// Address that it listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new connection, lets requests and streams in flight finish,
    /// and returns when the last one has.
    pub async fn shutdown(self) {
        (self.close)().await;
    }
}

/// Opens the callers' listener.
///
/// # Errors
/// If the address cannot be listened on.
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

/// Opens the operators' listener.
///
/// # Errors
/// If the address cannot be listened on.
pub fn spawn_operators(
    settings: &ApiSettings,
    backend: OperatorBackend,
) -> Result<ApiHandle, ApiError> {
    let server = serve(settings, operators::description()?, Arc::new(backend))?;
    open(settings, server, StreamSlots::default(), TaskTracker::new())
}

/// Opens the HTTP library's own listener.
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
        // A handler is dropped when its caller goes away, which is how a
        // backend notices that nobody waits for its answer.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, settings.log.clone())
        .config(config)
        .start()
}

/// Opens the bounded listener before it.
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

/// Closes from the outside in: callers first, so that nothing new arrives.
async fn close<C>(proxy: ProxyHandle, server: HttpServer<C>, running_calls: TaskTracker)
where
    C: ServerContext,
{
    proxy.shutdown().await;
    running_calls.close();
    running_calls.wait().await;
    if let Err(error) = server.close().await {
        log::warn!("the inner HTTP listener ended badly: {error}");
    }
}
