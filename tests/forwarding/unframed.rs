//! Tests responses without a length and without chunks, which end with their connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::early_end::closed_socket;
use crate::gateway::{TestGateway, add_blocked, host_with, host_with_addresses};
use crate::host::TestHost;
use crate::stub_target::{
    SeenRequest, Step, StubTarget, event, last_chunk, serve_once, stream_head, with_header,
};

const LEAVING: &str = "server-leaving: 1";

fn write(text: &str) -> Step {
    Step::Write(text.to_owned())
}

fn unframed_head(id: &str) -> Step {
    write(&format!(
        "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: {id}\r\nx-jackdawwick-server-seal: s\r\n\r\n"
    ))
}

fn unframed_event(id: u32) -> Step {
    write(&format!("id: {id}\ndata: t{id}\n\n"))
}

/// Spawns a target that closes the connection of its first request in order, as its process
/// ends.
async fn spawn_ending<F>(steps: F) -> SocketAddr
where
    F: Fn(&str) -> Vec<Step> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        drop(listener);
        serve_once(stream, steps).await;
    });
    address
}

/// Spawns an engine that sends the second of two events to who has the first.
async fn spawn_second_engine() -> StubTarget {
    StubTarget::spawn(|seen: &SeenRequest| {
        let mut steps = vec![unframed_head(seen.id())];
        if seen.header("last-event-id").is_none() {
            steps.push(unframed_event(1));
        }
        steps.push(unframed_event(2));
        steps
    })
    .await
}

/// Guards against a stream that looks complete because its engine crashed between two events.
#[tokio::test]
async fn a_stream_whose_engine_ends_between_events_is_resumed() {
    for last in [unframed_event(1), write("id: 1\ndata: t1\n\nid: 2\nda")] {
        let host = TestHost::open();
        let steps = move |id: &str| vec![unframed_head(id), last.clone()];
        host.add_engine("i-1", spawn_ending(steps).await, 0, 80);
        let second = spawn_second_engine().await;
        host.add_engine("i-2", second.address, 0, 80);
        // `i-2` costs more, so that it is the second choice.
        let now = std::time::Instant::now();
        host.tables.fleet.lock().observe_pace("i-2", 50.0, now);
        let served = host.call("POST", "/stream/a", "").await;
        assert_eq!(served.event_ids(), [1, 2], "{}", served.text);
        assert!(served.is_whole_stream(), "{}", served.text);
        let seen = second.seen();
        let resumed = seen.iter().map(|seen| seen.header("last-event-id"));
        assert_eq!(resumed.collect::<Vec<_>>(), [Some("1")]);
    }
}

/// Guards against evidence that a crash clears, because its end of the stream looks complete.
#[tokio::test]
async fn a_request_under_which_an_engine_ended_has_not_been_survived() {
    let host = TestHost::open();
    let steps = |id: &str| vec![unframed_head(id), unframed_event(1)];
    host.add_engine("i-1", spawn_ending(steps).await, 0, 80);
    host.call("POST", "/stream/a", "").await;
    assert_eq!(host.tables.poison.lock().len(), 1);
}

/// Guards against a complete response that is sent again because it has no length.
#[tokio::test]
async fn an_unframed_response_of_a_live_target_is_complete() {
    let host = TestHost::open();
    let engine = spawn_second_engine().await;
    host.add_engine("i-1", engine.address, 0, 80);
    let other = spawn_second_engine().await;
    host.add_engine("i-2", other.address, 0, 80);
    let served = host.call("POST", "/stream/a", "").await;
    assert_eq!(served.event_ids(), [1, 2], "{}", served.text);
    assert!(served.is_whole_stream(), "{}", served.text);
    assert_eq!(engine.seen().len() + other.seen().len(), 1);
    let plain = StubTarget::spawn(|seen| vec![unframed_head(seen.id()), write("fine")]).await;
    host.add_plain("i-3", plain.address);
    let served = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(served.status(), 200, "{}", served.text);
    assert!(served.text.ends_with("fine"), "{}", served.text);
    assert_eq!(plain.seen().len(), 1);
}

