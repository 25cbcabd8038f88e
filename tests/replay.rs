//! Failures that replay must tolerate: races, lost replies, expiry and outages.

mod replay_fixtures;

use std::time::{Duration, Instant};

use jackdawwick::ids::LogOffset;
use jackdawwick::platform::wire::{ReadResponse, StoredRecord};
use jackdawwick::records::{ChangeAction, JUDGING_RULES};
use jackdawwick::replay::{
    ApplyError, CheckpointError, CheckpointSchedule, DeclarationTable, Judgement, LogHorizon,
    NotReadyReason, Readiness, ReadinessTracker, RecordRelay, RelayLimits, StartDecision,
    StartError, StartPlanner, WindowRules,
};
use jackdawwick::resources::{ResourceKey, ResourceKind, TargetKind};
use replay_fixtures::*;

const GRACE: Duration = Duration::from_secs(2);
const KEPT: RelayLimits = RelayLimits {
    records: 4,
    bytes: 1 << 20,
};

fn organisation_key() -> ResourceKey {
    key(ResourceKind::Organisation, "tbilisi")
}

/// Returns a log in which each record raises the capacity of one organisation.
fn raises(count: u64) -> Vec<String> {
    let raise = |number: u64| {
        let spec = organisation('a', u32::try_from(number + 1).expect("small"));
        text(&put(
            &format!("raise-{number}"),
            "tbilisi",
            number.checked_sub(1),
            spec,
        ))
    };
    (0..count).map(raise).collect()
}

fn replayed(log: &[String]) -> DeclarationTable {
    let mut table = DeclarationTable::default();
    for (offset, body) in log.iter().enumerate() {
        table.apply_raw(offset as LogOffset, body).expect("no gap");
    }
    table
}

fn bought(table: &DeclarationTable) -> u32 {
    let organisation = table.organisation("tbilisi").expect("declared");
    organisation.capacity.concurrent_requests
}

/// Returns the response of a log that retains the records from `first` on.
fn read_response(log: &[String], first: usize) -> ReadResponse {
    let kept = log.iter().enumerate().skip(first);
    ReadResponse {
        first_offset: first as LogOffset,
        end_offset: log.len() as LogOffset,
        records: kept
            .map(|(offset, body)| StoredRecord {
                offset: offset as LogOffset,
                body: body.clone(),
            })
            .collect(),
    }
}

fn start(log: &[String], first: usize) -> StartDecision {
    StartPlanner::new(WindowRules::CURRENT, 1_000).on_read(&read_response(log, first))
}

fn started(decision: StartDecision) -> DeclarationTable {
    match decision {
        StartDecision::Started(table) => *table,
        other => panic!("{other:?}"),
    }
}

// Two operators read version 0 and both change it. Without the check of `based_on`, the
// later change in the log would silently overwrite the earlier one.
#[test]
fn the_loser_of_two_concurrent_changes_gets_the_winner() {
    let mut table = replayed(&raises(1));
    let raise = |id, operator, bought| {
        let action = ChangeAction::Put(organisation('a', bought));
        change(id, operator, &organisation_key(), Some(0), action)
    };
    assert_eq!(
        table.apply(1, &raise("one", "amine", 7)),
        Ok(Judgement::Accepted)
    );
    let lost = Judgement::Lost {
        winner: Some(1),
        operator: Some("amine".into()),
    };
    assert_eq!(table.apply(2, &raise("two", "nino", 9)), Ok(lost.clone()));
    assert_eq!(bought(&table), 7);
    assert_eq!(table.judgement_of("two").expect("recent").judgement, lost);
}

