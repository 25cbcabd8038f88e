//! Settings and faults of an engine.

use std::time::Duration;

use jackdawwick::ids::{LayerIndex, ModelId, VersionId};
use jackdawwick::target::wire::{EngineRole, LoadedRange};
use serde::{Deserialize, Serialize};

/// Whether an engine heeds fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FencingMode {
    /// Refuses an order with an older number than the highest seen.
    #[default]
    Checks,
    /// Carries out any order.
    Ignores,
}

/// How an engine behaves when nothing fails.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Name of the target.
    pub name: String,
    /// Number of layers of each model, of which this engine holds ranges.
    pub model_layers: LayerIndex,
    /// Ranges held from the start.
    pub loaded: Vec<LoadedRange>,
    /// Role at the start.
    pub role: EngineRole,
    /// Whether orders' fencing numbers are checked.
    pub fencing: FencingMode,
    /// Steps that run at the same time.
    pub concurrency: usize,
    /// Steps that may wait; one more is refused.
    pub max_waiting: usize,
    /// Time that one decode step holds its slot.
    pub step_time: Duration,
    /// Time that each prompt input outside the prefix cache adds to a prefill.
    pub prefill_time_per_token: Duration,
    /// Time to load the ranges of an order.
    pub load_time: Duration,
    /// Time between two refreshes of the load report.
    pub load_lag: Duration,
    /// Prompt prefixes that the prefix cache holds.
    pub cached_prefixes: usize,
    /// Inputs a chunk of the prefix cache.
    pub chunk_inputs: usize,
    /// Time after which a cache event can be read.
    pub cache_event_delay: Duration,
    /// If set, every k-th cache event is never handed out.
    pub drop_cache_event_every: Option<u64>,
    /// Most entries kept in the record; zero records nothing.
    pub record_cap: usize,
}

impl EngineSettings {
    /// A fast engine that holds layers `first_layer..=last_layer`.
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

/// Faults of an engine. Counters count down as the fault strikes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Connections are refused; only the handle can undo this.
    pub dead: bool,
    /// Calls are accepted, but nothing goes on until this ends.
    pub frozen: bool,
    /// New sessions are refused.
    pub leaving: bool,
    /// The next steps run, then the connection is closed.
    pub lose_answers: u32,
    /// The next steps have no effect, and the connection is closed.
    pub lose_steps: u32,
    /// The next steps are refused as overload, without effect.
    pub refuse_steps: u32,
    /// The next steps run, but answer with another session's answer.
    pub cross_answers: u32,
    /// The next steps run, but answer with their session's previous answer.
    pub repeat_answers: u32,
    /// Layer that is left out, although it is in the range.
    pub skip_layer: Option<LayerIndex>,
    /// Layer that is run twice.
    pub double_layer: Option<LayerIndex>,
    /// Multiplies the time of each step.
    pub slow_factor: f64,
    /// Delay of each answer, in milliseconds.
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
