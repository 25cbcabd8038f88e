//! Tests requests that pass another host on their way to a target.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jackdawwick::drain::DrainWindow;
use jackdawwick::forward::{GatewayHandle, GatewayPeers, fetch_report, serve_gateway};
use jackdawwick::gateway::GatewayCandidate;
use jackdawwick::ids::TargetId;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::early_end::closed_socket;
use crate::host::TestHost;
use crate::stub_target::{
    SeenRequest, Step, StubTarget, chunk, event, last_chunk, response, stream_head,
};

const LOCALHOST: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

/// A report of an engine that stalls no request.
pub(crate) const REPORT_BODY: &str =
    r#"{"models":[],"busy":false,"sequence":1,"queue_depth":0,"running":1}"#;

/// A host that reaches the targets, and serves others as a gateway.
pub(crate) struct TestGateway {
    pub(crate) host: TestHost,
    pub(crate) handle: GatewayHandle,
    /// Whether it knows the host that sends to it.
    knows: Arc<AtomicBool>,
}

impl TestGateway {
    pub(crate) fn open() -> Self {
        let host = TestHost::open();
        let knows = Arc::new(AtomicBool::new(true));
        let known = knows.clone();
        let is_member = Arc::new(move |_| known.load(Ordering::Relaxed));
        let address = SocketAddr::new(LOCALHOST, 0);
        let handle = serve_gateway(host.tables.clone(), address, is_member).expect("a port");
        Self {
            host,
            handle,
            knows,
        }
    }
}

