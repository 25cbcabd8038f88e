//! Targets over HTTP: plain ones, and engines that stream.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::header::{self, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jackdawwick::platform::names;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::configuration::TARGETS;
use super::engines::{
    PathPart, TargetFault, TargetRegistry, TargetState, covers_all_layers, execute_order,
    parse_path,
};
use super::event_stream::{StreamBehavior, stream_events};
use super::heartbeats::{write_heartbeat, write_heartbeats};
use super::history::{AttemptRecord, RunRecord};
use super::host_link::{HostLink, LinkLoss};
use super::link::{FaultLink, LinkFault};
use super::log_service::LogTopics;
use super::poison::{CRASH_TIME, POISON_PATH};
use super::poison_part::has_poison_part;
use super::responses::plain_body;

/// Time that a plain response takes.
const PLAIN_TIME: Duration = Duration::from_millis(15);

/// Body of a target's response.
pub(super) type TargetBody = UnsyncBoxBody<Bytes, io::Error>;

/// Fixed properties of a target.
#[derive(Debug, Clone)]
pub(super) struct TargetSpec {
    pub(super) service: &'static str,
    pub(super) zone: String,
    pub(super) kind: Option<&'static str>,
}

/// A running target behind its link.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) spec: TargetSpec,
    pub(super) id: String,
    pub(super) link: FaultLink,
    /// Link inside the target, which holds all bytes while its process stands still.
    process: FaultLink,
    /// Links of hosts that have their own.
    host_links: Vec<HostLink>,
    registry: Arc<TargetRegistry>,
    topics: Arc<LogTopics>,
    server_task: JoinHandle<()>,
    heartbeat_task: JoinHandle<()>,
}

impl Target {
    /// Starts a target under an id of its own, which writes heartbeats.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub(super) async fn spawn(
        spec: TargetSpec,
        id: String,
        registry: Arc<TargetRegistry>,
        topics: Arc<LogTopics>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let process = FaultLink::open(Some(listener.local_addr()?)).await?;
        let link = FaultLink::open(Some(process.address)).await?;
        let state = TargetState {
            id: id.clone(),
            reachable: true,
            ..TargetState::default()
        };
        registry.states.lock().insert(link.address, state);
        let server_task = tokio::spawn(accept_all(listener, registry.clone(), link.address));
        let heartbeat_task = tokio::spawn(write_heartbeats(
            spec.clone(),
            link.address,
            registry.clone(),
            topics.clone(),
        ));
        Ok(Self {
            spec,
            id,
            link,
            process,
            host_links: Vec::new(),
            registry,
            topics,
            server_task,
            heartbeat_task,
        })
    }

    /// Opens a link of one host, which reaches the target at the address `ip`.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on.
    pub(super) fn open_host_link(
        &mut self,
        ip: IpAddr,
        loss: watch::Receiver<Option<LinkLoss>>,
    ) -> io::Result<()> {
        let address = SocketAddr::new(ip, self.link.address.port());
        let link = HostLink::open(address, self.link.address, loss)?;
        self.host_links.push(link);
        Ok(())
    }

    /// Writes a heartbeat at once, which the log takes at once.
    pub(super) fn write_heartbeat(&self) {
        write_heartbeat(&self.spec, self.link.address, &self.registry, &self.topics);
    }

    /// Announces that the target leaves; it keeps serving.
    pub(super) fn drain(&self) {
        self.update(|state| state.draining = true);
        write_heartbeat(&self.spec, self.link.address, &self.registry, &self.topics);
    }

    /// States in all further responses that the target is leaving, and stops its
    /// heartbeats without changing its entry in the log.
    pub(super) fn state_leaving(&self) {
        self.heartbeat_task.abort();
        self.update(|state| state.draining = true);
    }

    /// Stops the target as SIGSTOP stops a process: connections are accepted, nothing is
    /// sent on any of them, and no heartbeat is written.
    pub(super) fn stand_still(&self) {
        self.process.set(LinkFault::Blackhole);
        self.update(|state| state.still = true);
    }

    /// Continues after [`Self::stand_still`] with everything that the target held, unless its
    /// process has ended.
    pub(super) fn go_on(&self) {
        self.update(|state| state.still = false);
        if self.process.fault() == LinkFault::Blackhole {
            self.process.set(LinkFault::None);
        }
    }

    /// Changes the state of the target.
    pub(super) fn update<U>(&self, update: U)
    where
        U: FnOnce(&mut TargetState),
    {
        self.registry.update(self.link.address, update);
    }

    /// Stops the target without an announcement; its entry expires after three
    /// heartbeats.
    pub(super) fn crash(&self) {
        self.update(|state| state.reachable = false);
        self.abort();
        self.link.set_server(None);
        self.link.set(LinkFault::Reset);
        self.process.set(LinkFault::Reset);
    }

    /// Ends the process of the target, so that its port accepts no more connections.
    pub(super) fn exit(&self) {
        self.update(|state| state.reachable = false);
        self.abort();
        self.link.close();
    }

    fn abort(&self) {
        self.registry.record_end(self.link.address);
        self.server_task.abort();
        self.heartbeat_task.abort();
    }

    /// Returns whether the target has begun to run a request that crashes it, and clears
    /// the flag.
    pub(super) fn take_poisoned(&self) -> bool {
        let mut poisoned = false;
        self.update(|state| poisoned = std::mem::take(&mut state.poisoned));
        poisoned
    }

    /// Stops the heartbeats and removes the target's entry from the log; it keeps
    /// serving.
    pub(super) fn leave_silently(&self) {
        self.heartbeat_task.abort();
        self.remove_from_log();
    }

    /// Writes heartbeats again, which returns the target's entry to the log.
    pub(super) fn return_to_log(&mut self) {
        let spec = self.spec.clone();
        let (registry, topics) = (self.registry.clone(), self.topics.clone());
        self.heartbeat_task =
            tokio::spawn(write_heartbeats(spec, self.link.address, registry, topics));
    }

    /// Removes the target's entry from the log.
    pub(super) fn remove_from_log(&self) {
        self.topics.append(TARGETS, &self.id, None);
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.abort();
    }
}

