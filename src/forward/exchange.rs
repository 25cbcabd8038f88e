//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::HeaderValue;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::answer::{AnswerBody, Refusal, whole_body};
use super::attempt::{AttemptFailure, FailureCause, OutgoingRequest};
use super::choice::{self, ChosenTarget};
use super::head::{CallerHead, forwarded, request_size};
use super::relay;
use super::tables::{InFlightGuard, ServingTables};
use super::watch::PathWatch;
use crate::fleet::RequestSize;
use crate::ids::TargetId;
use crate::ingress::{MatchedRequest, RequestKind, ServiceSpec, match_request};
use crate::platform::{names, order};
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// When a caller may come back that found no target: about the time in which
/// a lost engine is noticed and its requests are moved.
const NO_ROUTE_RETRY: Duration = Duration::from_millis(500);
/// When a caller may come back that found no configuration: a start takes
/// about a second.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);
/// When a caller may come back that a stopping host refused: at once, since
/// its next connection leads to another host.
const DRAINING_RETRY: Duration = Duration::from_millis(50);
/// Time that a repeatable request leaves to its last attempt, as a part of
/// what is left.
const FIRST_ATTEMPT_SHARE: f64 = 0.5;
/// How long a stream's first attempt may take to its head, in times of the
/// route's aim. Callers of streams wait four times the aim at least.
const STREAM_HEAD_AIMS: f64 = 2.4;

/// Everything about one request that its attempts share.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) tables: Arc<ServingTables>,
    pub(super) outgoing: OutgoingRequest,
    pub(super) matched: MatchedRequest,
    pub(super) service: Arc<ServiceSpec>,
    pub(super) size: RequestSize,
    /// Version of the configuration that matched it.
    pub(super) configuration: u64,
    /// When its head had come.
    pub(super) arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub(super) deadline: Instant,
}

/// Answers a caller's request.
pub async fn answer_request(
    tables: Arc<ServingTables>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let head = CallerHead::read(&parts, arrived);
    let counted = CountedRequest::open(tables.clone());
    let opened = open(tables.clone(), parts, body, &head, arrived).await;
    let carried = match opened {
        Err(refusal) => Err(refusal),
        Ok(exchange) => carry(Arc::new(exchange), counted).await,
    };
    let mut response = match carried {
        Ok(response) => response,
        Err(refusal) => refuse(&tables, &head.id, refusal, arrived),
    };
    if !response.headers().contains_key(names::ATTEMPT_ID)
        && let Ok(id) = HeaderValue::from_str(&head.id)
    {
        response.headers_mut().insert(names::ATTEMPT_ID, id);
    }
    response
}

fn refuse(
    tables: &ServingTables,
    id: &str,
    refusal: Refusal,
    arrived: Instant,
) -> Response<AnswerBody> {
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

/// Counts a request for as long as it is being answered.
#[derive(Debug)]
pub(super) struct CountedRequest {
    tables: Arc<ServingTables>,
}

impl CountedRequest {
    fn open(tables: Arc<ServingTables>) -> Self {
        tables.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { tables }
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.tables.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.tables.answered.fetch_add(1, Ordering::Relaxed);
    }
}

async fn open(
    tables: Arc<ServingTables>,
    parts: http::request::Parts,
    body: Incoming,
    head: &CallerHead,
    arrived: Instant,
) -> Result<Exchange, Refusal> {
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
    if tables.closing.load(Ordering::Relaxed) && matched.route.kind.is_stream() {
        return Err(Refusal::not_run(RefusalReason::Draining, DRAINING_RETRY));
    }
    let body = read_body(body, configuration.limits.body_bytes).await?;
    let timeout = arrived + matched.route.timeout;
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
        headers.insert(
            names::URGENCY_CLASS,
            HeaderValue::from(u16::from(matched.priority.min(9))),
        );
    }
    tables.count_request(&service.name, arrived);
    Ok(Exchange {
        configuration: configuration.version,
        arrived,
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
        deadline: head
            .deadline
            .map_or(timeout, |deadline| deadline.min(timeout)),
        size: size.unwrap_or(RequestSize {
            prompt: 0,
            answer: 0,
        }),
        matched,
        service,
        tables,
    })
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    let body = Limited::new(body, limit).collect().await;
    let malformed = |error: Box<dyn std::error::Error + Send + Sync>| {
        let status = match error.is::<http_body_util::LengthLimitError>() {
            true => StatusCode::PAYLOAD_TOO_LARGE,
            false => StatusCode::BAD_REQUEST,
        };
        Refusal {
            status,
            verdict: RunVerdict::NotRun,
            reason: RefusalReason::Malformed,
            retry_after: None,
        }
    };
    Ok(body.map_err(malformed)?.to_bytes())
}

