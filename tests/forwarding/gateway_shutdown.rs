//! Tests that a gateway that shuts down ends what it relays with a true result.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use jackdawwick::entry::drain;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

use crate::gateway::{TestGateway, add_blocked, host_with_addresses};
use crate::host::request;
use crate::stub_target::{Step, StubTarget, event, last_chunk, response, stream_head};

/// Grace time of a shutdown that ends before a silent target responds.
const SHORT_GRACE: Duration = Duration::from_millis(1200);
/// Grace time of a shutdown, far longer than requests take here.
const LONG_GRACE: Duration = Duration::from_secs(9);
/// Time for which targets are silent.
const SILENCE: Duration = Duration::from_secs(8);
/// Time after which a request has reached its target.
const SENDING_TIME: Duration = Duration::from_millis(300);
/// Time in which a slow target responds.
const RESPONSE_TIME: Duration = Duration::from_millis(1500);

/// A gateway with its own runtime, which ends when the gateway has shut down, as a process
/// does.
struct ProcessGateway {
    runtime: Runtime,
    gateway: TestGateway,
}

impl ProcessGateway {
    fn open() -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let gateway = {
            let _context = runtime.enter();
            TestGateway::open()
        };
        Self { runtime, gateway }
    }

    fn address(&self) -> SocketAddr {
        self.gateway.handle.address
    }

    /// Shuts down in another thread, which returns the time that it took.
    fn shut_down(self, grace: Duration) -> thread::JoinHandle<Duration> {
        thread::spawn(move || {
            let began = Instant::now();
            let TestGateway { host, handle, .. } = self.gateway;
            let tables = Arc::clone(&host.tables);
            let serving = host.into_serving();
            self.runtime
                .block_on(drain(&tables, serving, Some(handle), grace));
            let took = began.elapsed();
            self.runtime.shutdown_background();
            took
        })
    }
}

/// Sends a request as another host does.
async fn pass(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = request.replacen("\r\n", "\r\nJackdawwick-Gateway-Target: i-1\r\n", 1);
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// Reads until the connection ends; the reset of one that is cut comes after what was sent.
async fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn silent_target() -> StubTarget {
    StubTarget::spawn(|_| vec![Step::Wait(SILENCE)]).await
}

/// Guards against a gateway that ends without a word on a request that it has not sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gateway_states_that_it_did_not_send_a_request() {
    let target = silent_target().await;
    let process = ProcessGateway::open();
    process.gateway.host.add_plain("i-1", target.address);
    let unread = request("POST", "/unsafe/", "Content-Length: 9\r\n");
    let stream = pass(process.address(), &unread).await;
    tokio::time::sleep(SENDING_TIME).await;
    let thread = process.shut_down(SHORT_GRACE);
    let text = read_all(stream).await;
    assert!(text.starts_with("HTTP/1.1 503"), "{text}");
    assert!(
        text.contains("jackdawwick-gateway-result: draining"),
        "{text}"
    );
    let took = thread.join().expect("a shutdown");
    assert!(took < SHORT_GRACE, "{took:?}");
    assert_eq!(target.seen().len(), 0);
}

/// Guards against a gateway that ends under a request that it still reads, as it counts a
/// request only once its target is connected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_counts_a_request_that_it_still_reads() {
    let target = StubTarget::spawn(|seen| vec![response(seen.id(), "200 OK", "fine")]).await;
    let gateway = TestGateway::open();
    gateway.host.add_plain("i-1", target.address);
    let head = request("POST", "/unsafe/", "Content-Length: 4\r\n");
    let mut stream = pass(gateway.handle.address, &head).await;
    tokio::time::sleep(SENDING_TIME).await;
    let in_flight = || gateway.host.tables.in_flight.load(Ordering::Relaxed);
    assert_eq!(in_flight(), 1);
    stream.write_all(b"body").await.expect("sent");
    let text = read_all(stream).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.ends_with("fine\r\n0\r\n\r\n"), "{text}");
    assert_eq!(in_flight(), 0);
}

