//! Plans a zone whose engines hold no layers yet.

use crate::fleet::LayerRange;
use crate::ingress::EngineModel;
use crate::placement::estimate::{HeldRange, plan_score};
use crate::placement::fill::{fill_approximate, fill_empty, improve_ranges};
use crate::placement::partition::plan_partitioned;
use crate::placement::{EngineView, PlannedRange};

/// Most chains that are tried, each a full copy of the weights. More copies leave no
/// memory for requests.
const MAX_CHAINS: usize = 4;
/// Most counts of fast engines that are tried, besides those at which a kind ends. Up to
/// this number of engines every count is tried.
const MAX_FAST_COUNTS: usize = 24;
/// Approximate plans that are computed exactly, for each number of chains. All of them
/// would take 0.7 s instead of 0.2 s of a core for 38 engines; the best alone loses 1 to
/// 4 % of throughput in zones of 24 to 46 engines.
const FINALISTS_PER_CHAIN_COUNT: usize = 4;

/// Compares plans of one form and returns the one with the highest score: the fastest
/// engines form complete chains, each of which holds every layer once, and the other
/// engines hold additional copies where they help most.
///
/// A request occupies memory on every engine of its path for as long as it runs, so a
/// slow engine on all paths reduces capacity everywhere. As an additional holder, a slow
/// engine is a spare and takes the overflow.
pub(super) fn plan_initial(model: &EngineModel, engines: &[EngineView]) -> Vec<PlannedRange> {
    let planned = plan_partitioned(model, engines).into_iter();
    let ranges = planned.filter_map(|engine| {
        let layers = engine.layers?;
        Some(PlannedRange {
            id: engine.id,
            layers,
        })
    });
    ranges.collect()
}

/// Returns the engines sorted by pace, fastest first, and by memory, largest first.
pub(super) fn sorted_by_pace(engines: &[EngineView]) -> Vec<EngineView> {
    let mut sorted = engines.to_vec();
    sorted.sort_by(|left, right| {
        let pace = left.kind.pace.total_cmp(&right.kind.pace);
        let memory = right.kind.memory_mb.total_cmp(&left.kind.memory_mb);
        pace.then(memory).then_with(|| left.id.cmp(&right.id))
    });
    sorted
}

/// Returns the plan with the highest score: all candidates are planned approximately, and
/// the best of these exactly.
pub(super) fn best_plan(model: &EngineModel, sorted: &[EngineView]) -> Vec<EngineView> {
    let score = |planned: &[EngineView]| plan_score(model, &HeldRange::all(planned));
    let all = (0..sorted.len()).collect::<Vec<_>>();
    let finalists = (1..=MAX_CHAINS).flat_map(|chains| best_approximate(model, sorted, chains));
    let finalists = finalists.map(|(fast, chains)| {
        let mut planned = plan_with(model, sorted, (fast, chains), fill_empty);
        improve_ranges(model, &mut planned, &all);
        (score(&planned), planned)
    });
    let mut best = (f64::NEG_INFINITY, Vec::new());
    for finalist in finalists {
        if finalist.0 > best.0 {
            best = finalist;
        }
    }
    best.1
}

/// Returns the counts of fast engines and of chains of the best approximate plans with
/// `chains` chains.
fn best_approximate(
    model: &EngineModel,
    sorted: &[EngineView],
    chains: usize,
) -> Vec<(usize, usize)> {
    let approximate = fast_counts(sorted).into_iter().map(|fast| {
        let planned = plan_with(model, sorted, (fast, chains), fill_approximate);
        (plan_score(model, &HeldRange::all(&planned)), (fast, chains))
    });
    let mut approximate = approximate.collect::<Vec<_>>();
    // The sort is stable: among equal plans the one with fewer fast engines comes first.
    approximate.sort_by(|left, right| right.0.total_cmp(&left.0));
    let best = approximate.into_iter().take(FINALISTS_PER_CHAIN_COUNT);
    best.map(|(_, counts)| counts).collect()
}

