//! Decisions on parts of prompts under which targets end.

use std::time::{Duration, Instant};

use http::HeaderMap;
use http::header::HeaderValue;
use jackdawwick::platform::names;
use jackdawwick::platform::prompt_parts::parse_shared_parts;
use jackdawwick::poison::{
    EndSource, PoisonEvent, PoisonEvidence, PoisonJudgement, PoisonTable, RequestSuspects, part_key,
};

/// Time after which a part under which two targets ended is refused.
const DECIDED: Duration = Duration::from_millis(1100);
/// Maximum number of parts that a table remembers, on which its memory budget rests.
const MAX_PARTS: usize = 256;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns a request of an organisation, whose prompt has some parts.
fn request(number: u64, organisation: u16, parts: &[&str]) -> RequestSuspects {
    RequestSuspects {
        // Short keys would share their first bits.
        request: number << 40,
        organisation,
        parts: parts.iter().map(|part| part_key("engines", part)).collect(),
    }
}

fn target(number: u64) -> u64 {
    number << 40
}

fn is_refused(table: &PoisonTable, suspects: &RequestSuspects, now: Instant) -> bool {
    let judgement = table.judge(suspects, now);
    matches!(judgement, PoisonJudgement::Part(_))
}

/// Returns a table in which two targets ended under two requests with these parts.
fn table_with_ends(parts: &[&str], now: Instant) -> PoisonTable {
    let mut table = PoisonTable::default();
    for number in 1..=2 {
        table.observe_request_end(&request(number, 1, parts), target(number), now);
    }
    table
}

#[test]
fn a_part_is_refused_once_hosts_had_time_to_clear_it() {
    let now = Instant::now();
    let table = table_with_ends(&["route", "bad"], now);
    let other = request(9, 1, &["route", "bad"]);
    assert!(matches!(
        table.judge(&other, now),
        PoisonJudgement::Pending(_)
    ));
    assert!(is_refused(&table, &other, now + DECIDED));
    let moved = request(9, 1, &["bad", "route", "more"]);
    assert!(is_refused(&table, &moved, now + DECIDED));
}

/// Guards against a sound first part that is refused with the poison part after it.
#[test]
fn a_part_that_was_survived_since_is_sound() {
    let now = Instant::now();
    let mut table = table_with_ends(&["route", "bad"], now);
    let sound = request(9, 1, &["route", "good"]);
    let began = now + Duration::from_millis(100);
    table.observe_part_survival(&sound, began, now + DECIDED);
    assert!(!is_refused(&table, &sound, now + DECIDED));
    assert!(is_refused(
        &table,
        &request(10, 1, &["route", "bad"]),
        now + DECIDED
    ));
}

/// Guards against the refusal of each of two parts of which one is sound, if all targets ended
/// under requests with both.
#[test]
fn parts_that_came_together_are_refused_together() {
    let now = Instant::now();
    let table = table_with_ends(&["one", "two"], now);
    let later = now + DECIDED;
    assert!(is_refused(&table, &request(9, 1, &["two", "one"]), later));
    assert!(!is_refused(&table, &request(9, 1, &["one", "good"]), later));
    assert!(!is_refused(&table, &request(9, 1, &["two"]), later));
}

/// Guards against a caller that has another organisation's part refused.
#[test]
fn ends_under_one_organisation_count_against_it_alone() {
    let now = Instant::now();
    let mut table = table_with_ends(&["shared"], now);
    let later = now + DECIDED;
    assert!(is_refused(&table, &request(9, 1, &["shared"]), later));
    assert!(!is_refused(&table, &request(9, 2, &["shared"]), later));
    table.observe_request_end(&request(3, 2, &["shared"]), target(3), later);
    assert!(is_refused(
        &table,
        &request(9, 3, &["shared"]),
        later + DECIDED
    ));
}

/// Guards against a rare part that is refused because its only request ran on two targets.
#[test]
fn one_request_on_several_targets_proves_nothing() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    for number in 1..=4 {
        table.observe_request_end(&request(1, 1, &["rare"]), target(number), now);
    }
    assert!(!is_refused(
        &table,
        &request(2, 1, &["rare"]),
        now + DECIDED
    ));
}

/// Guards against a common part that is refused because a rack was lost: it was survived
/// before, and all targets ended at one moment.
#[test]
fn a_known_part_is_not_refused_for_ends_at_one_moment() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    table.observe_part_survival(&request(1, 1, &["common"]), now, now);
    for number in 1..=6 {
        let at = now + seconds(10);
        table.observe_request_end(&request(number, 1, &["common"]), target(number), at);
    }
    let common = request(9, 1, &["common"]);
    assert!(!is_refused(&table, &common, now + seconds(13)));
    // It may become poison later.
    for number in 7..=8 {
        let at = now + seconds(10 + number);
        table.observe_request_end(&request(number, 1, &["common"]), target(number), at);
    }
    assert!(is_refused(&table, &common, now + seconds(21)));
}

/// Guards against a flood of parts that evicts a refused one, or what clears a common one.
#[test]
fn a_flood_of_parts_evicts_neither_proofs_nor_survivals() {
    let now = Instant::now();
    let mut table = table_with_ends(&["bad"], now);
    let common = request(1, 1, &["common"]);
    for _ in 0..10 {
        table.observe_part_survival(&common, now, now);
    }
    for number in 0..10_000 {
        let flood = request(100 + number, 1, &[&format!("flood-{number}")]);
        table.observe_request_end(&flood, target(9), now + seconds(1));
        table.observe_part_survival(&flood, now + seconds(2), now + seconds(3));
        assert!(table.len() <= 2 * MAX_PARTS);
    }
    let later = now + seconds(4);
    assert!(is_refused(&table, &request(9, 1, &["bad"]), later));
    for number in 20..22 {
        table.observe_request_end(&request(number, 1, &["common"]), target(number), later);
    }
    assert!(!is_refused(&table, &common, later + DECIDED));
}

