//! Tests requests of a service whose routes have different priorities.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawwick::capacity::{CapacityView, PriorityDemand, ServiceCapacity, ZoneCapacity};
use jackdawwick::fleet::TargetLoad;
use jackdawwick::ingress::RouteRule;

use super::host::{TestHost, request};
use super::stub_target::{StubTarget, event, last_chunk, stream_head};
use tokio::io::AsyncWriteExt;

async fn engine() -> StubTarget {
    StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), last_chunk()]).await
}

/// Gives `/stream/` priority 0 and leaves the other routes of the service at 1.
fn declare_ranks(host: &TestHost, version: u64, urgent: u8) {
    let current = host.tables.configuration.load_full();
    let mut changed = (*current.expect("a configuration")).clone();
    changed.version = version;
    for route in changed.routes.values_mut().flatten() {
        if &*route.path_prefix == "/stream/" {
            *route = Arc::new(RouteRule {
                priority: urgent,
                ..(**route).clone()
            });
        }
    }
    host.tables.configuration.store(Some(Arc::new(changed)));
}

/// Stores a view of the zone with `free` slots and 40 urgent requests a second.
fn set_free(host: &TestHost, free: f64) {
    let zone = ZoneCapacity {
        zone: "z".into(),
        concurrent: 400.0,
        in_flight: 400.0 - free,
        prompt_per_s: 1e6,
        unread: 0.0,
        demand: vec![PriorityDemand {
            priority: 0,
            arrivals_per_s: 40.0,
            refused_per_s: 0.0,
            waiting: 0,
        }],
        organisations: Vec::new(),
        demand_age: Duration::ZERO,
    };
    let service = ServiceCapacity { zones: vec![zone] };
    host.tables.capacity.store(Arc::new(CapacityView {
        built_at: Some(Instant::now()),
        services: [("model".into(), service)].into(),
    }));
}

/// Reserves all memory of an engine, so that paths over it have no room.
fn fill(host: &TestHost, id: &str) -> TargetLoad {
    let load = TargetLoad {
        reserved: 1e12,
        ..TargetLoad::default()
    };
    host.tables.fleet.lock().observe_start(id, load);
    load
}

/// Guards against less urgent requests that take the capacity that the urgent ones need
/// before views show it.
#[tokio::test]
async fn without_headroom_only_the_most_urgent_route_is_served() {
    let target = engine().await;
    let host = TestHost::open();
    host.add_engine("i-1", target.address, 0, 80);
    declare_ranks(&host, 2, 0);
    set_free(&host, 10.0);
    assert_eq!(host.call("POST", "/stream/", "").await.status(), 200);
    let refused = host.call("POST", "/fixed/", "").await;
    assert_eq!(refused.status(), 503);
    assert!(refused.text.contains("\"verdict\":\"not_run\""));
    assert!(refused.header("retry-after").is_some());
    assert_eq!(target.seen().len(), 1);
    set_free(&host, 200.0);
    assert_eq!(host.call("POST", "/fixed/", "").await.status(), 200);
}

/// Guards against decisions that change where all routes of a service are equally urgent.
#[tokio::test]
async fn with_one_priority_nothing_is_held_back() {
    let target = engine().await;
    let host = TestHost::open();
    host.add_engine("i-1", target.address, 0, 80);
    set_free(&host, 0.0);
    assert_eq!(host.call("POST", "/fixed/", "").await.status(), 200);
    assert!(
        !host
            .tables
            .metrics
            .encode()
            .contains("start_decisions_total{")
    );
}

/// Guards against urgent requests that are refused although an engine has room a moment
/// later, and against refusals that take longer than an eighth of the objective.
#[tokio::test]
async fn only_the_most_urgent_route_waits_for_room() {
    let target = engine().await;
    let host = TestHost::open();
    host.add_engine("i-1", target.address, 0, 80);
    declare_ranks(&host, 2, 0);
    let load = fill(&host, "i-1");
    assert_eq!(host.call("POST", "/fixed/", "").await.status(), 503);
    assert_eq!(host.call("POST", "/stream/", "").await.status(), 503);
    let metrics = host.tables.metrics.encode();
    assert!(metrics.contains("start_decisions_total{cause=\"path_full\"} 1"));
    assert!(metrics.contains("start_decisions_total{cause=\"wait_over\"} 1"));
    let waiting = host.call("POST", "/stream/", "");
    let room = async {
        tokio::time::sleep(Duration::from_millis(15)).await;
        host.tables.fleet.lock().observe_end("i-1", load);
    };
    let (response, ()) = tokio::join!(waiting, room);
    assert_eq!(response.status(), 200);
    assert_eq!(target.seen().len(), 1);
}

/// Guards against a waiting request that is sent after its caller has left, and one that
/// keeps its old priority after a new configuration.
#[tokio::test]
async fn a_waiting_request_ends_with_its_caller_and_follows_the_configuration() {
    let target = engine().await;
    let host = TestHost::open();
    host.add_engine("i-1", target.address, 0, 80);
    declare_ranks(&host, 2, 0);
    let load = fill(&host, "i-1");
    let mut caller = host.connect().await;
    let text = request("POST", "/stream/", "");
    caller.write_all(text.as_bytes()).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(15)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(5)).await;
    host.tables.fleet.lock().observe_end("i-1", load);
    tokio::time::sleep(Duration::from_millis(150)).await;
    assert!(target.seen().is_empty());
    fill(&host, "i-1");
    let waiting = host.call("POST", "/stream/", "");
    let change = async {
        tokio::time::sleep(Duration::from_millis(15)).await;
        declare_ranks(&host, 3, 2);
    };
    let (response, ()) = tokio::join!(waiting, change);
    assert_eq!(response.status(), 503);
    let metrics = host.tables.metrics.encode();
    assert!(
        metrics.contains("start_decisions_total{cause=\"path_full\"} 1"),
        "{metrics}"
    );
}