// The reply to the first declaration of an organisation is lost, another operator deletes
// the organisation, and the paused writer then repeats its append, outside the id window.
// Without a tombstone the repeated record would count as a first declaration.
#[test]
fn a_repeated_declaration_does_not_restore_a_deleted_resource() {
    let windows = WindowRules {
        id_window: 1,
        ..WindowRules::CURRENT
    };
    let mut table = DeclarationTable::new(windows);
    let declared = put("first", "tbilisi", None, organisation('a', 1));
    table.apply(0, &declared).expect("applied");
    table
        .apply(1, &delete("gone", &organisation_key(), Some(0)))
        .expect("applied");
    table
        .apply(2, &delete("again", &organisation_key(), None))
        .expect("applied");
    let judgement = table.apply(3, &declared).expect("applied");
    assert!(
        matches!(
            judgement,
            Judgement::Lost {
                winner: Some(1),
                ..
            }
        ),
        "{judgement:?}"
    );
    assert!(table.get(&organisation_key()).is_none());
    let next = put("anew", "tbilisi", Some(1), organisation('a', 1));
    assert_eq!(table.apply(4, &next), Ok(Judgement::Accepted));
}

// An upgraded host appends a record of newer rules whose body the other hosts cannot
// parse. A host that judged the record by its own rules, or skipped it as malformed,
// would diverge from the others.
#[test]
fn a_record_of_newer_rules_stops_the_table() {
    let mut table = replayed(&raises(2));
    let mut tracker = ReadinessTracker::new(GRACE);
    let now = Instant::now();
    tracker.observe_applied(&table, now);
    assert_eq!(tracker.readiness(now), Readiness::Ready);
    let newer = format!(
        r#"{{"id":"x","rules":{},"body":{{"rename":1}}}}"#,
        JUDGING_RULES + 1
    );
    let stopped = ApplyError::UnknownRules {
        offset: 2,
        rules: JUDGING_RULES + 1,
        known: JUDGING_RULES,
    };
    assert_eq!(table.apply_raw(2, &newer), Err(stopped.clone()));
    let next = put("next", "tbilisi", Some(1), organisation('a', 9));
    assert_eq!(table.apply(3, &next), Err(stopped.clone()));
    assert_eq!(table.apply(2, &next), Err(stopped.clone()));
    assert_eq!(table.applied(), 2);
    tracker.observe_applied(&table, now);
    assert_eq!(
        tracker.readiness(now),
        Readiness::NotReady(NotReadyReason::UnknownRules)
    );

    let mut log = raises(2);
    log.push(newer);
    let obstacle = StartError::Stopped(stopped);
    assert!(matches!(start(&log, 0), StartDecision::NotReady(found) if found == obstacle));
    let mut newer_state = replayed(&raises(2)).checkpoint();
    newer_state.rules = JUDGING_RULES + 1;
    let error = DeclarationTable::from_checkpoint(&newer_state).expect_err("unknown rules");
    assert!(matches!(error, CheckpointError::UnknownRules { .. }));
}

// A host takes a checkpoint as of offset 3, is paused, and appends it after later
// changes. A reader that adopted the content of every checkpoint would go back to offset
// 3.
#[test]
fn a_checkpoint_appended_late_does_not_revert_the_state() {
    let mut log = raises(6);
    let old = replayed(&log[..3]).checkpoint();
    log.push(text(&checkpoint("paused", old)));
    let mut table = replayed(&log[..6]);
    assert_eq!(
        table.apply_raw(6, &log[6]),
        Ok(Judgement::CheckpointMatched)
    );
    assert_eq!(bought(&table), 6);
    // A start from this checkpoint replays the records after offset 3.
    let late = started(start(&log, 3));
    assert_eq!((bought(&late), late.hash()), (6, table.hash()));
}

