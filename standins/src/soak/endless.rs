//! Targets that respond with bytes that never end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::callers::{call_host_beyond_deadline, stop_callers};
use super::check::{Violation, find_violations};
use super::history::{CallKind, CallOutcome, CallRecord};
use super::host_link::LinkLoss;
use super::link::LinkFault;
use super::partition::ServedShare;
use super::run::{LinkScope, SoakRun, SoakSettings};

/// Callers of each kind at each host, and their pause between two calls.
const CALLERS: usize = 6;
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// Time after its deadline within which a call has to have a final response.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How long targets respond without end.
const ENDLESS_TIME: Duration = Duration::from_secs(8);
/// Time after the start of the fault from which hosts have to avoid the targets.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);
/// Time within which hosts close the connections after the last call.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// Size of one write of a fast target, and pause between the bytes of a slow one.
const WRITE_BYTES: usize = 16 * 1024;
const BYTE_PAUSE: Duration = Duration::from_millis(5);

/// Where the bytes have no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// The status line.
    StatusLine,
    /// The line of a header.
    HeaderLine,
    /// The number of headers.
    Headers,
    /// The number of interim responses.
    InterimResponses,
    /// The size line of a chunk.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers after the last chunk.
    Trailers,
    /// A chunked body after a head with a failure.
    FailureBody,
    /// A chunked body after a head with success, which is no event stream.
    Body,
    /// A chunked body after the head of a response with the id and the proof.
    ProvenBody,
    /// The same body in chunks of one byte.
    ProvenBytes,
    /// Bytes that resemble no response.
    Noise,
}

const ALL_PARTS: [EndlessPart; 12] = [
    EndlessPart::StatusLine,
    EndlessPart::HeaderLine,
    EndlessPart::Headers,
    EndlessPart::InterimResponses,
    EndlessPart::ChunkSize,
    EndlessPart::ChunkExtension,
    EndlessPart::Trailers,
    EndlessPart::FailureBody,
    EndlessPart::Body,
    EndlessPart::ProvenBody,
    EndlessPart::ProvenBytes,
    EndlessPart::Noise,
];

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndlessPlan {
    /// Where the bytes have no end; `None` for all parts, one after the other.
    pub part: Option<EndlessPart>,
    /// Whether the targets send one byte at a time.
    pub slow: bool,
    /// Number of targets, of three plain ones and six engines, in turn.
    pub targets: usize,
    /// How the first host loses its own links to the targets at the same time, so that its
    /// requests go through the other one.
    pub loss: Option<LinkLoss>,
}

/// What callers, targets and processes recorded.
#[derive(Debug, Clone)]
pub struct EndlessReport {
    /// Violations of the guarantees without a time bound.
    pub violations: Vec<Violation>,
    /// Calls without a final response half a second after their deadlines.
    pub unfinished: usize,
    /// Calls after hosts had time to avoid the targets.
    pub adapted: ServedShare,
    /// Connections to the targets that hosts have opened.
    pub opened: usize,
    /// Those of them that hosts have not closed at the end.
    pub left_open: Vec<ConnectionRecord>,
    /// Largest peak memory of a host, in bytes.
    pub peak_memory: u64,
}

/// A connection of a host to a target without end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionRecord {
    /// When it was accepted, after the start of the fault.
    pub opened: Duration,
    /// First line of its request; empty if there was none.
    pub first_line: String,
    /// When its request arrived, after the start of the fault.
    pub requested: Option<Duration>,
    /// Bytes of the response that were written.
    pub written: usize,
    /// When the host closed it, after the start of the fault.
    pub closed: Option<Duration>,
}

/// Connections of hosts to targets without end, in the order of their start.
#[derive(Debug, Clone)]
struct ConnectionLog {
    began: Instant,
    records: Arc<Mutex<Vec<ConnectionRecord>>>,
}

impl ConnectionLog {
    fn new(began: Instant) -> Self {
        Self {
            began,
            records: Arc::default(),
        }
    }