/// Returns the numbers of fast engines to try for the complete chains. Trying each count
/// costs 0.75 s of a core for 38 engines and 4.4 s for 96.
fn fast_counts(sorted: &[EngineView]) -> Vec<usize> {
    let all = sorted.len();
    let step = all.div_ceil(MAX_FAST_COUNTS).max(1);
    let spread = (1..=all).filter(|count| count % step == 0);
    let ends = (1..=all).filter(|count| {
        let next = sorted.get(*count);
        next.is_none_or(|next| next.kind != sorted[count - 1].kind)
    });
    let mut counts = spread.chain(ends).collect::<Vec<_>>();
    counts.sort_unstable();
    counts.dedup();
    counts
}

/// Returns the engines with ranges: the first `fast` engines form `chains` chains, the
/// others are placed by `fill`.
fn plan_with<F>(
    model: &EngineModel,
    sorted: &[EngineView],
    (fast, chains): (usize, usize),
    fill: F,
) -> Vec<EngineView>
where
    F: Fn(&EngineModel, &mut [EngineView]),
{
    let mut engines = sorted.to_vec();
    let chain_members = split_into_chains(&sorted[..fast], chains);
    let planned = chain_members
        .iter()
        .flat_map(|chain| plan_chain(model, chain));
    for range in planned {
        if let Some(engine) = engines.iter_mut().find(|engine| engine.id == range.id) {
            engine.layers = Some(range.layers);
        }
    }
    fill(model, &mut engines);
    engines
}

/// Splits the engines into chains, adding each engine, largest first, to the chain with
/// the least memory.
fn split_into_chains(engines: &[EngineView], chains: usize) -> Vec<Vec<&EngineView>> {
    let mut sorted = engines.iter().collect::<Vec<_>>();
    sorted.sort_by(|left, right| {
        let size = right.kind.memory_mb.total_cmp(&left.kind.memory_mb);
        size.then_with(|| left.id.cmp(&right.id))
    });
    let mut chain_members = vec![(0.0_f64, Vec::new()); chains];
    for engine in sorted {
        let smallest = chain_members
            .iter_mut()
            .min_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((memory, members)) = smallest {
            *memory += engine.kind.memory_mb;
            members.push(engine);
        }
    }
    chain_members
        .into_iter()
        .map(|(_, members)| members)
        .collect()
}

/// Divides the layers over a chain in proportion to memory, rounded so that they add up,
/// within the most layers that each engine can hold.
fn plan_chain(model: &EngineModel, chain: &[&EngineView]) -> Vec<PlannedRange> {
    let total = chain
        .iter()
        .map(|engine| engine.kind.memory_mb)
        .sum::<f64>();
    let layers = f64::from(model.layers);
    let ideal = chain
        .iter()
        .map(|engine| layers * engine.kind.memory_mb / total);
    let ideal = ideal.collect::<Vec<_>>();
    let max_widths = chain
        .iter()
        .map(|engine| model.max_layers(engine.kind))
        .collect::<Vec<_>>();
    let mut widths = ideal
        .iter()
        .zip(&max_widths)
        .map(|(ideal, max)| (*ideal as u32).min(*max));
    let mut widths = widths.by_ref().collect::<Vec<_>>();
    let mut missing = model.layers.saturating_sub(widths.iter().sum());
    while missing > 0 {
        let rest = |index: &usize| ideal[*index] - f64::from(widths[*index]);
        let open = (0..chain.len()).filter(|index| widths[*index] < max_widths[*index]);
        let Some(neediest) = open.max_by(|left, right| rest(left).total_cmp(&rest(right))) else {
            break;
        };
        widths[neediest] += 1;
        missing -= 1;
    }
    let mut from = 0;
    let mut planned = Vec::with_capacity(chain.len());
    for (engine, width) in chain.iter().zip(widths) {
        let layers = LayerRange {
            from,
            to: from + width,
        };
        from += width;
        if width > 0 {
            planned.push(PlannedRange {
                id: engine.id.clone(),
                layers,
            });
        }
    }
    planned
}
