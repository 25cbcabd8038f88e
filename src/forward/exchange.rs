//! Handles one request of a caller, from its head to the response.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;

use super::admission_wait::StartProgress;
use super::attempt::{AttemptFailure, FailureCause, OutgoingRequest};
use super::attempt_policy::AttemptPurpose;
use super::choice::{self, ChosenTarget};
use super::connection_phase::ConnectionPhase;
use super::head::{CallerHead, forwarded, request_size, shared_parts};
use super::head_limit::TargetBody;
use super::panics::{catch_panic, guard_body};
use super::progress::RequestProgress;
use super::race::{AttemptRace, AttemptRole, RaceEvent};
use super::relay;
use super::response::{Refusal, ResponseBody, block_body};
use super::shutdown::ShutdownEnd;
use super::tables::ServingTables;
use crate::buffer::{BufferBudget, CollectError, collect_body};
use crate::fleet::RequestSize;
use crate::ids::TargetId;
use crate::ingress::{MatchedRequest, ServiceSpec, match_request};
use crate::platform::names;
use crate::poison::{RequestIdentity, RequestSuspects, organisation_hash, part_key, request_key};
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// `Retry-After` of a request for which no target is available: about the time in which a
/// lost engine is noticed and its requests are moved.
pub(super) const NO_ROUTE_RETRY: Duration = Duration::from_millis(500);
/// `Retry-After` of a request that arrives before the configuration: a start takes about
/// a second.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);
/// `Retry-After` of a request that a stopping or overloaded host refuses: short, since the
/// caller's next connection leads to another host.
pub(super) const OTHER_HOST_RETRY: Duration = Duration::from_millis(50);
/// Longest time for which the body of a refused request is read. A caller that sends for
/// longer would keep a connection for nothing.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);

/// State that the attempts of one request share.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) tables: Arc<ServingTables>,
    pub(super) outgoing: OutgoingRequest,
    pub(super) matched: MatchedRequest,
    pub(super) service: Arc<ServiceSpec>,
    /// What may be the cause if a target ends under the request.
    pub(super) suspects: RequestSuspects,
    /// Ids of the parts of the prompt that other requests may share.
    pub(super) prompt_parts: Vec<String>,
    pub(super) size: RequestSize,
    /// Random number from 0 to 1 that decides whether the request is sent to another zone;
    /// set once this host's zone sends requests away.
    pub(super) zone_draw: OnceLock<f64>,
    /// Version of the configuration that matched the request.
    pub(super) configuration: u64,
    /// When the head of the request was received.
    pub(super) arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(super) deadline: Instant,
    /// How far the request has come, as the connection of the caller reports it.
    pub(super) progress: Arc<RequestProgress>,
    /// What has been decided about its start.
    pub(super) start: Mutex<StartProgress>,
}

/// Handles a caller's request and returns its response.
pub(super) async fn handle_request(
    tables: Arc<ServingTables>,
    request: Request<Incoming>,
    phase: &ConnectionPhase,
    progress: Arc<RequestProgress>,
    arrived: Instant,
) -> Response<ResponseBody> {
    let (parts, mut body) = request.into_parts();
    let head = CallerHead::read(&parts, arrived);
    let in_flight_request = InFlightRequest::open(tables.clone());
    let handled = async {
        let received = ReceivedRequest {
            parts,
            body: &mut body,
            head: &head,
            arrived,
        };
        let exchange = open(tables.clone(), received, phase, progress.clone()).await?;
        forward(Arc::new(exchange), in_flight_request).await
    };
    let handled = tokio::select! {
        biased;
        handled = catch_panic(&tables, &head.id, Box::pin(handled)) => handled,
        () = tables.clone().answer_due() => Err(tables.end_request(&progress, Instant::now())),
    };
    let mut response = match handled {
        Ok(response) => response.map(|body| guard_body(tables.clone(), &head.id, body)),
        Err(refusal) => {
            // A caller that has stalled sends nothing that would have to be read.
            if refusal.status != StatusCode::REQUEST_TIMEOUT {
                discard_rest(body, body_limit(&tables));
            }
            refuse(&tables, &head.id, refusal, arrived)
        }
    };
    if !response.headers().contains_key(names::ATTEMPT_ID)
        && let Ok(id) = HeaderValue::from_str(&head.id)
    {
        response.headers_mut().insert(names::ATTEMPT_ID, id);
    }
    response
}

