//! Models and their versions.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::{LayerIndex, VersionId};

/// A model: its versions and the one offered to new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version used for new requests.
    pub offered: VersionId,
    /// All versions that a pipeline may serve.
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
    /// Adapters that engines load in addition to the weights.
    #[serde(default)]
    pub adapters: Vec<String>,
}

impl ModelSpec {
    /// Returns a version by name.
    pub fn version(&self, name: &str) -> Option<&VersionSpec> {
        self.versions.iter().find(|version| &*version.name == name)
    }
}
