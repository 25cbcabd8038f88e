//! Keeps a panic in the handling of one request from closing its connection unanswered.

use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::FutureExt;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use super::response::{Refusal, ResponseBody};
use super::tables::ServingTables;
use crate::reason::RefusalReason;

/// Runs the handling of a request; a panic in it is counted and becomes a refusal.
///
/// The state that requests share is sound after a panic: its locks are released, and its
/// counters are guards.
pub(super) async fn catch_panic<F>(
    tables: &ServingTables,
    id: &str,
    handled: F,
) -> Result<Response<ResponseBody>, Refusal>
where
    F: Future<Output = Result<Response<ResponseBody>, Refusal>>,
{
    let caught = AssertUnwindSafe(handled).catch_unwind().await;
    caught.unwrap_or_else(|panic| {
        record_panic(tables, id, "request", &*panic);
        // A target may have received the request.
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        Err(Refusal::may_have_run(status, RefusalReason::InternalError))
    })
}

/// Wraps a body so that a panic in it is counted and becomes an error, which cuts the
/// response.
pub(super) fn guard_body(tables: Arc<ServingTables>, id: &str, body: ResponseBody) -> ResponseBody {
    let id = id.to_owned();
    GuardedBody { tables, id, body }.boxed_unsync()
}

struct GuardedBody {
    tables: Arc<ServingTables>,
    id: String,
    body: ResponseBody,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let guarded = &mut *self;
        let body = Pin::new(&mut guarded.body);
        let polled = catch_unwind(AssertUnwindSafe(|| body.poll_frame(context)));
        polled.unwrap_or_else(|panic| {
            record_panic(&guarded.tables, &guarded.id, "stream", &*panic);
            Poll::Ready(Some(Err(std::io::Error::other("panic"))))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn record_panic(tables: &ServingTables, id: &str, place: &'static str, panic: &(dyn Any + Send)) {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    log::error!(request:% = id, place:% = place, panic:% = text.unwrap_or("unknown"); "panicked");
    tables.metrics.panicked(place);
}