/// Reads a request and refuses it, since this host is overloaded and others are not.
pub(super) async fn refuse_request(
    tables: Arc<ServingTables>,
    request: Request<Incoming>,
    phase: &ConnectionPhase,
    progress: Arc<RequestProgress>,
    arrived: Instant,
) -> Response<ResponseBody> {
    let (parts, mut body) = request.into_parts();
    let head = CallerHead::read(&parts, arrived);
    let limit = body_limit(&tables);
    let _in_flight = InFlightRequest::open(tables.clone());
    // A connection that is closed with unread bytes may lose the response.
    let discarded = tokio::time::timeout(DISCARD_TIMEOUT, discard(&mut body, limit));
    let refusal = tokio::select! {
        biased;
        read = discarded => match read {
            Ok(Ok(())) => Refusal::not_run(RefusalReason::HostOverloaded, OTHER_HOST_RETRY),
            Ok(Err(error)) => unread(&error),
            Err(_) => Refusal::timed_out(RefusalReason::BodyStalled),
        },
        () = phase.replaced() => Refusal::timed_out(RefusalReason::BodyStalled),
        () = tables.clone().answer_due() => tables.end_request(&progress, Instant::now()),
    };
    discard_rest(body, limit);
    refuse(&tables, &head.id, refusal, arrived)
}

fn refuse(
    tables: &ServingTables,
    id: &str,
    refusal: Refusal,
    arrived: Instant,
) -> Response<ResponseBody> {
    let configuration = tables.configuration.load();
    log::info!(
        request:% = id,
        status = refusal.status.as_u16(),
        reason:% = refusal.reason.name(),
        verdict:? = refusal.verdict,
        retry_after_ms = refusal.retry_after.map_or(0, |after| after.as_millis() as u64),
        configuration = configuration.as_ref().map_or(0, |known| known.version),
        after_ms = arrived.elapsed().as_millis() as u64;
        "refused"
    );
    tables.metrics.refused(refusal.reason);
    refusal.into_response(id)
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    tables: Arc<ServingTables>,
}

impl InFlightRequest {
    pub(super) fn open(tables: Arc<ServingTables>) -> Self {
        tables.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { tables }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.tables.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.tables.completed.fetch_add(1, Ordering::Relaxed);
    }
}

/// A request whose head has arrived.
struct ReceivedRequest<'a> {
    parts: http::request::Parts,
    body: &'a mut Incoming,
    head: &'a CallerHead,
    arrived: Instant,
}

async fn open(
    tables: Arc<ServingTables>,
    received: ReceivedRequest<'_>,
    phase: &ConnectionPhase,
    progress: Arc<RequestProgress>,
) -> Result<Exchange, Refusal> {
    let ReceivedRequest {
        parts,
        body,
        head,
        arrived,
    } = received;
    let not_ready = || Refusal::not_run(RefusalReason::NotReady, NOT_READY_RETRY);
    let configuration = tables.configuration.load_full().ok_or_else(not_ready)?;
    let path = parts.uri.path();
    let matched = match_request(&configuration, &head.host, path, head.key.as_deref());
    let matched = matched.map_err(Refusal::rejected)?;
    let share = choice::draw_service(&matched.route, rand::random());
    let service = share
        .and_then(|share| configuration.services.get(&share.service))
        .cloned();
    let service =
        service.ok_or_else(|| Refusal::not_run(RefusalReason::NoRoute, NO_ROUTE_RETRY))?;
    let timeout = arrived + matched.route.timeout;
    let deadline = head
        .deadline
        .map_or(timeout, |deadline| deadline.min(timeout));
    tables.check_drain(&progress, deadline, arrived)?;
    // A longer body would never find room.
    let limit = configuration
        .limits
        .body_bytes
        .min(tables.request_budget.limit());
    let body = tokio::select! {
        biased;
        body = collect_body(body, limit, tables.request_budget.open()) => {
            body.map_err(|error| unread(&error))?
        }
        () = tokio::time::sleep_until(deadline.into()) => {
            return Err(Refusal::timed_out(RefusalReason::DeadlinePassed));
        }
        () = phase.replaced() => return Err(Refusal::timed_out(RefusalReason::BodyStalled)),
    };
    if !phase.observe_body() {
        return Err(Refusal::not_run(
            RefusalReason::HostOverloaded,
            OTHER_HOST_RETRY,
        ));
    }
    progress.set_deadline(deadline);
    // The shutdown may have begun while the body arrived.
    tables.check_drain(&progress, deadline, Instant::now())?;
    let target = parts.uri.path_and_query();
    let pieces = body.parts().collect::<Vec<_>>();
    let key = request_key(RequestIdentity {
        method: parts.method.as_str(),
        host: &head.host,
        path: target.map_or(path, |target| target.as_str()),
        organisation: matched.organisation.as_deref(),
        body: &pieces,
    });
    let prompt_parts = match service.engine {
        Some(_) => shared_parts(&parts.headers),
        None => Vec::new(),
    };
    let part_keys = prompt_parts
        .iter()
        .map(|part| part_key(&service.name, part));
    let suspects = RequestSuspects {
        request: key,
        organisation: organisation_hash(matched.organisation.as_deref()),
        parts: part_keys.collect(),
    };
    tables.check_poison(&suspects, &head.id, arrived)?;
    let mut headers = forwarded(&parts.headers);
    if let Some(organisation) = &matched.organisation
        && let Ok(name) = HeaderValue::from_str(organisation)
    {
        headers.insert(names::ORGANISATION, name);
    }
    let size = service
        .engine
        .as_ref()
        .map(|model| request_size(&parts.headers, model));
    if service.engine.is_some() {
        let class = tables.urgency_class(&configuration, &service.name, &matched);
        headers.insert(names::URGENCY_CLASS, HeaderValue::from(u16::from(class)));
    }
    tables.count_request(&service.name, arrived);
    let organisation = matched.organisation.as_deref();
    tables.count_arrival(&service.name, matched.combined, organisation, arrived);
    Ok(Exchange {
        configuration: configuration.version,
        arrived,
        start: Mutex::default(),
        outgoing: OutgoingRequest {
            id: head.id.clone(),
            method: parts.method,
            uri: parts
                .uri
                .path_and_query()
                .map_or_else(|| parts.uri.clone(), |path| http::Uri::from(path.clone())),
            headers,
            body,
        },
        deadline,
        progress,
        size: size.unwrap_or(RequestSize {
            prompt: 0,
            answer: 0,
        }),
        matched,
        service,
        suspects,
        prompt_parts,
        zone_draw: OnceLock::new(),
        tables,
    })
}