// A host whose state is wrong appends a checkpoint of it. Without comparing states, or by
// trusting a hash that does not match its content, other hosts would not detect the fault
// or would start from the wrong state.
#[test]
fn a_differing_or_damaged_checkpoint_is_reported_and_not_used() {
    let mut log = raises(4);
    let table = replayed(&log);
    let mut other = raises(3);
    other.push(text(&put(
        "raise-3",
        "tbilisi",
        Some(2),
        organisation('a', 99),
    )));
    let differing = replayed(&other).checkpoint();
    let judgement = table
        .clone()
        .apply(4, &checkpoint("wrong", differing.clone()));
    let expected_judgement = Judgement::CheckpointDiffers {
        as_of: 4,
        ours: table.hash(),
        theirs: differing.hash,
    };
    assert_eq!(judgement, Ok(expected_judgement));

    let mut damaged = table.checkpoint();
    damaged.resources.clear();
    let error = DeclarationTable::from_checkpoint(&damaged).expect_err("damaged");
    assert_eq!(error, CheckpointError::Damaged { as_of: 4 });
    let mut reader = table;
    let record = checkpoint("cut", damaged);
    assert_eq!(
        reader.apply(4, &record),
        Ok(Judgement::CheckpointDamaged { as_of: 4 })
    );
    assert_eq!(bought(&reader), 4);
    assert_eq!(reader.newest_checkpoint(), None);
    log.push(text(&record));
    assert!(matches!(start(&log, 4), StartDecision::NotReady(_)));
}

// A checkpoint as of 2 is appended at offset 5 and the records up to 3 expire. The
// checkpoint is still in the log, but the changes 2 and 3 that it lacks are not.
#[test]
fn a_checkpoint_is_not_used_when_records_after_its_state_have_expired() {
    let mut log = raises(5);
    log.push(text(&checkpoint("old", replayed(&log[..2]).checkpoint())));
    assert_eq!(bought(&started(start(&log, 2))), 5);
    let obstacle = StartError::NoUsableCheckpoint { first_offset: 4 };
    let decision = start(&log, 4);
    assert!(
        matches!(&decision, StartDecision::NotReady(found) if *found == obstacle),
        "{decision:?}"
    );
    // Once another host appends a newer checkpoint, the same planner succeeds.
    let mut planner = StartPlanner::new(WindowRules::CURRENT, 1_000);
    planner.on_read(&read_response(&log, 4));
    log.push(text(&checkpoint("new", replayed(&log).checkpoint())));
    assert_eq!(
        bought(&started(planner.on_read(&read_response(&log, 4)))),
        5
    );
}

// A host at offset 3 restarts from a checkpoint because the log has expired up to 6,
// while a peer relays records to it. A table must not be replaced by an older one.
#[test]
fn a_host_that_missed_expired_records_never_goes_back() {
    let mut log = raises(6);
    log.push(text(&checkpoint("kept", replayed(&log).checkpoint())));
    let mut table = replayed(&log[..3]);
    assert!(table.missed_records(6));
    assert!(!table.missed_records(3));
    let fresh = started(start(&log, 6));
    table.supersede(fresh.clone()).expect("newer");
    assert_eq!(bought(&table), 6);
    let raise = put("raise-7", "tbilisi", Some(5), organisation('a', 8));
    table.apply(7, &raise).expect("applied");
    let error = table.supersede(fresh).expect_err("older");
    assert_eq!(
        error,
        CheckpointError::NotNewer {
            as_of: 7,
            applied: 8
        }
    );
    assert_eq!(bought(&table), 8);
}

// During a log outage a host learns offsets 9 and 5 from two peers and receives the older
// state, the newer one, and the older one again. It must not accept work before it
// reaches the highest known offset, and an older state must not replace a newer one.
#[test]
fn a_start_during_a_log_outage_waits_for_the_highest_known_offset() {
    let log = raises(9);
    let (older, newer) = (replayed(&log[..5]), replayed(&log));
    let relay = RecordRelay::new(KEPT);
    let now = Instant::now();
    let mut tracker = ReadinessTracker::new(GRACE);
    assert_eq!(
        tracker.readiness(now),
        Readiness::NotReady(NotReadyReason::NoConfiguration)
    );
    tracker.observe_end_offset(9, now);
    tracker.observe_end_offset(5, now);
    let mut table = DeclarationTable::default();
    table
        .apply_range(&relay.range(0, 10, &older))
        .expect("usable");
    tracker.observe_applied(&table, now);
    let behind = NotReadyReason::Behind {
        applied: 5,
        highest_known: 9,
    };
    assert_eq!(tracker.readiness(now), Readiness::NotReady(behind));
    table
        .apply_range(&relay.range(5, 10, &newer))
        .expect("usable");
    tracker.observe_applied(&table, now);
    assert_eq!(tracker.readiness(now), Readiness::Ready);
    table
        .apply_range(&relay.range(0, 10, &older))
        .expect("ignored");
    assert_eq!(bought(&table), 9);
}

