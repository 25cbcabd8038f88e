//! Tests requests under which engines end.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use jackdawwick::poison::{RequestSuspects, organisation_hash, part_key};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::host::TestHost;
use crate::stub_target::{
    SeenRequest, Step, StubTarget, event, last_chunk, response, serve_once, stream_head,
};

/// Path of the request that crashes engines.
const POISON: &str = "/stream/poison";
/// Path of a request that every engine completes.
const HEALTHY: &str = "/stream/sound";

/// An engine whose process ends as soon as it begins to run a poison request: all its
/// connections close, and its port refuses new ones.
struct FragileEngine {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
}

/// Stage of a poison request at which a fragile engine ends.
#[derive(Clone, Copy, PartialEq)]
enum EndsAfter {
    Head,
    Request,
}

impl FragileEngine {
    async fn spawn(ends_after: EndsAfter) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let ended = Arc::new(AtomicBool::new(false));
        let flag = ended.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                if serve(&mut stream, ends_after).await.is_none() {
                    drop(listener);
                    flag.store(true, Ordering::Relaxed);
                    return;
                }
            }
        });
        Self { address, ended }
    }

    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// Responds to one request; returns `None` if the engine does not survive it.
async fn serve(stream: &mut TcpStream, ends_after: EndsAfter) -> Option<()> {
    let mut part = [0; 4096];
    let read = stream.read(&mut part).await.unwrap_or(0);
    let head = String::from_utf8_lossy(&part[..read]).into_owned();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-jackdawwick-attempt-id: "));
    let id = id.unwrap_or_default();
    let started = format!(
        "HTTP/1.1 200 OK\r\nx-jackdawwick-attempt-id: {id}\r\nx-jackdawwick-server-seal: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if head.contains(POISON) && ends_after == EndsAfter::Request {
        return None;
    }
    let _ = stream.write_all(started.as_bytes()).await;
    if head.contains(POISON) {
        return None;
    }
    let event = "id: 1\ndata: t1\n\n";
    let events = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
    let _ = stream.write_all(events.as_bytes()).await;
    Some(())
}

/// Spawns engines that each hold all layers and adds them to the host.
async fn spawn_engines(host: &TestHost, numbers: Range<usize>) -> Vec<FragileEngine> {
    let mut engines = Vec::new();
    for number in numbers {
        let engine = FragileEngine::spawn(EndsAfter::Head).await;
        host.add_engine(&format!("i-{number}"), engine.address, 0, 80);
        engines.push(engine);
    }
    engines
}

fn ended(engines: &[FragileEngine]) -> usize {
    engines.iter().filter(|engine| engine.has_ended()).count()
}

/// Guards against one repeated request that ends up to ten engines in ten seconds, until
/// no zone has a holder of the first layers and five of six requests are refused. Each
/// engine closes its connections 50 to 170 ms after it got the request, which goes to the
/// next one.
#[tokio::test]
async fn a_request_that_crashed_three_engines_reaches_no_fourth() {
    let host = TestHost::open();
    let engines = spawn_engines(&host, 0..6).await;
    // The second attempt of the first call is made by the host itself.
    for _ in 0..2 {
        host.call("POST", POISON, "Content-Length: 0\r\n").await;
    }
    let refused = host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert_eq!(ended(&engines), 3);
    assert_eq!(refused.status(), 502, "{}", refused.text);
    assert!(refused.text.contains("\"verdict\":\"may_have_run\""));
    assert!(refused.text.contains("\"reason\":\"poison_request\""));
    // Other requests are served by the engines that are left.
    let served = host.call("POST", HEALTHY, "Content-Length: 0\r\n").await;
    assert!(served.is_whole_stream(), "{}", served.text);
}

/// Guards against a healthy request that is refused for a day because it ran on a rack
/// that lost power: two engines end under it, the third one completes it, and two more
/// end under it an hour later. Each completion has to clear the request.
#[tokio::test]
async fn a_request_that_an_engine_survives_is_served_again() {
    let host = TestHost::open();
    let survivor =
        StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), last_chunk()]).await;
    let lost = spawn_engines(&host, 0..2).await;
    host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert_eq!(ended(&lost), 2);
    host.add_engine("i-9", survivor.address, 0, 80);
    let served = host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert!(served.is_whole_stream(), "{}", served.text);
    // The surviving engine is ejected while two more engines end.
    let now = Instant::now();
    host.tables.fleet.lock().observe_silence("i-9", now);
    let more = spawn_engines(&host, 2..4).await;
    host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert_eq!(ended(&more), 2);
    host.tables
        .fleet
        .lock()
        .observe_success("i-9", Instant::now());
    let served = host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert!(served.is_whole_stream(), "{}", served.text);
}

/// Guards against callers that are refused for a day after a network fault: engines reset
/// the connections of a request, attempt after attempt, but their processes do not end.
#[tokio::test]
async fn a_connection_broken_by_a_live_engine_is_no_poison_evidence() {
    let host = TestHost::open();
    for number in 0..5 {
        let breaking = StubTarget::spawn(|seen| vec![stream_head(seen.id()), Step::Reset]).await;
        host.add_engine(&format!("i-{number}"), breaking.address, 0, 80);
    }
    for _ in 0..3 {
        let response = host.call("POST", POISON, "Content-Length: 0\r\n").await;
        assert!(
            !response.text.contains("poison_request"),
            "{}",
            response.text
        );
    }
}

