//! Rules of claims that the model test in `claims_model.rs` does not check one by one.

#![allow(clippy::unwrap_used)] // A test may panic on a missing value.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jackdawwick::claims::key::{KeyError, parse_key};
use jackdawwick::claims::machine::{
    ClaimDecision, ClaimEvent, ClaimMachine, ClaimPolicy, ClaimRequest,
};
use jackdawwick::claims::record::{
    ClaimBody, ClaimEntry, ClaimName, ClaimOwner, RequestFingerprint, TimeMark,
};
use jackdawwick::claims::response::{ClaimRefusal, ClaimResponse};
use jackdawwick::claims::table::{ClaimJudgement, ClaimTable};
use jackdawwick::claims::window::{ClaimTime, ClaimWindow};
use jackdawwick::records::{JUDGING_RULES, LogRecord};
use jackdawwick::verdict::RunVerdict;

const WINDOW: Duration = Duration::from_secs(100);
const SKEW: Duration = Duration::from_secs(2);
const SECOND: Duration = Duration::from_secs(1);

fn table() -> ClaimTable {
    ClaimTable::new(ClaimWindow::new(WINDOW, SKEW, WINDOW * 2).unwrap())
}

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_800_000_000 + seconds)
}

fn time(wall: SystemTime) -> ClaimTime {
    let instant = Instant::now();
    ClaimTime { instant, wall }
}

fn mark(seen: u64, written: SystemTime) -> LogRecord<ClaimBody> {
    LogRecord {
        id: "mark".into(),
        rules: JUDGING_RULES,
        writer: "vake-1".into(),
        incarnation: 1,
        body: ClaimBody {
            mark: TimeMark { seen, written },
            entry: ClaimEntry::Mark,
        },
    }
}

fn machine(claim: &str, incarnation: u64, body: &[u8], now: ClaimTime) -> ClaimMachine {
    let request = ClaimRequest {
        claim: claim.into(),
        name: ClaimName {
            organisation: "franchise".into(),
            key: "key".into(),
        },
        created: now.wall,
        request: "r".into(),
        fingerprint: RequestFingerprint::of("ledger", body),
        deadline: now.instant + SECOND,
    };
    let owner = ClaimOwner {
        host: "vake-1".into(),
        incarnation,
    };
    let policy = ClaimPolicy {
        retry_after: SECOND,
        query_timeout: SECOND,
        settle_delay: SECOND,
    };
    ClaimMachine::new(request, owner, policy)
}

const BEGIN: ClaimEvent = ClaimEvent::Begin {
    log_available: true,
};

