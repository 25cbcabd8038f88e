//! Replies to callers whose request this host did not send.

use std::time::Duration;

use bytes::Bytes;

use super::ticket::ClaimSubject;
use crate::api::backend::ServiceResponse;
use crate::api::wire::RefusalBody;
use crate::claims::record::{ClaimOutcome, StoredResponse};
use crate::claims::response::{ClaimRefusal, ClaimResponse};
use crate::claims::table::KeyState;
use crate::daemon::core::DaemonCore;
use crate::ids::RequestId;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// Retry delay for callers when no better value is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns what is known about the request that holds the key, if that request ran, may
/// have run or is in progress; otherwise `None`.
///
/// A repeat may be refused for a reason of its own, such as a full queue, before its key
/// is looked up. If its caller received only that refusal, it would conclude that the
/// original request was not run, and send it again under another key.
pub(in crate::daemon) fn known_response(
    core: &DaemonCore,
    subject: &ClaimSubject,
) -> Option<ClaimResponse> {
    let state = core.tables.claims.lock();
    let outcome = match state.table.look_up(&subject.name(), &subject.fingerprint) {
        KeyState::Ended(outcome) => Some(outcome),
        KeyState::Held(holder) => state.local_outcome(&holder.claim),
        KeyState::Free | KeyState::Mismatched => return None,
    };
    match outcome {
        Some(outcome) if outcome.verdict == RunVerdict::NotRun => None,
        Some(outcome) => Some(ClaimResponse::Known(outcome)),
        None => Some(ClaimResponse::Unknown),
    }
}

/// Returns the stored response of the key's request.
///
/// # Errors
/// Returns a refusal with what is known about the request that holds the key, if its
/// response cannot be repeated.
pub(in crate::daemon) fn reply_of(
    response: ClaimResponse,
    request: &RequestId,
) -> Result<ServiceResponse, RefusalBody> {
    match response {
        ClaimResponse::Known(ClaimOutcome {
            verdict: RunVerdict::Ran,
            status,
            answer: StoredResponse::Whole(text),
        }) => Ok(ServiceResponse {
            status,
            body: Bytes::from(text),
            content_type: None,
            replayed: true,
        }),
        other => Err(refusal_of(&other, request)),
    }
}

/// Returns the refusal of a request whose response cannot be repeated.
pub(in crate::daemon) fn refusal_of(response: &ClaimResponse, request: &RequestId) -> RefusalBody {
    let body = match response {
        ClaimResponse::Refused {
            refusal,
            retry_after,
        } => {
            let body = RefusalBody::not_run(refusal.reason(), refusal.to_string());
            match (retry_after, refusal) {
                (Some(wait), _) => body.retry_after(*wait),
                // The time is unknown: the host may catch up with the claims at any moment.
                (None, ClaimRefusal::NotCovered) => body.retry_after(RETRY_AFTER),
                (None, _) => body,
            }
        }
        ClaimResponse::Known(outcome) => outcome_refusal(outcome),
        ClaimResponse::Unknown => may_have_run(
            "this idempotency key was claimed before, and the outcome of its request is not known",
        ),
    };
    body.for_request(request.clone())
}

fn outcome_refusal(outcome: &ClaimOutcome) -> RefusalBody {
    match outcome.verdict {
        RunVerdict::NotRun => RefusalBody::not_run(
            RefusalReason::ClaimedElsewhere,
            "the request under this idempotency key was not run; send it again",
        )
        .retry_after(RETRY_AFTER),
        RunVerdict::MayHaveRun => {
            may_have_run("the request under this idempotency key may have run")
        }
        RunVerdict::Ran => RefusalBody {
            verdict: RunVerdict::Ran,
            ..RefusalBody::not_run(
                RefusalReason::ClaimedElsewhere,
                format!(
                    "the request under this idempotency key ran and ended with status {}; \
                     its response is not stored",
                    outcome.status
                ),
            )
        },
    }
}

fn may_have_run(message: &str) -> RefusalBody {
    RefusalBody {
        verdict: RunVerdict::MayHaveRun,
        ..RefusalBody::not_run(RefusalReason::ClaimedElsewhere, message)
    }
}
