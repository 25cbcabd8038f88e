//! Tests connections that end before the head of a response is complete.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

use crate::gateway::{TestGateway, host_with, host_with_addresses, is_probe, stated};
use crate::host::{CallerResponse, TestHost, request};
use crate::stub_target::{SeenRequest, Step, StubTarget, event, last_chunk, response, stream_head};
use crate::{REPORT, json};

/// Id of the request that opens a kept connection.
const FIRST_ID: &str = "first";

/// Start of a head that claims to be the target's own response; its last line is complete.
const MARKED: &str = "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: r1\r\n\
                      x-jackdawwick-server-seal: s\r\n";

/// Rest of a head, and where it ends.
const CUT_HEADS: &[(&str, &str)] = &[
    ("a line without framing", ""),
    ("a header name", "content-le"),
    ("the colon", "content-length:"),
    ("the digits of a length", "content-length: 12"),
    ("the CR of a length", "content-length: 12\r"),
    ("a length", "content-length: 1200\r\n"),
    ("a length of zero", "content-length: 0\r\n"),
    ("a transfer coding", "transfer-encoding: chun"),
    ("chunks", "transfer-encoding: chunked\r\n"),
    ("a stream", "content-type: text/event-stream\r\n"),
    ("the CR of the empty line", "content-length: 4\r\n\r"),
    ("the CR after chunks", "transfer-encoding: chunked\r\n\r"),
    ("the CR without framing", "\r"),
    ("digits before a body", "content-length: 12hello, world"),
    (
        "digits before a body with an empty line",
        "content-length: 12{}\r\n\r\nhello, world",
    ),
    ("a length before a body", "content-length: 4\r\nfine"),
];

/// Whole starts of connections that bear no complete head.
const CUT_STARTS: &[(&str, &str)] = &[
    ("nothing", ""),
    ("the version", "HTTP/1."),
    ("the status", "HTTP/1.1 20"),
    ("the reason", "HTTP/1.1 200 O"),
    ("the CR of the status line", "HTTP/1.1 200 OK\r"),
    ("the status line", "HTTP/1.1 200 OK\r\n"),
    (
        "the proof",
        "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: r1\r\nx-jackdawwick-server-seal: s",
    ),
    (
        "the CR of the proof",
        "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: r1\r\nx-jackdawwick-server-seal: s\r",
    ),
    ("an interim response", "HTTP/1.1 100 Continue\r\n\r\n"),
    (
        "an interim response with marks",
        "HTTP/1.1 103 Early Hints\r\nx-jackdawwick-attempt-id: r1\r\n\
         x-jackdawwick-server-seal: s\r\ncontent-length: 0\r\n\r\n",
    ),
    (
        "a status line after an interim response",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
    ),
    (
        "a response after an interim one",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: r1\r\n\
         x-jackdawwick-server-seal: s\r\ncontent-length: 12",
    ),
    (
        "a refusal",
        "HTTP/1.1 503 Busy\r\nx-jackdawwick-attempt-id: r1\r\n\
         x-jackdawwick-not-executed: 1\r\ncontent-length: 0\r\n",
    ),
    (
        "a misdirected request",
        "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n",
    ),
];

/// Heads that other programs may take for complete ones.
const AMBIGUOUS_HEADS: &[(&str, &str)] = &[
    (
        "a folded line",
        "content-length: 12\r\n 00\r\n\r\nhello, world",
    ),
    ("a folded empty line", "x-a: b\r\n \r\n\r\nfine"),
    (
        "a line without a colon",
        "content-length: 4\r\nfine\r\n\r\nfine",
    ),
    ("a space before the colon", "content-length : 4\r\n\r\nfine"),
    ("a CR alone", "content-length: 4\r\rfine"),
    (
        "two lengths",
        "content-length: 4\r\ncontent-length: 1200\r\n\r\nfine",
    ),
];

/// How a connection ends.
#[derive(Debug, Clone, Copy)]
enum ConnectionEnd {
    Fin,
    /// Once the other side has read what was sent.
    Reset,
}

/// Which connection ends within a head.
#[derive(Debug, Clone, Copy)]
enum CutHop {
    ToTarget,
    FromGatewayToTarget,
    ToGateway,
}

/// A kind of request, and whether it may be sent again.
#[derive(Debug, Clone, Copy)]
struct RequestCase {
    path: &'static str,
    is_repeatable: bool,
}

const REQUESTS: [RequestCase; 4] = [
    request_case("/safe/a", true),
    request_case("/unsafe/a", false),
    request_case("/stream/a", true),
    request_case("/fixed/a", false),
];

const fn request_case(path: &'static str, is_repeatable: bool) -> RequestCase {
    RequestCase {
        path,
        is_repeatable,
    }
}

impl RequestCase {
    fn is_stream(self) -> bool {
        self.path != "/safe/a" && self.path != "/unsafe/a"
    }
}

