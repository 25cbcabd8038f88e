//! Many callers, or targets, that send a host more than it can hold.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use jackdawwick::platform::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::configuration::{API_KEY, CALLED_HOST, PLAIN_SERVICE};
use super::link::LinkFault;
use super::run::{POLL_INTERVAL, SoakRun, SoakSettings};

/// Longest time in which a crowd sends what it has to send.
const SEND_TIME: Duration = Duration::from_secs(30);
/// How long a crowd stays connected after that before the ordinary requests.
const STAY_TIME: Duration = Duration::from_secs(2);
/// Size of the buffer for what a peer sends.
const READ_BYTES: usize = 16 * 1024;
/// Bytes in one chunk, or one write, of a member that sends large pieces.
const LARGE_PIECE: usize = 64 * 1024;
/// Chunks of one byte that are written at a time.
const SMALL_CHUNKS: usize = 1000;
/// Pause between two bytes of a member that sends them one by one, so that they are read alone.
const BYTE_PAUSE: Duration = Duration::from_millis(1);
/// How many times the limit a body has that is far over it.
const EXCESS: usize = 16;
/// Bytes of an incomplete trailer.
const TRAILER_BYTES: usize = 8 * 1024;
/// Every fourth member sends its body to the end.
const COMPLETE_EVERY: usize = 4;

/// Who is in the crowd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdSide {
    /// Callers, with their requests.
    Callers,
    /// Targets, with their responses to ordinary requests.
    Targets,
    /// Callers that do not read the complete responses of targets.
    Readers,
}

/// How a member sends its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdBody {
    /// With a length, as fast as it is read.
    Whole,
    /// With a length, one byte in each segment.
    Bytes,
    /// In large chunks.
    LargeChunks,
    /// In chunks of one byte, as fast as they are read.
    SmallChunks,
    /// In chunks of one byte with extensions.
    Extensions,
    /// In one chunk, with trailers after it that stop before their end.
    Trailers,
    /// With a length that is far over the limit.
    AnnouncedOver,
    /// In chunks without end.
    WithoutEnd,
    /// No body: a head that stops before its end.
    Head,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrowdPlan {
    /// Who is in the crowd.
    pub side: CrowdSide,
    /// How its members send.
    pub body: CrowdBody,
    /// Number of members that are connected at a time.
    pub members: usize,
    /// Bytes that each sends, all but the last one where it stops short.
    pub bytes: usize,
}

/// What became of the host.
#[derive(Debug, Clone)]
pub struct CrowdReport {
    /// Processes that ended by themselves.
    pub unexpected_exits: Vec<String>,
    /// Peak resident memory of the host, in bytes.
    pub peak_memory: u64,
    /// Most descriptors that the host had open at a time.
    pub peak_descriptors: usize,
    /// Whether an ordinary request of each kind was answered beside the crowd.
    pub is_answered: bool,
    /// Members that were connected.
    pub connected: usize,
    /// Bytes that the members have sent.
    pub sent: usize,
    /// Status lines that callers of the crowd have received, in order.
    pub responses: Vec<String>,
}

/// What the members have done.
#[derive(Debug, Default)]
struct CrowdLog {
    connected: AtomicUsize,
    sent: AtomicUsize,
    /// Members that have sent what they had to send, or cannot go on.
    finished: AtomicUsize,
    responses: parking_lot::Mutex<Vec<String>>,
}

/// Lets crowds send to the first host, and sends ordinary requests beside them. The crowds of one
/// group come together; they leave before those of the next group come.
///
/// # Errors
///
/// If processes or sockets cannot be set up.
pub async fn run_crowds(
    settings: SoakSettings,
    groups: &[Vec<CrowdPlan>],
) -> io::Result<CrowdReport> {
    let mut run = SoakRun::open_served(settings).await?;
    let mut report = CrowdReport {
        unexpected_exits: Vec::new(),
        peak_memory: 0,
        peak_descriptors: 0,
        is_answered: true,
        connected: 0,
        sent: 0,
        responses: Vec::new(),
    };
    for group in groups {
        let log = Arc::new(CrowdLog::default());
        let mut tasks = Vec::new();
        for plan in group {
            tasks.extend(spawn_crowd(&run, *plan, &log).await?);
        }
        let members = group.iter().map(|plan| plan.members).sum();
        observe_crowd(&mut run, members, &log, &mut report).await;
        tasks.iter().for_each(JoinHandle::abort);
        report.connected += log.connected.load(Ordering::Relaxed);
        report.sent += log.sent.load(Ordering::Relaxed);
        report.responses.append(&mut log.responses.lock());
    }
    report.peak_memory = run.hosts[0].host.peak_memory().unwrap_or(u64::MAX);
    run.supervise_hosts(Instant::now()).await?;
    report.unexpected_exits = std::mem::take(&mut run.unexpected_exits);
    Ok(report)
}

