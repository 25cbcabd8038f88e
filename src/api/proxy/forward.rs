//! Forwarding of requests to the HTTP library's listener.

use std::io;
use std::net::SocketAddr;

use dropshot::Body;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio_util::task::AbortOnDropHandle;

use super::request_reader::REQUEST_ID;
use super::{SLOT_HEADER, StreamSlots};
use crate::api::response::{VERDICT_HEADER, error_response};
use crate::api::stream::stream_body;
use crate::api::wire::RefusalBody;
use crate::buffer::BodyBlocks;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Reason why a request could not be forwarded or got no response.
#[derive(Debug, thiserror::Error)]
enum ForwardError {
    #[error("cannot connect to the inner HTTP listener: {0}")]
    Connect(#[from] io::Error),
    #[error("handshake with the inner HTTP listener failed: {0}")]
    Handshake(hyper::Error),
    #[error("no response from the inner HTTP listener: {0}")]
    Send(hyper::Error),
}

/// Forwards the requests of one connection, one at a time.
pub(super) struct Forwarder {
    inner: SocketAddr,
    slots: StreamSlots,
    /// Open connection to the inner listener, if any.
    link: Mutex<Option<InnerLink>>,
}

/// A connection to the inner listener. It is closed together with the caller's
/// connection, by which the endpoint notices that the caller has disconnected.
struct InnerLink {
    sender: SendRequest<BodyBlocks>,
    _driver: AbortOnDropHandle<()>,
}

impl Forwarder {
    pub(super) fn new(inner: SocketAddr, slots: StreamSlots) -> Self {
        Self {
            inner,
            slots,
            link: Mutex::new(None),
        }
    }

    /// Forwards a request and returns the response for the caller.
    pub(super) async fn forward(&self, mut request: Request<BodyBlocks>) -> Response<Body> {
        let request_id = request.headers().get(REQUEST_ID).cloned();
        let slot = self.slots.open();
        if let Ok(name) = HeaderValue::try_from(slot.name()) {
            request.headers_mut().insert(SLOT_HEADER, name);
        }
        let mut response = match self.send(request).await {
            Ok(response) => public_response(response),
            Err(error) => error_for(&error),
        };
        if let Some(events) = slot.take() {
            let request = request_id.as_ref().and_then(|id| id.to_str().ok());
            *response.body_mut() = stream_body(request.unwrap_or_default().into(), events);
        }
        if let Some(id) = request_id {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }

    async fn send(
        &self,
        mut request: Request<BodyBlocks>,
    ) -> Result<Response<Incoming>, ForwardError> {
        let host = HeaderValue::try_from(self.inner.to_string());
        if let Ok(host) = host {
            request.headers_mut().insert(header::HOST, host);
        }
        let mut pooled = self.link.lock().await;
        let usable = pooled.take().filter(|link| !link.sender.is_closed());
        let mut link = match usable {
            Some(link) => link,
            None => self.connect().await?,
        };
        link.sender.ready().await.map_err(ForwardError::Handshake)?;
        let response = link.sender.send_request(request).await;
        *pooled = Some(link);
        response.map_err(ForwardError::Send)
    }

    async fn connect(&self) -> Result<InnerLink, ForwardError> {
        let socket = TcpStream::connect(self.inner).await?;
        socket.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(ForwardError::Handshake)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the inner HTTP listener failed: {error}");
            }
        });
        Ok(InnerLink {
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }
}

/// Response headers that concern the inner connection only.
static HOP_BY_HOP_HEADERS: [HeaderName; 3] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
];

/// Converts a response of the inner listener for the caller. An error without a verdict
/// comes from the HTTP library itself (unknown path or method) and gets the body that all
/// refusals have.
fn public_response(response: Response<Incoming>) -> Response<Body> {
    let status = response.status();
    let is_error = status.is_client_error() || status.is_server_error();
    if is_error && !response.headers().contains_key(VERDICT_HEADER) {
        return library_error(status);
    }
    let (mut parts, body) = response.into_parts();
    for name in &HOP_BY_HOP_HEADERS {
        parts.headers.remove(name);
    }
    Response::from_parts(parts, Body::wrap(body))
}

fn library_error(status: StatusCode) -> Response<Body> {
    let refusal = match status {
        StatusCode::NOT_FOUND => RefusalBody::not_run(RefusalReason::Unknown, "no such path"),
        StatusCode::METHOD_NOT_ALLOWED => {
            RefusalBody::not_run(RefusalReason::Malformed, "the path has no such method")
        }
        other if other.is_client_error() => {
            RefusalBody::not_run(RefusalReason::Malformed, "the request is malformed")
        }
        _ => may_have_run("the request was interrupted"),
    };
    let mut response = error_response(&refusal);
    if status.is_client_error() {
        *response.status_mut() = status;
    }
    response
}

/// Returns the response for a request that could not be forwarded. An endpoint that
/// panics closes its connection, and the caller still gets a response. Only if nothing
/// was sent is it certain that nothing ran.
fn error_for(error: &ForwardError) -> Response<Body> {
    log::error!("{error}");
    error_response(&match error {
        ForwardError::Connect(_) | ForwardError::Handshake(_) => RefusalBody::not_run(
            RefusalReason::NotReady,
            "the daemon cannot serve requests now",
        ),
        ForwardError::Send(_) => may_have_run("the request was interrupted"),
    })
}

fn may_have_run(message: &str) -> RefusalBody {
    RefusalBody {
        verdict: RunVerdict::MayHaveRun,
        ..RefusalBody::not_run(RefusalReason::TargetFailed, message)
    }
}
