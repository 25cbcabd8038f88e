//! Fleets of engines that trials play.

use jackdawwick::ingress::{AcceleratorKind, EngineModel};

use crate::pipeline::SimulationSettings;
use crate::trial::ZoneEngines;

/// A fleet of engines with the demand that it gets.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Parameters of the engines.
    pub simulation: SimulationSettings,
    /// Engines of each zone.
    pub zones: Vec<ZoneEngines>,
    /// Requests per second over all zones.
    pub per_s: f64,
}

impl FleetSettings {
    /// Names that [`Self::named`] knows.
    pub const NAMES: [&str; 3] = ["default", "small-copies", "slow-kinds"];

    /// Returns a fleet by name.
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "default" => Some(Self::default_kinds()),
            "small-copies" => Some(Self::small_copies()),
            "slow-kinds" => Some(Self::slow_kinds()),
            _ => None,
        }
    }

    fn default_kinds() -> Self {
        Self {
            simulation: SimulationSettings::default(),
            zones: vec![
                zone("zone-0", &[("a100", 1), ("l40s", 6), ("l4", 5)]),
                zone("zone-1", &[("a100", 2), ("l40s", 2), ("l4", 5)]),
                zone("zone-2", &[("a100", 1), ("l40s", 3), ("l4", 8)]),
            ],
            per_s: 90.0,
        }
    }

    /// Returns a fleet in which requests need little memory, and the few large engines are
    /// the only first engines of a plan by memory alone.
    fn small_copies() -> Self {
        let kinds = [
            ("a100", 72_000.0, 2.4, 3.2),
            ("v100", 14_400.0, 5.3, 7.9),
            ("l4", 21_600.0, 16.0, 8.2),
        ];
        let base = SimulationSettings::default();
        Self {
            simulation: with_model(EngineModel {
                kv_token_bytes: 492_000.0,
                per_request_ms: 0.003_82,
                per_context_k_ms: 0.005_12,
                read_per_s: 196_000.0,
                stride: 4,
                usual_answer: 209,
                kinds: kinds.iter().map(named_kind).collect(),
                ..base.model
            }),
            zones: vec![
                zone("zone-a", &[("a100", 3), ("v100", 14), ("l4", 16)]),
                zone("zone-b", &[("a100", 2), ("v100", 24), ("l4", 9)]),
                zone("zone-c", &[("a100", 4), ("v100", 10), ("l4", 11)]),
            ],
            per_s: 300.0,
        }
    }

    /// Returns a fleet of mostly slow engines with few fast ones.
    fn slow_kinds() -> Self {
        let kinds = [
            ("h100", 72_000.0, 1.4, 1.0),
            ("a100s", 36_000.0, 3.1, 3.2),
            ("l4", 21_600.0, 16.0, 8.2),
            ("t4", 14_400.0, 15.0, 15.0),
        ];
        let base = SimulationSettings::default();
        Self {
            simulation: with_model(EngineModel {
                kv_token_bytes: 393_000.0,
                step_ms: 0.85,
                per_request_ms: 0.002_55,
                per_context_k_ms: 0.003_41,
                read_per_s: 294_000.0,
                usual_prompt: 730,
                usual_answer: 180,
                kinds: kinds.iter().map(named_kind).collect(),
                ..base.model
            }),
            zones: vec![
                zone("north", &[("a100s", 4), ("l4", 11), ("t4", 18)]),
                zone(
                    "south",
                    &[("h100", 1), ("a100s", 2), ("l4", 13), ("t4", 17)],
                ),
                zone("east", &[("h100", 1), ("a100s", 2), ("l4", 20), ("t4", 9)]),
            ],
            per_s: 197.0,
        }
    }
}

fn with_model(model: EngineModel) -> SimulationSettings {
    SimulationSettings {
        model,
        ..SimulationSettings::default()
    }
}

fn named_kind(kind: &(&str, f64, f64, f64)) -> (Box<str>, AcceleratorKind) {
    let (name, memory_mb, pace, read_factor) = *kind;
    let kind = AcceleratorKind {
        memory_mb,
        pace,
        read_factor,
    };
    (name.into(), kind)
}

fn zone(name: &str, kinds: &[(&str, usize)]) -> ZoneEngines {
    let kinds = kinds
        .iter()
        .map(|(kind, count)| ((*kind).to_owned(), *count));
    ZoneEngines {
        zone: name.to_owned(),
        kinds: kinds.collect(),
    }
}
