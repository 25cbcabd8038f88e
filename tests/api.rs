//! The callers' HTTP interface before a backend of canned closures.

#[path = "support/callers.rs"]
mod callers;
#[path = "support/http.rs"]
mod http_client;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use callers::{BEARER, BODY, CannedBackend, eventually, exchange};
use futures::FutureExt;
use http::{Method, StatusCode};
use http_client::{Headers, PATIENCE};
use jackdawwick::api::ApiBounds;
use jackdawwick::api::wire::{RefusalBody, StreamEvent};
use jackdawwick::reason::RefusalReason;
use jackdawwick::verdict::RunVerdict;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// A generation as raw bytes, but for its body.
fn raw_head(length: usize) -> String {
    format!(
        "POST /v1/generate HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\
         {}: {}\r\ncontent-length: {length}\r\n\r\n",
        BEARER.0, BEARER.1
    )
}

#[tokio::test]
async fn an_answer_is_streamed_event_by_event() {
    let server = CannedBackend::default().serve();
    let headers = [
        BEARER,
        ("x-request-id", "r-1"),
        ("idempotency-key", "\"k\\\"1\""),
        ("x-non-idempotent", "true"),
    ];
    let reply = server.generate(&headers, BODY).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.header("content-type"), "text/event-stream");
    assert_eq!(reply.header("x-request-id"), "r-1");
    insta::assert_snapshot!(reply.text());
    let call = server.seen.generations.lock()[0].clone();
    assert_eq!(&*call.organisation, "office");
    assert_eq!(call.key.as_deref(), Some("k\"1"));
    assert!(call.non_idempotent);
    server.handle.shutdown().await;
}

#[tokio::test]
async fn a_service_answers_through_unchanged() {
    let server = CannedBackend::default().serve();
    let path = "/v1/services/ledger/charge";
    let reply = server.send(Method::POST, path, &[BEARER], "raw").await;
    assert_eq!(reply.status.as_u16(), 418);
    assert_eq!(reply.header("content-type"), "text/plain");
    assert_eq!(reply.header("x-verdict"), "ran");
    assert_eq!(reply.text(), "raw");
    let call = server.seen.services.lock()[0].clone();
    assert_eq!((&*call.service, &*call.operation), ("ledger", "charge"));
}

