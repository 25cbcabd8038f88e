//! Passing a request on to the HTTP library's listener.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use dropshot::Body;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
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
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Why a request could not be passed on, or brought no answer.
#[derive(Debug, thiserror::Error)]
enum ForwardError {
    #[error("cannot reach the inner listener: {0}")]
    Connect(#[from] io::Error),
    #[error("cannot speak to the inner listener: {0}")]
    Handshake(hyper::Error),
    #[error("the request brought no answer: {0}")]
    Send(hyper::Error),
}

/// Passes the requests of one connection on, one at a time.
pub(super) struct Forwarder {
    inner: SocketAddr,
    slots: StreamSlots,
    /// The connection to the inner listener, once there is one.
    link: Mutex<Option<InnerLink>>,
}

/// A connection to the inner listener. It is closed with the caller's, by
/// which the endpoint notices that its caller is gone.
struct InnerLink {
    sender: SendRequest<Full<Bytes>>,
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

    /// Passes one request on and gives back the answer for the caller.
    pub(super) async fn forward(&self, mut request: Request<Full<Bytes>>) -> Response<Body> {
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
        mut request: Request<Full<Bytes>>,
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
                log::debug!("an inner connection ended: {error}");
            }
        });
        Ok(InnerLink {
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }
}

/// Headers of an answer that concern the inner connection only.
static HOP_BY_HOP_HEADERS: [HeaderName; 3] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
];

/// The answer as the caller gets it. An error without a verdict is the HTTP
/// library's own (no such path, or another method there) and gets a body like
/// every other refusal.
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
        _ => may_have_run("the request broke off"),
    };
    let mut response = error_response(&refusal);
    if status.is_client_error() {
        *response.status_mut() = status;
    }
    response
}

/// An endpoint that panics takes its connection with it; the caller still gets
/// an answer. Only if nothing was sent is it sure that nothing ran.
fn error_for(error: &ForwardError) -> Response<Body> {
    log::error!("{error}");
    error_response(&match error {
        ForwardError::Connect(_) | ForwardError::Handshake(_) => {
            RefusalBody::not_run(RefusalReason::NotReady, "the daemon cannot serve now")
        }
        ForwardError::Send(_) => may_have_run("the request broke off"),
    })
}

fn may_have_run(message: &str) -> RefusalBody {
    RefusalBody {
        verdict: RunVerdict::MayHaveRun,
        ..RefusalBody::not_run(RefusalReason::TargetFailed, message)
    }
}
