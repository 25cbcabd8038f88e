//! Tests which silences count as widespread.

use jackdawwick::ids::{ServiceId, TargetId};
use jackdawwick::silence::SilenceTable;

fn table_of(targets: &[&str]) -> SilenceTable {
    let mut table = SilenceTable::default();
    for target in targets {
        table.observe_start(&ServiceId::from("model"), &TargetId::from(*target));
    }
    table
}

#[test]
fn a_silence_is_widespread_once_most_targets_in_use_do_not_respond() {
    let mut table = table_of(&["a", "a", "b", "c"]);
    table.set_unresponsive(&"a".into(), true);
    table.set_unresponsive(&"a".into(), true);
    assert!(!table.is_widespread("model"));
    table.set_unresponsive(&"b".into(), true);
    assert!(table.is_widespread("model"));
    assert!(!table.is_widespread("other"));
    table.set_unresponsive(&"b".into(), false);
    assert!(!table.is_widespread("model"));
}

/// Guards against a single target that ends and is taken for a silence of all.
#[test]
fn the_silence_of_one_of_two_targets_is_not_widespread() {
    let mut table = table_of(&["a", "b"]);
    table.set_unresponsive(&"a".into(), true);
    table.set_unresponsive(&"b".into(), true);
    assert!(!table.is_widespread("model"));
}

#[test]
fn attempts_that_ended_no_longer_count() {
    let mut table = table_of(&["a", "b", "c"]);
    table.set_unresponsive(&"a".into(), true);
    table.set_unresponsive(&"b".into(), true);
    assert!(table.is_widespread("model"));
    table.observe_end(&"b".into(), true);
    table.observe_start(&"model".into(), &"b".into());
    assert!(!table.is_widespread("model"));
}