async fn spawn_crowd(
    run: &SoakRun,
    plan: CrowdPlan,
    log: &Arc<CrowdLog>,
) -> io::Result<Vec<JoinHandle<()>>> {
    let address = run.hosts[0].host.callers().ok_or(io::ErrorKind::NotFound)?;
    let mut tasks = match plan.side {
        CrowdSide::Callers => Vec::new(),
        CrowdSide::Targets | CrowdSide::Readers => replace_targets(run, plan, log).await?,
    };
    for member in 0..plan.members {
        tasks.push(tokio::spawn(run_caller(address, plan, member, log.clone())));
    }
    Ok(tasks)
}

/// Waits until all members have sent what they can, and sends ordinary requests beside them.
async fn observe_crowd(
    run: &mut SoakRun,
    members: usize,
    log: &CrowdLog,
    report: &mut CrowdReport,
) {
    let until = Instant::now() + SEND_TIME;
    let mut stay_until = None;
    // A process that has ended has no descriptors.
    while let Ok(open) = run.hosts[0].host.descriptors() {
        report.peak_descriptors = report.peak_descriptors.max(open);
        let now = Instant::now();
        let is_finished = log.finished.load(Ordering::Relaxed) >= members || now >= until;
        match stay_until {
            Some(until) if now >= until => break,
            Some(_) => {}
            None if is_finished => stay_until = Some(now + STAY_TIME),
            None => {}
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let is_running = run.hosts[0].host.is_running();
    report.is_answered &= is_running && run.wait_until_served().await;
}

/// Replaces all plain targets but one by servers that respond as the plan says.
async fn replace_targets(
    run: &SoakRun,
    plan: CrowdPlan,
    log: &Arc<CrowdLog>,
) -> io::Result<Vec<JoinHandle<()>>> {
    let plain = run.targets.iter();
    let plain = plain.filter(|target| target.spec.service == PLAIN_SERVICE);
    let mut servers = Vec::new();
    for target in plain.skip(1) {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        target.link.set_server(Some(listener.local_addr()?));
        target.link.set(LinkFault::Reset);
        target.link.set(LinkFault::None);
        let log = log.clone();
        servers.push(tokio::spawn(async move {
            let mut member = 0;
            while let Ok((stream, _)) = listener.accept().await {
                member += 1;
                tokio::spawn(run_target(stream, plan, member, log.clone()));
            }
        }));
    }
    Ok(servers)
}

/// Calls the host as one of the crowd, and stays connected until the host closes.
async fn run_caller(address: SocketAddr, plan: CrowdPlan, member: usize, log: Arc<CrowdLog>) {
    if let Err(error) = try_call(address, plan, member, &log).await {
        log::debug!("member {member}: {error}");
    }
}

async fn try_call(
    address: SocketAddr,
    plan: CrowdPlan,
    member: usize,
    log: &Arc<CrowdLog>,
) -> io::Result<()> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.inspect_err(|_| {
        log.finished.fetch_add(1, Ordering::Relaxed);
    })?;
    stream.set_nodelay(true)?;
    log.connected.fetch_add(1, Ordering::Relaxed);
    let (mut reader, mut writer) = stream.into_split();
    let sending = {
        let log = log.clone();
        tokio::spawn(async move {
            let sent = match plan.side {
                CrowdSide::Callers => {
                    let head = request_head("POST", plan, member);
                    send(&mut writer, &head, plan, member, &log).await
                }
                CrowdSide::Targets | CrowdSide::Readers => {
                    let head = request_head("GET", plan, member) + "\r\n";
                    writer.write_all(head.as_bytes()).await
                }
            };
            if let Err(error) = sent {
                log::debug!("member {member} stopped: {error}");
            }
            if plan.side != CrowdSide::Targets {
                log.finished.fetch_add(1, Ordering::Relaxed);
            }
            writer
        })
    };
    if plan.side == CrowdSide::Readers {
        return std::future::pending().await;
    }
    let mut received = vec![0; READ_BYTES];
    let mut is_first = true;
    loop {
        let read = reader.read(&mut received).await;
        let is_first = std::mem::take(&mut is_first);
        if is_first && plan.side == CrowdSide::Targets {
            log.finished.fetch_add(1, Ordering::Relaxed);
        }
        let length = read?;
        if length == 0 {
            break;
        }
        if is_first {
            let text = String::from_utf8_lossy(&received[..length]);
            let line = text.lines().next().unwrap_or_default().to_owned();
            log.responses.lock().push(line);
        }
    }
    // The writing half keeps the connection open until here.
    sending.await.map(drop).map_err(io::Error::other)
}

/// Returns the head of a request, without the empty line that ends it.
fn request_head(method: &str, plan: CrowdPlan, member: usize) -> String {
    let framing = match plan.side {
        CrowdSide::Callers => framing(plan),
        CrowdSide::Targets | CrowdSide::Readers => String::new(),
    };
    format!(
        "{method} /read/crowd HTTP/1.1\r\nHost: {CALLED_HOST}\r\n\
         Authorization: Bearer {API_KEY}\r\n{}: crowd-{member}\r\n{framing}",
        names::ATTEMPT_ID
    )
}

/// Returns the header that tells where a body ends.
fn framing(plan: CrowdPlan) -> String {
    match plan.body {
        CrowdBody::Whole | CrowdBody::Bytes => format!("Content-Length: {}\r\n", plan.bytes),
        CrowdBody::AnnouncedOver => format!("Content-Length: {}\r\n", plan.bytes * EXCESS),
        CrowdBody::LargeChunks
        | CrowdBody::SmallChunks
        | CrowdBody::Extensions
        | CrowdBody::Trailers
        | CrowdBody::WithoutEnd => "Transfer-Encoding: chunked\r\n".to_owned(),
        CrowdBody::Head => String::new(),
    }
}

/// Responds to one request, and stays connected until the host closes.
async fn run_target(mut stream: TcpStream, plan: CrowdPlan, member: usize, log: Arc<CrowdLog>) {
    if let Err(error) = try_respond(&mut stream, plan, member, &log).await {
        log::debug!("response {member} stopped: {error}");
    }
    let mut rest = [0; 1];
    while stream.read(&mut rest).await.is_ok_and(|length| length > 0) {}
}

async fn try_respond(
    stream: &mut TcpStream,
    plan: CrowdPlan,
    member: usize,
    log: &CrowdLog,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut request = vec![0; READ_BYTES];
    let length = stream.read(&mut request).await?;
    let text = String::from_utf8_lossy(&request[..length]);
    let headers = text.lines().filter_map(|line| line.split_once(':'));
    let mut ids = headers.filter(|(name, _)| name.eq_ignore_ascii_case(names::ATTEMPT_ID));
    let id = ids.next().map_or("", |(_, id)| id.trim());
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\nX-Jackdawwick-Server-Seal: crowd\r\n{}",
        names::ATTEMPT_ID,
        framing(plan)
    );
    send(stream, &head, plan, member, log).await
}

