//! Kinds and names of declared resources.

use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The kinds of resource that an operator can declare.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// A model and its versions.
    Model,
    /// Stages of targets that serve one version of a model.
    Pipeline,
    /// A plain service, not a model engine.
    Service,
    /// An organisation that buys capacity.
    Organisation,
    /// An engine or service process that carries work.
    Target,
}

impl ResourceKind {
    /// All kinds; a kind refers only to kinds before it.
    pub const ALL: [Self; 5] = [
        Self::Target,
        Self::Model,
        Self::Pipeline,
        Self::Service,
        Self::Organisation,
    ];

    /// Returns the name used in URLs, TOML and tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Pipeline => "pipeline",
            Self::Service => "service",
            Self::Organisation => "organisation",
            Self::Target => "target",
        }
    }
}

/// Kind and name: the key of a declared resource.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name, unique within the kind.
    pub name: Arc<str>,
}

impl ResourceKey {
    /// Creates a key.
    pub fn new(kind: ResourceKind, name: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind.name(), self.name)
    }
}
