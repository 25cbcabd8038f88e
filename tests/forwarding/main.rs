//! Tests the data path against targets that fail in various ways.

mod bodies;
mod early_end;
mod ended;
mod gateway;
mod gateway_shutdown;
mod gateway_silence;
mod host;
mod idle;
mod leaving;
mod limits;
mod links;
mod moves;
mod overload;
mod pauses;
mod poison;
mod shutdown;
mod silence;
mod starts;
mod status;
mod stub_target;
mod unanswered;
mod unframed;

use std::time::{Duration, Instant};

use host::{TestHost, request};
use jackdawwick::drain::DrainWindow;
use stub_target::{SeenRequest, Step, StubTarget, chunk, event, last_chunk, response, stream_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const REPORT: &str = "GET /jackdawwick/report";
const ORDER: &str = "POST /jackdawwick/order";

fn json(body: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ))
}

fn not_executed() -> Step {
    Step::Write(
        "HTTP/1.1 503 Service Unavailable\r\nx-jackdawwick-not-executed: 1\r\n\
         content-length: 0\r\n\r\n"
            .to_owned(),
    )
}

async fn healthy_target() -> StubTarget {
    StubTarget::spawn(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

#[tokio::test]
async fn a_target_receives_the_request_and_only_headers_set_by_this_host() {
    let target = healthy_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let extra = "X-Jackdawwick-Tenant: forged\r\nX-Jackdawwick-Target-Instance: forged\r\n\
                 X-Jackdawwick-Urgency-Class: 0\r\nX-Own: kept\r\nContent-Length: 4\r\n";
    let mut stream = host.connect().await;
    let text = request("POST", "/unsafe/a?b=c", extra) + "body";
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut seen = target.seen();
    while seen.is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
        seen = target.seen();
    }
    let seen = &seen[0];
    assert!(seen.head.starts_with("POST /unsafe/a?b=c HTTP/1.1"));
    assert_eq!(seen.body, b"body");
    assert_eq!(seen.id(), "r1");
    assert_eq!(seen.header("x-jackdawwick-tenant"), Some("org"));
    assert_eq!(seen.header("x-jackdawwick-target-instance"), Some("i-1"));
    assert_eq!(seen.header("x-jackdawwick-urgency-class"), None);
    assert_eq!(seen.header("authorization"), None);
    assert_eq!(seen.header("x-own"), Some("kept"));
    let left = seen
        .header("x-jackdawwick-deadline-ms")
        .and_then(|left| left.parse::<u64>().ok());
    assert!(left.is_some_and(|left| left <= 3000));
}

#[tokio::test]
async fn a_request_that_the_configuration_does_not_allow_is_rejected() {
    let host = TestHost::open();
    let unknown = host.call("GET", "/other/", "").await;
    assert_eq!(unknown.status(), 404);
    let mut stream = host.connect().await;
    let text = request("GET", "/safe/", "").replace("k1", "k9");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut bytes = Vec::new();
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await;
    assert!(String::from_utf8_lossy(&bytes).starts_with("HTTP/1.1 401"));
}

#[tokio::test]
async fn without_a_target_the_refusal_has_a_retry_after() {
    let host = TestHost::open();
    let response = host.call("GET", "/safe/", "").await;
    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(response.text.contains("\"verdict\":\"not_run\""));
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let target = healthy_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let mut stream = host.connect().await;
    let text = request("POST", "/unsafe/", "Content-Length: 5000\r\n") + &"x".repeat(5000);
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut bytes = Vec::new();
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await;
    assert!(String::from_utf8_lossy(&bytes).starts_with("HTTP/1.1 413"));
    assert!(target.seen().is_empty());
}

/// Guards against request smuggling: a head with two lengths, or with a length and
/// chunks, is read differently by two programs, so that one caller gets another's
/// response or one request becomes two.
#[tokio::test]
async fn ambiguous_lengths_reach_no_target() {
    let target = healthy_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    for extra in [
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Content-Length: -1\r\n",
    ] {
        let mut stream = host.connect().await;
        let text = request("POST", "/unsafe/", extra) + "bodyGET /unsafe/ HTTP/1.1\r\n\r\n";
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut bytes = Vec::new();
        let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await;
        let text = String::from_utf8_lossy(&bytes);
        assert!(
            text.is_empty() || text.starts_with("HTTP/1.1 4"),
            "{extra:?} got {text:?}"
        );
    }
    assert!(target.seen().is_empty());
}

/// Guards against a charge that is made twice because a non-idempotent request is sent
/// again after its response was lost.
#[tokio::test]
async fn a_non_idempotent_request_is_never_sent_twice() {
    let broken = StubTarget::spawn(|_| vec![Step::Reset]).await;
    let other = StubTarget::spawn(|_| vec![Step::Reset]).await;
    let host = TestHost::open();
    host.add_plain("i-1", broken.address);
    host.add_plain("i-2", other.address);
    let response = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
    assert_eq!(response.status(), 502);
    assert!(response.text.contains("\"verdict\":\"may_have_run\""));
    assert_eq!(broken.seen().len() + other.seen().len(), 1);
}

#[tokio::test]
async fn a_refused_request_of_any_kind_is_retried_on_another_target() {
    let full = StubTarget::spawn(|_| vec![not_executed()]).await;
    let host = TestHost::open();
    host.add_plain("i-1", full.address);
    let response = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
    assert_eq!(response.status(), 503);
    let healthy = healthy_target().await;
    host.add_plain("i-2", healthy.address);
    for _ in 0..4 {
        let response = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
        assert_eq!(response.status(), 200);
    }
}

#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_lost_response() {
    let broken = StubTarget::spawn(|_| vec![Step::Reset]).await;
    let healthy = healthy_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", broken.address);
    host.add_plain("i-2", healthy.address);
    for _ in 0..4 {
        assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
    }
}

