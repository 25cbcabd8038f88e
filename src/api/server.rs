//! The two listeners: how they are opened and closed.

use std::net::SocketAddr;
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

/// Default bound on a body, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// Settings of one listener.
#[derive(Debug, Clone)]
pub struct ApiSettings {
    /// Address to listen on; port 0 takes a free one.
    pub address: SocketAddr,
    /// Longest body taken, in bytes.
    pub body_limit: usize,
    /// Where the HTTP library logs.
    pub log: slog::Logger,
}

impl ApiSettings {
    /// Settings with the default bounds.
    pub fn new(address: SocketAddr, log: slog::Logger) -> Self {
        Self {
            address,
            body_limit: BODY_LIMIT,
            log,
        }
    }
}

/// Why a listener could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The address is in use or not one of this host's.
    #[error("cannot open the HTTP listener: {0}")]
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
    let detached = TaskTracker::new();
    let context = CallerContext {
        backend,
        detached: detached.clone(),
    };
    let server = serve(settings, callers::description()?, Arc::new(context))?;
    Ok(handle(server, detached))
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
    Ok(handle(server, TaskTracker::new()))
}

fn serve<C>(
    settings: &ApiSettings,
    api: ApiDescription<C>,
    context: C,
) -> Result<HttpServer<C>, BuildError>
where
    C: ServerContext,
{
    let config = ConfigDropshot {
        bind_address: settings.address,
        default_request_body_max_bytes: settings.body_limit,
        // A handler is dropped when its caller goes away, which is how a
        // backend notices that nobody waits for its answer.
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, context, settings.log.clone())
        .config(config)
        .start()
}

fn handle<C>(server: HttpServer<C>, detached: TaskTracker) -> ApiHandle
where
    C: ServerContext,
{
    let address = server.local_addr();
    let close = move || -> BoxFuture<'static, ()> {
        Box::pin(async move {
            if let Err(error) = server.close().await {
                log::warn!("the HTTP listener on {address} ended badly: {error}");
            }
            detached.close();
            detached.wait().await;
        })
    };
    ApiHandle {
        address,
        close: Box::new(close),
    }
}
