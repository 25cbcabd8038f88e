//! The judgement whether a host is cut off from all targets.

use std::time::{Duration, Instant};

use jackdawwick::ids::TargetId;
use jackdawwick::reachability::{ReachabilityChange, ReachabilityTable, TargetWay};

const KNOWN: usize = 36;

fn target(index: usize) -> TargetId {
    format!("t{index}").into()
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[test]
fn three_different_targets_in_a_row_isolate_a_host_and_four_successes_end_it() {
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    assert_eq!(table.observe_failed(&target(1), KNOWN, now), None);
    assert_eq!(table.observe_failed(&target(2), KNOWN, now), None);
    let change = table.observe_failed(&target(3), KNOWN, now);
    assert_eq!(change, Some(ReachabilityChange::Isolated { targets: 3 }));
    assert_eq!(table.way("t9"), TargetWay::Gateway);
    assert_eq!(table.observe_failed(&target(4), KNOWN, now), None);
    for index in 1..4 {
        assert_eq!(table.observe_connected(&target(index), now + ms(600)), None);
    }
    let change = table.observe_connected(&target(4), now + ms(700));
    assert_eq!(
        change,
        Some(ReachabilityChange::Restored { after: ms(700) })
    );
    assert_eq!(table.way("t9"), TargetWay::Direct);
}

/// Guards against callers' requests that return to a lost link because a time ran out.
#[test]
fn an_isolation_does_not_end_by_itself_or_by_one_success_between_failures() {
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    for index in 0..3 {
        table.observe_failed(&target(index), KNOWN, now);
    }
    for round in 1..60 {
        table.observe_connected(&target(1), now + ms(round * 1000));
        table.observe_failed(&target(2), KNOWN, now + ms(round * 1000));
        assert!(table.is_isolated());
    }
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
    table.observe_connected(&target(4), now + ms(20));
    table.observe_failed(&target(3), KNOWN, now + ms(30));
    assert!(!table.is_isolated());
    let mut table = ReachabilityTable::default();
    for (index, at) in [0, 3000, 6000, 9000].into_iter().enumerate() {
        table.observe_failed(&target(index), KNOWN, now + ms(at));
    }
    assert!(!table.is_isolated());
}

/// Guards against losing the targets of one zone or service that only other hosts reach.
#[test]
fn a_blocked_target_alone_is_reached_through_gateways_until_two_probes_succeed() {
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    assert!(table.observe_blocked(&target(1), now));
    assert!(!table.observe_blocked(&target(1), now));
    assert_eq!(table.way("t1"), TargetWay::Gateway);
    assert_eq!(table.way("t2"), TargetWay::Direct);
    table.observe_connected(&target(1), now + ms(100));
    table.observe_failed(&target(1), KNOWN, now + ms(200));
    table.observe_connected(&target(1), now + ms(300));
    assert_eq!(table.way("t1"), TargetWay::Gateway);
    let change = table.observe_connected(&target(1), now + ms(400));
    assert_eq!(
        change,
        Some(ReachabilityChange::Unblocked { after: ms(400) })
    );
    assert_eq!(table.way("t1"), TargetWay::Direct);
}

/// Guards against a target that stays blocked because other hosts are asked about it again.
#[test]
fn a_repeated_witness_resets_neither_the_proofs_nor_the_time_of_the_loss() {
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    table.observe_blocked(&target(1), now);
    table.observe_connected(&target(1), now + ms(100));
    table.observe_blocked(&target(1), now + ms(200));
    let change = table.observe_connected(&target(1), now + ms(300));
    assert_eq!(
        change,
        Some(ReachabilityChange::Unblocked { after: ms(300) })
    );
}

#[test]
fn probes_are_rare_rotate_and_stop_with_the_loss() {
    let now = Instant::now();
    let known = (0..5).map(target).collect::<Vec<_>>();
    let mut table = ReachabilityTable::default();
    assert_eq!(table.due_probes(known.iter(), now), []);
    for id in &known[..3] {
        table.observe_failed(id, known.len(), now);
    }
    let mut probed = Vec::new();
    for tick in 0..40 {
        probed.extend(table.due_probes(known.iter(), now + ms(tick * 50)));
    }
    assert_eq!(probed.len(), 16);
    assert!(known.iter().all(|id| probed.contains(id)));
    for id in &known {
        table.observe_connected(id, now + ms(2100));
    }
    assert_eq!(table.due_probes(known.iter(), now + ms(3000)), []);
}

#[test]
fn a_host_that_knows_few_targets_is_isolated_without_all_of_them_but_not_without_one() {
    let now = Instant::now();
    let mut table = ReachabilityTable::default();
    table.observe_failed(&target(1), 1, now);
    assert!(!table.is_isolated());
    table.observe_failed(&target(2), 2, now);
    assert!(table.is_isolated());
}
