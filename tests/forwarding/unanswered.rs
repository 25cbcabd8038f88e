//! Tests that a request that was read whole gets a response or a refusal.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::FutureExt;
use jackdawwick::fleet::target_key;
use jackdawwick::permits::PermitReply;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::host::{TestHost, request};
use super::stub_target::{Step, StubTarget, event, last_chunk, response, stream_head, with_header};

fn has_limit(host: &TestHost, id: &str) -> bool {
    let limits = host.tables.limits.lock();
    limits.limit(target_key(id)).is_some()
}

fn counts_panic(host: &TestHost, place: &str) -> bool {
    let line = format!("jackdawwick_panics_total{{cause=\"{place}\"}} 1\n");
    host.tables.metrics.encode().contains(&line)
}

/// Guards against a connection that closes without a response because handling panics.
#[tokio::test]
async fn a_request_whose_handling_panics_gets_a_500() {
    let limit = "server-limit: 1";
    let target = StubTarget::spawn(move |seen| {
        vec![with_header(response(seen.id(), "200 OK", "fine"), limit)]
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
    host.tables
        .set_permit_source(Arc::new(|_| panic!("the source of permits fails")));
    let failed = host.call("GET", "/safe/", "").await;
    assert_eq!(failed.status(), 500, "{failed:?}");
    assert!(failed.text.contains("\"verdict\":\"may_have_run\""));
    assert!(failed.text.contains("\"reason\":\"internal_error\""));
    assert_eq!(failed.header("x-jackdawwick-attempt-id"), Some("r1"));
    assert!(counts_panic(&host, "request"));
    assert_eq!(host.tables.in_flight.load(Ordering::Relaxed), 0);
}

/// Guards against a stream that ends without a line or a count because its relay panics.
#[tokio::test]
async fn a_stream_whose_relay_panics_is_cut_and_counted() {
    let breaks = Arc::new(AtomicBool::new(false));
    let script = |breaks: Arc<AtomicBool>| {
        move |seen: &super::SeenRequest| {
            let head = with_header(stream_head(seen.id()), "server-limit: 100");
            let end = match breaks.load(Ordering::Relaxed) {
                true => Step::Reset,
                false => last_chunk(),
            };
            vec![head, event(1), end]
        }
    };
    let engine = StubTarget::spawn(script(breaks.clone())).await;
    let other = StubTarget::spawn(script(breaks.clone())).await;
    let host = TestHost::open();
    host.add_engine("i-1", engine.address, 0, 80);
    host.add_engine("i-2", other.address, 0, 80);
    for _ in 0..100 {
        if has_limit(&host, "i-1") && has_limit(&host, "i-2") {
            break;
        }
        host.call("GET", "/stream/", "").await;
    }
    breaks.store(true, Ordering::Relaxed);
    let asked = AtomicUsize::new(0);
    host.tables.set_permit_source(Arc::new(move |_| {
        let is_first = asked.fetch_add(1, Ordering::Relaxed) == 0;
        assert!(is_first, "the source of permits fails");
        async { PermitReply::Unlimited }.boxed()
    }));
    let mut cut = host.call("GET", "/stream/", "").await;
    // Permits that are left from the first streams may serve some more.
    for _ in 0..20 {
        if counts_panic(&host, "stream") {
            break;
        }
        cut = host.call("GET", "/stream/", "").await;
    }
    assert!(counts_panic(&host, "stream"), "{cut:?}");
    assert_eq!((cut.status(), cut.event_ids()), (200, vec![1]));
    assert!(!cut.is_whole_stream());
    assert_eq!(host.tables.in_flight.load(Ordering::Relaxed), 0);
}

/// Guards against a panic over a deadline that is no number.
#[tokio::test]
async fn a_request_with_an_unusable_deadline_is_served() {
    let target = super::healthy_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    for deadline in ["NaN", "inf", "-inf", "-1", "1e999", "soon"] {
        let text = request("GET", "/safe/", "").replace("4000", deadline);
        let mut stream = host.connect().await;
        stream.write_all(text.as_bytes()).await.expect("sent");
        let mut response = String::new();
        let read = stream.read_to_string(&mut response).await;
        assert!(
            read.is_ok() && response.starts_with("HTTP/1.1 "),
            "{deadline}"
        );
    }
}

fn failures(host: &TestHost, cause: &str) -> usize {
    let start = format!("jackdawwick_connection_failures_total{{cause=\"{cause}\"}} ");
    let text = host.tables.metrics.encode();
    let count = text
        .lines()
        .find_map(|line| line.strip_prefix(&start)?.parse().ok());
    count.unwrap_or(0)
}

/// Guards against connections that end under a request without a trace.
#[tokio::test]
async fn a_connection_that_fails_under_a_request_is_counted() {
    let target = StubTarget::spawn(|_| vec![Step::Hold]).await;
    let engine =
        StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), Step::Reset]).await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    host.add_engine("i-2", engine.address, 0, 80);
    let mut idle = host.connect().await;
    let text = request("GET", "/other/", "").replace("Connection: close\r\n", "");
    idle.write_all(text.as_bytes()).await.expect("sent");
    idle.read_exact(&mut [0; 12]).await.expect("a response");
    let socket = socket2::SockRef::from(&idle);
    socket.set_linger(Some(Duration::ZERO)).expect("linger");
    drop(idle);
    let cut = host.call("GET", "/once/", "").await;
    assert!(!cut.is_whole_stream());
    assert_eq!(failures(&host, "response_cut"), 1);
    let mut leaving = host.connect().await;
    let text = request("GET", "/unsafe/", "");
    leaving.write_all(text.as_bytes()).await.expect("sent");
    while target.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(leaving);
    let until = Instant::now() + Duration::from_secs(5);
    while failures(&host, "caller_closed") == 0 && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(failures(&host, "caller_closed"), 1);
    assert_eq!(
        failures(&host, "connection"),
        0,
        "the idle connection counts"
    );
}
