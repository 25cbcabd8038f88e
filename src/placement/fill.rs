//! Assigns ranges to engines that can be placed without cost.

use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::best_range::{LoadCost, are_interchangeable, best_range};

/// Most sweeps over the engines, which bounds the time of a plan. Later plans continue
/// the improvement.
const MAX_SWEEPS: usize = 4;
/// Number of engines up to which candidate plans are computed exactly instead of
/// approximately.
const MAX_EXACT_ENGINES: usize = 16;
/// Number of batches into which equal engines are divided in an approximate plan.
const BATCHES: usize = 12;
/// Least ratio of scores for which an engine that has no order yet is moved to another
/// range.
const MIN_IMPROVEMENT: f64 = 1.002;

/// Gives a range to each empty engine, largest first, and then improves the ranges
/// repeatedly: a range that was chosen before the others were placed may suit another
/// engine better.
pub(super) fn fill_empty(model: &EngineModel, engines: &mut [EngineView]) {
    let empty = (0..engines.len()).filter(|index| engines[*index].layers.is_none());
    let mut empty = empty.collect::<Vec<_>>();
    empty.sort_by(|left, right| {
        let memory = |index: &usize| engines[*index].kind.memory_mb;
        memory(right).total_cmp(&memory(left))
    });
    improve_ranges(model, engines, &empty);
}

/// Like [`fill_empty`], for a plan that is only compared with others: in a large zone
/// equal engines get the same range in batches, and no range is improved afterwards.
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

/// Gives each of the `free` engines in turn the range in which it helps most, until no
/// engine gains by a change.
pub(super) fn improve_ranges(model: &EngineModel, engines: &mut [EngineView], free: &[usize]) {
    // Engines whose range is already the best, one of each set of equal engines; valid
    // until any range changes.
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
