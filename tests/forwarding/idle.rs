//! Tests how long connections of callers are kept without a request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawwick::ingress::IngressConfiguration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::host::{TestHost, request};

/// Idle time of a configuration that keeps connections for 1.2 s with the margin.
const SHORT: Duration = Duration::from_millis(200);
const LONG: Duration = Duration::from_secs(5);
/// Pause of a caller, longer than the one limit and shorter than the other.
const PAUSE: Duration = Duration::from_millis(1800);

fn set_idle(host: &TestHost, idle: Duration) {
    let current = host.tables.configuration.load_full();
    let mut configuration = IngressConfiguration::clone(&current.expect("a configuration"));
    configuration.version += 1;
    configuration.limits.idle = idle;
    host.tables
        .configuration
        .store(Some(Arc::new(configuration)));
}

/// Sends a request on a kept connection; returns whether it got a response.
async fn is_answered(stream: &mut TcpStream) -> bool {
    let text = request("GET", "/other/", "").replace("Connection: close\r\n", "");
    let mut head = [0; 12];
    let sent = stream.write_all(text.as_bytes()).await;
    sent.is_ok() && stream.read_exact(&mut head).await.is_ok() && head.ends_with(b"404")
}

/// Reads the rest of a response with a short body, which has arrived.
async fn skip_response(stream: &mut TcpStream) {
    let mut rest = [0; 4096];
    let read = stream.read(&mut rest).await.expect("a response");
    assert!(read > 0 && read < rest.len());
}

/// Guards against connections closed early after a configuration allows longer pauses.
#[tokio::test]
async fn a_connection_is_kept_for_the_idle_time_of_a_newer_configuration() {
    let host = TestHost::open();
    set_idle(&host, SHORT);
    let mut used = host.connect().await;
    assert!(is_answered(&mut used).await);
    skip_response(&mut used).await;
    let mut unused = host.connect().await;
    tokio::time::sleep(SHORT).await;
    set_idle(&host, LONG);
    tokio::time::sleep(PAUSE).await;
    assert!(is_answered(&mut used).await, "after a request");
    assert!(is_answered(&mut unused).await, "before the first request");
}

/// Guards against connections that a configuration with a shorter limit closes early.
#[tokio::test]
async fn a_shorter_idle_time_applies_to_new_connections() {
    let host = TestHost::open();
    set_idle(&host, LONG);
    let mut stream = host.connect().await;
    assert!(is_answered(&mut stream).await);
    skip_response(&mut stream).await;
    set_idle(&host, SHORT);
    tokio::time::sleep(PAUSE).await;
    assert!(is_answered(&mut stream).await);
    let began = Instant::now();
    let mut unused = host.connect().await;
    let mut rest = Vec::new();
    unused.read_to_end(&mut rest).await.expect("an end");
    assert!(began.elapsed() >= SHORT && began.elapsed() < PAUSE);
}
