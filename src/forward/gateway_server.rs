//! Passes requests of other entry hosts on to targets that they do not reach themselves.
//!
//! Serves hosts of the fleet alone, one request a connection, with bounds on connections,
//! requests, their heads and bodies, and the time that each may take. A request goes to the
//! target over this host's own link, and never through another gateway.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::seq::IteratorRandom;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use super::connection_tasks::ConnectionTasks;
use super::exchange::InFlightRequest;
use super::head::{forwarded, number_value};
use super::head_limit::{LinkBody, TargetBody};
use super::notices::ObservedResponse;
use super::progress::RequestProgress;
use super::response::{ResponseBody, whole_body};
use super::response_end::{ends_with_connection, may_be_truncated};
use super::shutdown::ShutdownEnd;
use super::socket;
use super::tables::ServingTables;
use super::target_link::handshake;
use crate::buffer::{BodyBlocks, CollectError, collect_body};
use crate::gateway::{GatewayResult, PROBE_HEADER, RESULT_HEADER, TARGET_HEADER};
use crate::ids::TargetId;
use crate::platform::target_notice::parse_notice;
use crate::platform::{names, order};

/// Largest number of requests that are passed on at a time.
const MAX_REQUESTS: usize = 256;
/// Largest head of a request, in bytes: that of a caller and the headers of this system.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest body of a request while no configuration sets a limit, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Timeouts of the head and of the body of a request, which hosts send at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for a request without a deadline, and longest time for any request. Streams take
/// up to 20 s.
const DEFAULT_TIME: Duration = Duration::from_secs(30);
const MAX_TIME: Duration = Duration::from_secs(300);
/// Time that a request may take beyond its deadline, at which the other host ends it.
const DEADLINE_MARGIN: Duration = Duration::from_secs(1);
/// Pause after a failed accept, for instance while file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Returns whether an address belongs to a host of the fleet.
pub type MemberCheck = Arc<dyn Fn(IpAddr) -> bool + Send + Sync>;

/// A running gateway.
#[derive(Debug)]
pub struct GatewayHandle {
    /// Address that the gateway listens on.
    pub address: SocketAddr,
    connections: ConnectionTasks,
}

impl GatewayHandle {
    /// Stops accepting connections, and returns when the responses of the open ones are sent,
    /// at most at `end`.
    pub async fn shutdown(self, end: Instant) {
        self.connections.shutdown(end).await;
    }
}

struct GatewayServer {
    tables: Arc<ServingTables>,
    is_member: MemberCheck,
    places: Arc<Semaphore>,
    slots: Arc<Semaphore>,
}

impl fmt::Debug for GatewayServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("GatewayServer")
            .finish_non_exhaustive()
    }
}

/// Serves other hosts on `address`.
///
/// # Errors
///
/// If the address cannot be used.
pub fn serve_gateway(
    tables: Arc<ServingTables>,
    address: SocketAddr,
    is_member: MemberCheck,
) -> io::Result<GatewayHandle> {
    let listener = socket::bind(address)?;
    let address = listener.local_addr()?;
    let server = GatewayServer {
        places: Arc::new(Semaphore::new(tables.plan.gateway_connections)),
        tables,
        is_member,
        slots: Arc::new(Semaphore::new(MAX_REQUESTS)),
    };
    let connections = ConnectionTasks::default();
    connections.spawn(accept_all(Arc::new(server), listener, connections.clone()));
    Ok(GatewayHandle {
        address,
        connections,
    })
}

