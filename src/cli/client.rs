//! HTTP client for the operators' interface.

use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CliError;
use crate::api::wire::{
    AcceptedBody, ApplyBody, ConflictBody, ExplainView, ForceView, RefusalBody, ResourceView,
    StatusView,
};
use crate::buffer::collect_limited;
use crate::ids::LogOffset;
use crate::reason::RefusalReason;
use crate::resources::{ResourceKey, ResourceKind};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time to a response. The response to a change is sent only after the host has
/// replayed the change from the log.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the operators' listener of one entry host.
pub struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    server: SocketAddr,
    authorization: HeaderValue,
}

/// Status and body of a response.
struct RawResponse {
    status: StatusCode,
    body: Bytes,
}

impl OperatorClient {
    /// Creates a client; connections are opened on first use.
    ///
    /// # Errors
    /// Returns an error if the token cannot be sent in a header.
    pub fn open(server: SocketAddr, token: &str) -> Result<Self, CliError> {
        let mut authorization = HeaderValue::try_from(format!("Bearer {token}")).map_err(|_| {
            CliError::Usage(
                "the token contains characters that are not allowed in a header".to_owned(),
            )
        })?;
        authorization.set_sensitive(true);
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // Without this setting the library would resend a request on another connection
        // by itself, but only the operator may decide to repeat a change.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Ok(Self {
            client,
            server,
            authorization,
        })
    }

    /// Returns all declared resources, or those of one kind.
    ///
    /// # Errors
    /// Returns an error if there is no connection, no response, or a refusal.
    pub async fn list(&self, kind: Option<ResourceKind>) -> Result<Vec<ResourceView>, CliError> {
        match kind {
            None => self.read("/v1/resources").await,
            Some(kind) => self.read(&format!("/v1/resources/{}", kind.name())).await,
        }
    }

    /// Returns one declared resource; `None` if it does not exist.
    ///
    /// # Errors
    /// Returns an error if there is no connection, no response, or a refusal.
    pub async fn find(&self, key: &ResourceKey) -> Result<Option<ResourceView>, CliError> {
        match self.read(&resource_path(key)).await {
            Ok(view) => Ok(Some(view)),
            Err(CliError::Refused(refusal)) if refusal.reason == RefusalReason::Unknown => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns which hosts have applied the configuration.
    ///
    /// # Errors
    /// Returns an error if there is no connection, no response, or a refusal.
    pub async fn force(&self) -> Result<ForceView, CliError> {
        self.read("/v1/force").await
    }

    /// Returns the decisions about a request.
    ///
    /// # Errors
    /// Returns an error if there is no connection, no response, or a refusal.
    pub async fn explain(&self, request: &str) -> Result<ExplainView, CliError> {
        self.read(&format!("/v1/explain/{}", encode_segment(request)))
            .await
    }

    /// Returns the state of the host and its view of the targets.
    ///
    /// # Errors
    /// Returns an error if there is no connection, no response, or a refusal.
    pub async fn status(&self) -> Result<StatusView, CliError> {
        self.read("/v1/status").await
    }

    /// Declares a resource.
    ///
    /// # Errors
    /// Returns an error if there is no connection, no response, or a refusal, or if the
    /// change lost a race.
    pub async fn apply(
        &self,
        key: &ResourceKey,
        body: &ApplyBody,
    ) -> Result<AcceptedBody, CliError> {
        let body = self.encode(body)?;
        let response = self.send(Method::PUT, &resource_path(key), body).await?;
        self.decode_change(key, &response)
    }

    /// Removes a resource.
    ///
    /// # Errors
    /// Returns an error if there is no connection, no response, or a refusal, or if the
    /// change lost a race.
    pub async fn delete(
        &self,
        key: &ResourceKey,
        based_on: LogOffset,
    ) -> Result<AcceptedBody, CliError> {
        let path = format!("{}?based_on={based_on}", resource_path(key));
        let response = self.send(Method::DELETE, &path, Bytes::new()).await?;
        self.decode_change(key, &response)
    }

    async fn read<T>(&self, path: &str) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        let response = self.send(Method::GET, path, Bytes::new()).await?;
        self.decode(&response)
    }

    fn decode_change(
        &self,
        key: &ResourceKey,
        response: &RawResponse,
    ) -> Result<AcceptedBody, CliError> {
        match serde_json::from_slice::<ConflictBody>(&response.body) {
            Ok(conflict) if response.status == StatusCode::CONFLICT => Err(CliError::LostRace {
                key: key.clone(),
                conflict: Box::new(conflict),
            }),
            _ => self.decode(response),
        }
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<RawResponse, CliError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.server))
            .header(header::AUTHORIZATION, self.authorization.clone())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| {
                CliError::Usage(format!("cannot build the request for {path}: {error}"))
            })?;
        match tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(request)).await {
            Ok(response) => response,
            Err(_) => Err(self.no_response(&"timed out")),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<RawResponse, CliError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Err(CliError::Unreachable {
                    server: self.server,
                    cause: with_causes(&error),
                });
            }
            Err(error) => return Err(self.no_response(&with_causes(&error))),
        };
        let status = response.status();
        let body = collect_limited(response.into_body(), MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| self.no_response(&error))?;
        Ok(RawResponse { status, body })
    }

    fn encode<T>(&self, body: &T) -> Result<Bytes, CliError>
    where
        T: Serialize,
    {
        match serde_json::to_vec(body) {
            Ok(text) => Ok(text.into()),
            Err(error) => Err(CliError::Usage(format!(
                "cannot encode the request as JSON: {error}"
            ))),
        }
    }

    fn decode<T>(&self, response: &RawResponse) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        let invalid_response = |error: serde_json::Error| CliError::InvalidResponse {
            server: self.server,
            cause: format!("status {}: {error}", response.status),
        };
        if response.status.is_success() {
            return serde_json::from_slice(&response.body).map_err(invalid_response);
        }
        match serde_json::from_slice::<RefusalBody>(&response.body) {
            Ok(refusal) => Err(CliError::Refused(Box::new(refusal))),
            Err(error) => Err(invalid_response(error)),
        }
    }

    fn no_response<C>(&self, cause: &C) -> CliError
    where
        C: ToString,
    {
        CliError::NoResponse {
            server: self.server,
            cause: cause.to_string(),
        }
    }
}

fn resource_path(key: &ResourceKey) -> String {
    format!(
        "/v1/resources/{}/{}",
        key.kind.name(),
        encode_segment(&key.name)
    )
}

/// Percent-encodes a text as one path segment. An unencoded slash or question mark in a
/// name would address another resource.
fn encode_segment(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            // Writing to a string cannot fail.
            _ => drop(write!(encoded, "%{byte:02X}")),
        }
    }
    encoded
}

/// Formats an error with its causes; the outermost error alone says only "client error".
fn with_causes<E>(error: &E) -> String
where
    E: Error,
{
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        // Writing to a string cannot fail.
        let _ = write!(text, ": {cause}");
        source = cause.source();
    }
    text
}
