//! Limits what a target may send before the head of its response is complete.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::pending_reads::{PendingReads, ReadMark};

/// Maximum number of bytes up to the end of a head, in bytes, interim responses included, and
/// size of the read buffer of a connection.
/// Without it a target that sends interim responses without end keeps this host's only
/// thread busy, since each of them is complete.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A connection that fails when the head of a response is longer than [`MAX_HEAD_BYTES`].
#[derive(Debug)]
pub(super) struct HeadLimit<S> {
    stream: S,
    mark: ReadMark,
    received: usize,
    is_head_complete: Arc<AtomicBool>,
}

/// Sends the request of a connection, and lifts the limit when the head has arrived.
#[derive(Debug)]
pub(super) struct LinkSender {
    sender: SendRequest<Full<Bytes>>,
    is_head_complete: Arc<AtomicBool>,
}

impl<S> HeadLimit<S> {
    /// Limits a new connection, and counts it among those of its target; returns the flag that
    /// lifts the limit.
    pub(super) fn new(stream: S, reads: &PendingReads) -> (Self, Arc<AtomicBool>) {
        let is_head_complete = Arc::new(AtomicBool::new(false));
        let limit = Self {
            stream,
            mark: reads.open(),
            received: 0,
            is_head_complete: is_head_complete.clone(),
        };
        (limit, is_head_complete)
    }
}

impl LinkSender {
    pub(super) fn new(sender: SendRequest<Full<Bytes>>, is_head_complete: Arc<AtomicBool>) -> Self {
        Self {
            sender,
            is_head_complete,
        }
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the head exceeds the limit.
    pub(super) async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        let response = self.sender.send_request(request).await?;
        self.is_head_complete.store(true, Ordering::Relaxed);
        Ok(response)
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
        let is_limited = !self.is_head_complete.load(Ordering::Relaxed);
        if is_limited && self.received >= MAX_HEAD_BYTES {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the head is too long");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.received += buffer.filled().len() - before;
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
