//! Settings and faults of an engine.

use std::time::Duration;

use jackdawwick::ids::{LayerIndex, ModelId, VersionId};
use jackdawwick::target::wire::{EngineRole, LoadedRange};
use serde::{Deserialize, Serialize};

/// Whether an engine checks fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FencingMode {
    /// Refuses an order with a number below the highest one received.
    #[default]
    Checks,
    /// Executes every order.
    Ignores,
}

/// Behaviour of an engine without faults.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of the target.
    pub name: String,
    /// Number of layers of each model, of which this engine holds ranges.
    pub model_layers: LayerIndex,
    /// Ranges that are loaded at the start.
    pub loaded: Vec<LoadedRange>,
    /// Role at the start.
    pub role: EngineRole,
    /// Whether the fencing numbers of orders are checked.
    pub fencing: FencingMode,
    /// Steps that run at the same time.
    pub concurrency: usize,
    /// Steps that may wait; a further one is refused.
    pub max_waiting: usize,
    /// Time for which one decode step occupies its slot.
    pub step_time: Duration,
    /// Time that each prompt input outside the prefix cache adds to a prefill.
    pub prefill_time_per_token: Duration,
    /// Time to load the ranges of an order.
    pub load_time: Duration,
    /// Time between two refreshes of the load report.
    pub load_lag: Duration,
    /// Prompt prefixes that the prefix cache holds.
    pub cached_prefixes: usize,
    /// Inputs per chunk of the prefix cache.
    pub chunk_inputs: usize,
    /// Delay after which a cache event becomes visible.
    pub cache_event_delay: Duration,
    /// If set, every k-th cache event is dropped.
    pub drop_cache_event_every: Option<u64>,
    /// Maximum number of entries in the record; with zero nothing is recorded.
    pub record_cap: usize,
}

impl EngineSettings {
    /// Creates settings of an engine that holds layers `first_layer..=last_layer` and
    /// takes no time.
    pub fn new(
        model: &str,
        version: &str,
        model_layers: LayerIndex,
        first_layer: LayerIndex,
        last_layer: LayerIndex,
    ) -> Self {
        let range = LoadedRange {
            model: ModelId::from(model),
            version: VersionId::from(version),
            first_layer,
            last_layer,
            adapters: Vec::new(),
        };
        Self {
            name: format!("engine-{first_layer}-{last_layer}"),
            model_layers,
            loaded: vec![range],
            ..Self::default()
        }
    }
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            model_layers: 1,
            loaded: Vec::new(),
            role: EngineRole::Mixed,
            fencing: FencingMode::Checks,
            concurrency: 16,
            max_waiting: 1_024,
            step_time: Duration::ZERO,
            prefill_time_per_token: Duration::ZERO,
            load_time: Duration::ZERO,
            load_lag: Duration::from_millis(100),
            cached_prefixes: 256,
            chunk_inputs: 16,
            cache_event_delay: Duration::ZERO,
            drop_cache_event_every: None,
            record_cap: 1_000_000,
        }
    }
}

/// Faults of an engine. Counters are decremented each time the fault occurs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Connections are refused; only the handle can undo this.
    pub dead: bool,
    /// Calls are accepted, but make no progress until this is reset.
    pub frozen: bool,
    /// New sessions are refused.
    pub leaving: bool,
    /// The next steps run, then the connection is closed without a response.
    pub lose_answers: u32,
    /// The next steps have no effect, and the connection is closed.
    pub lose_steps: u32,
    /// The next steps are refused as overload, without effect.
    pub refuse_steps: u32,
    /// The next steps run, but return the response of another session.
    pub cross_answers: u32,
    /// The next steps run, but return the previous response of their session.
    pub repeat_answers: u32,
    /// Layer that is skipped although it is in the range.
    pub skip_layer: Option<LayerIndex>,
    /// Layer that is run twice.
    pub double_layer: Option<LayerIndex>,
    /// Factor on the time of each step.
    pub slow_factor: f64,
    /// Delay of each response, in milliseconds.
    pub link_delay_ms: u64,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            dead: false,
            frozen: false,
            leaving: false,
            lose_answers: 0,
            lose_steps: 0,
            refuse_steps: 0,
            cross_answers: 0,
            repeat_answers: 0,
            skip_layer: None,
            double_layer: None,
            slow_factor: 1.0,
            link_delay_ms: 0,
        }
    }
}
