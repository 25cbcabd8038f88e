//! Tests targets that refuse requests and state for how long they want no further ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::FutureExt;
use jackdawwick::permits::PermitReply;
use parking_lot::Mutex;

use super::healthy_target;
use super::host::TestHost;
use super::stub_target::{
    SeenRequest, Step, StubTarget, event, response, stream_head, with_header,
};

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
    state.remaining_pause(Instant::now())
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
        ("503 Service Unavailable", "retry-after: \r\n", 0.0),
        ("503 Service Unavailable", "retry-after: NaN\r\n", 0.0),
        (
            "503 Service Unavailable",
            "retry-after: Fri, 31 Dec 1999 23:59:59 GMT\r\n",
            0.0,
        ),
        (
            "503 Service Unavailable",
            "retry-after: 3\r\nretry-after: 3\r\n",
            0.0,
        ),
        ("200 OK", "retry-after: 3\r\n", 0.0),
        // No value takes a target out for good.
        ("503 Service Unavailable", "retry-after: 1e9\r\n", 3600.0),
        ("503 Service Unavailable", "retry-after: 1e300\r\n", 3600.0),
    ];
    for (status, headers, seconds) in cases {
        let target = StubTarget::spawn(move |seen| refusal(seen, status, headers)).await;
        let host = TestHost::open();
        host.add_plain("i-1", target.address);
        let began = Instant::now();
        host.call("GET", "/safe/", "").await;
        let left = pause(&host, "i-1");
        let requested = Duration::from_secs_f64(seconds);
        let longest = requested
            .mul_f64(1.1)
            .min(requested + Duration::from_secs(1));
        assert!(left <= longest, "{status} {headers}");
        assert!(left + began.elapsed() >= requested, "{status} {headers}");
    }
}

/// Length of the pause that the tests request unless they state another one.
const PAUSE: Duration = Duration::from_secs(3);

/// Adds a target that requests a pause with every response, calls the host one after the
/// other for as long, and returns the number of requests that reached the target between
/// the first one and the end of the pause.
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
    while began.elapsed() < PAUSE {
        host.call("GET", path, "").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let arrivals = arrivals.lock();
    let end = arrivals[0] + PAUSE;
    let during = arrivals[1..].iter().filter(|at| **at < end);
    during.count()
}

/// Guards against plain targets that are tried again before the end of their pause.
#[tokio::test]
async fn a_plain_target_receives_nothing_during_the_pause_that_it_requests() {
    let add = |host: &TestHost, address| host.add_plain("i-1", address);
    assert_eq!(count_during_pause("/safe/", add).await, 0);
}

/// Guards against engines that are tried again before the end of their pause.
#[tokio::test]
async fn an_engine_receives_nothing_during_the_pause_that_it_requests() {
    let add = |host: &TestHost, address| host.add_engine("i-1", address, 0, 80);
    assert_eq!(count_during_pause("/stream/", add).await, 0);
}

async fn spawn_pausing(headers: &'static str) -> StubTarget {
    StubTarget::spawn(move |seen| refusal(seen, "503 Service Unavailable", headers)).await
}