/// Each malformed call gets a 4xx with the typed body, and none reaches the
/// backend.
#[tokio::test]
async fn malformed_calls_are_refused_with_a_typed_body() {
    let server = CannedBackend::default().serve();
    let long = "x".repeat(129);
    let cases: [(Headers, &str, u16); 11] = [
        (&[BEARER], "{", 400),
        (&[BEARER], r#"{"model":"m"}"#, 400),
        (
            &[BEARER],
            r#"{"model":"m","prompt":[],"max_tokens":1}"#,
            400,
        ),
        (
            &[BEARER],
            r#"{"model":"m","prompt":[1],"max_tokens":0}"#,
            400,
        ),
        (&[BEARER, ("x-non-idempotent", "yes")], BODY, 400),
        (&[BEARER, ("idempotency-key", "\"open")], BODY, 400),
        (&[BEARER, ("x-request-id", &long)], BODY, 400),
        (
            &[BEARER, ("x-request-id", "a"), ("x-request-id", "b")],
            BODY,
            400,
        ),
        (&[BEARER, ("content-type", "text/xml")], BODY, 400),
        (&[], "{", 401),
        (&[("authorization", "Bearer other-token")], BODY, 401),
    ];
    for (headers, body, status) in cases {
        let reply = server.generate(headers, body).await;
        assert_eq!(
            reply.status.as_u16(),
            status,
            "{headers:?} {body}: {reply:?}"
        );
        assert_eq!(reply.refusal().verdict, RunVerdict::NotRun);
        assert!(!reply.text().contains("token\":"), "{reply:?}");
    }
    let unknown = server.send(Method::GET, "/v2", &[], "").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    assert_eq!(unknown.refusal().reason, RefusalReason::Unknown);
    let method = server.send(Method::GET, "/v1/generate", &[], "").await;
    assert_eq!(method.status, StatusCode::METHOD_NOT_ALLOWED);
    assert_eq!(method.refusal().reason, RefusalReason::Malformed);
    assert!(server.seen.generations.lock().is_empty());
}

/// Symptom: a caller with too long a body sees a reset connection and tries
/// again for ever.
/// Sequence: it sends the whole body before it reads the answer.
/// Cause: the connection was closed on bytes not yet read.
#[tokio::test]
async fn a_body_beyond_the_bound_is_refused() {
    const BOUND: usize = 1 << 20;
    let backend = CannedBackend {
        bounds: ApiBounds {
            body_bytes: BOUND,
            ..ApiBounds::default()
        },
        ..CannedBackend::default()
    };
    let server = backend.serve();
    let reply = server.generate(&[BEARER], &" ".repeat(BOUND + 1)).await;
    assert_eq!(reply.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(reply.refusal().verdict, RunVerdict::NotRun);
    let long = raw_head(4 * BOUND) + &" ".repeat(4 * BOUND);
    let answer = exchange(&mut server.connect().await, long.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer:?}");
    let padded = " ".repeat(BOUND - BODY.len()) + BODY;
    assert_eq!(
        server.generate(&[BEARER], &padded).await.status,
        StatusCode::OK
    );
}

/// Symptom: connections of callers that never finish a request pile up until
/// no other one is served.
/// Sequence: a caller sends nothing, half a head, or half a body, and waits.
/// Cause: reading was not bounded in time.
#[tokio::test]
async fn slow_senders_are_cut_off() {
    let backend = CannedBackend {
        bounds: ApiBounds {
            head_timeout: Duration::from_millis(50),
            body_timeout: Duration::from_millis(50),
            ..ApiBounds::default()
        },
        ..CannedBackend::default()
    };
    let server = backend.serve();
    exchange(&mut server.connect().await, b"").await;
    exchange(&mut server.connect().await, b"POST /v1/gen").await;
    let half = raw_head(BODY.len()) + &BODY[..9];
    let answer = exchange(&mut server.connect().await, half.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
}

/// Heads that cannot be read are answered by the HTTP library without a body,
/// and HTTP/2, whose callers could not read the answer, by closing.
#[tokio::test]
async fn bytes_that_are_no_request_are_refused() {
    let server = CannedBackend::default().serve();
    let large = format!(
        "GET /healthz HTTP/1.1\r\nx: {}\r\n\r\n",
        "y".repeat(17 << 10)
    );
    let many = format!("GET /healthz HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(65));
    let cases = [
        ("\0\0\0\r\n\r\n", "HTTP/1.1 400 "),
        (large.as_str(), "HTTP/1.1 431 "),
        (many.as_str(), "HTTP/1.1 431 "),
        ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", ""),
    ];
    for (bytes, begin) in cases {
        let answer = exchange(&mut server.connect().await, bytes.as_bytes()).await;
        assert!(answer.starts_with(begin), "{bytes:.40?}: {answer:?}");
        assert_eq!(answer.is_empty(), begin.is_empty(), "{answer:?}");
    }
}

#[tokio::test]
async fn connections_beyond_the_bound_are_told_so() {
    let backend = CannedBackend {
        bounds: ApiBounds {
            connections: 1,
            ..ApiBounds::default()
        },
        ..CannedBackend::default()
    };
    let server = backend.serve();
    let mut first = server.connect().await;
    let request = b"GET /healthz HTTP/1.1\r\nhost: h\r\n\r\n";
    first.write_all(request).await.expect("bytes are taken");
    let mut begin = [0; 12];
    first.read_exact(&mut begin).await.expect("an answer");
    assert_eq!(&begin, b"HTTP/1.1 200");
    let answer = exchange(&mut server.connect().await, request).await;
    assert!(answer.starts_with("HTTP/1.1 429 "), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
}

/// The status says by itself whether the caller may simply come back.
#[tokio::test]
async fn refusals_have_the_status_of_their_verdict() {
    use RefusalReason as Reason;
    use RunVerdict::{MayHaveRun, NotRun};
    let cases = [
        (Reason::CapacityUsedUp, NotRun, 429),
        (Reason::QueueFull, NotRun, 429),
        (Reason::DeadlineUnreachable, NotRun, 503),
        (Reason::LogUnavailable, NotRun, 503),
        (Reason::Unknown, NotRun, 404),
        (Reason::ClaimedElsewhere, MayHaveRun, 409),
        (Reason::QueueFull, MayHaveRun, 504),
        (Reason::TargetFailed, MayHaveRun, 504),
    ];
    for (reason, verdict, status) in cases {
        let refusal = RefusalBody {
            verdict,
            ..RefusalBody::not_run(reason, "told").retry_after(Duration::from_millis(1001))
        };
        let server = CannedBackend::refusing(refusal).serve();
        let reply = server
            .generate(&[BEARER, ("x-request-id", "r-9")], BODY)
            .await;
        assert_eq!(reply.status.as_u16(), status, "{reason:?}");
        assert_eq!(reply.header("retry-after"), "2");
        let body = reply.refusal();
        assert_eq!((body.reason, body.verdict), (reason, verdict));
        assert_eq!(body.retry_after_ms, Some(1001));
        assert_eq!(body.request.as_deref(), Some("r-9"));
    }
}

#[tokio::test]
async fn a_draining_daemon_is_healthy_but_not_ready() {
    let backend = CannedBackend {
        ready: false,
        ..CannedBackend::default()
    };
    let server = backend.serve();
    let healthy = server.send(Method::GET, "/healthz", &[], "").await;
    assert_eq!(healthy.status, StatusCode::OK);
    let ready = server.send(Method::GET, "/readyz", &[], "").await;
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ready.refusal().reason, RefusalReason::NotReady);
}

/// Symptom: a caller takes a part of an answer for the whole.
/// Sequence: two tokens are delivered, then the task that serves the run dies.
/// Cause: its channel closes without a last event and the stream ends as if
/// nothing had happened.
#[tokio::test]
async fn an_answer_that_breaks_off_says_so() {
    let backend = CannedBackend {
        generate: Arc::new(|_| {
            let (sender, receiver) = mpsc::channel(4);
            let token = StreamEvent::Token {
                number: 0,
                token: 7,
            };
            sender.try_send(token).expect("the channel has room");
            futures::future::ready(Ok(receiver)).boxed()
        }),
        ..CannedBackend::default()
    };
    let reply = backend.serve().generate(&[BEARER], BODY).await;
    let last = reply.text().trim_end().rsplit("data: ").next();
    let event: StreamEvent = serde_json::from_str(last.expect("an event")).expect("JSON");
    let StreamEvent::Error(refusal) = event else {
        panic!("the stream ended with {event:?}");
    };
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
}

/// Symptom: engines work on for callers that have long gone.
/// Sequence: a caller reads one event and closes its connection.
/// Cause: the backend was not told.
#[tokio::test]
async fn a_caller_that_goes_away_is_noticed() {
    let noticed = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&noticed);
    let backend = CannedBackend {
        generate: Arc::new(move |_| {
            let (sender, receiver) = mpsc::channel(4);
            let token = StreamEvent::Token {
                number: 0,
                token: 7,
            };
            sender.try_send(token).expect("the channel has room");
            let flag = Arc::clone(&flag);
            tokio::spawn(async move {
                sender.closed().await;
                flag.store(true, Ordering::SeqCst);
            });
            futures::future::ready(Ok(receiver)).boxed()
        }),
        ..CannedBackend::default()
    };
    let server = backend.serve();
    let mut caller = server.connect().await;
    let request = raw_head(BODY.len()) + BODY;
    caller
        .write_all(request.as_bytes())
        .await
        .expect("bytes are taken");
    let mut seen = String::new();
    while !seen.contains("data: ") {
        let mut bytes = [0; 512];
        let count = caller.read(&mut bytes).await.expect("an answer");
        seen.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    assert!(!noticed.load(Ordering::SeqCst));
    drop(caller);
    eventually("the backend notices", || noticed.load(Ordering::SeqCst)).await;
}

/// Symptom: a run goes on for a caller that no longer takes its tokens.
/// Sequence: a caller stops reading but keeps its connection open.
/// Cause: the system offers the bytes again and again, for as long as the
/// caller's system says that it has no room.
#[tokio::test]
async fn a_caller_that_stops_reading_is_cut_off() {
    let noticed = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&noticed);
    let backend = CannedBackend {
        bounds: ApiBounds {
            stall_timeout: Duration::from_millis(50),
            ..ApiBounds::default()
        },
        generate: Arc::new(move |_| {
            let (sender, receiver) = mpsc::channel(64);
            let flag = Arc::clone(&flag);
            tokio::spawn(async move {
                let mut numbers = 0..;
                let mut taken = true;
                while taken {
                    let number = numbers.next().unwrap_or_default();
                    let event = StreamEvent::Token { number, token: 7 };
                    taken = sender.send(event).await.is_ok();
                }
                flag.store(true, Ordering::SeqCst);
            });
            futures::future::ready(Ok(receiver)).boxed()
        }),
        ..CannedBackend::default()
    };
    let server = backend.serve();
    let mut caller = server.connect().await;
    let request = raw_head(BODY.len()) + BODY;
    caller
        .write_all(request.as_bytes())
        .await
        .expect("bytes are taken");
    eventually("the run is given up", || noticed.load(Ordering::SeqCst)).await;
    drop(caller);
}

/// Symptom: a settle-up charge stays "may have run" for ever.
/// Sequence: the caller of a service closes while its call is carried out.
/// Cause: the call was dropped with its connection, between its claim and its
/// answer.
#[tokio::test]
async fn a_service_call_outlives_its_caller_and_is_told() {
    let release = Arc::new(Notify::new());
    let fate = Arc::new(CallFate::default());
    let (gate, watched) = (release.clone(), fate.clone());
    let backend = CannedBackend {
        call_service: Arc::new(move |call| {
            let gate = gate.clone();
            let guard = FateGuard(watched.clone());
            async move {
                call.caller_gone.cancelled().await;
                guard.0.told.store(true, Ordering::SeqCst);
                gate.notified().await;
                guard.0.ended.store(true, Ordering::SeqCst);
                Err(RefusalBody::not_run(RefusalReason::NoRoute, "none"))
            }
            .boxed()
        }),
        ..CannedBackend::default()
    };
    let server = backend.serve();
    let mut caller = server.connect().await;
    let request = format!(
        "POST /v1/services/ledger/charge HTTP/1.1\r\nhost: h\r\n{}: {}\r\n\
         content-length: 0\r\n\r\n",
        BEARER.0, BEARER.1
    );
    caller
        .write_all(request.as_bytes())
        .await
        .expect("bytes are taken");
    eventually("the call begins", || {
        !server.seen.services.lock().is_empty()
    })
    .await;
    assert!(!fate.told.load(Ordering::SeqCst));
    drop(caller);
    eventually("the call is told", || fate.told.load(Ordering::SeqCst)).await;
    assert!(!fate.dropped.load(Ordering::SeqCst));
    let mut closing = tokio::spawn(server.handle.shutdown());
    let early = timeout(Duration::from_millis(50), &mut closing).await;
    assert!(early.is_err(), "closed before the call had ended");
    release.notify_one();
    timeout(PATIENCE, closing)
        .await
        .expect("in time")
        .expect("no panic");
    assert!(fate.ended.load(Ordering::SeqCst));
}

/// What became of a call.
#[derive(Default)]
struct CallFate {
    told: AtomicBool,
    ended: AtomicBool,
    dropped: AtomicBool,
}

struct FateGuard(Arc<CallFate>);

impl Drop for FateGuard {
    fn drop(&mut self) {
        self.0.dropped.store(true, Ordering::SeqCst);
    }
}

/// Symptom: a restart of the daemon cuts answers short.
/// Sequence: the listener is shut down while a stream is in flight.
/// Cause: the connection was closed with the listener.
#[tokio::test]
async fn shutdown_waits_for_the_streams_in_flight() {
    let (sender, receiver) = mpsc::channel(4);
    let slot = parking_lot::Mutex::new(Some(receiver));
    let backend = CannedBackend {
        generate: Arc::new(move |_| {
            let receiver = slot.lock().take().expect("one call");
            futures::future::ready(Ok(receiver)).boxed()
        }),
        ..CannedBackend::default()
    };
    let server = backend.serve();
    let address = server.handle.local_address();
    let mut caller = server.connect().await;
    let request = raw_head(BODY.len()) + BODY;
    caller
        .write_all(request.as_bytes())
        .await
        .expect("bytes are taken");
    eventually("the call begins", || {
        !server.seen.generations.lock().is_empty()
    })
    .await;
    let closing = tokio::spawn(server.handle.shutdown());
    let refused = async {
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, refused)
        .await
        .expect("no new connection is taken");
    assert!(!closing.is_finished());
    sender
        .send(StreamEvent::Done { count: 0 })
        .await
        .expect("the caller is there");
    let answer = exchange(&mut caller, b"").await;
    assert!(answer.contains(r#"{"event":"done","count":0}"#), "{answer}");
    timeout(PATIENCE, closing)
        .await
        .expect("in time")
        .expect("no panic");
}

#[tokio::test]
async fn an_endpoint_that_panics_is_answered_for() {
    let backend = CannedBackend {
        generate: Arc::new(|_| async { panic!("a fault of the daemon") }.boxed()),
        ..CannedBackend::default()
    };
    let reply = backend.serve().generate(&[BEARER], BODY).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(reply.refusal().verdict, RunVerdict::MayHaveRun);
}
