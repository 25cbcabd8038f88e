//! Tests targets that limit their rate of requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::FutureExt;
use jackdawwick::fleet::target_key;
use jackdawwick::permits::PermitReply;

use super::host::TestHost;
use super::stub_target::{SeenRequest, Step, StubTarget, response, with_header};

/// Creates a response that names a limit, unless `limit` is empty.
fn limited(seen: &SeenRequest, status: &str, limit: &str) -> Vec<Step> {
    let response = response(seen.id(), status, "fine");
    vec![match limit {
        "" => response,
        limit => with_header(response, &format!("server-limit: {limit}")),
    }]
}

async fn spawn_limited(limit: &'static str) -> StubTarget {
    StubTarget::spawn(move |seen| limited(seen, "200 OK", limit)).await
}

fn named_limit(host: &TestHost, id: &str) -> Option<f64> {
    let limit = host.tables.limits.lock().limit(target_key(id));
    limit.map(|limit| limit.per_second())
}

/// Guards against limits that are read only from complete or only from successful
/// responses.
#[tokio::test]
async fn a_limit_is_read_from_successes_and_failures() {
    for status in ["200 OK", "500 Internal Server Error"] {
        let target = StubTarget::spawn(move |seen| limited(seen, status, "6.4")).await;
        let host = TestHost::open();
        host.add_plain("i-1", target.address);
        host.call("GET", "/unsafe/", "").await;
        assert_eq!(named_limit(&host, "i-1"), Some(6.4), "{status}");
    }
}

/// Guards against unusable values that stop a host from sending, or that it keeps as a
/// limit.
#[tokio::test]
async fn an_unusable_limit_changes_nothing() {
    for unusable in ["many", "-1", "inf", "NaN", "1\r\nserver-limit: 2"] {
        let target = spawn_limited(unusable).await;
        let host = TestHost::open();
        host.add_plain("i-1", target.address);
        for _ in 0..3 {
            assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
        }
        assert_eq!(named_limit(&host, "i-1"), None, "{unusable}");
    }
}

/// Guards against a limit that stays in effect after its target has stopped naming it.
#[tokio::test]
async fn a_limit_ends_with_a_response_that_does_not_name_it() {
    let received = Arc::new(AtomicUsize::new(0));
    let target = StubTarget::spawn(move |seen| {
        let limit = match received.fetch_add(1, Ordering::Relaxed) {
            0 => "20",
            _ => "",
        };
        limited(seen, "200 OK", limit)
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    host.call("GET", "/safe/", "").await;
    assert_eq!(named_limit(&host, "i-1"), Some(20.0));
    let until = Instant::now() + Duration::from_secs(5);
    while named_limit(&host, "i-1").is_some() && Instant::now() < until {
        host.call("GET", "/safe/", "").await;
    }
    assert_eq!(named_limit(&host, "i-1"), None);
}

/// Guards against requests that are refused although another target has no limit.
#[tokio::test]
async fn requests_over_a_limit_go_to_another_target() {
    let (target, other) = (spawn_limited("1").await, spawn_limited("").await);
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    host.add_plain("i-2", other.address);
    let mut attempts = 0;
    while named_limit(&host, "i-1").is_none() && attempts < 50 {
        host.call("GET", "/safe/", "").await;
        attempts += 1;
    }
    let before = target.seen().len();
    for _ in 0..20 {
        assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
    }
    assert!(target.seen().len() <= before + 2);
}

/// Guards against requests that wait until their deadline although no permit is due soon.
#[tokio::test]
async fn without_a_permit_a_request_is_refused_at_once_with_a_retry_after() {
    let target = spawn_limited("1").await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let retry_after = Duration::from_secs(2);
    let withheld = PermitReply::Withheld { retry_after };
    host.tables
        .set_permit_source(Arc::new(move |_| async move { withheld }.boxed()));
    assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 200);
    let began = Instant::now();
    let response = host.call("GET", "/unsafe/", "").await;
    assert!(began.elapsed() < Duration::from_millis(500));
    assert_eq!(response.status(), 503);
    assert!(response.text.contains("\"reason\":\"no_permit\""));
    let after = response
        .header("retry-after")
        .and_then(|after| after.parse().ok());
    assert!(
        after.is_some_and(|after: f64| (1.0..=3.0).contains(&after)),
        "{after:?}"
    );
    assert_eq!(target.seen().len(), 1);
}

/// Guards against requests that are refused although a permit is due in time.
#[tokio::test]
async fn a_request_waits_for_a_permit_that_is_due_soon() {
    let target = spawn_limited("20").await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    host.call("GET", "/safe/", "").await;
    tokio::time::sleep(Duration::from_millis(1100)).await;
    for _ in 0..5 {
        assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
    }
}