/// Guards against a request that a stopping host admits although it may outlast the host.
#[tokio::test]
async fn a_host_about_to_stop_refuses_new_requests() {
    let target = healthy_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let began = Instant::now() - Duration::from_secs(3);
    let long = DrainWindow::open(began, Duration::from_secs(9));
    host.tables.begin_drain(long);
    let plain = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
    assert_eq!(plain.status(), 200);
    // The timeout of the routes is 3 s.
    let short = DrainWindow::open(began, Duration::from_millis(6300));
    host.tables.begin_drain(short);
    for path in ["/unsafe/", "/stream/"] {
        let late = host.call("POST", path, "Content-Length: 0\r\n").await;
        assert_eq!(late.status(), 503, "{path}");
        assert!(late.text.contains("\"reason\":\"draining\""), "{path}");
    }
    assert_eq!(target.seen().len(), 1);
    let short = request("POST", "/unsafe/", "Content-Length: 0\r\n").replace("4000", "500");
    let mut stream = host.connect().await;
    stream.write_all(short.as_bytes()).await.expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("a response");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

/// Guards against a caller that receives `not_run` although its request may have run: the
/// only target loses the response or fails after running, and no other target is left for
/// the second attempt.
#[tokio::test]
async fn a_refusal_after_a_failed_attempt_does_not_report_not_run() {
    let broken = StubTarget::spawn(|_| vec![Step::Reset]).await;
    let host = TestHost::open();
    host.add_plain("i-1", broken.address);
    let lost = host.call("GET", "/safe/", "").await;
    assert_eq!(lost.status(), 502);
    assert!(lost.text.contains("\"verdict\":\"may_have_run\""));
    let failing = StubTarget::spawn(|seen| vec![response(seen.id(), "500 Oops", "sorry")]).await;
    let host = TestHost::open();
    host.add_plain("i-1", failing.address);
    let failed = host.call("GET", "/safe/", "").await;
    assert_eq!(failed.status(), 500);
    assert_eq!(failed.header("x-jackdawwick-server-seal"), Some("s"));
}

/// Guards against responses that are matched by their order on the connection: a target
/// that sends the response of an earlier request would give a caller another one's
/// response.
#[tokio::test]
async fn a_response_with_another_id_is_not_passed_on() {
    let crossed = StubTarget::spawn(|_| vec![response("r0", "200 OK", "foreign")]).await;
    let host = TestHost::open();
    host.add_plain("i-1", crossed.address);
    let response = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
    assert_eq!(response.status(), 502);
    assert!(!response.text.contains("foreign"));
}

#[tokio::test]
async fn a_response_without_proof_or_truncated_is_not_passed_on() {
    let unproven = |seen: &SeenRequest| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: {}\r\ncontent-length: 2\r\n\r\nno",
            seen.id()
        );
        vec![Step::Write(head)]
    };
    let short = |seen: &SeenRequest| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: {}\r\n\
             x-jackdawwick-server-seal: s\r\ncontent-length: 9\r\n\r\nno",
            seen.id()
        );
        vec![Step::Write(head)]
    };
    for target in [
        StubTarget::spawn(unproven).await,
        StubTarget::spawn(short).await,
    ] {
        let host = TestHost::open();
        host.add_plain("i-1", target.address);
        let response = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
        assert_eq!(response.status(), 502);
    }
}

