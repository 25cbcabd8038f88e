//! Layer plans that are compared.

use std::time::Duration;

use jackdawwick::fleet::LayerRange;
use jackdawwick::ingress::{AcceleratorKind, EngineModel};
use jackdawwick::placement::{EngineView, plan_zone};

use crate::trial::ZoneEngines;

/// Rule that assigns layers to the engines of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanKind {
    /// The planner of the daemon.
    Planned,
    /// The planner of the daemon without a limit of slots.
    PlannedByMemory,
    /// Equal ranges, repeated over all layers.
    EqualRanges,
    /// Complete copies over the engines in turn, with widths by memory.
    Copies,
}

impl PlanKind {
    /// All plans.
    pub const ALL: [Self; 4] = [
        Self::Planned,
        Self::PlannedByMemory,
        Self::EqualRanges,
        Self::Copies,
    ];

    /// Returns the name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::PlannedByMemory => "by memory",
            Self::EqualRanges => "equal ranges",
            Self::Copies => "copies",
        }
    }

    pub(super) fn ranges(
        self,
        model: &EngineModel,
        engines: &[AcceleratorKind],
    ) -> Vec<Option<LayerRange>> {
        match self {
            Self::Planned => planned(model, engines),
            Self::PlannedByMemory => {
                let model = EngineModel {
                    slots: u32::MAX,
                    ..model.clone()
                };
                planned(&model, engines)
            }
            Self::EqualRanges => equal_ranges(model, engines),
            Self::Copies => copies(model, engines),
        }
    }
}

/// Returns the ranges of a plan of one zone as text.
pub fn zone_ranges(model: &EngineModel, zone: &ZoneEngines, plan: PlanKind) -> String {
    let kinds = zone.kinds.iter();
    let kinds = kinds.flat_map(|(kind, count)| std::iter::repeat_n(kind.as_str(), *count));
    let kinds = kinds.collect::<Vec<_>>();
    let accelerators = kinds.iter().map(|kind| model.kinds[*kind]);
    let ranges = plan.ranges(model, &accelerators.collect::<Vec<_>>());
    let texts = kinds.iter().zip(ranges).map(|(kind, range)| match range {
        Some(range) => format!("{kind}[{},{})", range.from, range.to),
        None => format!("{kind} empty"),
    });
    texts.collect::<Vec<_>>().join(" ")
}

fn planned(model: &EngineModel, engines: &[AcceleratorKind]) -> Vec<Option<LayerRange>> {
    let id = |index: usize| format!("i-{index:04}").into();
    let views = engines.iter().enumerate().map(|(index, kind)| EngineView {
        id: id(index),
        kind: *kind,
        layers: None,
    });
    let planned = plan_zone(model, &views.collect::<Vec<_>>(), Duration::ZERO);
    let range = |index: usize| planned.iter().find(|range| range.id == id(index));
    let ranges = (0..engines.len()).map(|index| range(index).map(|range| range.layers));
    ranges.collect()
}

fn equal_ranges(model: &EngineModel, engines: &[AcceleratorKind]) -> Vec<Option<LayerRange>> {
    let least = engines.iter().map(|kind| model.max_layers(*kind)).min();
    let width = (least.unwrap_or(1) * 3 / 4).max(1);
    let mut from = 0;
    let ranges = engines.iter().map(|_| {
        let to = (from + width).min(model.layers);
        let range = LayerRange { from, to };
        from = if to == model.layers { 0 } else { to };
        Some(range)
    });
    ranges.collect()
}

fn copies(model: &EngineModel, engines: &[AcceleratorKind]) -> Vec<Option<LayerRange>> {
    let weights_mb = model.layer_mb * f64::from(model.layers);
    let memory_mb = engines.iter().map(|kind| kind.memory_mb).sum::<f64>();
    let count = ((memory_mb * 0.7 / weights_mb) as usize).max(1);
    let mut ranges = vec![None; engines.len()];
    for copy in 0..count {
        let members = (copy..engines.len()).step_by(count).collect::<Vec<_>>();
        let memory = members
            .iter()
            .map(|index| engines[*index].memory_mb)
            .sum::<f64>();
        let mut reached = 0.0;
        for index in members {
            let from = (reached * f64::from(model.layers)).round() as u32;
            reached += engines[index].memory_mb / memory;
            let to = (reached * f64::from(model.layers)).round() as u32;
            let to = to.min(from + model.max_layers(engines[index]));
            ranges[index] = Some(LayerRange { from, to });
        }
    }
    ranges
}
