//! Tests of the load tool's hardware bound and planned arrivals.

use std::time::Duration;

use standins::load::{HardwareBound, LoadFault, LoadOptions, LoadShape, plan_arrivals};

fn options(seed: u64) -> LoadOptions {
    LoadOptions {
        shape: LoadShape::Franchise,
        policy: "estimate".to_owned(),
        rate_factor: 0.5,
        large_factor: 1.0,
        length: Duration::from_secs(100),
        seed,
        fault: LoadFault::None,
        out: None,
    }
}

#[test]
fn the_bound_is_that_of_the_smallest_stage() {
    let (mut layout, mix) = (LoadShape::Franchise.layout(), LoadShape::Franchise.mix());
    layout.stages[1].engines.truncate(1);
    layout.stages[1].engines[0].step_time = Duration::from_millis(10);
    layout.stages[1].engines[0].concurrency = 4;
    // The engine runs 400 steps per second; a request takes half a step for the prompt
    // and 15 more.
    let bound = HardwareBound::new(&layout, &mix);
    assert!((bound.requests_per_second - 400.0 / 15.5).abs() < 1e-9);
    assert!((bound.tokens_per_second - 16.0 * 400.0 / 15.5).abs() < 1e-9);
}

#[test]
fn arrivals_depend_on_the_seed_alone_and_keep_their_rate() {
    let (layout, mix) = (LoadShape::Franchise.layout(), LoadShape::Franchise.mix());
    let planned = plan_arrivals(&options(1), &layout, &mix);
    assert_eq!(planned, plan_arrivals(&options(1), &layout, &mix));
    assert_ne!(planned, plan_arrivals(&options(2), &layout, &mix));
    assert!(planned.is_sorted_by_key(|request| request.at));
    let rate = planned.len() as f64 / 100.0;
    let expected = HardwareBound::new(&layout, &mix).requests_per_second * 0.5 * 1.2;
    assert!((rate / expected - 1.0).abs() < 0.05, "{rate} {expected}");
}
