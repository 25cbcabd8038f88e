//! Following the stream of declarations and putting it in force here.

use std::sync::Arc;
use std::time::Instant;

use super::core::DaemonCore;
use crate::admission::ShareLimit;
use crate::ids::OrganisationId;
use crate::membership::DeclaredTarget;
use crate::platform::backoff::BackoffPolicy;
use crate::platform::client::PlatformClient;
use crate::platform::log_tail::{LogTail, TailEvent, TailOptions};
use crate::platform::wire::StoredRecord;
use crate::records::DECLARATION_STREAM;
use crate::resources::{ResourceKey, ResourceKind, ResourceSpec, TargetPhase};

/// Most records in one read of the log.
const READ_LIMIT: usize = 512;
/// Reads that may wait to be applied.
const READ_AHEAD: usize = 4;

/// Opens the tail of the stream from its beginning.
pub(super) fn open_tail(client: PlatformClient, core: &DaemonCore, seed: u64) -> LogTail {
    let options = TailOptions {
        stream: DECLARATION_STREAM.to_owned(),
        from: 0,
        limit: READ_LIMIT,
        wait: core.options.timing.log_wait,
        backoff: BackoffPolicy::default(),
        seed,
        capacity: READ_AHEAD,
    };
    LogTail::spawn(client, options)
}

/// Applies records as they come, until the tail ends.
pub(super) async fn run_declarations(core: Arc<DaemonCore>, mut tail: LogTail) {
    while let Some(event) = tail.next().await {
        match event {
            TailEvent::Records {
                records,
                end_offset,
                ..
            } => {
                apply_records(&core, &records);
                if *core.applied.borrow() >= end_offset {
                    core.become_ready();
                }
            }
            TailEvent::Unreachable { .. } => {
                log::warn!("the platform's log cannot be read; the configuration stays in force");
            }
            TailEvent::Expired { first_offset, .. } => {
                log::error!("records before offset {first_offset} expired unread");
            }
        }
    }
}

fn apply_records(core: &DaemonCore, records: &[StoredRecord]) {
    if records.is_empty() {
        return;
    }
    let applied = {
        let mut declarations = core.tables.declarations.write();
        for record in records {
            match declarations.apply_raw(record.offset, &record.body) {
                Ok(judgement) => log::debug!("record {}: {judgement:?}", record.offset),
                Err(error) => {
                    log::error!("record {} cannot be applied: {error}", record.offset);
                    break;
                }
            }
        }
        declarations.applied()
    };
    put_in_force(core);
    core.metrics.set_applied_offset(applied);
    core.applied.send_replace(applied);
}

/// Refreshes the tables that are built from what is declared.
fn put_in_force(core: &DaemonCore) {
    let declarations = core.tables.declarations.read();
    let resources = declared_resources(&declarations);
    let now = Instant::now();
    watch_declared(core, &declarations);
    let mut desk = core.tables.admission.lock();
    for (key, spec) in &resources {
        if let ResourceSpec::Organisation(organisation) = spec {
            let limit = ShareLimit {
                concurrent_requests: organisation.capacity.concurrent_requests,
                requests_per_second: organisation.capacity.requests_per_second,
            };
            desk.table
                .set_share(OrganisationId::clone(&key.name), limit, now);
        }
    }
    let mut routes = core.tables.routes.write();
    routes.set_pipelines(resources.iter().map(|(key, spec)| (key, *spec)));
}

fn watch_declared(core: &DaemonCore, declarations: &crate::replay::DeclarationTable) {
    let targets: Vec<DeclaredTarget> = declarations
        .targets()
        .map(|entry| DeclaredTarget {
            target: entry.name.clone(),
            zone: entry.spec.zone.clone(),
            draining: entry.spec.phase == TargetPhase::Draining,
        })
        .collect();
    core.tables.watch.lock().set_declared(&targets);
}

fn declared_resources(
    declarations: &crate::replay::DeclarationTable,
) -> Vec<(ResourceKey, &ResourceSpec)> {
    const KINDS: [ResourceKind; 5] = [
        ResourceKind::Target,
        ResourceKind::Model,
        ResourceKind::Pipeline,
        ResourceKind::Service,
        ResourceKind::Organisation,
    ];
    KINDS
        .into_iter()
        .flat_map(|kind| declarations.list(kind))
        .map(|entry| (entry.key(), &entry.resource.spec))
        .collect()
}
