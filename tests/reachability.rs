//! The judgement whether a host is cut off from all targets.

use std::time::{Duration, Instant};

use jackdawwick::ids::TargetId;
use jackdawwick::reachability::{ReachabilityChange, ReachabilityTable};

const KNOWN: usize = 36;

fn target(index: usize) -> TargetId {
    format!("t{index}").into()
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[test]
fn three_different_targets_in_a_row_isolate_a_host_and_one_success_ends_it() {
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    assert_eq!(table.observe_failed(&target(1), KNOWN, now), None);
    assert_eq!(table.observe_failed(&target(2), KNOWN, now), None);
    let change = table.observe_failed(&target(3), KNOWN, now);
    assert_eq!(change, Some(ReachabilityChange::Isolated { targets: 3 }));
    assert!(table.is_isolated());
    assert_eq!(table.observe_failed(&target(4), KNOWN, now), None);
    let change = table.observe_connected(now + ms(700));
    assert_eq!(
        change,
        Some(ReachabilityChange::Restored { after: ms(700) })
    );
    assert!(!table.is_isolated());
}

/// Guards against taking targets that crashed for a lost link of the host.
#[test]
fn a_success_in_between_repeated_failures_or_old_ones_isolate_no_host() {
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    for round in 0..10 {
        table.observe_failed(&target(1), KNOWN, now + ms(round));
        table.observe_failed(&target(2), KNOWN, now + ms(round));
    }
    assert!(!table.is_isolated());
    table.observe_connected(now + ms(20));
    table.observe_failed(&target(3), KNOWN, now + ms(30));
    assert!(!table.is_isolated());
    let mut table = ReachabilityTable::default();
    for (index, at) in [0, 3000, 6000, 9000].into_iter().enumerate() {
        table.observe_failed(&target(index), KNOWN, now + ms(at));
    }
    assert!(!table.is_isolated());
}

#[test]
fn a_host_that_knows_one_target_is_isolated_without_it() {
    let mut table = ReachabilityTable::default();
    table.observe_failed(&target(1), 1, Instant::now());
    assert!(table.is_isolated());
}