    /// Adds a connection and returns its index.
    fn open(&self, now: Instant) -> usize {
        let mut records = self.records.lock();
        records.push(ConnectionRecord {
            opened: now.duration_since(self.began),
            first_line: String::new(),
            requested: None,
            written: 0,
            closed: None,
        });
        records.len() - 1
    }

    fn observe_request(&self, connection: usize, request: &str, now: Instant) {
        let mut records = self.records.lock();
        let record = &mut records[connection];
        record.first_line = request.lines().next().unwrap_or_default().to_owned();
        record.requested = Some(now.duration_since(self.began));
    }

    fn observe_written(&self, connection: usize, bytes: usize) {
        self.records.lock()[connection].written += bytes;
    }

    fn observe_close(&self, connection: usize, now: Instant) {
        self.records.lock()[connection].closed = Some(now.duration_since(self.began));
    }
}

impl EndlessPart {
    /// Returns what the target sends first, and what it repeats until the host closes.
    fn bytes(self) -> (&'static str, &'static str) {
        const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        match self {
            Self::StatusLine => ("HTTP/1.1 200 ", "a"),
            Self::HeaderLine => ("HTTP/1.1 200 OK\r\nX-Long: ", "a"),
            Self::Headers => ("HTTP/1.1 200 OK\r\n", "X-Many: a\r\n"),
            Self::InterimResponses => ("", "HTTP/1.1 100 Continue\r\n\r\n"),
            Self::ChunkSize => (CHUNKED, "0"),
            Self::ChunkExtension => (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;",
                "a",
            ),
            Self::Trailers => (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Many: a\r\n",
            ),
            Self::FailureBody => (
                "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n",
                "10\r\naaaaaaaaaaaaaaaa\r\n",
            ),
            Self::ProvenBody => ("", "10\r\naaaaaaaaaaaaaaaa\r\n"),
            Self::ProvenBytes => ("", "1\r\na\r\n"),
            Self::Body => (CHUNKED, "10\r\naaaaaaaaaaaaaaaa\r\n"),
            Self::Noise => ("", "\u{1}\u{2}noise"),
        }
    }
}

/// Lets targets respond without end for a while.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_endless(settings: SoakSettings, plan: EndlessPlan) -> io::Result<EndlessReport> {
    let links = match plan.loss {
        Some(_) => LinkScope::Host,
        None => settings.links,
    };
    let run = SoakRun::open_served(SoakSettings { links, ..settings }).await?;
    let callers = spawn_callers(&run);
    tokio::time::sleep(ADAPTATION_TIME).await;
    let began = Instant::now();
    let connections = ConnectionLog::new(began);
    let mut servers = Vec::new();
    // Every other target, so that plain ones and engines of both zones are among them.
    let indices = (0..run.targets.len()).step_by(2).take(plan.targets);
    for index in indices {
        let (address, server) = serve_endless(plan, connections.clone()).await?;
        run.targets[index].link.set_server(Some(address));
        run.targets[index].link.set(LinkFault::Reset);
        run.targets[index].link.set(LinkFault::None);
        servers.push(server);
    }
    run.hosts[0].host.target_links.send_replace(plan.loss);
    tokio::time::sleep(ENDLESS_TIME).await;
    let records = stop_callers(&run.context, callers).await?;
    tokio::time::sleep(CLOSE_TIME).await;
    let peak_memory = peak_memory(&run)?;
    let mut left_open = connections.records.lock().clone();
    let opened = left_open.len();
    left_open.retain(|connection| connection.closed.is_none());
    servers.iter().for_each(JoinHandle::abort);
    Ok(report(&run, records, began, |report| EndlessReport {
        opened,
        left_open,
        peak_memory,
        ..report
    }))
}

