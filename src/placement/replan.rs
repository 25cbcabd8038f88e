//! A plan for a zone that no single change makes whole.

use std::time::Duration;

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::best_range::shared;
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
    let mut anew = engines.to_vec();
    for engine in &mut anew {
        engine.layers = None;
    }
    let planned = plan_initial(model, &anew);
    for range in planned {
        if let Some(engine) = anew.iter_mut().find(|engine| engine.id == range.id) {
            engine.layers = Some(range.layers);
        }
    }
    keep_ranges(engines, &mut anew);
    (uncovered_count(model, &anew) == 0).then_some(anew)
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
