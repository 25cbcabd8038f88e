//! A plan for a zone that no single change makes whole.

use std::time::Duration;

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::best_range::intersection;
use crate::placement::initial::plan_initial;
use crate::placement::zone_estimate::uncovered_count;

/// How long a zone that cannot be mended otherwise lacks layers before it is
/// planned anew. An engine that crashed is back, empty, within about a second
/// of its entry's end; to load most layers of the zone anew before that lowered
/// the mean worth of 40 simulated days with faults from 0.747 to 0.740.
pub const REPLAN_DELAY: Duration = Duration::from_millis(2500);

/// The engines as if none held anything yet; `None` if that leaves holes too.
///
/// A zone that lost two large engines for good cannot be made whole by one
/// change after the other, each better than the one before. It served nothing
/// for the rest of the day, although its engines had room for ninety requests.
pub(super) fn replan_zone(model: &EngineModel, engines: &[EngineView]) -> Option<Vec<EngineView>> {
    let mut replanned = engines.to_vec();
    for engine in &mut replanned {
        engine.layers = None;
    }
    let planned = plan_initial(model, &replanned);
    for range in planned {
        if let Some(engine) = replanned.iter_mut().find(|engine| engine.id == range.id) {
            engine.layers = Some(range.layers);
        }
    }
    minimize_moves(engines, &mut replanned);
    (uncovered_count(model, &replanned) == 0).then_some(replanned)
}

/// Exchanges ranges between engines of one kind, so that each keeps as much of
/// what it holds as can be.
fn minimize_moves(engines: &[EngineView], replanned: &mut [EngineView]) {
    let kept = |engine: usize, layers: Option<LayerRange>| {
        let held = engines[engine].layers.zip(layers);
        held.map_or(0, |(held, wanted)| intersection(held, wanted).width())
    };
    for left in 0..replanned.len() {
        for right in left + 1..replanned.len() {
            let (first, second) = (replanned[left].layers, replanned[right].layers);
            let as_planned = kept(left, first) + kept(right, second);
            let exchanged = kept(left, second) + kept(right, first);
            if replanned[left].kind == replanned[right].kind && exchanged > as_planned {
                replanned[left].layers = second;
                replanned[right].layers = first;
            }
        }
    }
}
