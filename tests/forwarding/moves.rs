//! Requests that are moved away from engines that have ended or stall.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use jackdawwick::poison::{RequestIdentity, request_key};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::host::{CallerResponse, TestHost};
use crate::stub_target::{
    SeenRequest, Step, StubTarget, event, last_chunk, serve_once, stream_head,
};
use crate::{ORDER, REPORT, json};

/// An engine that takes connections and says nothing on them, until its
/// process ends: dropping it closes the port and all connections.
struct IdleEngine {
    address: SocketAddr,
    taken: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl IdleEngine {
    async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let taken = Arc::new(AtomicUsize::new(0));
        let counted = taken.clone();
        let task = tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                open.push(stream);
                counted.fetch_add(1, Ordering::Relaxed);
            }
        });
        Self {
            address,
            taken,
            task,
        }
    }
}

impl Drop for IdleEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Fails a test that would wait for ever where it should fail.
async fn bounded<F>(waiting: F) -> F::Output
where
    F: Future,
{
    let limit = Duration::from_secs(20);
    tokio::time::timeout(limit, waiting)
        .await
        .expect("an end within 20 s")
}

/// The paths of the orders that an engine got.
fn ordered_paths(engine: &StubTarget) -> Vec<String> {
    let seen = engine.seen().into_iter();
    let orders = seen.filter(|seen| seen.head.starts_with(ORDER));
    let bodies = orders.map(|order| String::from_utf8_lossy(&order.body).into_owned());
    bodies.collect()
}

/// The first engine of the paths: one event, a long pause, another event.
/// Reports that nobody is waited for but `stalled`, and answers orders as
/// `order` says.
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

/// Calls a stream; `meanwhile` runs once the first engine has the request.
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

/// Ends an engine once it is connected to.
async fn end(engine: IdleEngine) {
    while engine.taken.load(Ordering::Relaxed) == 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A host that was called, what the caller got, and the engine that came.
struct EndedPath {
    host: TestHost,
    response: CallerResponse,
    spare: SocketAddr,
}

/// Calls a stream over two engines. While it runs `meanwhile` does, another holder of the
/// second one's layers comes, and the second one ends.
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

/// Symptom: streams stand still for two seconds and end. Sequence: an engine
/// in the middle of the path dies. Cause: nobody asked the first engine whom
/// it waits for, or moved the request.
#[tokio::test]
async fn a_stalled_stream_is_moved_to_another_engine() {
    // Takes connections still, so that only the report tells.
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

/// Symptom: after the crash of an engine every stream that passed it pauses for
/// more than 350 ms. Sequence: the process of an engine in the middle of the
/// path ends; the first engine has not noticed yet. Cause: only silence told of
/// it, and only the first engine's report whom the stream waits for.
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

/// Symptom: a stream is cut although an engine with room holds the lost layers.
/// Sequence: an engine ends, the one that is to take over refuses. Cause: one
/// move was tried for each silence.
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
        // Dearer, so that the other one is asked first.
        let now = std::time::Instant::now();
        host.tables.fleet.lock().observe_pace("i-4", 8.0, now);
        end(ending).await;
    });
    assert_eq!(response.await.event_ids(), [1, 2]);
    let orders = ordered_paths(&first);
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert!(orders[1].contains(&format!("{}=50-80", other.address)));
}

/// Symptom: streams are cut around planned work though their engines go on. Sequence: an
/// engine that leaves takes no connections any more and still serves what passes it; the
/// next event comes after half a second; nobody takes over, and the attempts of the request
/// are used up. Cause: a silence was judged by what is known of the engine, and the stream
/// was cut for want of another attempt, before the engine itself had given it up.
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

/// Symptom: streams of three seconds and more are cut around planned work, though their
/// engines serve them to the end. Sequence: the first engine of a path leaves: it takes no
/// connections any more, and goes on with what it has; its next event comes after half a
/// second. The host asks it for a report, is refused a connection, and takes the stream up
/// elsewhere, where nobody has room. Cause: an engine that does not report was taken for
/// lost, though the connection on which it serves the stream stood.
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
    leaving.await.expect("it has served");
    assert_eq!(response.event_ids(), [1, 2]);
    assert!(response.is_whole_stream());
}

/// Symptom: a healthy request is refused for ten minutes. Sequence: three engines in the
/// middle of its paths are lost, one attempt after the other. Cause: whichever engine of
/// a path ended was held against the request, though the first one, which begins to run
/// it before all others, had survived it.
#[tokio::test]
async fn the_loss_of_a_later_engine_is_no_poison_evidence() {
    let first = pausing_engine("", |_| vec![json("{}")]).await;
    let ending = IdleEngine::spawn().await;
    let path = call_while_an_engine_ends(&first, ending, |_| ()).await;
    assert_eq!(path.response.event_ids(), [1, 2]);
    assert!(path.host.tables.poison.lock().is_empty());
}

/// Symptom: a request that is refused everywhere goes on to crash engines. Sequence: it
/// runs on a path while other hosts find out what it does; an engine of the path ends,
/// and the host moves the request to the next holder of its layers. Cause: only a new
/// attempt asked whether the request is refused.
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
        body: b"",
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
