//! What a plan can carry.

use crate::fleet::LayerRange;
use crate::ingress::{AcceleratorKind, EngineModel};
use crate::placing::EngineView;

/// Time that a token step takes in all, in times of the engines' own work:
/// a request waits for the rest of the pass that an engine is in.
pub(super) const WAIT_FACTOR: f64 = 1.5;

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
        model.cache_room(self.kind, self.layers.width()) / f64::from(width)
    }
}

/// Requests a second that a zone carries, plus what is left of that after the
/// loss of the engine that is missed most.
pub fn plan_worth(model: &EngineModel, held: &[HeldRange]) -> f64 {
    let whole = carried_rate(model, held, None);
    let losses = (0..held.len()).map(|lost| carried_rate(model, held, Some(lost)));
    whole + losses.fold(f64::INFINITY, f64::min).min(whole)
}

/// Requests of usual size a second, with all memory in use.
///
/// The layer with the least room says how many requests there can be; their
/// steps pass the holders of each layer in the ratio of their rooms. The more
/// there are, the longer a step takes.
fn carried_rate(model: &EngineModel, held: &[HeldRange], lost: Option<usize>) -> f64 {
    let usual = f64::from(model.usual_prompt + model.usual_answer).max(1.0);
    let mut least = f64::INFINITY;
    let mut step_ms = 0.0;
    let mut request_ms = 0.0;
    for layer in 0..model.layers {
        let holders = held.iter().enumerate();
        let holders =
            holders.filter(|(index, range)| Some(*index) != lost && range.layers.contains(layer));
        let holders = holders.map(|(_, range)| (range.kind, range.room(model)));
        let holders = holders.collect::<Vec<_>>();
        let room = holders.iter().map(|(_, room)| room).sum::<f64>();
        if room <= 0.0 {
            return 0.0;
        }
        least = least.min(room);
        for (kind, own) in holders {
            let part = own / room;
            let context_ms = model.per_context_k_ms * usual / 1000.0 * kind.pace;
            let each_ms = model.per_request_ms * kind.read_factor + context_ms;
            step_ms += part * model.step_ms * kind.pace;
            request_ms += part * part * each_ms;
        }
    }
    let requests = least / usual;
    let layers = f64::from(model.layers);
    let token_ms = WAIT_FACTOR * (step_ms + requests * request_ms) / layers;
    let answer_s = token_ms * f64::from(model.usual_answer.max(1)) / 1000.0;
    requests / answer_s
}
