//! Tests requests whose target sends nothing for a while and goes on.

use std::time::{Duration, Instant};

use jackdawwick::ingress::IngressConfiguration;
use jackdawwick::retry::WindowSettings;
use tokio::net::TcpListener;

use crate::host::TestHost;
use crate::stub_target::{Step, StubTarget, event, last_chunk, response, stream_head};
use crate::{REPORT, json, not_executed};

/// A silence that a sound target may fall into.
const STANDSTILL: Duration = Duration::from_millis(1100);

/// Leaves a host without retries, as after a second in which most targets fail.
fn spend_all_retries(host: &TestHost) {
    host.tables.set_budget(WindowSettings {
        window: Duration::from_secs(10),
        ratio: 0.0,
        slack: 0.0,
        opened: Instant::now(),
    });
}

/// Spawns an engine that stands still for `pause` after its first event, while it accepts
/// connections and sends nothing on any of them, and then completes its stream.
async fn still_engine(pause: Duration) -> StubTarget {
    StubTarget::spawn(move |seen| match seen.head.starts_with(REPORT) {
        true => vec![Step::Hold],
        false => vec![
            stream_head(seen.id()),
            event(1),
            Step::Wait(pause),
            event(2),
            last_chunk(),
        ],
    })
    .await
}

/// Spawns an engine that stands still before the head of a stream.
async fn engine_still_before_its_first_event() -> StubTarget {
    StubTarget::spawn(|seen| match seen.head.starts_with(REPORT) {
        true => vec![Step::Hold],
        false => vec![
            Step::Wait(Duration::from_millis(1500)),
            stream_head(seen.id()),
            event(1),
            last_chunk(),
        ],
    })
    .await
}

/// Spawns an engine that resumes streams with the steps that `resumed` returns.
async fn resuming_engine<F>(resumed: F) -> StubTarget
where
    F: Fn(&str) -> Vec<Step> + Send + Sync + 'static,
{
    StubTarget::spawn(move |seen| match seen.head.starts_with(REPORT) {
        true => vec![json("{}")],
        false => resumed(seen.id()),
    })
    .await
}

fn attempts(target: &StubTarget) -> usize {
    let seen = target.seen().into_iter();
    seen.filter(|seen| !seen.head.starts_with(REPORT)).count()
}

/// Guards against a stream that is cut while its engine stands still, for want of a retry.
#[tokio::test]
async fn a_stream_without_a_retry_waits_for_an_engine_that_stands_still() {
    let still = still_engine(STANDSTILL).await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    spend_all_retries(&host);
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let adding = async {
        while still.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let other = resuming_engine(|id| vec![stream_head(id), event(2), last_chunk()]).await;
        host.add_engine("i-2", other.address, 0, 80);
        other
    };
    let (response, other) = tokio::join!(serving, adding);
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream(), "{}", response.text);
    assert_eq!(attempts(&other), 0);
}

/// Guards against a stream that is cut while its engine stands still, for want of a target.
#[tokio::test]
async fn a_stream_without_another_target_waits_for_an_engine_that_stands_still() {
    let still = still_engine(STANDSTILL).await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    let response = host.call("POST", "/stream/", "Content-Length: 0\r\n").await;
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream(), "{}", response.text);
}