fn report<F>(run: &SoakRun, records: Vec<CallRecord>, began: Instant, complete: F) -> EndlessReport
where
    F: FnOnce(EndlessReport) -> EndlessReport,
{
    let unfinished = records.iter();
    let unfinished = unfinished.filter(|call| call.outcome == CallOutcome::TimedOut);
    let unfinished = unfinished.count();
    let mut adapted = ServedShare::default();
    for call in &records {
        if call.sent >= began + ADAPTATION_TIME {
            let is_served = matches!(call.outcome, CallOutcome::Completed { status: 200, .. });
            adapted.sent += 1;
            adapted.served += usize::from(is_served);
        }
    }
    let mut history = std::mem::take(&mut *run.context.history.lock());
    history.calls.extend(records);
    history.runs = std::mem::take(&mut *run.registry.runs.lock());
    history.breaks = std::mem::take(&mut *run.registry.breaks.lock());
    history.recovered = true;
    complete(EndlessReport {
        violations: find_violations(&history, false),
        unfinished,
        adapted,
        opened: 0,
        left_open: Vec::new(),
        peak_memory: 0,
    })
}

fn spawn_callers(run: &SoakRun) -> Vec<JoinHandle<Vec<CallRecord>>> {
    let kinds = [
        CallKind::Idempotent,
        CallKind::NonIdempotent,
        CallKind::Stream,
    ];
    let mut callers = Vec::new();
    for host in 0..run.hosts.len() {
        for kind in kinds.into_iter().cycle().take(kinds.len() * CALLERS) {
            let calling = call_host_beyond_deadline(
                run.context.clone(),
                host,
                kind,
                CALL_PAUSE,
                ANSWER_SLACK,
            );
            callers.push(tokio::spawn(calling));
        }
    }
    callers
}

/// Returns the largest peak memory of a host, in bytes.
fn peak_memory(run: &SoakRun) -> io::Result<u64> {
    let peaks = run.hosts.iter().map(|host| host.host.peak_memory());
    let peaks = peaks.collect::<io::Result<Vec<_>>>()?;
    Ok(peaks.into_iter().max().unwrap_or(0))
}

/// Serves every connection without end; returns the address of the server.
async fn serve_endless(
    plan: EndlessPlan,
    connections: ConnectionLog,
) -> io::Result<(SocketAddr, JoinHandle<()>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connections = connections.clone();
            let connection = connections.open(Instant::now());
            tokio::spawn(async move {
                let responding = respond_endless(stream, plan, &connections, connection);
                if let Err(error) = responding.await {
                    log::debug!("endless response ended: {error}");
                }
                connections.observe_close(connection, Instant::now());
            });
        }
    });
    Ok((address, server))
}

/// Returns the head of a response with the id of a call and a proof.
fn proven_head(call: &str) -> String {
    const ID: &str = "x-jackdawwick-attempt-id";
    let headers = call.lines().filter_map(|line| line.split_once(':'));
    let mut ids = headers.filter(|(name, _)| name.eq_ignore_ascii_case(ID));
    let id = ids.next().map_or("", |(_, id)| id.trim());
    format!(
        "HTTP/1.1 200 OK\r\n{ID}: {id}\r\nX-Jackdawwick-Server-Seal: endless\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Responds to the first call of a connection until the host closes it.
async fn respond_endless(
    mut stream: TcpStream,
    plan: EndlessPlan,
    connections: &ConnectionLog,
    connection: usize,
) -> io::Result<()> {
    let mut call = vec![0; WRITE_BYTES];
    let length = stream.read(&mut call).await?;
    if length == 0 {
        return Ok(());
    }
    let call = String::from_utf8_lossy(&call[..length]);
    connections.observe_request(connection, &call, Instant::now());
    let part = plan.part.unwrap_or(ALL_PARTS[connection % ALL_PARTS.len()]);
    let (first, repeated) = part.bytes();
    if matches!(part, EndlessPart::ProvenBody | EndlessPart::ProvenBytes) {
        stream.write_all(proven_head(&call).as_bytes()).await?;
    }
    stream.write_all(first.as_bytes()).await?;
    if plan.slow {
        loop {
            for byte in repeated.as_bytes() {
                stream.write_all(&[*byte]).await?;
                connections.observe_written(connection, 1);
                tokio::time::sleep(BYTE_PAUSE).await;
            }
        }
    }
    let block = repeated.repeat(WRITE_BYTES / repeated.len());
    loop {
        stream.write_all(block.as_bytes()).await?;
        connections.observe_written(connection, block.len());
    }
}
