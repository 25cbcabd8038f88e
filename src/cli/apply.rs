//! `apply`: compares a file with the declared resources and declares the differences.

use std::collections::BTreeMap;
use std::path::Path;

use std::io::Write;

use super::CliError;
use super::difference::{FieldChange, compare_specs};
use super::resource_file::{DeclaredResource, parse_resources};
use super::session::OperatorSession;
use super::view::{StepOutcome, StepReport};
use crate::api::wire::{ApplyBody, ResourceView};
use crate::ids::LogOffset;
use crate::resources::ResourceKey;

/// A resource of the file and the change that `apply` makes to it.
#[derive(Debug, Clone, PartialEq)]
pub struct ApplyStep {
    /// Resource as declared in the file.
    pub declared: DeclaredResource,
    /// Difference from the current resource.
    pub change: StepChange,
}

/// Difference between a resource in the file and the current resource.
#[derive(Debug, Clone, PartialEq)]
pub enum StepChange {
    /// The resource does not exist yet.
    Create,
    /// The resource exists and differs.
    Update {
        /// Version that was compared.
        based_on: LogOffset,
        /// The fields that differ.
        fields: Vec<FieldChange>,
    },
    /// The resource is already as declared.
    Unchanged {
        /// Version of the resource.
        version: LogOffset,
    },
}

/// Compares the resources of a file with the current ones, in the order of the file.
pub fn plan_apply(declared: Vec<DeclaredResource>, current: &[ResourceView]) -> Vec<ApplyStep> {
    let current = current.iter().map(|view| (&view.key, view));
    let current = current.collect::<BTreeMap<&ResourceKey, _>>();
    let steps = declared.into_iter().map(|declared| {
        let change = plan_step(&declared, current.get(&declared.key).copied());
        ApplyStep { declared, change }
    });
    steps.collect()
}

fn plan_step(declared: &DeclaredResource, current: Option<&ResourceView>) -> StepChange {
    let Some(view) = current else {
        return StepChange::Create;
    };
    let fields = compare_specs(&view.spec, &declared.spec);
    match fields.is_empty() {
        true => StepChange::Unchanged {
            version: view.version,
        },
        false => StepChange::Update {
            based_on: view.version,
            fields,
        },
    }
}

impl ApplyStep {
    fn report(&self, outcome: StepOutcome, version: Option<LogOffset>) -> StepReport {
        let fields = match &self.change {
            StepChange::Update { fields, .. } => fields.clone(),
            StepChange::Create => created_fields(&self.declared),
            StepChange::Unchanged { .. } => Vec::new(),
        };
        StepReport {
            resource: self.declared.key.clone(),
            outcome,
            version,
            fields,
        }
    }

    fn preview(&self) -> StepReport {
        match self.change {
            StepChange::Create => self.report(StepOutcome::WouldCreate, None),
            StepChange::Update { .. } => self.report(StepOutcome::WouldChange, None),
            StepChange::Unchanged { version } => self.report(StepOutcome::Unchanged, Some(version)),
        }
    }
}

fn created_fields(declared: &DeclaredResource) -> Vec<FieldChange> {
    let fields = super::difference::flatten_spec(&declared.spec).into_iter();
    let changes = fields.map(|(field, after)| FieldChange {
        field,
        before: None,
        after: Some(after),
    });
    changes.collect()
}

impl<W> OperatorSession<'_, W>
where
    W: Write,
{
    /// Declares those resources of a file that differ from the current ones.
    pub(super) async fn apply(&mut self, file: &Path, dry_run: bool) -> Result<(), CliError> {
        let declared = read_file(file)?;
        let current = self.client.list(None).await?;
        let steps = plan_apply(declared, &current);
        if dry_run {
            let reports = steps.iter().map(ApplyStep::preview).collect::<Vec<_>>();
            return self.presenter.steps(&reports);
        }
        self.apply_steps(&steps).await
    }

    /// Executes the steps in order and stops at the first failure, since later resources
    /// may refer to the one that failed.
    async fn apply_steps(&mut self, steps: &[ApplyStep]) -> Result<(), CliError> {
        let mut reports = Vec::new();
        let mut failure = None;
        for step in steps {
            if failure.is_some() {
                reports.push(step.report(StepOutcome::NotSent, None));
                continue;
            }
            match self.apply_step(step).await {
                Ok(report) => reports.push(report),
                Err(error) => {
                    reports.push(step.report(StepOutcome::from_error(&error), None));
                    failure = Some(error);
                }
            }
        }
        self.presenter.steps(&reports)?;
        match failure {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    async fn apply_step(&self, step: &ApplyStep) -> Result<StepReport, CliError> {
        let (based_on, outcome) = match step.change {
            StepChange::Create => (None, StepOutcome::Created),
            StepChange::Update { based_on, .. } => (Some(based_on), StepOutcome::Changed),
            StepChange::Unchanged { version } => {
                return Ok(step.report(StepOutcome::Unchanged, Some(version)));
            }
        };
        let body = ApplyBody {
            spec: step.declared.spec.clone(),
            based_on,
        };
        let accepted = self.client.apply(&step.declared.key, &body).await?;
        Ok(step.report(outcome, Some(accepted.version)))
    }
}

fn read_file(file: &Path) -> Result<Vec<DeclaredResource>, CliError> {
    let file_name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| CliError::Usage(format!("{file_name}: cannot be read: {error}")))?;
    parse_resources(&text).map_err(|mistakes| CliError::InvalidFile {
        file: file_name,
        mistakes,
    })
}