/// Guards against a request that may have run, whose other host sees a broken connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gateway_states_that_a_silent_target_may_run_a_request() {
    let target = silent_target().await;
    let process = ProcessGateway::open();
    let (host, _) = host_with_addresses(vec![process.address()]);
    add_blocked(&host, &[&process.gateway], "i-1", &target).await;
    let stream = pass(process.address(), &request("POST", "/unsafe/", "")).await;
    let called = async { host.call("POST", "/unsafe/", "").await };
    let stopped = async {
        tokio::time::sleep(SENDING_TIME).await;
        process.shut_down(SHORT_GRACE)
    };
    let (called, thread) = tokio::join!(called, stopped);
    let text = read_all(stream).await;
    assert!(text.starts_with("HTTP/1.1 502"), "{text}");
    assert!(
        text.contains("jackdawwick-gateway-result: stopped"),
        "{text}"
    );
    assert_eq!(called.status(), 502, "{}", called.text);
    assert!(called.text.contains("may_have_run"), "{}", called.text);
    assert_eq!(target.seen().len(), 2);
    let ejected = {
        let fleet = host.tables.fleet.lock();
        fleet.get("i-1").and_then(|state| state.ejected_until)
    };
    assert_eq!(ejected, None);
    let took = thread.join().expect("a shutdown");
    assert!(took < SHORT_GRACE, "{took:?}");
}

/// Guards against a stream that looks complete because its gateway stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopping_gateway_breaks_a_stream_off() {
    let target = StubTarget::spawn(|seen| {
        let pause = Step::Wait(SILENCE);
        vec![stream_head(seen.id()), event(1), pause, last_chunk()]
    })
    .await;
    let process = ProcessGateway::open();
    process.gateway.host.add_plain("i-1", target.address);
    let stream = pass(process.address(), &request("POST", "/stream/", "")).await;
    tokio::time::sleep(SENDING_TIME).await;
    let thread = process.shut_down(SHORT_GRACE);
    let text = read_all(stream).await;
    assert!(text.contains("id: 1\n"), "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "{text}");
    let took = thread.join().expect("a shutdown");
    assert!(took < SHORT_GRACE, "{took:?}");
}

/// Guards against a gateway that ends under the connections of other hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_shuts_down_when_its_connections_have_ended() {
    let target = StubTarget::spawn(|seen| {
        let pause = Step::Wait(RESPONSE_TIME);
        vec![pause, response(seen.id(), "200 OK", "fine")]
    })
    .await;
    let gateway = TestGateway::open();
    gateway.host.add_plain("i-1", target.address);
    let address = gateway.handle.address;
    let stream = pass(address, &request("POST", "/unsafe/", "")).await;
    tokio::time::sleep(SENDING_TIME).await;
    let began = Instant::now();
    gateway.handle.shutdown(began + LONG_GRACE).await;
    let took = began.elapsed();
    assert!(took >= RESPONSE_TIME - SENDING_TIME * 2, "{took:?}");
    assert!(took < LONG_GRACE, "{took:?}");
    assert!(TcpStream::connect(address).await.is_err());
    let text = read_all(stream).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.ends_with("fine\r\n0\r\n\r\n"), "{text}");
}

/// Guards against a shutdown that a silent target holds up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_closes_the_connections_that_are_left_at_its_end() {
    let target = silent_target().await;
    let gateway = TestGateway::open();
    gateway.host.add_plain("i-1", target.address);
    let stream = pass(gateway.handle.address, &request("POST", "/unsafe/", "")).await;
    tokio::time::sleep(SENDING_TIME).await;
    let began = Instant::now();
    gateway.handle.shutdown(began + SHORT_GRACE).await;
    let took = began.elapsed();
    assert!(took >= SHORT_GRACE && took < LONG_GRACE, "{took:?}");
    assert_eq!(read_all(stream).await, "");
}
