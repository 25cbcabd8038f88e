//! Response to a generation as server-sent events.

use std::convert::Infallible;
use std::task::{Context, Poll};

use bytes::Bytes;
use dropshot::{ApiEndpointResponse, Body, HttpError, HttpResponse, HttpResponseOk};
use futures::stream;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::Frame;

use super::backend::GenerateStream;
use super::wire::{RefusalBody, StreamEvent};
use crate::ids::RequestId;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Media type of server-sent events.
pub(super) const EVENT_STREAM: &str = "text/event-stream";
/// Cache policy: intermediaries must neither store nor buffer events.
const NO_STORE: &str = "no-store";

/// A response whose body is a stream of events.
pub(super) struct EventResponse(Response<Body>);

impl HttpResponse for EventResponse {
    fn to_result(self) -> Result<Response<Body>, HttpError> {
        Ok(self.0)
    }

    /// Documents one event; `openapi` corrects the media type in the document.
    fn response_metadata() -> ApiEndpointResponse {
        <HttpResponseOk<StreamEvent> as HttpResponse>::response_metadata()
    }

    fn status_code(&self) -> StatusCode {
        self.0.status()
    }
}

impl EventResponse {
    /// Creates the response; `body` is empty if the events are passed to the proxy.
    pub(super) fn new(body: Body) -> Self {
        let mut response = Response::new(body);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static(NO_STORE));
        Self(response)
    }
}

/// Returns a body that writes the events of one response.
pub(super) fn stream_body(request: RequestId, events: GenerateStream) -> Body {
    let mut writer = EventWriter {
        request,
        events,
        finished: false,
    };
    let frames = stream::poll_fn(move |context| writer.poll_frame(context));
    Body::wrap(StreamBody::new(frames))
}

/// Writes events as frames up to the last one.
struct EventWriter {
    request: RequestId,
    events: GenerateStream,
    finished: bool,
}

impl EventWriter {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.finished {
            return Poll::Ready(None);
        }
        self.events.poll_recv(context).map(|event| {
            // A backend task that panics drops its sender. Without this event the stream
            // would just end, and the caller could take an incomplete response for a
            // complete one.
            let event = event.unwrap_or_else(|| self.interrupted());
            self.finished = matches!(event, StreamEvent::Done { .. } | StreamEvent::Error(_));
            Some(Ok(Frame::data(event_bytes(&event))))
        })
    }

    fn interrupted(&self) -> StreamEvent {
        StreamEvent::Error(RefusalBody {
            verdict: RunVerdict::MayHaveRun,
            ..RefusalBody::not_run(RefusalReason::TargetFailed, "the response was interrupted")
                .for_request(self.request.clone())
        })
    }
}

/// Encodes one event.
fn event_bytes(event: &StreamEvent) -> Bytes {
    let json = serde_json::to_string(event).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}