async fn accept_all(listener: TcpListener, registry: Arc<TargetRegistry>, address: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, registry.clone(), address));
    }
}

async fn serve_connection(stream: TcpStream, registry: Arc<TargetRegistry>, address: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let registry = registry.clone();
        async move { respond(&registry, address, request).await }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("target connection failed: {error}");
    }
}

/// Error that makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("response dropped")]
struct DroppedResponse;

async fn respond(
    registry: &Arc<TargetRegistry>,
    address: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<TargetBody>, DroppedResponse> {
    let (parts, body) = request.into_parts();
    let text = |name: &str| {
        let value = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let body = body
        .collect()
        .await
        .map_err(|_| DroppedResponse)?
        .to_bytes();
    let state = registry.state(address);
    let mut response = match parts.uri.path() {
        _ if text(names::TARGET_INSTANCE).is_some_and(|id| id != state.id) => {
            Ok(refusal(421, address))
        }
        names::REPORT_PATH => Ok(json_response(200, &registry.report(address))),
        names::ORDER_PATH => {
            let (status, body) = execute_order(registry, address, &body);
            Ok(json_response(status, &body))
        }
        _ => {
            if parts.uri.path() == POISON_PATH {
                tokio::time::sleep(CRASH_TIME).await;
                registry.update(address, |state| state.poisoned = true);
                return std::future::pending().await;
            }
            let id = text(names::ATTEMPT_ID).unwrap_or_default();
            let path = text(names::ENGINE_PATH).as_deref().and_then(parse_path);
            let last = text(names::LAST_EVENT_ID).and_then(|last| last.parse().ok());
            let arrived = Instant::now();
            let call = TargetCall {
                id: id.clone(),
                path,
                last_event: last.unwrap_or(0),
                crashes_engines: has_poison_part(&parts.headers),
            };
            let response = run(registry, address, call).await;
            // A host cannot act on a response that its link to the target holds back.
            let delivered = response.as_ref().ok();
            let delivered = delivered.filter(|_| {
                let state = registry.state(address);
                state.reachable && !state.still
            });
            registry.attempts.lock().push(AttemptRecord {
                id,
                target: state.id.clone(),
                arrived,
                responded: Instant::now(),
                pause: delivered.and_then(requested_pause),
                leaving: delivered.is_some() && state.draining,
            });
            response
        }
    }?;
    if state.draining {
        let leaving = HeaderValue::from_static(names::LEAVING);
        response
            .headers_mut()
            .insert(names::SERVER_LEAVING, leaving);
    }
    let limit = state.limit.map(HeaderValue::try_from);
    if let Some(Ok(limit)) = limit {
        response.headers_mut().insert(names::SERVER_LIMIT, limit);
    }
    Ok(response)
}

/// A call as a target received it.
#[derive(Debug)]
struct TargetCall {
    id: String,
    /// The engines that it passes; `None` for a plain call.
    path: Option<Vec<PathPart>>,
    /// Id of the last event that its caller has.
    last_event: u64,
    /// Whether it crashes each engine that begins to run it.
    crashes_engines: bool,
}

async fn run(
    registry: &Arc<TargetRegistry>,
    address: SocketAddr,
    call: TargetCall,
) -> Result<Response<TargetBody>, DroppedResponse> {
    let TargetCall { id, path, .. } = call;
    let mut state = registry.state(address);
    if state.half_fails
        && state.fault == TargetFault::None
        && registry.runs.lock().len().is_multiple_of(2)
    {
        state.fault = TargetFault::Fails;
    }
    if let Some(unavailable) = path.as_ref().and_then(|path| registry.unavailable(path)) {
        return Ok(refusal(503, unavailable));
    }
    match state.fault {
        TargetFault::Refuses => return Ok(refusal(503, address)),
        TargetFault::RequestsPause(pause) => return Ok(pausing_refusal(pause, address)),
        _ => {}
    }
    registry.runs.lock().push(RunRecord {
        id: id.clone(),
        target: state.id.clone(),
        at: Instant::now(),
        failed: matches!(
            state.fault,
            TargetFault::Fails | TargetFault::WrongRequestId | TargetFault::DropsResponse
        ),
        layers_covered: path.as_ref().is_none_or(|path| covers_all_layers(path)),
    });
    match state.fault {
        TargetFault::AnswersFrom(from) => tokio::time::sleep_until(from.into()).await,
        TargetFault::AnswersAfter(time) => tokio::time::sleep(time).await,
        _ => {}
    }
    let echoed = match state.fault {
        TargetFault::WrongRequestId => format!("{id}-other"),
        _ => id.clone(),
    };
    let sealed = |status: u16, body: TargetBody| {
        let response = Response::builder()
            .status(status)
            .header(names::ATTEMPT_ID, &echoed)
            .header(names::SERVER_SEAL, &state.id);
        response.body(body).map_err(|_| DroppedResponse)
    };
    match (path, state.fault) {
        (_, TargetFault::DropsResponse) => {
            tokio::time::sleep(PLAIN_TIME).await;
            Err(DroppedResponse)
        }
        (_, TargetFault::Fails) => sealed(500, full_body(Bytes::from_static(b"failed"))),
        (None, fault) => {
            tokio::time::sleep(PLAIN_TIME).await;
            let text = plain_body(&id);
            match fault {
                TargetFault::TruncatesBody => {
                    registry.record_break(&id);
                    sealed(200, truncated_body(text))
                }
                _ => sealed(200, full_body(text.into())),
            }
        }
        (Some(path), fault) => {
            let behavior = match fault {
                _ if call.crashes_engines => {
                    registry.poison_arrivals.lock().push(Instant::now());
                    tokio::spawn(crash_soon(registry.clone(), address));
                    StreamBehavior::NeverStarts
                }
                TargetFault::TruncatesBody => StreamBehavior::TruncatesSoon,
                _ => StreamBehavior::Complete,
            };
            let events = stream_events(
                registry.clone(),
                address,
                id,
                path,
                call.last_event,
                behavior,
            );
            sealed(200, events)
        }
    }
}

/// Marks an engine as crashed once a request has begun to run on it.
async fn crash_soon(registry: Arc<TargetRegistry>, address: SocketAddr) {
    tokio::time::sleep(CRASH_TIME).await;
    registry.update(address, |state| state.poisoned = true);
}

/// Returns a body of which only a part arrives before the connection breaks.
fn truncated_body(text: String) -> TargetBody {
    let half = Bytes::from(text).slice(..4);
    let frames = [
        Ok(Frame::data(half)),
        Err(io::Error::other("body truncated")),
    ];
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

fn full_body(bytes: Bytes) -> TargetBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn json_response(status: u16, body: &serde_json::Value) -> Response<TargetBody> {
    let mut response = Response::new(full_body(body.to_string().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Creates a refusal of a request that was not run, with the server `at` as its cause.
fn refusal(status: u16, at: SocketAddr) -> Response<TargetBody> {
    let mut response = json_response(status, &json!({}));
    let headers = response.headers_mut();
    headers.insert(names::NOT_EXECUTED, HeaderValue::from_static("1"));
    if let Ok(at) = HeaderValue::from_str(&at.to_string()) {
        headers.insert(names::AT_SERVER, at);
    }
    response
}

/// Creates a refusal that requests a pause.
fn pausing_refusal(pause: Duration, at: SocketAddr) -> Response<TargetBody> {
    let mut response = refusal(503, at);
    let seconds = format!("{:.3}", pause.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Returns the pause that a response requests.
fn requested_pause(response: &Response<TargetBody>) -> Option<Duration> {
    let value = response.headers().get(header::RETRY_AFTER)?.to_str().ok()?;
    Duration::try_from_secs_f64(value.parse().ok()?).ok()
}