/// Sends the request to one target after another until one answers.
async fn carry(
    exchange: Arc<Exchange>,
    counted: CountedRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried = TriedTargets::default();
    loop {
        let started = Instant::now();
        let (chosen, guard) = exchange.choose(&tried.avoid, false)?;
        let limit = exchange.head_limit(tried.sent, started);
        let mut watch = PathWatch::open(exchange.clone(), chosen, guard, started);
        let failure = match watch.send(None, limit).await {
            Ok(response) if exchange.is_stream(&response) => {
                exchange.observe_success(&watch.chosen);
                return Ok(relay::open(watch, counted, tried, response));
            }
            Ok(response) => match read_whole(response, exchange.deadline).await {
                Ok(response) if exchange.may_fail_over(&response, &tried) => {
                    exchange.observe_failure(&watch.chosen, None);
                    tried.count(&watch.chosen, true);
                    continue;
                }
                Ok(response) => {
                    exchange.observe_success(&watch.chosen);
                    exchange.note_answer(&watch.chosen, response.status().as_u16());
                    return Ok(response);
                }
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        watch.release();
        exchange.note_failure(&watch.chosen, &failure, &mut tried);
        if !exchange.may_retry(&failure, &tried, Instant::now()) {
            return Err(final_refusal(&failure, &tried));
        }
    }
}

/// Targets that were tried for one request.
#[derive(Debug, Default)]
pub(super) struct TriedTargets {
    /// Targets not to use again.
    pub(super) avoid: Vec<TargetId>,
    /// Attempts that reached a target.
    pub(super) sent: u32,
    /// Whether one of them may have run.
    pub(super) may_have_run: bool,
}

impl TriedTargets {
    pub(super) fn count(&mut self, chosen: &ChosenTarget, sent: bool) {
        self.avoid.push(chosen.id.clone());
        self.sent += u32::from(sent);
    }

    /// Another engine of the path was at fault; the first may be used again.
    pub(super) fn avoid_instead(&mut self, at: TargetId) {
        self.avoid.pop();
        self.avoid.push(at);
    }
}

impl Exchange {
    /// Chooses where the next attempt goes, and counts it there. `started`
    /// tells whether the caller has a part of the answer.
    pub(super) fn choose(
        &self,
        avoid: &[TargetId],
        started: bool,
    ) -> Result<(ChosenTarget, InFlightGuard), Refusal> {
        let now = Instant::now();
        let chosen = {
            let fleet = self.tables.fleet.lock();
            let zone = &self.tables.zone;
            choice::choose(
                &fleet,
                &self.service,
                zone,
                self.size,
                avoid,
                now,
                rand::random,
            )
        };
        let no_route = || Refusal::not_run(RefusalReason::NoRoute, NO_ROUTE_RETRY);
        let chosen = chosen.ok_or_else(no_route)?;
        let full = chosen.path.as_ref().is_some_and(|path| path.full);
        // A stream that has begun goes on even if it has to wait for room:
        // to cut it would waste what was done, and its caller starts over.
        if full && !started {
            let after = self.tables.count_refusal(now);
            return Err(Refusal::not_run(RefusalReason::NoRoom, after));
        }
        self.tables.count_start(now);
        self.note_route(&chosen, avoid.len());
        let guard = InFlightGuard::open(self.tables.clone(), chosen.parts(), chosen.size);
        Ok((chosen, guard))
    }

    /// One line on where a request goes, and what decided that.
    fn note_route(&self, chosen: &ChosenTarget, tried: usize) {
        let path = chosen.path.as_ref();
        log::info!(
            request:% = self.outgoing.id,
            route:% = self.matched.route.name,
            configuration = self.configuration,
            organisation:% = self.matched.organisation.as_deref().unwrap_or("none"),
            target_id:% = chosen.id,
            path:% = path.map(order::path_value).unwrap_or_default(),
            cost_ms = path.map_or(0, |path| path.cost_ms as u64),
            tokens = chosen.size.tokens() as u64,
            tried = tried;
            "routed"
        );
    }

    /// One line on a whole answer.
    pub(super) fn note_answer(&self, chosen: &ChosenTarget, status: u16) {
        let took = self.arrived.elapsed();
        log::info!(
            request:% = self.outgoing.id,
            target_id:% = chosen.id,
            status = status,
            after_ms = took.as_millis() as u64;
            "answered"
        );
        self.tables.metrics.answered(status, took);
    }

    /// Until when an attempt may take to the head of its answer.
    fn head_limit(&self, sent: u32, now: Instant) -> Instant {
        let route = &self.matched.route;
        let last = sent + 1 >= route.max_attempts;
        let left = self.deadline.saturating_duration_since(now);
        match route.kind {
            RequestKind::Idempotent if !last => now + left.mul_f64(FIRST_ATTEMPT_SHARE),
            RequestKind::ResumableStream if !last => {
                now + left.min(route.latency_aim.mul_f64(STREAM_HEAD_AIMS))
            }
            _ => self.deadline,
        }
    }

    fn is_stream(&self, response: &Response<Incoming>) -> bool {
        self.matched.route.kind.is_stream() && response.status().is_success()
    }

    /// Whether a failure that a target itself answered may be tried elsewhere.
    fn may_fail_over(&self, response: &Response<AnswerBody>, tried: &TriedTargets) -> bool {
        let route = &self.matched.route;
        response.status().is_server_error()
            && route.kind.is_repeatable()
            && tried.sent + 1 < route.max_attempts
            && Instant::now() < self.deadline
            && self.tables.spend_retry(&self.service.name, Instant::now())
    }

    /// Whether the request may be sent once more.
    pub(super) fn may_retry(
        &self,
        failure: &AttemptFailure,
        tried: &TriedTargets,
        now: Instant,
    ) -> bool {
        let route = &self.matched.route;
        let allowed = failure.verdict == RunVerdict::NotRun || route.kind.is_repeatable();
        let attempts_left = tried.sent < route.max_attempts && tried.avoid.len() < 6;
        let free = failure.cause == FailureCause::Connect;
        allowed
            && attempts_left
            && now < self.deadline
            && (free || self.tables.spend_retry(&self.service.name, Instant::now()))
    }

    /// Puts down a failed attempt, and whom the next one avoids.
    pub(super) fn note_failure(
        &self,
        chosen: &ChosenTarget,
        failure: &AttemptFailure,
        tried: &mut TriedTargets,
    ) {
        self.observe_failure(chosen, Some(failure));
        tried.count(chosen, failure.cause != FailureCause::Connect);
        tried.may_have_run |= failure.verdict != RunVerdict::NotRun;
        if let Some(at) = failure.at.and_then(|at| chosen.at(at)) {
            tried.avoid_instead(at);
        }
    }

    pub(super) fn observe_success(&self, chosen: &ChosenTarget) {
        let mut fleet = self.tables.fleet.lock();
        for (id, _) in chosen.parts() {
            fleet.observe_success(&id);
        }
    }

    /// Puts down who failed; `None` stands for a failure that the target
    /// itself answered.
    pub(super) fn observe_failure(&self, chosen: &ChosenTarget, failure: Option<&AttemptFailure>) {
        let now = Instant::now();
        let at = failure
            .and_then(|failure| failure.at)
            .and_then(|at| chosen.at(at));
        let id = at.unwrap_or_else(|| chosen.id.clone());
        let cause = failure.map(|failure| failure.cause);
        let mut fleet = self.tables.fleet.lock();
        let out = match cause {
            // A full engine is no faulty one.
            Some(FailureCause::Refused) => {
                fleet.observe_full(&id, now);
                None
            }
            Some(FailureCause::Connect) => {
                fleet.observe_silence(&id, now);
                fleet.get(&id).and_then(|state| state.out_until)
            }
            _ => fleet.observe_failure(&id, now),
        };
        drop(fleet);
        let name = cause.map_or("answered_failure", FailureCause::name);
        self.tables.metrics.attempt_failed(name);
        if out.is_some() {
            self.tables.metrics.ejected(name);
        }
        log::info!(
            request:% = self.outgoing.id,
            target_id:% = id,
            cause:% = name,
            out_ms = out.map_or(0, |out| out.saturating_duration_since(now).as_millis() as u64);
            "attempt failed"
        );
    }
}

/// Reads an answer as a whole, so that one that breaks off is never passed on.
async fn read_whole(
    response: Response<Incoming>,
    deadline: Instant,
) -> Result<Response<AnswerBody>, AttemptFailure> {
    let (head, body) = response.into_parts();
    let failed = |cause| AttemptFailure {
        verdict: RunVerdict::MayHaveRun,
        cause,
        at: None,
    };
    let body = tokio::time::timeout_at(deadline.into(), body.collect()).await;
    let body = body
        .map_err(|_| failed(FailureCause::Timeout))?
        .map_err(|_| failed(FailureCause::Broken))?;
    let mut response = Response::new(whole_body(body.to_bytes()));
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
