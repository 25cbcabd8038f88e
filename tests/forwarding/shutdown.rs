//! Tests that the shutdown of a host cuts no response.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use jackdawwick::entry::drain;
use jackdawwick::ingress::{CallerLimits, IngressConfiguration};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Runtime;

use super::host::{TestHost, request};
use super::overload::open_overloaded;
use super::stub_target::{Step, StubTarget, event, last_chunk, response, stream_head};
use super::{healthy_target, not_executed};

/// Grace time of a shutdown, far longer than requests take here.
const GRACE: Duration = Duration::from_secs(9);
/// Time after which a host without requests has shut down.
const IDLE_SHUTDOWN: Duration = Duration::from_millis(3500);
/// Size of a response that no socket buffers take whole, in bytes.
const LARGE_RESPONSE: usize = 24 << 20;

/// Grace time that ends within the balancer's time.
const SHORT_GRACE: Duration = Duration::from_millis(1200);
/// Grace time that outlasts the balancer's time.
const MEDIUM_GRACE: Duration = Duration::from_millis(4500);
/// Time after the signal at which the balancer sends no more.
const LATE: Duration = Duration::from_millis(2700);
/// Size of a body that no socket buffers take whole, in bytes.
const LARGE_BODY: usize = 12 << 20;
/// Time that requests may take, far longer than a shutdown.
const LONG_LIMIT: Duration = Duration::from_secs(60);

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

    /// Opens a host whose requests may be large and last long.
    fn open_patient() -> Self {
        let process = Self::open();
        let configuration = process.host.tables.configuration.load_full();
        let mut configuration = IngressConfiguration::clone(&configuration.expect("known"));
        configuration.limits.body_bytes = 2 * LARGE_BODY;
        for rule in configuration.routes.values_mut().flatten() {
            let rule = Arc::make_mut(rule);
            rule.timeout = LONG_LIMIT;
            rule.latency_aim = LONG_LIMIT;
        }
        let tables = &process.host.tables;
        tables.configuration.store(Some(Arc::new(configuration)));
        process
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

/// Returns a request that may take as long as its route allows.
fn patient(method: &str, path: &str, extra: &str) -> String {
    let text = request(method, path, extra);
    let deadline = LONG_LIMIT.as_millis().to_string();
    text.replace("-Ms: 4000", &format!("-Ms: {deadline}"))
}

fn large_head() -> String {
    patient(
        "POST",
        "/unsafe/",
        &format!("Content-Length: {LARGE_BODY}\r\n"),
    )
}

async fn read_to_end(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset may come after what was sent.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

fn assert_whole_refusal(text: &str) {
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains("connection: close"), "{text}");
    assert!(head.contains("retry-after: "), "{text}");
    assert!(
        head.contains(&format!("content-length: {}", body.len())),
        "{text}"
    );
    assert!(body.contains("\"verdict\":\"not_run\""), "{text}");
    assert!(body.contains("\"reason\":\"draining\""), "{text}");
}

/// Guards against a refusal that a reset destroys while the caller still sends its body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_body_at_a_stopping_host_gets_a_whole_refusal() {
    let silent = StubTarget::spawn(|_| vec![Step::Wait(Duration::from_secs(8))]).await;
    let process = ProcessHost::open_patient();
    process.host.add_plain("i-1", silent.address);
    let mut held = process.host.connect().await;
    send(&mut held, &patient("POST", "/unsafe/", "")).await;
    let mut stream = process.host.connect().await;
    let thread = process.shut_down_within(MEDIUM_GRACE);
    tokio::time::sleep(LATE).await;
    send(&mut stream, &large_head()).await;
    for piece in vec![b'x'; LARGE_BODY].chunks(LARGE_BODY / 24) {
        tokio::time::sleep(Duration::from_millis(10)).await;
        stream.write_all(piece).await.expect("a piece is read");
    }
    assert_whole_refusal(&read_to_end(stream).await);
    assert!(read_to_end(held).await.starts_with("HTTP/1.1 504"));
    let took = thread.join().expect("a shutdown");
    assert!(took < MEDIUM_GRACE, "{took:?}");
    assert_eq!(silent.seen().len(), 1);
}

/// Guards against a final response that a reset destroys while the body is on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_on_its_way_when_final_responses_are_due_gets_a_whole_one() {
    let target = healthy_target().await;
    let process = ProcessHost::open_patient();
    process.host.add_plain("i-1", target.address);
    let mut stream = process.host.connect().await;
    let body = vec![b'x'; 256 << 10];
    let length = format!("Content-Length: {}\r\n", body.len());
    send(&mut stream, &patient("POST", "/unsafe/", &length)).await;
    let (first, rest) = body.split_at(4096);
    stream.write_all(first).await.expect("sent");
    let thread = process.shut_down_within(SHORT_GRACE);
    let peeked = stream.peek(&mut [0; 1]).await;
    assert_eq!(peeked.expect("a response"), 1);
    for piece in rest.chunks(rest.len() / 8) {
        stream.write_all(piece).await.expect("a piece is read");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_whole_refusal(&read_to_end(stream).await);
    let took = thread.join().expect("a shutdown");
    assert!(took < SHORT_GRACE, "{took:?}");
    assert!(target.seen().is_empty());
}

