//! One attempt: connects to a target, sends the request and reads the head of the
//! response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::HeaderValue;
use http::{HeaderMap, Method, Request, StatusCode, Uri};

use super::choice::ChosenTarget;
use super::head::number_value;
use super::head_limit::LinkBody;
use super::notices::ObservedResponse;
use super::tables::ServingTables;
use super::target_link::{LinkFailure, TargetResponse};
use crate::buffer::BodyBlocks;
use crate::gateway::GatewayResult;
use crate::ids::TargetId;
use crate::platform::target_notice::{TargetNotice, parse_notice};
use crate::platform::target_record::platform_id;
use crate::platform::{names, order};
use crate::verdict::RunVerdict;

/// Longest time to connect: about a thousand times the delay of a link within an
/// availability zone. A target that is down or partitioned never replies.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The request that is sent to a target, the same for every target.
#[derive(Debug, Clone)]
pub(super) struct OutgoingRequest {
    pub(super) id: String,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// Headers that are the same for every attempt.
    pub(super) headers: HeaderMap,
    pub(super) body: BodyBlocks,
}

/// Why an attempt gave no response that may be passed on.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct AttemptFailure {
    pub(super) verdict: RunVerdict,
    pub(super) cause: FailureCause,
    /// Address of the engine at fault, if the target named another one, or if an engine was
    /// found unavailable before the request was sent.
    pub(super) at: Option<SocketAddr>,
    /// End of the pause that the target requested, if it refused the request.
    pub(super) paused_until: Option<Instant>,
}

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum FailureCause {
    #[error("no connection")]
    Connect,
    #[error("connection broke")]
    Broken,
    #[error("no answer in time")]
    Timeout,
    #[error("refused by the target")]
    Refused,
    #[error("a target pauses or is leaving")]
    Unavailable,
    #[error("the engine does not hold its layers")]
    WrongLayers,
    #[error("answer of another request")]
    ForeignAnswer,
    #[error("answer without proof, or encoded")]
    Unproven,
    #[error("answer whose status is none of HTTP")]
    InvalidStatus,
    #[error("neither this host nor a gateway reaches the target")]
    Unreachable,
    #[error("no gateway passed the request on")]
    NoGateway,
    #[error("connection to the gateway broke")]
    GatewayBroken,
    #[error("targets crash under the request")]
    Poison,
    #[error("this host ends before a response can be awaited")]
    Draining,
    #[error("the retry no longer fits its budget")]
    NoRetry,
    #[error("other responses use the memory up")]
    NoMemory,
}

impl FailureCause {
    /// Returns the name used in metrics and logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Broken => "broken",
            Self::Timeout => "timeout",
            Self::Refused => "refused",
            Self::Unavailable => "unavailable",
            Self::WrongLayers => "wrong_layers",
            Self::ForeignAnswer => "foreign_answer",
            Self::Unproven => "unproven",
            Self::InvalidStatus => "invalid_status",
            Self::Unreachable => "unreachable",
            Self::NoGateway => "no_gateway",
            Self::GatewayBroken => "gateway_broken",
            Self::Poison => "poison",
            Self::Draining => "draining",
            Self::NoRetry => "no_retry",
            Self::NoMemory => "no_memory",
        }
    }
}

impl AttemptFailure {
    pub(super) fn new(verdict: RunVerdict, cause: FailureCause) -> Self {
        Self {
            verdict,
            cause,
            at: None,
            paused_until: None,
        }
    }

    /// Returns whether the request was sent to the target.
    pub(super) fn was_sent(&self) -> bool {
        !matches!(
            self.cause,
            FailureCause::Connect
                | FailureCause::Unavailable
                | FailureCause::Unreachable
                | FailureCause::NoGateway
                | FailureCause::Poison
                | FailureCause::Draining
                | FailureCause::NoRetry
        )
    }
}

/// Connects and returns a future that sends the request and waits for the head of the
/// response.
///
/// Each attempt uses a new connection. On a reused one, a late response to an earlier
/// request or a close by the target could cross the request, and a non-idempotent request
/// could not be sent again.
pub(super) async fn send(
    tables: Arc<ServingTables>,
    outgoing: &OutgoingRequest,
    chosen: &ChosenTarget,
    last_event: Option<&str>,
    deadline: Instant,
) -> Result<impl Future<Output = Result<TargetResponse, AttemptFailure>> + use<>, AttemptFailure> {
    let now = Instant::now();
    let remaining = deadline.saturating_duration_since(now);
    let limit = CONNECT_TIMEOUT.min(remaining);
    let link = tables.open_link(&chosen.id, chosen.address, limit).await;
    let not_run = || AttemptFailure::new(RunVerdict::NotRun, FailureCause::Connect);
    let link = link.map_err(|_| not_run())?;
    let sent = Instant::now();
    tables.check_available(chosen, sent)?;
    let request = build_request(outgoing, chosen, last_event, deadline, sent);
    let attempt = SentAttempt {
        tables,
        id: outgoing.id.clone(),
        target: chosen.id.clone(),
        sent,
    };
    Ok(async move {
        let refresh = |headers: &mut HeaderMap| {
            headers.insert(names::DEADLINE_MS, remaining_ms(deadline, Instant::now()));
        };
        let (tables, target) = (&attempt.tables, &attempt.target);
        let response = link.send(tables, target, request, refresh).await;
        attempt.accept(response.map_err(attempt_failure)?)
    })
}