/// Returns the largest body of a request, in bytes.
fn body_limit(tables: &ServingTables) -> usize {
    let configuration = tables.configuration.load();
    let limits = configuration.as_ref().map(|known| known.limits);
    limits.unwrap_or_default().body_bytes
}

/// Reads what is left of the body of a refused request, beside the response: a connection that
/// is closed with unread bytes may lose it.
fn discard_rest(mut body: Incoming, limit: usize) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(async move {
        let discarded = tokio::time::timeout(DISCARD_TIMEOUT, discard(&mut body, limit));
        if !matches!(discarded.await, Ok(Ok(()))) {
            log::debug!("the body of a refused request is not read to its end");
        }
    });
}

/// Reads a body without keeping it.
async fn discard(body: &mut Incoming, limit: usize) -> Result<(), CollectError<hyper::Error>> {
    let mut left = limit;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(CollectError::Body)?;
        let length = frame.data_ref().map_or(0, Bytes::len);
        left = left.checked_sub(length).ok_or(CollectError::TooLong)?;
    }
    Ok(())
}

/// Returns the refusal of a request whose body was not read to its end.
fn unread(error: &CollectError<hyper::Error>) -> Refusal {
    let malformed = |status| Refusal {
        status,
        verdict: RunVerdict::NotRun,
        reason: RefusalReason::Malformed,
        retry_after: None,
    };
    match error {
        CollectError::TooLong => malformed(StatusCode::PAYLOAD_TOO_LARGE),
        CollectError::Body(_) => malformed(StatusCode::BAD_REQUEST),
        CollectError::Denied => Refusal::not_run(RefusalReason::NoMemory, OTHER_HOST_RETRY),
        CollectError::Evicted => Refusal::timed_out(RefusalReason::BodyStalled),
    }
}

/// Sends the request to one target after another until one responds.
async fn forward(
    exchange: Arc<Exchange>,
    in_flight_request: InFlightRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    exchange.record_arrival();
    let mut race = AttemptRace::new(exchange.clone());
    let mut failed_response = None;
    loop {
        if !race.is_open() {
            let tried = &race.tried;
            match exchange
                .choose_reachable(tried, AttemptPurpose::Start)
                .await
            {
                Ok((chosen, guard)) => race.open_primary(chosen, guard),
                // No other target is left: the response of the target that failed is
                // returned.
                Err(refusal) => {
                    return failed_response.ok_or_else(|| {
                        exchange.record_unsent(&refusal, ShutdownEnd::Refused);
                        refusal.after(tried)
                    });
                }
            }
        }
        match race.next().await {
            RaceEvent::Head(role, head) => {
                if let Some(attempt) = race.get(role) {
                    exchange.observe_success(&attempt.watch.chosen);
                }
                return Ok(relay::open(race, in_flight_request, head));
            }
            RaceEvent::Whole(role, response) => {
                let Some(attempt) = race.take(role) else {
                    continue;
                };
                let chosen = &attempt.watch.chosen;
                if race.goes_on_after(&response, Instant::now()) {
                    exchange.observe_failure(chosen, None);
                    race.tried.count(chosen, true);
                    race.tried.may_have_run = true;
                    failed_response = Some(response);
                    continue;
                }
                exchange.observe_success(chosen);
                exchange.record_response(chosen, response.status().as_u16(), None);
                return Ok(response);
            }
            RaceEvent::Failed(role, failure) => {
                let Some(attempt) = race.take(role) else {
                    continue;
                };
                attempt.watch.record_failure(&failure).await;
                race.record_failure(&attempt, &failure);
                drop(attempt);
                if !race.is_open() && !race.may_retry(&failure, Instant::now()) {
                    return failed_response.ok_or(final_refusal(&failure, &race.tried));
                }
            }
            RaceEvent::Poison => {
                race.tried.may_have_run = true;
                return Err(Refusal::poison().after(&race.tried));
            }
            RaceEvent::Deadline => {
                let timed_out = AttemptFailure::new(RunVerdict::MayHaveRun, FailureCause::Timeout);
                if let Some(attempt) = race.take(AttemptRole::Primary)
                    && !attempt.is_late
                {
                    let chosen = &attempt.watch.chosen;
                    exchange.record_failure(chosen, &timed_out, &mut race.tried);
                }
                return failed_response.ok_or(final_refusal(&timed_out, &race.tried));
            }
            // Only a stream that has begun has events, and it is relayed from its head on.
            RaceEvent::Events(..) | RaceEvent::End(_) | RaceEvent::Broken(..) => {}
        }
    }
}

