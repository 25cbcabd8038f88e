//! Engines of a trial, in the simulation and as a host sees them.

use jackdawwick::fleet::{FleetTable, LayerRange, TargetEntry};
use jackdawwick::ids::TargetId;

use crate::pipeline::{EngineIndex, PathPart, PipelineSimulation};
use crate::trial::PlanKind;

/// Number of engines of each kind in a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneEngines {
    /// The zone.
    pub zone: String,
    /// Kinds and counts.
    pub kinds: Vec<(String, usize)>,
}

/// Service name of the engines in the tables.
pub(super) const SERVICE: &str = "model";

/// Simulated engines with their layers, and the fleet table of the hosts.
pub(super) struct TrialFleet {
    pub(super) simulation: PipelineSimulation,
    pub(super) table: FleetTable,
}

impl TrialFleet {
    pub(super) fn open(
        mut simulation: PipelineSimulation,
        zones: &[ZoneEngines],
        plan: PlanKind,
    ) -> Self {
        let mut table = FleetTable::default();
        for zone in zones {
            let kinds = zone.kinds.iter();
            let kinds = kinds.flat_map(|(kind, count)| std::iter::repeat_n(kind.as_str(), *count));
            let kinds = kinds.collect::<Vec<_>>();
            let engines = kinds
                .iter()
                .map(|kind| simulation.add_engine(&zone.zone, kind));
            let engines = engines.collect::<Vec<_>>();
            let accelerators = kinds
                .iter()
                .map(|kind| simulation.settings().model.kinds[*kind]);
            let accelerators = accelerators.collect::<Vec<_>>();
            let ranges = plan.ranges(&simulation.settings().model, &accelerators);
            for ((engine, kind), layers) in engines.into_iter().zip(kinds).zip(ranges) {
                if let Some(layers) = layers {
                    simulation.preload(engine, layers);
                }
                table.observe_entry(entry(engine, &zone.zone, kind, layers));
            }
        }
        Self { simulation, table }
    }
}

pub(super) fn id_of(engine: EngineIndex) -> TargetId {
    format!("i-{engine:04}").into()
}

/// Returns the engine with an id of [`id_of`].
pub(super) fn engine_of(id: &str) -> EngineIndex {
    id.trim_start_matches("i-").parse().unwrap_or(0)
}

pub(super) fn part(id: &str, layers: LayerRange) -> PathPart {
    PathPart {
        engine: engine_of(id),
        layers,
    }
}

fn entry(engine: EngineIndex, zone: &str, kind: &str, layers: Option<LayerRange>) -> TargetEntry {
    let port = u16::try_from(engine).unwrap_or(u16::MAX);
    TargetEntry {
        id: id_of(engine),
        started_ms: None,
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
        draining: false,
        kind: Some(kind.into()),
        layers,
    }
}
