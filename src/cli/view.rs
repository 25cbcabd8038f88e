//! Reports of the commands and their text form.

use serde::Serialize;
use serde_json::Value;

use super::CliError;
use super::difference::FieldChange;
use super::rollout::{HostLag, RolloutProgress};
use crate::ids::LogOffset;
use crate::resources::{ResourceKey, ResourceSpec};

/// Outcome of a step for one resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StepOutcome {
    Created,
    Changed,
    Unchanged,
    Deleted,
    LostRace,
    Failed,
    NotSent,
    WouldCreate,
    WouldChange,
}

impl StepOutcome {
    /// Returns the outcome of a step that failed with an error.
    pub(super) fn from_error(error: &CliError) -> Self {
        match error {
            CliError::LostRace { .. } => Self::LostRace,
            _ => Self::Failed,
        }
    }

    /// Returns the outcome as shown in a table.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Created => "created",
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
            Self::Deleted => "deleted",
            Self::LostRace => "lost race",
            Self::Failed => "failed",
            Self::NotSent => "not sent",
            Self::WouldCreate => "would create",
            Self::WouldChange => "would change",
        }
    }

    /// Returns whether the table shows the fields that differ for this outcome.
    pub(super) fn shows_fields(self) -> bool {
        matches!(self, Self::Changed | Self::WouldCreate | Self::WouldChange)
    }
}

/// Outcome for one resource, with the fields that differ.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct StepReport {
    pub(super) resource: ResourceKey,
    pub(super) outcome: StepOutcome,
    pub(super) version: Option<LogOffset>,
    pub(super) fields: Vec<FieldChange>,
}

/// Summarises the content of a resource in one line.
pub(super) fn summarise(spec: &ResourceSpec) -> String {
    match spec {
        ResourceSpec::Model(model) => {
            let count = model.versions.len();
            format!("offers {} of {count} version(s)", model.offered)
        }
        ResourceSpec::Pipeline(pipeline) => format!(
            "{} {}, {} stage(s)",
            pipeline.model,
            pipeline.version,
            pipeline.stages.len()
        ),
        ResourceSpec::Service(service) => format!("{} target(s)", service.targets.len()),
        ResourceSpec::Organisation(organisation) => format!(
            "{} at once, {} a second",
            organisation.capacity.concurrent_requests, organisation.capacity.requests_per_second
        ),
        ResourceSpec::Target(target) => format!("{} in {}", target.address, target.zone),
    }
}

/// Describes in one line how many hosts have applied a change.
pub(super) fn describe_progress(progress: &RolloutProgress) -> String {
    let version = progress.version();
    let state = match progress.done {
        true => format!("version {version} is in force everywhere"),
        false => format!("version {version} is not in force everywhere"),
    };
    let behind = describe_hosts("behind", &progress.behind);
    let unreachable = describe_hosts("cannot be reached", &progress.unreachable);
    format!("{state}{behind}{unreachable}")
}

fn describe_hosts(label: &str, hosts: &[HostLag]) -> String {
    if hosts.is_empty() {
        return String::new();
    }
    let names = hosts.iter().map(|lag| match lag.applied.checked_sub(1) {
        Some(version) => format!("{} (has {version})", lag.host),
        None => format!("{} (has nothing)", lag.host),
    });
    format!("; {label}: {}", names.collect::<Vec<_>>().join(", "))
}

/// Formats a scalar value; strings are written without quotes.
pub(super) fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) if !text.is_empty() => text.clone(),
        other => other.to_string(),
    }
}

/// Describes in one line a field that differs.
pub(super) fn describe_field(change: &FieldChange) -> String {
    match (&change.before, &change.after) {
        (Some(before), Some(after)) => {
            format!(
                "{}: {} -> {}",
                change.field,
                value_text(before),
                value_text(after)
            )
        }
        (None, Some(after)) => format!("{}: + {}", change.field, value_text(after)),
        (Some(before), None) => format!("{}: - {}", change.field, value_text(before)),
        (None, None) => change.field.clone(),
    }
}