/// Returns what a gateway states in place of a target's response.
pub(crate) fn stated(result: &str) -> Step {
    let status = match result {
        "reachable" => "204 No Content",
        _ => "503 Service Unavailable",
    };
    Step::Write(format!(
        "HTTP/1.1 {status}\r\njackdawwick-gateway-result: {result}\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// Opens a gateway that says of every target that it reaches it, and responds to requests
/// with these steps.
async fn misjudging_gateway<F>(steps: F) -> StubTarget
where
    F: Fn() -> Vec<Step> + Send + Sync + 'static,
{
    StubTarget::spawn(move |seen| match is_probe(seen) {
        true => vec![stated("reachable")],
        false => steps(),
    })
    .await
}

pub(crate) fn is_probe(seen: &SeenRequest) -> bool {
    seen.header("jackdawwick-gateway-probe").is_some()
}

/// Returns an address at which connections are refused while the tests run.
pub(crate) fn closed_address() -> SocketAddr {
    let socket = closed_socket();
    let address = socket.local_addr().expect("an address");
    // The port stays bound, so that no other test listens on it.
    std::mem::forget(socket);
    address
}

/// Opens a host that uses these gateways, and returns it with the number of times that it
/// introduced itself to one.
pub(crate) fn host_with(gateways: &[&TestGateway]) -> (TestHost, Arc<AtomicUsize>) {
    let addresses = gateways.iter().map(|gateway| gateway.handle.address);
    host_with_addresses(addresses.collect())
}

pub(crate) fn host_with_addresses(addresses: Vec<SocketAddr>) -> (TestHost, Arc<AtomicUsize>) {
    let host = TestHost::open();
    let introductions = Arc::new(AtomicUsize::new(0));
    let counted = introductions.clone();
    let candidate = |(index, address): (usize, SocketAddr)| GatewayCandidate {
        host: format!("gateway-{index}").as_str().into(),
        // The first one is preferred.
        zone: if index == 0 { "z" } else { "other" }.into(),
        address,
    };
    let candidates = addresses.into_iter().enumerate().map(candidate);
    let candidates = candidates.collect::<Vec<_>>();
    host.tables.set_gateway_peers(GatewayPeers {
        source: LOCALHOST,
        candidates: Arc::new(move |_| candidates.clone()),
        introduce: Arc::new(move |_| {
            counted.fetch_add(1, Ordering::Relaxed);
        }),
    });
    (host, introductions)
}

/// Adds a plain target that only the gateways reach.
pub(crate) async fn add_blocked(
    host: &TestHost,
    gateways: &[&TestGateway],
    id: &str,
    target: &StubTarget,
) {
    host.add_plain(id, closed_address());
    for gateway in gateways {
        gateway.host.add_plain(id, target.address);
    }
}

async fn healthy_target() -> StubTarget {
    StubTarget::spawn(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

/// Guards against a host without links that refuses what another host can serve.
#[tokio::test]
async fn a_request_reaches_a_target_through_another_host_as_it_would_directly() {
    let target = healthy_target().await;
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    add_blocked(&host, &[&gateway], "i-1", &target).await;
    let served = host.call("GET", "/unsafe/a?b=c", "X-Own: kept\r\n").await;
    assert_eq!(served.status(), 200, "{}", served.text);
    assert!(served.text.ends_with("fine"));
    let seen = target.seen();
    assert_eq!(seen.len(), 1);
    assert!(seen[0].head.starts_with("GET /unsafe/a?b=c HTTP/1.1"));
    assert_eq!(seen[0].id(), "r1");
    assert_eq!(seen[0].header("x-own"), Some("kept"));
    assert_eq!(seen[0].header("x-jackdawwick-tenant"), Some("org"));
    assert_eq!(seen[0].header("x-jackdawwick-target-instance"), Some("i-1"));
    assert!(!seen[0].head.contains("gateway"), "{}", seen[0].head);
    let left = seen[0].header("x-jackdawwick-deadline-ms");
    let left = left.and_then(|left| left.parse::<u64>().ok());
    assert!(left.is_some_and(|left| left <= 3000));
}

/// Guards against events that are held back, lost or joined on the way through a gateway.
#[tokio::test]
async fn a_stream_passes_a_gateway_event_by_event_and_is_resumed_when_its_target_breaks() {
    let stream = |seen: &SeenRequest| {
        let id = seen.id();
        match seen.header("last-event-id") {
            None => vec![
                stream_head(id),
                event(1),
                event(2),
                chunk("id: 3\nda"),
                Step::Reset,
            ],
            Some(_) => vec![stream_head(id), event(3), event(4), last_chunk()],
        }
    };
    let (one, two) = (
        StubTarget::spawn(stream).await,
        StubTarget::spawn(stream).await,
    );
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    for (id, target) in [("i-1", &one), ("i-2", &two)] {
        host.add_engine(id, closed_address(), 0, 80);
        gateway.host.add_engine(id, target.address, 0, 80);
    }
    let served = host.call("POST", "/stream/a", "").await;
    assert_eq!(served.event_ids(), [1, 2, 3, 4], "{}", served.text);
    assert!(served.is_whole_stream());
    let resumed = [one, two]
        .iter()
        .map(|target| target.seen())
        .collect::<Vec<_>>()
        .concat();
    let resumed = resumed
        .iter()
        .filter_map(|seen| seen.header("last-event-id"));
    assert_eq!(resumed.collect::<Vec<_>>(), ["2"]);
}

/// Guards against a response that is cut off and looks complete after a gateway.
#[tokio::test]
async fn a_response_that_breaks_before_its_end_is_not_passed_on_as_complete() {
    let head = "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: r1\r\n\
                x-jackdawwick-server-seal: s\r\n\r\nhalf";
    let target = StubTarget::spawn(move |_| {
        vec![
            Step::Write(head.to_owned()),
            Step::Wait(Duration::from_millis(50)),
            Step::Reset,
        ]
    });
    let target = target.await;
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    add_blocked(&host, &[&gateway], "i-1", &target).await;
    let cut = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(cut.status(), 502, "{}", cut.text);
    assert_eq!(target.seen().len(), 1);
}

/// Guards against requests that a host takes though it cannot pass them on.
#[tokio::test]
async fn a_host_that_cannot_help_says_so_and_the_next_one_is_used() {
    let target = healthy_target().await;
    for reason in [
        "unknown_host",
        "isolated",
        "draining",
        "not_ready",
        "unknown_target",
    ] {
        let (first, second) = (TestGateway::open(), TestGateway::open());
        let (host, introductions) = host_with(&[&first, &second]);
        add_blocked(&host, &[&first, &second], "i-1", &target).await;
        match reason {
            "unknown_host" => first.knows.store(false, Ordering::Relaxed),
            "isolated" => {
                first.host.tables.fleet.lock().remove("i-1");
                for id in ["i-1", "i-2", "i-3"] {
                    first.host.add_plain(id, closed_address());
                }
                first.host.call("GET", "/unsafe/own", "").await;
            }
            "draining" => {
                let window = DrainWindow::open(Instant::now(), Duration::from_secs(8));
                first.host.tables.begin_drain(window);
            }
            "not_ready" => first.host.tables.configuration.store(None),
            _ => drop(first.host.tables.fleet.lock().remove("i-1")),
        }
        let served = host.call("GET", "/unsafe/a", "").await;
        assert_eq!(served.status(), 200, "{reason}: {}", served.text);
        let metrics = host.tables.metrics.encode();
        let refused = format!("jackdawwick_gateway_uses_total{{cause=\"{reason}\"}} 1");
        assert!(metrics.contains(&refused), "{reason}: {metrics}");
        let introduced = introductions.load(Ordering::Relaxed);
        assert_eq!(introduced, usize::from(reason == "unknown_host"));
    }
    assert_eq!(target.seen().len(), 5);
}

/// Guards against a second run of a request whose gateway ends before it responds.
#[tokio::test]
async fn an_unsafe_request_whose_gateway_breaks_is_sent_nowhere_else() {
    let target = healthy_target().await;
    let sound = TestGateway::open();
    let broken = misjudging_gateway(|| vec![Step::Reset]).await;
    let (host, _) = host_with_addresses(vec![broken.address, sound.handle.address]);
    add_blocked(&host, &[&sound], "i-1", &target).await;
    let unsafe_call = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(unsafe_call.status(), 502, "{}", unsafe_call.text);
    let received = broken.seen().iter().filter(|seen| !is_probe(seen)).count();
    assert_eq!((received, target.seen().len()), (1, 0));
}

/// Guards against a target that is given more time than is left after a gateway was slow.
#[tokio::test]
async fn the_time_that_a_gateway_takes_to_refuse_is_taken_off_the_deadline() {
    const DELAY: Duration = Duration::from_millis(900);
    let target = healthy_target().await;
    let sound = TestGateway::open();
    let slow = misjudging_gateway(|| vec![Step::Wait(DELAY), stated("isolated")]).await;
    let (host, _) = host_with_addresses(vec![slow.address, sound.handle.address]);
    add_blocked(&host, &[&sound], "i-1", &target).await;
    let served = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(served.status(), 200, "{}", served.text);
    let seen = target.seen();
    let left = seen[0].header("x-jackdawwick-deadline-ms");
    let left = left.and_then(|left| left.parse::<u64>().ok());
    assert!(left.is_some_and(|left| left <= 3000 - 900), "{left:?}");
}

/// Guards against a sound engine that counts as silent because one gateway was cut off.
#[tokio::test]
async fn a_report_that_one_gateway_does_not_pass_on_is_requested_through_the_next() {
    let target = StubTarget::spawn(|_| vec![crate::json(REPORT_BODY)]).await;
    let sound = TestGateway::open();
    let cut_off = misjudging_gateway(|| vec![stated("isolated")]).await;
    let (host, _) = host_with_addresses(vec![cut_off.address, sound.handle.address]);
    let (id, closed) = (TargetId::from("i-1"), closed_address());
    host.add_engine(&id, closed, 0, 80);
    sound.host.add_engine(&id, target.address, 0, 80);
    let was_asked = || cut_off.seen().iter().any(|seen| !is_probe(seen));
    let until = Instant::now() + Duration::from_secs(5);
    let report = loop {
        let report = fetch_report(&host.tables, &id, closed, Instant::now()).await;
        if was_asked() {
            break report;
        }
        assert!(Instant::now() < until, "no gateway is used");
        // A result is shared for 150 ms; meanwhile the gateways are asked about the target.
        tokio::time::sleep(Duration::from_millis(200)).await;
    };
    assert!(report.is_ok());
}

/// Guards against requests that wait for frozen hosts when a target is down.
#[tokio::test]
async fn a_request_at_a_target_that_is_down_does_not_wait_for_other_hosts() {
    let target = healthy_target().await;
    let mut gateways = Vec::new();
    for _ in 0..4 {
        gateways.push(StubTarget::spawn(|_| vec![Step::Hold]).await);
    }
    let addresses = gateways.iter().map(|gateway| gateway.address);
    let (host, _) = host_with_addresses(addresses.collect());
    host.add_plain("i-1", closed_address());
    host.add_plain("i-2", target.address);
    for _ in 0..8 {
        let call = host.call("GET", "/unsafe/a", "");
        let served = tokio::time::timeout(Duration::from_millis(300), call).await;
        assert_eq!(served.expect("the request does not wait").status(), 200);
        host.tables.fleet.lock().readmit("i-1");
    }
}

/// Guards against requests that pass from one host to the next.
#[tokio::test]
async fn a_gateway_uses_no_gateway_itself() {
    let target = healthy_target().await;
    let (first, second) = (TestGateway::open(), TestGateway::open());
    let address = second.handle.address;
    first.host.tables.set_gateway_peers(GatewayPeers {
        source: LOCALHOST,
        candidates: Arc::new(move |_| {
            vec![GatewayCandidate {
                host: "second".into(),
                zone: "z".into(),
                address,
            }]
        }),
        introduce: Arc::new(|_| {}),
    });
    let (host, _) = host_with(&[&first]);
    host.add_plain("i-1", closed_address());
    first.host.add_plain("i-1", closed_address());
    second.host.add_plain("i-1", target.address);
    // The gateway itself serves its callers through the second one.
    assert_eq!(first.host.call("GET", "/unsafe/a", "").await.status(), 200);
    let refused = host.call("GET", "/unsafe/b", "").await;
    assert_eq!(refused.status(), 503, "{}", refused.text);
    assert_eq!(target.seen().len(), 1);
}

/// Guards against a host without help that says of a request that it may have run.
#[tokio::test]
async fn a_request_that_no_host_can_pass_on_is_refused_as_not_run() {
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    for id in ["i-1", "i-2", "i-3"] {
        host.add_plain(id, closed_address());
        gateway.host.add_plain(id, closed_address());
    }
    let refused = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(refused.status(), 503, "{}", refused.text);
    assert!(refused.header("retry-after").is_some());
}

/// Guards against requests that are declared poison because a host lost its own links.
#[tokio::test]
async fn a_target_that_others_reach_has_not_ended_under_a_request() {
    let breaks = |seen: &SeenRequest| match seen.header("last-event-id") {
        None => vec![stream_head(seen.id()), event(1), Step::Reset],
        Some(_) => vec![stream_head(seen.id()), event(2), last_chunk()],
    };
    let target = StubTarget::spawn(breaks).await;
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    for (id, closes) in [("i-1", true), ("i-2", false)] {
        let address = match closes {
            true => break_after_one_connection(target.address).await,
            false => closed_address(),
        };
        host.add_engine(id, address, 0, 80);
        gateway.host.add_engine(id, target.address, 0, 80);
    }
    let served = host.call("POST", "/stream/a", "").await;
    assert_eq!(served.event_ids(), [1, 2], "{}", served.text);
    let metrics = host.tables.metrics.encode();
    assert!(!metrics.contains("ends_under_requests_total{"), "{metrics}");
}

/// Returns an address that leads to a target for one connection and is closed afterwards.
async fn break_after_one_connection(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let Ok((mut host, _)) = listener.accept().await else {
            return;
        };
        drop(listener);
        let mut target = TcpStream::connect(target).await.expect("the target");
        let _ = tokio::io::copy_bidirectional(&mut host, &mut target).await;
        let socket = socket2::SockRef::from(&host);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    });
    address
}

/// Guards against a stream that is cut because its link fell silent, although its target is
/// sound, reached by others and the only one.
#[tokio::test]
async fn a_silent_stream_over_a_lost_link_continues_at_the_same_target() {
    let target = stream_with_a_silent_connection().await;
    let link = break_after_one_connection(target.address).await;
    check_stream_continues(&target, link).await;
}

/// Guards against the same where new connections are not refused but hang.
#[tokio::test]
async fn a_stream_whose_link_drops_packets_continues_at_the_same_target() {
    let target = stream_with_a_silent_connection().await;
    let link = drop_packets_after_one_connection(target.address).await;
    check_stream_continues(&target, link).await;
}

/// Spawns an engine whose stream falls silent after one event on its first connection.
async fn stream_with_a_silent_connection() -> StubTarget {
    StubTarget::spawn(|seen| {
        let id = seen.id();
        match seen.header("last-event-id") {
            _ if seen.head.starts_with(crate::REPORT) => vec![crate::json(REPORT_BODY)],
            None => vec![stream_head(id), event(1), Step::Hold],
            Some(_) => vec![stream_head(id), event(2), last_chunk()],
        }
    })
    .await
}

/// Checks that a stream at a host that reaches its only engine at `link` continues there
/// through a gateway.
async fn check_stream_continues(target: &StubTarget, link: SocketAddr) {
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    host.add_engine("i-1", link, 0, 80);
    gateway.host.add_engine("i-1", target.address, 0, 80);
    let served = host.call("POST", "/stream/a", "").await;
    assert_eq!(served.event_ids(), [1, 2], "{}", served.text);
    assert!(served.is_whole_stream());
}

/// Returns an address that leads to a target for one connection, and at which no further
/// one is established.
async fn drop_packets_after_one_connection(target: SocketAddr) -> SocketAddr {
    const RETURN_CONSTANT: u16 = 0x06;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let Ok((mut host, _)) = listener.accept().await else {
            return;
        };
        let socket = socket2::SockRef::from(&listener);
        let drop_all = socket2::SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
        socket.attach_filter(&[drop_all]).expect("a filter");
        let mut target = TcpStream::connect(target).await.expect("the target");
        let _ = tokio::io::copy_bidirectional(&mut host, &mut target).await;
    });
    address
}

/// Guards against a stream that is given up for silence though it may not be sent again.
#[tokio::test]
async fn a_stream_that_may_not_be_resumed_waits_on_its_link() {
    let target = StubTarget::spawn(|seen| {
        let id = seen.id();
        match seen.head.starts_with(crate::REPORT) {
            true => vec![crate::json(REPORT_BODY)],
            false => vec![
                Step::Wait(Duration::from_millis(1200)),
                stream_head(id),
                event(1),
                last_chunk(),
            ],
        }
    });
    let target = target.await;
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    let link = break_after_one_connection(target.address).await;
    host.add_engine("i-1", link, 0, 80);
    gateway.host.add_engine("i-1", target.address, 0, 80);
    let served = host.call("POST", "/fixed/a", "").await;
    assert_eq!(served.event_ids(), [1], "{}", served.text);
    assert!(served.is_whole_stream());
}

/// Guards against a target that counts as closed because a gateway has lost its links.
#[tokio::test]
async fn a_gateway_that_reaches_no_other_target_reports_itself_isolated() {
    let gateway = TestGateway::open();
    for id in ["i-1", "i-2"] {
        gateway.host.add_plain(id, closed_address());
    }
    let probe = "GET / HTTP/1.1\r\njackdawwick-gateway-target: i-1\r\n\
                 jackdawwick-gateway-probe: 1\r\n\r\n";
    let cut_off = send_raw(&gateway, probe.as_bytes()).await;
    assert!(cut_off.contains("isolated"), "{cut_off}");
    let target = healthy_target().await;
    let sound = TestGateway::open();
    sound.host.add_plain("i-1", closed_address());
    sound.host.add_plain("i-2", target.address);
    let refused = send_raw(&sound, probe.as_bytes()).await;
    assert!(refused.contains("result: refused"), "{refused}");
}

/// Guards against engines that work on after the caller has left.
#[tokio::test]
async fn a_caller_that_leaves_closes_the_connection_at_the_target() {
    let target = StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), Step::Hold]).await;
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    host.add_engine("i-1", closed_address(), 0, 80);
    gateway.host.add_engine("i-1", target.address, 0, 80);
    let mut stream = host.connect().await;
    let request = crate::host::request("POST", "/stream/a", "");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut part = [0; 512];
    while !String::from_utf8_lossy(&part).contains("id: 1") {
        assert!(stream.read(&mut part).await.expect("a part") > 0);
    }
    drop(stream);
    let until = Instant::now() + Duration::from_millis(500);
    while target.closed() == 0 {
        assert!(Instant::now() < until, "the target still works");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends bytes to a gateway and returns what it responds until it closes.
async fn send_raw(gateway: &TestGateway, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(gateway.handle.address)
        .await
        .expect("open");
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(8), read)
        .await
        .expect("the gateway closes the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against input that reaches a target unasked, or holds a place of the gateway.
#[tokio::test]
async fn malformed_oversized_and_endless_requests_reach_no_target_and_are_closed() {
    let target = healthy_target().await;
    let gateway = TestGateway::open();
    gateway.host.add_plain("i-1", target.address);
    let to = "jackdawwick-gateway-target: i-1\r\n";
    let large_head = format!("GET / HTTP/1.1\r\nx: {}\r\n{to}\r\n", "y".repeat(200_000));
    let large_body = format!(
        "POST / HTTP/1.1\r\n{to}content-length: 5000\r\n\r\n{}",
        "y".repeat(5000)
    );
    let cases = [
        ("GET / HTTP/1.1\r\n\r\n".to_owned(), "malformed"),
        (
            "GET / HTTP/1.1\r\njackdawwick-gateway-target: i-9\r\n\r\n".to_owned(),
            "unknown_target",
        ),
        (format!("GET / HTTP/1.1\r\n{to}"), ""),
        (
            format!("POST / HTTP/1.1\r\n{to}content-length: 9\r\n\r\nhalf"),
            "malformed",
        ),
        (
            format!("POST / HTTP/1.1\r\n{to}transfer-encoding: chunked\r\n\r\nzz\r\n"),
            "malformed",
        ),
        (large_head, ""),
        (large_body, "malformed"),
        ("\0\u{1}\u{2} not http\r\n\r\n".to_owned(), ""),
        (String::new(), ""),
    ];
    for (bytes, result) in cases {
        let shown = bytes.chars().take(60).collect::<String>();
        let response = send_raw(&gateway, bytes.as_bytes()).await;
        let stated = response.contains(&format!("jackdawwick-gateway-result: {result}"));
        assert!(result.is_empty() || stated, "{shown:?}: {response:?}");
    }
    gateway.knows.store(false, Ordering::Relaxed);
    let stranger = send_raw(&gateway, format!("GET / HTTP/1.1\r\n{to}\r\n").as_bytes()).await;
    assert!(stranger.contains("unknown_host"), "{stranger}");
    assert_eq!(target.seen().len(), 0);
}

/// Guards against bytes that make a gateway fail, or pass on what no host has sent.
#[test]
fn random_bytes_reach_no_target_and_the_gateway_serves_on() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let (target, gateway) = runtime.block_on(async {
        let target = healthy_target().await;
        let gateway = TestGateway::open();
        gateway.host.add_plain("i-1", target.address);
        (target, gateway)
    });
    let config = ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let pieces = prop::sample::select(vec![
        "GET / HTTP/1.1\r\n",
        "POST /x HTTP/1.1\r\n",
        "jackdawwick-gateway-target: i-2\r\n",
        "jackdawwick-gateway-probe: 1\r\n",
        "content-length: 3\r\n",
        "content-length: -1\r\n",
        "transfer-encoding: chunked\r\n",
        "\r\n",
        "abc",
        "0\r\n\r\n",
    ]);
    let piece = prop_oneof![
        pieces.prop_map(|text| text.as_bytes().to_vec()),
        prop::collection::vec(any::<u8>(), 0..40),
    ];
    let input = prop::collection::vec(piece, 0..12).prop_map(|pieces| pieces.concat());
    let run = TestRunner::new(config).run(&input, |bytes| {
        runtime.block_on(async {
            let mut stream = TcpStream::connect(gateway.handle.address)
                .await
                .expect("open");
            let _ = stream.write_all(&bytes).await;
            let _ = stream.shutdown().await;
            let mut response = Vec::new();
            let read = stream.read_to_end(&mut response);
            let closed = tokio::time::timeout(Duration::from_secs(8), read).await;
            prop_assert!(closed.is_ok(), "the gateway keeps the connection");
            Ok(())
        })
    });
    run.expect("every connection is closed");
    assert_eq!(target.seen().len(), 0);
    let served = runtime.block_on(async {
        let (host, _) = host_with(&[&gateway]);
        host.add_plain("i-1", closed_address());
        host.call("GET", "/unsafe/a", "").await
    });
    assert_eq!(served.status(), 200, "{}", served.text);
}
