//! The way of one non-idempotent call: claim, connect, dispatch once.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;

use super::{
    MAX_CALL_ATTEMPTS, admit_call, call_headers, choose_target, deadline_of, failed, note_answer,
    note_failure, reply,
};
use crate::api::backend::{ServiceCall, ServiceResponse};
use crate::api::wire::RefusalBody;
use crate::claims::key::{TimedKey, parse_key};
use crate::claims::record::RequestFingerprint;
use crate::daemon::claims::{
    ClaimSubject, ClaimTicket, DispatchedClaim, known_better, refusal_of, reply_of,
};
use crate::daemon::core::DaemonCore;
use crate::ids::{IdempotencyKey, RequestId, TargetId};
use crate::reason::RefusalReason;
use crate::target::client::{CallAnswer, CallOrder, SingleCall};
use crate::target::{CallFailure, TargetFailure};
use crate::verdict::RunVerdict;

/// Reads the key that a non-idempotent request must carry.
///
/// # Errors
/// A refusal that says how to make a key.
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
        "{problem}; draw a UUID of version 7 for each request, and send the same again with \
         every repeat of it"
    );
    Err(RefusalBody::not_run(RefusalReason::Malformed, message).for_request(request.clone()))
}

/// Runs a call at most once over all hosts.
///
/// It is run to its end even if its caller goes away, also where only the
/// service's declaration says that it is non-idempotent: dropped after its
/// claim had won, it would leave the key blocked.
pub(super) async fn call_claimed(
    core: Arc<DaemonCore>,
    call: ServiceCall,
    targets: Vec<TargetId>,
) -> Result<ServiceResponse, RefusalBody> {
    let subject = subject_of(&core, &call)?;
    let request = call.request.clone();
    let running = call_once(Arc::clone(&core), call, targets, subject.clone());
    let result = core.in_flight.spawn(running).await;
    match result.unwrap_or_else(|_| Err(broke_off(&request))) {
        Err(refusal) if refusal.verdict == RunVerdict::NotRun => {
            match known_better(&core, &subject) {
                Some(answer) => reply_of(answer, &request),
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

fn broke_off(request: &RequestId) -> RefusalBody {
    RefusalBody {
        verdict: RunVerdict::MayHaveRun,
        ..RefusalBody::not_run(RefusalReason::TargetFailed, "the call broke off")
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
    let reply = call_under_claim(&core, &call, &targets, subject).await?;
    slot.complete();
    Ok(reply)
}

async fn call_under_claim(
    core: &Arc<DaemonCore>,
    call: &ServiceCall,
    targets: &[TargetId],
    subject: ClaimSubject,
) -> Result<ServiceResponse, RefusalBody> {
    let ticket = match ClaimTicket::claim(core, subject).await {
        Ok(ticket) => ticket,
        Err(answer) => return reply_of(answer, &call.request),
    };
    // A ticket dropped on the way withdraws the claim: nothing was sent.
    let (target, connection) = connect(core, call, targets).await?;
    let dispatched = match ticket.authorise().await {
        Ok(dispatched) => dispatched,
        Err(answer) => {
            core.tables.routes.write().step_abandoned(&target);
            return Err(refusal_of(&answer, &call.request));
        }
    };
    let answer = send(core, call, &target, connection).await;
    finish(call, dispatched, answer)
}

/// Connects to one target after another until one takes the connection.
///
/// Nothing is sent, so that a target that is down costs the call nothing but
/// time; after the first byte there is no second target.
async fn connect(
    core: &DaemonCore,
    call: &ServiceCall,
    targets: &[TargetId],
) -> Result<(TargetId, SingleCall), RefusalBody> {
    let mut excluded = Vec::new();
    while excluded.len() < MAX_CALL_ATTEMPTS {
        if !excluded.is_empty() && !core.tables.budget.lock().spend() {
            let reason = RefusalReason::RetryBudgetSpent;
            return Err(failed(call, reason, RunVerdict::NotRun));
        }
        let Some(target) = choose_target(core, targets, &excluded) else {
            return Err(failed(call, RefusalReason::NoRoute, RunVerdict::NotRun));
        };
        core.tables
            .routes
            .write()
            .step_sent(&target, Instant::now());
        match open(core, &target).await {
            Ok(connection) => return Ok((target, connection)),
            Err(failure) => note_failure(core, call, &target, &failure),
        }
        excluded.push(target);
    }
    Err(failed(
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
) -> Result<CallAnswer, CallFailure> {
    let order = CallOrder {
        operation: call.operation.to_string(),
        headers: call_headers(call),
        body: call.body.clone(),
        use_pool: false,
    };
    let began = Instant::now();
    let answer = connection.send(order).await;
    note_answer(core, call, target, &answer, began.elapsed());
    answer
}

/// Notes the outcome for every host, then answers.
fn finish(
    call: &ServiceCall,
    dispatched: DispatchedClaim,
    answer: Result<CallAnswer, CallFailure>,
) -> Result<ServiceResponse, RefusalBody> {
    match answer {
        Ok(answer) => {
            let status = answer.status.as_u16();
            dispatched.finish(RunVerdict::Ran, status, &answer.body);
            Ok(reply(answer))
        }
        Err(failure) => {
            let verdict = failure.verdict();
            let status = match verdict {
                RunVerdict::NotRun => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::GATEWAY_TIMEOUT,
            };
            dispatched.finish(verdict, status.as_u16(), &[]);
            Err(failed(call, RefusalReason::TargetFailed, verdict))
        }
    }
}
