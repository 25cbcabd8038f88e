//! What a caller is told whose request this host did not send.

use std::time::Duration;

use bytes::Bytes;

use super::ticket::ClaimSubject;
use crate::api::backend::ServiceResponse;
use crate::api::wire::RefusalBody;
use crate::claims::answer::{ClaimAnswer, ClaimRefusal};
use crate::claims::record::{ClaimOutcome, KeptAnswer};
use crate::claims::table::KeyState;
use crate::daemon::core::DaemonCore;
use crate::ids::RequestId;
use crate::reason::RefusalReason;
use crate::verdict::RunVerdict;

/// When a caller may come back, if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What this host knows of a key better than that a repeat was not run.
///
/// A repeat may be refused for reasons of its own, such as a full queue,
/// before its key is looked at. Told only that, its caller would take the
/// request that ran under the key for one that did not, and make it once more
/// under another key.
pub(in crate::daemon) fn known_better(
    core: &DaemonCore,
    subject: &ClaimSubject,
) -> Option<ClaimAnswer> {
    let desk = core.tables.claims.lock();
    let outcome = match desk.table.look_up(&subject.name(), &subject.fingerprint) {
        KeyState::Ended(outcome) => Some(outcome),
        KeyState::Held(holder) => desk.own_end(&holder.claim),
        KeyState::Free | KeyState::Mismatched => return None,
    };
    match outcome {
        Some(outcome) if outcome.verdict == RunVerdict::NotRun => None,
        Some(outcome) => Some(ClaimAnswer::Known(outcome)),
        None => Some(ClaimAnswer::Unknown),
    }
}

/// The answer that the key's request got, or the refusal.
///
/// # Errors
/// The refusal, with what is known of the request under the key.
pub(in crate::daemon) fn reply_of(
    answer: ClaimAnswer,
    request: &RequestId,
) -> Result<ServiceResponse, RefusalBody> {
    match answer {
        ClaimAnswer::Known(ClaimOutcome {
            verdict: RunVerdict::Ran,
            status,
            answer: KeptAnswer::Whole(text),
        }) => Ok(ServiceResponse {
            status,
            body: Bytes::from(text),
            content_type: None,
            replayed: true,
        }),
        other => Err(refusal_of(&other, request)),
    }
}

/// The refusal of a request whose answer cannot be given again.
pub(in crate::daemon) fn refusal_of(answer: &ClaimAnswer, request: &RequestId) -> RefusalBody {
    let body = match answer {
        ClaimAnswer::Refused {
            refusal,
            retry_after,
        } => {
            let body = RefusalBody::not_run(refusal.reason(), refusal.to_string());
            match (retry_after, refusal) {
                (Some(wait), _) => body.retry_after(*wait),
                // Not known when; the host may know all claims any moment.
                (None, ClaimRefusal::NotCovered) => body.retry_after(RETRY_AFTER),
                (None, _) => body,
            }
        }
        ClaimAnswer::Known(outcome) => known(outcome),
        ClaimAnswer::Unknown => may_have_run(
            "this idempotency key was claimed before, and what became of its request is not known",
        ),
    };
    body.for_request(request.clone())
}

fn known(outcome: &ClaimOutcome) -> RefusalBody {
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
                    "the request under this idempotency key ran and was answered with status {}; \
                     the answer is not kept",
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
