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

/// Why a zone is planned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanReason {
    /// No engine holds layers.
    FirstPlan,
    /// Layers have no holder, or one with too little capacity.
    UncoveredLayers,
    /// Engines without layers can be placed.
    EmptyEngines,
    /// The engines or their layers changed.
    ChangedEngines,
}

impl PlanReason {
    /// Returns why a zone with these engines is planned; `uncovered_for` is the time for
    /// which it has had uncovered layers.
    pub fn of(engines: &[EngineView], uncovered_for: Duration) -> Self {
        match engines.iter().all(|engine| engine.layers.is_none()) {
            true => Self::FirstPlan,
            false if !uncovered_for.is_zero() => Self::UncoveredLayers,
            false if engines.iter().any(|engine| engine.layers.is_none()) => Self::EmptyEngines,
            false => Self::ChangedEngines,
        }
    }

    /// Returns the name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstPlan => "first_plan",
            Self::UncoveredLayers => "uncovered_layers",
            Self::EmptyEngines => "empty_engines",
            Self::ChangedEngines => "changed_engines",
        }
    }
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
