//! Ranges for engines that may be placed freely.

use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::best_range::{LoadCost, are_interchangeable, best_range};

/// Rounds over the engines that may be placed freely: bounds the time of a
/// plan. What is left is found by the next look.
const MAX_SWEEPS: usize = 4;
/// Engines of a zone up to which each plan is worked out as well as the one
/// that is made: small zones are planned as if every plan were.
const MAX_EXACT_ENGINES: usize = 16;
/// Groups into which equal engines are divided where a plan is only compared.
const BATCHES: usize = 12;
/// Least gain for which an engine that is not ordered yet is placed anew.
const MIN_IMPROVEMENT: f64 = 1.002;

/// Gives ranges to the empty engines, largest first, and then to each again
/// while that helps: what the first took without knowing of the others may
/// suit another better.
pub(super) fn fill_empty(model: &EngineModel, engines: &mut [EngineView]) {
    let empty = (0..engines.len()).filter(|index| engines[*index].layers.is_none());
    let mut empty = empty.collect::<Vec<_>>();
    empty.sort_by(|left, right| {
        let memory = |index: &usize| engines[*index].kind.memory_mb;
        memory(right).total_cmp(&memory(left))
    });
    improve_ranges(model, engines, &empty);
}

/// Like [`fill_empty`], for one of many plans that are compared: in a large zone
/// equal engines take the same range several at a time, and none is placed again.
pub(super) fn fill_approximate(model: &EngineModel, engines: &mut [EngineView]) {
    if engines.len() <= MAX_EXACT_ENGINES {
        return fill_empty(model, engines);
    }
    let empty = (0..engines.len()).filter(|index| engines[*index].layers.is_none());
    let mut kinds: Vec<Vec<usize>> = Vec::new();
    for index in empty {
        let kind = engines[index].kind;
        match kinds
            .iter_mut()
            .find(|equal| engines[equal[0]].kind == kind)
        {
            Some(equal) => equal.push(index),
            None => kinds.push(vec![index]),
        }
    }
    kinds.sort_by(|left, right| {
        let memory = |equal: &Vec<usize>| engines[equal[0]].kind.memory_mb;
        memory(right).total_cmp(&memory(left))
    });
    for equal in kinds {
        for batch in equal.chunks(equal.len().div_ceil(BATCHES)) {
            let best = best_range(model, engines, batch[0], LoadCost::Free);
            for index in batch {
                engines[*index].layers = best.map(|best| best.layers);
            }
        }
    }
}

/// Gives each of these engines in turn the range in which it helps most, until
/// none can do better elsewhere.
pub(super) fn improve_ranges(model: &EngineModel, engines: &mut [EngineView], free: &[usize]) {
    // Engines that are best as they are, one of each set of equal ones, as long
    // as no other one changes.
    let mut optimal: Vec<usize> = Vec::new();
    for _ in 0..MAX_SWEEPS {
        let mut changed = false;
        for index in free.iter().copied() {
            let is_equal = |known: &usize| are_interchangeable(&engines[*known], &engines[index]);
            if optimal.iter().any(is_equal) {
                continue;
            }
            let best = best_range(model, engines, index, LoadCost::Free);
            let is_empty = engines[index].layers.is_none();
            match best.filter(|best| is_empty || best.gain > MIN_IMPROVEMENT) {
                Some(best) => {
                    engines[index].layers = Some(best.layers);
                    optimal.clear();
                    changed = true;
                }
                None => optimal.push(index),
            }
        }
        if !changed {
            break;
        }
    }
}
