//! Tests targets that state in their responses that they are leaving.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::host::{TestHost, request};
use super::stub_target::{
    SeenRequest, Step, StubTarget, event, last_chunk, response, stream_head, with_header,
};
use super::{ORDER, REPORT, json, not_executed};

async fn spawn_stating(line: &'static str, status: &'static str) -> StubTarget {
    StubTarget::spawn(move |seen| vec![with_header(response(seen.id(), status, "fine"), line)])
        .await
}

fn states_leaving(host: &TestHost, id: &str) -> bool {
    let fleet = host.tables.fleet.lock();
    fleet.get(id).is_some_and(|state| state.states_leaving)
}

/// Guards against new requests to a target that only its responses show to be leaving.
#[tokio::test]
async fn a_target_receives_nothing_after_it_states_that_it_is_leaving() {
    for status in ["200 OK", "500 Internal Server Error"] {
        let leaving = spawn_stating("server-leaving: 1", status).await;
        let host = TestHost::open();
        host.add_plain("i-1", leaving.address);
        host.call("GET", "/unsafe/", "").await;
        let began = Instant::now();
        let refused = host.call("GET", "/unsafe/", "").await;
        assert_eq!(refused.status(), 503, "{status}");
        assert!(began.elapsed() < Duration::from_millis(500));
        let healthy = spawn_stating("server-other: 1", "200 OK").await;
        host.add_plain("i-2", healthy.address);
        for _ in 0..10 {
            assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 200);
        }
        assert_eq!(leaving.seen().len(), 1, "{status}");
    }
}

/// Guards against targets that are left out though they have not stated that they are leaving.
#[tokio::test]
async fn other_values_and_other_targets_do_not_count() {
    let cases = [
        ("server-leaving: 0", "200 OK"),
        ("server-leaving:", "200 OK"),
        ("server-leaving: 1", "421 Misdirected Request"),
        (
            "x-jackdawwick-attempt-id: r9\r\nserver-leaving: 1",
            "200 OK",
        ),
    ];
    for (line, status) in cases {
        let target = spawn_stating(line, status).await;
        let host = TestHost::open();
        host.add_plain("i-1", target.address);
        host.call("GET", "/unsafe/", "").await;
        assert!(!states_leaving(&host, "i-1"), "{line}");
    }
}

/// Guards against a statement that a late heartbeat or a return to the log undoes.
#[tokio::test]
async fn neither_a_heartbeat_nor_a_return_to_the_log_undoes_the_statement() {
    let leaving = spawn_stating("server-leaving: 1", "200 OK").await;
    let host = TestHost::open();
    host.add_plain("i-1", leaving.address);
    host.call("GET", "/unsafe/", "").await;
    host.add_plain("i-1", leaving.address);
    assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 503);
    for _ in 0..2 {
        host.tables.fleet.lock().remove("i-1");
        host.add_plain("i-1", leaving.address);
        assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 503);
    }
    assert_eq!(leaving.seen().len(), 1);
    host.add_plain("i-2", leaving.address);
    assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 200);
}

/// Guards against missed statements in refusals and heads of streams, and cut streams.
#[tokio::test]
async fn a_stream_on_a_leaving_engine_ends_there() {
    let refuses = Arc::new(AtomicBool::new(false));
    let now_refuses = refuses.clone();
    let engine = StubTarget::spawn(move |seen| {
        let line = "server-leaving: 1";
        if now_refuses.load(Ordering::Relaxed) {
            return vec![with_header(not_executed(), line)];
        }
        vec![
            with_header(stream_head(seen.id()), line),
            event(1),
            Step::Wait(Duration::from_millis(300)),
            event(2),
            last_chunk(),
        ]
    })
    .await;
    let host = TestHost::open();
    host.add_engine("i-1", engine.address, 0, 80);
    let mut stream = host.connect().await;
    let begin = request("GET", "/stream/", "");
    stream.write_all(begin.as_bytes()).await.expect("sent");
    let mut head = [0; 64];
    stream.read_exact(&mut head).await.expect("a head");
    assert_eq!(host.call("GET", "/stream/", "").await.status(), 503);
    let mut rest = String::new();
    stream.read_to_string(&mut rest).await.expect("a stream");
    assert!(rest.contains("id: 2") && rest.ends_with("0\r\n\r\n"));
    assert_eq!(engine.seen().len(), 1);

    refuses.store(true, Ordering::Relaxed);
    let host = TestHost::open();
    host.add_engine("i-1", engine.address, 0, 80);
    host.call("GET", "/stream/", "").await;
    assert!(states_leaving(&host, "i-1"));
}

/// Guards against moves to a leaving engine, and missed statements in reports.
#[tokio::test]
async fn a_stalled_stream_is_not_moved_to_a_leaving_engine() {
    let stalled_at = "127.0.0.1:9";
    let steps = move |seen: &SeenRequest| match seen.head.as_str() {
        head if head.starts_with(REPORT) => {
            let body = format!(
                "{{\"stage\":\"both\",\"stalled\":[{{\"id\":\"r1\",\"address\":\"{stalled_at}\"}}]}}"
            );
            vec![with_header(json(&body), "server-leaving: 1")]
        }
        head if head.starts_with(ORDER) => vec![json("{}")],
        _ => vec![stream_head(seen.id()), event(1), Step::Hold],
    };
    let first = StubTarget::spawn(steps).await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 40);
    host.add_engine("i-2", stalled_at.parse().expect("an address"), 40, 80);
    host.add_engine("i-3", ([127, 0, 0, 1], 8).into(), 40, 80);
    host.tables.fleet.lock().observe_leaving("i-3");
    host.call("GET", "/once/", "").await;
    let seen = first.seen();
    let orders = seen.iter().filter(|seen| seen.head.starts_with(ORDER));
    assert_eq!(orders.count(), 0);
    assert!(states_leaving(&host, "i-1"));
}
