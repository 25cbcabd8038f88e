//! Plans a zone again from scratch where single changes cannot cover all layers.

use std::time::Duration;

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placement::EngineView;
use crate::placement::best_range::intersection;
use crate::placement::initial::plan_initial;
use crate::placement::zone_estimate::uncovered_count;

/// Time for which a zone has uncovered layers before it is planned again from scratch. An
/// engine that crashed is back, without layers, within about a second after its entry
/// ends; replanning earlier reloads most layers of the zone without need and lowers its
/// throughput.
pub const REPLAN_DELAY: Duration = Duration::from_millis(2500);

/// Returns the engines planned as if none held layers, or `None` if that leaves layers
/// uncovered.
///
/// After the loss of two large engines, no sequence of changes that each raise the score
/// may cover all layers, although the remaining engines have the capacity.
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

/// Swaps ranges between engines of the same kind, so that each keeps as many of its
/// layers as possible.
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
