//! Follows the last request of a caller's connection, so that a connection that fails under
//! a request shows in a line, and one that its last response closes is left to end.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http::header::{self, HeaderValue};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

use super::caller_connections::CallerConnection;
use super::progress::RequestProgress;
use super::response::ResponseBody;
use super::shutdown::ShutdownEnd;
use super::tables::ServingTables;

/// The request of a connection that has no complete response yet.
#[derive(Debug, Clone)]
pub(super) struct ConnectionPhase {
    /// The connection, among those of all callers.
    connection: Arc<CallerConnection>,
    open_request: Arc<Mutex<Option<Arc<RequestProgress>>>>,
    is_closing: Arc<AtomicBool>,
}

impl ConnectionPhase {
    /// Follows a connection that was accepted.
    pub(super) fn new(connection: CallerConnection) -> Self {
        Self {
            connection: Arc::new(connection),
            open_request: Arc::default(),
            is_closing: Arc::default(),
        }
    }

    /// Records that the head of a request was read, and that its body is awaited.
    pub(super) fn observe_head(&self, progress: &Arc<RequestProgress>, now: Instant) {
        *self.open_request.lock() = Some(progress.clone());
        self.connection.observe_wait(now);
    }

    /// Records that a whole request was read; returns whether it may be served. A connection that
    /// makes way is closed, although its target may be at work.
    pub(super) fn observe_body(&self) -> bool {
        self.connection.observe_request()
    }

    /// Returns when the connection has to make way for another one.
    pub(super) async fn replaced(&self) {
        self.connection.replaced.cancelled().await;
    }

    /// Returns whether a request has no complete response.
    pub(super) fn has_request(&self) -> bool {
        self.open_request.lock().is_some()
    }

    fn observe_end(&self) {
        if self.open_request.lock().take().is_some() {
            self.connection.observe_wait(Instant::now());
        }
    }

    /// Makes a response the last one of the connection.
    pub(super) fn close_after(&self, response: &mut Response<ResponseBody>) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        self.is_closing.store(true, Ordering::Relaxed);
    }

    /// Returns whether the connection ends by itself, after its last response and the body of
    /// the request.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Logs and counts the request that is left without a complete response because the
    /// shutdown closes the connection.
    pub(super) fn record_cut(&self, tables: &Arc<ServingTables>, now: Instant) {
        if let Some(progress) = self.open_request.lock().take() {
            tables.record_shutdown_end(&progress, ShutdownEnd::Cut, now);
        }
    }

    /// Follows a response until hyper has its whole body.
    pub(super) fn follow(&self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        response.map(|body| {
            let followed = FollowedBody {
                body,
                phase: self.clone(),
            };
            followed.observe_end();
            followed.boxed_unsync()
        })
    }

    /// Logs and counts the failure of the connection, if it left a request without a complete
    /// response.
    pub(super) fn record_failure(&self, tables: &ServingTables, error: &hyper::Error) {
        let Some(progress) = self.open_request.lock().take() else {
            log::debug!("caller connection failed: {error}");
            return;
        };
        let cause = match error {
            // The caller has left, or ended its side within a body.
            error if error.is_incomplete_message() => "caller_closed",
            error if error.is_user() => "response_cut",
            _ => "connection",
        };
        tables.metrics.connection_failed(cause);
        log::info!(
            request:% = progress.id, cause:% = cause, error:% = error;
            "connection failed under a request"
        );
    }
}

struct FollowedBody {
    body: ResponseBody,
    phase: ConnectionPhase,
}

impl FollowedBody {
    fn observe_end(&self) {
        if self.body.is_end_stream() {
            self.phase.observe_end();
        }
    }
}

impl Body for FollowedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.phase.observe_end(),
            Poll::Ready(Some(Ok(_))) => self.observe_end(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
