//! What a plan can carry.

use crate::fleet::LayerRange;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placement::EngineView;

/// Time that a token step takes in all, in times of the engines' own work:
/// a request waits for the rest of the pass that an engine is in.
pub(super) const WAIT_FACTOR: f64 = 1.5;
/// Room of a layer that is none, in tokens: what subtraction leaves of zero.
const ZERO_CAPACITY: f64 = 1.0;

/// An engine and its range, as far as they count here.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldRange {
    /// The engine's kind.
    pub kind: AcceleratorKind,
    /// The layers that it holds.
    pub layers: LayerRange,
}

impl HeldRange {
    /// The engines that hold something.
    pub(super) fn all(engines: &[EngineView]) -> Vec<Self> {
        let held = engines.iter().filter_map(|engine| {
            let layers = engine.layers?;
            Some(Self {
                kind: engine.kind,
                layers,
            })
        });
        held.collect()
    }

    /// Room for requests at each of its layers, in tokens.
    pub(super) fn capacity(&self, model: &EngineModel) -> f64 {
        let width = self.layers.width().max(1);
        model.cache_capacity(self.kind, self.layers.width()) / f64::from(width)
    }
}

/// Requests a second that a zone carries, plus what is left of that after the
/// loss of the engine that is missed most.
pub fn plan_score(model: &EngineModel, held: &[HeldRange]) -> f64 {
    let mut layers = vec![LayerTotal::default(); model.layers as usize];
    for range in held {
        let share = HolderContribution::of(model, range);
        for layer in layers_of(&mut layers, range.layers) {
            layer.add(share);
        }
    }
    let whole = throughput(model, &layers);
    let mut lowest = whole;
    for range in distinct(held) {
        let share = HolderContribution::of(model, range);
        let mut left = layers.clone();
        for layer in layers_of(&mut left, range.layers) {
            layer.remove(share);
        }
        lowest = lowest.min(throughput(model, &left));
    }
    whole + lowest
}

/// One holder's part of what a layer has.
#[derive(Debug, Clone, Copy)]
struct HolderContribution {
    capacity: f64,
    step_ms: f64,
    request_time_ms: f64,
}

impl HolderContribution {
    fn of(model: &EngineModel, range: &HeldRange) -> Self {
        let kind = range.kind;
        let context_ms = model.per_context_k_ms * usual_tokens(model) / 1000.0 * kind.pace;
        Self {
            capacity: range.capacity(model),
            step_ms: model.step_ms * kind.pace,
            request_time_ms: model.per_request_ms * kind.read_factor + context_ms,
        }
    }
}

/// What the holders of a layer have, added up.
#[derive(Debug, Clone, Copy, Default)]
struct LayerTotal {
    /// Tokens.
    capacity: f64,
    /// Step times, weighted by room.
    step_ms: f64,
    /// Times for each request, weighted by room squared.
    request_time_ms: f64,
}

impl LayerTotal {
    fn add(&mut self, holder: HolderContribution) {
        self.capacity += holder.capacity;
        self.step_ms += holder.capacity * holder.step_ms;
        self.request_time_ms += holder.capacity.powi(2) * holder.request_time_ms;
    }

    fn remove(&mut self, holder: HolderContribution) {
        self.capacity -= holder.capacity;
        self.step_ms -= holder.capacity * holder.step_ms;
        self.request_time_ms -= holder.capacity.powi(2) * holder.request_time_ms;
    }
}

fn layers_of(
    layers: &mut [LayerTotal],
    range: LayerRange,
) -> impl Iterator<Item = &mut LayerTotal> {
    let within = layers.iter_mut().take(range.to as usize);
    within.skip(range.from as usize)
}

/// Each kind with each of its ranges once: the loss of one of several equal
/// engines costs the same whichever it is.
fn distinct(held: &[HeldRange]) -> Vec<&HeldRange> {
    let mut distinct: Vec<&HeldRange> = Vec::new();
    for range in held {
        if !distinct.contains(&range) {
            distinct.push(range);
        }
    }
    distinct
}

/// Requests of usual size a second, with all memory in use.
///
/// The layer with the least room says how many requests there can be; their
/// steps pass the holders of each layer in the ratio of their rooms. The more
/// there are, the longer a step takes.
fn throughput(model: &EngineModel, layers: &[LayerTotal]) -> f64 {
    let mut lowest = f64::INFINITY;
    let mut step_ms = 0.0;
    let mut request_ms = 0.0;
    for layer in layers {
        if layer.capacity < ZERO_CAPACITY {
            return 0.0;
        }
        lowest = lowest.min(layer.capacity);
        step_ms += layer.step_ms / layer.capacity;
        request_ms += layer.request_time_ms / layer.capacity.powi(2);
    }
    let requests = lowest / usual_tokens(model);
    let layers = f64::from(model.layers);
    let token_ms = WAIT_FACTOR * (step_ms + requests * request_ms) / layers;
    let answer_s = token_ms * f64::from(model.usual_answer.max(1)) / 1000.0;
    requests / answer_s
}

/// Tokens of a usual request at its end.
pub(super) fn usual_tokens(model: &EngineModel) -> f64 {
    f64::from(model.usual_prompt + model.usual_answer).max(1.0)
}
