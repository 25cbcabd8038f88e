//! Read access to the state.

use std::sync::Arc;

use super::judgement::{ApplyError, RecordOutcome};
use super::table::DeclarationTable;
use crate::ids::{LogOffset, OperatorId, OrganisationId, PipelineId, TargetId, VersionId};
use crate::records::{DeclaredResource, StateHash};
use crate::resources::{
    ModelSpec, OrganisationSpec, PipelineSpec, ResourceKey, ResourceKind, ResourceSpec,
    ServiceSpec, TargetSpec,
};

/// A declared resource with its key.
#[derive(Debug, Clone, Copy)]
pub struct DeclaredEntry<'a> {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: &'a Arc<str>,
    /// The resource as declared.
    pub resource: &'a DeclaredResource,
}

impl DeclaredEntry<'_> {
    /// Returns the key of kind and name.
    pub fn key(&self) -> ResourceKey {
        ResourceKey::new(self.kind, self.name.clone())
    }
}

/// A declared target.
#[derive(Debug, Clone, Copy)]
pub struct TargetEntry<'a> {
    /// Its name.
    pub name: &'a TargetId,
    /// The declaration.
    pub spec: &'a TargetSpec,
    /// Offset of the change that declared it.
    pub version: LogOffset,
}

/// A declared organisation.
#[derive(Debug, Clone, Copy)]
pub struct OrganisationEntry<'a> {
    /// Its name.
    pub name: &'a OrganisationId,
    /// The declaration.
    pub spec: &'a OrganisationSpec,
}

/// The latest accepted change of a resource, including deletions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatestChange<'a> {
    /// Offset of the change; the next change must be based on it.
    pub version: LogOffset,
    /// Operator who made the change.
    pub operator: &'a OperatorId,
}

impl DeclarationTable {
    /// Returns the offset after the last record applied.
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Returns the hash of the state at [`Self::applied`].
    pub fn hash(&self) -> StateHash {
        self.sum.finish(self.applied, self.rules)
    }

    /// Returns the error that stopped the table, if any; the host is then not ready.
    pub fn stopped(&self) -> Option<&ApplyError> {
        self.stopped.as_ref()
    }

    /// Returns the offset of the state in the newest checkpoint in the log that matched
    /// this table.
    pub fn newest_checkpoint(&self) -> Option<LogOffset> {
        self.newest_checkpoint
    }

    /// Returns offset and judgement of the first appearance of a recent record; `None` if
    /// no record with this id was applied or if it is older than the id window.
    pub fn judgement_of(&self, id: &str) -> Option<&RecordOutcome> {
        self.recent.outcome(id)
    }

    /// Returns the latest change of a resource, including a deletion. A new change must
    /// be based on it.
    pub fn latest_change(&self, key: &ResourceKey) -> Option<LatestChange<'_>> {
        if let Some(resource) = self.get(key) {
            return Some(LatestChange {
                version: resource.version,
                operator: &resource.operator,
            });
        }
        let tombstone = self.tombstones.get(key)?;
        Some(LatestChange {
            version: tombstone.version,
            operator: &tombstone.operator,
        })
    }

    /// Returns a declared resource.
    pub fn get(&self, key: &ResourceKey) -> Option<&DeclaredResource> {
        self.find(key.kind, &key.name)
    }

    /// Returns all declared resources of a kind, sorted by name.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = DeclaredEntry<'_>> {
        let named = self.resources.get(&kind).into_iter().flatten();
        named.map(move |(name, resource)| DeclaredEntry {
            kind,
            name,
            resource,
        })
    }

    /// Returns a declared model.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        match &self.find(ResourceKind::Model, name)?.spec {
            ResourceSpec::Model(model) => Some(model),
            _ => None,
        }
    }

    /// Returns the version that new requests for a model use.
    pub fn offered_version(&self, model: &str) -> Option<&VersionId> {
        self.model(model).map(|model| &model.offered)
    }

    /// Returns a declared pipeline.
    pub fn pipeline(&self, name: &str) -> Option<&PipelineSpec> {
        match &self.find(ResourceKind::Pipeline, name)?.spec {
            ResourceSpec::Pipeline(pipeline) => Some(pipeline),
            _ => None,
        }
    }

    /// Returns the names of the pipelines that serve a version of a model, sorted.
    pub fn pipelines_of(&self, model: &str, version: &str) -> &[PipelineId] {
        self.index.pipelines(model, version)
    }

    /// Returns a declared service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        match &self.find(ResourceKind::Service, name)?.spec {
            ResourceSpec::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns a declared organisation.
    pub fn organisation(&self, name: &str) -> Option<&OrganisationSpec> {
        match &self.find(ResourceKind::Organisation, name)?.spec {
            ResourceSpec::Organisation(organisation) => Some(organisation),
            _ => None,
        }
    }

    /// Returns the organisation with a token digest. The caller compares the digest again
    /// in constant time.
    pub fn organisation_by_digest(&self, digest: &str) -> Option<OrganisationEntry<'_>> {
        let name = self.index.organisation(digest)?;
        let spec = self.organisation(name)?;
        Some(OrganisationEntry { name, spec })
    }

    /// Returns a declared target.
    pub fn target(&self, name: &str) -> Option<&TargetSpec> {
        match &self.find(ResourceKind::Target, name)?.spec {
            ResourceSpec::Target(target) => Some(target),
            _ => None,
        }
    }

    /// Returns all declared targets, sorted by name.
    pub fn targets(&self) -> impl Iterator<Item = TargetEntry<'_>> {
        self.list(ResourceKind::Target)
            .filter_map(|entry| match &entry.resource.spec {
                ResourceSpec::Target(spec) => Some(TargetEntry {
                    name: entry.name,
                    spec,
                    version: entry.resource.version,
                }),
                _ => None,
            })
    }

    fn find(&self, kind: ResourceKind, name: &str) -> Option<&DeclaredResource> {
        let named = self.resources.get(&kind)?;
        named.get(name).map(Arc::as_ref)
    }
}
