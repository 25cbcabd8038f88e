//! Endpoints for callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, Header, HttpResponseOk, Path,
    RequestContext, UntypedBody, endpoint,
};
use http::{HeaderValue, Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::backend::{CallerBackend, GenerateCall, GenerateStream, ServiceCall, ServiceResponse};
use super::body::DeferredBody;
use super::credentials::identify;
use super::head::{CallHead, CallHeaders, is_label, malformed};
use super::proxy::{SLOT_HEADER, StreamSlots};
use super::response::{EndpointResponse, JSON, VERDICT_HEADER, verdict_value};
use super::stream::{EventResponse, stream_body};
use super::wire::{GenerateBody, RefusalBody};
use crate::ids::{OrganisationId, RequestId};
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Time after which a caller should retry while the daemon is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);
/// Header that marks the stored response to an earlier call with the same key.
const REPLAYED_HEADER: &str = "idempotent-replayed";

/// State shared by the callers' endpoints.
pub(super) struct CallerContext {
    pub(super) backend: CallerBackend,
    /// Calls that continue after their caller has disconnected.
    pub(super) running_calls: TaskTracker,
    /// Slots through which streams are passed to the proxy.
    pub(super) slots: StreamSlots,
}

type Shared = Arc<CallerContext>;

/// Response to the health probes of a load balancer.
#[derive(Debug, Serialize, JsonSchema)]
struct ProbeBody {
    /// Always `true`; a failed probe gets a refusal instead.
    ok: bool,
}

/// A service and one of its operations.
#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    /// Name of the declared service.
    service: String,
    /// Operation of the service.
    operation: String,
}

/// Returns the description of all endpoints of the callers' listener.
pub(super) fn description() -> Result<ApiDescription<Shared>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(generate)?;
    api.register(call_service)?;
    api.register(healthz)?;
    api.register(readyz)?;
    Ok(api)
}

/// Generate tokens.
///
/// Responds with server-sent events: each is one line `data: ` followed by a stream event
/// as JSON. The last event is `done` with the number of tokens, or `error` with a
/// refusal; a response without either was cut off in transit.
#[endpoint { method = POST, path = "/v1/generate", operation_id = "generate" }]
async fn generate(
    context: RequestContext<Shared>,
    headers: Header<CallHeaders>,
    body: DeferredBody<GenerateBody>,
) -> Result<EndpointResponse<EventResponse>, RefusalBody> {
    let shared = context.context();
    let slot = context.request.headers().get(SLOT_HEADER);
    let slot = slot.and_then(|name| name.to_str().ok());
    let headers = headers.into_inner().with_library_id(&context.request_id);
    let started = start_generation(&shared.backend, &headers, body).await;
    Ok(EndpointResponse::from_result(started.map(|generation| {
        let StartedGeneration { request, events } = generation;
        EventResponse::new(match shared.slots.put(slot, events) {
            Ok(()) => Body::empty(),
            Err(events) => stream_body(request, events),
        })
    })))
}

/// A response that has started.
struct StartedGeneration {
    request: RequestId,
    events: GenerateStream,
}

async fn start_generation(
    backend: &CallerBackend,
    headers: &CallHeaders,
    body: DeferredBody<GenerateBody>,
) -> Result<StartedGeneration, RefusalBody> {
    let checked = check_call(backend, headers)?;
    let request = checked.head.request.clone();
    let with_request = |refusal: RefusalBody| refusal.for_request(request.clone());
    let body = body.into_inner().map_err(with_request)?;
    check_body(&body).map_err(with_request)?;
    let call = GenerateCall {
        request: checked.head.request,
        organisation: checked.organisation,
        body,
        non_idempotent: checked.head.non_idempotent,
        key: checked.head.key,
        received: checked.received,
    };
    let events = (backend.generate)(call).await.map_err(with_request)?;
    Ok(StartedGeneration { request, events })
}

fn check_body(body: &GenerateBody) -> Result<(), RefusalBody> {
    match body {
        body if body.prompt.is_empty() => Err(malformed("prompt must contain at least one token")),
        body if body.max_tokens == 0 => Err(malformed("max_tokens must be at least 1")),
        _ => Ok(()),
    }
}

/// Call an operation of a plain service.
///
/// The body is forwarded unchanged, and so are the status and the body of the response.
#[endpoint { method = POST, path = "/v1/services/{service}/{operation}" }]
async fn call_service(
    context: RequestContext<Shared>,
    path: Path<ServicePath>,
    headers: Header<CallHeaders>,
    body: UntypedBody,
) -> Result<EndpointResponse<Response<Body>>, RefusalBody> {
    let shared = context.context();
    let bytes = Bytes::copy_from_slice(body.as_bytes());
    let headers = headers.into_inner().with_library_id(&context.request_id);
    let result = run_service(shared, path.into_inner(), &headers, bytes).await;
    Ok(EndpointResponse::from_result(result))
}

