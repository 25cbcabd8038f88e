//! Helpers that build declarations and their records.

#![allow(dead_code, reason = "each test file uses a part of them")]

use jackdawwick::ids::LogOffset;
use jackdawwick::records::{
    ChangeAction, DeclarationBody, JUDGING_RULES, LogRecord, ResourceChange, StateCheckpoint,
};
use jackdawwick::resources::{
    CapacitySpec, FencingSupport, ModelSpec, OrganisationSpec, PipelineSpec, ResourceKey,
    ResourceKind, ResourceSpec, ServiceSpec, StageSpec, TargetKind, TargetPhase, TargetSpec,
    VersionSpec,
};

pub(crate) type DeclarationRecord = LogRecord<DeclarationBody>;

pub(crate) fn record(id: &str, body: DeclarationBody) -> DeclarationRecord {
    LogRecord {
        id: id.into(),
        rules: JUDGING_RULES,
        writer: "host-1".into(),
        incarnation: 1,
        body,
    }
}

pub(crate) fn text(record: &DeclarationRecord) -> String {
    serde_json::to_string(record).expect("records are JSON")
}

pub(crate) fn change(
    id: &str,
    operator: &str,
    key: &ResourceKey,
    based_on: Option<LogOffset>,
    action: ChangeAction,
) -> DeclarationRecord {
    let change = ResourceChange {
        key: key.clone(),
        based_on,
        operator: operator.into(),
        action,
    };
    record(id, DeclarationBody::Change(change))
}

pub(crate) fn put(
    id: &str,
    name: &str,
    based_on: Option<LogOffset>,
    spec: ResourceSpec,
) -> DeclarationRecord {
    let key = ResourceKey::new(spec.kind(), name);
    change(id, "nino", &key, based_on, ChangeAction::Put(spec))
}

pub(crate) fn delete(
    id: &str,
    key: &ResourceKey,
    based_on: Option<LogOffset>,
) -> DeclarationRecord {
    change(id, "nino", key, based_on, ChangeAction::Delete)
}

pub(crate) fn checkpoint(id: &str, state: StateCheckpoint) -> DeclarationRecord {
    record(id, DeclarationBody::Checkpoint(state))
}

pub(crate) fn key(kind: ResourceKind, name: &str) -> ResourceKey {
    ResourceKey::new(kind, name)
}

pub(crate) fn model(offered: &str, versions: &[(&str, u32)]) -> ResourceSpec {
    ResourceSpec::Model(ModelSpec {
        offered: offered.into(),
        versions: versions
            .iter()
            .map(|(name, layers)| VersionSpec {
                name: (*name).into(),
                layers: *layers,
                adapters: Vec::new(),
            })
            .collect(),
    })
}

pub(crate) fn target(kind: TargetKind, tokens_per_second: f64) -> ResourceSpec {
    ResourceSpec::Target(TargetSpec {
        kind,
        zone: "vake".into(),
        address: ([127, 0, 0, 1], 7000).into(),
        accelerator: String::new(),
        tokens_per_second,
        concurrency: 4,
        fencing: FencingSupport::Ignores,
        phase: TargetPhase::Serving,
    })
}

/// Returns a pipeline whose stages end at the given layers, with one target each.
pub(crate) fn pipeline(model: &str, version: &str, stages: &[(u32, &str)]) -> ResourceSpec {
    let mut first_layer = 0;
    let mut specs = Vec::new();
    for (last_layer, target) in stages {
        specs.push(StageSpec {
            first_layer,
            last_layer: *last_layer,
            targets: vec![(*target).into()],
        });
        first_layer = last_layer + 1;
    }
    ResourceSpec::Pipeline(PipelineSpec {
        model: model.into(),
        version: version.into(),
        stages: specs,
    })
}

pub(crate) fn service(target: &str) -> ResourceSpec {
    ResourceSpec::Service(ServiceSpec {
        targets: vec![target.into()],
        non_idempotent: Vec::new(),
    })
}

pub(crate) fn organisation(digit: char, concurrent_requests: u32) -> ResourceSpec {
    ResourceSpec::Organisation(OrganisationSpec {
        token_digest: digit.to_string().repeat(64),
        capacity: CapacitySpec {
            concurrent_requests,
            requests_per_second: 10,
        },
    })
}
