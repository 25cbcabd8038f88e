//! Tests requests that are moved away from engines that have ended or stall.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use jackdawwick::poison::{RequestIdentity, request_key};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::host::{CallerResponse, TestHost};
use crate::stub_target::{
    SeenRequest, Step, StubTarget, event, last_chunk, serve_once, stream_head,
};
use crate::{ORDER, REPORT, json};

/// An engine that accepts connections and sends nothing on them. Dropping it closes the
/// port and all connections, as the end of its process does.
struct IdleEngine {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl IdleEngine {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let accepted = Arc::new(AtomicUsize::new(0));
        let counted = accepted.clone();
        let task = tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                open.push(stream);
                counted.fetch_add(1, Ordering::Relaxed);
            }
        });
        Self {
            address,
            accepted,
            task,
        }
    }
}

impl Drop for IdleEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Fails a test that would otherwise wait forever.
async fn bounded<F>(waiting: F) -> F::Output
where
    F: Future,
{
    let limit = Duration::from_secs(20);
    tokio::time::timeout(limit, waiting)
        .await
        .expect("an end within 20 s")
}

/// Returns the bodies of the move orders that an engine received.
fn ordered_paths(engine: &StubTarget) -> Vec<String> {
    let seen = engine.seen().into_iter();
    let orders = seen.filter(|seen| seen.head.starts_with(ORDER));
    let bodies = orders.map(|order| String::from_utf8_lossy(&order.body).into_owned());
    bodies.collect()
}

/// Spawns the first engine of the paths, which sends one event, pauses and sends another
/// event. It reports the engines in `stalled` as stalled, and responds to orders with the
/// steps of `order`.
async fn pausing_engine<F>(stalled: &str, order: F) -> StubTarget
where
    F: Fn(&SeenRequest) -> Vec<Step> + Send + Sync + 'static,
{
    let report = format!(r#"{{"stalled":[{stalled}]}}"#);
    StubTarget::spawn(move |seen| match seen.head.as_str() {
        head if head.starts_with(REPORT) => vec![json(&report)],
        head if head.starts_with(ORDER) => order(seen),
        _ => vec![
            stream_head(seen.id()),
            event(1),
            Step::Wait(Duration::from_millis(1200)),
            event(2),
            last_chunk(),
        ],
    })
    .await
}

/// Calls a stream, and runs `meanwhile` once the first engine has the request.
async fn call_and<F>(host: &TestHost, first: &StubTarget, meanwhile: F) -> CallerResponse
where
    F: Future<Output = ()>,
{
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let acting = async {
        while first.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        meanwhile.await;
    };
    let (response, ()) = bounded(async { tokio::join!(serving, acting) }).await;
    response
}

/// Ends an engine once it has a connection.
async fn end(engine: IdleEngine) {
    while engine.accepted.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// The called host, the response to the caller, and the spare engine.
struct EndedPath {
    host: TestHost,
    response: CallerResponse,
    spare: SocketAddr,
}

/// Calls a stream over two engines. While it runs, `meanwhile` is called, another holder
/// of the second engine's layers is added, and the second engine ends.
async fn call_while_an_engine_ends<F>(
    first: &StubTarget,
    ending: IdleEngine,
    meanwhile: F,
) -> EndedPath
where
    F: FnOnce(&TestHost),
{
    let spare = IdleEngine::spawn().await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 50);
    host.add_engine("i-2", ending.address, 50, 80);
    let response = call_and(&host, first, async {
        meanwhile(&host);
        host.add_engine("i-3", spare.address, 50, 80);
        end(ending).await;
    });
    let response = response.await;
    EndedPath {
        host,
        response,
        spare: spare.address,
    }
}

fn refused_by(engine: SocketAddr) -> Vec<Step> {
    let body = format!(r#"{{"address":"{engine}"}}"#);
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 409 Conflict\r\ncontent-length: {length}\r\n\r\n{body}"
    ))]
}

/// Guards against streams that stall for two seconds and end after an engine in the
/// middle of the path dies: the host has to request the first engine's report and move
/// the request.
#[tokio::test]
async fn a_stalled_stream_is_moved_to_another_engine() {
    // It still accepts connections, so that only the report shows the fault.
    let dead = IdleEngine::spawn().await;
    let stalled = format!(r#"{{"id":"r1","address":"{}"}}"#, dead.address);
    let first = pausing_engine(&stalled, |_| vec![json("{}")]).await;
    let other = IdleEngine::spawn().await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 50);
    host.add_engine("i-2", dead.address, 50, 80);
    let response = call_and(&host, &first, async {
        host.add_engine("i-3", other.address, 50, 80);
    });
    assert_eq!(response.await.event_ids(), [1, 2]);
    let orders = ordered_paths(&first);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].contains("\"operation\":\"repath\""));
    assert!(orders[0].contains(&format!("{}=50-80", other.address)));
}

/// Guards against pauses of more than 350 ms in every stream that passes a crashed
/// engine. The first engine has not noticed the end yet, so the host has to detect it by
/// its own connection to the engine, before silence and reports show it.
#[tokio::test]
async fn a_stream_is_moved_as_soon_as_an_engine_of_its_path_ends() {
    let first = pausing_engine("", |_| vec![json("{}")]).await;
    let ending = IdleEngine::spawn().await;
    let path = call_while_an_engine_ends(&first, ending, |_| ()).await;
    assert_eq!(path.response.event_ids(), [1, 2]);
    let orders = ordered_paths(&first);
    assert_eq!(orders.len(), 1);
    assert!(orders[0].contains(&format!("{}=50-80", path.spare)));
}