fn cut_steps(head: &str, end: ConnectionEnd) -> Vec<Step> {
    let head = Step::Write(head.to_owned());
    match end {
        ConnectionEnd::Fin => vec![head],
        ConnectionEnd::Reset => vec![head, Step::Wait(Duration::from_millis(10)), Step::Reset],
    }
}

fn whole_steps(seen: &SeenRequest) -> Vec<Step> {
    let id = seen.id();
    match seen.head.contains(" /safe/") || seen.head.contains(" /unsafe/") {
        true => vec![response(id, "200 OK", "fine")],
        false => vec![stream_head(id), event(1), event(2), last_chunk()],
    }
}

/// Opens a socket at which connections are refused.
pub(crate) fn closed_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    socket
}

/// Two targets, of which the one that is asked first ends its connection within a head.
struct CutTargets {
    host: TestHost,
    attempts: Arc<AtomicUsize>,
    stubs: [StubTarget; 2],
    /// Keep the ports of closed addresses from being used by another test.
    _closed: [TcpSocket; 2],
    _gateway: Option<TestGateway>,
}

impl CutTargets {
    async fn open(hop: CutHop, case: RequestCase, cut: Vec<Step>) -> Self {
        let attempts = Arc::new(AtomicUsize::new(0));
        let stub = || {
            let (attempts, cut) = (attempts.clone(), cut.clone());
            StubTarget::spawn(move |seen: &SeenRequest| match seen.id() {
                _ if is_probe(seen) => vec![stated("reachable")],
                "r1" if attempts.fetch_add(1, Ordering::Relaxed) == 0 => cut.clone(),
                _ => whole_steps(seen),
            })
        };
        let stubs = [stub().await, stub().await];
        let addresses = stubs.each_ref().map(|stub| stub.address);
        let gateway = match hop {
            CutHop::FromGatewayToTarget => Some(TestGateway::open()),
            CutHop::ToTarget | CutHop::ToGateway => None,
        };
        let host = match (hop, &gateway) {
            (CutHop::ToGateway, _) => host_with_addresses(addresses.to_vec()).0,
            (_, Some(gateway)) => host_with(&[gateway]).0,
            (_, None) => TestHost::open(),
        };
        let add = |host: &TestHost, id, address| match case.is_stream() {
            true => host.add_engine(id, address, 0, 80),
            false => host.add_plain(id, address),
        };
        let closed = [closed_socket(), closed_socket()];
        let ids = ["i-1", "i-2"];
        for ((id, address), closed) in ids.into_iter().zip(addresses).zip(&closed) {
            match hop {
                CutHop::ToTarget => add(&host, id, address),
                CutHop::FromGatewayToTarget | CutHop::ToGateway => {
                    add(&host, id, closed.local_addr().expect("an address"));
                }
            }
            if let Some(gateway) = &gateway {
                add(&gateway.host, id, address);
            }
        }
        Self {
            host,
            attempts,
            stubs,
            _closed: closed,
            _gateway: gateway,
        }
    }

    /// Returns the heads of all requests that the targets have read.
    fn seen_heads(&self) -> String {
        let seen = self.stubs.iter().flat_map(StubTarget::seen);
        seen.map(|seen| seen.head).collect::<Vec<_>>().join("\n")
    }

