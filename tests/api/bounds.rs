//! Bounds on connections and requests.

use std::time::Duration;

use crate::server::{
    BEARER, BODY, StubBackend, eventually, in_time, raw_generation, raw_head, send_and_read_all,
};
use http::{Method, StatusCode};
use jackdawwick::api::wire::StreamEvent;
use jackdawwick::reason::RefusalReason;
use jackdawwick::verdict::RunVerdict;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;

/// A caller that sends its whole body before it reads the response gets a 413. If the
/// connection were closed with unread bytes, it would be reset, and the caller would
/// retry for ever.
#[tokio::test]
async fn a_body_beyond_the_bound_is_refused() {
    const BOUND: usize = 1 << 20;
    let server = StubBackend::default()
        .with_bounds(|bounds| bounds.body_bytes = BOUND)
        .serve();
    let reply = server.generate(&[BEARER], &" ".repeat(BOUND + 1)).await;
    assert_eq!(reply.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(reply.refusal().verdict, RunVerdict::NotRun);
    let long = raw_head("/v1/generate", 4 * BOUND) + &" ".repeat(4 * BOUND);
    let response = send_and_read_all(&mut server.connect().await, long.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response:?}");
    let padded = " ".repeat(BOUND - BODY.len()) + BODY;
    let reply = server.generate(&[BEARER], &padded).await;
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against a host that holds more bodies than it has memory for, and against small calls
/// that find no place beside large ones.
#[tokio::test]
async fn bodies_beyond_the_memory_for_them_are_refused() {
    const BOUND: usize = 1 << 20;
    let server = StubBackend::default()
        .with_bounds(|bounds| bounds.buffered_bytes = BOUND)
        .serve();
    let padded = " ".repeat(BOUND - BODY.len()) + BODY;
    let stalled = raw_head("/v1/generate", BOUND) + &padded[..BOUND - 1];
    let hold = async || {
        let mut stream = server.connect().await;
        stream.write_all(stalled.as_bytes()).await.expect("sent");
        stream
    };
    let mut first = hold().await;
    let refused = async {
        loop {
            let reply = server.generate(&[BEARER], &padded).await;
            if reply.status != StatusCode::OK {
                break reply;
            }
            // The first body has not arrived yet, or it made way, since it has not grown for
            // two seconds.
            first = hold().await;
        }
    };
    let refused = in_time(refused).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.refusal().verdict, RunVerdict::NotRun);
    assert_eq!(refused.refusal().reason, RefusalReason::NoMemory);
    assert_eq!(refused.header("retry-after"), "2");
    let small = server.generate(&[BEARER], BODY).await;
    assert_eq!(small.status, StatusCode::OK);
    drop(first);
}

/// Callers that send nothing, half a head or half a body are disconnected. Without time
/// limits on reading, such connections would pile up until no other caller is served.
#[tokio::test]
async fn slow_senders_are_disconnected() {
    let server = StubBackend::default()
        .with_bounds(|bounds| {
            bounds.head_timeout = Duration::from_millis(50);
            bounds.body_timeout = Duration::from_millis(50);
        })
        .serve();
    send_and_read_all(&mut server.connect().await, b"").await;
    send_and_read_all(&mut server.connect().await, b"POST /v1/gen").await;
    let half = raw_head("/v1/generate", BODY.len()) + &BODY[..9];
    let response = send_and_read_all(&mut server.connect().await, half.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(response.contains("\"not_run\""), "{response}");
}

/// The HTTP library responds to unreadable heads without a body. HTTP/2 connections are
/// closed, since their callers could not read the response.
#[tokio::test]
async fn invalid_or_oversized_heads_are_refused() {
    let server = StubBackend::default().serve();
    let large = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(17 << 10));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(65));
    let cases = [
        ("\0\0\0\r\n\r\n", "HTTP/1.1 400 "),
        (large.as_str(), "HTTP/1.1 431 "),
        (many.as_str(), "HTTP/1.1 431 "),
        ("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", ""),
    ];
    for (bytes, status_line) in cases {
        let response = send_and_read_all(&mut server.connect().await, bytes.as_bytes()).await;
        assert!(
            response.starts_with(status_line),
            "{bytes:.40?}: {response:?}"
        );
        assert_eq!(response.is_empty(), status_line.is_empty(), "{response:?}");
    }
}

#[tokio::test]
async fn connections_beyond_the_bound_get_429() {
    let (sender, receiver) = mpsc::channel(1);
    let server = StubBackend::streaming(receiver)
        .with_bounds(|bounds| bounds.connections = 1)
        .serve();
    let first = server.start_request(&raw_generation()).await;
    eventually("the first call begins", || {
        !server.received.generations.lock().is_empty()
    })
    .await;
    let reply = server.send(Method::GET, "/healthz", &[], "").await;
    assert_eq!(reply.status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(reply.header("retry-after"), "1");
    assert_eq!(reply.refusal().verdict, RunVerdict::NotRun);
    drop(first);
    in_time(sender.closed()).await;
}

/// A caller that stops reading but keeps its connection open is disconnected. Otherwise
/// the run would go on, since the system probes a full receive window without end.
#[tokio::test]
async fn a_caller_that_stops_reading_is_disconnected() {
    let (sender, receiver) = mpsc::channel(64);
    let server = StubBackend::streaming(receiver)
        .with_bounds(|bounds| bounds.stall_timeout = Duration::from_millis(50))
        .serve();
    let caller = server.start_request(&raw_generation()).await;
    in_time(async {
        let event = StreamEvent::Token {
            number: 0,
            token: 7,
        };
        while sender.send(event.clone()).await.is_ok() {}
    })
    .await;
    drop(caller);
}
