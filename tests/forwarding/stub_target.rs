//! A target that sends exactly the bytes that a test specifies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request as the target read it.
#[derive(Debug, Clone)]
pub(crate) struct SeenRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl SeenRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1);
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let mut values = pairs.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }

    pub(crate) fn id(&self) -> &str {
        self.header("x-jackdawwick-attempt-id").unwrap_or_default()
    }
}

/// The next action of the target on a connection.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Write(String),
    Wait(Duration),
    /// Closes with unread data pending, so that the other side sees a reset.
    Reset,
    /// Stays open and sends nothing more; ends when the other side closes.
    Hold,
}

/// Creates a complete response that is marked as the target's own.
pub(crate) fn response(id: &str, status: &str, body: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {status}\r\nx-jackdawwick-attempt-id: {id}\r\nx-jackdawwick-server-seal: s\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Creates the head of a stream of events in chunks.
pub(crate) fn stream_head(id: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: {id}\r\nx-jackdawwick-server-seal: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}

/// Adds a header line to a step that writes a head.
pub(crate) fn with_header(step: Step, line: &str) -> Step {
    match step {
        Step::Write(text) => Step::Write(text.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)),
        step => step,
    }
}

pub(crate) fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

pub(crate) fn event(id: u32) -> Step {
    chunk(&format!("id: {id}\ndata: t{id}\n\n"))
}

pub(crate) fn last_chunk() -> Step {
    Step::Write("0\r\n\r\n".to_owned())
}

pub(crate) struct StubTarget {
    pub(crate) address: SocketAddr,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    closed: Arc<Mutex<usize>>,
}

impl StubTarget {
    /// Responds to each request with the steps that `script` returns.
    pub(crate) async fn spawn<F>(script: F) -> Self
    where
        F: Fn(&SeenRequest) -> Vec<Step> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let closed = Arc::new(Mutex::new(0));
        let script = Arc::new(script);
        let kept = seen.clone();
        let counted = closed.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, seen, closed) = (script.clone(), kept.clone(), counted.clone());
                tokio::spawn(async move {
                    serve(stream, &*script, &seen, &closed).await;
                });
            }
        });
        Self {
            address,
            seen,
            closed,
        }
    }

    pub(crate) fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().clone()
    }

    /// Returns the number of connections that the other side closed while they were held.
    pub(crate) fn closed(&self) -> usize {
        *self.closed.lock()
    }
}

/// Responds to the one request of a connection, with steps that depend on its id.
pub(crate) async fn serve_once<F>(stream: TcpStream, steps: F)
where
    F: Fn(&str) -> Vec<Step>,
{
    let script = |seen: &SeenRequest| steps(seen.id());
    serve(stream, &script, &Mutex::default(), &Mutex::default()).await;
}

async fn serve<F>(
    mut stream: TcpStream,
    script: &F,
    seen: &Mutex<Vec<SeenRequest>>,
    closed: &Mutex<usize>,
) where
    F: Fn(&SeenRequest) -> Vec<Step>,
{
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    let steps = script(&request);
    seen.lock().push(request);
    for step in steps {
        match step {
            Step::Write(text) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Step::Wait(time) => tokio::time::sleep(time).await,
            Step::Reset => {
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("linger");
                return;
            }
            Step::Hold => {
                let mut rest = [0; 64];
                let _ = stream.read(&mut rest).await;
                *closed.lock() += 1;
                return;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<SeenRequest> {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    let end = loop {
        let read = stream.read(&mut part).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..read]);
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut request = SeenRequest {
        head,
        body: bytes[end..].to_vec(),
    };
    let length = request
        .header("content-length")
        .and_then(|length| length.parse().ok());
    while request.body.len() < length.unwrap_or(0) {
        let read = stream.read(&mut part).await.ok()?;
        if read == 0 {
            return None;
        }
        request.body.extend_from_slice(&part[..read]);
    }
    Some(request)
}
