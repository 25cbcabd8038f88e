//! Tests streams through another host that is silent, or whose target is.

use std::time::{Duration, Instant};

use crate::REPORT;
use crate::gateway::{
    REPORT_BODY, TestGateway, add_blocked, closed_address, host_with, host_with_addresses,
    is_probe, stated,
};
use crate::host::{CallerResponse, TestHost};
use crate::json;
use crate::stub_target::{Step, StubTarget, event, last_chunk, response, stream_head};

/// A silence that a sound host or target may fall into.
const STANDSTILL: Duration = Duration::from_millis(1100);

/// Guards against a stream that ends at a silence that its host would have waited out without
/// a gateway.
#[tokio::test]
async fn a_stream_through_a_gateway_waits_for_an_engine_that_stands_still() {
    let still = StubTarget::spawn(|seen| match seen.head.starts_with(REPORT) {
        true => vec![Step::Hold],
        false => vec![
            stream_head(seen.id()),
            event(1),
            Step::Wait(STANDSTILL),
            event(2),
            last_chunk(),
        ],
    })
    .await;
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    host.add_engine("i-1", closed_address(), 0, 80);
    gateway.host.add_engine("i-1", still.address, 0, 80);
    let response = host.call("POST", "/stream/", "Content-Length: 0\r\n").await;
    assert_eq!(response.event_ids(), [1, 2], "{}", response.text);
    assert!(response.is_whole_stream(), "{}", response.text);
}

/// Sends a stream through a gateway that stands still after the first event, while another one
/// reaches the engine. Returns the response, and whether the engine was avoided meanwhile.
async fn stream_through_still_gateway() -> (CallerResponse, bool) {
    let engine = StubTarget::spawn(|_| vec![json(REPORT_BODY)]).await;
    let sound = TestGateway::open();
    sound.host.add_engine("i-1", engine.address, 0, 80);
    let still = StubTarget::spawn(|seen| match () {
        () if is_probe(seen) => vec![stated("reachable")],
        () if seen.head.starts_with(REPORT) => vec![Step::Hold],
        () => vec![
            stream_head(seen.id()),
            event(1),
            Step::Wait(STANDSTILL),
            event(2),
            last_chunk(),
        ],
    })
    .await;
    let (host, _) = host_with_addresses(vec![still.address, sound.handle.address]);
    host.add_engine("i-1", closed_address(), 0, 80);
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let avoiding = async {
        // A success ends the avoidance, so that it shows only before the end.
        let until = Instant::now() + STANDSTILL;
        while Instant::now() < until && !is_avoided(&host) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        is_avoided(&host)
    };
    tokio::join!(serving, avoiding)
}

fn is_avoided(host: &TestHost) -> bool {
    let fleet = host.tables.fleet.lock();
    let state = fleet.get("i-1").expect("known");
    state.is_silent(Instant::now())
}

/// Guards against a stream that is cut because its gateway stands still.
#[tokio::test]
async fn a_stream_waits_for_a_gateway_that_stands_still() {
    let (response, _) = stream_through_still_gateway().await;
    assert_eq!(response.event_ids(), [1, 2], "{}", response.text);
    assert!(response.is_whole_stream(), "{}", response.text);
}

/// Guards against a sound engine that is avoided because a gateway to it stands still.
#[tokio::test]
async fn an_engine_is_not_avoided_for_a_gateway_that_stands_still() {
    let (_, is_avoided) = stream_through_still_gateway().await;
    assert!(!is_avoided);
}

/// Guards against a request that may run once and fails because a target behind a gateway, or
/// the gateway, stands still before the response.
#[tokio::test]
async fn an_unsafe_request_waits_for_a_gateway_and_for_a_target_behind_it() {
    let late = || Step::Wait(Duration::from_millis(1900));
    let target = StubTarget::spawn(move |seen| vec![late(), response(seen.id(), "200 OK", "a")]);
    let target = target.await;
    let gateway = TestGateway::open();
    let (host, _) = host_with(&[&gateway]);
    add_blocked(&host, &[&gateway], "i-1", &target).await;
    let served = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(served.status(), 200, "{}", served.text);
    assert_eq!(target.seen().len(), 1);

    let still = StubTarget::spawn(move |seen| match is_probe(seen) {
        true => vec![stated("reachable")],
        false => vec![late(), response(seen.id(), "200 OK", "a")],
    });
    let still = still.await;
    let (host, _) = host_with_addresses(vec![still.address, gateway.handle.address]);
    add_blocked(&host, &[&gateway], "i-2", &target).await;
    let served = host.call("GET", "/unsafe/a", "").await;
    assert_eq!(served.status(), 200, "{}", served.text);
    assert_eq!(target.seen().len(), 1);
}
