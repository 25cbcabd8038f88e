//! Targets that restart under their id, and records of other writers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jackdawwick::entry::{
    LogCopy, RecordTime, RelayedLog, StartVerdict, TargetFollower, TargetStarts, TargetTiming,
};
use jackdawwick::fleet::{RequestSize, TargetEntry, TargetHeartbeat, target_key};
use jackdawwick::forward::{InFlightGuard, ServingTables};
use jackdawwick::ids::LogPosition;
use jackdawwick::peer::FollowReply;
use jackdawwick::permits::{LimitObservation, RateLimit};
use jackdawwick::platform::configuration_record::parse_configuration;
use jackdawwick::platform::log_calls::{KeyedRead, KeyedRecord, LogError};
use jackdawwick::platform::target_record::{parse_report, parse_target, platform_id};
use jackdawwick::retry::WindowSettings;
use proptest::prelude::*;
use serde_json::{Value, json};

fn heartbeat(born: Option<u64>) -> Value {
    let mut body = json!({
        "service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready", "kind": "fast",
        "version": "v", "slots": 4, "cold_remaining_ms": 0, "sequence": 1,
        "layers": {"from": 0, "to": 8}
    });
    if let Some(born) = born {
        body["born"] = born.into();
    }
    body
}

fn parsed(born: u64) -> TargetHeartbeat {
    let value = heartbeat(Some(born)).to_string();
    parse_target("i-1", value.as_bytes()).expect("a heartbeat")
}

fn entry(born: u64) -> TargetEntry {
    parsed(born).entry
}

fn open_copy() -> (Arc<ServingTables>, LogCopy) {
    let budget = WindowSettings {
        window: Duration::from_secs(1),
        ratio: 0.0,
        slack: 0.0,
        opened: Instant::now(),
    };
    let tables = Arc::new(ServingTables::new("h".into(), "z".into(), budget));
    (tables.clone(), LogCopy::new(tables))
}