/// Guards against a stream that is cut although an engine with room holds the lost
/// layers: the engine that is to take over refuses, and the next one has to be tried.
#[tokio::test]
async fn a_refused_move_is_retried_with_the_next_engine() {
    let ending = IdleEngine::spawn().await;
    let refusing = IdleEngine::spawn().await;
    let other = IdleEngine::spawn().await;
    let refused = refusing.address;
    let first = pausing_engine("", move |seen| {
        match String::from_utf8_lossy(&seen.body).contains(&refused.to_string()) {
            true => refused_by(refused),
            false => vec![json("{}")],
        }
    })
    .await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 50);
    host.add_engine("i-2", ending.address, 50, 80);
    let response = call_and(&host, &first, async {
        host.add_engine("i-3", refusing.address, 50, 80);
        host.add_engine("i-4", other.address, 50, 80);
        // `i-4` costs more, so that the refusing engine is tried first.
        let now = std::time::Instant::now();
        host.tables.fleet.lock().observe_pace("i-4", 8.0, now);
        end(ending).await;
    });
    assert_eq!(response.await.event_ids(), [1, 2]);
    let orders = ordered_paths(&first);
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert!(orders[1].contains(&format!("{}=50-80", other.address)));
}

/// Guards against a stream without attempts left that is cut while an engine of its path
/// shuts down. Such an engine accepts no connections but serves the requests that pass
/// it: the stream may be cut only once the engine has given it up.
#[tokio::test]
async fn a_stream_without_attempts_left_waits_for_its_engine() {
    let first = pausing_engine("", |_| vec![json("{}")]).await;
    let ending = IdleEngine::spawn().await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 50);
    host.add_engine("i-2", ending.address, 50, 80);
    let serving = host.call("POST", "/once/", "Content-Length: 0\r\n");
    let (response, ()) = bounded(async { tokio::join!(serving, end(ending)) }).await;
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream());
}

/// Guards against a stream that is taken from a first engine that shuts down. The engine
/// refuses the connection for a report, but the connection that serves the stream stays
/// open, and no other engine may have room.
#[tokio::test]
async fn a_stream_stays_with_a_first_engine_that_shuts_down() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let host = TestHost::open();
    host.add_engine("i-1", address, 0, 80);
    let leaving = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        drop(listener);
        let steps = |id: &str| {
            vec![
                stream_head(id),
                event(1),
                Step::Wait(Duration::from_millis(1200)),
                event(2),
                last_chunk(),
            ]
        };
        serve_once(stream, steps).await;
    });
    let serving = host.call("POST", "/stream/", "Content-Length: 0\r\n");
    let response = bounded(serving).await;
    leaving.await.expect("the engine has served the request");
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream());
}

/// Guards against a healthy request that is refused for ten minutes after three engines
/// in the middle of its paths were lost. Their loss is no evidence against the request,
/// as the first engine, which begins to run it before all others, survived it.
#[tokio::test]
async fn the_loss_of_a_later_engine_is_no_poison_evidence() {
    let first = pausing_engine("", |_| vec![json("{}")]).await;
    let ending = IdleEngine::spawn().await;
    let path = call_while_an_engine_ends(&first, ending, |_| ()).await;
    assert_eq!(path.response.event_ids(), [1, 2]);
    assert!(path.host.tables.poison.lock().is_empty());
}

/// Guards against a poison request that crashes more engines while it runs: an engine of
/// its path ends after other hosts have found it to be poison, and the host would move it
/// to the next holder of the layers.
#[tokio::test]
async fn a_poison_request_is_not_moved() {
    let ending = IdleEngine::spawn().await;
    let stalled = format!(r#"{{"id":"r1","address":"{}"}}"#, ending.address);
    let first = pausing_engine(&stalled, |_| vec![json("{}")]).await;
    let key = request_key(RequestIdentity {
        method: "POST",
        host: "a.example",
        path: "/stream/",
        organisation: Some("org"),
        body: &[],
    });
    let path = call_while_an_engine_ends(&first, ending, |host| {
        let now = std::time::Instant::now();
        for target in 1..=3 {
            host.tables.poison.lock().observe_end(key, target, now);
        }
    });
    let response = path.await.response;
    assert!(!response.is_whole_stream(), "{}", response.text);
    assert_eq!(ordered_paths(&first), Vec::<String>::new());
}

/// Guards against idle connections to engines that no request passes any more.
#[tokio::test]
async fn the_connection_that_watches_an_engine_is_closed_once_no_request_passes_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let first = pausing_engine("", |_| vec![]).await;
    let host = TestHost::open();
    host.add_engine("i-1", first.address, 0, 40);
    host.add_engine("i-2", address, 40, 80);
    let (mut watching, served) = bounded(async {
        let served = host.call("POST", "/stream/", "Content-Length: 0\r\n");
        let (accepted, served) = tokio::join!(listener.accept(), served);
        (accepted.expect("a connection").0, served)
    })
    .await;
    assert_eq!(served.event_ids(), [1, 2], "{}", served.text);
    assert!(served.is_whole_stream(), "{}", served.text);
    let closed = bounded(watching.read(&mut [0; 1])).await;
    assert_eq!(closed.expect("an orderly end"), 0);
}
