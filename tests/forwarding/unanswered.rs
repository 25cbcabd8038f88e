//! Tests that a request that was read whole gets a response or a refusal.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use futures::FutureExt;
use jackdawwick::fleet::target_key;
use jackdawwick::permits::PermitReply;

use super::host::TestHost;
use super::stub_target::{Step, StubTarget, event, last_chunk, response, stream_head, with_header};

fn has_limit(host: &TestHost, id: &str) -> bool {
    let limits = host.tables.limits.lock();
    limits.limit(target_key(id)).is_some()
}

fn counts_panic(host: &TestHost, place: &str) -> bool {
    let line = format!("jackdawwick_panics_total{{cause=\"{place}\"}} 1\n");
    host.tables.metrics.encode().contains(&line)
}

/// Guards against a connection that closes without a response because handling panics.
#[tokio::test]
async fn a_request_whose_handling_panics_gets_a_500() {
    let limit = "server-limit: 1";
    let target = StubTarget::spawn(move |seen| {
        vec![with_header(response(seen.id(), "200 OK", "fine"), limit)]
    })
    .await;
    let host = TestHost::open();
    host.add_plain("i-1", target.address);
    assert_eq!(host.call("GET", "/safe/", "").await.status(), 200);
    host.tables
        .set_permit_source(Arc::new(|_| panic!("the source of permits fails")));
    let failed = host.call("GET", "/safe/", "").await;
    assert_eq!(failed.status(), 500, "{failed:?}");
    assert!(failed.text.contains("\"verdict\":\"may_have_run\""));
    assert!(failed.text.contains("\"reason\":\"internal_error\""));
    assert_eq!(failed.header("x-jackdawwick-attempt-id"), Some("r1"));
    assert!(counts_panic(&host, "request"));
    assert_eq!(host.tables.in_flight.load(Ordering::Relaxed), 0);
}

/// Guards against a stream that ends without a line or a count because its relay panics.
#[tokio::test]
async fn a_stream_whose_relay_panics_is_cut_and_counted() {
    let breaks = Arc::new(AtomicBool::new(false));
    let script = |breaks: Arc<AtomicBool>| {
        move |seen: &super::SeenRequest| {
            let head = with_header(stream_head(seen.id()), "server-limit: 100");
            let end = match breaks.load(Ordering::Relaxed) {
                true => Step::Reset,
                false => last_chunk(),
            };
            vec![head, event(1), end]
        }
    };
    let engine = StubTarget::spawn(script(breaks.clone())).await;
    let other = StubTarget::spawn(script(breaks.clone())).await;
    let host = TestHost::open();
    host.add_engine("i-1", engine.address, 0, 80);
    host.add_engine("i-2", other.address, 0, 80);
    for _ in 0..100 {
        if has_limit(&host, "i-1") && has_limit(&host, "i-2") {
            break;
        }
        host.call("GET", "/stream/", "").await;
    }
    breaks.store(true, Ordering::Relaxed);
    let asked = AtomicUsize::new(0);
    host.tables.set_permit_source(Arc::new(move |_| {
        let is_first = asked.fetch_add(1, Ordering::Relaxed) == 0;
        assert!(is_first, "the source of permits fails");
        async { PermitReply::Unlimited }.boxed()
    }));
    let mut cut = host.call("GET", "/stream/", "").await;
    // Permits that are left from the first streams may serve some more.
    for _ in 0..20 {
        if counts_panic(&host, "stream") {
            break;
        }
        cut = host.call("GET", "/stream/", "").await;
    }
    assert!(counts_panic(&host, "stream"), "{cut:?}");
    assert_eq!((cut.status(), cut.event_ids()), (200, vec![1]));
    assert!(!cut.is_whole_stream());
    assert_eq!(host.tables.in_flight.load(Ordering::Relaxed), 0);
}
