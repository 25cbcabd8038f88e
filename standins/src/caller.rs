//! A caller of the entry hosts, which records the responses with their times.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::request::Builder;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use jackdawwick::api::wire::{GenerateBody, RefusalBody, StreamEvent};

use crate::json_client::CallError;

/// Returns the bearer token that the stand-ins give to an organisation or operator.
pub fn token_of(name: &str) -> String {
    format!("token-of-{name}")
}

/// Creates an idempotency key: a UUID of version 7, which contains its creation time.
pub fn new_key(created: SystemTime, random: [u8; 10]) -> String {
    let since_epoch = created.duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    let uuid = uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    uuid.to_string()
}

/// A caller with its own connection pool.
#[derive(Debug, Clone)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    token: String,
}

/// Response to one generation request, as the caller received it.
#[derive(Debug, Clone)]
pub struct GenerationResponse {
    /// When the request was sent.
    pub sent: Instant,
    /// HTTP status; `None` if the connection broke before the response head.
    pub status: Option<StatusCode>,
    /// Events in the order received, each with its time.
    pub events: Vec<ReceivedEvent>,
    /// Body of a refusal that was received instead of a stream.
    pub refusal: Option<RefusalBody>,
    /// Whether the connection broke before the closing event.
    pub broken: bool,
    /// When the response ended, the refusal came or the connection broke.
    pub ended: Instant,
}

/// One event of a stream.
#[derive(Debug, Clone)]
pub struct ReceivedEvent {
    /// When it was received.
    pub at: Instant,
    /// The event.
    pub event: StreamEvent,
}

impl GenerationResponse {
    /// Returns the tokens in the order received.
    pub fn tokens(&self) -> Vec<u64> {
        let token = |received: &ReceivedEvent| match received.event {
            StreamEvent::Token { token, .. } => Some(token),
            _ => None,
        };
        self.events.iter().filter_map(token).collect()
    }

    /// Returns whether the closing event was received and its count matches the tokens
    /// received.
    pub fn is_complete(&self) -> bool {
        self.events.iter().any(|received| match received.event {
            StreamEvent::Done { count } => count == self.tokens().len() as u64,
            _ => false,
        })
    }

    /// Returns the time from sending the request to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        let is_token =
            |received: &&ReceivedEvent| matches!(received.event, StreamEvent::Token { .. });
        let first = self.events.iter().find(is_token)?;
        Some(first.at - self.sent)
    }

    /// Returns the refusal, whether it came instead of a stream or ended one.
    pub fn refused(&self) -> Option<&RefusalBody> {
        let in_stream = self
            .events
            .iter()
            .find_map(|received| match &received.event {
                StreamEvent::Error(body) => Some(body),
                _ => None,
            });
        self.refusal.as_ref().or(in_stream)
    }
}

/// Response of a plain service, as the caller received it.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// One call of a plain service.
#[derive(Debug, Clone)]
pub struct OutgoingCall<'a> {
    /// Service and operation, as in the path.
    pub path: &'a str,
    /// JSON body.
    pub body: Bytes,
    /// Idempotency key, for a non-idempotent call.
    pub key: Option<&'a str>,
}

impl CallerClient {
    /// Creates a caller that presents the token of an organisation.
    pub fn open(organisation: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            token: token_of(organisation),
        }
    }

    /// Sends a generation request and reads the response to its end.
    pub async fn generate(
        &self,
        host: SocketAddr,
        request: &str,
        body: &GenerateBody,
    ) -> GenerationResponse {
        self.generate_with_key(host, request, body, None).await
    }

    /// Sends a generation request that may run at most once, under an idempotency key,
    /// and reads the response to its end.
    pub async fn generate_once(
        &self,
        host: SocketAddr,
        request: &str,
        body: &GenerateBody,
        key: &str,
    ) -> GenerationResponse {
        self.generate_with_key(host, request, body, Some(key)).await
    }

    async fn generate_with_key(
        &self,
        host: SocketAddr,
        request: &str,
        body: &GenerateBody,
        key: Option<&str>,
    ) -> GenerationResponse {
        let mut collected = GenerationResponse {
            sent: Instant::now(),
            status: None,
            events: Vec::new(),
            refusal: None,
            broken: false,
            ended: Instant::now(),
        };
        let received = match self.send_generation(host, request, body, key).await {
            Ok(response) => read_response(response, &mut collected).await,
            Err(error) => Err(error),
        };
        collected.broken = received.is_err();
        collected.ended = Instant::now();
        collected
    }

    /// Sends a generation request and returns the response with its open stream.
    pub async fn start_generation(
        &self,
        host: SocketAddr,
        request: &str,
        body: &GenerateBody,
    ) -> Result<Response<Incoming>, CallError> {
        self.send_generation(host, request, body, None).await
    }

    async fn send_generation(
        &self,
        host: SocketAddr,
        request: &str,
        body: &GenerateBody,
        key: Option<&str>,
    ) -> Result<Response<Incoming>, CallError> {
        let mut builder = self
            .request(Method::POST, host, "/v1/generate")
            .header("x-request-id", request);
        if let Some(key) = key {
            builder = add_key_headers(builder, key);
        }
        let request = builder.body(Full::new(Bytes::from(serde_json::to_vec(body)?)))?;
        Ok(self.client.request(request).await?)
    }

    /// Calls a plain service once.
    pub async fn call_service(
        &self,
        host: SocketAddr,
        request: &str,
        call: OutgoingCall<'_>,
    ) -> Result<CallResponse, CallError> {
        let path = format!("/v1/services/{}", call.path);
        let mut builder = self
            .request(Method::POST, host, &path)
            .header("x-request-id", request);
        if let Some(key) = call.key {
            builder = add_key_headers(builder, key);
        }
        let response = self
            .client
            .request(builder.body(Full::new(call.body))?)
            .await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(CallResponse { status, body })
    }

    fn request(&self, method: Method, host: SocketAddr, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json")
    }
}

async fn read_response(
    response: Response<Incoming>,
    collected: &mut GenerationResponse,
) -> Result<(), CallError> {
    collected.status = Some(response.status());
    if response.status() != StatusCode::OK {
        let body = response.into_body().collect().await?.to_bytes();
        collected.refusal = Some(serde_json::from_slice(&body)?);
        return Ok(());
    }
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    while let Some(event) = events.next().await {
        let event: StreamEvent = serde_json::from_str(&event?.data)?;
        let is_last = matches!(event, StreamEvent::Done { .. } | StreamEvent::Error(_));
        let at = Instant::now();
        collected.events.push(ReceivedEvent { at, event });
        if is_last {
            return Ok(());
        }
    }
    Err("the stream ended without a closing event".into())
}

/// Adds the headers of a non-idempotent request.
fn add_key_headers(builder: Builder, key: &str) -> Builder {
    builder
        .header("idempotency-key", format!("\"{key}\""))
        .header("x-non-idempotent", "true")
}