// The log is unreachable for a zone, a peer relays records, and one relayed range is
// lost. The host must accept records from peers and must detect the gap.
#[test]
fn a_host_without_the_log_catches_up_from_its_peers() {
    let log = raises(9);
    let mut peer = DeclarationTable::default();
    let mut relay = RecordRelay::new(KEPT);
    let mut table = DeclarationTable::default();
    let now = Instant::now();
    let mut tracker = ReadinessTracker::new(GRACE);
    for (offset, body) in log.iter().enumerate() {
        peer.apply_raw(offset as LogOffset, body).expect("no gap");
        relay.push(offset as LogOffset, body.clone());
        if offset == 1 {
            table
                .apply_range(&relay.range(0, 10, &peer))
                .expect("usable");
            tracker.observe_applied(&table, now);
        }
    }
    tracker.observe_end_offset(9, now);
    assert_eq!(tracker.readiness(now + GRACE), Readiness::Ready);
    let late = now + GRACE + Duration::from_millis(1);
    assert!(matches!(tracker.readiness(late), Readiness::NotReady(_)));
    let gap = table.apply_range(&jackdawwick::replay::RelayRange {
        records: relay.range(7, 10, &peer).records,
        ..Default::default()
    });
    assert!(gap.is_err(), "a gap was passed over");
    let range = relay.range(table.applied(), 10, &peer);
    assert!(range.checkpoint.is_some(), "offset 2 is no longer kept");
    table.apply_range(&range).expect("usable");
    assert_eq!((table.hash(), bought(&table)), (peer.hash(), 9));
    tracker.observe_applied(&table, late);
    assert_eq!(tracker.readiness(late), Readiness::Ready);
    assert_eq!(relay.range(6, 2, &peer).records.len(), 2);
}

// A peer has missed expired records and continued from a checkpoint; a host asks it
// before its next record. The peer must send its state instead of texts from before the
// checkpoint, or nothing.
#[test]
fn a_peer_that_continued_from_a_checkpoint_sends_its_state() {
    let log = raises(9);
    let mut peer = replayed(&log[..3]);
    let mut relay = RecordRelay::new(KEPT);
    for (offset, body) in log[..3].iter().enumerate() {
        relay.push(offset as LogOffset, body.clone());
    }
    peer.supersede(replayed(&log[..8])).expect("newer");
    for requested_offset in [1, 3, 5] {
        let mut behind = replayed(&log[..requested_offset as usize]);
        let range = relay.range(requested_offset, 10, &peer);
        behind.apply_range(&range).expect("usable");
        assert_eq!(behind.applied(), 8, "asked from {requested_offset}");
        assert_eq!(bought(&behind), 8);
    }
    peer.apply_raw(8, &log[8]).expect("next");
    relay.push(8, log[8].clone());
    assert_eq!(relay.range(8, 10, &peer).records.len(), 1);
}

// Each heartbeat names a newer offset before the previous one was applied. If the lag
// were counted from the first change, every host would become unready although each
// record arrives in time.
#[test]
fn a_host_that_keeps_up_stays_ready_under_steady_changes() {
    let log = raises(20);
    let started_at = Instant::now();
    let mut tracker = ReadinessTracker::new(GRACE);
    tracker.observe_applied(&replayed(&log[..1]), started_at);
    for second in 1..20 {
        let now = started_at + Duration::from_secs(second as u64);
        tracker.observe_end_offset(second as LogOffset + 1, now);
        tracker.observe_applied(&replayed(&log[..second]), now);
        assert_eq!(tracker.readiness(now), Readiness::Ready, "second {second}");
    }
}

