//! Answers the balancer's question whether this host takes callers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;

use crate::fleet::{PathQuery, RequestSize, choose_path};
use crate::forward::ServingTables;
use crate::platform::names;

/// Whether callers can be served: a configuration is in force and some service
/// has a target, or engines that hold every layer.
pub(super) fn is_ready(tables: &ServingTables, now: Instant) -> bool {
    let configuration = tables.configuration.load();
    let Some(configuration) = configuration.as_ref() else {
        return false;
    };
    if tables.is_draining() {
        return false;
    }
    let fleet = tables.fleet.lock();
    let served = |service: &crate::ingress::ServiceSpec| match &service.engine {
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
            };
            choose_path(members, query, now, || 0.0).is_some()
        }),
    };
    configuration
        .services
        .values()
        .any(|service| served(service))
}

/// Answers on `address`, for ever.
pub(super) async fn answer_readiness(
    tables: Arc<ServingTables>,
    address: SocketAddr,
) -> io::Result<()> {
    let listener = crate::forward::socket::bind(address)?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            };
            let tables = tables.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| answer(tables.clone(), request));
                let served = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if let Err(error) = served {
                    log::debug!("a readiness connection ended: {error}");
                }
            });
        }
    });
    Ok(())
}

async fn answer(
    tables: Arc<ServingTables>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let status = match request.uri().path() {
        names::READY_PATH if is_ready(&tables, Instant::now()) => StatusCode::OK,
        names::READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    Ok(response)
}