fn position(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

fn observe(copy: &LogCopy, id: &str, offset: u64, value: &Value) {
    let value = value.to_string();
    copy.observe_target(id, position(offset), value.as_bytes(), read_now());
}

/// A record that the log took and this host read at `moment`.
fn read_at(moment: Instant) -> RecordTime {
    RecordTime {
        written_after: Some(moment),
        read: moment,
    }
}

fn read_now() -> RecordTime {
    read_at(Instant::now())
}

fn known_ids(tables: &ServingTables) -> Vec<String> {
    let fleet = tables.fleet.lock();
    let ids = fleet.targets().map(|state| state.entry.id.to_string());
    ids.collect()
}

#[test]
fn platform_id_omits_the_start() {
    let entry = entry(1_700_000_000_000);
    assert_eq!(platform_id(&entry.id), "i-1");
    assert_ne!(&*entry.id, "i-1");
}

/// Guards against a restarted engine that gets no requests or counts as busy: it fails,
/// crashes with requests on it and starts under the same id. State of the previous start
/// must not apply to the new one.
#[test]
fn new_start_has_no_state_of_the_previous_one() {
    let (tables, copy) = open_copy();
    let now = Instant::now();
    observe(&copy, "i-1", 4, &heartbeat(Some(100)));
    let before = entry(100).id;
    let size = RequestSize {
        prompt: 10,
        answer: 10,
    };
    let guard = InFlightGuard::open(tables.clone(), vec![(before.clone(), size.load(8))]);
    {
        let mut fleet = tables.fleet.lock();
        fleet.observe_silence(&before, now);
        fleet.observe_pace(&before, 8.0, now);
        fleet.observe_full(&before, now);
    }
    let mut empty = heartbeat(Some(900));
    empty["layers"] = Value::Null;
    observe(&copy, "i-1", 9, &empty);
    let fleet = tables.fleet.lock();
    assert!(fleet.get(&before).is_none(), "the start before is kept");
    let state = fleet.get(&entry(900).id).expect("the new start");
    assert_eq!(state.entry.layers, None);
    assert_eq!(state.load().requests, 0);
    assert!(state.is_usable(now) && !state.is_full(now));
    assert!((state.pace(now) - 1.0).abs() < f64::EPSILON);
    drop(fleet);
    // A request that ends only now never ran on the new start.
    drop(guard);
    let fleet = tables.fleet.lock();
    let state = fleet.get(&entry(900).id).expect("the new start");
    assert_eq!(state.load().requests, 0);
}

/// Guards against requests over layers that no engine holds: a heartbeat that was in flight
/// when an engine crashed is written after the first one of the new start.
#[test]
fn late_record_of_a_previous_start_is_ignored() {
    let (tables, copy) = open_copy();
    observe(&copy, "i-1", 4, &heartbeat(Some(900)));
    observe(&copy, "i-1", 5, &heartbeat(Some(100)));
    assert_eq!(known_ids(&tables), [entry(900).id.to_string()]);
}

/// Guards against an engine that is never used again: its clock is set back before it
/// restarts, so that the new start looks older than the previous one.
#[test]
fn start_with_an_earlier_clock_is_accepted_after_three_records() {
    let mut starts = TargetStarts::default();
    let start = Instant::now();
    let mut observe = |born, second| {
        let time = read_at(start + Duration::from_secs(second));
        starts.observe("i-1", &parsed(born), time)
    };
    assert_eq!(observe(900, 0), StartVerdict::Current);
    assert_eq!(observe(100, 15), StartVerdict::Ended);
    assert_eq!(observe(900, 16), StartVerdict::Current);
    let verdicts = [observe(100, 17), observe(100, 18), observe(100, 19)];
    let reinstated = StartVerdict::Reinstated(Some(entry(900).id));
    assert_eq!(
        verdicts,
        [StartVerdict::Ended, StartVerdict::Ended, reinstated]
    );
    // A late record of the start before, whose clock was ahead.
    assert_eq!(observe(900, 20), StartVerdict::Ended);
    assert_eq!(observe(100, 21), StartVerdict::Current);
}

/// Guards against requests to a start of an engine that has ended: the log takes a series of
/// its heartbeats after those of the new start, which may itself have left.
#[test]
fn late_records_of_an_earlier_start_do_not_replace_the_running_one() {
    for leaves in [false, true] {
        let mut starts = TargetStarts::default();
        let start = Instant::now();
        starts.observe("i-1", &parsed(100), read_at(start));
        starts.observe("i-1", &parsed(900), read_at(start));
        if leaves {
            starts.remove("i-1", u64::MAX);
        }
        for late_ms in [1_000, 2_200, 3_400, 4_600, 6_000] {
            let time = read_at(start + Duration::from_millis(late_ms));
            let verdict = starts.observe("i-1", &parsed(100), time);
            assert_eq!(
                verdict,
                StartVerdict::Ended,
                "leaves: {leaves}, {late_ms} ms"
            );
        }
    }
}

#[test]
fn leaving_target_removes_its_newest_start() {
    let (tables, copy) = open_copy();
    observe(&copy, "i-1", 4, &heartbeat(Some(100)));
    observe(&copy, "i-1", 5, &heartbeat(Some(900)));
    copy.remove_target("i-1", position(6), "entry dropped");
    assert!(known_ids(&tables).is_empty());
}

/// Guards against a host that loses its targets, or sends requests to something that is no
/// engine, after another writer left an entry whose fields are missing, of another type or
/// unknown.
#[test]
fn unreadable_records_name_no_target_and_others_stay() {
    let (tables, copy) = open_copy();
    observe(&copy, "i-1", 0, &heartbeat(None));
    let mut foreign = vec![b"\xff\xfe".to_vec(), b"null".to_vec()];
    foreign.push("[".repeat(100_000).into_bytes());
    foreign.push(heartbeat(None).to_string().as_bytes()[..40].to_vec());
    let required = [
        "service", "address", "zone", "state", "version", "slots", "sequence",
    ];
    for field in required {
        let mut missing = heartbeat(None);
        missing.as_object_mut().expect("fields").remove(field);
        foreign.push(missing.to_string().into_bytes());
    }
    let invalid = [
        ("service", json!([1])),
        ("address", json!("nowhere")),
        ("slots", json!("many")),
        ("state", json!("asleep")),
        ("born", json!("yesterday")),
        ("born", json!(12.5)),
        ("born", json!(-1)),
        ("layers", json!({"from": -1, "to": 3})),
        ("kind", json!(7)),
    ];
    for (field, content) in invalid {
        let mut value = heartbeat(None);
        value[field] = content;
        foreign.push(value.to_string().into_bytes());
    }
    for (offset, bytes) in (1..).zip(&foreign) {
        copy.observe_target(&format!("x-{offset}"), position(offset), bytes, read_now());
        assert_eq!(known_ids(&tables), ["i-1"], "after record {offset}");
    }
    let whole = heartbeat(None).to_string();
    copy.observe_target("i@2", position(100), whole.as_bytes(), read_now());
    assert_eq!(known_ids(&tables), ["i-1"]);
}

#[test]
fn unreadable_record_removes_its_target_until_the_next_heartbeat() {
    let (tables, copy) = open_copy();
    observe(&copy, "i-1", 0, &heartbeat(Some(100)));
    copy.observe_target("i-1", position(1), b"{}", read_now());
    assert!(known_ids(&tables).is_empty());
    observe(&copy, "i-1", 2, &heartbeat(Some(100)));
    assert_eq!(known_ids(&tables).len(), 1);
}

/// Any JSON, up to a depth that real writers could reach.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9.:@-]{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 16, 4, |inner| {
        let list = prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from);
        let table = prop::collection::btree_map("[a-z_]{1,8}", inner, 0..4);
        prop_oneof![
            list,
            table.prop_map(|table| Value::Object(table.into_iter().collect()))
        ]
    })
}