/// Guards against a body of an overloaded host's caller that a shutdown cuts.
#[tokio::test]
async fn a_body_at_an_overloaded_host_gets_a_final_response_at_a_shutdown() {
    let target = healthy_target().await;
    let (host, _guards) = open_overloaded(&target);
    // The host cannot accept the connection before the test awaits.
    let mut stream = std::net::TcpStream::connect(host.address()).expect("a connection");
    let text = request("POST", "/unsafe/", "Content-Length: 9\r\n");
    stream.write_all(text.as_bytes()).expect("sent");
    stream.set_nonblocking(true).expect("a mode");
    let stream = TcpStream::from_std(stream).expect("a stream");
    let tables = host.tables.clone();
    let stopped = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(tables.in_flight.load(Ordering::Relaxed), 1);
        drain(&tables, host.into_serving(), None, SHORT_GRACE).await;
    };
    let (text, ()) = tokio::join!(read_to_end(stream), stopped);
    assert_whole_refusal(&text);
    assert!(target.seen().is_empty());
}

/// Guards against a request that is first sent when no response can be awaited any more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_is_not_sent_just_before_the_final_responses() {
    let silent = StubTarget::spawn(|_| vec![Step::Wait(Duration::from_secs(8))]).await;
    let process = ProcessHost::open_patient();
    process.host.add_plain("i-1", silent.address);
    let mut stream = process.host.connect().await;
    let tables = process.host.tables.clone();
    let began = Instant::now();
    let thread = process.shut_down_within(MEDIUM_GRACE);
    // The pause ends 0.3 s before the final responses.
    let until = began + MEDIUM_GRACE - Duration::from_millis(700);
    tables.fleet.lock().observe_pause("i-1", until);
    send(&mut stream, &patient("POST", "/unsafe/", "")).await;
    assert_whole_refusal(&read_to_end(stream).await);
    thread.join().expect("a shutdown");
    assert!(silent.seen().is_empty());
}

/// Guards against a 504 for a request whose target stated that it did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_its_target_did_not_run_is_refused_as_not_run() {
    let refusing = StubTarget::spawn(|_| vec![not_executed()]).await;
    let other = healthy_target().await;
    let process = ProcessHost::open_patient();
    process.host.add_plain("i-1", refusing.address);
    process.host.add_plain("i-2", other.address);
    let until = Instant::now() + LONG_LIMIT / 4;
    let tables = process.host.tables.clone();
    tables.fleet.lock().observe_pause("i-2", until);
    let mut stream = process.host.connect().await;
    send(&mut stream, &patient("POST", "/unsafe/", "")).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let thread = process.shut_down_within(SHORT_GRACE);
    assert_whole_refusal(&read_to_end(stream).await);
    thread.join().expect("a shutdown");
    assert_eq!((refusing.seen().len(), other.seen().len()), (1, 0));
}

/// Guards against "not run" for a request that one target refused and another may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_one_of_its_targets_may_have_run_is_not_refused_as_not_run() {
    let refusing = StubTarget::spawn(|_| vec![not_executed()]).await;
    let silent = StubTarget::spawn(|_| vec![Step::Wait(Duration::from_secs(8))]).await;
    let process = ProcessHost::open_patient();
    process.host.add_plain("i-1", refusing.address);
    process.host.add_plain("i-2", silent.address);
    let mut stream = process.host.connect().await;
    send(&mut stream, &patient("POST", "/unsafe/", "")).await;
    while silent.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let thread = process.shut_down_within(SHORT_GRACE);
    let text = read_to_end(stream).await;
    assert!(text.starts_with("HTTP/1.1 504"), "{text}");
    assert!(text.contains("\"verdict\":\"may_have_run\""), "{text}");
    thread.join().expect("a shutdown");
}

/// Guards against a refusal without a configuration that a reset destroys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_host_without_a_configuration_refuses_whole() {
    let process = ProcessHost::open();
    process.host.tables.configuration.store(None);
    let mut stream = process.host.connect().await;
    let thread = process.shut_down_within(SHORT_GRACE);
    let body = vec![b'x'; CallerLimits::default().body_bytes];
    let length = format!("Content-Length: {}\r\n", body.len());
    send(&mut stream, &request("POST", "/unsafe/", &length)).await;
    for piece in body.chunks(body.len() / 16) {
        tokio::time::sleep(Duration::from_millis(10)).await;
        stream.write_all(piece).await.expect("a piece is read");
    }
    let text = read_to_end(stream).await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(text.contains("\"verdict\":\"not_run\""), "{text}");
    thread.join().expect("a shutdown");
}
