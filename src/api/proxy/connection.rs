//! Connections of callers.

use std::convert::Infallible;
use std::time::Duration;

use dropshot::Body;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::Watcher;
use tokio::net::TcpStream;

use super::ProxyContext;
use super::forward::Forwarder;
use super::request_reader;
use crate::api::response::error_response;
use crate::api::wire::RefusalBody;
use crate::reason::RefusalReason;

/// Maximum time for refusing a connection beyond the bound.
const REFUSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a caller refused for too many connections should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves requests until the caller closes the connection or a bound is exceeded.
pub(super) async fn serve(socket: TcpStream, context: ProxyContext, watcher: Watcher) {
    let forwarder = Forwarder::new(context.inner, context.slots.clone());
    let bounds = context.bounds;
    let service = service_fn(|request: Request<Incoming>| async {
        let response = match request_reader::read(request, &bounds, &context.budget).await {
            Ok(request) => {
                // The HTTP library holds a copy until it has responded.
                let _held = request.body().clone();
                forwarder.forward(request).await
            }
            Err(refusal) => refusal.into_response(),
        };
        Ok::<_, Infallible>(response)
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_headers(bounds.head_count)
        .max_header_size(bounds.head_bytes)
        .serve_connection(TokioIo::new(socket), service);
    if let Err(error) = watcher.watch(served).await {
        log::debug!("connection of a caller failed: {error}");
    }
}

/// Responds to a connection beyond the bound with a refusal and closes it.
pub(super) async fn refuse(socket: TcpStream) {
    let service =
        service_fn(|_: Request<Incoming>| async { Ok::<_, Infallible>(too_many_connections()) });
    let served = http1::Builder::new()
        .keep_alive(false)
        .serve_connection(TokioIo::new(socket), service);
    // A caller that sends no request in time must not keep its permit from others.
    let _ = tokio::time::timeout(REFUSE_TIMEOUT, served).await;
}

fn too_many_connections() -> Response<Body> {
    let refusal = RefusalBody::not_run(
        RefusalReason::QueueFull,
        "the host has reached its maximum number of connections",
    );
    let mut response = error_response(&refusal.retry_after(RETRY_AFTER));
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