fn numbered(number: u64, state: &str) -> Value {
    let mut body = heartbeat(None);
    body["sequence"] = number.into();
    body["state"] = state.into();
    body
}

fn started_as(number: u64, state: &str) -> Value {
    let mut body = numbered(number, state);
    body["born"] = 100.into();
    body
}

fn started(number: u64) -> Value {
    started_as(number, "ready")
}

fn timing() -> TargetTiming {
    TargetTiming {
        drain: Duration::from_secs(2),
        heartbeat: Duration::from_millis(1200),
    }
}

fn is_known(tables: &ServingTables) -> bool {
    !known_ids(tables).is_empty()
}

fn is_draining(tables: &ServingTables) -> Option<bool> {
    let fleet = tables.fleet.lock();
    fleet.get("i-1").map(|state| state.entry.draining)
}

/// Guards against requests to a draining target: the log takes a heartbeat of before its
/// report seconds late, at a later offset.
#[test]
fn late_heartbeat_does_not_undo_draining() {
    let (tables, copy) = open_copy();
    observe(&copy, "i-1", 4, &numbered(7, "ready"));
    observe(&copy, "i-1", 5, &numbered(9, "draining"));
    observe(&copy, "i-1", 6, &numbered(8, "ready"));
    assert_eq!(is_draining(&tables), Some(true));
    observe(&copy, "i-1", 7, &numbered(9, "ready"));
    assert_eq!(is_draining(&tables), Some(true));
}

/// A target whose entry expired while it could not write returns with its next heartbeat.
#[test]
fn expired_entry_returns_with_the_next_heartbeat() {
    let (tables, copy) = open_copy();
    observe(&copy, "i-1", 4, &numbered(7, "ready"));
    copy.remove_target("i-1", position(5), "entry dropped");
    observe(&copy, "i-1", 6, &numbered(6, "ready"));
    assert_eq!(is_draining(&tables), None);
    observe(&copy, "i-1", 7, &numbered(8, "ready"));
    assert_eq!(is_draining(&tables), Some(false));
}

