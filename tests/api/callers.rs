//! Tests of the callers' HTTP interface over a stub backend.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::client::Headers;
use crate::server::{
    BEARER, BODY, StubBackend, eventually, in_time, raw_generation, raw_head, send_and_read_all,
};
use futures::FutureExt;
use http::{Method, StatusCode};
use jackdawwick::api::wire::{RefusalBody, StreamEvent};
use jackdawwick::reason::RefusalReason;
use jackdawwick::verdict::RunVerdict;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

const TOKEN: StreamEvent = StreamEvent::Token {
    number: 0,
    token: 7,
};

#[tokio::test]
async fn a_generation_is_streamed_event_by_event() {
    let server = StubBackend::default().serve();
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
    let call = server.received.generations.lock()[0].clone();
    assert_eq!(&*call.organisation, "office");
    assert_eq!(call.key.as_deref(), Some("k\"1"));
    assert!(call.non_idempotent);
    in_time(server.handle.shutdown()).await;
}

#[tokio::test]
async fn service_responses_are_passed_through_unchanged() {
    let server = StubBackend::default().serve();
    let path = "/v1/services/ledger/charge";
    let reply = server.send(Method::POST, path, &[BEARER], "raw").await;
    assert_eq!(reply.status.as_u16(), 418);
    assert_eq!(reply.header("content-type"), "text/plain");
    assert_eq!(reply.header("x-verdict"), "ran");
    assert_eq!(reply.text(), "raw");
    let call = server.received.services.lock()[0].clone();
    assert_eq!((&*call.service, &*call.operation), ("ledger", "charge"));
}

/// Each malformed call gets a 4xx with the typed body, and none reaches the backend.
#[tokio::test]
async fn malformed_calls_are_refused_with_a_typed_body() {
    let server = StubBackend::default().serve();
    let long = "x".repeat(129);
    let no_prompt = r#"{"model":"m","prompt":[],"max_tokens":1}"#;
    let no_tokens = r#"{"model":"m","prompt":[1],"max_tokens":0}"#;
    let twice = [BEARER, ("x-request-id", "a"), ("x-request-id", "b")];
    let cases: [(Headers<'_>, &str, u16); 11] = [
        (&[BEARER], "{", 400),
        (&[BEARER], r#"{"model":"m"}"#, 400),
        (&[BEARER], no_prompt, 400),
        (&[BEARER], no_tokens, 400),
        (&[BEARER, ("x-non-idempotent", "yes")], BODY, 400),
        (&[BEARER, ("idempotency-key", "\"open")], BODY, 400),
        (&[BEARER, ("x-request-id", &long)], BODY, 400),
        (&twice, BODY, 400),
        (&[BEARER, ("content-type", "text/xml")], BODY, 400),
        (&[], "{", 401),
        (&[("authorization", "Bearer other-token")], BODY, 401),
    ];
    for (headers, body, status) in cases {
        let reply = server.generate(headers, body).await;
        assert_eq!(reply.status.as_u16(), status, "{headers:?} {body}");
        assert_eq!(reply.refusal().verdict, RunVerdict::NotRun);
    }
    let unknown = server.send(Method::GET, "/v2", &[], "").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
    assert_eq!(unknown.refusal().reason, RefusalReason::Unknown);
    let method = server.send(Method::GET, "/v1/generate", &[], "").await;
    assert_eq!(method.status, StatusCode::METHOD_NOT_ALLOWED);
    assert_eq!(method.refusal().reason, RefusalReason::Malformed);
    assert!(server.received.generations.lock().is_empty());
}

/// The HTTP status alone tells whether the caller may simply retry.
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
        let server = StubBackend::refusing(refusal).serve();
        let headers = [BEARER, ("x-request-id", "r-9")];
        let reply = server.generate(&headers, BODY).await;
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
    let backend = StubBackend {
        ready: false,
        ..StubBackend::default()
    };
    let server = backend.serve();
    let healthy = server.send(Method::GET, "/healthz", &[], "").await;
    assert_eq!(healthy.status, StatusCode::OK);
    let ready = server.send(Method::GET, "/readyz", &[], "").await;
    assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(ready.refusal().reason, RefusalReason::NotReady);
}

/// If the task that serves a run dies after a token was delivered, its channel closes
/// without a last event. The stream must not end like a complete one.
#[tokio::test]
async fn an_interrupted_stream_ends_with_an_error_event() {
    let (sender, receiver) = mpsc::channel(4);
    sender.try_send(TOKEN).expect("the channel has room");
    drop(sender);
    let server = StubBackend::streaming(receiver).serve();
    let reply = server.generate(&[BEARER], BODY).await;
    let last = reply.text().trim_end().rsplit("data: ").next();
    let event: StreamEvent = serde_json::from_str(last.expect("an event")).expect("JSON");
    let StreamEvent::Error(refusal) = event else {
        panic!("the stream ended with {event:?}");
    };
    assert_eq!(refusal.verdict, RunVerdict::MayHaveRun);
}

/// When a caller closes its connection, the backend's channel closes, so that engines do
/// not continue to work for it.
#[tokio::test]
async fn a_disconnected_caller_closes_the_event_channel() {
    let (sender, receiver) = mpsc::channel(4);
    sender.try_send(TOKEN).expect("the channel has room");
    let server = StubBackend::streaming(receiver).serve();
    let mut caller = server.start_request(&raw_generation()).await;
    let mut events_text = String::new();
    while !events_text.contains("data: ") {
        let mut bytes = [0; 512];
        let count = caller.read(&mut bytes).await.expect("a response");
        events_text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    assert!(!sender.is_closed());
    drop(caller);
    in_time(sender.closed()).await;
}

/// Observed progress of a call.
#[derive(Default)]
struct CallOutcome {
    caller_disconnected: AtomicBool,
    ended: AtomicBool,
    dropped: AtomicBool,
}

struct OutcomeGuard(Arc<CallOutcome>);

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        self.0.dropped.store(true, Ordering::SeqCst);
    }
}

