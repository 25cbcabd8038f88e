//! HTTP/1.1 transport to targets: pooled connections, bounded responses, no automatic
//! retries.

mod fresh;

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::TargetFailure;
use super::wire::TargetRefusal;
use crate::buffer::{CollectError, collect_limited};
pub(super) use fresh::FreshConnection;

/// How long an idle connection is kept.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of idle connections per target.
const POOL_IDLE_CONNECTIONS: usize = 32;

/// A complete response of any status that is not a [`TargetRefusal`].
#[derive(Debug)]
pub(super) struct RawResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Sends requests. Clones are cheap and share their connections.
#[derive(Debug, Clone)]
pub(super) struct TargetTransport {
    pooled: Client<HttpConnector, Full<Bytes>>,
    unpooled: Client<HttpConnector, Full<Bytes>>,
    connect_timeout: Duration,
}

impl TargetTransport {
    pub(super) fn open(connect_timeout: Duration) -> Self {
        Self {
            pooled: open_client(connect_timeout, POOL_IDLE_CONNECTIONS),
            unpooled: open_client(connect_timeout, 0),
            connect_timeout,
        }
    }

    /// Returns the timeout for making a connection.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Sends `request` and reads the response, up to `max_bytes`.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        use_pool: bool,
        response_timeout: Duration,
        max_bytes: usize,
    ) -> Result<RawResponse, TargetFailure> {
        let client = match use_pool {
            true => &self.pooled,
            false => &self.unpooled,
        };
        let exchange = exchange(client, request, max_bytes);
        match tokio::time::timeout(response_timeout, exchange).await {
            Ok(response) => response,
            // The request may be running on a target that hangs or is slow.
            Err(_) => Err(TargetFailure::TimedOut),
        }
    }
}

fn open_client(
    connect_timeout: Duration,
    idle_connections: usize,
) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    // Steps are small messages, each sent after the response to the previous one. With
    // Nagle's algorithm each could wait for the acknowledgement of the one before.
    connector.set_nodelay(true);
    let mut builder = Client::builder(TokioExecutor::new());
    builder
        // An automatic retry of the library would hide that the request may have run, and
        // the caller would receive `NotRun` for a request that ran.
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_connections);
    builder.build(connector)
}

async fn exchange(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<RawResponse, TargetFailure> {
    let sent = client.request(request).await;
    let response = sent.map_err(|error| send_failure(&error))?;
    read_response(response, max_bytes).await
}

async fn read_response(
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<RawResponse, TargetFailure> {
    let (head, body) = response.into_parts();
    let collected = collect_limited(body, max_bytes).await;
    let body = collected.map_err(|error| body_failure(&error))?;
    match refusal(head.status, &body) {
        Some(refusal) => Err(TargetFailure::Refused(refusal)),
        None => Ok(RawResponse {
            status: head.status,
            headers: head.headers,
            body,
        }),
    }
}

/// Returns the refusal in a response. The body must be a [`TargetRefusal`]: the status
/// alone may come from a proxy, or from a crash while the request ran.
fn refusal(status: StatusCode, body: &[u8]) -> Option<TargetRefusal> {
    let may_refuse = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    match may_refuse {
        true => serde_json::from_slice(body).ok(),
        false => None,
    }
}

fn send_failure(error: &hyper_util::client::legacy::Error) -> TargetFailure {
    match error.is_connect() {
        true => TargetFailure::Connect(describe(error)),
        false => TargetFailure::ResponseLost(describe(error)),
    }
}

fn body_failure(error: &CollectError<hyper::Error>) -> TargetFailure {
    match error {
        CollectError::Body(error) => TargetFailure::ResponseLost(describe(error)),
        CollectError::TooLong | CollectError::Denied | CollectError::Evicted => {
            TargetFailure::Unusable(error.to_string())
        }
    }
}

/// Returns the message of an error followed by those of its sources.
fn describe(error: &(dyn Error + 'static)) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        message.push_str(": ");
        message.push_str(&inner.to_string());
        source = inner.source();
    }
    message
}