/// Guards against a target that is never used again: it restarts under its id, numbers its
/// heartbeats from one, and does not write when it started.
#[test]
fn restart_without_a_start_time_is_accepted_after_three_heartbeats() {
    let (tables, copy) = open_copy();
    let start = Instant::now();
    let observe = |second, number, state| {
        let value = numbered(number, state).to_string();
        let time = read_at(start + Duration::from_secs(second));
        copy.observe_target("i-1", position(second), value.as_bytes(), time);
    };
    observe(4, 70, "draining");
    // Within this time they may be late heartbeats of the start before.
    for (second, number) in [(5, 1), (6, 2), (7, 3), (18, 14)] {
        observe(second, number, "ready");
        assert_eq!(is_draining(&tables), Some(true), "at {second} s");
    }
    observe(19, 15, "ready");
    assert_eq!(is_draining(&tables), Some(false));
    observe(20, 16, "draining");
    assert_eq!(is_draining(&tables), Some(true));
}

/// Guards against an engine that hosts which follow a reader of the log never use again: its
/// clock is set back before it restarts.
#[test]
fn start_with_an_earlier_clock_reaches_hosts_that_follow() {
    let (_, reader) = open_copy();
    let reader = Arc::new(reader);
    let mut follower = TargetFollower::open(reader.clone(), timing());
    let (tables, copy) = open_copy();
    let mut relayed = RelayedLog::open(tables.clone(), Arc::new(copy));
    let start = Instant::now();
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        let born = match second {
            0..20 => 900,
            _ => 100,
        };
        let record = ("i-1", Some(heartbeat(Some(born))));
        follower.apply_read(read(second, &[record]), now);
        let request = relayed.request(&"reader".into(), Duration::ZERO, now);
        let reply = FollowReply {
            incarnation: 1,
            fresh: true,
            ..reader.reply(request, request.incarnation == 1, now)
        };
        relayed.apply(&"reader".into(), reply, now);
    }
    assert_eq!(known_ids(&tables), [entry(100).id.to_string()]);
}

/// Guards against a target that is never used again: another writer dropped its entry, so
/// that it was taken to have left, and it goes on.
#[test]
fn target_that_goes_on_after_its_removal_is_used_again() {
    let (tables, copy) = open_copy();
    let start = Instant::now();
    let mut follower = TargetFollower::open(Arc::new(copy), timing());
    let mut apply = |second, records: &[NamedRecord<'_>]| {
        let now = start + Duration::from_secs(second);
        follower.apply_read(read(second, records), now);
    };
    apply(0, &[]);
    apply(1, &[("i-1", Some(started(7)))]);
    apply(2, &[("i-1", None)]);
    for second in 3..17 {
        apply(second, &[("i-1", Some(started(6 + second)))]);
        assert!(!is_known(&tables), "at {second} s");
    }
    apply(17, &[("i-1", Some(started(23)))]);
    assert!(is_known(&tables));
}

/// Guards against requests to a target that left: the log takes a series of its heartbeats
/// after the removal of its entry, or after its report that it is draining.
#[test]
fn series_of_late_heartbeats_does_not_undo_leaving_or_draining() {
    for leaves in [true, false] {
        let (tables, copy) = open_copy();
        let start = Instant::now();
        let mut follower = TargetFollower::open(Arc::new(copy), timing());
        let mut apply = |at_ms, offset, records: &[NamedRecord<'_>]| {
            let now = start + Duration::from_millis(at_ms);
            follower.apply_read(read(offset, records), now);
        };
        apply(0, 0, &[]);
        apply(600, 0, &[("i-1", Some(started(13)))]);
        match leaves {
            true => apply(1_200, 1, &[("i-1", None)]),
            false => apply(1_200, 1, &[("i-1", Some(started_as(14, "draining")))]),
        }
        let is_usable = || {
            let fleet = tables.fleet.lock();
            fleet.targets().any(|state| !state.entry.draining)
        };
        assert!(!is_usable());
        for (late, number) in (9..13).enumerate() {
            let late = late as u64;
            apply(
                1_800 + 1_200 * late,
                2 + late,
                &[("i-1", Some(started(number)))],
            );
            assert!(!is_usable(), "leaves: {leaves}, heartbeat {number}");
        }
    }
}

