//! Updates the tables that are derived from the declarations.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use super::core::DaemonCore;
use super::shares::declare_shares;
use crate::admission::ShareLimit;
use crate::ids::{OrganisationId, ZoneId};
use crate::membership::DeclaredTarget;
use crate::replay::DeclarationTable;
use crate::resources::{ResourceKey, ResourceKind, ResourceSpec, TargetPhase};
use crate::shares::ShareUnits;

/// Activates the declared state on this host.
pub(super) fn activate_declarations(core: &DaemonCore) {
    let declarations = core.tables.declarations.read();
    watch_declared(core, &declarations);
    declare_organisations(core, &declarations);
    let resources = declared_resources(&declarations);
    let mut routes = core.tables.routes.write();
    routes.set_pipelines(resources.iter().map(|(key, spec)| (key, *spec)));
    let applied = declarations.applied();
    core.metrics.set_applied_offset(applied);
    core.readiness
        .observe_applied(&declarations, Instant::now());
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

/// Passes the bought capacity to the shares, and the declared organisations to admission.
/// The grants determine what each organisation may use on this host. A deleted
/// organisation may use nothing from now on.
fn declare_organisations(core: &DaemonCore, declarations: &DeclarationTable) {
    let mut bought = BTreeMap::new();
    for entry in declarations.list(ResourceKind::Organisation) {
        if let ResourceSpec::Organisation(spec) = &entry.resource.spec {
            let units = ShareUnits::from(spec.capacity);
            bought.insert(OrganisationId::clone(entry.name), units);
        }
    }
    let zones: BTreeSet<ZoneId> = declarations
        .targets()
        .map(|target| target.spec.zone.clone())
        .collect();
    list_organisations(core, &bought);
    declare_shares(core, bought, zones);
}

fn list_organisations(core: &DaemonCore, declared: &BTreeMap<OrganisationId, ShareUnits>) {
    let now = Instant::now();
    let mut state = core.tables.admission.lock();
    let known: BTreeSet<OrganisationId> = state.table.organisations().cloned().collect();
    for organisation in declared.keys().filter(|name| !known.contains(*name)) {
        state
            .table
            .set_share(organisation.clone(), ShareLimit::default(), now);
    }
    for organisation in known.iter().filter(|name| !declared.contains_key(*name)) {
        state.table.remove_share(organisation, now);
    }
}

fn declared_resources(declarations: &DeclarationTable) -> Vec<(ResourceKey, &ResourceSpec)> {
    ResourceKind::ALL
        .into_iter()
        .flat_map(|kind| declarations.list(kind))
        .map(|entry| (entry.key(), &entry.resource.spec))
        .collect()
}
