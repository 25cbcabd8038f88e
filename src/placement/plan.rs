//! The plan of one availability zone.

use std::time::Duration;

use crate::fleet::LayerRange;
use crate::ids::TargetId;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placement::{adjust, initial, zone_estimate};

/// An engine as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Id of this life of the engine.
    pub id: TargetId,
    /// What it can hold.
    pub kind: AcceleratorKind,
    /// What it holds, or was ordered to hold.
    pub layers: Option<LayerRange>,
}

/// What an engine should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRange {
    /// The engine.
    pub id: TargetId,
    /// The layers.
    pub layers: LayerRange,
}

/// Ranges to order, for the engines of one availability zone; engines that are
/// to stay as they are do not appear.
///
/// Engines that hold layers already change them only to close a hole, or where
/// the zone then carries clearly more: a load takes seconds and its share of the
/// weights store.
///
/// `uncovered_for` says for how long the zone has lacked layers.
pub fn plan_zone(
    model: &EngineModel,
    engines: &[EngineView],
    uncovered_for: Duration,
) -> Vec<PlannedRange> {
    let mut engines = engines.to_vec();
    engines.sort_by(|left, right| left.id.cmp(&right.id));
    match engines.iter().any(|engine| engine.layers.is_some()) {
        false => initial::plan_initial(model, &engines),
        true => adjust::plan_adjustments(model, &engines, uncovered_for),
    }
}

/// Whether a zone lacks layers, or has no useful room for some.
pub fn has_uncovered_layers(model: &EngineModel, engines: &[EngineView]) -> bool {
    zone_estimate::uncovered_count(model, engines) > 0
}
