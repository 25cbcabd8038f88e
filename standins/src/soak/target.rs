//! Targets over HTTP: plain ones, and engines that stream.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use jackdawwick::platform::names;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::answers::plain_body;
use super::configuration::TARGETS;
use super::engines::{
    PathPart, TargetFault, TargetState, TargetWorld, is_whole, parse_path, take_order,
};
use super::event_stream::{StreamCourse, stream_events};
use super::heartbeats::{write_heartbeat, write_heartbeats};
use super::history::RunRecord;
use super::link::FaultLink;
use super::log_service::LogTopics;
use super::poison::{CRASH_TIME, POISON_PATH};

/// Time that a plain answer takes.
const PLAIN_TIME: Duration = Duration::from_millis(15);

/// Answer of a target.
pub(super) type TargetBody = UnsyncBoxBody<Bytes, io::Error>;

/// What a target is, for as long as it lives.
#[derive(Debug, Clone)]
pub(super) struct TargetPlace {
    pub(super) service: &'static str,
    pub(super) zone: String,
    pub(super) kind: Option<&'static str>,
}

/// A running target behind its link.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) place: TargetPlace,
    pub(super) id: String,
    pub(super) link: FaultLink,
    world: Arc<TargetWorld>,
    topics: Arc<LogTopics>,
    serving: JoinHandle<()>,
    beating: JoinHandle<()>,
}

impl Target {
    /// Starts a target under an id of its own; it writes heartbeats.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub(super) async fn spawn(
        place: TargetPlace,
        id: String,
        world: Arc<TargetWorld>,
        topics: Arc<LogTopics>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = FaultLink::open(Some(listener.local_addr()?)).await?;
        let state = TargetState {
            id: id.clone(),
            reachable: true,
            ..TargetState::default()
        };
        world.states.lock().insert(link.address, state);
        let serving = tokio::spawn(accept_all(listener, world.clone(), link.address));
        let beating = tokio::spawn(write_heartbeats(
            place.clone(),
            link.address,
            world.clone(),
            topics.clone(),
        ));
        Ok(Self {
            place,
            id,
            link,
            world,
            topics,
            serving,
            beating,
        })
    }

    /// Says that it leaves, and goes on serving.
    pub(super) fn drain(&self) {
        self.update(|state| state.draining = true);
        write_heartbeat(&self.place, self.link.address, &self.world, &self.topics);
    }

    /// Changes what is true of it.
    pub(super) fn update<U>(&self, update: U)
    where
        U: FnOnce(&mut TargetState),
    {
        self.world.update(self.link.address, update);
    }

    /// Ends without a word; its entry lapses after three heartbeats.
    pub(super) fn crash(&self) {
        self.update(|state| state.reachable = false);
        self.abort();
        self.link.lead_to(None);
        self.link.set(super::link::LinkFault::Reset);
    }

    /// Its process ends: its port takes no connections any more.
    pub(super) fn end(&self) {
        self.update(|state| state.reachable = false);
        self.abort();
        self.link.close();
    }

    fn abort(&self) {
        self.serving.abort();
        self.beating.abort();
    }

    /// Whether it has begun to run a request that it does not survive; told once.
    pub(super) fn take_poisoned(&self) -> bool {
        let mut poisoned = false;
        self.update(|state| poisoned = std::mem::take(&mut state.poisoned));
        poisoned
    }

    /// Writes nothing more, and its entry is dropped from the log; it goes on serving.
    pub(super) fn leave(&self) {
        self.beating.abort();
        self.lapse();
    }

    /// Its entry is back in the log.
    pub(super) fn return_to_log(&mut self) {
        let place = self.place.clone();
        let (world, topics) = (self.world.clone(), self.topics.clone());
        self.beating = tokio::spawn(write_heartbeats(place, self.link.address, world, topics));
    }

    /// Its entry is dropped from the log.
    pub(super) fn lapse(&self) {
        self.topics.append(TARGETS, &self.id, None);
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.abort();
    }
}

async fn accept_all(listener: TcpListener, world: Arc<TargetWorld>, address: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, world.clone(), address));
    }
}

async fn serve_connection(stream: TcpStream, world: Arc<TargetWorld>, address: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let world = world.clone();
        async move { answer(&world, address, request).await }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("a connection of a target ended: {error}");
    }
}

/// Makes hyper close the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the answer is lost")]
struct LostAnswer;

