//! The reader of the platform's log: its formats, and failures of the log service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawwick::entry::{FollowCursor, LogCopy, LogRole, TargetTiming, follow_targets};
use jackdawwick::forward::ServingTables;
use jackdawwick::ids::LogPosition;
use jackdawwick::platform::log_calls::{CallTimeouts, LogClient, LogError};
use jackdawwick::retry::WindowSettings;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: CallTimeouts = CallTimeouts {
    connect: Duration::from_millis(150),
    response: Duration::from_millis(150),
    newest: Duration::from_millis(150),
};
const USUAL_TIMING: TargetTiming = TargetTiming {
    drain: Duration::from_millis(600),
    heartbeat: Duration::from_millis(1200),
};

/// Serves the responses of each connection in turn. A connection whose responses are used
/// up goes silent and stays open.
async fn spawn_log(connections: Vec<Vec<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for responses in connections {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            tokio::spawn(async move {
                let mut part = [0; 4096];
                for response in responses {
                    if !matches!(stream.read(&mut part).await, Ok(1..)) {
                        return;
                    }
                    let _ = stream.write_all(&response).await;
                }
                while matches!(stream.read(&mut part).await, Ok(1..)) {}
            });
        }
    });
    address
}

fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn position(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

fn record(key: &str, value: &[u8]) -> Vec<u8> {
    let length = u32::try_from(1 + key.len() + value.len()).expect("short");
    let key_length = u8::try_from(key.len()).expect("short");
    [
        &length.to_be_bytes()[..],
        &[key_length],
        key.as_bytes(),
        value,
    ]
    .concat()
}

fn read_body(end: u64, first: u64, records: &[Vec<u8>]) -> Vec<u8> {
    [
        &end.to_be_bytes()[..],
        &first.to_be_bytes(),
        &records.concat(),
    ]
    .concat()
}

#[tokio::test]
async fn records_are_read_with_their_keys_and_dropped_keys_have_no_value() {
    let body = read_body(7, 2, &[record("a", b"one"), record("b", b"")]);
    let address = spawn_log(vec![vec![response("200 OK", &body)]]).await;
    let mut reader = LogClient::open(address, LIMIT);
    let read = reader
        .read("keyed.servers", position(5), Duration::ZERO)
        .await
        .expect("records");
    assert_eq!(read.next, position(7));
    assert_eq!(read.records[0].value.as_deref(), Some(&b"one"[..]));
    assert_eq!(
        (read.records[1].key.as_str(), &read.records[1].value),
        ("b", &None)
    );
}

/// Guards against a reader that never gets past a record without a whole key.
#[tokio::test]
async fn a_record_without_a_whole_key_does_not_hide_the_others() {
    let odd = [
        &0_u32.to_be_bytes()[..],
        &3_u32.to_be_bytes(),
        &[200, b'a', b'b'],
    ];
    let records = [record("a", b"1"), odd.concat(), record("b", b"2")];
    let body = read_body(4, 0, &records);
    let address = spawn_log(vec![vec![response("200 OK", &body)]]).await;
    let mut client = LogClient::open(address, LIMIT);
    let read = client.read("t", position(0), Duration::ZERO).await;
    let read = read.expect("records");
    let keys = read.records.iter().map(|record| record.key.as_str());
    assert_eq!(keys.collect::<Vec<_>>(), ["a", "", "", "b"]);
    assert_eq!(read.next, position(4));
}

/// Guards against a reader that never gets past a page with a value that is not in base64.
#[tokio::test]
async fn a_newest_value_that_cannot_be_decoded_does_not_hide_the_others() {
    let body = br#"{"items":[{"key":"a","value":"***","offset":0},
        {"key":"b","value":"Mg==","offset":1}],"end_offset":2}"#;
    let address = spawn_log(vec![vec![response("200 OK", body)]]).await;
    let mut client = LogClient::open(address, LIMIT);
    let read = client.newest("t").await.expect("records");
    let values = read.records.iter().map(|record| record.value.as_deref());
    let values = values.collect::<Vec<_>>();
    assert_eq!(values, [Some(&b"***"[..]), Some(&b"2"[..])]);
}