/// Guards against a truncated plain response that looks complete.
#[tokio::test]
async fn an_unframed_response_of_a_target_that_ended_is_not_complete() {
    let host = TestHost::open();
    let steps = |id: &str| vec![unframed_head(id), write("fi")];
    host.add_plain("i-1", spawn_ending(steps).await);
    let cut = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(cut.status(), 502, "{}", cut.text);
}

/// Guards against a response that is cut off and looks complete after a gateway, which adds
/// chunks.
#[tokio::test]
async fn an_unframed_response_is_judged_by_the_gateway() {
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    let whole = StubTarget::spawn(|seen| vec![unframed_head(seen.id()), write("fine")]).await;
    add_blocked(&host, &[&gateway], "i-1", &whole).await;
    let served = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(served.status(), 200, "{}", served.text);
    assert_eq!(whole.seen().len(), 1);
    let steps = |id: &str| vec![unframed_head(id), write("fi")];
    let ending = spawn_ending(steps).await;
    gateway.host.tables.fleet.lock().remove("i-1");
    gateway.host.add_plain("i-1", ending);
    let cut = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(cut.status(), 502, "{}", cut.text);
}

/// Guards against a truncated response that looks complete because its head names a transfer
/// coding without chunks, or a length that does not apply beside one.
#[tokio::test]
async fn only_chunks_mark_the_end_of_a_response_with_a_transfer_coding() {
    let lines = [
        "transfer-encoding: identity",
        "transfer-encoding: chunk",
        "transfer-encoding: chunked, identity",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity",
        "content-length: 4\r\ntransfer-encoding: identity",
    ];
    for line in lines {
        let head = move |id: &str| with_header(unframed_head(id), line);
        let plain = move |id: &str| vec![head(id), write("fi")];
        let host = TestHost::open();
        host.add_plain("i-1", spawn_ending(plain).await);
        let stream = move |id: &str| vec![head(id), unframed_event(1)];
        host.add_engine("i-2", spawn_ending(stream).await, 0, 80);
        let cut = host.call("GET", "/unsafe/a", "").await;
        assert_eq!(cut.status(), 502, "{line}: {}", cut.text);
        let cut = host.call("POST", "/once/a", "").await;
        assert!(!cut.is_whole_stream(), "{line}: {}", cut.text);
        let gateway = TestGateway::open();
        let (host, _) = host_with(&[&gateway]);
        let whole = StubTarget::spawn(move |seen| vec![head(seen.id()), write("fine")]).await;
        add_blocked(&host, &[&gateway], "i-1", &whole).await;
        let served = host.call("GET", "/unsafe/a", "").await;
        assert_eq!(served.status(), 200, "{line}: {}", served.text);
        let ending = spawn_ending(plain).await;
        gateway.host.tables.fleet.lock().remove("i-1");
        gateway.host.add_plain("i-1", ending);
        let cut = host.call("GET", "/unsafe/a", "").await;
        assert_eq!(cut.status(), 502, "{line}: {}", cut.text);
    }
}

/// Guards against a truncated response that looks complete because its host, which has lost
/// several targets at once, takes its own links for lost.
#[tokio::test]
async fn an_unframed_response_of_a_target_that_ended_is_not_complete_for_an_isolated_host() {
    for path in ["/once/a", "/unsafe/a"] {
        let peer = closed_socket();
        let peers = vec![peer.local_addr().expect("an address")];
        let (host, _) = host_with_addresses(peers);
        let pause = Step::Wait(Duration::from_millis(400));
        let steps = move |id: &str| vec![unframed_head(id), unframed_event(1), pause.clone()];
        let ending = spawn_ending(steps).await;
        match path {
            "/once/a" => host.add_engine("i-1", ending, 0, 80),
            _ => host.add_plain("i-1", ending),
        }
        let closed = [closed_socket(), closed_socket(), closed_socket()];
        let losing = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            for (id, socket) in ["i-2", "i-3", "i-4"].into_iter().zip(&closed) {
                host.add_plain(id, socket.local_addr().expect("an address"));
            }
            let calls = (0..3).map(|_| host.call("GET", "/safe/a", ""));
            let calls = futures::future::join_all(calls);
            let _ = tokio::time::timeout(Duration::from_millis(200), calls).await;
            assert!(host.tables.is_isolated(), "{path}");
        };
        let (cut, ()) = tokio::join!(host.call("POST", path, ""), losing);
        match path {
            "/once/a" => assert!(!cut.is_whole_stream(), "{}", cut.text),
            _ => assert_eq!(cut.status(), 502, "{}", cut.text),
        }
    }
}