async fn answer(
    world: &Arc<TargetWorld>,
    address: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<TargetBody>, LostAnswer> {
    let (parts, body) = request.into_parts();
    let text = |name: &str| {
        let value = parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let body = body.collect().await.map_err(|_| LostAnswer)?.to_bytes();
    let state = world.state(address);
    let mut response = match parts.uri.path() {
        _ if text(names::TARGET_INSTANCE).is_some_and(|id| id != state.id) => {
            Ok(refusal(421, address))
        }
        names::REPORT_PATH => Ok(json_answer(200, &world.report(address))),
        names::ORDER_PATH => {
            let (status, body) = take_order(world, address, &body);
            Ok(json_answer(status, &body))
        }
        _ => {
            if parts.uri.path() == POISON_PATH {
                tokio::time::sleep(CRASH_TIME).await;
                world.update(address, |state| state.poisoned = true);
                return std::future::pending().await;
            }
            let id = text(names::ATTEMPT_ID).unwrap_or_default();
            let path = text(names::ENGINE_PATH).as_deref().and_then(parse_path);
            let last = text(names::LAST_EVENT_ID).and_then(|last| last.parse().ok());
            run(world, address, id, path, last.unwrap_or(0)).await
        }
    }?;
    let limit = state.limit.map(HeaderValue::try_from);
    if let Some(Ok(limit)) = limit {
        response.headers_mut().insert(names::SERVER_LIMIT, limit);
    }
    Ok(response)
}

async fn run(
    world: &Arc<TargetWorld>,
    address: SocketAddr,
    id: String,
    path: Option<Vec<PathPart>>,
    last_event: u64,
) -> Result<Response<TargetBody>, LostAnswer> {
    let state = world.state(address);
    if let Some(unable) = path.as_ref().and_then(|path| world.unable(path)) {
        return Ok(refusal(503, unable));
    }
    if state.fault == TargetFault::Refuses {
        return Ok(refusal(503, address));
    }
    world.runs.lock().push(RunRecord {
        id: id.clone(),
        target: state.id.clone(),
        at: Instant::now(),
        layers_whole: path.as_ref().is_none_or(|path| is_whole(path)),
    });
    let echoed = match state.fault {
        TargetFault::AnswersOthers => format!("{id}-other"),
        _ => id.clone(),
    };
    let sealed = |status: u16, body: TargetBody| {
        let response = Response::builder()
            .status(status)
            .header(names::ATTEMPT_ID, &echoed)
            .header(names::SERVER_SEAL, &state.id);
        response.body(body).map_err(|_| LostAnswer)
    };
    match (path, state.fault) {
        (_, TargetFault::LosesAnswers) => {
            tokio::time::sleep(PLAIN_TIME).await;
            Err(LostAnswer)
        }
        (_, TargetFault::Fails) => sealed(500, whole(Bytes::from_static(b"failed"))),
        (None, fault) => {
            tokio::time::sleep(PLAIN_TIME).await;
            let text = plain_body(&id);
            match fault {
                TargetFault::BreaksOff => sealed(200, broken_body(text)),
                _ => sealed(200, whole(text.into())),
            }
        }
        (Some(path), fault) => {
            let course = match fault {
                TargetFault::BreaksOff => StreamCourse::BreaksSoon,
                _ => StreamCourse::Sound,
            };
            let events = stream_events(world.clone(), id, path, last_event, course);
            sealed(200, events)
        }
    }
}

/// An answer of which half comes, and then the connection breaks.
fn broken_body(text: String) -> TargetBody {
    let half = Bytes::from(text).slice(..4);
    let frames = [Ok(Frame::data(half)), Err(io::Error::other("breaks off"))];
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

fn whole(bytes: Bytes) -> TargetBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

fn json_answer(status: u16, body: &serde_json::Value) -> Response<TargetBody> {
    let mut response = Response::new(whole(body.to_string().into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// The target has not run the request; `at` is at fault.
fn refusal(status: u16, at: SocketAddr) -> Response<TargetBody> {
    let mut response = json_answer(status, &json!({}));
    let headers = response.headers_mut();
    headers.insert(names::NOT_EXECUTED, HeaderValue::from_static("1"));
    if let Ok(at) = HeaderValue::from_str(&at.to_string()) {
        headers.insert(names::AT_SERVER, at);
    }
    response
}