    /// Sends a request on a new connection, or on one that has had a whole response.
    async fn call(&self, case: RequestCase, is_kept: bool) -> CallerResponse {
        if !is_kept {
            return self.host.call("POST", case.path, "").await;
        }
        let mut stream = self.host.connect().await;
        let last = request("POST", case.path, "");
        let first = last.replace("Connection: close\r\n", "");
        let first = first.replace("Id: r1", &format!("Id: {FIRST_ID}"));
        stream.write_all(first.as_bytes()).await.expect("sent");
        let end: &[u8] = if case.is_stream() {
            b"\r\n0\r\n\r\n"
        } else {
            b"\r\n\r\nfine"
        };
        let mut bytes = Vec::new();
        while !bytes.ends_with(end) {
            let read = stream.read_buf(&mut bytes).await.expect("a response");
            assert!(read > 0, "{}", String::from_utf8_lossy(&bytes));
        }
        stream.write_all(last.as_bytes()).await.expect("sent");
        bytes.clear();
        let _ = stream.read_to_end(&mut bytes).await;
        CallerResponse {
            text: String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
}

fn assert_retried_or_failed(
    served: &CallerResponse,
    case: RequestCase,
    attempts: usize,
    context: &str,
) {
    let text = &served.text;
    match case {
        RequestCase {
            is_repeatable: false,
            ..
        } => {
            assert_eq!((served.status(), attempts), (502, 1), "{context}: {text}");
            assert!(
                text.contains("\"verdict\":\"may_have_run\""),
                "{context}: {text}"
            );
        }
        _ if case.is_stream() => {
            assert_eq!((served.status(), attempts), (200, 2), "{context}: {text}");
            assert_eq!(served.event_ids(), [1, 2], "{context}: {text}");
            assert!(served.is_whole_stream(), "{context}: {text}");
        }
        _ => {
            assert_eq!((served.status(), attempts), (200, 2), "{context}: {text}");
            assert_eq!(
                served.header("content-length"),
                Some("4"),
                "{context}: {text}"
            );
            assert!(text.ends_with("\r\n\r\nfine"), "{context}: {text}");
        }
    }
}

/// Sends each kind of request on a new and on a kept connection, with each end of the
/// connection that sends `head`.
async fn check_head(hop: CutHop, name: &str, head: &str) {
    for end in [ConnectionEnd::Fin, ConnectionEnd::Reset] {
        let calls = REQUESTS
            .iter()
            .flat_map(|case| [(*case, false), (*case, true)]);
        let calls = calls.map(|(case, is_kept)| async move {
            let targets = CutTargets::open(hop, case, cut_steps(head, end)).await;
            let served = targets.call(case, is_kept).await;
            let attempts = targets.attempts.load(Ordering::Relaxed);
            let seen = targets.seen_heads();
            let path = case.path;
            let context = format!("{hop:?}, {name}, {end:?}, {path}, kept {is_kept}, seen {seen}");
            assert_retried_or_failed(&served, case, attempts, &context);
        });
        futures::future::join_all(calls).await;
    }
}

async fn check_heads(hop: CutHop) {
    for (name, head) in CUT_STARTS {
        check_head(hop, name, head).await;
    }
    for (name, rest) in CUT_HEADS.iter().chain(AMBIGUOUS_HEADS) {
        check_head(hop, name, &format!("{MARKED}{rest}")).await;
    }
}

/// Guards against a head that its target did not complete and that looks like a response.
#[tokio::test]
async fn a_head_that_its_target_cuts_is_no_response() {
    check_heads(CutHop::ToTarget).await;
}

/// Guards against a gateway that completes the head of a target and frames its body.
#[tokio::test]
async fn a_head_that_is_cut_before_a_gateway_is_no_response() {
    check_heads(CutHop::FromGatewayToTarget).await;
}

/// Guards against a gateway that ends within the head that it passes on.
#[tokio::test]
async fn a_head_that_a_gateway_cuts_is_no_response() {
    check_heads(CutHop::ToGateway).await;
}

/// Spawns an engine that sends the first event of a stream and goes on with `steps`.
async fn spawn_first_engine(steps: Vec<Step>) -> StubTarget {
    StubTarget::spawn(
        move |seen: &SeenRequest| match seen.head.starts_with(REPORT) {
            true => vec![Step::Hold],
            false => [vec![stream_head(seen.id()), event(1)], steps.clone()].concat(),
        },
    )
    .await
}

/// Starts a stream on one engine, and adds one that cuts its head for a second attempt.
async fn serve_beside_cut(first: Vec<Step>, cut: Vec<Step>) -> (CallerResponse, usize) {
    let first = spawn_first_engine(first).await;
    let second = StubTarget::spawn(
        move |seen: &SeenRequest| match seen.head.starts_with(REPORT) {
            true => vec![json("{}")],
            false => cut.clone(),
        },
    )
    .await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 80);
    let serving = host.call("POST", "/stream/a", "");
    let adding = async {
        while first.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        host.add_engine("i-2", second.address, 0, 80);
    };
    let (served, ()) = tokio::join!(serving, adding);
    let seen = second.seen().into_iter();
    let attempts = seen.filter(|seen| !seen.head.starts_with(REPORT)).count();
    (served, attempts)
}

fn stream_cuts() -> impl Iterator<Item = Vec<Step>> {
    let heads = CUT_HEADS.iter().map(|(_, rest)| format!("{MARKED}{rest}"));
    heads.flat_map(|head| {
        let ends = [ConnectionEnd::Fin, ConnectionEnd::Reset];
        ends.map(|end| cut_steps(&head, end))
    })
}

/// Guards against a stream that looks complete because the head of its hedge is cut.
#[tokio::test]
async fn a_stream_continues_after_the_head_of_its_hedge_was_cut() {
    let still = Step::Wait(Duration::from_millis(1800));
    let rest = [still, event(2), last_chunk()];
    let calls = stream_cuts().map(|cut| serve_beside_cut(rest.to_vec(), cut));
    for (served, attempts) in futures::future::join_all(calls).await {
        assert_eq!(
            (served.event_ids(), attempts),
            (vec![1, 2], 1),
            "{}",
            served.text
        );
        assert!(served.is_whole_stream(), "{}", served.text);
    }
}

/// Guards against a stream that looks complete because the head of its resumption is cut.
#[tokio::test]
async fn a_stream_whose_resumption_cuts_its_head_does_not_look_complete() {
    let broken = [Step::Wait(Duration::from_millis(100)), Step::Reset];
    let calls = stream_cuts().map(|cut| serve_beside_cut(broken.to_vec(), cut));
    for (served, attempts) in futures::future::join_all(calls).await {
        assert_eq!(
            (served.event_ids(), attempts),
            (vec![1], 1),
            "{}",
            served.text
        );
        assert!(!served.is_whole_stream(), "{}", served.text);
    }
}
