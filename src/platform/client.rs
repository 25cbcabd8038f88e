//! Client for single calls to the platform over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::buffer::collect_limited;
use crate::ids::LogOffset;
use crate::platform::error::{AppendError, CallFailure, ReadError};
use crate::platform::wire::{AppendBody, AppendResponse, HostList, ReadResponse};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Timeouts of the parts of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformTimeouts {
    /// For making a connection.
    pub connect: Duration,
    /// From the start of the call to the end of the response, without the time of long
    /// polling.
    pub response: Duration,
}

/// Client of the platform. Clones share their connections.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeouts: PlatformTimeouts,
}

impl PlatformClient {
    /// Creates a client; it connects on demand.
    pub fn open(address: SocketAddr, timeouts: PlatformTimeouts) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeouts.connect));
        connector.set_nodelay(true);
        // By default the library repeats a request on a new connection if a pooled one
        // turns out to be closed. Only a caller whose record ids make a duplicate
        // harmless may repeat an append.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            address,
            timeouts,
        }
    }

    /// Appends records to a stream, in order, as one batch.
    ///
    /// # Errors
    ///
    /// Fails with a verdict on whether the records may have been stored.
    pub async fn append(
        &self,
        stream: &str,
        records: Vec<String>,
    ) -> Result<AppendResponse, AppendError> {
        self.post_records(stream, records)
            .await
            .map_err(AppendError::from_failure)
    }

    /// Reads up to `limit` records of a stream from offset `from`, and waits up to `wait`
    /// while there is none.
    ///
    /// # Errors
    ///
    /// Fails without a complete response, or if the records do not continue without gaps
    /// from `from` (or from the oldest retained offset).
    pub async fn read(
        &self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> Result<ReadResponse, ReadError> {
        self.get_records(stream, from, limit, wait)
            .await
            .map_err(|failure| ReadError { failure })
    }

    /// Returns the platform's list of live and leaving hosts and targets.
    ///
    /// # Errors
    ///
    /// Fails without a complete response.
    pub async fn hosts(&self) -> Result<HostList, ReadError> {
        self.get("/v1/hosts", Duration::ZERO)
            .await
            .map_err(|failure| ReadError { failure })
    }

    async fn post_records(
        &self,
        stream: &str,
        records: Vec<String>,
    ) -> Result<AppendResponse, CallFailure> {
        let body = serde_json::to_vec(&AppendBody { records })
            .map_err(|error| CallFailure::Request(error.to_string()))?;
        let path = format!("/v1/streams/{stream}/records");
        self.call(Method::POST, &path, body, Duration::ZERO).await
    }

    async fn get_records(
        &self,
        stream: &str,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> Result<ReadResponse, CallFailure> {
        let wait_ms = wait.as_millis();
        let path =
            format!("/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}");
        let response = self.get(&path, wait).await?;
        check_sequence(from, &response)?;
        Ok(response)
    }

    async fn get<A>(&self, path: &str, wait: Duration) -> Result<A, CallFailure>
    where
        A: DeserializeOwned,
    {
        self.call(Method::GET, path, Vec::new(), wait).await
    }

    async fn call<A>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        wait: Duration,
    ) -> Result<A, CallFailure>
    where
        A: DeserializeOwned,
    {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| CallFailure::Request(error.to_string()))?;
        let bytes = tokio::time::timeout(self.timeouts.response + wait, self.exchange(request))
            .await
            .map_err(|_| CallFailure::Timeout)??;
        serde_json::from_slice(&bytes).map_err(|error| CallFailure::Malformed(error.to_string()))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, CallFailure> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Err(CallFailure::Connect(error.to_string()));
            }
            Err(error) => return Err(CallFailure::Broken(error.to_string())),
        };
        let status = response.status();
        if status != StatusCode::OK {
            return Err(CallFailure::Status(status));
        }
        collect_limited(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| CallFailure::Broken(error.to_string()))
    }
}

/// Checks that the records continue without gaps.
///
/// Replay depends on the order of records, so an undetected gap would give hosts
/// different states at the same offset. A response with a gap is rejected, and the
/// records are read again.
fn check_sequence(from: LogOffset, response: &ReadResponse) -> Result<(), CallFailure> {
    let start = from.max(response.first_offset);
    let follows = response
        .records
        .iter()
        .zip(start..)
        .all(|(record, expected)| record.offset == expected);
    let within = response
        .records
        .last()
        .is_none_or(|record| record.offset < response.end_offset);
    if follows && within && response.first_offset <= response.end_offset {
        return Ok(());
    }
    Err(CallFailure::Malformed(format!(
        "records do not continue from offset {start} without gaps"
    )))
}
