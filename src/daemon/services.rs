//! Handles a call to a plain service.

mod claimed;

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, header::CONTENT_TYPE};

use super::admission::{AdmissionSlot, admit};
use super::core::DaemonCore;
use super::generate::check_phase;
use super::targets::mark_leaving;
use crate::admission::AdmissionRequest;
use crate::api::backend::{ServiceCall, ServiceResponse};
use crate::api::wire::RefusalBody;
use crate::ids::TargetId;
use crate::reason::{RefusalReason, RetryReason};
use crate::resources::ServiceSpec;
use crate::target::TargetFailure;
use crate::target::client::{CallRequest, CallResponse};
use crate::target::wire::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};
use crate::verdict::RunVerdict;
use claimed::call_claimed;
pub(super) use claimed::required_key;

/// Maximum number of targets tried for one call.
const MAX_CALL_ATTEMPTS: usize = 3;
/// Retry delay for callers after a failed call.
const RETRY_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Service time that admission assumes for a service call when it checks the deadline.
const ASSUMED_CALL_TIME: Duration = Duration::from_millis(1);

/// Calls a service.
///
/// # Errors
/// Returns the refusal with its verdict.
pub(super) async fn call_service(
    core: Arc<DaemonCore>,
    call: ServiceCall,
) -> Result<ServiceResponse, RefusalBody> {
    // A shutdown waits for this call from here on.
    let _in_flight = core.in_flight.token();
    // Admission checks the phase later, but a host without a usable configuration cannot
    // know that a service does not exist.
    let service = declared_service(&core, &call).or_else(|unknown| {
        check_phase(&core, &call.request)?;
        Err(unknown)
    })?;
    let is_listed = service
        .non_idempotent
        .iter()
        .any(|operation| **operation == *call.operation);
    match is_listed || call.non_idempotent {
        true => call_claimed(core, call, service.targets).await,
        false => call_idempotent(&core, &call, &service.targets).await,
    }
}

async fn call_idempotent(
    core: &Arc<DaemonCore>,
    call: &ServiceCall,
    targets: &[TargetId],
) -> Result<ServiceResponse, RefusalBody> {
    let slot = admit_call(core, call).await?;
    let response = attempt_call(core, call, targets).await?;
    slot.complete();
    Ok(response)
}

fn deadline_of(core: &DaemonCore, call: &ServiceCall) -> Instant {
    call.received + core.options.timing.default_deadline
}

async fn admit_call(
    core: &Arc<DaemonCore>,
    call: &ServiceCall,
) -> Result<AdmissionSlot, RefusalBody> {
    check_phase(core, &call.request)?;
    let request = AdmissionRequest {
        request: call.request.clone(),
        organisation: call.organisation.clone(),
        service_time: ASSUMED_CALL_TIME,
        deadline: deadline_of(core, call),
        priority: 0,
    };
    let slot = admit(core, request).await?;
    core.tables.budget.lock().request_started();
    Ok(slot)
}

fn declared_service(core: &DaemonCore, call: &ServiceCall) -> Result<ServiceSpec, RefusalBody> {
    let declarations = core.tables.declarations.read();
    match declarations.service(&call.service) {
        Some(service) => Ok(service.clone()),
        None => Err(
            RefusalBody::not_run(RefusalReason::Unknown, "no such service is declared")
                .for_request(call.request.clone()),
        ),
    }
}