#[tokio::test]
async fn newest_records_are_read_page_by_page() {
    let first =
        br#"{"items":[{"key":"a","value":"b25l","offset":4}],"has_more":true,"end_offset":6}"#;
    let second =
        br#"{"items":[{"key":"b","value":"dHdv","offset":7}],"has_more":false,"end_offset":9}"#;
    let pages = vec![response("200 OK", first), response("200 OK", second)];
    let mut reader = LogClient::open(spawn_log(vec![pages]).await, LIMIT);
    let read = reader.newest("keyed.op").await.expect("records");
    // Reading on from the end of the first page covers what the later pages lack.
    assert_eq!(read.next, position(6));
    assert_eq!(read.records.len(), 2);
    assert_eq!(read.records[1].value.as_deref(), Some(&b"two"[..]));
}

#[tokio::test]
async fn deleted_history_is_reported_in_both_forms() {
    let gone = response("410 Gone", br#"{"first_offset":9}"#);
    let skipped = response("200 OK", &read_body(12, 9, &[]));
    for responses in [vec![gone], vec![skipped]] {
        let mut reader = LogClient::open(spawn_log(vec![responses]).await, LIMIT);
        let read = reader.read("keyed.op", position(5), Duration::ZERO).await;
        assert_eq!(read, Err(LogError::Deleted));
    }
}

/// Guards against an old configuration for ten seconds after a network cut has healed: a
/// connection goes silent without a reset while new ones work, and the host must not keep
/// waiting on it.
#[tokio::test]
async fn silent_connection_is_replaced_after_the_timeout() {
    let body = read_body(6, 0, &[record("config", b"{}")]);
    let silent = vec![response("200 OK", &read_body(5, 0, &[]))];
    let healthy = vec![response("200 OK", &body)];
    let mut reader = LogClient::open(spawn_log(vec![silent, healthy]).await, LIMIT);
    let wait = Duration::from_millis(50);
    assert!(reader.read("keyed.op", position(5), wait).await.is_ok());
    let lost = reader.read("keyed.op", position(5), wait).await;
    assert!(matches!(lost, Err(LogError::NoResponse(_))), "{lost:?}");
    let read = reader
        .read("keyed.op", position(5), wait)
        .await
        .expect("a new connection");
    assert_eq!(read.records.len(), 1);
}

#[tokio::test]
async fn error_responses_carry_their_status() {
    let busy = vec![response("503 Busy", b"")];
    let mut reader = LogClient::open(spawn_log(vec![busy]).await, LIMIT);
    assert_eq!(reader.newest("keyed.op").await, Err(LogError::Status(503)));
}

fn heartbeat(port: u16) -> Vec<u8> {
    let body = serde_json::json!({
        "service": "s", "address": format!("10.0.0.1:{port}"), "zone": "z", "state": "ready",
        "version": "v", "slots": 4, "cold_remaining_ms": 0, "sequence": 1
    });
    body.to_string().into_bytes()
}

fn newest_body(records: &[(&str, Vec<u8>)]) -> Vec<u8> {
    use base64::Engine;
    let encode = |value: &Vec<u8>| base64::engine::general_purpose::STANDARD.encode(value);
    let items = records
        .iter()
        .map(|(key, value)| serde_json::json!({"key": key, "value": encode(value), "offset": 0}));
    let items = items.collect::<Vec<_>>();
    serde_json::json!({"items": items, "has_more": false, "end_offset": 2})
        .to_string()
        .into_bytes()
}

/// Follows a log that gives these responses, in the role that the sender sets.
async fn spawn_follower(
    responses: Vec<Vec<u8>>,
    timing: TargetTiming,
) -> (Arc<ServingTables>, tokio::sync::watch::Sender<LogRole>) {
    let reader = LogClient::open(spawn_log(vec![responses]).await, LIMIT);
    let budget = WindowSettings {
        window: LIMIT.response,
        ratio: 0.0,
        slack: 0.0,
        opened: std::time::Instant::now(),
    };
    let tables = Arc::new(ServingTables::new("h".into(), "z".into(), budget));
    let copy = Arc::new(LogCopy::new(tables.clone()));
    let (role, role_receiver) = tokio::sync::watch::channel(LogRole::Reader);
    tokio::spawn(follow_targets(copy, reader, timing, role_receiver));
    (tables, role)
}

async fn until<F>(holds: F)
where
    F: Fn() -> bool,
{
    while !holds() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Bound on events that take milliseconds; shorter than the time for which a suspect target
/// is kept.
const WAIT_LIMIT: Duration = Duration::from_secs(2);

fn is_known(tables: &ServingTables, id: &str) -> bool {
    tables.fleet.lock().get(id).is_some()
}

async fn wait_until_known(tables: &ServingTables, id: &str) {
    let seen = tokio::time::timeout(WAIT_LIMIT, until(|| is_known(tables, id))).await;
    assert!(seen.is_ok(), "the targets never showed up");
}

async fn wait_until_gone(tables: &ServingTables, id: &str) {
    let gone = tokio::time::timeout(WAIT_LIMIT, until(|| !is_known(tables, id))).await;
    assert!(gone.is_ok(), "a target that left was kept");
}

/// Guards against requests to a target two seconds after it announced that it leaves: a
/// host reaches the log again, and a target leaves a second later. Only targets missing
/// from the first read may be kept as suspects, else all targets are gone after an outage.
#[tokio::test]
async fn only_the_first_read_after_an_outage_makes_suspects() {
    let all = newest_body(&[("a", heartbeat(1)), ("b", heartbeat(2))]);
    let expired = read_body(3, 0, &[record("a", b"")]);
    let left = read_body(4, 0, &[record("b", b"")]);
    let first = vec![response("200 OK", &all), response("503 Busy", b"")];
    let later = vec![response("200 OK", &expired), response("200 OK", &left)];
    let responses = [first, later].concat();
    let timing = TargetTiming {
        drain: Duration::from_millis(60),
        // The outage of one read is longer than two of these.
        heartbeat: Duration::from_millis(10),
    };
    let (tables, _role) = spawn_follower(responses, timing).await;
    wait_until_known(&tables, "b").await;
    wait_until_gone(&tables, "b").await;
    assert!(
        is_known(&tables, "a"),
        "an entry that lapsed in the outage was dropped at once"
    );
}

/// Guards against requests to a target three seconds after it left: one response of the log
/// is lost, and the next read reports that a target left. Entries expire only after three
/// missed heartbeats, so that this one cannot have expired.
#[tokio::test]
async fn one_failed_read_is_no_outage() {
    let all = newest_body(&[("a", heartbeat(1)), ("b", heartbeat(2))]);
    let left = read_body(3, 0, &[record("b", b"")]);
    let responses = vec![
        response("200 OK", &all),
        response("503 Busy", b""),
        response("200 OK", &left),
    ];
    let (tables, _role) = spawn_follower(responses, USUAL_TIMING).await;
    wait_until_known(&tables, "b").await;
    wait_until_gone(&tables, "b").await;
    assert!(is_known(&tables, "a"));
}

/// Guards against requests to a target that left: the host that reads the log for others
/// dies, a target leaves, and the others begin to read for themselves. Targets missing from
/// their first read must not be kept as suspects.
#[tokio::test]
async fn new_reader_drops_targets_that_left() {
    let all = newest_body(&[("a", heartbeat(1)), ("b", heartbeat(2))]);
    let left = newest_body(&[("a", heartbeat(1))]);
    let responses = vec![response("200 OK", &all), response("200 OK", &left)];
    let (tables, role) = spawn_follower(responses, USUAL_TIMING).await;
    wait_until_known(&tables, "b").await;
    role.send(LogRole::Follower).expect("a reader");
    tokio::time::sleep(Duration::from_millis(300)).await;
    role.send(LogRole::Reader).expect("a reader");
    wait_until_gone(&tables, "b").await;
    assert!(is_known(&tables, "a"));
}

/// Guards against requests for 2.5 s to a target that left: a host loses the log, follows
/// another host for a while and reads for itself again. The first outage must not count as
/// ending with that read.
#[tokio::test]
async fn outage_before_following_another_host_is_over() {
    let all = newest_body(&[("a", heartbeat(1)), ("b", heartbeat(2))]);
    let left = newest_body(&[("a", heartbeat(1))]);
    let responses = vec![
        response("200 OK", &all),
        response("503 Busy", b""),
        response("200 OK", &left),
    ];
    let (tables, role) = spawn_follower(responses, USUAL_TIMING).await;
    wait_until_known(&tables, "b").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    role.send(LogRole::Follower).expect("a reader");
    tokio::time::sleep(Duration::from_millis(300)).await;
    role.send(LogRole::Reader).expect("a reader");
    wait_until_gone(&tables, "b").await;
    assert!(is_known(&tables, "a"));
}

/// Guards against requests for 3.2 s to a target whose entry was dropped: the log deletes
/// its history while a target leaves. This is no outage, so that missing targets must not
/// be kept as suspects for 2.5 s.
#[tokio::test]
async fn deleted_history_is_no_outage() {
    let all = newest_body(&[("a", heartbeat(1)), ("b", heartbeat(2))]);
    let left = newest_body(&[("a", heartbeat(1))]);
    let responses = vec![
        response("200 OK", &all),
        response("410 Gone", br#"{"first_offset":2}"#),
        response("200 OK", &left),
    ];
    let (tables, _role) = spawn_follower(responses, USUAL_TIMING).await;
    wait_until_known(&tables, "b").await;
    wait_until_gone(&tables, "b").await;
    assert!(is_known(&tables, "a"));
}

/// Guards against requests to a target 2.9 s after it left: a host follows the second host
/// of its zone and then the first again. Both started in the same microsecond, so that the
/// incarnation does not tell their change numbers apart.
#[test]
fn change_positions_are_kept_per_host() {
    let mut cursor = FollowCursor::default();
    let (first, second) = ("a".into(), "b".into());
    assert_eq!(cursor.request(&second, 3).incarnation, 0);
    cursor.advance(&second, 7, 41);
    assert_eq!(cursor.request(&second, 3).from, 41);
    let request = cursor.request(&first, 3);
    assert_ne!(request.incarnation, 7);
    // Incarnation 0 would mean that the requesting host knows no targets.
    assert_ne!(request.incarnation, 0);
    assert_eq!((request.from, request.configuration_version), (0, 3));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever bytes the service sends, the result is records or an error, never a panic.
    #[test]
    fn any_response_bytes_give_records_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..120)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        let read = runtime.block_on(async {
            let address = spawn_log(vec![vec![response("200 OK", &bytes)]]).await;
            let mut reader = LogClient::open(address, LIMIT);
            reader.read("keyed.op", position(0), Duration::ZERO).await
        });
        if let Ok(read) = read {
            prop_assert!(read.records.len() * 5 <= bytes.len());
        }
    }
}

/// Guards against six hundred calls a second from 195 hosts to a log that is down: hosts
/// that read only for themselves must retry less often than those that read for others.
#[test]
fn fallback_readers_retry_less_often() {
    let usual = Duration::from_millis(600);
    assert_eq!(LogRole::FallbackReader.retry_pause(usual, 0), usual);
    assert_eq!(LogRole::FallbackReader.retry_pause(usual, 1), usual);
    assert_eq!(LogRole::FallbackReader.retry_pause(usual, 2), usual * 2);
    assert_eq!(LogRole::FallbackReader.retry_pause(usual, 90), usual * 8);
    assert_eq!(LogRole::Reader.retry_pause(usual, 90), usual);
}

/// Guards against hosts without a configuration for 1.6 s after a start of 195: all read
/// the newest records at once, hundreds of kilobytes, which takes longer than the timeout
/// of a short response, and each gives up and starts over.
#[tokio::test]
async fn newest_records_have_a_longer_timeout() {
    let body =
        br#"{"items":[{"key":"a","value":"b25l","offset":4}],"has_more":false,"end_offset":6}"#;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut part = [0; 4096];
        let _ = stream.read(&mut part).await;
        tokio::time::sleep(2 * LIMIT.response).await;
        let _ = stream.write_all(&response("200 OK", body)).await;
    });
    let limits = CallTimeouts {
        newest: Duration::from_secs(20),
        ..LIMIT
    };
    let mut reader = LogClient::open(address, limits);
    let read = reader.newest("keyed.op").await.expect("records");
    assert_eq!(read.records.len(), 1);
}
