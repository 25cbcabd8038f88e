//! Verdicts of failed calls to the platform, and the behaviour of tails and append queues
//! when calls fail.

#![allow(clippy::unwrap_used)] // A missing value fails the test.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jackdawwick::platform::append_queue::{AppendOptions, AppendQueue};
use jackdawwick::platform::backoff::BackoffPolicy;
use jackdawwick::platform::client::{PlatformClient, PlatformTimeouts};
use jackdawwick::platform::error::{AppendVerdict, CallFailure};
use jackdawwick::platform::log_tail::{LogTail, TailEvent, TailOptions};
use jackdawwick::platform::wire::{AppendBody, ReadResponse, StoredRecord};
use parking_lot::Mutex;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Reaction of the scripted platform to one request.
enum Reply {
    /// Responds with 200 and this body.
    Body(String),
    /// Responds with this status and no body.
    Status(u16),
    /// Reads the complete request, then closes the connection.
    Drop,
    /// Announces a longer body than it sends, then closes the connection.
    CutBody,
    /// Responds with 200, then closes the connection without announcing it.
    BodyThenClose(String),
    /// Reads the request and never responds.
    Stall,
}

/// A platform that responds by a script and records the requests.
struct ScriptedPlatform {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedPlatform {
    async fn bind(script: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let script = Arc::new(Mutex::new(VecDeque::from(script)));
        let seen = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&script), Arc::clone(&seen)));
            }
        });
        Self { address, requests }
    }

    fn client(&self) -> PlatformClient {
        client_of(self.address, Duration::from_secs(20))
    }
}

fn client_of(address: SocketAddr, response: Duration) -> PlatformClient {
    let connect = Duration::from_secs(10);
    PlatformClient::open(address, PlatformTimeouts { connect, response })
}

async fn serve(
    stream: TcpStream,
    script: Arc<Mutex<VecDeque<Reply>>>,
    seen: Arc<Mutex<Vec<String>>>,
) {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await {
        seen.lock().push(request);
        let reply = script.lock().pop_front().unwrap_or(Reply::Stall);
        let text = match &reply {
            Reply::Body(body) | Reply::BodyThenClose(body) => {
                format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                )
            }
            Reply::Status(status) => format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n"),
            Reply::CutBody => "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{\"fi".to_owned(),
            Reply::Drop => return,
            Reply::Stall => std::future::pending().await,
        };
        stream.write_all(text.as_bytes()).await.unwrap();
        if matches!(reply, Reply::CutBody | Reply::BodyThenClose(_)) {
            return;
        }
    }
}

/// Returns the request line and body, or `None` at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first_line = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        match line.trim() {
            "" => break,
            text if first_line.is_empty() => first_line = text.to_owned(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(format!(
        "{first_line}\n{}",
        String::from_utf8(body).unwrap()
    ))
}

async fn append_verdict(reply: Reply) -> (AppendVerdict, usize) {
    let platform = ScriptedPlatform::bind(vec![reply]).await;
    let error = platform
        .client()
        .append("claims", vec!["{}".to_owned()])
        .await
        .unwrap_err();
    let requests = platform.requests.lock().len();
    (error.verdict, requests)
}

#[tokio::test]
async fn append_returns_the_offset() {
    let platform =
        ScriptedPlatform::bind(vec![Reply::Body("{\"first_offset\":7}".to_owned())]).await;
    let response = platform
        .client()
        .append("claims", vec!["a".to_owned(), "b".to_owned()])
        .await
        .unwrap();
    assert_eq!(response.first_offset, 7);
    assert_eq!(
        *platform.requests.lock(),
        ["POST /v1/streams/claims/records HTTP/1.1\n{\"records\":[\"a\",\"b\"]}"]
    );
}

/// Guards against a stored record that is reported as not stored or that the library
/// appends twice, when the connection breaks after the request or the response is
/// truncated, late or a 500 of a proxy.
#[tokio::test]
async fn append_without_a_response_may_have_taken_effect() {
    for reply in [
        Reply::Drop,
        Reply::CutBody,
        Reply::Status(500),
        Reply::Status(504),
    ] {
        assert_eq!(
            append_verdict(reply).await,
            (AppendVerdict::MayBeAppended, 1)
        );
    }
    let platform = ScriptedPlatform::bind(vec![Reply::Stall]).await;
    let client = client_of(platform.address, Duration::from_millis(50));
    let error = client.append("claims", Vec::new()).await.unwrap_err();
    assert_eq!(error.failure, CallFailure::Timeout);
    assert_eq!(error.verdict, AppendVerdict::MayBeAppended);
}