/// Guards against two hosts that overwrite each other's record in the log without end, because
/// one of them remembers more ends of the part than the other.
#[test]
fn hosts_that_remember_different_numbers_of_ends_write_a_part_once() {
    let now = Instant::now();
    let bad = part_key("engines", "bad");
    let mut long = PoisonTable::default();
    for number in 1..=24 {
        long.observe_request_end(&request(number, 1, &["bad"]), target(number), now);
    }
    // As many parts as may have more ends than others.
    let mut short = PoisonTable::default();
    for number in 0..80 {
        let part = format!("other-{}", number / 10);
        let other = request(100 + number, 1, &[&part]);
        short.observe_request_end(&other, target(100 + number), now);
    }
    let mut hosts = [long, short];
    let later = now + DECIDED;
    let mut writes = 0;
    for round in 0..80 {
        let changes = hosts[round % 2].log_changes(later);
        let Some(change) = changes.iter().find(|change| change.suspect == bad) else {
            continue;
        };
        writes += 1;
        for host in &mut hosts {
            host.merge(&change.ends, later);
            host.set_in_log(bad, change.ends.len());
        }
    }
    assert_eq!(writes, 1);
}

/// Guards against a start of all hosts after which the wait for a survival of a part ends with
/// the first success of a request that has none.
#[test]
fn survivals_of_plain_requests_do_not_end_the_wait_after_a_start() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    let plain = request(50, 1, &[]);
    table.observe_part_survival(&plain, now, now);
    table.observe_survival(plain.request, now);
    let survival = PoisonEvidence {
        suspect: request(51, 1, &[]).request,
        event: PoisonEvent::Survived,
        age: Duration::ZERO,
    };
    table.merge(&[survival], now);
    for number in 1..=4 {
        let broken = request(number, 1, &["part"]);
        table.observe_request_end(&broken, target(number % 2 + 1), now);
    }
    assert!(matches!(
        table.judge(&request(9, 1, &["part"]), now + DECIDED),
        PoisonJudgement::Pending(_)
    ));
}

/// Guards against a refused part that is sent again because other suspects, under which the
/// same targets end, are seen a minute later.
#[test]
fn a_refused_part_is_not_released_by_later_suspects() {
    let now = Instant::now();
    let mut table = table_with_ends(&["bad"], now);
    let bad = request(9, 1, &["bad"]);
    assert!(is_refused(&table, &bad, now + DECIDED));
    let later = now + seconds(60);
    for number in 1..=3 {
        let other = request(20 + number, 1, &["other"]);
        table.observe_request_end(&other, target(number), later);
    }
    assert!(is_refused(&table, &bad, later + DECIDED));
}

#[test]
fn sources_keep_target_request_and_organisation_apart() {
    let source = EndSource::new(u64::MAX - 5, 77 << 40, 9);
    assert_eq!(EndSource::from_bits(source.to_bits()), source);
}

#[test]
fn headers_are_parsed_and_malformed_entries_left_out() {
    let ids = |value: &str| {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_str(value).expect("a value");
        headers.append(names::PROMPT_PREFIX, value);
        let parts = parse_shared_parts(&headers);
        parts
            .iter()
            .map(|part| part.id.to_owned())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        ids("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ["5c1e07a2", "91bd3f06"]
    );
    assert_eq!(ids(" A:1 , 0b:2,c:3"), ["A", "0b"]);
    assert_eq!(ids("a:1"), [""; 0]);
    assert_eq!(ids("x:1,:2,a,b:-1,a:1:2,c:5,d:1"), ["c"]);
    assert_eq!(ids(",,,"), [""; 0]);
    let many = vec!["a:1"; 10_000].join(",");
    assert_eq!(ids(&many).len(), 9_999);
}

/// Prints the time of decisions beside a full table; run with `--ignored --nocapture`.
#[test]
#[ignore = "measures, checks nothing"]
#[expect(clippy::print_stderr, reason = "the figures are its result")]
fn time_of_decisions_beside_a_full_table() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    let mut names = Vec::new();
    for part in 0..256_u64 {
        let name = format!("part-{part}");
        for end in 0..4 {
            let number = part * 4 + end;
            let suspects = request(number + 1, 1, &[&name]);
            table.observe_request_end(&suspects, target(number % 16 + 1), now);
        }
        names.push(name);
    }
    let later = now + DECIDED;
    let start = Instant::now();
    for (number, name) in (5000..).zip(&names) {
        table.judge(&request(number, 1, &[name]), later);
    }
    eprintln!("decision: {:?}", start.elapsed() / 256);
    let start = Instant::now();
    table.log_changes(later);
    eprintln!("log_changes: {:?}", start.elapsed());
    let pieces = names
        .iter()
        .take(64)
        .zip(1..)
        .map(|(name, number)| PoisonEvidence {
            suspect: part_key("engines", name),
            event: PoisonEvent::Ended(EndSource::new(target(50), number << 40, 1).to_bits()),
            age: Duration::ZERO,
        });
    let pieces = pieces.collect::<Vec<_>>();
    let start = Instant::now();
    table.merge(&pieces, later);
    eprintln!("merge: {:?}", start.elapsed());
}
