//! A proxy that forwards connections and counts messages and bytes by kind of message.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// Kind of all traffic that is not HTTP.
const PEER_KIND: &str = "peers";

/// Traffic of one kind of message.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WireCount {
    /// Requests; for peers, segments that the connecting side sent.
    pub(super) messages: u64,
    /// Bytes in both directions, without the overhead of TCP.
    pub(super) bytes: u64,
}

/// Counters by kind of message.
pub(super) type WireCounts = Arc<Mutex<BTreeMap<String, WireCount>>>;

/// A counting proxy. Dropping it closes its connections.
#[derive(Debug)]
pub(super) struct CountingProxy {
    /// Address on which the proxy listens.
    pub(super) local_addr: SocketAddr,
    task: JoinHandle<()>,
}

impl CountingProxy {
    /// Starts a proxy to `upstream`.
    pub(super) async fn bind(upstream: SocketAddr, counts: &WireCounts) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let local_addr = listener.local_addr()?;
        let counts = Arc::clone(counts);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((downstream, _)) = listener.accept().await {
                connections.spawn(forward_connection(
                    downstream,
                    upstream,
                    Arc::clone(&counts),
                ));
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Self { local_addr, task })
    }
}

impl Drop for CountingProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_connection(downstream: TcpStream, upstream: SocketAddr, counts: WireCounts) {
    let Ok(upstream) = TcpStream::connect(upstream).await else {
        return;
    };
    // Nagle's algorithm would delay small bodies until the receiver's delayed
    // acknowledgement.
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let kind = Arc::new(Mutex::new(PEER_KIND.to_owned()));
    let (downstream_read, downstream_write) = downstream.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let requests = copy_counted(downstream_read, upstream_write, |segment| {
        let mut kind = kind.lock();
        let named = request_kind(segment);
        let messages = u64::from(named.is_some() || *kind == PEER_KIND);
        if let Some(named) = named {
            *kind = named;
        }
        add(&counts, &kind, messages, segment.len());
    });
    let responses = copy_counted(upstream_read, downstream_write, |segment| {
        add(&counts, &kind.lock(), 0, segment.len());
    });
    // The connection ends when either side closes it.
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

async fn copy_counted<F>(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: F)
where
    F: Fn(&[u8]),
{
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        count(&chunk[..length]);
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}

fn add(counts: &WireCounts, kind: &str, messages: u64, bytes: usize) {
    let mut counts = counts.lock();
    let count = counts.entry(kind.to_owned()).or_default();
    count.messages += messages;
    count.bytes += bytes as u64;
}

/// Returns the kind of an HTTP request, if one begins in this segment.
fn request_kind(segment: &[u8]) -> Option<String> {
    let line = segment.split(|byte| *byte == b'\r').next()?;
    let mut words = std::str::from_utf8(line).ok()?.split(' ');
    let (method, path) = (words.next()?, words.next()?);
    let path = path.split('?').next()?.strip_prefix("/v1/")?;
    let path = path.trim_start_matches("streams/");
    let name = path.split('/').next()?;
    Some(format!("{method} {name}"))
}
