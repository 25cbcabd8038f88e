//! Ranges for engines that may be placed freely.

use crate::ingress::EngineModel;
use crate::placing::EngineView;
use crate::placing::best_range::{LoadCost, best_range};

/// Rounds over the engines that may be placed freely: bounds the time of a
/// plan. What is left is found by the next look.
const MOST_SWEEPS: usize = 4;
/// Least gain for which an engine that is not ordered yet is placed anew.
const SETTLED_GAIN: f64 = 1.002;

/// Gives ranges to the empty engines, largest first, and then to each again
/// while that helps: what the first took without knowing of the others may
/// suit another better.
pub(super) fn fill_empty(model: &EngineModel, engines: &mut [EngineView]) {
    let empty = (0..engines.len()).filter(|index| engines[*index].layers.is_none());
    let mut empty = empty.collect::<Vec<_>>();
    empty.sort_by(|one, other| {
        let memory = |index: &usize| engines[*index].kind.memory_mb;
        memory(other).total_cmp(&memory(one))
    });
    settle(model, engines, &empty);
}

/// Gives each of these engines in turn the range in which it helps most, until
/// none can do better elsewhere.
pub(super) fn settle(model: &EngineModel, engines: &mut [EngineView], free: &[usize]) {
    for _ in 0..MOST_SWEEPS {
        let mut changed = false;
        for index in free.iter().copied() {
            let best = best_range(model, engines, index, LoadCost::Free);
            let is_empty = engines[index].layers.is_none();
            let best = best.filter(|best| is_empty || best.gain > SETTLED_GAIN);
            if let Some(best) = best {
                engines[index].layers = Some(best.layers);
                changed = true;
            }
        }
        if !changed {
            break;
        }
    }
}
