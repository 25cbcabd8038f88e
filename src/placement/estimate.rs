//! Estimates the throughput of a plan.

use crate::fleet::LayerRange;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placement::EngineView;

/// Ratio of the duration of a token step to the compute time of the engines: a request
/// waits for the pass that an engine is running.
pub(super) const WAIT_FACTOR: f64 = 1.5;
/// Capacity in tokens below which a layer has no holder: the floating-point error left
/// when a holder is subtracted.
const ZERO_CAPACITY: f64 = 1.0;

/// The kind and the layer range of an engine that holds layers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HeldRange {
    /// The engine's kind.
    pub kind: AcceleratorKind,
    /// The layers that it holds.
    pub layers: LayerRange,
}

impl HeldRange {
    /// Returns the ranges of all engines that hold layers.
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

    /// Returns the cache capacity for requests at each of its layers, in tokens.
    pub(super) fn capacity(&self, model: &EngineModel) -> f64 {
        let width = self.layers.width().max(1);
        model.cache_capacity(self.kind, self.layers.width()) / f64::from(width)
    }
}

/// Returns the score of a plan: its throughput in requests a second, plus the throughput
/// that remains after the loss of the most critical engine.
pub fn plan_score(model: &EngineModel, held: &[HeldRange]) -> f64 {
    let mut layers = vec![LayerTotal::default(); model.layers as usize];
    let mut starts = 0.0;
    for range in held {
        let share = HolderContribution::of(model, range);
        starts += share.starts;
        for layer in layers_of(&mut layers, range.layers) {
            layer.add(share);
        }
    }
    let whole = throughput(model, &layers, starts);
    let mut lowest = whole;
    for range in distinct(held) {
        let share = HolderContribution::of(model, range);
        let mut left = layers.clone();
        for layer in layers_of(&mut left, range.layers) {
            layer.remove(share);
        }
        lowest = lowest.min(throughput(model, &left, starts - share.starts));
    }
    whole + lowest
}

/// What one engine contributes to each layer that it holds.
#[derive(Debug, Clone, Copy)]
struct HolderContribution {
    capacity: f64,
    /// Tokens of the requests that can begin at the engine.
    starts: f64,
    step_ms: f64,
    request_time_ms: f64,
}

impl HolderContribution {
    fn of(model: &EngineModel, range: &HeldRange) -> Self {
        let kind = range.kind;
        let context_ms = model.per_context_k_ms * usual_tokens(model) / 1000.0 * kind.pace;
        let capacity = range.capacity(model);
        Self {
            capacity,
            starts: match range.layers.contains(0) {
                true => start_capacity(model, capacity),
                false => 0.0,
            },
            step_ms: model.step_ms * kind.pace,
            request_time_ms: model.per_request_ms * kind.read_factor + context_ms,
        }
    }
}

/// Sums over the holders of a layer.
#[derive(Debug, Clone, Copy, Default)]
struct LayerTotal {
    /// Cache capacity, in tokens.
    capacity: f64,
    /// Step times, weighted by capacity.
    step_ms: f64,
    /// Step time added by each request, weighted by the square of capacity.
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

/// Returns each distinct pair of kind and range once: losing any one of several equal
/// engines costs the same.
fn distinct(held: &[HeldRange]) -> Vec<&HeldRange> {
    let mut distinct: Vec<&HeldRange> = Vec::new();
    for range in held {
        if !distinct.contains(&range) {
            distinct.push(range);
        }
    }
    distinct
}

/// Returns the throughput in requests of usual size a second with all cache memory in
/// use.
///
/// The layer with the least capacity limits the number of concurrent requests; at the
/// first layer, `starts` limits it as well, which includes the slots. Their
/// steps are distributed over the holders of each layer in proportion to capacity, and a
/// step takes longer the more requests share it.
fn throughput(model: &EngineModel, layers: &[LayerTotal], starts: f64) -> f64 {
    let mut lowest = starts.max(0.0);
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

/// Returns the tokens of the requests that can begin at an engine with this capacity at
/// its first layer. An engine runs at most [`EngineModel::slots`] requests at once as the
/// first of their paths, whatever memory it has.
pub(super) fn start_capacity(model: &EngineModel, capacity: f64) -> f64 {
    capacity.min(f64::from(model.slots) * usual_tokens(model))
}

/// Returns the number of tokens of a usual request at its end.
pub(super) fn usual_tokens(model: &EngineModel) -> f64 {
    f64::from(model.usual_prompt + model.usual_answer).max(1.0)
}
