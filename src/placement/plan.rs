//! The plan of one availability zone.

use std::time::Duration;

use crate::fleet::LayerRange;
use crate::ids::TargetId;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placement::{adjust, initial, zone_estimate};

/// An engine as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Id of this start of the engine.
    pub id: TargetId,
    /// Its kind of accelerator, which limits what it can hold.
    pub kind: AcceleratorKind,
    /// Layers that it holds or was ordered to hold.
    pub layers: Option<LayerRange>,
}

/// The layers that an engine should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRange {
    /// The engine.
    pub id: TargetId,
    /// The layers.
    pub layers: LayerRange,
}

/// Returns the ranges to order for the engines of one availability zone; engines whose
/// range stays do not appear.
///
/// Engines that hold layers change them only to cover a layer without a holder, or if the
/// score of the zone rises clearly: a load takes seconds and bandwidth of the weights
/// store.
///
/// `uncovered_for` is the time for which the zone has had uncovered layers.
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

/// Returns whether some layer of a zone has no holder, or too little capacity to be
/// useful.
pub fn has_uncovered_layers(model: &EngineModel, engines: &[EngineView]) -> bool {
    zone_estimate::uncovered_count(model, engines) > 0
}