/// A request that is sent to a target.
#[derive(Debug)]
struct SentAttempt {
    tables: Arc<ServingTables>,
    id: String,
    target: TargetId,
    sent: Instant,
}

impl SentAttempt {
    /// Returns the response if it belongs to this request and was made by the target.
    fn accept(&self, response: TargetResponse) -> Result<TargetResponse, AttemptFailure> {
        let observed = ObservedResponse {
            target: &self.target,
            request: &self.id,
            sent: self.sent,
            received: Instant::now(),
        };
        let head = &response.response;
        let (status, headers) = (head.status(), head.headers());
        let notice = parse_notice(headers);
        let paused_until = self
            .tables
            .observe_notice(observed, status, &notice, headers);
        match failure_cause(&self.id, status, &notice) {
            None => Ok(response),
            Some((verdict, cause)) => Err(AttemptFailure {
                verdict,
                cause,
                at: notice.at_fault,
                paused_until,
            }),
        }
    }
}

/// Returns the failure of an attempt that got no response of its target.
fn attempt_failure(failure: LinkFailure) -> AttemptFailure {
    let (verdict, cause) = match failure {
        LinkFailure::Broken | LinkFailure::Stated(GatewayResult::Broken) => {
            (RunVerdict::MayHaveRun, FailureCause::Broken)
        }
        LinkFailure::GatewayBroken | LinkFailure::Stated(GatewayResult::Stopped) => {
            (RunVerdict::MayHaveRun, FailureCause::GatewayBroken)
        }
        LinkFailure::Stated(GatewayResult::Unavailable) => {
            (RunVerdict::NotRun, FailureCause::Unavailable)
        }
        LinkFailure::Stated(_) => (RunVerdict::NotRun, FailureCause::Unreachable),
        LinkFailure::NoGateway => (RunVerdict::NotRun, FailureCause::NoGateway),
    };
    AttemptFailure::new(verdict, cause)
}

fn build_request(
    outgoing: &OutgoingRequest,
    chosen: &ChosenTarget,
    last_event: Option<&str>,
    deadline: Instant,
    now: Instant,
) -> Request<LinkBody> {
    let mut request = Request::new(LinkBody::Right(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    let headers = request.headers_mut();
    *headers = outgoing.headers.clone();
    headers.insert(names::DEADLINE_MS, remaining_ms(deadline, now));
    let path = chosen.path.as_ref().map(order::path_value);
    let optional = [
        (names::TARGET_INSTANCE, Some(platform_id(&chosen.id))),
        (names::ENGINE_PATH, path.as_deref()),
        (names::LAST_EVENT_ID, last_event),
    ];
    for (name, value) in optional {
        if let Some(Ok(value)) = value.map(HeaderValue::from_str) {
            headers.insert(name, value);
        }
    }
    request
}

/// Returns the time that is left, in milliseconds and at least one, as a header value.
fn remaining_ms(deadline: Instant, now: Instant) -> HeaderValue {
    number_value(deadline.saturating_duration_since(now).as_millis().max(1))
}

/// Returns whether a status is that of a final response in HTTP. The library also accepts statuses
/// up to 999, and a switch of protocols that was not requested.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns why a response may not be passed on; `None` if it belongs to this request and
/// was made by the target itself.
fn failure_cause(
    id: &str,
    status: StatusCode,
    notice: &TargetNotice<'_>,
) -> Option<(RunVerdict, FailureCause)> {
    match status {
        _ if !is_final(status) => Some((RunVerdict::MayHaveRun, FailureCause::InvalidStatus)),
        StatusCode::MISDIRECTED_REQUEST => Some((RunVerdict::NotRun, FailureCause::WrongLayers)),
        _ if notice.not_executed => Some((RunVerdict::NotRun, FailureCause::Refused)),
        _ if notice.attempt != Some(id) => {
            Some((RunVerdict::MayHaveRun, FailureCause::ForeignAnswer))
        }
        _ if !notice.sealed || notice.encoded => {
            Some((RunVerdict::MayHaveRun, FailureCause::Unproven))
        }
        _ => None,
    }
}
