//! Tests that the shutdown of a host cuts no response.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use jackdawwick::entry::drain;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Runtime;

use super::host::{TestHost, request};
use super::stub_target::{Step, StubTarget, event, last_chunk, response, stream_head};

/// Grace time of a shutdown, far longer than requests take here.
const GRACE: Duration = Duration::from_secs(9);
/// Time after which a host without requests has shut down.
const IDLE_SHUTDOWN: Duration = Duration::from_millis(3500);
/// Size of a response that no socket buffers take whole, in bytes.
const LARGE_RESPONSE: usize = 24 << 20;

/// A host with its own runtime, which ends when the host has drained, as a process does.
struct ProcessHost {
    runtime: Runtime,
    host: TestHost,
}

impl ProcessHost {
    fn open() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let host = {
            let _context = runtime.enter();
            TestHost::open()
        };
        Self { runtime, host }
    }

    /// Shuts down in another thread, which returns the time that it took.
    fn shut_down(self) -> thread::JoinHandle<Duration> {
        self.shut_down_within(GRACE)
    }

    fn shut_down_within(self, grace: Duration) -> thread::JoinHandle<Duration> {
        thread::spawn(move || {
            let began = Instant::now();
            let tables = Arc::clone(&self.host.tables);
            let serving = self.host.into_serving();
            self.runtime.block_on(drain(&tables, serving, None, grace));
            let took = began.elapsed();
            self.runtime.shutdown_background();
            took
        })
    }
}

async fn send(stream: &mut TcpStream, request: &str) {
    stream.write_all(request.as_bytes()).await.expect("sent");
}

fn kept(method: &str, path: &str) -> String {
    request(method, path, "").replace("Connection: close\r\n", "")
}

/// Guards against a process that ends before the bytes of a whole response are sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_caller_gets_its_whole_response_from_a_host_that_shuts_down() {
    let target =
        StubTarget::spawn(|seen| vec![response(seen.id(), "200 OK", &"x".repeat(LARGE_RESPONSE))])
            .await;
    let process = ProcessHost::open();
    process.host.add_plain("i-1", target.address);
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(64 << 10)
        .expect("a small buffer");
    let address = process.host.address();
    let mut stream = socket.connect(address).await.expect("a connection");
    let thread = process.shut_down();
    send(&mut stream, &kept("GET", "/safe/")).await;
    let mut received = Vec::new();
    let mut part = vec![0; 512 << 10];
    let head = loop {
        match stream.read(&mut part).await {
            Ok(0) | Err(_) => break String::new(),
            Ok(read) => received.extend_from_slice(&part[..read]),
        }
        if received.len() < LARGE_RESPONSE / 2 {
            // Half of the response takes longer than the shutdown of an idle host.
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        if received.len() >= LARGE_RESPONSE {
            let end = received.windows(4).position(|four| four == b"\r\n\r\n");
            let end = end.expect("a head") + 4;
            if received.len() == end + LARGE_RESPONSE {
                break String::from_utf8_lossy(&received[..end]).into_owned();
            }
        }
    };
    assert!(head.starts_with("HTTP/1.1 200"), "{} bytes", received.len());
    assert!(head.contains("connection: close"));
    let took = thread.join().expect("a shutdown");
    assert!(took > IDLE_SHUTDOWN && took < GRACE, "{took:?}");
}

/// Guards against idle connections that hold up a shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_are_closed_and_streams_run_on() {
    let engine = StubTarget::spawn(|seen| {
        let pause = Step::Wait(Duration::from_millis(160));
        let mut steps = vec![stream_head(seen.id())];
        steps.extend((1..=15).flat_map(|id| [event(id), pause.clone()]));
        steps.push(last_chunk());
        steps
    })
    .await;
    let process = ProcessHost::open();
    process.host.add_engine("i-1", engine.address, 0, 80);
    let mut idle = process.host.connect().await;
    send(&mut idle, &kept("GET", "/other/")).await;
    let mut head = [0; 12];
    idle.read_exact(&mut head).await.expect("a head");
    assert_eq!(&head, b"HTTP/1.1 404");
    let unused = process.host.connect().await;
    let mut stream = process.host.connect().await;
    let thread = process.shut_down();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    send(&mut stream, &request("GET", "/stream/", "")).await;
    let mut events = String::new();
    stream.read_to_string(&mut events).await.expect("a stream");
    assert!(
        events.contains("id: 15\n") && events.ends_with("0\r\n\r\n"),
        "{events}"
    );
    for mut closed in [idle, unused] {
        let mut rest = Vec::new();
        closed.read_to_end(&mut rest).await.expect("an end");
    }
    let took = thread.join().expect("a shutdown");
    assert!(took < Duration::from_secs(6), "{took:?}");

    let process = ProcessHost::open();
    let _unused = process.host.connect().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let took = process.shut_down().join().expect("a shutdown");
    assert!(took < IDLE_SHUTDOWN, "{took:?}");
}

/// Guards against requests on silent targets that a stopping host leaves without a response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_on_silent_targets_get_a_final_response_at_the_end_of_the_grace_time() {
    let silent = StubTarget::spawn(|_| vec![Step::Wait(Duration::from_secs(8))]).await;
    let engine = StubTarget::spawn(|seen| {
        let pause = Step::Wait(Duration::from_secs(8));
        vec![stream_head(seen.id()), event(1), pause, last_chunk()]
    })
    .await;
    let process = ProcessHost::open();
    process.host.add_plain("i-1", silent.address);
    process.host.add_engine("i-2", engine.address, 0, 80);
    let mut callers = Vec::new();
    for (method, path) in [("POST", "/unsafe/"), ("GET", "/safe/"), ("GET", "/fixed/")] {
        let mut stream = process.host.connect().await;
        send(&mut stream, &request(method, path, "")).await;
        callers.push((path, stream));
    }
    let mut unread = process.host.connect().await;
    send(
        &mut unread,
        &request("POST", "/unsafe/", "Content-Length: 9\r\n"),
    )
    .await;
    callers.push(("body", unread));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let thread = process.shut_down_within(Duration::from_millis(1200));
    for (path, mut stream) in callers {
        let mut text = String::new();
        // The reset of a cut stream comes after what was sent.
        let _ = stream.read_to_string(&mut text).await;
        match path {
            "/fixed/" => assert!(
                text.contains("id: 1\n") && !text.ends_with("0\r\n\r\n"),
                "{text}"
            ),
            "body" => assert!(text.starts_with("HTTP/1.1 503"), "{text}"),
            _ => assert!(text.starts_with("HTTP/1.1 504"), "{path}: {text}"),
        }
    }
    let took = thread.join().expect("a shutdown");
    assert!(took < Duration::from_millis(1200), "{took:?}");
}
