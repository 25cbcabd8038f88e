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
/// Largest answer that is read, but for exported caches.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Largest exported cache that is read.
const MAX_EXPORT_BYTES: usize = 64 * 1024 * 1024;

/// How long calls to targets may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetTimeouts {
    /// For making a connection.
    pub connect: Duration,
    /// From sending a call to the end of its answer.
    pub response: Duration,
    /// Added to `answer` for each position of a step beyond the first.
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

/// Client for all targets; cheap to clone, clones share their connections.
#[derive(Debug, Clone)]
pub struct TargetClient {
    transport: TargetTransport,
    timeouts: TargetTimeouts,
}

impl TargetClient {
    /// A client without connections as yet.
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

/// A request that can't be written is reported as a failed connection: like
/// that one it is certain not to have been sent.
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

/// Lets only answers with a 2xx status pass.
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