/// Sends a head and the body of a member, which most stop short of its end.
async fn send<W>(
    writer: &mut W,
    head: &str,
    plan: CrowdPlan,
    member: usize,
    log: &CrowdLog,
) -> io::Result<()>
where
    W: AsyncWriteExt + Unpin,
{
    writer.write_all(head.as_bytes()).await?;
    if plan.body == CrowdBody::Head {
        return send_header(writer, plan, log).await;
    }
    writer.write_all(b"\r\n").await?;
    let is_complete = plan.side == CrowdSide::Readers || member.is_multiple_of(COMPLETE_EVERY);
    let bytes = match plan.body {
        CrowdBody::AnnouncedOver => plan.bytes * EXCESS,
        CrowdBody::WithoutEnd => usize::MAX,
        _ => plan.bytes - usize::from(!is_complete),
    };
    let size = match plan.body {
        CrowdBody::Bytes => 1,
        CrowdBody::SmallChunks | CrowdBody::Extensions => SMALL_CHUNKS,
        _ => LARGE_PIECE,
    };
    let whole = piece(plan.body, size);
    let mut left = bytes;
    while left > 0 {
        let length = size.min(left);
        match length == size {
            true => writer.write_all(&whole).await?,
            false => writer.write_all(&piece(plan.body, length)).await?,
        }
        if plan.body == CrowdBody::Bytes {
            tokio::time::sleep(BYTE_PAUSE).await;
        }
        log.sent.fetch_add(length, Ordering::Relaxed);
        left -= length;
    }
    match plan.body {
        CrowdBody::LargeChunks | CrowdBody::SmallChunks | CrowdBody::Extensions if is_complete => {
            writer.write_all(b"0\r\n\r\n").await
        }
        CrowdBody::Trailers => {
            let trailers = format!("0\r\nX-Trailer: {}", "a".repeat(TRAILER_BYTES));
            writer.write_all(trailers.as_bytes()).await
        }
        _ => Ok(()),
    }
}

/// Returns what a member writes for `length` bytes of its body.
fn piece(body: CrowdBody, length: usize) -> Vec<u8> {
    match body {
        CrowdBody::SmallChunks => "1\r\na\r\n".repeat(length).into_bytes(),
        CrowdBody::Extensions => "1;extension=a\r\na\r\n".repeat(length).into_bytes(),
        CrowdBody::LargeChunks | CrowdBody::Trailers | CrowdBody::WithoutEnd => {
            format!("{length:x}\r\n{}\r\n", "a".repeat(length)).into_bytes()
        }
        CrowdBody::Whole | CrowdBody::Bytes | CrowdBody::AnnouncedOver | CrowdBody::Head => {
            vec![b'a'; length]
        }
    }
}

/// Sends one long header, and stops before its end.
async fn send_header<W>(writer: &mut W, plan: CrowdPlan, log: &CrowdLog) -> io::Result<()>
where
    W: AsyncWriteExt + Unpin,
{
    let header = format!("X-Long: {}", "a".repeat(plan.bytes));
    writer.write_all(header.as_bytes()).await?;
    log.sent.fetch_add(plan.bytes, Ordering::Relaxed);
    Ok(())
}