/// Guards against a request that crashes more than three engines: a stream breaks with
/// its engine and is resumed at another one, which ends before it responds at all.
#[tokio::test]
async fn an_engine_that_ends_before_it_responds_counts() {
    let host = TestHost::open();
    let first = FragileEngine::spawn(EndsAfter::Head).await;
    host.add_engine("i-1", first.address, 0, 80);
    let second = FragileEngine::spawn(EndsAfter::Request).await;
    host.add_engine("i-2", second.address, 0, 80);
    // `i-2` costs more, so that it is the second choice.
    let now = Instant::now();
    host.tables.fleet.lock().observe_pace("i-2", 50.0, now);
    host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert!(first.has_ended() && second.has_ended());
    let third = spawn_engines(&host, 3..5).await;
    host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert_eq!(ended(&third), 1);
}

/// Guards against a request that crashes more engines after three have ended. Between two
/// crashes an engine responds with a failure at once, or with a stream that ends before
/// its first event. An engine that never began to run the request has not survived it.
#[tokio::test]
async fn a_response_without_a_run_does_not_clear_a_request() {
    let failing = |seen: &SeenRequest| vec![response(seen.id(), "500 Oops", "sorry")];
    let empty = |seen: &SeenRequest| vec![stream_head(seen.id()), last_chunk()];
    for script in [failing as fn(&SeenRequest) -> Vec<Step>, empty] {
        let host = TestHost::open();
        spawn_engines(&host, 0..2).await;
        host.call("POST", POISON, "Content-Length: 0\r\n").await;
        let responding = StubTarget::spawn(script).await;
        host.add_engine("i-9", responding.address, 0, 80);
        host.call("POST", POISON, "Content-Length: 0\r\n").await;
        assert_eq!(responding.seen().len(), 1);
        host.tables.fleet.lock().remove("i-9");
        let third = spawn_engines(&host, 3..5).await;
        host.call("POST", POISON, "Content-Length: 0\r\n").await;
        assert_eq!(ended(&third), 1);
    }
}

/// Guards against a healthy request that is refused after a network fault has healed. A
/// connection that was refused during the fault does not show that an engine has ended
/// when a later connection is reset.
#[tokio::test]
async fn an_engine_that_accepts_connections_again_has_not_ended() {
    let host = TestHost::open();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    host.add_engine("i-1", address, 0, 80);
    let cut = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        drop((listener, stream));
    });
    host.call("POST", HEALTHY, "Content-Length: 0\r\n").await;
    cut.await.expect("the connection was cut");
    assert_eq!(host.tables.poison.lock().len(), 1);
    let healed = TcpListener::bind(address).await.expect("the port again");
    host.tables
        .fleet
        .lock()
        .observe_success("i-1", Instant::now());
    tokio::spawn(async move {
        while let Ok((stream, _)) = healed.accept().await {
            let steps = |id: &str| vec![stream_head(id), Step::Reset];
            serve_once(stream, steps).await;
        }
    });
    host.call("POST", POISON, "Content-Length: 0\r\n").await;
    assert_eq!(host.tables.poison.lock().len(), 1);
}

/// Header of a request whose prompt has a poison part between two others.
const POISON_PARTS: &str =
    "Content-Length: 0\r\nX-Jackdawwick-Prompt-Prefix: 5a:40,badd:300,f1:50\r\n";

/// Records two targets that ended under different requests with the poison part, long enough
/// ago for it to be refused.
fn prove_poison_part(host: &TestHost) {
    let ended = Instant::now() - Duration::from_secs(2);
    let mut poison = host.tables.poison.lock();
    for number in 1..=2_u64 {
        let suspects = RequestSuspects {
            request: number << 40,
            organisation: organisation_hash(Some("org")),
            parts: vec![part_key("model", "badd")],
        };
        poison.observe_request_end(&suspects, number << 40, ended);
    }
}

/// Guards against a refusal that promises more or less than is true: a request that reached no
/// target has not run, one of which an attempt was sent may have run.
#[tokio::test]
async fn a_refusal_for_a_part_states_whether_the_request_was_sent() {
    let host = TestHost::open();
    let engine =
        StubTarget::spawn(|seen| vec![stream_head(seen.id()), event(1), last_chunk()]).await;
    host.add_engine("i-1", engine.address, 0, 80);
    prove_poison_part(&host);
    let refused = host.call("POST", "/stream/a", POISON_PARTS).await;
    assert_eq!(refused.status(), 503, "{}", refused.text);
    assert!(refused.text.contains("\"verdict\":\"not_run\""));
    assert!(refused.text.contains("\"reason\":\"poison_request\""));
    assert_eq!(refused.header("retry-after"), None);
    assert_eq!(engine.seen().len(), 0);
    let sound = POISON_PARTS.replace("badd", "600d");
    let served = host.call("POST", "/stream/a", &sound).await;
    assert!(served.is_whole_stream(), "{}", served.text);
    let seen = engine.seen();
    let parts = seen[0].header("x-jackdawwick-prompt-prefix");
    assert_eq!(parts, Some("5a:40,600d:300,f1:50"));
}

/// Guards against a request that is called not run although an engine broke under it before the
/// part was refused, and that is sent to another one.
#[tokio::test]
async fn a_request_in_flight_is_not_sent_again_once_its_part_is_refused() {
    let host = TestHost::open();
    let broken = |_: &SeenRequest| vec![Step::Wait(Duration::from_millis(300)), Step::Reset];
    let (first, second) = (
        StubTarget::spawn(broken).await,
        StubTarget::spawn(broken).await,
    );
    host.add_engine("i-1", first.address, 0, 80);
    host.add_engine("i-2", second.address, 0, 80);
    let call = host.call("POST", "/stream/a", POISON_PARTS);
    let proof = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        prove_poison_part(&host);
    };
    let (refused, ()) = tokio::join!(call, proof);
    assert_eq!(refused.status(), 502, "{}", refused.text);
    assert!(refused.text.contains("\"verdict\":\"may_have_run\""));
    assert_eq!(first.seen().len() + second.seen().len(), 1);
}