fn refusal(decisions: &[ClaimDecision]) -> ClaimRefusal {
    match decisions.first().unwrap() {
        ClaimDecision::Respond(ClaimResponse::Refused { refusal, .. }) => *refusal,
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn keys_carry_their_creation_time_and_are_normalised() {
    let plain = parse_key("01932c07-a8e0-7000-8000-00000000002a").unwrap();
    let quoted = parse_key(" \"01932C07A8E0700080000000000002A0\" ");
    let capitals = parse_key("\"01932C07-A8E0-7000-8000-00000000002A\"").unwrap();
    assert_eq!(plain, capitals);
    assert_eq!(
        plain.created,
        UNIX_EPOCH + Duration::from_millis(0x0193_2c07_a8e0)
    );
    assert!(quoted.is_ok());
    assert_eq!(parse_key("settle-up-17"), Err(KeyError::NotUuid));
    let random = parse_key("3f0f0c39-6f3b-4a7e-9b64-0c1f2d3e4a5b");
    assert_eq!(random, Err(KeyError::NoTime(4)));
}

/// Guards against a second run of a request on a host that started recently. The claim on
/// the key has expired from the log before its window ended, so the host finds the key
/// free. It may accept keys only once it knows that the records it missed are old enough.
/// A record's own time does not show that, as it may be appended late; the time mark of a
/// writer that had read past the missed records does.
#[test]
fn starting_host_waits_until_missed_claims_no_longer_count() {
    let mut table = table();
    assert!(!table.covers(at(0)), "nothing read yet");
    table.observe_read(50, at(1000));
    assert!(!table.covers(at(1000)));
    assert!(!table.covers(at(1104)));
    assert!(table.covers(at(1105)), "window and skew have passed");

    table.apply(50, &mark(49, at(800)));
    assert!(!table.covers(at(1000)), "its writer had not read record 49");
    table.apply(51, &mark(50, at(895)));
    assert!(table.covers(at(1000)));

    table.observe_read(60, at(1010));
    assert!(!table.covers(at(1010)), "records 52..60 expired unread");
    let begun = machine("c", 1, b"", time(at(1010))).handle(BEGIN, &table, time(at(1010)));
    assert_eq!(refusal(&begun), ClaimRefusal::NotCovered);
}

/// Guards against a host that reports itself ready and reaches other results than the
/// rest, because it skips records with newer rules as if they were irrelevant.
#[test]
fn newer_rules_end_coverage() {
    let mut table = table();
    table.observe_read(0, at(0));
    assert!(table.covers(at(0)));
    let junk = table.apply_raw(0, "{\"rules\":1}").judgement;
    assert_eq!(junk, ClaimJudgement::Ignored);
    assert!(table.covers(at(0)), "not a record of this system");
    let newer = format!("{{\"rules\":{},\"parts\":[]}}", JUDGING_RULES + 1);
    let judgement = table.apply_raw(1, &newer).judgement;
    assert_eq!(judgement, ClaimJudgement::UnknownRules);
    assert!(!table.covers(at(0)));
    assert_eq!(table.next_offset(), 2);
}

/// Guards against accepting a key again after its claim was pruned. The wall clock runs
/// ahead, the table prunes, the clock is set back; the clock alone would then accept the
/// key.
#[test]
fn clock_set_back_does_not_revive_pruned_keys() {
    let mut table = table();
    table.observe_read(0, at(0));
    assert_eq!(table.admit(at(0), at(10)), Ok(()));
    table.prune(at(500));
    assert_eq!(table.admit(at(0), at(10)), Err(ClaimRefusal::KeyExpired));
    assert_eq!(
        table.admit(at(450), at(440)),
        Err(ClaimRefusal::KeyFromFuture)
    );
}

/// Guards against a `NotRun` verdict on a request that an earlier incarnation of the
/// daemon may have sent, and against running a different request under its key. A claim
/// without a withdrawal must not count as one that was never dispatched.
#[test]
fn claim_of_a_dead_incarnation_stays_unknown() {
    let mut table = table();
    let now = time(at(0));
    table.observe_read(0, now.wall);
    let begun = machine("old", 1, b"pay", now).handle(BEGIN, &table, now);
    let [ClaimDecision::Append(record)] = &begun[..] else {
        panic!("no claim appended: {begun:?}");
    };
    assert_eq!(table.apply(0, record), ClaimJudgement::Won);

    let response = machine("new", 2, b"pay", now).handle(BEGIN, &table, now);
    assert_eq!(response, [ClaimDecision::Respond(ClaimResponse::Unknown)]);
    assert_eq!(ClaimResponse::Unknown.verdict(), RunVerdict::MayHaveRun);
    let other = machine("other", 2, b"pay twice", now).handle(BEGIN, &table, now);
    assert_eq!(refusal(&other), ClaimRefusal::KeyReused);
}

#[test]
fn log_outage_refuses_at_once() {
    let mut table = table();
    let now = time(at(0));
    table.observe_read(0, now.wall);
    let outage = ClaimEvent::Begin {
        log_available: false,
    };
    let decisions = machine("c", 1, b"pay", now).handle(outage, &table, now);
    let refused = ClaimResponse::Refused {
        refusal: ClaimRefusal::LogUnavailable,
        retry_after: Some(SECOND),
    };
    assert_eq!(refused.verdict(), RunVerdict::NotRun);
    assert_eq!(decisions, [ClaimDecision::Respond(refused)]);
}

#[test]
fn window_must_fit_the_log() {
    assert!(ClaimWindow::new(WINDOW, SKEW, WINDOW).is_err());
    assert!(ClaimWindow::new(WINDOW, SKEW, Duration::from_secs(157)).is_ok());
}