/// Guards against late heartbeats that add up: each of them comes between current ones.
#[test]
fn late_heartbeats_between_current_ones_never_count() {
    let (tables, copy) = open_copy();
    observe(&copy, "i-1", 0, &numbered(50, "draining"));
    for round in 0..10 {
        observe(&copy, "i-1", 2 * round + 1, &numbered(40 + round, "ready"));
        assert_eq!(is_draining(&tables), Some(true));
        observe(
            &copy,
            "i-1",
            2 * round + 2,
            &numbered(51 + round, "draining"),
        );
    }
}

type NamedRecord<'a> = (&'a str, Option<Value>);

fn read(offset: u64, records: &[NamedRecord<'_>]) -> Result<KeyedRead, LogError> {
    read_in(0, offset, records)
}

fn read_in(era: u64, offset: u64, records: &[NamedRecord<'_>]) -> Result<KeyedRead, LogError> {
    let at = |offset| LogPosition { era, offset };
    let next = at(offset + records.len() as u64);
    let records = (offset..).zip(records);
    let records = records.map(|(offset, (key, value))| KeyedRecord {
        position: at(offset),
        key: (*key).to_owned(),
        value: value.as_ref().map(|value| value.to_string().into_bytes()),
    });
    let records = records.collect();
    Ok(KeyedRead { next, records })
}

/// Guards against requests to a target that is draining or left: older copies of the log,
/// to which it is restored twice, list the target as ready.
#[test]
fn older_copies_do_not_undo_draining_or_leaving() {
    let (tables, copy) = open_copy();
    let mut follower = TargetFollower::open(Arc::new(copy), timing());
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let ready = || ("i-1", Some(numbered(7, "ready")));
    let draining = || ("i-1", Some(numbered(9, "draining")));
    follower.apply_read(read_in(1, 40, &[draining()]), at(0));
    follower.apply_read(Err(LogError::Restored(2)), at(1));
    follower.apply_read(read_in(2, 12, &[ready()]), at(1));
    assert_eq!(is_draining(&tables), Some(true));
    follower.apply_read(read_in(2, 13, &[("i-1", None)]), at(5));
    assert_eq!(is_draining(&tables), None);
    follower.apply_read(Err(LogError::Restored(3)), at(6));
    follower.apply_read(read_in(3, 12, &[ready()]), at(6));
    follower.apply_read(read_in(3, 13, &[draining()]), at(7));
    assert_eq!(is_draining(&tables), None);
}

/// Guards against requests to a target that left without reporting that it drains: the log
/// takes its last heartbeat, which no host has seen, after the removal of its entry. A
/// target whose entry expired returns by the same record.
#[test]
fn late_heartbeat_restores_an_expired_target_but_not_one_that_left() {
    const HEARTBEAT: Duration = Duration::from_millis(1200);
    for (silence, returns) in [(HEARTBEAT, false), (HEARTBEAT * 4, true)] {
        let (tables, copy) = open_copy();
        let timing = TargetTiming {
            drain: Duration::from_secs(2),
            heartbeat: HEARTBEAT,
        };
        let mut follower = TargetFollower::open(Arc::new(copy), timing);
        let start = Instant::now();
        follower.apply_read(read(0, &[("i-1", Some(numbered(7, "ready")))]), start);
        let mut now = start + HEARTBEAT / 2;
        follower.apply_read(read(1, &[("i-1", Some(numbered(8, "ready")))]), now);
        let dropped = now + silence;
        while now < dropped {
            now += HEARTBEAT / 2;
            follower.apply_read(read(2, &[]), now);
        }
        follower.apply_read(read(2, &[("i-1", None)]), now);
        assert_eq!(is_draining(&tables), None);
        now += HEARTBEAT / 2;
        follower.apply_read(read(3, &[("i-1", Some(numbered(9, "ready")))]), now);
        let expected = returns.then_some(false);
        assert_eq!(is_draining(&tables), expected, "after {silence:?}");
    }
}

/// Guards against a target over its limit: its entry expires for a moment, while it could not
/// write, and every host forgets the limit with it.
#[test]
fn limit_of_a_target_outlives_its_entry() {
    let (tables, copy) = open_copy();
    let now = Instant::now();
    let key = target_key(&entry(100).id);
    let limit = || {
        let limits = tables.limits.lock();
        limits.limit(key).map(RateLimit::per_second)
    };
    observe(&copy, "i-1", 4, &started(7));
    let observation = LimitObservation {
        rate: RateLimit::new(4.0),
        sent: now,
        received: now,
    };
    tables.limits.lock().observe(key, observation);
    copy.remove_target("i-1", position(5), "entry dropped");
    observe(&copy, "i-1", 6, &started(8));
    assert_eq!(limit(), Some(4.0));
    // Another start has said nothing yet.
    observe(&copy, "i-1", 7, &heartbeat(Some(900)));
    assert_eq!(limit(), None);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Whatever the value of one field, the record is an entry or an error, and another
    /// target's entry stays.
    #[test]
    fn any_field_value_gives_an_entry_or_an_error(
        field in 0_usize..11,
        content in any_json(),
    ) {
        let (tables, copy) = open_copy();
        observe(&copy, "i-1", 0, &heartbeat(Some(100)));
        let mut value = heartbeat(Some(100));
        let names = value.as_object().expect("fields").keys().cloned().collect::<Vec<_>>();
        value[&names[field]] = content;
        observe(&copy, "i-2", 1, &value);
        prop_assert!(known_ids(&tables).contains(&entry(100).id.to_string()));
        let _ = parse_report(value.to_string().as_bytes());
        let _ = parse_configuration(value.to_string().as_bytes());
    }

    #[test]
    fn any_bytes_give_an_entry_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let (tables, copy) = open_copy();
        observe(&copy, "i-1", 0, &heartbeat(Some(100)));
        copy.observe_target("i-2", position(1), &bytes, read_now());
        let _ = parse_report(&bytes);
        let _ = parse_configuration(&bytes);
        prop_assert_eq!(known_ids(&tables).len(), 1);
    }
}

/// Guards against a deadlock: a host applies a record while another thread replies to a
/// peer. Neither may hold the lock of the copy while it waits for that of the targets, or
/// the reverse.
#[test]
fn locks_are_not_held_while_waiting_for_another() {
    let (tables, copy) = open_copy();
    let copy = Arc::new(copy);
    observe(&copy, "i-1", 4, &heartbeat(Some(100)));
    let fleet = tables.fleet.lock();
    let writer = copy.clone();
    let writing = std::thread::spawn(move || observe(&writer, "i-1", 5, &heartbeat(Some(100))));
    std::thread::sleep(Duration::from_millis(50));
    let (done, waiting) = std::sync::mpsc::channel();
    let reading = std::thread::spawn(move || {
        // An outdated record needs only the lock of the copy.
        observe(&copy, "i-1", 1, &heartbeat(Some(100)));
        done.send(())
    });
    let received = waiting.recv_timeout(Duration::from_secs(5));
    drop(fleet);
    writing.join().expect("a writer");
    assert!(received.is_ok(), "the copy's lock was held");
    reading.join().expect("a reader").expect("a receiver");
}

#[test]
fn report_contains_the_start() {
    let report = parse_report(br#"{"born": 77}"#).expect("a report");
    assert_eq!(report.started_ms, Some(77));
    let address = "10.0.0.1:80".parse::<SocketAddr>().expect("an address");
    assert_eq!(entry(1).address, address);
}
