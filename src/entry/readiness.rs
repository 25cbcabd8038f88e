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
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::fleet::{PathQuery, RequestSize, choose_path};
use crate::forward::ServingTables;
use crate::platform::names;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Pause after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of open connections to each of the two endpoints, which load balancers and
/// scrapers use one at a time.
const MAX_CONNECTIONS: usize = 64;
/// Time in which the head of a request has to arrive, also on a connection that was used before.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Why callers cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum UnreadyCause {
    /// No configuration is known.
    #[error("no configuration")]
    Configuration,
    /// The process is shutting down.
    #[error("shutting down")]
    ShuttingDown,
    /// No service has a usable target.
    #[error("no usable target")]
    Targets,
    /// The same, and this host has lost its own links to targets.
    #[error("no usable target, own links lost")]
    Links,
}

/// Checks that callers can be served: there is a configuration, and some service has a
/// usable target or engines that hold every layer.
///
/// # Errors
///
/// If they cannot.
pub(super) fn check_ready(tables: &ServingTables, now: Instant) -> Result<(), UnreadyCause> {
    let configuration = tables.configuration.load();
    let configuration = configuration.as_ref().ok_or(UnreadyCause::Configuration)?;
    if tables.is_draining() {
        return Err(UnreadyCause::ShuttingDown);
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
                preferred_zone: None,
            };
            choose_path(members, query, now, || 0.0).is_some()
        }),
    };
    let mut services = configuration.services.values();
    let is_served = services.any(|service| is_served(service));
    drop(fleet);
    match is_served {
        true => Ok(()),
        false if tables.is_isolated() => Err(UnreadyCause::Links),
        false => Err(UnreadyCause::Targets),
    }
}

fn respond_ready(
    tables: &ServingTables,
    last: &Mutex<Option<UnreadyCause>>,
) -> (StatusCode, String) {
    let cause = check_ready(tables, Instant::now()).err();
    let before = std::mem::replace(&mut *last.lock(), cause);
    match cause {
        Some(cause) if before != Some(cause) => log::warn!(cause:% = cause; "not ready"),
        None if before.is_some() => log::info!("ready"),
        _ => {}
    }
    match cause {
        None => (StatusCode::OK, String::new()),
        Some(cause) => (StatusCode::SERVICE_UNAVAILABLE, cause.to_string()),
    }
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
    let last = Mutex::new(Some(UnreadyCause::Configuration));
    serve_paths(address, move |path| match path {
        names::READY_PATH => respond_ready(&tables, &last),
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
        METRICS_PATH => (StatusCode::OK, tables.encode_metrics()),
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
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            match listener.accept().await {
                // A connection beyond the limit is closed.
                Ok((stream, _)) => {
                    if let Ok(place) = places.clone().try_acquire_owned() {
                        tokio::spawn(serve_stream(stream, respond.clone(), place));
                    }
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

async fn serve_stream<F>(stream: TcpStream, respond: Arc<F>, _place: OwnedSemaphorePermit)
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
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection to the readiness or metrics endpoint failed: {error}");
    }
}
