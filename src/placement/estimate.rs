//! What a plan can carry.

use crate::fleet::LayerRange;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placement::EngineView;

/// Time that a token step takes in all, in times of the engines' own work:
/// a request waits for the rest of the pass that an engine is in.
pub(super) const WAIT_FACTOR: f64 = 1.5;
/// Room of a layer that is none, in tokens: what subtraction leaves of zero.
const NO_ROOM: f64 = 1.0;

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
    pub(super) fn room(&self, model: &EngineModel) -> f64 {
        let width = self.layers.width().max(1);
        model.cache_capacity(self.kind, self.layers.width()) / f64::from(width)
    }
}

/// Requests a second that a zone carries, plus what is left of that after the
/// loss of the engine that is missed most.
pub fn plan_score(model: &EngineModel, held: &[HeldRange]) -> f64 {
    let mut layers = vec![LayerShare::default(); model.layers as usize];
    for range in held {
        let share = HolderShare::of(model, range);
        for layer in layers_of(&mut layers, range.layers) {
            layer.add(share);
        }
    }
    let whole = carried_rate(model, &layers);
    let mut least = whole;
    for range in distinct(held) {
        let share = HolderShare::of(model, range);
        let mut left = layers.clone();
        for layer in layers_of(&mut left, range.layers) {
            layer.remove(share);
        }
        least = least.min(carried_rate(model, &left));
    }
    whole + least
}

/// One holder's part of what a layer has.
#[derive(Debug, Clone, Copy)]
struct HolderShare {
    room: f64,
    step_ms: f64,
    each_ms: f64,
}

impl HolderShare {
    fn of(model: &EngineModel, range: &HeldRange) -> Self {
        let kind = range.kind;
        let context_ms = model.per_context_k_ms * usual_tokens(model) / 1000.0 * kind.pace;
        Self {
            room: range.room(model),
            step_ms: model.step_ms * kind.pace,
            each_ms: model.per_request_ms * kind.read_factor + context_ms,
        }
    }
}

/// What the holders of a layer have, added up.
#[derive(Debug, Clone, Copy, Default)]
struct LayerShare {
    /// Tokens.
    room: f64,
    /// Step times, weighted by room.
    step_ms: f64,
    /// Times for each request, weighted by room squared.
    each_ms: f64,
}

impl LayerShare {
    fn add(&mut self, holder: HolderShare) {
        self.room += holder.room;
        self.step_ms += holder.room * holder.step_ms;
        self.each_ms += holder.room.powi(2) * holder.each_ms;
    }

    fn remove(&mut self, holder: HolderShare) {
        self.room -= holder.room;
        self.step_ms -= holder.room * holder.step_ms;
        self.each_ms -= holder.room.powi(2) * holder.each_ms;
    }
}

fn layers_of(
    layers: &mut [LayerShare],
    range: LayerRange,
) -> impl Iterator<Item = &mut LayerShare> {
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
fn carried_rate(model: &EngineModel, layers: &[LayerShare]) -> f64 {
    let mut least = f64::INFINITY;
    let mut step_ms = 0.0;
    let mut request_ms = 0.0;
    for layer in layers {
        if layer.room < NO_ROOM {
            return 0.0;
        }
        least = least.min(layer.room);
        step_ms += layer.step_ms / layer.room;
        request_ms += layer.each_ms / layer.room.powi(2);
    }
    let requests = least / usual_tokens(model);
    let layers = f64::from(model.layers);
    let token_ms = WAIT_FACTOR * (step_ms + requests * request_ms) / layers;
    let answer_s = token_ms * f64::from(model.usual_answer.max(1)) / 1000.0;
    requests / answer_s
}

/// Tokens of a usual request at its end.
pub(super) fn usual_tokens(model: &EngineModel) -> f64 {
    f64::from(model.usual_prompt + model.usual_answer).max(1.0)
}