async fn run_service(
    shared: &Shared,
    path: ServicePath,
    headers: &CallHeaders,
    body: Bytes,
) -> Result<Response<Body>, RefusalBody> {
    let checked = check_call(&shared.backend, headers)?;
    let request = checked.head.request.clone();
    let with_request = |refusal: RefusalBody| refusal.for_request(request.clone());
    if !is_label(&path.service) || !is_label(&path.operation) {
        return Err(with_request(malformed(
            "service and operation must be 1 to 128 visible ASCII characters",
        )));
    }
    let call = ServiceCall {
        request: checked.head.request,
        organisation: checked.organisation,
        service: path.service.into(),
        operation: path.operation.into(),
        body,
        non_idempotent: checked.head.non_idempotent,
        key: checked.head.key,
        received: checked.received,
        caller_disconnected: CancellationToken::new(),
    };
    let reply = execute_call(shared, call).await.map_err(with_request)?;
    http_response(reply).map_err(with_request)
}

/// Runs a call to its end, even if its caller disconnects. If a non-idempotent call were
/// dropped after its claim was won, the claim could never be settled, and every repeat
/// with the same key would get the verdict "may have run". This function does not know
/// which calls are non-idempotent, since a service may declare them so.
async fn execute_call(shared: &Shared, call: ServiceCall) -> Result<ServiceResponse, RefusalBody> {
    let caller = call.caller_disconnected.clone().drop_guard();
    let running = (shared.backend.call_service)(call);
    let reply = shared
        .running_calls
        .spawn(running)
        .await
        .unwrap_or_else(|_| Err(may_have_run("the call was interrupted")));
    caller.disarm();
    reply
}

fn http_response(reply: ServiceResponse) -> Result<Response<Body>, RefusalBody> {
    let status = StatusCode::from_u16(reply.status)
        .map_err(|_| may_have_run("the service returned an invalid HTTP status"))?;
    let mut response = Response::new(Body::from(reply.body));
    *response.status_mut() = status;
    let media_type = reply
        .content_type
        .and_then(|text| HeaderValue::from_str(&text).ok())
        .unwrap_or(HeaderValue::from_static(JSON));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, media_type);
    // An error returned by the service itself is its response and not a refusal.
    headers.insert(VERDICT_HEADER, verdict_value(RunVerdict::Ran));
    if reply.replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    Ok(response)
}

fn may_have_run(message: &str) -> RefusalBody {
    RefusalBody {
        verdict: RunVerdict::MayHaveRun,
        ..RefusalBody::not_run(RefusalReason::TargetFailed, message)
    }
}

/// A call with a known caller and valid headers.
struct CheckedCall {
    head: CallHead,
    organisation: OrganisationId,
    received: Instant,
}

fn check_call(backend: &CallerBackend, headers: &CallHeaders) -> Result<CheckedCall, RefusalBody> {
    let received = Instant::now();
    let request = headers.request()?;
    let with_request = |refusal: RefusalBody| refusal.for_request(request.clone());
    let organisation = identify(headers.authorization.as_deref(), &backend.organisation_of)
        .map_err(|refusal| not_ready_or(backend, refusal))
        .map_err(with_request)?;
    let head = headers.head(request.clone()).map_err(with_request)?;
    Ok(CheckedCall {
        head,
        organisation,
        received,
    })
}

/// Replaces a refusal by "not ready" while the daemon is not ready.
///
/// A daemon with no configuration or an outdated one does not know every organisation. A
/// caller whose token is refused as unknown gives up; a caller that receives "not ready"
/// retries or tries another host.
fn not_ready_or(backend: &CallerBackend, refusal: RefusalBody) -> RefusalBody {
    match (backend.ready)() {
        true => refusal,
        false => RefusalBody::not_run(RefusalReason::NotReady, "the daemon takes no new work")
            .retry_after(NOT_READY_RETRY),
    }
}

/// Check whether the daemon is alive.
#[endpoint { method = GET, path = "/healthz" }]
async fn healthz(
    context: RequestContext<Shared>,
) -> Result<EndpointResponse<HttpResponseOk<ProbeBody>>, RefusalBody> {
    let healthy = (context.context().backend.healthy)();
    Ok(probe(healthy, "the daemon is not healthy"))
}

/// Check whether the daemon accepts new work.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(
    context: RequestContext<Shared>,
) -> Result<EndpointResponse<HttpResponseOk<ProbeBody>>, RefusalBody> {
    let ready = (context.context().backend.ready)();
    Ok(probe(ready, "the daemon takes no new work"))
}

fn probe(ok: bool, message: &str) -> EndpointResponse<HttpResponseOk<ProbeBody>> {
    EndpointResponse::from_result(match ok {
        true => Ok(HttpResponseOk(ProbeBody { ok })),
        false => Err(RefusalBody::not_run(RefusalReason::NotReady, message)),
    })
}
