//! Backend of the operators' listener.

use std::sync::Arc;
use std::time::{Instant, UNIX_EPOCH};

use futures::FutureExt;

use super::changes;
use super::core::{DaemonCore, DaemonPhase};
use super::force::force_view;
use crate::api::backend::{AsyncCall, OperatorBackend};
use crate::api::wire::{
    ExplainEntry, ExplainView, RefusalBody, ResourceView, StatusView, TargetStatusView,
};
use crate::auth::CredentialTable;
use crate::journal::{JournalEntry, JournalSubject};
use crate::reason::RefusalReason;
use crate::replay::DeclaredEntry;
use crate::resources::{ResourceKey, ResourceKind};

/// Builds the closures over the daemon's tables.
pub(super) fn operator_backend(core: &Arc<DaemonCore>) -> OperatorBackend {
    let credentials = credential_table(core);
    let metrics = Arc::clone(core);
    OperatorBackend {
        operator_of: Arc::new(move |digest| credentials.lookup(digest)),
        list: query(core, |core, ()| Ok(list_resources(core))),
        get: query(core, get_resource),
        apply: command(core, changes::apply),
        delete: command(core, changes::delete),
        force: query(core, |core, ()| Ok(force_view(core))),
        explain: query(core, |core, request: crate::ids::RequestId| {
            explain(core, &request)
        }),
        status: query(core, |core, ()| Ok(status_view(core))),
        metrics: Arc::new(move || metrics.metrics.encode()),
    }
}

fn credential_table(core: &DaemonCore) -> CredentialTable {
    let mut table = CredentialTable::default();
    for credential in &core.options.operators.credentials {
        table.insert(credential.operator.clone(), credential.token_digest);
    }
    table
}

/// Wraps a function that reads the tables without waiting.
fn query<C, R, F>(core: &Arc<DaemonCore>, read: F) -> AsyncCall<C, R>
where
    C: 'static,
    R: Send + 'static,
    F: Fn(&DaemonCore, C) -> R + Send + Sync + 'static,
{
    let core = Arc::clone(core);
    Arc::new(move |call| futures::future::ready(read(&core, call)).boxed())
}

/// Wraps a function that waits for the log.
fn command<C, R, F, A>(core: &Arc<DaemonCore>, run: F) -> AsyncCall<C, R>
where
    C: 'static,
    R: Send + 'static,
    F: Fn(Arc<DaemonCore>, C) -> A + Send + Sync + 'static,
    A: Future<Output = R> + Send + 'static,
{
    let core = Arc::clone(core);
    Arc::new(move |call| run(Arc::clone(&core), call).boxed())
}

fn list_resources(core: &DaemonCore) -> Vec<ResourceView> {
    let declarations = core.tables.declarations.read();
    ResourceKind::ALL
        .into_iter()
        .flat_map(|kind| declarations.list(kind))
        .map(view)
        .collect()
}

fn view(entry: DeclaredEntry<'_>) -> ResourceView {
    ResourceView {
        key: entry.key(),
        spec: entry.resource.spec.clone(),
        version: entry.resource.version,
        operator: entry.resource.operator.clone(),
    }
}

fn get_resource(core: &DaemonCore, key: ResourceKey) -> Result<ResourceView, RefusalBody> {
    let declarations = core.tables.declarations.read();
    match declarations.get(&key) {
        Some(resource) => Ok(ResourceView {
            spec: resource.spec.clone(),
            version: resource.version,
            operator: resource.operator.clone(),
            key,
        }),
        None => Err(RefusalBody::not_run(
            RefusalReason::Unknown,
            format!("{key} is not declared"),
        )),
    }
}

fn explain(core: &DaemonCore, subject: &str) -> Result<ExplainView, RefusalBody> {
    let explanation = {
        let journal = core.tables.journal.lock();
        journal.explain(&JournalSubject::from_text(subject))
    };
    if explanation.entries.is_empty() {
        return Err(RefusalBody::not_run(
            RefusalReason::Unknown,
            format!(
                "this host has recorded no decision about {subject}; query the other entry hosts"
            ),
        ));
    }
    let entries = explanation.entries.iter().map(explain_entry).collect();
    Ok(ExplainView {
        subject: subject.to_owned(),
        entries,
    })
}

fn explain_entry(entry: &JournalEntry) -> ExplainEntry {
    let since_epoch = entry.at.duration_since(UNIX_EPOCH).unwrap_or_default();
    ExplainEntry {
        at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        subject: entry.subject.to_string(),
        text: entry.event.to_string(),
    }
}

fn status_view(core: &DaemonCore) -> StatusView {
    let declarations = core.tables.declarations.read();
    let routes = core.tables.routes.read();
    let now = Instant::now();
    let targets = declarations
        .targets()
        .map(|entry| {
            let group = std::slice::from_ref(entry.name);
            let usable = !routes.usable_targets(group, &[], now).is_empty();
            TargetStatusView {
                target: entry.name.clone(),
                zone: entry.spec.zone.clone(),
                usable,
                condition: condition(usable, routes.is_leaving(entry.name)).to_owned(),
                in_flight: u64::from(routes.steps_in_flight(entry.name)),
            }
        })
        .collect();
    StatusView {
        host: core.host().clone(),
        zone: core.zone().clone(),
        ready: core.phase() == DaemonPhase::Serving,
        draining: core.phase() == DaemonPhase::Draining,
        applied: declarations.applied(),
        targets,
    }
}

fn condition(usable: bool, leaving: bool) -> &'static str {
    match (usable, leaving) {
        (true, _) => "serving",
        (false, true) => "leaving",
        (false, false) => "ejected after failures",
    }
}
