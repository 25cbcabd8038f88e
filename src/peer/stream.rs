//! A TCP stream that counts its bytes and records the time of its last read.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::traffic::PeerTraffic;

/// Time of the last read on a stream; shared with the task that closes idle connections.
pub(super) type ReadClock = Rc<Cell<Instant>>;

/// A TCP stream with traffic counters.
#[derive(Debug)]
pub(super) struct CountedStream {
    inner: TcpStream,
    traffic: Arc<PeerTraffic>,
    last_read: ReadClock,
}

impl CountedStream {
    /// Wraps a stream and disables Nagle's algorithm.
    ///
    /// # Errors
    /// Fails if the socket option cannot be set.
    pub(super) fn new(inner: TcpStream, traffic: Arc<PeerTraffic>) -> std::io::Result<Self> {
        inner.set_nodelay(true)?;
        traffic.count_connection();
        Ok(Self {
            inner,
            traffic,
            last_read: Rc::new(Cell::new(Instant::now())),
        })
    }

    /// Returns the time of the last read, which the stream keeps up to date.
    pub(super) fn read_clock(&self) -> ReadClock {
        Rc::clone(&self.last_read)
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.traffic.count_received(bytes);
            self.last_read.set(Instant::now());
        }
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic.count_sent(*written);
        }
        polled
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
