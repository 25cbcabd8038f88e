//! Handles a non-idempotent call: claim, connect, dispatch once.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;

use super::{
    MAX_CALL_ATTEMPTS, admit_call, call_failure, call_headers, choose_target, deadline_of,
    record_failure, record_response, service_response,
};
use crate::api::backend::{ServiceCall, ServiceResponse};
use crate::api::wire::RefusalBody;
use crate::claims::key::{TimedKey, parse_key};
use crate::claims::record::RequestFingerprint;
use crate::daemon::claims::{
    ClaimSubject, ClaimTicket, DispatchedClaim, known_response, refusal_of, reply_of,
};
use crate::daemon::core::DaemonCore;
use crate::ids::{IdempotencyKey, RequestId, TargetId};
use crate::reason::RefusalReason;
use crate::target::client::{CallRequest, CallResponse, SingleCall};
use crate::target::{CallFailure, TargetFailure};
use crate::verdict::RunVerdict;

/// Parses the key that a non-idempotent request must carry.
///
/// # Errors
/// Returns a refusal that explains how to make a key.
pub(in crate::daemon) fn required_key(
    key: Option<&IdempotencyKey>,
    request: &RequestId,
) -> Result<TimedKey, RefusalBody> {
    let problem = match key.map(|key| parse_key(key)) {
        Some(Ok(key)) => return Ok(key),
        Some(Err(error)) => error.to_string(),
        None => "a non-idempotent request needs an Idempotency-Key header".to_owned(),
    };
    let message = format!(
        "{problem}; generate a UUID of version 7 for each request, and send the same one with \
         every repeat of it"
    );
    Err(RefusalBody::not_run(RefusalReason::Malformed, message).for_request(request.clone()))
}

/// Runs a call at most once across all hosts.
///
/// It runs to its end even if its caller disconnects, also if only the service's
/// declaration marks it as non-idempotent: if it were dropped after its claim had won,
/// its key would stay blocked.
pub(super) async fn call_claimed(
    core: Arc<DaemonCore>,
    call: ServiceCall,
    targets: Vec<TargetId>,
) -> Result<ServiceResponse, RefusalBody> {
    let subject = subject_of(&core, &call)?;
    let request = call.request.clone();
    let running = call_once(Arc::clone(&core), call, targets, subject.clone());
    let result = core.in_flight.spawn(running).await;
    match result.unwrap_or_else(|_| Err(aborted_call(&request))) {
        Err(refusal) if refusal.verdict == RunVerdict::NotRun => {
            match known_response(&core, &subject) {
                Some(response) => reply_of(response, &request),
                None => Err(refusal),
            }
        }
        other => other,
    }
}

fn subject_of(core: &DaemonCore, call: &ServiceCall) -> Result<ClaimSubject, RefusalBody> {
    let resource = format!("services/{}/{}", call.service, call.operation);
    Ok(ClaimSubject {
        request: call.request.clone(),
        organisation: call.organisation.clone(),
        key: required_key(call.key.as_ref(), &call.request)?,
        fingerprint: RequestFingerprint::of(&resource, &call.body),
        deadline: deadline_of(core, call),
    })
}

fn aborted_call(request: &RequestId) -> RefusalBody {
    RefusalBody {
        verdict: RunVerdict::MayHaveRun,
        ..RefusalBody::not_run(RefusalReason::TargetFailed, "the call was interrupted")
    }
    .for_request(request.clone())
}

async fn call_once(
    core: Arc<DaemonCore>,
    call: ServiceCall,
    targets: Vec<TargetId>,
    subject: ClaimSubject,
) -> Result<ServiceResponse, RefusalBody> {
    let slot = admit_call(&core, &call).await?;
    let response = call_under_claim(&core, &call, &targets, subject).await?;
    slot.complete();
    Ok(response)
}

