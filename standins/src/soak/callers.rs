//! Callers that keep their connections open and record the outcome of each call.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::FutureExt;
use http::header::{self, HeaderValue};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use jackdawwick::platform::names;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::configuration::{API_KEY, CALLED_HOST};
use super::history::{CallKind, CallOutcome, CallRecord, SoakHistory};
use super::responses::{plain_body, stream_body};
use super::run::POLL_INTERVAL;

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadlines of a call with a plain response, and of one with a stream.
pub(super) const PLAIN_DEADLINE: Duration = Duration::from_secs(4);
const STREAM_DEADLINE: Duration = Duration::from_secs(8);
/// Deadline of a call to a host that resets its connections.
const RESET_DEADLINE: Duration = Duration::from_secs(1);
/// Delay after a connection that could not be opened or that broke.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Entry point of callers to an entry host.
#[derive(Debug)]
pub(super) struct HostFront {
    pub(super) address: SocketAddr,
    /// Whether the load balancer sends new connections to the host.
    pub(super) ready: AtomicBool,
    /// Number of calls sent to the host.
    pub(super) sent: AtomicU64,
}

/// State that all callers share.
#[derive(Debug)]
pub(super) struct CallerContext {
    pub(super) fronts: Vec<HostFront>,
    pub(super) history: Mutex<SoakHistory>,
    pub(super) stopped: AtomicBool,
    /// Distinguishes the calls of runs beside each other.
    run: u32,
    next_id: AtomicU64,
}

impl CallerContext {
    pub(super) fn new(fronts: Vec<SocketAddr>) -> Self {
        let fronts = fronts.into_iter().map(|address| HostFront {
            address,
            ready: AtomicBool::new(false),
            sent: AtomicU64::new(0),
        });
        Self {
            fronts: fronts.collect(),
            history: Mutex::default(),
            stopped: AtomicBool::new(false),
            run: rand::random(),
            next_id: AtomicU64::new(1),
        }
    }

    pub(super) fn allocate_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("call-{:08x}-{number:08}", self.run)
    }

    /// Signals all callers to stop.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns a random host in rotation, or any host if none is in rotation.
    fn pick_host(&self, random: &mut StdRng) -> usize {
        let ready = |index: &usize| self.fronts[*index].ready.load(Ordering::Relaxed);
        let hosts = (0..self.fronts.len()).filter(ready).collect::<Vec<_>>();
        match hosts.as_slice() {
            [] => random.random_range(0..self.fronts.len()),
            hosts => hosts[random.random_range(0..hosts.len())],
        }
    }
}

/// A connection to an entry host.
#[derive(Debug)]
pub(super) struct CallerConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Its sender is dropped when the connection has ended.
    ended: watch::Receiver<()>,
}

impl CallerConnection {
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of the response; returns `None` if the
    /// connection ends.
    async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<Response<Incoming>> {
        self.sender.ready().await.ok()?;
        let mut response = pin!(self.sender.send_request(request));
        // hyper may leave a request pending that it takes while the connection ends.
        let response = tokio::select! {
            biased;
            response = response.as_mut() => Some(response),
            _ = self.ended.changed() => response.now_or_never(),
        };
        response?.ok()
    }
}

/// Opens a connection; returns `None` if it fails or times out.
pub(super) async fn connect(address: SocketAddr) -> Option<CallerConnection> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let connected_http = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = connected_http.ok()?;
    let (is_open, ended) = watch::channel(());
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("caller connection failed: {error}");
        }
        drop(is_open);
    });
    Some(CallerConnection { sender, ended })
}

/// Calls a host that resets each connection, `calls` times from each of `callers` tasks, and
/// returns how many calls lasted until their deadline.
///
/// # Errors
///
/// If no port can be listened on, or the task of a caller fails.
pub async fn count_calls_without_end(callers: usize, calls: usize) -> io::Result<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let context = Arc::new(CallerContext::new(vec![listener.local_addr()?]));
    let host = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_zero_linger();
            tokio::spawn(async move { drop(stream) });
        }
    });
    let limits = CallLimits {
        deadline: RESET_DEADLINE,
        slack: Duration::ZERO,
    };
    let tasks = (0..callers).map(|_| {
        let context = context.clone();
        tokio::spawn(async move {
            let mut timed_out = 0;
            for _ in 0..calls {
                if let Some(mut connection) = connect(context.fronts[0].address).await {
                    let kind = CallKind::Idempotent;
                    let record = call_within(&context, &mut connection, 0, kind, limits).await;
                    timed_out += usize::from(record.outcome == CallOutcome::TimedOut);
                }
            }
            timed_out
        })
    });
    let mut timed_out = 0;
    for task in tasks.collect::<Vec<_>>() {
        timed_out += task.await.map_err(io::Error::other)?;
    }
    host.abort();
    Ok(timed_out)
}

