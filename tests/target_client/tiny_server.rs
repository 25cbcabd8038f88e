//! A TCP server with a minimal HTTP implementation that fails at a chosen point.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request that arrived completely, so that it may have run.
#[derive(Debug, Clone)]
pub(crate) struct SeenRequest {
    pub(crate) line: String,
    pub(crate) body: Vec<u8>,
}

/// Reaction of the server to a request.
#[derive(Debug, Clone)]
pub(crate) enum TinyReply {
    /// Resets the connection before it reads anything.
    ResetUnread,
    /// Reads the request, then resets the connection.
    ResetRead,
    /// Reads the request, sends a part of a response, then resets the connection.
    ResetMidResponse,
    /// Reads the request and never responds.
    Silence,
    /// Responds and keeps the connection.
    Response(u16, String),
    /// Responds, then closes the connection without announcing it.
    ResponseThenClose(u16, String),
}

pub(crate) struct TinyServer {
    pub(crate) address: SocketAddr,
    pub(crate) seen: Arc<Mutex<Vec<SeenRequest>>>,
}

impl TinyServer {
    /// Starts a server. It calls `reply` with `None` before it reads a request, and if
    /// that returns no reaction, again with the request.
    pub(crate) async fn bind<R>(reply: R) -> Self
    where
        R: Fn(Option<&SeenRequest>) -> Option<TinyReply> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let reply = Arc::new(reply);
        let log = Arc::clone(&seen);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (reply, log) = (Arc::clone(&reply), Arc::clone(&log));
                tokio::spawn(async move { serve(stream, reply.as_ref(), &log).await });
            }
        });
        Self { address, seen }
    }

    /// Waits until a request whose line starts with `prefix` has arrived.
    pub(crate) async fn wait_for(&self, prefix: &str) {
        for _ in 0..1000 {
            let matches_prefix = |request: &SeenRequest| request.line.starts_with(prefix);
            if self.seen.lock().iter().any(matches_prefix) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("no {prefix} arrived");
    }
}

async fn serve<R>(mut stream: TcpStream, reply: &R, seen: &Mutex<Vec<SeenRequest>>)
where
    R: Fn(Option<&SeenRequest>) -> Option<TinyReply>,
{
    loop {
        if reply(None).is_some() {
            return reset(&stream);
        }
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        seen.lock().push(request.clone());
        match reply(Some(&request)).expect("a reply") {
            TinyReply::ResetUnread | TinyReply::ResetRead => return reset(&stream),
            TinyReply::ResetMidResponse => {
                let part = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"label\":";
                let _ = stream.write_all(part.as_bytes()).await;
                return reset(&stream);
            }
            TinyReply::Silence => std::future::pending().await,
            TinyReply::Response(status, body) => respond(&mut stream, status, &body).await,
            TinyReply::ResponseThenClose(status, body) => {
                return respond(&mut stream, status, &body).await;
            }
        }
    }
}

/// Makes the connection reset when the stream is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

async fn respond(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\ncontent-length: {length}\r\n\r\n");
    let _ = stream.write_all((head + body).as_bytes()).await;
}

async fn read_request(stream: &mut TcpStream) -> Option<SeenRequest> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let mut lengths = head
                .lines()
                .filter_map(|line| line.strip_prefix("content-length: "));
            let length = lengths
                .next()
                .map_or(0, |length| length.parse().expect("a length"));
            if body.len() >= length {
                let line = String::from_utf8_lossy(&bytes).lines().next()?.to_owned();
                let body = bytes.split_off(head.len() + 4);
                return Some(SeenRequest { line, body });
            }
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}