#[tokio::test]
async fn refused_or_unconnected_append_has_no_effect() {
    for status in [400, 429, 503] {
        let verdict = append_verdict(Reply::Status(status)).await;
        assert_eq!(verdict, (AppendVerdict::NotAppended, 1));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = client_of(address, Duration::from_secs(20));
    let error = client.append("claims", Vec::new()).await.unwrap_err();
    assert!(matches!(error.failure, CallFailure::Connect(_)));
    assert_eq!(error.verdict, AppendVerdict::NotAppended);
}

/// Guards against an append that is reported as not stored, or sent twice, when a pooled
/// connection closes after the request. The library's own retry of unwritten requests,
/// which the client disables, cannot be provoked here.
#[tokio::test]
async fn closed_pooled_connection_causes_no_repetition() {
    let response = "{\"first_offset\":0}".to_owned();
    let script = vec![
        Reply::Body(response.clone()),
        Reply::Drop,
        Reply::Body(response),
    ];
    let platform = ScriptedPlatform::bind(script).await;
    let client = platform.client();
    client.append("claims", Vec::new()).await.unwrap();
    let error = client.append("claims", Vec::new()).await.unwrap_err();
    assert_eq!(error.verdict, AppendVerdict::MayBeAppended);
    assert_eq!(platform.requests.lock().len(), 2);
}

fn read_response(first_offset: u64, end_offset: u64, offsets: &[u64]) -> Reply {
    let records = offsets
        .iter()
        .map(|&offset| StoredRecord {
            offset,
            body: format!("r{offset}"),
        })
        .collect();
    let response = ReadResponse {
        first_offset,
        end_offset,
        records,
    };
    Reply::Body(serde_json::to_string(&response).unwrap())
}

/// Guards against hosts with different states at one offset, because a tail skips records
/// silently. The service is down for a while, responds once with a gap, and lets unread
/// records expire.
#[tokio::test]
async fn tail_reports_outage_and_expiry_and_delivers_no_gap() {
    let platform = ScriptedPlatform::bind(vec![
        read_response(0, 2, &[0, 1]),
        Reply::Status(503),
        Reply::Drop,
        read_response(0, 6, &[3, 4]),
        read_response(0, 3, &[2]),
        read_response(5, 7, &[5, 6]),
    ])
    .await;
    let mut tail = LogTail::spawn(
        platform.client(),
        TailOptions {
            stream: "claims".to_owned(),
            from: 0,
            limit: 10,
            wait: Duration::from_millis(100),
            backoff: BackoffPolicy {
                base: Duration::from_millis(1),
                max: Duration::from_millis(4),
            },
            seed: 1,
            capacity: 4,
        },
    );
    let mut seen = Vec::new();
    for _ in 0..5 {
        let event = tokio::time::timeout(Duration::from_secs(20), tail.next()).await;
        seen.push(match event.unwrap().unwrap() {
            TailEvent::Records { records, .. } => {
                let offsets: Vec<_> = records.iter().map(|record| record.offset).collect();
                format!("records {offsets:?}")
            }
            TailEvent::Unreachable { .. } => "unreachable".to_owned(),
            TailEvent::Expired {
                first_offset,
                end_offset,
            } => {
                format!("expired {first_offset}..{end_offset}")
            }
        });
    }
    assert_eq!(
        seen,
        [
            "records [0, 1]",
            "unreachable",
            "records [2]",
            "expired 5..7",
            "records [5, 6]"
        ]
    );
}

/// Guards against results that reach the wrong submitter, and against one append per
/// record. Of two batches that are submitted together, the first is stored and the second
/// gets no response.
#[tokio::test]
async fn queue_batches_records_and_replies_to_each_submitter() {
    let platform = ScriptedPlatform::bind(vec![
        Reply::BodyThenClose("{\"first_offset\":40}".to_owned()),
        Reply::Drop,
    ])
    .await;
    let mut options = AppendOptions::for_stream("claims");
    options.batch_limit = 3;
    options.in_flight = 1;
    let queue = AppendQueue::spawn(platform.client(), options);
    let receivers: Vec<_> = (0..6)
        .map(|index| queue.submit(format!("r{index}")).unwrap())
        .collect();
    let mut results = Vec::new();
    for receiver in receivers {
        results.push(receiver.await.unwrap().map_err(|error| error.verdict));
    }
    let lost = Err(AppendVerdict::MayBeAppended);
    assert_eq!(results, [Ok(40), Ok(41), Ok(42), lost, lost, lost]);
    let counts = queue.counts();
    assert_eq!((counts.appends, counts.records, counts.failures), (2, 6, 1));
    let first = platform.requests.lock()[0].clone();
    let body: AppendBody = serde_json::from_str(first.split_once('\n').unwrap().1).unwrap();
    assert_eq!(body.records, ["r0", "r1", "r2"]);
}