async fn accept_all(
    server: Arc<GatewayServer>,
    listener: TcpListener,
    connections: ConnectionTasks,
) {
    let stop = connections.stop.clone();
    loop {
        let accepted = tokio::select! {
            // Connections that have arrived are told that this host is shutting down.
            biased;
            accepted = listener.accept() => accepted,
            () = stop.shutdown.cancelled() => return,
        };
        match accepted {
            Ok((stream, peer)) => match server.places.clone().try_acquire_owned() {
                Ok(place) => {
                    let (server, cut) = (server.clone(), stop.cut.clone());
                    let served = serve_connection(server, stream, peer.ip(), place);
                    connections.spawn(until_cut(served, cut));
                }
                Err(_) => server.tables.metrics.gateway_served("connection_limit"),
            },
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection of another host");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn until_cut<F>(served: F, cut: CancellationToken)
where
    F: Future<Output = ()>,
{
    tokio::select! {
        biased;
        () = served => {}
        () = cut.cancelled() => {}
    }
}

async fn serve_connection(
    server: Arc<GatewayServer>,
    stream: TcpStream,
    source: IpAddr,
    _place: OwnedSemaphorePermit,
) {
    if let Err(error) = socket::prepare(&stream) {
        log::debug!("cannot configure the connection of another host: {error}");
        return;
    }
    let service = service_fn(|request| {
        let server = server.clone();
        async move { Ok::<_, Infallible>(server.handle(source, request).await) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection of another host failed: {error}");
    }
}

/// A request of another host.
#[derive(Debug)]
struct PassedRequest {
    source: IpAddr,
    id: String,
    target: TargetId,
    address: SocketAddr,
    arrived: Instant,
    /// Time at which the request is given up.
    until: Instant,
}

impl GatewayServer {
    async fn handle<B>(&self, source: IpAddr, request: Request<B>) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        let id = text(request.headers(), names::ATTEMPT_ID).unwrap_or_default();
        let progress = Arc::new(RequestProgress::new(id, Instant::now()));
        let handled = tokio::select! {
            biased;
            handled = self.try_handle(source, request, &progress) => handled,
            () = self.tables.clone().answer_due() => Err(self.end_request(&progress, Instant::now())),
        };
        let id = &progress.id;
        match handled {
            Ok(response) => response,
            Err(result) => {
                self.tables.metrics.gateway_served(result.name());
                match result {
                    GatewayResult::Reachable => {}
                    GatewayResult::Broken => log::info!(
                        request:% = id, from:% = source;
                        "request passed on without a response"
                    ),
                    // Its line says what the shutdown did.
                    GatewayResult::Stopped => {}
                    _ => log::info!(
                        request:% = id, from:% = source, result:% = result.name();
                        "request not passed on"
                    ),
                }
                result_response(result)
            }
        }
    }

    /// Passes a request on, and returns the target's response.
    ///
    /// # Errors
    ///
    /// What this host states instead, if the request was a probe, could not be passed on or
    /// got no response.
    async fn try_handle<B>(
        &self,
        source: IpAddr,
        request: Request<B>,
        progress: &Arc<RequestProgress>,
    ) -> Result<Response<ResponseBody>, GatewayResult>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        let slot = self.admit(source)?;
        let in_flight = InFlightRequest::open(self.tables.clone());
        let (mut parts, body) = request.into_parts();
        let passed = self.read_head(source, &parts.headers)?;
        if parts.headers.contains_key(PROBE_HEADER) {
            self.connect(&passed).await?;
            return Err(GatewayResult::Reachable);
        }
        let body = self.read_body(body).await?;
        progress.set_deadline(passed.until);
        let stream = self.connect(&passed).await?;
        self.check_available(&passed, &parts.headers)?;
        let sent = Instant::now();
        prepare_headers(&mut parts.headers, sent.duration_since(passed.arrived));
        let request = Request::from_parts(parts, LinkBody::Right(body));
        let sending = async {
            let reads = self.tables.pending_reads(&passed.target);
            let mut sender = handshake(stream, &reads).await?;
            progress.observe_sent();
            sender.send_request(request).await
        };
        let response = match tokio::time::timeout_at(passed.until.into(), sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) | Err(_) => return Err(GatewayResult::Broken),
        };
        self.observe_response(&passed, sent, &response);
        let (head, body) = response.into_parts();
        let unframed = ends_with_connection(&head.headers).then(|| UnframedSource {
            tables: self.tables.clone(),
            target: passed.target.clone(),
            address: passed.address,
        });
        let body = RelayedBody {
            body,
            unframed,
            until: passed.until,
            answer_due: Box::pin(self.tables.clone().answer_due()),
            tables: self.tables.clone(),
            progress: progress.clone(),
            _in_flight: in_flight,
            _slot: slot,
        };
        let mut response = Response::new(body.into_response_body());
        *response.status_mut() = head.status;
        *response.headers_mut() = forwarded(&head.headers);
        response.headers_mut().remove(RESULT_HEADER);
        Ok(response)
    }

    /// Returns what this host states of a request that is left at the end of the shutdown.
    fn end_request(&self, progress: &RequestProgress, now: Instant) -> GatewayResult {
        self.tables
            .record_shutdown_end(progress, ShutdownEnd::Answered, now);
        match progress.may_have_run() {
            true => GatewayResult::Stopped,
            false => GatewayResult::Draining,
        }
    }

    /// Returns a slot for a request, if this host can help the one that sent it.
    fn admit(&self, source: IpAddr) -> Result<OwnedSemaphorePermit, GatewayResult> {
        if !(self.is_member)(source) {
            return Err(GatewayResult::UnknownHost);
        }
        if self.tables.is_draining() {
            return Err(GatewayResult::Draining);
        }
        if self.tables.configuration.load().is_none() {
            return Err(GatewayResult::NotReady);
        }
        if self.tables.is_isolated() {
            return Err(GatewayResult::Isolated);
        }
        let slot = self.slots.clone().try_acquire_owned();
        slot.map_err(|_| GatewayResult::Busy)
    }

    fn read_head(
        &self,
        source: IpAddr,
        headers: &HeaderMap,
    ) -> Result<PassedRequest, GatewayResult> {
        let target = text(headers, TARGET_HEADER).ok_or(GatewayResult::Malformed)?;
        let address = {
            let fleet = self.tables.fleet.lock();
            let state = fleet.get(target).ok_or(GatewayResult::UnknownTarget)?;
            state.entry.address
        };
        let arrived = Instant::now();
        let time = deadline(headers).map_or(DEFAULT_TIME, |time| time + DEADLINE_MARGIN);
        Ok(PassedRequest {
            source,
            id: text(headers, names::ATTEMPT_ID)
                .unwrap_or_default()
                .to_owned(),
            target: target.into(),
            address,
            arrived,
            until: arrived + time.min(MAX_TIME),
        })
    }

    async fn read_body<B>(&self, body: B) -> Result<BodyBlocks, GatewayResult>
    where
        B: Body<Data = Bytes, Error = hyper::Error>,
    {
        let configuration = self.tables.configuration.load();
        let limit = configuration
            .as_ref()
            .map_or(MAX_BODY_BYTES, |known| known.limits.body_bytes);
        let collected = collect_body(body, limit, self.tables.request_budget.open());
        match tokio::time::timeout(BODY_TIMEOUT, collected).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(CollectError::Denied | CollectError::Evicted)) => Err(GatewayResult::Busy),
            Ok(Err(CollectError::TooLong | CollectError::Body(_))) | Err(_) => {
                Err(GatewayResult::Malformed)
            }
        }
    }

    async fn connect(&self, passed: &PassedRequest) -> Result<TcpStream, GatewayResult> {
        let connected = self
            .tables
            .connect_target(&passed.target, passed.address, CONNECT_TIMEOUT);
        let failure = match connected.await {
            Ok(stream) => return Ok(stream),
            Err(error) => error.kind(),
        };
        match failure {
            _ if !self.reaches_another(&passed.target).await => Err(GatewayResult::Isolated),
            io::ErrorKind::ConnectionRefused => Err(GatewayResult::Refused),
            _ => Err(GatewayResult::Unreachable),
        }
    }

    /// Returns whether this host reaches another target than the one that it just failed to
    /// connect to. It may have lost its own links without knowing it yet, and its result would
    /// eject a target that others reach.
    async fn reaches_another(&self, failed: &TargetId) -> bool {
        if self.tables.reachability.lock().is_doubtful() {
            return false;
        }
        let other = {
            let fleet = self.tables.fleet.lock();
            let now = Instant::now();
            let others = fleet
                .targets()
                .filter(|state| state.entry.id != *failed && state.is_usable(now));
            others
                .choose(&mut rand::rng())
                .map(|state| (state.entry.id.clone(), state.entry.address))
        };
        let Some((id, address)) = other else {
            return true;
        };
        let connected = self.tables.connect_target(&id, address, CONNECT_TIMEOUT);
        connected.await.is_ok()
    }

    /// Checks that no target of the request pauses or is leaving, as this host knows.
    fn check_available(
        &self,
        passed: &PassedRequest,
        headers: &HeaderMap,
    ) -> Result<(), GatewayResult> {
        if passed.id.is_empty() {
            // Reports and orders go to leaving targets too.
            return Ok(());
        }
        let hops = text(headers, names::ENGINE_PATH).map_or_else(Vec::new, order::path_addresses);
        let fleet = self.tables.fleet.lock();
        let on_path = fleet
            .targets()
            .filter(|state| hops.contains(&state.entry.address));
        let mut targets = on_path.map(|state| &state.entry.id).chain([&passed.target]);
        match fleet.find_unavailable(&mut targets, Instant::now()) {
            None => Ok(()),
            Some(_) => Err(GatewayResult::Unavailable),
        }
    }

    /// Applies what the target states in its response, which this host has seen as well.
    fn observe_response(
        &self,
        passed: &PassedRequest,
        sent: Instant,
        response: &Response<TargetBody>,
    ) {
        let (status, headers) = (response.status(), response.headers());
        if !passed.id.is_empty() {
            let observed = ObservedResponse {
                target: &passed.target,
                request: &passed.id,
                sent,
                received: Instant::now(),
            };
            let notice = parse_notice(headers);
            self.tables
                .observe_notice(observed, status, &notice, headers);
        }
        self.tables.metrics.gateway_served("passed_on");
        log::info!(
            request:% = passed.id,
            from:% = passed.source,
            target_id:% = passed.target,
            status = status.as_u16(),
            after_ms = passed.arrived.elapsed().as_millis() as u64;
            "request passed on"
        );
    }
}

