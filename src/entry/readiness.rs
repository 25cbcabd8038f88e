//! Endpoints for the load balancer's readiness checks and for the metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::fleet::{PathQuery, RequestSize, choose_path};
use crate::forward::ServingTables;
use crate::platform::names;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Pause after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Returns whether callers can be served: there is a configuration, and some service has a
/// usable target or engines that hold every layer.
pub(super) fn is_ready(tables: &ServingTables, now: Instant) -> bool {
    let configuration = tables.configuration.load();
    let Some(configuration) = configuration.as_ref() else {
        return false;
    };
    if tables.is_draining() {
        return false;
    }
    let fleet = tables.fleet.lock();
    let is_served = |service: &crate::ingress::ServiceSpec| match &service.engine {
        None => fleet.has_usable(&service.name, now),
        Some(model) => fleet.members(&service.name).is_some_and(|members| {
            let size = RequestSize {
                prompt: 0,
                answer: 0,
            };
            let query = PathQuery {
                model,
                size,
                zone: &tables.zone,
                avoid: &[],
                // A service whose targets all pause is short of capacity, not lost.
                max_pause: Duration::MAX,
            };
            choose_path(members, query, now, || 0.0).is_some()
        }),
    };
    configuration
        .services
        .values()
        .any(|service| is_served(service))
}

/// Serves readiness checks on `address`, forever; returns the bound address.
///
/// # Errors
///
/// If the address cannot be listened on.
pub(super) fn serve_readiness(
    tables: Arc<ServingTables>,
    address: SocketAddr,
) -> io::Result<SocketAddr> {
    serve_paths(address, move |path| match path {
        names::READY_PATH if is_ready(&tables, Instant::now()) => (StatusCode::OK, String::new()),
        names::READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
}

/// Serves the metrics on `address`, forever; returns the bound address.
///
/// # Errors
///
/// If the address cannot be listened on.
pub(super) fn serve_metrics(
    tables: Arc<ServingTables>,
    address: SocketAddr,
) -> io::Result<SocketAddr> {
    serve_paths(address, move |path| match path {
        METRICS_PATH => (StatusCode::OK, tables.metrics.encode()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
}

/// Serves each request by a function of its path; returns the bound address.
fn serve_paths<F>(address: SocketAddr, respond: F) -> io::Result<SocketAddr>
where
    F: Fn(&str) -> (StatusCode, String) + Send + Sync + 'static,
{
    let listener = crate::forward::socket::bind(address)?;
    let address = listener.local_addr()?;
    let respond = Arc::new(respond);
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_stream(stream, respond.clone()));
                }
                Err(error) => {
                    log::warn!(error:% = error; "cannot accept a readiness or metrics connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
    Ok(address)
}

async fn serve_stream<F>(stream: TcpStream, respond: Arc<F>)
where
    F: Fn(&str) -> (StatusCode, String),
{
    let service = service_fn(|request: Request<Incoming>| {
        let (status, text) = respond(request.uri().path());
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        async { Ok::<_, Infallible>(response) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection to the readiness or metrics endpoint failed: {error}");
    }
}
