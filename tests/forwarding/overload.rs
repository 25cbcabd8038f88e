//! Tests callers of a host whose tasks run late and that has most requests of its zone.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use jackdawwick::fleet::TargetLoad;
use jackdawwick::forward::InFlightGuard;

use super::healthy_target;
use super::host::{TestHost, request};
use super::stub_target::StubTarget;

/// Opens a host that takes no new connections.
pub(crate) fn open_overloaded(target: &StubTarget) -> (TestHost, Vec<InFlightGuard>) {
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let load = TargetLoad {
        requests: 1,
        ..TargetLoad::default()
    };
    let open = || InFlightGuard::open(host.tables.clone(), vec![("i-1".into(), load)]);
    let guards = (0..20).map(|_| open()).collect();
    host.tables.observe_lag(Duration::from_secs(1), 1);
    (host, guards)
}

fn connect(host: &TestHost) -> TcpStream {
    TcpStream::connect(host.address()).expect("a connection")
}

async fn read(mut stream: TcpStream) -> String {
    let read = tokio::task::spawn_blocking(move || {
        let mut bytes = Vec::new();
        // A connection that is closed unread may end in a reset.
        let _ = stream.read_to_end(&mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    });
    read.await.expect("a read")
}

/// Guards against a request that waited in a socket and gets neither an answer nor a refusal.
#[tokio::test]
async fn a_request_that_waited_for_an_overloaded_host_is_refused() {
    let target = healthy_target().await;
    let (host, _guards) = open_overloaded(&target);
    for extra in ["", "Content-Length: 4\r\n"] {
        // The host cannot accept the connection before the test awaits.
        let mut stream = connect(&host);
        let mut text = request("POST", "/unsafe/", extra);
        if !extra.is_empty() {
            text += "body";
        }
        stream.write_all(text.as_bytes()).expect("sent");
        let response = read(stream).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("connection: close\r\n"));
        assert!(response.contains("retry-after: "));
        assert!(response.contains("x-jackdawwick-attempt-id: r1"));
        assert!(response.contains("\"reason\":\"host_overloaded\""));
        assert!(response.contains("\"verdict\":\"not_run\""));
    }
    assert!(target.seen().is_empty());
}

/// Guards against an overloaded host that waits for requests which callers can send elsewhere.
#[tokio::test]
async fn a_connection_without_a_request_is_closed_by_an_overloaded_host() {
    let target = healthy_target().await;
    let (host, _guards) = open_overloaded(&target);
    assert_eq!(read(connect(&host)).await, "");
    let metrics = host.tables.metrics.encode();
    let line = "jackdawwick_connections_closed_unread_total{cause=\"overloaded\"} 1\n";
    assert!(metrics.contains(line));
    for _ in 0..10 {
        host.tables.observe_lag(Duration::ZERO, 1);
    }
    assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
}
