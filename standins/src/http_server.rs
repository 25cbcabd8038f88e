//! An HTTP/1.1 server that can close a connection instead of responding, and can simulate
//! a crash and restart on the same port.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::faults::FaultSwitch;

/// One call with its complete body.
#[derive(Debug)]
pub struct ServedCall {
    /// Method of the call.
    pub method: Method,
    /// Path, split at each `/`.
    pub segments: Vec<String>,
    /// Query string, still encoded.
    pub query: String,
    /// Headers of the call.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl ServedCall {
    /// Returns the path segments as slices, for matching.
    pub fn path(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }

    /// Returns a whole number from the query string.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_text(name)?.parse().ok()
    }

    /// Returns a value from the query string, still encoded.
    pub fn query_text(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        Some(value)
    }

    /// Returns the text of a header, if it is present and visible ASCII.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON. The error is the outcome to send if it is malformed.
    pub fn json<T>(&self) -> Result<T, CallOutcome>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
            .map_err(|error| CallOutcome::json(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A response with a status and an optional JSON body.
    Respond {
        /// Status of the response.
        status: StatusCode,
        /// JSON text, or empty.
        body: Bytes,
    },
    /// A response with one more header.
    RespondWith {
        /// Name and value of the header.
        header: (HeaderName, HeaderValue),
        /// Status of the response.
        status: StatusCode,
        /// Body, or empty.
        body: Bytes,
    },
    /// The connection is closed without a response.
    Close,
}

impl CallOutcome {
    /// Creates a response with a JSON body.
    pub fn json<T>(status: StatusCode, body: &T) -> Self
    where
        T: Serialize + ?Sized,
    {
        match serde_json::to_vec(body) {
            Ok(text) => Self::Respond {
                status,
                body: text.into(),
            },
            Err(_) => Self::empty(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Creates a 200 response with a JSON body.
    pub fn ok<T>(body: &T) -> Self
    where
        T: Serialize + ?Sized,
    {
        Self::json(StatusCode::OK, body)
    }

    /// Creates a response without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self::Respond {
            status,
            body: Bytes::new(),
        }
    }

    /// Adds a header to a response.
    pub fn with_header(self, name: HeaderName, value: HeaderValue) -> Self {
        match self {
            Self::Respond { status, body } | Self::RespondWith { status, body, .. } => {
                Self::RespondWith {
                    header: (name, value),
                    status,
                    body,
                }
            }
            Self::Close => Self::Close,
        }
    }
}

/// A running server. Dropping it stops the server.
#[derive(Debug)]
pub struct HttpServer {
    local_addr: SocketAddr,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on `addr` and passes each call to `handler`. While `is_dead` holds,
    /// connections are reset, new ones are refused, and calls in progress are abandoned.
    pub async fn bind<F, H, R>(
        addr: SocketAddr,
        faults: FaultSwitch<F>,
        is_dead: fn(&F) -> bool,
        handler: H,
    ) -> io::Result<Self>
    where
        F: Clone + Send + Sync + 'static,
        H: Fn(ServedCall) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = CallOutcome> + Send + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let local_addr = listener.local_addr()?;
        let detached_handler = {
            let faults = faults.clone();
            move |call| run_detached(handler(call), faults.clone(), is_dead)
        };
        let serving = serve_restarts(listener, local_addr, faults, is_dead, detached_handler);
        let task = tokio::spawn(serving);
        Ok(Self { local_addr, task })
    }

    /// Returns the address on which the server listens.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Stops listening and closes every connection.
    pub fn shutdown(&self) {
        self.task.abort();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_restarts<F, H, R>(
    listener: TcpListener,
    addr: SocketAddr,
    faults: FaultSwitch<F>,
    is_dead: fn(&F) -> bool,
    handler: H,
) where
    F: Clone + Send + Sync + 'static,
    H: Fn(ServedCall) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = CallOutcome> + Send + 'static,
{
    let mut next_listener = Some(listener);
    loop {
        faults.wait_until(|faults| !is_dead(faults)).await;
        let listener = match next_listener.take() {
            Some(listener) => listener,
            None => match TcpListener::bind(addr).await {
                Ok(listener) => listener,
                Err(error) => {
                    log::error!("cannot listen on {addr} after a restart: {error}");
                    return;
                }
            },
        };
        tokio::select! {
            () = accept_all(&listener, &handler) => {}
            () = faults.wait_until(is_dead) => {}
        }
    }
}

/// Runs a call to its end even if the caller disconnects, as a real target does not
/// notice this. Only a simulated crash ends the call early.
async fn run_detached<F, R>(
    handling: R,
    faults: FaultSwitch<F>,
    is_dead: fn(&F) -> bool,
) -> CallOutcome
where
    F: Clone + Send + Sync + 'static,
    R: Future<Output = CallOutcome> + Send + 'static,
{
    let task = tokio::spawn(async move {
        tokio::select! {
            biased;
            () = faults.wait_until(is_dead) => CallOutcome::Close,
            outcome = handling => outcome,
        }
    });
    task.await.unwrap_or(CallOutcome::Close)
}

/// Accepts and serves connections. Dropping this future closes all of them.
async fn accept_all<H, R>(listener: &TcpListener, handler: &H)
where
    H: Fn(ServedCall) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = CallOutcome> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
                Err(error) => log::warn!("accept failed: {error}"),
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, R>(stream: TcpStream, handler: H)
where
    H: Fn(ServedCall) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = CallOutcome> + Send + 'static,
{
    // Nagle's algorithm would delay small responses until the peer's delayed
    // acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| serve_call(request, handler.clone()));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("connection ended: {error}");
    }
}

/// Error that makes hyper close a connection without a response.
#[derive(Debug)]
struct ClosedByFault;

impl std::fmt::Display for ClosedByFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("closed by a fault")
    }
}

impl std::error::Error for ClosedByFault {}

async fn serve_call<H, R>(
    request: Request<Incoming>,
    handler: H,
) -> Result<Response<Full<Bytes>>, ClosedByFault>
where
    H: Fn(ServedCall) -> R,
    R: Future<Output = CallOutcome>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ClosedByFault)?.to_bytes();
    let path = parts.uri.path().trim_matches('/');
    let call = ServedCall {
        method: parts.method,
        segments: path.split('/').map(str::to_owned).collect(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers,
        body,
    };
    match handler(call).await {
        CallOutcome::Respond { status, body } => json_response(status, body),
        CallOutcome::RespondWith {
            header: (name, value),
            status,
            body,
        } => {
            let mut response = json_response(status, body)?;
            response.headers_mut().insert(name, value);
            Ok(response)
        }
        CallOutcome::Close => Err(ClosedByFault),
    }
}

fn json_response(status: StatusCode, body: Bytes) -> Result<Response<Full<Bytes>>, ClosedByFault> {
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|_| ClosedByFault)
}