// No change is made for days and the last checkpoint expires with the records before it.
// If checkpoints were due by number of records only, no host could start any more.
#[test]
fn a_checkpoint_is_due_before_an_idle_log_expires() {
    let schedule = CheckpointSchedule {
        max_records: 4,
        max_age: Duration::from_secs(3_600),
    };
    let horizon = |first_offset, seconds| LogHorizon {
        first_offset,
        newest_age: Some(Duration::from_secs(seconds)),
    };
    let empty = DeclarationTable::default();
    assert!(!empty.should_checkpoint(&horizon(0, 9_999), &schedule));
    let mut table = replayed(&raises(3));
    assert!(table.should_checkpoint(&horizon(0, 0), &schedule));
    table
        .apply(3, &checkpoint("one", table.checkpoint()))
        .expect("applied");
    assert!(!table.should_checkpoint(&horizon(3, 3_599), &schedule));
    assert!(table.should_checkpoint(&horizon(3, 3_600), &schedule));
    assert!(table.should_checkpoint(&horizon(4, 0), &schedule));
    let unknown_age = LogHorizon {
        first_offset: 0,
        newest_age: None,
    };
    assert!(table.should_checkpoint(&unknown_age, &schedule));
    table.apply_raw(4, "noise").expect("applied");
    table.apply_raw(5, "noise").expect("applied");
    assert!(!table.should_checkpoint(&horizon(3, 0), &schedule));
    table.apply_raw(6, "noise").expect("applied");
    assert!(table.should_checkpoint(&horizon(3, 0), &schedule));
}

// Records expire by number, and the state of the newest checkpoint expires before the
// next checkpoint is appended. Until then no host could start, and if all hosts were lost
// the configuration would be lost.
#[test]
fn a_checkpoint_is_due_before_the_newest_one_expires() {
    let schedule = CheckpointSchedule {
        max_records: 1_000,
        max_age: Duration::from_secs(3_600),
    };
    let mut table = replayed(&raises(8));
    let own = checkpoint("one", table.checkpoint());
    table.apply(8, &own).expect("applied");
    let kept = 12;
    for offset in 9..40_u64 {
        table.apply_raw(offset, "noise").expect("applied");
        let horizon = LogHorizon {
            first_offset: table.applied().saturating_sub(kept),
            newest_age: Some(Duration::ZERO),
        };
        if table.should_checkpoint(&horizon, &schedule) {
            assert!(horizon.first_offset <= 8, "too late: {horizon:?}");
            assert!(horizon.first_offset > 0, "too early: {horizon:?}");
            return;
        }
    }
    panic!("never due");
}

// A program version that serializes a resource differently, such as with an additional
// field, would reject the checkpoints of the previous version as damaged. A different
// hash needs new judging rules, or a field that is omitted at its default.
#[test]
fn the_hash_of_a_known_state_is_stable() {
    let mut table = DeclarationTable::default();
    let records = [
        put("a", "m", None, model("v1", &[("v1", 2)])),
        put("b", "t", None, target(TargetKind::Engine, 0.1)),
        put("c", "p", None, pipeline("m", "v1", &[(1, "t")])),
        put("d", "u", None, target(TargetKind::Service, 2.5)),
        put("e", "s", None, service("u")),
        put("f", "tbilisi", None, organisation('a', 3)),
        delete("g", &organisation_key(), Some(5)),
    ];
    for (offset, record) in records.iter().enumerate() {
        let judgement = table.apply(offset as LogOffset, record);
        assert_eq!(judgement, Ok(Judgement::Accepted), "{record:?}");
    }
    insta::assert_snapshot!(table.hash(), @"ef0ee67ef3db50da92e8b83693f855d58e74a37417df8fe6cc7efb95a14bd714");
}