/// The body of a target's response on its way to another host.
struct RelayedBody {
    body: TargetBody,
    /// The target, if the end of the body is the end of its connection.
    unframed: Option<UnframedSource>,
    until: Instant,
    answer_due: BoxFuture<'static, ()>,
    tables: Arc<ServingTables>,
    progress: Arc<RequestProgress>,
    _in_flight: InFlightRequest,
    _slot: OwnedSemaphorePermit,
}

/// The target of a response without length and chunks.
struct UnframedSource {
    tables: Arc<ServingTables>,
    target: TargetId,
    address: SocketAddr,
}

impl UnframedSource {
    async fn may_be_truncated(&self) -> bool {
        may_be_truncated(&self.tables, &self.target, self.address).await
    }
}

impl RelayedBody {
    /// Returns a body that ends in an error if the target's does, so that the other host
    /// never takes a truncated response for a complete one.
    fn into_response_body(self) -> ResponseBody {
        let frames = stream::unfold(Some(self), |relayed| async move {
            let mut relayed = relayed?;
            match relayed.next().await {
                Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relayed))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        let read = tokio::time::timeout_at(self.until.into(), self.body.frame());
        let read = tokio::select! {
            biased;
            read = read => read,
            () = &mut self.answer_due => return Err(self.cut_at_shutdown(Instant::now())),
        };
        match read {
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
            Ok(None) => match self.unframed.take() {
                Some(source) if source.may_be_truncated().await => {
                    Err(io::Error::from(io::ErrorKind::UnexpectedEof))
                }
                _ => Ok(None),
            },
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Ok(Some(Err(error))) => Err(io::Error::other(error)),
        }
    }

    fn cut_at_shutdown(&self, now: Instant) -> io::Error {
        self.tables
            .record_shutdown_end(&self.progress, ShutdownEnd::Cut, now);
        io::Error::other("shutdown")
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the time that is left for a request.
fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let left = text(headers, names::DEADLINE_MS)?.parse().ok()?;
    Some(Duration::from_millis(left))
}

/// Removes the headers that concern the connection to this host, and takes the time that
/// the request spent here off its deadline.
fn prepare_headers(headers: &mut HeaderMap, spent: Duration) {
    for name in [
        header::CONNECTION.as_str(),
        header::CONTENT_LENGTH.as_str(),
        header::TRANSFER_ENCODING.as_str(),
        TARGET_HEADER,
    ] {
        headers.remove(name);
    }
    if let Some(left) = deadline(headers) {
        let left = left.saturating_sub(spent).as_millis().max(1);
        headers.insert(names::DEADLINE_MS, number_value(left));
    }
}

/// Creates the response that states a result.
fn result_response(result: GatewayResult) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(Bytes::new()));
    *response.status_mut() = match result {
        GatewayResult::Reachable => StatusCode::NO_CONTENT,
        GatewayResult::UnknownHost => StatusCode::FORBIDDEN,
        GatewayResult::Malformed => StatusCode::BAD_REQUEST,
        GatewayResult::Broken | GatewayResult::Stopped => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
        .headers_mut()
        .insert(RESULT_HEADER, HeaderValue::from_static(result.name()));
    response
}
