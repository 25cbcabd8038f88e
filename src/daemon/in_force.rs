//! Refreshing the tables that are built from what is declared.

use std::time::Instant;

use super::core::DaemonCore;
use crate::admission::ShareLimit;
use crate::collections::FastSet;
use crate::ids::OrganisationId;
use crate::membership::DeclaredTarget;
use crate::replay::DeclarationTable;
use crate::resources::{ResourceKey, ResourceKind, ResourceSpec, TargetPhase};

/// Every kind of resource, in the order in which tables are refreshed.
const KINDS: [ResourceKind; 5] = [
    ResourceKind::Target,
    ResourceKind::Model,
    ResourceKind::Pipeline,
    ResourceKind::Service,
    ResourceKind::Organisation,
];

/// Puts the declared state in force on this host.
pub(super) fn put_in_force(core: &DaemonCore) {
    let declarations = core.tables.declarations.read();
    watch_declared(core, &declarations);
    set_shares(core, &declarations);
    let resources = declared_resources(&declarations);
    let mut routes = core.tables.routes.write();
    routes.set_pipelines(resources.iter().map(|(key, spec)| (key, *spec)));
    let applied = declarations.applied();
    core.metrics.set_applied_offset(applied);
    core.readiness.advance(&declarations, Instant::now());
    core.applied.send_replace(applied);
}

fn watch_declared(core: &DaemonCore, declarations: &DeclarationTable) {
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

/// Sets what each organisation may use here; one that was deleted may use
/// nothing from now on.
fn set_shares(core: &DaemonCore, declarations: &DeclarationTable) {
    let now = Instant::now();
    let mut desk = core.tables.admission.lock();
    let mut declared = FastSet::default();
    for entry in declarations.list(ResourceKind::Organisation) {
        let ResourceSpec::Organisation(spec) = &entry.resource.spec else {
            continue;
        };
        let organisation = OrganisationId::clone(entry.name);
        let limit = ShareLimit {
            concurrent_requests: spec.capacity.concurrent_requests,
            requests_per_second: spec.capacity.requests_per_second,
        };
        declared.insert(organisation.clone());
        desk.table.set_share(organisation, limit, now);
    }
    let deleted: Vec<OrganisationId> = desk
        .table
        .organisations()
        .filter(|organisation| !declared.contains(*organisation))
        .cloned()
        .collect();
    for organisation in deleted {
        desk.table.remove_share(&organisation, now);
    }
}

fn declared_resources(declarations: &DeclarationTable) -> Vec<(ResourceKey, &ResourceSpec)> {
    KINDS
        .into_iter()
        .flat_map(|kind| declarations.list(kind))
        .map(|entry| (entry.key(), &entry.resource.spec))
        .collect()
}