/// Guards against a truncated response that looks complete because its target was leaving when
/// its process ended.
#[tokio::test]
async fn an_unframed_response_of_a_leaving_target_that_ended_is_not_complete() {
    let host = TestHost::open();
    let head = |id: &str| with_header(unframed_head(id), LEAVING);
    let stream = move |id: &str| vec![head(id), unframed_event(1)];
    host.add_engine("i-1", spawn_ending(stream).await, 0, 80);
    let cut = host.call("POST", "/once/a", "").await;
    assert_eq!(cut.event_ids(), [1], "{}", cut.text);
    assert!(!cut.is_whole_stream(), "{}", cut.text);
    let plain = move |id: &str| vec![head(id), write("fi")];
    host.add_plain("i-2", spawn_ending(plain).await);
    let cut = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(cut.status(), 502, "{}", cut.text);
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    let whole = spawn_second_engine().await;
    add_blocked(&host, &[&gateway], "i-3", &whole).await;
    let served = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(served.status(), 200, "{}", served.text);
    gateway.host.tables.fleet.lock().remove("i-3");
    gateway.host.add_plain("i-3", spawn_ending(plain).await);
    let cut = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(cut.status(), 502, "{}", cut.text);
}

/// Guards against a stream that looks complete because the entry of its engine was removed
/// before its process ended.
#[tokio::test]
async fn a_stream_whose_engine_ends_after_its_entry_is_resumed() {
    let host = TestHost::open();
    let pause = Step::Wait(Duration::from_millis(150));
    let steps = move |id: &str| vec![unframed_head(id), unframed_event(1), pause.clone()];
    host.add_engine("i-1", spawn_ending(steps).await, 0, 80);
    let second = spawn_second_engine().await;
    let replacing = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        host.tables.fleet.lock().remove("i-1");
        host.add_engine("i-2", second.address, 0, 80);
    };
    let (served, ()) = tokio::join!(host.call("POST", "/stream/a", ""), replacing);
    assert_eq!(served.event_ids(), [1, 2], "{}", served.text);
    assert!(served.is_whole_stream(), "{}", served.text);
    assert_eq!(second.seen().len(), 1);
}

/// Guards against a truncated response that looks complete because a connection is accepted
/// while the sockets of a process that ended are being closed.
#[tokio::test]
async fn an_unframed_response_is_not_complete_if_its_connection_closes_before_the_port() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        serve_once(stream, |id| vec![unframed_head(id), write("fi")]).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    });
    let host = TestHost::open();
    host.add_plain("i-1", address);
    let cut = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(cut.status(), 502, "{}", cut.text);
}

/// Guards against complete responses that are cut off because their target, which is leaving,
/// takes no new connections while it completes its requests.
#[tokio::test]
async fn an_unframed_response_of_a_target_with_other_open_connections_is_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (first, _) = listener.accept().await.expect("a connection");
        let pause = Step::Wait(Duration::from_millis(300));
        let running = |id: &str| vec![stream_head(id), event(1), pause.clone(), last_chunk()];
        let accepting = async {
            let (second, _) = listener.accept().await.expect("a connection");
            drop(listener);
            let head = |id: &str| with_header(unframed_head(id), LEAVING);
            serve_once(second, |id| vec![head(id), unframed_event(1)]).await;
        };
        tokio::join!(serve_once(first, running), accepting);
    });
    let host = TestHost::open();
    host.add_engine("i-1", address, 0, 80);
    let calling = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        host.call("POST", "/once/a", "").await
    };
    let (running, whole) = tokio::join!(host.call("POST", "/once/a", ""), calling);
    for served in [running, whole] {
        assert_eq!(served.event_ids(), [1], "{}", served.text);
        assert!(served.is_whole_stream(), "{}", served.text);
    }
}
