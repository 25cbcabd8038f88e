//! A simple JSON client for tests, the demo and control calls.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reason why a call got no response. The call may have taken effect.
pub type CallError = Box<dyn std::error::Error + Send + Sync>;

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JsonResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// JSON text, or empty.
    pub body: Bytes,
}

impl JsonResponse {
    /// Parses the body as `T`.
    pub fn json<T>(&self) -> Result<T, serde_json::Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
    }
}

/// Sends one call on a connection of its own.
pub async fn call<T>(
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: &T,
) -> Result<JsonResponse, CallError>
where
    T: Serialize + ?Sized,
{
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
    // A connection pool would resend a lost call by itself, and the caller would not
    // learn that it may have run twice.
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build_http();
    let response = client.request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(JsonResponse { status, body })
}
