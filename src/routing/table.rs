//! The table that plans are made from.

use std::collections::BTreeMap;

use crate::collections::{FastMap, FastSet};
use crate::ids::{ModelId, PipelineId, TargetId, VersionId};
use crate::resources::StageSpec;

use super::RouteSettings;
use super::entry::TargetEntry;
use super::load::LoadSums;

/// The declared pipelines and what this host knows about their targets.
///
/// Everything that the table holds is bounded by what is declared.
#[derive(Debug, Clone)]
pub struct RouteTable {
    pub(super) settings: RouteSettings,
    pub(super) models: BTreeMap<ModelId, ModelRoutes>,
    pub(super) targets: FastMap<TargetId, TargetEntry>,
    pub(super) leaving: FastSet<TargetId>,
    pub(super) load_sums: LoadSums,
    /// Runs started so far, by which round robin counts.
    pub(super) started: u64,
}

/// The pipelines of one model.
#[derive(Debug, Clone)]
pub(super) struct ModelRoutes {
    /// Version that a new run gets.
    pub(super) offered: VersionId,
    /// Pipelines by the version that they serve.
    pub(super) versions: BTreeMap<VersionId, Vec<DeclaredPipeline>>,
}

/// A pipeline, as declared.
#[derive(Debug, Clone)]
pub(super) struct DeclaredPipeline {
    pub(super) id: PipelineId,
    pub(super) stages: Vec<StageSpec>,
    /// Declared tokens a second of the stage with the least.
    pub(super) rate: f64,
}

impl RouteTable {
    /// A table without pipelines.
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
