//! Placement in large zones, which are planned in partitions.

mod placement_support;

use std::collections::BTreeSet;

use jackdawwick::ingress::{AcceleratorKind, EngineModel};
use jackdawwick::placement::EngineView;
use placement_support::{FAST, SLOW, USUAL, apply, engines, holders, model, score};

/// Fraction by which the score of a partitioned plan may be lower than that of a plan of
/// the whole zone.
const MAX_PARTITION_LOSS: f64 = 0.04;

fn covers_all_layers(model: &EngineModel, zone: &[EngineView]) -> bool {
    (0..model.layers).all(|layer| holders(zone, layer) > 0)
}

fn planned(kinds: &[(AcceleratorKind, usize)]) -> Vec<EngineView> {
    let mut zone = engines(kinds);
    apply(&model(), &mut zone);
    zone
}

/// Guards against decisions whose time grows with the zone: engines of equal partitions
/// hold the same ranges, so that the zone has no more distinct ranges than one partition.
#[test]
fn equal_partitions_hold_the_same_ranges() {
    let partition = planned(&[(FAST, 6), (USUAL, 21), (SLOW, 36)]);
    let zone = planned(&[(FAST, 24), (USUAL, 84), (SLOW, 144)]);
    assert!(
        distinct_ranges(&zone) <= distinct_ranges(&partition),
        "{} distinct ranges",
        distinct_ranges(&zone)
    );
    let model = model();
    let (alone, together) = (score(&model, &partition), score(&model, &zone));
    assert!(together >= 4.0 * alone, "{together} of four times {alone}");
}

/// Returns the number of distinct pairs of kind and range.
fn distinct_ranges(zone: &[EngineView]) -> usize {
    let ranges = zone.iter().filter_map(|engine| {
        let range = engine.layers?;
        Some((engine.kind.memory_mb as u64, range))
    });
    ranges.collect::<BTreeSet<_>>().len()
}

/// Guards against partitioned plans that score worse than plans of the whole zone if the
/// kinds cannot be divided evenly. The expected scores are those of plans of the whole
/// zone.
#[test]
fn uneven_partitions_score_close_to_whole_plans() {
    let model = model();
    for ((fast, usual, slow), whole) in WHOLE_PLANS {
        let zone = planned(&[(FAST, fast), (USUAL, usual), (SLOW, slow)]);
        let achieved_score = score(&model, &zone);
        let least = whole * (1.0 - MAX_PARTITION_LOSS);
        assert!(
            achieved_score >= least,
            "{fast}, {usual}, {slow}: {achieved_score}"
        );
    }
}

/// Fast, usual and slow engines of a zone, and the score of a plan of the whole zone.
const WHOLE_PLANS: [((usize, usize, usize), f64); 4] = [
    ((1, 30, 19), 287.07),
    ((6, 21, 33), 328.70),
    ((8, 30, 58), 478.52),
    ((9, 33, 57), 524.02),
];

/// Guards against orders for a zone at rest: the plan of a partition must be stable in
/// the plan of the whole zone, also after the loss of an engine.
#[test]
fn partitioned_plan_is_stable_at_rest_and_after_a_loss() {
    let model = model();
    let mut zone = planned(&[(FAST, 8), (USUAL, 30), (SLOW, 58)]);
    assert_eq!(apply(&model, &mut zone), 0, "orders at rest");
    for lost in [0, 20, 60] {
        let mut left = zone.clone();
        left.remove(lost);
        assert!(covers_all_layers(&model, &left), "without {lost}");
        assert_eq!(apply(&model, &mut left), 0, "orders without {lost}");
    }
}

/// Guards against layers that stay uncovered when a partition shrinks to its slow
/// engines: the other partitions must make up for it.
#[test]
fn shrunk_partition_leaves_no_layer_uncovered() {
    let model = model();
    let mut zone = planned(&[(FAST, 4), (USUAL, 30), (SLOW, 66)]);
    let mut position = 0;
    zone.retain(|engine| {
        position += 1;
        engine.kind == SLOW || position % 3 != 0
    });
    apply(&model, &mut zone);
    assert!(covers_all_layers(&model, &zone));
}

/// Guards against partitions that cannot hold the weights: these engines hold two copies
/// only together.
#[test]
fn small_engines_are_planned_as_one_zone() {
    let model = model();
    let small = AcceleratorKind {
        memory_mb: 7_200.0,
        ..SLOW
    };
    let zone = planned(&[(small, 70)]);
    assert!(covers_all_layers(&model, &zone));
}

/// Guards against a zone that is planned from scratch again after its planner stopped
/// with only a part of the orders given.
#[test]
fn partly_ordered_plan_is_continued() {
    let model = model();
    let mut zone = planned(&[(FAST, 4), (USUAL, 16), (SLOW, 36)]);
    for engine in zone.iter_mut().step_by(3) {
        engine.layers = None;
    }
    let ordered = zone.clone();
    apply(&model, &mut zone);
    assert!(covers_all_layers(&model, &zone));
    for (before, after) in ordered.iter().zip(&zone) {
        assert!(before.layers.is_none() || before.layers == after.layers);
        assert!(after.layers.is_some());
    }
}
