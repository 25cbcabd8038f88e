//! Operators' changes: appended to the log, and answered once judged.

use std::sync::Arc;
use std::time::Duration;

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

/// How long an operator waits for the log to show the change.
const JUDGEMENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a change is appended again under the same id.
const APPEND_RETRY: Duration = Duration::from_millis(250);

/// Declares a resource.
///
/// # Errors
/// A lost race or a refusal, with the verdict.
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
/// A lost race or a refusal, with the verdict.
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

/// Appends the change until it shows up in the log, and tells its judgement.
///
/// An append whose answer is lost may have taken effect. Appending again under
/// the same id does no harm, since replay drops an id that it has seen; so the
/// answer always is what every host judged, never a guess.
async fn submit(core: &DaemonCore, change: ResourceChange) -> Result<AcceptedBody, ChangeRefusal> {
    if core.tables.declarations.read().stopped().is_some() {
        // This host can't judge what it would write, nor tell the outcome.
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
    let judged = tokio::time::timeout(JUDGEMENT_TIMEOUT, async {
        tokio::select! {
            judgement = wait_for_judgement(core, &id) => judgement,
            () = keep_appending(core, &text, &mut verdict) => wait_for_judgement(core, &id).await,
        }
    })
    .await;
    match judged {
        Ok(outcome) => change_response(outcome),
        Err(_) => Err(change_refusal(RefusalReason::LogUnavailable, verdict)),
    }
}

/// Returns once an append was confirmed.
async fn keep_appending(core: &DaemonCore, text: &str, verdict: &mut RunVerdict) {
    loop {
        if let Ok(appended) = core.declaration_appends.submit(text.to_owned()) {
            // From here on the record may be stored although no answer has
            // come. The operator's time may end during this very append; told
            // "not run", the change would yet turn up in force.
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

/// A judged change.
struct JudgedChange {
    offset: crate::ids::LogOffset,
    judgement: Judgement,
}

/// Returns once the change was judged and its judgement is in force here.
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