/// Guards against a stream that is cut because its hedge fails.
#[tokio::test]
async fn a_stream_continues_after_its_hedge_has_failed() {
    for failing in [vec![not_executed()], vec![Step::Reset]] {
        let still = still_engine(Duration::from_millis(1800)).await;
        let host = TestHost::open();
        host.add_engine("i-1", still.address, 0, 80);
        let other = resuming_engine(move |_| failing.clone()).await;
        let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
        let adding = async {
            while still.seen().is_empty() {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            host.add_engine("i-2", other.address, 0, 80);
        };
        let (response, ()) = tokio::join!(serving, adding);
        assert_eq!(response.event_ids(), [1, 2]);
        assert!(response.is_whole_stream(), "{}", response.text);
        assert_eq!(attempts(&other), 1);
    }
}

/// Guards against a retry that a long stream keeps from others after its hedge found no connection.
#[tokio::test]
async fn a_hedge_that_is_not_sent_returns_its_retry_while_its_stream_goes_on() {
    let still = still_engine(Duration::from_millis(2500)).await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let closed = listener.local_addr().expect("an address");
    drop(listener);
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let returned = async {
        while still.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        host.add_engine("i-2", closed, 0, 80);
        let unsent = "retry_grants_total{cause=\"unsent\"}";
        let until = Instant::now() + STANDSTILL * 3;
        while !host.tables.metrics.encode().contains(unsent) && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let usage = host.tables.retry_usage(Instant::now());
        let spent = usage.iter().map(|(_, usage)| usage.spent);
        (Instant::now(), spent.sum::<usize>())
    };
    let served = async { (serving.await, Instant::now()) };
    let ((response, ended), (returned, spent)) = tokio::join!(served, returned);
    assert!(response.is_whole_stream(), "{}", response.text);
    assert!(returned < ended);
    assert_eq!(spent, 0);
}

/// Guards against events that are missing or come twice after two attempts of a stream ran at
/// the same time.
#[tokio::test]
async fn the_first_attempt_with_a_next_event_continues_a_silent_stream() {
    let still = still_engine(Duration::from_secs(20)).await;
    let other = resuming_engine(|id| vec![stream_head(id), event(2), event(3), last_chunk()]);
    let other = other.await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let adding = async {
        while still.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        host.add_engine("i-2", other.address, 0, 80);
    };
    let (response, ()) = tokio::join!(serving, adding);
    assert_eq!(response.event_ids(), [1, 2, 3]);
    assert!(response.is_whole_stream(), "{}", response.text);
    let resumed = other.seen().into_iter();
    let mut resumed = resumed.filter(|seen| !seen.head.starts_with(REPORT));
    let resumed = resumed.next().expect("a hedge");
    assert_eq!(resumed.header("last-event-id"), Some("1"));
}

/// Guards against a hedge that takes over although the first attempt went on.
#[tokio::test]
async fn a_stream_that_goes_on_keeps_its_engine_and_the_other_attempt_is_closed() {
    let still = still_engine(Duration::from_millis(1900)).await;
    let other = resuming_engine(|id| vec![stream_head(id), Step::Hold]).await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let adding = async {
        while still.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        host.add_engine("i-2", other.address, 0, 80);
    };
    let (response, ()) = tokio::join!(serving, adding);
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream(), "{}", response.text);
    assert_eq!(attempts(&other), 1);
    while other.closed() == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Guards against a request that fails because its engine stands still before its first event.
#[tokio::test]
async fn a_stream_without_a_retry_waits_for_its_first_event() {
    let still = engine_still_before_its_first_event().await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    spend_all_retries(&host);
    let response = host.call("POST", "/stream/", "Content-Length: 0\r\n").await;
    assert_eq!(response.status(), 200, "{}", response.text);
    assert_eq!(response.event_ids(), [1]);
    assert_eq!(attempts(&still), 1);
}

/// Guards against a stream that may run once and fails because its engine stands still.
#[tokio::test]
async fn a_stream_that_may_run_once_waits_for_its_first_event() {
    let still = engine_still_before_its_first_event().await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    let response = host.call("POST", "/fixed/", "Content-Length: 0\r\n").await;
    assert_eq!(response.status(), 200, "{}", response.text);
    assert_eq!(response.event_ids(), [1]);
}

/// Guards against a whole response that is given up at half of its deadline for want of a retry.
#[tokio::test]
async fn an_idempotent_request_without_a_retry_waits_for_its_response() {
    let late = StubTarget::spawn(|seen| {
        let pause = Step::Wait(Duration::from_millis(1900));
        vec![pause, response(seen.id(), "200 OK", "fine")]
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", late.address);
    spend_all_retries(&host);
    let response = host.call("GET", "/safe/", "").await;
    assert_eq!(response.status(), 200, "{}", response.text);
    assert_eq!(late.seen().len(), 1);
}

/// Guards against a whole response that is lost because its hedge fails.
#[tokio::test]
async fn an_idempotent_request_gets_the_first_response_of_two_attempts() {
    for other in [Step::Reset, Step::Hold] {
        let late = StubTarget::spawn(|seen| {
            let pause = Step::Wait(Duration::from_millis(2200));
            vec![pause, response(seen.id(), "200 OK", "first")]
        })
        .await;
        let other = StubTarget::spawn(move |_| vec![other.clone()]).await;
        let host = TestHost::open();
        host.add_plain("i-1", late.address);
        let serving = host.call("GET", "/safe/", "");
        let adding = async {
            while late.seen().is_empty() {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
            host.add_plain("i-2", other.address);
        };
        let (response, ()) = tokio::join!(serving, adding);
        assert!(response.text.ends_with("first"), "{}", response.text);
        assert_eq!(other.seen().len(), 1);
    }
}

/// Guards against a target that is avoided because a request that has to wait for it takes long.
#[tokio::test]
async fn a_long_response_that_may_not_be_repeated_is_no_failure_of_its_target() {
    let late = StubTarget::spawn(|seen| {
        let pause = Step::Wait(Duration::from_millis(1900));
        vec![pause, response(seen.id(), "200 OK", "fine")]
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", late.address);
    let calls = [0, 1].map(|_| host.call("POST", "/unsafe/", "Content-Length: 0\r\n"));
    let checking = async {
        tokio::time::sleep(Duration::from_millis(1800)).await;
        let fleet = host.tables.fleet.lock();
        let state = fleet.get("i-1");
        state.is_some_and(|state| state.is_usable(Instant::now()))
    };
    let (responses, is_usable) = tokio::join!(futures::future::join_all(calls), checking);
    assert!(responses.iter().all(|response| response.status() == 200));
    assert!(is_usable);
}

/// Guards against a failure of a target that is replaced by one of the host.
#[tokio::test]
async fn the_failure_that_a_target_returned_is_passed_on_if_the_other_attempt_breaks() {
    let failing = StubTarget::spawn(|seen| {
        let pause = Step::Wait(Duration::from_millis(1700));
        vec![pause, response(seen.id(), "500 Oops", "sorry")]
    })
    .await;
    let other = StubTarget::spawn(|_| vec![Step::Wait(Duration::from_millis(600)), Step::Reset]);
    let other = other.await;
    let host = TestHost::open();
    host.add_plain("i-1", failing.address);
    let serving = host.call("GET", "/safe/", "");
    let adding = async {
        while failing.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        host.add_plain("i-2", other.address);
    };
    let (response, ()) = tokio::join!(serving, adding);
    assert_eq!(response.status(), 500, "{}", response.text);
    assert!(response.text.ends_with("sorry"), "{}", response.text);
    assert_eq!(other.seen().len(), 1);
}

/// Guards against a stream that ends because its service is removed while its engine stands still.
#[tokio::test]
async fn a_silent_stream_outlasts_the_removal_of_its_service() {
    let still = still_engine(STANDSTILL).await;
    let host = TestHost::open();
    host.add_engine("i-1", still.address, 0, 80);
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let removing = async {
        while still.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let configuration = IngressConfiguration {
            version: 2,
            ..IngressConfiguration::default()
        };
        host.tables.configuration.store(Some(configuration.into()));
    };
    let (response, ()) = tokio::join!(serving, removing);
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream(), "{}", response.text);
}
