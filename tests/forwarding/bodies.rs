//! Tests bodies that do not arrive, or for which there is no room.

use std::time::Duration;

use jackdawwick::buffer::BufferPlan;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::host::{TestHost, request};
use crate::stub_target::{Step, StubTarget, response, stream_head};

const MEBIBYTE: usize = 1024 * 1024;
/// A host with room for one body of a mebibyte, and for three connections of callers.
const PLAN: BufferPlan = BufferPlan {
    request_bytes: MEBIBYTE,
    response_bytes: MEBIBYTE,
    head_bytes: MEBIBYTE,
    connections: 3,
    gateway_connections: 1,
};

/// Sends a request whose body stops one byte short.
async fn stall(host: &TestHost, deadline_ms: u32, bytes: usize) -> TcpStream {
    let mut stream = host.connect().await;
    let text = request("POST", "/unsafe/", &format!("Content-Length: {bytes}\r\n"));
    let text = text.replace("4000", &deadline_ms.to_string()) + &"x".repeat(bytes - 1);
    stream.write_all(text.as_bytes()).await.expect("sent");
    stream
}

async fn read_rest(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A host that closes with unread bytes resets the connection.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn echoing_target() -> StubTarget {
    StubTarget::spawn(|seen| vec![response(seen.id(), "200 OK", "fine")]).await
}

/// Guards against a body that is awaited for as long as its caller stays connected.
#[tokio::test]
async fn a_body_is_awaited_until_the_deadline() {
    let target = echoing_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let refused = read_rest(stall(&host, 300, 1000).await).await;
    assert!(refused.starts_with("HTTP/1.1 408"), "{refused}");
    assert!(refused.contains("\"verdict\":\"not_run\""), "{refused}");
    assert!(target.seen().is_empty());
}

/// Guards against small requests that find no room beside large ones, against a large one that
/// is held beyond the memory for it, and against bodies that stall for ever.
#[tokio::test]
async fn a_stalled_body_makes_way_for_another_one() {
    let target = echoing_target().await;
    let host = TestHost::open_with(PLAN, MEBIBYTE);
    host.add_plain("i-1", target.address);
    let stalled = stall(&host, 30_000, MEBIBYTE).await;
    while host
        .tables
        .encode_metrics()
        .contains("cause=\"request\"} 0")
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let body = "x".repeat(MEBIBYTE);
    let head = request(
        "POST",
        "/unsafe/",
        &format!("Content-Length: {MEBIBYTE}\r\n"),
    );
    let whole = head + &body;
    let mut large = host.connect().await;
    // The host may refuse it before it is sent.
    let _ = large.write_all(whole.as_bytes()).await;
    let refused = read_rest(large).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("\"reason\":\"no_memory\""), "{refused}");
    assert!(refused.contains("retry-after"), "{refused}");
    let small = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
    assert_eq!(small.status(), 200, "{}", small.text);
    tokio::time::sleep(Duration::from_millis(2100)).await;
    let mut large = host.connect().await;
    large.write_all(whole.as_bytes()).await.expect("sent");
    let served = read_rest(large).await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    let refused = read_rest(stalled).await;
    assert!(refused.starts_with("HTTP/1.1 408"), "{refused}");
    assert!(refused.contains("\"reason\":\"body_stalled\""), "{refused}");
}

/// Guards against callers that find no connection because others stay connected and send nothing,
/// or little.
#[tokio::test]
async fn a_connection_that_waits_for_its_caller_makes_way_for_another_one() {
    let target = StubTarget::spawn(|seen| match seen.head.contains("/unsafe/held") {
        true => vec![Step::Hold],
        false => vec![response(seen.id(), "200 OK", "fine")],
    });
    let target = target.await;
    let host = TestHost::open_with(PLAN, MEBIBYTE);
    host.add_plain("i-1", target.address);
    let mut busy = host.connect().await;
    let held = request("POST", "/unsafe/held", "Content-Length: 0\r\n");
    busy.write_all(held.as_bytes()).await.expect("sent");
    while target.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let idle = host.connect().await;
    let stalled = stall(&host, 30_000, 1000).await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    for _ in 0..2 {
        let served = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
        assert_eq!(served.status(), 200, "{}", served.text);
    }
    assert_eq!(read_rest(idle).await, "");
    // The first of the two calls has ended, so that the second one had its place.
    drop(stalled);
    let held = read_rest(busy).await;
    assert!(held.starts_with("HTTP/1.1 50"), "{held}");
}

/// Guards against a target that sends the size of a chunk without end, which the HTTP library reads
/// for as long as it comes.
#[tokio::test]
async fn a_chunk_size_without_end_breaks_the_connection() {
    let target = StubTarget::spawn(|seen| {
        let zeros = "0".repeat(MEBIBYTE);
        let Step::Write(head) = stream_head(seen.id()) else {
            return Vec::new();
        };
        let head = head.replace("text/event-stream", "text/plain");
        // Until the head is read, its own limit applies.
        let pause = Step::Wait(Duration::from_millis(100));
        vec![Step::Write(head), pause, Step::Write(zeros), Step::Hold]
    });
    let target = target.await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let broken = host.call("POST", "/unsafe/", "Content-Length: 0\r\n").await;
    // At the deadline it would be 504.
    assert_eq!(broken.status(), 502, "{}", broken.text);
}
