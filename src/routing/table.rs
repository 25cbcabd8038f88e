//! The table from which routes are planned.

use std::collections::BTreeMap;

use crate::collections::{FastMap, FastSet};
use crate::ids::{ModelId, PipelineId, TargetId, VersionId};
use crate::resources::StageSpec;

use super::RouteSettings;
use super::entry::TargetEntry;
use super::load::LoadSums;

/// The declared pipelines and what this host knows about their targets.
///
/// The size of the table is bounded by the declared resources.
#[derive(Debug, Clone)]
pub struct RouteTable {
    pub(super) settings: RouteSettings,
    pub(super) models: BTreeMap<ModelId, ModelRoutes>,
    pub(super) targets: FastMap<TargetId, TargetEntry>,
    pub(super) leaving: FastSet<TargetId>,
    pub(super) load_sums: LoadSums,
    /// Runs started so far, the counter of the round-robin policy.
    pub(super) started: u64,
}

/// The pipelines of one model.
#[derive(Debug, Clone)]
pub(super) struct ModelRoutes {
    /// Version of new runs.
    pub(super) offered: VersionId,
    /// Pipelines by the version that they serve.
    pub(super) versions: BTreeMap<VersionId, Vec<DeclaredPipeline>>,
}

/// A pipeline, as declared.
#[derive(Debug, Clone)]
pub(super) struct DeclaredPipeline {
    pub(super) id: PipelineId,
    pub(super) stages: Vec<StageSpec>,
    /// Declared tokens per second of the slowest stage.
    pub(super) rate: f64,
}

impl RouteTable {
    /// Returns a table without pipelines.
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            models: BTreeMap::new(),
            targets: FastMap::default(),
            leaving: FastSet::default(),
            load_sums: LoadSums::default(),
            started: 0,
        }
    }
}
