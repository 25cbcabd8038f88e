//! Models and the versions of them that are offered.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{LayerIndex, VersionId};

/// A model: the versions that exist and the one offered to new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version that a new request gets.
    pub offered: VersionId,
    /// Every version that a pipeline may serve.
    pub versions: Vec<VersionSpec>,
}

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Name of the version.
    pub name: VersionId,
    /// Number of layers, at least one.
    pub layers: LayerIndex,
    /// Adapters that engines load beside the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
}

impl ModelSpec {
    /// Finds a version by name.
    pub fn version(&self, name: &str) -> Option<&VersionSpec> {
        self.versions.iter().find(|version| &*version.name == name)
    }
}