#[tokio::test]
async fn a_failure_returned_by_a_target_is_passed_on_with_its_proof() {
    let failing = StubTarget::spawn(|seen| vec![response(seen.id(), "500 Oops", "sorry")]).await;
    let host = TestHost::open();
    host.add_plain("i-1", failing.address);
    let response = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
    assert_eq!(response.status(), 500);
    assert_eq!(response.header("x-jackdawwick-server-seal"), Some("s"));
}

/// Guards against bytes after a complete response, which belong to no request.
#[tokio::test]
async fn surplus_bytes_are_not_passed_on() {
    let noisy = StubTarget::spawn(|seen| {
        vec![
            response(seen.id(), "200 OK", "fine"),
            response(seen.id(), "200 OK", "again"),
        ]
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", noisy.address);
    for _ in 0..3 {
        let response = host.call("GET", "/safe/", "").await;
        assert_eq!(response.status(), 200);
        assert!(response.text.ends_with("fine"));
    }
}

#[tokio::test]
async fn the_path_header_names_engines_and_layers() {
    let engine =
        StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), event(2), last_chunk()])
            .await;
    let host = TestHost::open();
    host.add_engine("i-1", engine.address, 0, 50);
    host.add_engine("i-2", "127.0.0.1:9".parse().expect("an address"), 50, 80);
    let response = host.call("POST", "/stream/", "Content-Length: 0\r\n").await;
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream());
    let path = format!("{}=0-50,127.0.0.1:9=50-80", engine.address);
    assert_eq!(
        engine.seen()[0].header("x-jackdawwick-hop-count"),
        Some(path.as_str())
    );
}

/// Guards against a truncated response or duplicate events after an engine fails within
/// an event: the stream has to resume at another engine after the last complete event.
#[tokio::test]
async fn a_broken_stream_resumes_elsewhere_after_the_last_complete_event() {
    let breaking = StubTarget::spawn(|seen| match seen.header("last-event-id") {
        None => vec![
            stream_head(seen.id()),
            event(1),
            event(2),
            chunk("id: 3\nda"),
            Step::Reset,
        ],
        Some(_) => vec![not_executed()],
    })
    .await;
    let resuming = StubTarget::spawn(|seen| match seen.header("last-event-id") {
        Some("2") => vec![stream_head(seen.id()), event(3), event(4), last_chunk()],
        _ => vec![not_executed()],
    })
    .await;
    let host = TestHost::open();
    host.add_engine("i-1", breaking.address, 0, 80);
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let adding = async {
        while breaking.seen().is_empty() {
            tokio::task::yield_now().await;
        }
        host.add_engine("i-2", resuming.address, 0, 80);
    };
    let (response, ()) = tokio::join!(serving, adding);
    assert_eq!(response.event_ids(), [1, 2, 3, 4]);
    assert_eq!(response.text.matches("id: 3\ndata: t3\n\n").count(), 1);
    assert!(
        !response.text.contains("daid"),
        "a partial event was joined to a complete one"
    );
    assert!(response.is_whole_stream());
}

#[tokio::test]
async fn a_stream_that_cannot_resume_is_not_terminated_regularly() {
    let breaking =
        StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), Step::Reset]).await;
    let host = TestHost::open();
    host.add_engine("i-1", breaking.address, 0, 80);
    let response = host.call("POST", "/stream/", "Content-Length: 0\r\n").await;
    assert_eq!(response.event_ids(), [1]);
    assert!(!response.is_whole_stream());
}

/// Guards against engines that work for callers that have left: a caller closes its
/// connection in the middle of a stream, and the engine's connection stays open.
#[tokio::test]
async fn a_closed_caller_connection_closes_the_engine_connection() {
    let engine = StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), Step::Hold]).await;
    let host = TestHost::open();
    host.add_engine("i-1", engine.address, 0, 80);
    let mut stream = host.connect().await;
    let text = request("POST", "/stream/", "Content-Length: 0\r\n");
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut part = [0; 64];
    let read = tokio::io::AsyncReadExt::read(&mut stream, &mut part).await;
    assert!(read.is_ok_and(|read| read > 0));
    drop(stream);
    while engine.closed() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let fleet = host.tables.fleet.lock();
    assert_eq!(fleet.get("i-1").map(|state| state.own.requests), Some(0));
}
