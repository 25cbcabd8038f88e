//! One simulated engine.

use std::collections::VecDeque;
use std::time::Duration;

use jackdawwick::fleet::LayerRange;
use jackdawwick::ingress::{AcceleratorKind, EngineModel};

/// Index of an engine in its simulation.
pub type EngineIndex = usize;

#[derive(Debug, Clone)]
pub(super) struct SimEngine {
    pub(super) zone: String,
    pub(super) kind: AcceleratorKind,
    pub(super) layers: Option<LayerRange>,
    /// Layers that are being loaded, and the time at which loading ends.
    pub(super) loading: Option<(LayerRange, Duration)>,
    pub(super) alive: bool,
    /// Whether the engine refuses new requests.
    pub(super) draining: bool,
    /// Requests that are ready for the next pass.
    pub(super) ready: Vec<String>,
    /// Requests in the current pass, with the tokens that each reads.
    pub(super) pass: Option<Vec<(String, f64)>>,
    /// Requests that wait for memory.
    pub(super) parked: Vec<String>,
    /// Requests that wait for a slot, oldest first.
    pub(super) queued: VecDeque<String>,
    pub(super) used: f64,
    pub(super) orders: u64,
    /// Factor on the duration of passes, for a slow engine.
    pub(super) slow_factor: f64,
    /// Incremented at each crash: passes that were in progress before are void.
    pub(super) incarnation: u64,
}

impl SimEngine {
    pub(super) fn capacity(&self, model: &EngineModel) -> f64 {
        let held = self.layers.map_or(0, LayerRange::width);
        model.cache_capacity(self.kind, held)
    }

    pub(super) fn holds(&self, layers: LayerRange) -> bool {
        let held = self.layers.filter(|_| self.alive);
        held.is_some_and(|held| held.from <= layers.from && layers.to <= held.to)
    }
}
