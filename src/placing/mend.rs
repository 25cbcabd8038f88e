//! Changes to a zone whose engines hold layers already.

use std::time::Duration;

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placing::best_range::{HORIZON_S, LoadCost, RangeChange, best_range, load_time, shared};
use crate::placing::figure::ZoneFigure;
use crate::placing::first::plan_empty;
use crate::placing::{EngineView, PlannedRange};

/// How much more a zone has to carry after an engine changes its layers for
/// the load to be worth it: each is priced and takes a share of the weights
/// store, and the estimate is right to about a tenth.
const LEAST_GAIN: f64 = 1.15;
/// Rounds over the engines that may be placed freely. Four were enough in
/// tries with up to 30 engines; each takes milliseconds.
const MOST_SWEEPS: usize = 4;
/// Least gain for which an engine that is not ordered yet is placed anew.
const SETTLED_GAIN: f64 = 1.002;
/// How long a zone that cannot be mended otherwise lacks layers before it is
/// planned anew. An engine that crashed is back, empty, within about a second
/// of its entry's end; to load most layers of the zone anew before that lowered
/// the mean worth of five days with faults from 0.747 to 0.740 (40 plays).
pub const ANEW_PATIENCE: Duration = Duration::from_millis(2500);
/// Changes of engines that hold layers in one plan, to close holes.
const MOST_MOVES: usize = 12;

/// Gives empty engines the range in which they help most; closes holes, or
/// makes one change that lets the zone carry clearly more.
pub(super) fn plan_changes(
    model: &EngineModel,
    engines: &[EngineView],
    holed_for: Duration,
) -> Vec<PlannedRange> {
    let mut changed = engines.to_vec();
    fill_empty(model, &mut changed);
    if let Some(rearranged) = rearrange(model, engines, &changed) {
        changed = rearranged;
    }
    if hole_count(model, &changed) > 0 {
        // Half a mend only takes room from what still works.
        let closed = close_holes(model, &changed);
        let closed = match closed {
            None if holed_for >= ANEW_PATIENCE => plan_anew(model, &changed),
            closed => closed,
        };
        changed = closed.unwrap_or(changed);
    } else if let Some(change) = best_change(model, &changed) {
        changed[change.engine].layers = Some(change.layers);
    }
    let pairs = engines.iter().zip(changed);
    let planned = pairs.filter(|(before, after)| before.layers != after.layers);
    let planned = planned.filter_map(|(_, engine)| {
        let layers = engine.layers?;
        Some(PlannedRange {
            id: engine.id,
            layers,
        })
    });
    planned.collect()
}

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

/// Places the empty engines together with one that holds the layer which is
/// still scarcest after they were `filled` in; `None` if that is no better.
///
/// An engine that was widened to close a hole has no room left. When an empty
/// one comes, neither can do better alone: the first would leave the hole again,
/// the second only helps where the first is short of room.
fn rearrange(
    model: &EngineModel,
    engines: &[EngineView],
    filled: &[EngineView],
) -> Option<Vec<EngineView>> {
    if engines.iter().all(|engine| engine.layers.is_some()) {
        return None;
    }
    let scarcest = ZoneFigure::of(model, filled, None).scarcest_layer();
    let now = ZoneFigure::of(model, filled, None).worth();
    let holds = |engine: &EngineView| engine.layers.is_some_and(|held| held.contains(scarcest));
    let holders = (0..engines.len()).filter(|index| holds(&engines[*index]));
    let options = holders.map(|index| {
        let mut option = engines.to_vec();
        option[index].layers = None;
        fill_empty(model, &mut option);
        let gain = rearranged_gain(model, engines, &option, index, now);
        (gain, option)
    });
    let best = options.max_by(|one, other| one.0.total_cmp(&other.0))?;
    (best.0 > LEAST_GAIN).then_some(best.1)
}

/// Worth of an option in which one engine holds other layers than before, in
/// times of `now`, with what is missing until it does.
fn rearranged_gain(
    model: &EngineModel,
    engines: &[EngineView],
    option: &[EngineView],
    index: usize,
    now: f64,
) -> f64 {
    let after = ZoneFigure::of(model, option, None).worth();
    let during = ZoneFigure::of(model, option, Some(index)).worth();
    let out = match (engines[index].layers, option[index].layers) {
        (Some(held), Some(wanted)) => load_time(model, held, wanted) / HORIZON_S,
        _ => 0.0,
    };
    let out = out.min(1.0);
    (after * (1.0 - out) + during * out) / now
}

/// The engines after all holes are closed; `None` if some cannot be.
fn close_holes(model: &EngineModel, engines: &[EngineView]) -> Option<Vec<EngineView>> {
    let mut engines = engines.to_vec();
    for _ in 0..MOST_MOVES {
        let change = best_change(model, &engines)?;
        engines[change.engine].layers = Some(change.layers);
        if hole_count(model, &engines) == 0 {
            return Some(engines);
        }
    }
    None
}

/// The engines as if none held anything yet; `None` if that leaves holes too.
///
/// A zone that lost two large engines for good cannot be made whole by one
/// change after the other, each better than the one before. It served nothing
/// for the rest of the day, although its engines had room for ninety requests.
fn plan_anew(model: &EngineModel, engines: &[EngineView]) -> Option<Vec<EngineView>> {
    let mut anew = engines.to_vec();
    for engine in &mut anew {
        engine.layers = None;
    }
    let planned = plan_empty(model, &anew);
    for range in planned {
        if let Some(engine) = anew.iter_mut().find(|engine| engine.id == range.id) {
            engine.layers = Some(range.layers);
        }
    }
    keep_ranges(engines, &mut anew);
    (hole_count(model, &anew) == 0).then_some(anew)
}

/// Exchanges ranges between engines of one kind, so that each keeps as much of
/// what it holds as can be.
fn keep_ranges(engines: &[EngineView], anew: &mut [EngineView]) {
    let kept = |engine: usize, layers: Option<LayerRange>| {
        let held = engines[engine].layers.zip(layers);
        held.map_or(0, |(held, wanted)| shared(held, wanted).width())
    };
    for one in 0..anew.len() {
        for other in one + 1..anew.len() {
            let (first, second) = (anew[one].layers, anew[other].layers);
            let as_planned = kept(one, first) + kept(other, second);
            let exchanged = kept(one, second) + kept(other, first);
            if anew[one].kind == anew[other].kind && exchanged > as_planned {
                anew[one].layers = second;
                anew[other].layers = first;
            }
        }
    }
}

/// The one change that lets the zone carry clearly more.
fn best_change(model: &EngineModel, engines: &[EngineView]) -> Option<RangeChange> {
    let changes = 0..engines.len();
    let changes = changes.filter_map(|index| best_range(model, engines, index, LoadCost::Counted));
    let best = changes.max_by(|one, other| one.gain.total_cmp(&other.gain))?;
    (best.gain > LEAST_GAIN).then_some(best)
}

pub(super) fn hole_count(model: &EngineModel, engines: &[EngineView]) -> usize {
    ZoneFigure::of(model, engines, None).holes()
}