impl Refusal {
    /// Adapts a refusal to the attempts that were made before.
    ///
    /// A caller that receives `NotRun` may send a non-idempotent request, such as a
    /// charge, again. After an attempt that may have run, the lack of another target does
    /// not make `NotRun` true.
    fn after(self, tried: &TriedTargets) -> Self {
        match tried.may_have_run {
            true => Self::may_have_run(StatusCode::BAD_GATEWAY, self.reason),
            false => self,
        }
    }
}

/// Targets that were tried for one request.
#[derive(Debug, Clone, Default)]
pub(super) struct TriedTargets {
    /// Targets that later attempts avoid.
    pub(super) avoid: Vec<TargetId>,
    /// Targets to which this host could not connect. They are avoided unless gateways turn
    /// out to reach them.
    pub(super) unconnected: Vec<TargetId>,
    /// Attempts that reached a target.
    pub(super) sent: u32,
    /// Whether one of these attempts may have run.
    pub(super) may_have_run: bool,
}

impl TriedTargets {
    pub(super) fn count(&mut self, chosen: &ChosenTarget, sent: bool) {
        self.avoid.push(chosen.id.clone());
        self.sent += u32::from(sent);
    }

    /// Returns the number of targets that were tried.
    pub(super) fn len(&self) -> usize {
        self.avoid.len() + self.unconnected.len()
    }

    /// Avoids `at`, the engine of the path that was at fault, instead of the first
    /// engine, which may be used again.
    pub(super) fn avoid_instead(&mut self, at: TargetId) {
        self.avoid.pop();
        self.avoid.push(at);
    }
}

/// Maximum size of a response that is passed on as a whole, in bytes, and at most half of the
/// memory for all of them.
const MAX_WHOLE_BYTES: usize = 64 * 1024 * 1024;

/// Reads a complete response, so that a truncated one is never passed on.
pub(super) async fn read_whole(
    response: Response<TargetBody>,
    budget: &BufferBudget,
    deadline: Instant,
) -> Result<Response<ResponseBody>, AttemptFailure> {
    let (head, body) = response.into_parts();
    let failed = |cause| AttemptFailure {
        verdict: RunVerdict::MayHaveRun,
        cause,
        at: None,
        paused_until: None,
    };
    let body = collect_body(body, MAX_WHOLE_BYTES.min(budget.limit() / 2), budget.open());
    let body = tokio::time::timeout_at(deadline.into(), body).await;
    let body = body
        .map_err(|_| failed(FailureCause::Timeout))?
        .map_err(|error| {
            log::debug!("response is not passed on: {error}");
            match error {
                CollectError::Body(_) | CollectError::TooLong => failed(FailureCause::Broken),
                CollectError::Denied | CollectError::Evicted => failed(FailureCause::NoMemory),
            }
        })?;
    let mut response = Response::new(block_body(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = forwarded(&head.headers);
    Ok(response)
}

fn final_refusal(failure: &AttemptFailure, tried: &TriedTargets) -> Refusal {
    match failure.verdict {
        RunVerdict::NotRun if !tried.may_have_run => {
            Refusal::not_run(RefusalReason::NoRoute, NO_ROUTE_RETRY)
        }
        _ if failure.cause == FailureCause::Timeout => {
            Refusal::may_have_run(StatusCode::GATEWAY_TIMEOUT, RefusalReason::DeadlinePassed)
        }
        _ => Refusal::may_have_run(StatusCode::BAD_GATEWAY, RefusalReason::TargetFailed),
    }
}