/// Sends the call to one target after another, as long as the verdict, the retry budget
/// and the number of attempts allow.
async fn attempt_call(
    core: &DaemonCore,
    call: &ServiceCall,
    targets: &[TargetId],
) -> Result<ServiceResponse, RefusalBody> {
    let mut verdict = RunVerdict::NotRun;
    let mut excluded = Vec::new();
    while excluded.len() < MAX_CALL_ATTEMPTS {
        if core.drain_expired.is_cancelled() {
            return Err(call_failure(call, RefusalReason::Draining, verdict));
        }
        if !excluded.is_empty() && !core.tables.budget.lock().spend() {
            return Err(call_failure(call, RefusalReason::RetryBudgetSpent, verdict));
        }
        let Some(target) = choose_target(core, targets, &excluded) else {
            return Err(call_failure(call, RefusalReason::NoRoute, verdict));
        };
        let response = tokio::select! {
            biased;
            response = send_call(core, call, &target) => response,
            () = core.drain_expired.cancelled() => {
                core.tables.routes.write().step_abandoned(&target);
                let verdict = RunVerdict::MayHaveRun;
                return Err(call_failure(call, RefusalReason::Draining, verdict));
            }
        };
        let failure = match response {
            Ok(response) => return Ok(service_response(response)),
            Err(failure) => failure,
        };
        verdict = verdict.join(failure.verdict());
        excluded.push(target);
    }
    Err(call_failure(call, RefusalReason::TargetFailed, verdict))
}

fn choose_target(
    core: &DaemonCore,
    targets: &[TargetId],
    excluded: &[TargetId],
) -> Option<TargetId> {
    let routes = core.tables.routes.read();
    let mut random = core.tables.random.lock();
    routes.choose_service(targets, excluded, Instant::now(), &mut *random)
}

async fn send_call(
    core: &DaemonCore,
    call: &ServiceCall,
    target: &TargetId,
) -> Result<CallResponse, TargetFailure> {
    let Some(address) = core.target_address(target) else {
        return Err(TargetFailure::Connect("no longer declared".to_owned()));
    };
    let order = CallRequest {
        operation: call.operation.to_string(),
        headers: call_headers(call),
        body: call.body.clone(),
        use_pool: true,
    };
    let began = Instant::now();
    core.tables.routes.write().step_sent(target, began);
    let response = core.targets.call(address, order).await;
    record_response(core, call, target, &response, began.elapsed());
    response
}

/// Records the result of a call in the route table.
fn record_response(
    core: &DaemonCore,
    call: &ServiceCall,
    target: &TargetId,
    response: &Result<CallResponse, TargetFailure>,
    latency: Duration,
) {
    match response {
        Ok(_) => {
            let mut routes = core.tables.routes.write();
            routes.step_completed(target, latency, 1, Instant::now());
        }
        Err(failure) => record_failure(core, call, target, failure),
    }
}

fn record_failure(
    core: &DaemonCore,
    call: &ServiceCall,
    target: &TargetId,
    failure: &TargetFailure,
) {
    log::warn!(
        request:% = call.request;
        "call to target {target} failed: {failure}"
    );
    let now = Instant::now();
    if failure.reason() == RetryReason::TargetLeaving {
        mark_leaving(core, target, now);
    }
    let mut routes = core.tables.routes.write();
    routes.step_failed(target, failure.reason(), now);
}

fn call_headers(call: &ServiceCall) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&call.request) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    let key = call.key.as_deref().map(HeaderValue::from_str);
    if let Some(Ok(value)) = key {
        headers.insert(IDEMPOTENCY_KEY_HEADER, value);
    }
    headers
}

fn service_response(response: CallResponse) -> ServiceResponse {
    let content_type = response.headers.get(CONTENT_TYPE);
    ServiceResponse {
        status: response.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: response.body,
        replayed: false,
    }
}

fn call_failure(call: &ServiceCall, reason: RefusalReason, verdict: RunVerdict) -> RefusalBody {
    let message = match reason {
        RefusalReason::NoRoute => "no usable target",
        RefusalReason::RetryBudgetSpent => "the target failed and no retry is left",
        RefusalReason::Draining => "this entry host is shutting down",
        _ => "the service did not respond",
    };
    RefusalBody {
        verdict,
        ..RefusalBody::not_run(reason, message)
    }
    .retry_after(RETRY_AFTER_FAILURE)
    .for_request(call.request.clone())
}
