//! The newest record of each target, merged from several readers.

use bytes::Bytes;
use jackdawwick::entry::KeptRecords;
use jackdawwick::ids::{LogPosition, TargetId};
use jackdawwick::peer::TargetChange;
use proptest::prelude::*;

fn id(name: &str) -> TargetId {
    TargetId::from(name)
}

fn position(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

fn observe(kept: &mut KeptRecords, name: &str, offset: u64) {
    kept.observe(
        &id(name),
        position(offset),
        Bytes::from_static(b"ready"),
        true,
    );
}

fn apply(kept: &mut KeptRecords, change: &TargetChange) {
    match &change.value {
        Some(value) => kept.observe(&change.id, change.position, value.clone(), true),
        None => {
            kept.remove(&change.id, change.position, change.first_return);
        }
    }
}

fn names(kept: &KeptRecords) -> Vec<String> {
    let mut names = kept
        .all()
        .iter()
        .map(|change| change.id.to_string())
        .collect::<Vec<_>>();
    names.sort();
    names
}

/// Guards against requests to a target 2.5 s after its entry was dropped: a host reads the
/// log itself and sees the target leave, and then a host that it followed before relays its
/// own list, which still holds the target because expired entries may return.
#[test]
fn left_target_is_not_restored_by_a_lagging_host() {
    let mut lagging = KeptRecords::default();
    observe(&mut lagging, "a", 3);
    observe(&mut lagging, "b", 4);
    let mut own = KeptRecords::default();
    observe(&mut own, "a", 3);
    observe(&mut own, "b", 4);
    assert!(own.remove("b", position(9), 0));
    for change in lagging.all() {
        apply(&mut own, &change);
    }
    assert_eq!(names(&own), ["a"]);
}

/// An entry that expired in an outage returns with a later record.
#[test]
fn target_returns_with_a_later_record() {
    let mut kept = KeptRecords::default();
    observe(&mut kept, "a", 3);
    assert!(kept.remove("a", position(5), 0));
    observe(&mut kept, "a", 6);
    assert_eq!(names(&kept), ["a"]);
}

/// Guards against a new target that is dropped and added in turns: this host has seen its
/// first record, and the list of a host that has read less lacks it. A list does not
/// cover records after the offset up to which it was read.
#[test]
fn list_does_not_cover_later_records() {
    let mut kept = KeptRecords::default();
    observe(&mut kept, "a", 3);
    observe(&mut kept, "b", 8);
    assert_eq!(kept.unlisted(std::iter::empty(), position(5)), [id("a")]);
}

proptest! {
    /// In whatever order and however often two readers relay the records of a log, the
    /// result is the last record of each target in the log.
    #[test]
    fn any_order_of_changes_gives_the_newest_records(
        log in prop::collection::vec((0..4_u8, any::<bool>()), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let change = |(offset, (name, is_present)): (usize, &(u8, bool))| TargetChange {
            id: id(&name.to_string()),
            position: position(offset as u64),
            value: is_present.then(|| Bytes::from_static(b"ready")),
            dropped_at: None,
            reinstated: false,
            first_return: 0,
        };
        let log = log.iter().enumerate().map(change).collect::<Vec<_>>();
        let mut in_order = KeptRecords::default();
        log.iter().for_each(|change| apply(&mut in_order, change));
        let mut shuffled = KeptRecords::default();
        for index in &order {
            apply(&mut shuffled, index.get(&log));
        }
        for change in log.iter().rev() {
            apply(&mut shuffled, change);
        }
        prop_assert_eq!(names(&shuffled), names(&in_order));
    }

    /// A host that follows the changes of another ends up with the same targets.
    #[test]
    fn followed_changes_give_the_same_targets(
        log in prop::collection::vec((0..4_u8, any::<bool>()), 1..40),
        poll_at in 0..40_usize,
    ) {
        let mut leader = KeptRecords::default();
        let mut follower = KeptRecords::default();
        let mut from = 0;
        for (offset, (name, is_present)) in log.iter().enumerate() {
            let name = name.to_string();
            match is_present {
                true => observe(&mut leader, &name, offset as u64),
                false => {
                    leader.remove(&name, position(offset as u64), 0);
                }
            }
            if offset == poll_at {
                let changes = leader.changes_since(from).expect("kept");
                changes.iter().for_each(|change| apply(&mut follower, change));
                from = leader.next_change();
            }
        }
        let changes = leader.changes_since(from).expect("kept");
        changes.iter().for_each(|change| apply(&mut follower, change));
        prop_assert_eq!(names(&follower), names(&leader));
    }
}