/// A service call must not be dropped with its caller's connection: dropped between its
/// claim and its response, it would stay "may have run" for ever.
#[tokio::test]
async fn a_service_call_outlives_its_caller_and_is_notified() {
    let release = Arc::new(Notify::new());
    let outcome = Arc::new(CallOutcome::default());
    let (gate, observed) = (release.clone(), outcome.clone());
    let backend = StubBackend {
        call_service: Arc::new(move |call| {
            let gate = gate.clone();
            let guard = OutcomeGuard(observed.clone());
            async move {
                call.caller_disconnected.cancelled().await;
                guard.0.caller_disconnected.store(true, Ordering::SeqCst);
                gate.notified().await;
                guard.0.ended.store(true, Ordering::SeqCst);
                Err(RefusalBody::not_run(RefusalReason::NoRoute, "none"))
            }
            .boxed()
        }),
        ..StubBackend::default()
    };
    let server = backend.serve();
    let caller = server
        .start_request(&raw_head("/v1/services/ledger/charge", 0))
        .await;
    eventually("the call begins", || {
        !server.received.services.lock().is_empty()
    })
    .await;
    assert!(!outcome.caller_disconnected.load(Ordering::SeqCst));
    drop(caller);
    eventually("the call is notified", || {
        outcome.caller_disconnected.load(Ordering::SeqCst)
    })
    .await;
    assert!(!outcome.dropped.load(Ordering::SeqCst));
    let mut closing = tokio::spawn(server.handle.shutdown());
    let early = timeout(Duration::from_millis(50), &mut closing).await;
    assert!(early.is_err(), "closed before the call had ended");
    release.notify_one();
    in_time(closing).await.expect("no panic");
    assert!(outcome.ended.load(Ordering::SeqCst));
}

/// A shutdown of the listener must not cut streams in flight short.
#[tokio::test]
async fn shutdown_waits_for_the_streams_in_flight() {
    let (sender, receiver) = mpsc::channel(4);
    let server = StubBackend::streaming(receiver).serve();
    let address = server.handle.local_address();
    let mut caller = server.start_request(&raw_generation()).await;
    eventually("the call begins", || {
        !server.received.generations.lock().is_empty()
    })
    .await;
    let closing = tokio::spawn(server.handle.shutdown());
    in_time(async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    })
    .await;
    assert!(!closing.is_finished());
    let last = StreamEvent::Done { count: 0 };
    sender.send(last).await.expect("the caller is there");
    let response = send_and_read_all(&mut caller, b"").await;
    assert!(
        response.contains(r#"{"event":"done","count":0}"#),
        "{response}"
    );
    in_time(closing).await.expect("no panic");
}

#[tokio::test]
async fn a_panicking_endpoint_returns_a_refusal() {
    let backend = StubBackend {
        generate: Arc::new(|_| async { panic!("a fault of the daemon") }.boxed()),
        ..StubBackend::default()
    };
    let reply = backend.serve().generate(&[BEARER], BODY).await;
    assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(reply.refusal().verdict, RunVerdict::MayHaveRun);
}
