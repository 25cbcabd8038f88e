//! Typed calls to targets.

mod engine_calls;
mod path_segment;
mod service_calls;
mod single_call;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Uri};
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::TargetFailure;
use super::transport::{RawResponse, TargetTransport};
use path_segment::PathSegment;
pub use service_calls::{CallRequest, CallResponse};
pub use single_call::SingleCall;

const JSON_CONTENT: HeaderValue = HeaderValue::from_static("application/json");
/// Maximum size of a response other than an exported cache, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of an exported cache, in bytes.
const MAX_EXPORT_BYTES: usize = 64 * 1024 * 1024;

/// Timeouts of calls to targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetTimeouts {
    /// For making a connection.
    pub connect: Duration,
    /// From sending a call to the end of its response.
    pub response: Duration,
    /// Added to `response` for each position of a step beyond the first.
    pub per_position: Duration,
}

impl Default for TargetTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            response: Duration::from_secs(2),
            per_position: Duration::from_millis(5),
        }
    }
}

/// Client for all targets. Clones are cheap and share their connections.
#[derive(Debug, Clone)]
pub struct TargetClient {
    transport: TargetTransport,
    timeouts: TargetTimeouts,
}

impl TargetClient {
    /// Creates a client; it connects on demand.
    pub fn open(timeouts: TargetTimeouts) -> Self {
        Self {
            transport: TargetTransport::open(timeouts.connect),
            timeouts,
        }
    }

    async fn get<A>(&self, address: SocketAddr, path: &str) -> Result<A, TargetFailure>
    where
        A: DeserializeOwned,
    {
        let request = request(Method::GET, address, path, Bytes::new())?;
        parse(&self.send(request, MAX_RESPONSE_BYTES).await?)
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<RawResponse, TargetFailure> {
        let timeout = self.timeouts.response;
        let response = self.transport.send(request, true, timeout, max_bytes);
        check_status(response.await?)
    }
}

/// Builds a request. If it cannot be built, the failure counts as a failed connection,
/// because in both cases it is certain that nothing was sent.
fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, TargetFailure> {
    let unsent = |error: http::Error| TargetFailure::Connect(error.to_string());
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .map_err(unsent)?;
    Request::builder()
        .method(method)
        .uri(uri)
        .header(CONTENT_TYPE, JSON_CONTENT)
        .body(Full::new(body))
        .map_err(unsent)
}

fn encode<B>(body: &B) -> Result<Bytes, TargetFailure>
where
    B: Serialize,
{
    let encoded = serde_json::to_vec(body);
    encoded
        .map(Bytes::from)
        .map_err(|error| TargetFailure::Connect(error.to_string()))
}

/// Rejects responses without a 2xx status.
fn check_status(response: RawResponse) -> Result<RawResponse, TargetFailure> {
    match response.status.is_success() {
        true => Ok(response),
        false => Err(TargetFailure::Unusable(format!(
            "status {}",
            response.status
        ))),
    }
}

fn parse<A>(response: &RawResponse) -> Result<A, TargetFailure>
where
    A: DeserializeOwned,
{
    let parsed = serde_json::from_slice(&response.body);
    parsed.map_err(|error| TargetFailure::Unusable(error.to_string()))
}
