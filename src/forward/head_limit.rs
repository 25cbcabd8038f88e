//! Limits what a target may send before the head of its response is complete, and between two
//! pieces of its body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::SendRequest;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::pending_reads::{PendingReads, ReadMark};
use crate::buffer::BodyBlocks;

/// Maximum number of bytes up to the end of a head, in bytes, interim responses included, and
/// size of the read buffer of a connection.
/// Without it a target that sends interim responses without end keeps this host's only
/// thread busy, since each of them is complete.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of bytes that are read for one piece of a body: a few read buffers. Without it
/// a target that sends the size of a chunk without end keeps this host's only thread busy.
const MAX_FRAMING_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// A connection that fails when the head of a response is longer than [`MAX_HEAD_BYTES`], or
/// when [`MAX_FRAMING_BYTES`] of a body have brought no data.
#[derive(Debug)]
pub(super) struct HeadLimit<S> {
    stream: S,
    mark: ReadMark,
    progress: Arc<ResponseProgress>,
}

/// The body of a request to a target: that of a short request, or of a caller's.
pub(super) type LinkBody = Either<Full<Bytes>, BodyBlocks>;

/// How much of a response has been read.
#[derive(Debug, Default)]
pub(super) struct ResponseProgress {
    is_head_complete: AtomicBool,
    /// Bytes read since the start, or since the last piece of the body.
    received: AtomicUsize,
}

/// Sends the request of a connection, and lifts the limit when the head has arrived.
#[derive(Debug)]
pub(super) struct LinkSender {
    sender: SendRequest<LinkBody>,
    progress: Arc<ResponseProgress>,
}

/// The body of a response, each piece of which lets more be read.
#[derive(Debug)]
pub(super) struct TargetBody {
    body: Incoming,
    progress: Arc<ResponseProgress>,
}

impl ResponseProgress {
    fn is_over(&self) -> bool {
        let limit = match self.is_head_complete.load(Ordering::Relaxed) {
            true => MAX_FRAMING_BYTES,
            false => MAX_HEAD_BYTES,
        };
        self.received.load(Ordering::Relaxed) >= limit
    }

    fn observe_head(&self) {
        self.is_head_complete.store(true, Ordering::Relaxed);
        self.observe_piece();
    }

    fn observe_piece(&self) {
        self.received.store(0, Ordering::Relaxed);
    }
}

impl<S> HeadLimit<S> {
    /// Limits a new connection, and counts it among those of its target; returns the progress
    /// that the limit depends on.
    pub(super) fn new(stream: S, reads: &PendingReads) -> (Self, Arc<ResponseProgress>) {
        let progress = Arc::new(ResponseProgress::default());
        let limit = Self {
            stream,
            mark: reads.open(),
            progress: progress.clone(),
        };
        (limit, progress)
    }
}

impl LinkSender {
    pub(super) fn new(sender: SendRequest<LinkBody>, progress: Arc<ResponseProgress>) -> Self {
        Self { sender, progress }
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the head exceeds the limit.
    pub(super) async fn send_request(
        &mut self,
        request: Request<LinkBody>,
    ) -> hyper::Result<Response<TargetBody>> {
        let response = self.sender.send_request(request).await?;
        self.progress.observe_head();
        let progress = self.progress.clone();
        Ok(response.map(|body| TargetBody { body, progress }))
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            self.progress.observe_piece();
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

impl<S> AsyncRead for HeadLimit<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.is_over() {
            let error = "the head, or what frames the body, is too long";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        self.progress.received.fetch_add(length, Ordering::Relaxed);
        self.mark.set_pending(polled.is_pending());
        polled
    }
}

impl<S> AsyncWrite for HeadLimit<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
