//! Validates a change against the other declared resources.
//!
//! The check runs when the record is applied, against the state at that offset, so that
//! all readers reach the same result.

use super::judgement::InvalidChange;
use super::table::DeclarationTable;
use crate::ids::TargetId;
use crate::records::{ChangeAction, ResourceChange};
use crate::resources::{
    ModelSpec, OrganisationSpec, PipelineSpec, ResourceKey, ResourceKind, ResourceSpec,
    ServiceSpec, TargetKind, TargetSpec,
};

/// Allowed length of a resource's name, in bytes.
const NAME_LENGTH: std::ops::RangeInclusive<usize> = 1..=128;

/// Checks a change whose `based_on` is the latest version.
pub(super) fn check_change(
    table: &DeclarationTable,
    change: &ResourceChange,
) -> Result<(), InvalidChange> {
    match &change.action {
        ChangeAction::Delete => check_delete(table, &change.key),
        ChangeAction::Put(spec) => check_put(table, &change.key, spec),
    }
}

fn check_delete(table: &DeclarationTable, key: &ResourceKey) -> Result<(), InvalidChange> {
    if table.get(key).is_none() {
        return Err(InvalidChange::NotDeclared { key: key.clone() });
    }
    match key.kind {
        ResourceKind::Model => require_unused(table, |spec| serves_model(spec, &key.name)),
        ResourceKind::Target => require_unused(table, |spec| references_target(spec, &key.name)),
        ResourceKind::Pipeline | ResourceKind::Service | ResourceKind::Organisation => Ok(()),
    }
}

fn check_put(
    table: &DeclarationTable,
    key: &ResourceKey,
    spec: &ResourceSpec,
) -> Result<(), InvalidChange> {
    check_name(&key.name)?;
    if spec.kind() != key.kind {
        return Err(InvalidChange::KindMismatch {
            expected: key.kind,
            found: spec.kind(),
        });
    }
    spec.check()?;
    match spec {
        ResourceSpec::Model(model) => check_model(table, key, model),
        ResourceSpec::Pipeline(pipeline) => check_pipeline(table, pipeline),
        ResourceSpec::Service(service) => check_service(table, service),
        ResourceSpec::Organisation(organisation) => check_digest(table, key, organisation),
        ResourceSpec::Target(target) => check_target(table, key, target),
    }
}

fn check_name(name: &str) -> Result<(), InvalidChange> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    match NAME_LENGTH.contains(&name.len()) && name.bytes().all(is_allowed) {
        true => Ok(()),
        false => Err(InvalidChange::BadName {
            name: name.to_owned(),
        }),
    }
}

/// Rejects a change that removes a version used by a pipeline or changes its number of
/// layers, because the stages would no longer cover the model.
fn check_model(
    table: &DeclarationTable,
    key: &ResourceKey,
    model: &ModelSpec,
) -> Result<(), InvalidChange> {
    require_unused(table, |spec| match spec {
        ResourceSpec::Pipeline(pipeline) if pipeline.model == key.name => {
            check_layers(model, pipeline).is_err()
        }
        _ => false,
    })
}

fn check_pipeline(table: &DeclarationTable, pipeline: &PipelineSpec) -> Result<(), InvalidChange> {
    let Some(model) = table.model(&pipeline.model) else {
        return Err(missing_resource(ResourceKind::Model, &pipeline.model));
    };
    check_layers(model, pipeline)?;
    let mut targets = pipeline.stages.iter().flat_map(|stage| &stage.targets);
    targets.try_for_each(|target| check_target_reference(table, target, TargetKind::Engine))
}

fn check_layers(model: &ModelSpec, pipeline: &PipelineSpec) -> Result<(), InvalidChange> {
    let Some(version) = model.version(&pipeline.version) else {
        return Err(InvalidChange::MissingVersion {
            model: pipeline.model.to_string(),
            version: pipeline.version.to_string(),
        });
    };
    let expected = version.layers.saturating_sub(1);
    let found = pipeline.stages.last().map_or(0, |stage| stage.last_layer);
    match found == expected {
        true => Ok(()),
        false => Err(InvalidChange::LayersUncovered { expected, found }),
    }
}

fn check_service(table: &DeclarationTable, service: &ServiceSpec) -> Result<(), InvalidChange> {
    let mut targets = service.targets.iter();
    targets.try_for_each(|target| check_target_reference(table, target, TargetKind::Service))
}

fn check_target_reference(
    table: &DeclarationTable,
    name: &TargetId,
    kind: TargetKind,
) -> Result<(), InvalidChange> {
    match table.target(name) {
        None => Err(missing_resource(ResourceKind::Target, name)),
        Some(target) if target.kind != kind => Err(InvalidChange::WrongTargetKind {
            target: ResourceKey::new(ResourceKind::Target, name.clone()),
        }),
        Some(_) => Ok(()),
    }
}

fn check_digest(
    table: &DeclarationTable,
    key: &ResourceKey,
    organisation: &OrganisationSpec,
) -> Result<(), InvalidChange> {
    match table.index.organisation(&organisation.token_digest) {
        Some(owner) if *owner != key.name => Err(InvalidChange::DigestTaken {
            owner: ResourceKey::new(ResourceKind::Organisation, owner.clone()),
        }),
        _ => Ok(()),
    }
}

/// Rejects a change of kind, between engine and service, of a target that is in use.
fn check_target(
    table: &DeclarationTable,
    key: &ResourceKey,
    target: &TargetSpec,
) -> Result<(), InvalidChange> {
    match table.target(&key.name) {
        Some(old) if old.kind != target.kind => {
            require_unused(table, |spec| references_target(spec, &key.name))
        }
        _ => Ok(()),
    }
}

fn missing_resource(kind: ResourceKind, name: &str) -> InvalidChange {
    InvalidChange::Missing {
        missing: ResourceKey::new(kind, name),
    }
}

fn serves_model(spec: &ResourceSpec, model: &str) -> bool {
    matches!(spec, ResourceSpec::Pipeline(pipeline) if &*pipeline.model == model)
}

fn references_target(spec: &ResourceSpec, target: &str) -> bool {
    match spec {
        ResourceSpec::Pipeline(pipeline) => pipeline
            .stages
            .iter()
            .flat_map(|stage| &stage.targets)
            .any(|name| &**name == target),
        ResourceSpec::Service(service) => service.targets.iter().any(|name| &**name == target),
        _ => false,
    }
}

/// Returns an error that names the first pipeline or service, by kind and name, for which
/// `needs` is true.
fn require_unused<F>(table: &DeclarationTable, needs: F) -> Result<(), InvalidChange>
where
    F: Fn(&ResourceSpec) -> bool,
{
    let users = table
        .list(ResourceKind::Pipeline)
        .chain(table.list(ResourceKind::Service));
    let mut users = users.filter(|entry| needs(&entry.resource.spec));
    match users.next() {
        Some(user) => Err(InvalidChange::InUse { user: user.key() }),
        None => Ok(()),
    }
}