async fn call_under_claim(
    core: &Arc<DaemonCore>,
    call: &ServiceCall,
    targets: &[TargetId],
    subject: ClaimSubject,
) -> Result<ServiceResponse, RefusalBody> {
    let ticket = match ClaimTicket::claim(core, subject).await {
        Ok(ticket) => ticket,
        Err(response) => return reply_of(response, &call.request),
    };
    // If the ticket is dropped on an error, it withdraws the claim: nothing was sent.
    let (target, connection) = connect(core, call, targets).await?;
    let dispatched = match ticket.authorise().await {
        Ok(dispatched) => dispatched,
        Err(response) => {
            core.tables.routes.write().step_abandoned(&target);
            return Err(refusal_of(&response, &call.request));
        }
    };
    let response = tokio::select! {
        biased;
        response = send(core, call, &target, connection) => response,
        () = core.drain_expired.cancelled() => {
            core.tables.routes.write().step_abandoned(&target);
            let (verdict, status) = (RunVerdict::MayHaveRun, StatusCode::GATEWAY_TIMEOUT);
            dispatched.finish(verdict, status.as_u16(), &[]);
            return Err(call_failure(call, RefusalReason::Draining, verdict));
        }
    };
    finish(call, dispatched, response)
}

/// Connects to one target after another until one accepts the connection.
///
/// Nothing is sent yet, so a target that is down costs the call only time. After the
/// first byte no second target is tried.
async fn connect(
    core: &DaemonCore,
    call: &ServiceCall,
    targets: &[TargetId],
) -> Result<(TargetId, SingleCall), RefusalBody> {
    let mut excluded = Vec::new();
    while excluded.len() < MAX_CALL_ATTEMPTS {
        if core.drain_expired.is_cancelled() {
            let (reason, verdict) = (RefusalReason::Draining, RunVerdict::NotRun);
            return Err(call_failure(call, reason, verdict));
        }
        if !excluded.is_empty() && !core.tables.budget.lock().spend() {
            let reason = RefusalReason::RetryBudgetSpent;
            return Err(call_failure(call, reason, RunVerdict::NotRun));
        }
        let Some(target) = choose_target(core, targets, &excluded) else {
            return Err(call_failure(
                call,
                RefusalReason::NoRoute,
                RunVerdict::NotRun,
            ));
        };
        core.tables
            .routes
            .write()
            .step_sent(&target, Instant::now());
        match open(core, &target).await {
            Ok(connection) => return Ok((target, connection)),
            Err(failure) => record_failure(core, call, &target, &failure),
        }
        excluded.push(target);
    }
    Err(call_failure(
        call,
        RefusalReason::TargetFailed,
        RunVerdict::NotRun,
    ))
}

async fn open(core: &DaemonCore, target: &TargetId) -> Result<SingleCall, TargetFailure> {
    match core.target_address(target) {
        Some(address) => core.targets.open_single(address).await,
        None => Err(TargetFailure::Connect("no longer declared".to_owned())),
    }
}

async fn send(
    core: &DaemonCore,
    call: &ServiceCall,
    target: &TargetId,
    connection: SingleCall,
) -> Result<CallResponse, CallFailure> {
    let order = CallRequest {
        operation: call.operation.to_string(),
        headers: call_headers(call),
        body: call.body.clone(),
        use_pool: false,
    };
    let began = Instant::now();
    let response = connection.send(order).await;
    record_response(core, call, target, &response, began.elapsed());
    response
}

/// Records the outcome in the log, then responds.
fn finish(
    call: &ServiceCall,
    dispatched: DispatchedClaim,
    response: Result<CallResponse, CallFailure>,
) -> Result<ServiceResponse, RefusalBody> {
    match response {
        Ok(response) => {
            let status = response.status.as_u16();
            dispatched.finish(RunVerdict::Ran, status, &response.body);
            Ok(service_response(response))
        }
        Err(failure) => {
            let verdict = failure.verdict();
            let status = match verdict {
                RunVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::GATEWAY_TIMEOUT,
            };
            dispatched.finish(verdict, status.as_u16(), &[]);
            Err(call_failure(call, RefusalReason::TargetFailed, verdict))
        }
    }
}
