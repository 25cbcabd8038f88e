//! Engines in memory, and the expected tokens, computed without the engines.

use std::collections::{BTreeMap, BTreeSet};

use jackdawwick::ids::{StageIndex, TokenValue};
use jackdawwick::run::PlannedStage;
use jackdawwick::target::wire::{StepRequest, StepResponse, TargetRefusal, TargetRefusalKind};

pub(crate) const LAYERS_PER_STAGE: u32 = 2;
const VOCABULARY: u64 = 1000;

fn mix(a: u64, b: u64) -> u64 {
    let mixed = (a ^ b.rotate_left(23)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Runs one position through the layers; each layer mixes it into its KV state.
fn run_layers(first_layer: u32, kv: &mut [u64], input: u64) -> u64 {
    let layers = kv.iter_mut().zip(first_layer..);
    layers.fold(input, |value, (kv, layer)| {
        *kv = mix(*kv ^ u64::from(layer + 1), value);
        mix(*kv, value)
    })
}

/// Inputs of every stage and the generated tokens, computed from scratch.
pub(crate) struct ReferenceTrace {
    pub(crate) inputs: Vec<Vec<u64>>,
    pub(crate) tokens: Vec<TokenValue>,
}

impl ReferenceTrace {
    pub(crate) fn generate(stages: usize, prompt: &[TokenValue], count: usize) -> Self {
        let mut kv = vec![vec![0; LAYERS_PER_STAGE as usize]; stages];
        let mut inputs = vec![Vec::new(); stages];
        let mut sequence = prompt.to_vec();
        for position in 0.. {
            if sequence.len() == prompt.len() + count {
                break;
            }
            let mut value = sequence[position];
            for stage in 0..stages {
                inputs[stage].push(value);
                let first_layer = stage as u32 * LAYERS_PER_STAGE;
                value = run_layers(first_layer, &mut kv[stage], value);
            }
            if position + 1 == sequence.len() {
                sequence.push(value % VOCABULARY);
            }
        }
        let tokens = sequence.split_off(prompt.len());
        Self { inputs, tokens }
    }
}

pub(crate) fn planned_stage(stage: StageIndex) -> PlannedStage {
    let first_layer = stage as u32 * LAYERS_PER_STAGE;
    PlannedStage {
        target: format!("first-{stage}").into(),
        first_layer,
        last_layer: first_layer + LAYERS_PER_STAGE - 1,
    }
}

#[derive(Clone, Default)]
pub(crate) struct ModelSession {
    kv: Vec<u64>,
    pub(crate) inputs: Vec<u64>,
    outputs: Vec<u64>,
}

/// What a frozen engine executes once it wakes.
pub(crate) enum QueuedOrder {
    Step(StepRequest),
    Cancel(String),
}

#[derive(Default)]
pub(crate) struct ModelEngine {
    pub(crate) sessions: BTreeMap<String, ModelSession>,
    pub(crate) is_dead: bool,
    /// Number of steps of the run until the engine wakes; zero if it is awake.
    pub(crate) frozen_for: u32,
    pub(crate) queued: Vec<QueuedOrder>,
    /// Positions run, and those among them that a prefix cache would not have saved.
    pub(crate) computed: u64,
    pub(crate) computed_uncached: u64,
    cached: BTreeSet<(usize, u64)>,
}

impl ModelEngine {
    /// Returns recorded outputs, runs the positions that follow them, and refuses a gap.
    pub(crate) fn step(
        &mut self,
        order: &StepRequest,
        stages: usize,
    ) -> Result<(StepResponse, Vec<u64>), TargetRefusal> {
        let name = order.label.session();
        let start = order.position as usize;
        let known = self.sessions.get(&name).map_or(0, |s| s.outputs.len());
        if start > known {
            return Err(TargetRefusal {
                refused: TargetRefusalKind::UnknownPosition,
                next_position: Some(known as u64),
            });
        }
        let session = self.sessions.entry(name).or_default();
        session.kv.resize(LAYERS_PER_STAGE as usize, 0);
        let is_last = order.label.stage + 1 == stages;
        for (position, input) in (start..).zip(&order.inputs).skip(known - start) {
            let value = run_layers(order.first_layer, &mut session.kv, *input);
            session.inputs.push(*input);
            session
                .outputs
                .push(if is_last { value % VOCABULARY } else { value });
            self.computed += 1;
            self.computed_uncached += u64::from(self.cached.insert((position, session.kv[0])));
        }
        let end = start + order.inputs.len();
        let response = StepResponse {
            label: order.label.clone(),
            position: order.position,
            outputs: session.outputs[start..end].to_vec(),
        };
        Ok((response, session.inputs[..end].to_vec()))
    }
}