/// Guards against statements of another target at the address, or to another request.
#[tokio::test]
async fn a_pause_of_another_response_is_not_in_effect() {
    let target = StubTarget::spawn(|_| {
        vec![Step::Write(
            "HTTP/1.1 503 Service Unavailable\r\nx-jackdawwick-attempt-id: r9\r\n\
             retry-after: 3\r\ncontent-length: 0\r\n\r\n"
                .to_owned(),
        )]
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    host.call("GET", "/safe/", "").await;
    assert!(pause(&host, "i-1").is_zero());
}

/// Guards against a pause that an earlier request's success or a shorter pause ends.
#[tokio::test]
async fn only_its_end_ends_a_pause() {
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    let target = StubTarget::spawn(move |seen| match count.fetch_add(1, Ordering::Relaxed) {
        0 => vec![
            Step::Wait(Duration::from_millis(400)),
            response(seen.id(), "200 OK", "fine"),
        ],
        1 => {
            let mut steps = refusal(seen, "503 Service Unavailable", "retry-after: 0.1\r\n");
            steps.insert(0, Step::Wait(Duration::from_millis(200)));
            steps
        }
        _ => refusal(seen, "503 Service Unavailable", "retry-after: 3\r\n"),
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let call_after = |delay: u64| {
        let host = &host;
        async move {
            tokio::time::sleep(Duration::from_millis(delay)).await;
            host.call("GET", "/unsafe/", "").await
        }
    };
    let (success, ..) = tokio::join!(call_after(0), call_after(50), call_after(100));
    assert_eq!(success.status(), 200);
    assert!(pause(&host, "i-1") > Duration::from_secs(2));
    host.call("GET", "/unsafe/", "").await;
    assert_eq!(received.load(Ordering::Relaxed), 3);
}

/// Guards against requests that are refused although another target accepts them.
#[tokio::test]
async fn requests_go_to_another_target_during_a_pause() {
    let (pausing, healthy) = (
        spawn_pausing("retry-after: 3\r\n").await,
        healthy_target().await,
    );
    let host = TestHost::open();
    host.add_plain("i-1", pausing.address);
    host.add_plain("i-2", healthy.address);
    for _ in 0..30 {
        assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
    }
    assert!(pausing.seen().len() <= 1);
}

/// Guards against requests that are sent, or wait until their deadline, while all pause.
#[tokio::test]
async fn while_all_targets_pause_a_request_is_refused_at_once_with_a_retry_after() {
    for (path, is_plain) in [("/unsafe/", true), ("/stream/", false)] {
        let target = spawn_pausing("retry-after: 2\r\n").await;
        let host = TestHost::open();
        match is_plain {
            true => host.add_plain("i-1", target.address),
            false => host.add_engine("i-1", target.address, 0, 80),
        }
        host.call("GET", path, "").await;
        let began = Instant::now();
        let response = host.call("GET", path, "").await;
        assert!(began.elapsed() < Duration::from_millis(500));
        assert_eq!(response.status(), 503, "{path}");
        assert!(response.text.contains("\"verdict\":\"not_run\""));
        assert!(response.text.contains("\"reason\":\"targets_paused\""));
        let after = response.header("retry-after");
        let after = after.and_then(|after| after.parse::<f64>().ok());
        assert!(after.is_some_and(|after| after > 1.0), "{after:?}");
        assert_eq!(target.seen().len(), 1);
    }
}

/// Guards against requests that are refused although a pause ends within their time.
#[tokio::test]
async fn a_request_waits_for_a_pause_that_ends_soon() {
    let received = Arc::new(AtomicUsize::new(0));
    let target = StubTarget::spawn(move |seen| match received.fetch_add(1, Ordering::Relaxed) {
        0 => refusal(seen, "503 Service Unavailable", "retry-after: 0.1\r\n"),
        _ => vec![response(seen.id(), "200 OK", "fine")],
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    host.call("GET", "/unsafe/", "").await;
    assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 200);
    assert_eq!(target.seen().len(), 2);
}

/// Guards against requests that wait for one pause after the other.
#[tokio::test]
async fn a_request_waits_for_pauses_no_longer_than_for_one() {
    let target = healthy_target().await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let tables = host.tables.clone();
    let refusals = tokio::spawn(async move {
        loop {
            let until = Instant::now() + Duration::from_millis(100);
            tables.fleet.lock().observe_pause("i-1", until);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let began = Instant::now();
    let response = host.call("GET", "/unsafe/", "").await;
    refusals.abort();
    assert_eq!(response.status(), 503);
    assert!(began.elapsed() < Duration::from_millis(450));
    assert_eq!(target.seen().len(), 0);
}

/// Guards against a stream that is cut after several short pauses.
#[tokio::test]
async fn a_stream_that_finds_only_paused_engines_is_not_cut_for_want_of_a_permit() {
    let first = StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), Step::Reset]).await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 80);
    let tables = host.tables.clone();
    let refusals = tokio::spawn(async move {
        loop {
            let until = Instant::now() + Duration::from_millis(40);
            tables.fleet.lock().observe_pause("i-2", until);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    host.add_engine("i-2", ([127, 0, 0, 1], 9).into(), 0, 80);
    host.call("GET", "/stream/", "").await;
    refusals.abort();
    let metrics = host.tables.metrics.encode();
    assert!(
        metrics.contains("repairs_total{cause=\"cut\"}"),
        "{metrics}"
    );
    assert!(
        !metrics.contains("permits_total{cause=\"refused\"}"),
        "{metrics}"
    );
}

/// Guards against a pause in a response that arrives while the log does not list its target.
#[tokio::test]
async fn a_pause_that_an_unlisted_target_requests_is_in_effect_when_it_returns() {
    let target = StubTarget::spawn(|seen| {
        let mut steps = refusal(seen, "503 Service Unavailable", "retry-after: 3\r\n");
        steps.insert(0, Step::Wait(Duration::from_millis(200)));
        steps
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let drop_entry = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        host.tables.fleet.lock().remove("i-1");
    };
    tokio::join!(host.call("GET", "/unsafe/", ""), drop_entry);
    host.add_plain("i-1", target.address);
    host.call("GET", "/unsafe/", "").await;
    assert_eq!(target.seen().len(), 1);
}

/// Guards against a pause that is kept for the responding engine alone.
#[tokio::test]
async fn a_pause_holds_for_the_responding_engine_and_the_one_at_fault() {
    let first = StubTarget::spawn(|seen| {
        let at_fault = "retry-after: 3\r\nat-server: 127.0.0.1:9\r\n";
        refusal(seen, "503 Service Unavailable", at_fault)
    })
    .await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 40);
    host.add_engine("i-2", ([127, 0, 0, 1], 9).into(), 40, 80);
    host.call("GET", "/stream/", "").await;
    for id in ["i-1", "i-2"] {
        assert!(pause(&host, id) > Duration::from_secs(2), "{id}");
    }
}

/// Guards against a request that was chosen before a pause began and is sent during it.
#[tokio::test]
async fn a_request_that_waited_for_a_permit_is_not_sent_during_a_pause() {
    let target = StubTarget::spawn(|seen| {
        let response = response(seen.id(), "200 OK", "fine");
        vec![with_header(response, "server-limit: 10")]
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    let tables = Arc::downgrade(&host.tables);
    host.tables.set_permit_source(Arc::new(move |_| {
        let tables = tables.clone();
        async move {
            let until = Instant::now() + Duration::from_secs(3);
            if let Some(tables) = tables.upgrade() {
                tables.fleet.lock().observe_pause("i-1", until);
            }
            PermitReply::Granted {
                permits: 1,
                delay: Duration::ZERO,
                spacing: Duration::ZERO,
            }
        }
        .boxed()
    }));
    assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 200);
    assert_eq!(host.call("GET", "/unsafe/", "").await.status(), 503);
    assert_eq!(target.seen().len(), 1);
}

/// Guards against a pause that is forgotten while the log does not list the target.
#[tokio::test]
async fn a_pause_outlives_the_entry_of_its_target() {
    let target = spawn_pausing("retry-after: 3\r\n").await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    host.call("GET", "/unsafe/", "").await;
    host.tables.fleet.lock().remove("i-1");
    host.add_plain("i-1", target.address);
    host.call("GET", "/unsafe/", "").await;
    assert_eq!(target.seen().len(), 1);
}
