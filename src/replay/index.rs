//! Indexes for the lookups on the request path.

use crate::collections::FastMap;
use crate::ids::{ModelId, OrganisationId, PipelineId, VersionId};
use crate::resources::ResourceSpec;

/// Organisations by token digest and pipelines by version served.
#[derive(Debug, Clone, Default)]
pub(super) struct ResourceIndex {
    organisations: FastMap<String, OrganisationId>,
    pipelines: FastMap<ModelId, FastMap<VersionId, Vec<PipelineId>>>,
}

impl ResourceIndex {
    pub(super) fn organisation(&self, digest: &str) -> Option<&OrganisationId> {
        self.organisations.get(digest)
    }

    /// Returns the names of the pipelines that serve a version, sorted.
    pub(super) fn pipelines(&self, model: &str, version: &str) -> &[PipelineId] {
        self.pipelines
            .get(model)
            .and_then(|versions| versions.get(version))
            .map_or(&[], Vec::as_slice)
    }

    pub(super) fn insert(&mut self, name: &std::sync::Arc<str>, spec: &ResourceSpec) {
        match spec {
            ResourceSpec::Organisation(organisation) => {
                let digest = organisation.token_digest.clone();
                self.organisations.insert(digest, name.clone());
            }
            ResourceSpec::Pipeline(pipeline) => {
                let versions = self.pipelines.entry(pipeline.model.clone()).or_default();
                let names = versions.entry(pipeline.version.clone()).or_default();
                let position = names.partition_point(|other| other < name);
                names.insert(position, name.clone());
            }
            _ => {}
        }
    }

    pub(super) fn remove(&mut self, name: &str, spec: &ResourceSpec) {
        match spec {
            ResourceSpec::Organisation(organisation) => {
                self.organisations.remove(&organisation.token_digest);
            }
            ResourceSpec::Pipeline(pipeline) => {
                let Some(versions) = self.pipelines.get_mut(&pipeline.model) else {
                    return;
                };
                if let Some(names) = versions.get_mut(&pipeline.version) {
                    names.retain(|other| &**other != name);
                }
                versions.retain(|_, names| !names.is_empty());
                if versions.is_empty() {
                    self.pipelines.remove(&pipeline.model);
                }
            }
            _ => {}
        }
    }
}
