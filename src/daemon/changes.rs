//! Appends operators' changes to the log and responds once their records are judged.

use std::sync::Arc;
use std::time::{Duration, Instant};

use uuid::Uuid;

use super::core::DaemonCore;
use crate::api::backend::{ApplyCall, ChangeRefusal, DeleteCall};
use crate::api::wire::{AcceptedBody, ConflictBody, RefusalBody};
use crate::ids::RecordId;
use crate::platform::error::AppendVerdict;
use crate::reason::RefusalReason;
use crate::records::{ChangeAction, DeclarationBody, JUDGING_RULES, LogRecord, ResourceChange};
use crate::replay::Judgement;
use crate::verdict::RunVerdict;

/// Maximum time that an operator's call waits for the change to be read back from the
/// log.
const JUDGEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before the end of an operator's call from which no append begins. A refusal that
/// arrived after the end could not tell the operator that the change was not written.
const LAST_APPEND: Duration = Duration::from_secs(1);
/// Pause before a change is appended again under the same id.
const APPEND_RETRY: Duration = Duration::from_millis(250);

/// Declares a resource.
///
/// # Errors
/// Returns a conflict with another change, or a refusal with its verdict.
pub(super) async fn apply(
    core: Arc<DaemonCore>,
    call: ApplyCall,
) -> Result<AcceptedBody, ChangeRefusal> {
    let change = ResourceChange {
        key: call.key,
        based_on: call.body.based_on,
        operator: call.operator,
        action: ChangeAction::Put(call.body.spec),
    };
    submit(&core, change).await
}

/// Removes a resource.
///
/// # Errors
/// Returns a conflict with another change, or a refusal with its verdict.
pub(super) async fn delete(
    core: Arc<DaemonCore>,
    call: DeleteCall,
) -> Result<AcceptedBody, ChangeRefusal> {
    let change = ResourceChange {
        key: call.key,
        based_on: Some(call.based_on),
        operator: call.operator,
        action: ChangeAction::Delete,
    };
    submit(&core, change).await
}

/// Appends the change until it is read back from the log, and returns its judgement.
///
/// An append whose response is lost may have taken effect. Appending again under the same
/// id is safe, because replay ignores ids that it has already seen. The response
/// therefore always reports the judgement that every host reaches.
async fn submit(core: &DaemonCore, change: ResourceChange) -> Result<AcceptedBody, ChangeRefusal> {
    if core.tables.declarations.read().stopped().is_some() {
        // A host whose replay has stopped can neither judge the change nor report its
        // result.
        return Err(change_refusal(RefusalReason::NotReady, RunVerdict::NotRun));
    }
    let id = RecordId::from(Uuid::new_v4().to_string());
    let record = LogRecord {
        id: id.clone(),
        rules: JUDGING_RULES,
        writer: core.host().clone(),
        incarnation: core.incarnation,
        body: DeclarationBody::Change(change),
    };
    let Ok(text) = serde_json::to_string(&record) else {
        return Err(change_refusal(RefusalReason::Malformed, RunVerdict::NotRun));
    };
    let mut verdict = RunVerdict::NotRun;
    let last = Instant::now() + JUDGEMENT_TIMEOUT.saturating_sub(LAST_APPEND);
    let judged = tokio::time::timeout(JUDGEMENT_TIMEOUT, async {
        tokio::select! {
            judgement = wait_for_judgement(core, &id) => judgement,
            () = keep_appending(core, &text, last, &mut verdict) => wait_for_judgement(core, &id).await,
        }
    })
    .await;
    match judged {
        Ok(outcome) => change_response(outcome),
        Err(_) => Err(change_refusal(RefusalReason::LogUnavailable, verdict)),
    }
}

/// Appends the record until an append is confirmed; the last one begins before `last`.
/// Meanwhile `verdict` states whether the change may have taken effect.
async fn keep_appending(core: &DaemonCore, text: &str, last: Instant, verdict: &mut RunVerdict) {
    while Instant::now() < last {
        if let Ok(appended) = core.declaration_appends.submit(text.to_owned()) {
            // From here on the record may be stored even though no response has arrived.
            // If the operator's timeout expires during this append, a verdict of "not
            // run" would be wrong: the change could still take effect.
            let prior = std::mem::replace(verdict, RunVerdict::MayHaveRun);
            match appended.await {
                Ok(Ok(_)) => return,
                Ok(Err(error)) if error.verdict == AppendVerdict::NotAppended => *verdict = prior,
                _ => {}
            }
        }
        tokio::time::sleep(APPEND_RETRY).await;
    }
}

/// A change with the offset and the judgement of its record.
struct JudgedChange {
    offset: crate::ids::LogOffset,
    judgement: Judgement,
}

/// Returns once the change is judged and its judgement is in effect on this host.
async fn wait_for_judgement(core: &DaemonCore, id: &RecordId) -> JudgedChange {
    let mut applied = core.applied.subscribe();
    loop {
        let applied_offset = *applied.borrow_and_update();
        let found = {
            let declarations = core.tables.declarations.read();
            let outcome = declarations.judgement_of(id);
            outcome
                .filter(|outcome| outcome.offset < applied_offset)
                .map(|outcome| JudgedChange {
                    offset: outcome.offset,
                    judgement: outcome.judgement.clone(),
                })
        };
        if let Some(judged) = found {
            return judged;
        }
        if applied.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn change_response(judged: JudgedChange) -> Result<AcceptedBody, ChangeRefusal> {
    match judged.judgement {
        Judgement::Accepted => Ok(AcceptedBody {
            version: judged.offset,
        }),
        Judgement::Lost { winner, operator } => Err(ChangeRefusal::Conflict(ConflictBody {
            message: "another change came first; read the resource again, then apply".to_owned(),
            winner,
            operator,
        })),
        Judgement::Invalid(error) => Err(ChangeRefusal::Refused(RefusalBody::not_run(
            RefusalReason::Malformed,
            error.to_string(),
        ))),
        other => Err(ChangeRefusal::Refused(RefusalBody::not_run(
            RefusalReason::Malformed,
            format!("the record was judged {other:?}"),
        ))),
    }
}

fn change_refusal(reason: RefusalReason, verdict: RunVerdict) -> ChangeRefusal {
    let message = match verdict {
        RunVerdict::NotRun => "the change was not written; apply it again later",
        _ => "the change may yet take effect; read the resource before applying again",
    };
    ChangeRefusal::Refused(
        RefusalBody {
            verdict,
            ..RefusalBody::not_run(reason, message)
        }
        .retry_after(Duration::from_secs(1)),
    )
}
