//! Hardware bound for the offered mix.

use super::TrafficMix;
use crate::fleet::{EnginePlan, FleetLayout, PREFILL_PER_STEP};

/// The bound that the stage with the least capacity sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HardwareBound {
    /// Complete responses per second.
    pub requests_per_second: f64,
    /// Tokens delivered to callers per second.
    pub tokens_per_second: f64,
}

impl HardwareBound {
    /// Computes the bound from the declared rates of the engines, added up by stage.
    pub fn new(layout: &FleetLayout, mix: &TrafficMix) -> Self {
        let stage_rates = layout.stages.iter().map(|stage| {
            let engines = stage.engines.iter();
            engines.map(|engine| engine_rate(engine, mix)).sum::<f64>()
        });
        let requests_per_second = stage_rates.fold(f64::INFINITY, f64::min);
        Self {
            requests_per_second,
            tokens_per_second: requests_per_second * mix.max_tokens as f64,
        }
    }
}

/// Returns the requests per second that one engine can serve. The prompt produces the
/// first token, and each further token takes one step.
fn engine_rate(engine: &EnginePlan, mix: &TrafficMix) -> f64 {
    let prefill_steps = mix.prompt_tokens as f64 / f64::from(PREFILL_PER_STEP);
    let decode_steps = mix.max_tokens as f64 - 1.0;
    engine.tokens_per_second() / (prefill_steps + decode_steps)
}
