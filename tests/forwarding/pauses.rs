//! Tests targets that refuse requests and state for how long they want no further ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::host::TestHost;
use super::stub_target::{SeenRequest, Step, StubTarget};

/// Creates the refusal of a request that did not run, with more header lines.
fn refusal(seen: &SeenRequest, status: &str, headers: &str) -> Vec<Step> {
    let id = seen.id();
    vec![Step::Write(format!(
        "HTTP/1.1 {status}\r\nx-jackdawwick-attempt-id: {id}\r\nx-jackdawwick-server-seal: s\r\n\
         x-jackdawwick-not-executed: 1\r\n{headers}content-length: 0\r\n\r\n"
    ))]
}

fn pause(host: &TestHost, id: &str) -> Duration {
    let fleet = host.tables.fleet.lock();
    let state = fleet.get(id).expect("a known target");
    state.pause(Instant::now())
}

/// Guards against pauses that are missed, or taken from responses that request none.
#[tokio::test]
async fn a_pause_is_read_from_refusals() {
    let cases = [
        ("503 Service Unavailable", "retry-after: 3\r\n", 3.0),
        ("503 Service Unavailable", "retry-after: 0.5\r\n", 0.5),
        ("503 Service Unavailable", "", 0.0),
        ("429 Too Many Requests", "retry-after: 3\r\n", 3.0),
        ("421 Misdirected Request", "retry-after: 3\r\n", 0.0),
        ("503 Service Unavailable", "retry-after: soon\r\n", 0.0),
        ("503 Service Unavailable", "retry-after: -1\r\n", 0.0),
        ("503 Service Unavailable", "retry-after: inf\r\n", 0.0),
        ("503 Service Unavailable", "retry-after: 1e300\r\n", 0.0),
    ];
    for (status, headers, seconds) in cases {
        let target = StubTarget::spawn(move |seen| refusal(seen, status, headers)).await;
        let host = TestHost::open();
        host.add_plain("i-1", target.address);
        let began = Instant::now();
        host.call("GET", "/safe/", "").await;
        let left = pause(&host, "i-1");
        let requested = Duration::from_secs_f64(seconds);
        assert!(left <= requested, "{status} {headers}");
        assert!(left + began.elapsed() >= requested, "{status} {headers}");
    }
}

/// Time within which requests that were on their way may still reach a target.
const GRACE: Duration = Duration::from_millis(500);

/// Adds a target that requests a pause of 3 s with every response, calls the host for
/// almost as long, and returns the number of requests that reached the target in the
/// pause.
async fn count_during_pause<F>(path: &str, add: F) -> usize
where
    F: Fn(&TestHost, SocketAddr),
{
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let seen = arrivals.clone();
    let target = StubTarget::spawn(move |request| {
        seen.lock().push(Instant::now());
        refusal(request, "503 Service Unavailable", "retry-after: 3\r\n")
    })
    .await;
    let host = TestHost::open();
    add(&host, target.address);
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(2800) {
        host.call("GET", path, "").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let arrivals = arrivals.lock();
    let late = arrivals.iter().filter(|at| **at > began + GRACE);
    late.count()
}

/// Guards against plain targets that are tried again although the pause that they
/// requested has not ended.
#[tokio::test]
async fn a_plain_target_receives_nothing_during_the_pause_that_it_requests() {
    let add = |host: &TestHost, address| host.add_plain("i-1", address);
    assert_eq!(count_during_pause("/safe/", add).await, 0);
}

/// Guards against engines that are tried again although the pause that they requested has
/// not ended.
#[tokio::test]
async fn an_engine_receives_nothing_during_the_pause_that_it_requests() {
    let add = |host: &TestHost, address| host.add_engine("i-1", address, 0, 80);
    assert_eq!(count_during_pause("/stream/", add).await, 0);
}
