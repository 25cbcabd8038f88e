//! Tests which targets a host reports to others as ended, and that it counts demand.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::healthy_target;
use super::host::TestHost;
use super::stub_target::{Step, StubTarget};
use jackdawwick::fleet::target_key;
use jackdawwick::ids::TargetKey;

/// An address at which nothing listens.
fn closed() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn reported(host: &TestHost) -> Vec<TargetKey> {
    let ended = host.tables.fleet.lock().ended_targets(Instant::now());
    ended.into_iter().map(|target| target.key).collect()
}

/// Creates an engine that refuses each request and names the engine at `at`, if any.
async fn refusing_engine(at: Option<SocketAddr>) -> StubTarget {
    StubTarget::spawn(move |seen| {
        let at_fault = at.map_or_else(String::new, |at| format!("at-server: {at}\r\n"));
        let id = seen.id();
        vec![Step::Write(format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-jackdawwick-attempt-id: {id}\r\n\
             x-jackdawwick-server-seal: s\r\nx-jackdawwick-not-executed: 1\r\n{at_fault}\
             content-length: 0\r\n\r\n"
        ))]
    })
    .await
}

/// Guards against other hosts that send requests to a target which takes no connections.
#[tokio::test]
async fn a_target_that_refuses_connections_is_reported_and_a_response_ends_the_report() {
    let host = TestHost::open();
    host.add_plain("i-1", closed());
    host.call("GET", "/safe/", "").await;
    assert_eq!(reported(&host), [target_key("i-1")]);
    let healthy = healthy_target().await;
    host.add_plain("i-1", healthy.address);
    let later = Instant::now() + Duration::from_secs(10);
    host.tables.fleet.lock().readmit("i-1");
    assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
    assert!(reported(&host).is_empty());
    assert!(host.tables.fleet.lock().ended_targets(later).is_empty());
}

/// Guards against reports of engines that are only full: the responding one is alive.
#[tokio::test]
async fn only_another_engine_that_a_refusal_names_is_reported() {
    // It accepts connections, so that it is reported for being named only.
    let second = healthy_target().await;
    let named = vec![target_key("i-2")];
    for (at, expected) in [(Some(second.address), named), (None, vec![])] {
        let first = refusing_engine(at).await;
        let host = TestHost::open();
        host.add_engine("i-1", first.address, 0, 40);
        host.add_engine("i-2", second.address, 40, 80);
        host.call("GET", "/stream/", "").await;
        assert_eq!(reported(&host), expected, "{at:?}");
    }
}

/// Guards against demand that is counted after the choice of a target, so that refused
/// requests are missing.
#[tokio::test]
async fn arrivals_are_counted_also_if_they_are_refused() {
    let host = TestHost::open();
    host.call("GET", "/safe/", "").await;
    let later = Instant::now() + Duration::from_secs(1);
    let report = host.tables.demand.lock().own.report(later);
    assert_eq!(report.priorities.len(), 1);
    assert_eq!(report.organisations.len(), 1);
}