/// Sends calls until the callers are stopped.
pub(super) async fn call_until_stopped(context: Arc<CallerContext>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    while !context.is_stopped() {
        let host = context.pick_host(&mut random);
        let calls = random.random_range(1..40);
        if let Some(connection) = connect(context.fronts[host].address).await {
            call_repeatedly(&context, connection, host, calls, &mut random).await;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Uses a connection until it is closed or `calls` calls have been sent.
async fn call_repeatedly(
    context: &CallerContext,
    mut connection: CallerConnection,
    host: usize,
    calls: u32,
    random: &mut StdRng,
) {
    for _ in 0..calls {
        if context.is_stopped() {
            return;
        }
        let kind = match random.random_range(0..10) {
            0..4 => CallKind::Idempotent,
            4..7 => CallKind::NonIdempotent,
            _ => CallKind::Stream,
        };
        let record = call(context, &mut connection, host, kind).await;
        let continues = matches!(record.outcome, CallOutcome::Completed { .. });
        context.history.lock().calls.push(record);
        if !continues || connection.is_closed() {
            return;
        }
        let pause = Duration::from_millis(random.random_range(5..40));
        tokio::time::sleep(pause).await;
    }
}

/// How long a call may take.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallLimits {
    /// Deadline that the call states.
    pub(super) deadline: Duration,
    /// Time after the deadline for which the caller still waits.
    pub(super) slack: Duration,
}

/// Calls one host, with a pause after each call, until the callers are stopped.
pub(super) async fn call_host(
    context: Arc<CallerContext>,
    host: usize,
    kind: CallKind,
    pause: Duration,
) -> Vec<CallRecord> {
    call_host_within(context, host, kind, pause, deadline_of(kind)).await
}

/// Calls one host like [`call_host`], and waits for the final response for a while longer
/// than the deadline that it states.
pub(super) async fn call_host_beyond_deadline(
    context: Arc<CallerContext>,
    host: usize,
    kind: CallKind,
    pause: Duration,
    slack: Duration,
) -> Vec<CallRecord> {
    let limits = CallLimits {
        deadline: deadline_of(kind),
        slack,
    };
    call_host_limited(context, host, kind, pause, limits).await
}

/// Calls one host like [`call_host`], with a deadline for each call.
pub(super) async fn call_host_within(
    context: Arc<CallerContext>,
    host: usize,
    kind: CallKind,
    pause: Duration,
    deadline: Duration,
) -> Vec<CallRecord> {
    let limits = CallLimits {
        deadline,
        slack: Duration::ZERO,
    };
    call_host_limited(context, host, kind, pause, limits).await
}

async fn call_host_limited(
    context: Arc<CallerContext>,
    host: usize,
    kind: CallKind,
    pause: Duration,
    limits: CallLimits,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !context.is_stopped() {
        let Some(mut connection) = connect(context.fronts[host].address).await else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        while !context.is_stopped() && !connection.is_closed() {
            records.push(call_within(&context, &mut connection, host, kind, limits).await);
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }
    records
}

/// Stops callers and returns what they recorded.
///
/// # Errors
///
/// If the task of a caller failed.
pub(super) async fn stop_callers(
    context: &CallerContext,
    callers: Vec<JoinHandle<Vec<CallRecord>>>,
) -> io::Result<Vec<CallRecord>> {
    context.stop();
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.map_err(io::Error::other)?);
    }
    Ok(records)
}

/// Returns the usual deadline of a call.
pub(super) fn deadline_of(kind: CallKind) -> Duration {
    match kind {
        CallKind::Idempotent | CallKind::NonIdempotent => PLAIN_DEADLINE,
        CallKind::Stream | CallKind::StreamOnce => STREAM_DEADLINE,
    }
}

/// Sends one call of a kind and records its outcome.
pub(super) async fn call(
    context: &CallerContext,
    connection: &mut CallerConnection,
    host: usize,
    kind: CallKind,
) -> CallRecord {
    let deadline = deadline_of(kind);
    let limits = CallLimits {
        deadline,
        slack: Duration::ZERO,
    };
    call_within(context, connection, host, kind, limits).await
}

/// Sends one call like [`call`], with a deadline.
pub(super) async fn call_within(
    context: &CallerContext,
    connection: &mut CallerConnection,
    host: usize,
    kind: CallKind,
    limits: CallLimits,
) -> CallRecord {
    let CallLimits { deadline, slack } = limits;
    let id = context.allocate_id();
    let (method, path) = match kind {
        CallKind::Idempotent => (Method::GET, "/read/one"),
        CallKind::NonIdempotent => (Method::POST, "/charge/one"),
        CallKind::Stream => (Method::POST, "/draft/one"),
        CallKind::StreamOnce => (Method::POST, "/draft-once/one"),
    };
    let request = build_request(&id, method, path, deadline);
    context.fronts[host].sent.fetch_add(1, Ordering::Relaxed);
    let sent = Instant::now();
    let result = tokio::time::timeout(deadline + slack, read_response(connection, request)).await;
    let not_run = matches!(&result, Ok(Ok(response)) if response.body_contains("\"not_run\""));
    let outcome = match result {
        Err(_) => CallOutcome::TimedOut,
        Ok(Err(broken)) => broken,
        Ok(Ok(response)) => classify_response(&id, kind, &response),
    };
    CallRecord {
        id,
        kind,
        host,
        sent,
        ended: Instant::now(),
        outcome,
        not_run,
    }
}

/// A complete response.
#[derive(Debug)]
pub(super) struct CompleteResponse {
    pub(super) status: u16,
    id: Option<String>,
    sealed: bool,
    body: Bytes,
}

impl CompleteResponse {
    /// Returns whether the body contains a word.
    pub(super) fn body_contains(&self, word: &str) -> bool {
        String::from_utf8_lossy(&self.body).contains(word)
    }
}

fn classify_response(id: &str, kind: CallKind, response: &CompleteResponse) -> CallOutcome {
    let expected = match kind {
        CallKind::Stream | CallKind::StreamOnce => stream_body(id),
        CallKind::Idempotent | CallKind::NonIdempotent => plain_body(id),
    };
    let body_matches =
        !(200..300).contains(&response.status) || response.body == expected.as_bytes();
    CallOutcome::Completed {
        status: response.status,
        sealed: response.sealed,
        matching: body_matches && response.id.as_deref() == Some(id),
    }
}

/// Builds a stream's request with a body of its own, whose prompt has the parts of `prefix`.
pub(super) fn build_draft(id: &str, prefix: &str) -> Option<Request<Full<Bytes>>> {
    let mut request = build_request(id, Method::POST, "/draft/one", STREAM_DEADLINE)?;
    let prefix = HeaderValue::from_str(prefix).ok()?;
    request.headers_mut().insert(names::PROMPT_PREFIX, prefix);
    *request.body_mut() = Full::new(Bytes::from(format!("prompt of {id}")));
    Some(request)
}

pub(super) fn build_request(
    id: &str,
    method: Method,
    path: &str,
    deadline: Duration,
) -> Option<Request<Full<Bytes>>> {
    let body = match method {
        Method::POST => Bytes::from_static(b"prompt"),
        _ => Bytes::new(),
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, CALLED_HOST)
        .header(header::AUTHORIZATION, format!("Bearer {API_KEY}"))
        .header(names::ATTEMPT_ID, id)
        .header(names::TOKEN_COUNTS, "20,60")
        .header(names::DEADLINE_MS, deadline.as_millis().to_string())
        .body(Full::new(body));
    request.ok()
}

/// Sends a request and reads the complete response; returns `None` if the connection
/// breaks.
pub(super) async fn exchange(
    connection: &mut CallerConnection,
    request: Option<Request<Full<Bytes>>>,
) -> Option<CompleteResponse> {
    read_response(connection, request).await.ok()
}

/// Sends a request and reads the complete response; returns how the call ended if the
/// connection breaks.
async fn read_response(
    connection: &mut CallerConnection,
    request: Option<Request<Full<Bytes>>>,
) -> Result<CompleteResponse, CallOutcome> {
    let request = request.ok_or(CallOutcome::Unanswered)?;
    let response = connection.send(request).await;
    let (head, body) = response.ok_or(CallOutcome::Unanswered)?.into_parts();
    let body = body.collect().await;
    let body = body.map_err(|_| CallOutcome::Interrupted)?.to_bytes();
    let id = head.headers.get(names::ATTEMPT_ID);
    Ok(CompleteResponse {
        status: head.status.as_u16(),
        id: id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        sealed: head.headers.contains_key(names::SERVER_SEAL),
        body,
    })
}
