//! Claims of non-idempotent generations, from the key to the outcome in the log.
//!
//! At-most-once applies to the request as a whole. Its run may compute steps again to
//! replace a failed stage, because a step has no effect except its tokens, and each token
//! is sent to the caller once. A run that ends early is not started again, on this host
//! or another.

use std::sync::Arc;
use std::time::Instant;

use crate::api::backend::GenerateCall;
use crate::api::wire::RefusalBody;
use crate::claims::record::RequestFingerprint;
use crate::daemon::claims::{
    ClaimSubject, ClaimTicket, DispatchedClaim, known_response, refusal_of,
};
use crate::daemon::core::DaemonCore;
use crate::daemon::services::required_key;
use crate::ids::TokenValue;
use crate::reason::RefusalReason;
use crate::run::RunOutcome;
use crate::verdict::RunVerdict;

/// Returns the subject of a non-idempotent generation's claim, or `None` for any other
/// generation.
///
/// # Errors
/// Returns a refusal if the key is missing or unusable, and if the request resumes
/// another: the rest of a response cannot be distinguished from a second run.
pub(super) fn subject_of(
    call: &GenerateCall,
    deadline: Instant,
) -> Result<Option<ClaimSubject>, RefusalBody> {
    if !call.non_idempotent {
        return Ok(None);
    }
    if call.body.resume.is_some() {
        return Err(RefusalBody::not_run(
            RefusalReason::Malformed,
            "a non-idempotent generation cannot be resumed",
        )
        .for_request(call.request.clone()));
    }
    Ok(Some(ClaimSubject {
        request: call.request.clone(),
        organisation: call.organisation.clone(),
        key: required_key(call.key.as_ref(), &call.request)?,
        fingerprint: fingerprint(call)?,
        deadline,
    }))
}

/// Claims the key of a non-idempotent generation.
///
/// # Errors
/// Returns a refusal with what is known about the request that holds the key.
pub(super) async fn claim(
    core: &Arc<DaemonCore>,
    subject: Option<ClaimSubject>,
) -> Result<Option<ClaimTicket>, RefusalBody> {
    let Some(subject) = subject else {
        return Ok(None);
    };
    let request = subject.request.clone();
    match ClaimTicket::claim(core, subject).await {
        Ok(ticket) => Ok(Some(ticket)),
        Err(response) => Err(refusal_of(&response, &request)),
    }
}

/// Replaces a refusal by what is known about the request that holds the key, if that
/// request ran, may have run or is in progress.
pub(super) fn correct_refusal(
    core: &DaemonCore,
    subject: Option<&ClaimSubject>,
    refusal: RefusalBody,
) -> RefusalBody {
    match subject {
        Some(subject) if refusal.verdict == RunVerdict::NotRun => {
            match known_response(core, subject) {
                Some(response) => refusal_of(&response, &subject.request),
                None => refusal,
            }
        }
        _ => refusal,
    }
}

fn fingerprint(call: &GenerateCall) -> Result<RequestFingerprint, RefusalBody> {
    let body = serde_json::to_vec(&call.body).map_err(|error| {
        RefusalBody::not_run(RefusalReason::Malformed, error.to_string())
            .for_request(call.request.clone())
    })?;
    let resource = format!("generate/{}", call.body.model);
    Ok(RequestFingerprint::of(&resource, &body))
}

/// Requests permission to begin the run, if it needs any.
///
/// # Errors
/// Returns the outcome of a run that is not begun.
pub(super) async fn authorise(
    ticket: Option<ClaimTicket>,
) -> Result<Option<DispatchedClaim>, RunOutcome> {
    let Some(ticket) = ticket else {
        return Ok(None);
    };
    match ticket.authorise().await {
        Ok(dispatched) => Ok(Some(dispatched)),
        Err(response) => Err(RunOutcome {
            delivered: 0,
            verdict: response.verdict(),
            refusal: Some(RefusalReason::DeadlinePassed),
        }),
    }
}

/// Records the outcome of a run in the log, before its caller receives it.
pub(super) fn finish(
    dispatched: Option<DispatchedClaim>,
    outcome: RunOutcome,
    tokens: &[TokenValue],
) {
    let Some(dispatched) = dispatched else {
        return;
    };
    let verdict = match outcome.refusal {
        None => RunVerdict::Ran,
        Some(_) => outcome.verdict,
    };
    let text = serde_json::to_vec(tokens).unwrap_or_default();
    dispatched.finish_stream(verdict, RequestFingerprint::of("", &text));
}
