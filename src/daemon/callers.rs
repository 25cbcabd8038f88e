//! Backend of the callers' listener.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;

use super::core::DaemonCore;
use super::{generate, services};
use crate::api::backend::{CallerBackend, ServiceResponse};
use crate::api::wire::RefusalBody;
use crate::auth::TokenDigest;
use crate::ids::OrganisationId;
use crate::journal::JournalEvent;
use crate::metrics::{RequestKind, RequestOutcome};
use crate::verdict::RunVerdict;

/// Builds the closures over the daemon's tables.
pub(super) fn caller_backend(core: &Arc<DaemonCore>) -> CallerBackend {
    let identities = Arc::clone(core);
    let generations = Arc::clone(core);
    let calls = Arc::clone(core);
    let phase = Arc::clone(core);
    CallerBackend {
        organisation_of: Arc::new(move |digest| organisation_of(&identities, digest)),
        generate: Arc::new(move |call| {
            let core = Arc::clone(&generations);
            async move {
                let response = generate::generate(Arc::clone(&core), call).await;
                response.inspect_err(|refusal| count_refusal(&core, refusal))
            }
            .boxed()
        }),
        call_service: Arc::new(move |call| {
            let core = Arc::clone(&calls);
            async move {
                core.metrics.request_begun(RequestKind::Service);
                let response = services::call_service(Arc::clone(&core), call).await;
                core.metrics
                    .request_ended(RequestKind::Service, call_outcome(&response));
                response.inspect_err(|refusal| count_refusal(&core, refusal))
            }
            .boxed()
        }),
        ready: Arc::new(move || phase.is_ready()),
        healthy: Arc::new(|| true),
    }
}

fn organisation_of(core: &DaemonCore, digest: &TokenDigest) -> Option<OrganisationId> {
    let declarations = core.tables.declarations.read();
    let entry = declarations.organisation_by_digest(&digest.to_hex())?;
    // The index lookup uses an ordinary comparison, so the whole digest is compared again
    // in constant time.
    let declared = TokenDigest::from_hex(&entry.spec.token_digest)?;
    bool::from(declared.matches(digest)).then(|| entry.name.clone())
}

/// Returns the outcome of a call for the metrics. There is no outcome for a disconnected
/// caller, because calls run to their end without one.
fn call_outcome(response: &Result<ServiceResponse, RefusalBody>) -> RequestOutcome {
    match response {
        Ok(_) => RequestOutcome::Whole,
        Err(refusal) if refusal.verdict == RunVerdict::NotRun => RequestOutcome::NotRun,
        Err(_) => RequestOutcome::MayHaveRun,
    }
}

fn count_refusal(core: &DaemonCore, refusal: &RefusalBody) {
    core.metrics.refused(refusal.reason);
    if let Some(request) = &refusal.request {
        let event = JournalEvent::Refused {
            reason: refusal.reason,
            verdict: refusal.verdict,
            retry_after: refusal.retry_after_ms.map(Duration::from_millis),
        };
        core.record_event(request, event);
        log::info!(request:% = request; "refused: {refusal}");
    }
}
