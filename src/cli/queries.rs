//! The remaining commands: `get`, `delete`, `explain` and `status`.

use std::io::Write;

use super::CliError;
use super::session::OperatorSession;
use super::view::{StepOutcome, StepReport};
use crate::api::wire::{RefusalBody, ResourceView};
use crate::reason::RefusalReason;
use crate::resources::{ResourceKey, ResourceKind};
use crate::verdict::RunVerdict;

impl<W> OperatorSession<'_, W>
where
    W: Write,
{
    /// Shows all resources, those of one kind, or one resource.
    pub(super) async fn get(
        &mut self,
        kind: Option<ResourceKind>,
        name: Option<String>,
    ) -> Result<(), CliError> {
        match (kind, name) {
            (Some(kind), Some(name)) => {
                let view = self.find(&ResourceKey::new(kind, name)).await?;
                self.presenter.resource(&view)
            }
            (kind, _) => {
                let mut views = self.client.list(kind).await?;
                views.sort_by(|left, right| left.key.cmp(&right.key));
                self.presenter.resources(&views)
            }
        }
    }

    /// Removes the current version of a resource.
    pub(super) async fn delete(&mut self, key: ResourceKey) -> Result<(), CliError> {
        let view = self.find(&key).await?;
        let accepted = self.client.delete(&key, view.version).await?;
        self.presenter.steps(&[StepReport {
            resource: key,
            outcome: StepOutcome::Deleted,
            version: Some(accepted.version),
            fields: Vec::new(),
        }])
    }

    /// Shows the decisions about a request.
    pub(super) async fn explain(&mut self, request: &str) -> Result<(), CliError> {
        let nothing_recorded = || CliError::NothingRecorded {
            request: request.to_owned(),
        };
        match self.client.explain(request).await {
            Ok(view) if view.entries.is_empty() => Err(nothing_recorded()),
            Ok(view) => self.presenter.explanation(&view),
            Err(CliError::Refused(refusal)) if refusal.reason == RefusalReason::Unknown => {
                Err(nothing_recorded())
            }
            Err(error) => Err(error),
        }
    }

    /// Shows the state of the host and its view of the targets.
    pub(super) async fn status(&mut self) -> Result<(), CliError> {
        let view = self.client.status().await?;
        self.presenter.status(&view)
    }

    async fn find(&self, key: &ResourceKey) -> Result<ResourceView, CliError> {
        match self.client.find(key).await? {
            Some(view) => Ok(view),
            None => Err(CliError::Refused(Box::new(RefusalBody {
                verdict: RunVerdict::NotRun,
                reason: RefusalReason::Unknown,
                message: format!("there is no {key}"),
                retry_after_ms: None,
                request: None,
            }))),
        }
    }
}
