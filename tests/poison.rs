//! Poison requests: the keys of requests, and what hosts conclude from the targets that
//! ended under them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawwick::ids::{IncarnationId, RequestKey};
use jackdawwick::poison::{
    PoisonDelta, PoisonEvent, PoisonEvidence, PoisonTable, PoisonVerdict, RequestIdentity,
    RunStart, request_key,
};
use proptest::prelude::*;

const DRAFT: RequestIdentity<'_> = RequestIdentity {
    method: "POST",
    host: "drafts.example",
    path: "/draft/1?a=b",
    organisation: Some("acme"),
    body: &[b"select"],
};
/// Maximum number of requests that a table remembers, on which its memory budget rests.
const MAX_RECORDS: usize = 256;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn ended(request: RequestKey, target: u64, age: Duration) -> PoisonEvidence {
    PoisonEvidence {
        suspect: request,
        event: PoisonEvent::Ended(target),
        age,
    }
}

/// Returns a table in which three targets ended under a request.
fn table_with_poison(request: RequestKey, now: Instant) -> PoisonTable {
    let mut table = PoisonTable::default();
    for target in 1..=3 {
        table.observe_end(request, target, now);
    }
    table
}

#[test]
fn attempts_with_the_same_caller_path_and_body_share_a_key() {
    assert_eq!(request_key(DRAFT), request_key(DRAFT));
}

#[test]
fn requests_that_differ_in_anything_have_other_keys() {
    let others = [
        RequestIdentity {
            method: "GET",
            ..DRAFT
        },
        RequestIdentity {
            host: "other.example",
            ..DRAFT
        },
        RequestIdentity {
            path: "/draft/1?a=c",
            ..DRAFT
        },
        RequestIdentity {
            organisation: Some("other"),
            ..DRAFT
        },
        RequestIdentity {
            organisation: None,
            ..DRAFT
        },
        RequestIdentity {
            body: &[b"selec"],
            ..DRAFT
        },
        // The end of one part must not be read as the start of the next.
        RequestIdentity {
            organisation: Some("acmes"),
            body: &[b"elect"],
            ..DRAFT
        },
    ];
    for other in others {
        assert_ne!(request_key(other), request_key(DRAFT), "{other:?}");
    }
}

#[test]
fn third_target_end_makes_a_request_poison() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    assert_eq!(table.observe_end(7, 1, now), PoisonVerdict::Suspect(1));
    assert_eq!(table.observe_end(7, 2, now), PoisonVerdict::Suspect(2));
    // Another attempt that ran on the same target adds nothing.
    assert_eq!(table.observe_end(7, 2, now), PoisonVerdict::Suspect(2));
    assert!(!table.is_poison(7, now));
    assert_eq!(table.observe_end(7, 3, now), PoisonVerdict::Poison);
    assert!(table.is_poison(7, now));
    assert!(!table.is_poison(8, now));
}

/// Guards against refusing a harmless request for a day: it runs on three engines that are
/// lost for other reasons within an hour and gets a response in between, which has to clear
/// it.
#[test]
fn survival_clears_earlier_evidence() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    table.observe_end(7, 1, now);
    table.observe_end(7, 2, now + seconds(1));
    assert!(table.observe_survival(7, now + seconds(2)));
    let last = table.observe_end(7, 3, now + seconds(60));
    assert_eq!(last, PoisonVerdict::Suspect(1));
    // Evidence of ends before the response arrives late from another host.
    let late_evidence = [ended(7, 4, seconds(60)), ended(7, 5, seconds(60))];
    let refused = table.merge(&late_evidence, now + seconds(61));
    assert!(refused.is_empty());
    assert!(!table.is_poison(7, now + seconds(61)));
}

/// Guards against refusing a harmless request forever after three engines were lost as it
/// began to run there: a refused request never runs, so that nothing can clear it.
#[test]
fn refused_request_is_retried_at_growing_intervals() {
    let minute = seconds(60);
    let mut now = Instant::now();
    let mut table = table_with_poison(7, now);
    let hour = 60 * minute;
    let week = 7 * 24 * hour;
    let refusal_times = [10 * minute, hour, 24 * hour, week, week];
    for (target, refused_for) in (4..).zip(refusal_times) {
        assert!(table.is_poison(7, now + refused_for - seconds(1)));
        now += refused_for;
        assert!(!table.is_poison(7, now));
        table.observe_end(7, target, now);
    }
    assert!(table.is_poison(7, now));
    assert!(table.observe_survival(7, now));
    let after = table.observe_end(7, 99, now + minute);
    assert_eq!(after, PoisonVerdict::Suspect(1));
}

/// Guards against refusing a status page to all callers: all callers send the same
/// request, and all targets of its service end at once as each begins to run it.
#[test]
fn recently_survived_request_is_not_suspected() {
    let now = Instant::now();
    let mut table = PoisonTable::default();
    table.observe_survival(7, now);
    for target in 1..=5 {
        let verdict = table.observe_end(7, target, now + seconds(9));
        assert_eq!(verdict, PoisonVerdict::Survived);
    }
    assert!(table.is_empty());
    let later = table.observe_end(7, 6, now + seconds(10));
    assert_eq!(later, PoisonVerdict::Suspect(1));
}

/// Guards against a poison request that reaches engines again: when a large zone loses
/// power, every request that had just begun there becomes a suspect, and new records must
/// not evict poison requests from the bounded table.
#[test]
fn suspects_do_not_evict_poison_requests() {
    let now = Instant::now();
    let mut table = table_with_poison(7, now);
    table.observe_end(8, 1, now);
    table.observe_end(8, 2, now);
    for request in 100..10_000 {
        table.observe_end(request, 9, now + seconds(1));
        assert!(table.len() <= MAX_RECORDS);
    }
    assert!(table.is_poison(7, now + seconds(2)));
    let third = table.observe_end(8, 3, now + seconds(2));
    assert_eq!(third, PoisonVerdict::Poison);
}

/// Guards against refusing long drafts after a rack lost power: a draft that runs for
/// seconds on one engine is moved to the next and runs for seconds there too. Neither end
/// is evidence.
#[test]
fn request_that_runs_for_seconds_is_not_suspected() {
    let now = Instant::now();
    let mut start = RunStart::default();
    assert!(start.is_suspect(now + seconds(9)), "no event yet");
    start.observe_event(now);
    assert!(start.is_suspect(now + Duration::from_millis(400)));
    assert!(!start.is_suspect(now + Duration::from_millis(500)));
    assert!(!start.has_survived(now + seconds(1)));
    assert!(start.has_survived(now + seconds(2)));
    assert!(!start.has_survived(now + seconds(3)), "reported once");
}

/// A host's table and its current incarnation.
struct Peer {
    address: SocketAddr,
    incarnation: IncarnationId,
    table: PoisonTable,
}

impl Peer {
    fn start(port: u16, incarnation: IncarnationId) -> Self {
        Self {
            address: ([127, 0, 0, 1], port).into(),
            incarnation,
            table: PoisonTable::default(),
        }
    }

    fn receive(&mut self, other: &Self, delta: &PoisonDelta, now: Instant) {
        let (address, incarnation) = (other.address, other.incarnation);
        self.table.apply_delta(address, incarnation, delta, now);
    }
}

/// Exchanges one request and its reply.
fn exchange(caller: &mut Peer, callee: &mut Peer, now: Instant) {
    let request_delta = caller.table.delta_for(callee.address, now);
    callee.receive(caller, &request_delta, now);
    let reply_delta = callee.table.delta_for(caller.address, now);
    caller.receive(callee, &reply_delta, now);
}

/// Guards against a restarted host that never receives the refused requests: its peer calls
/// first and sends only what changed since the last exchange, which is nothing. The new
/// incarnation must not count that delta as the whole table.
#[test]
fn restarted_host_receives_the_whole_table() {
    let now = Instant::now();
    let (mut first, mut second) = (Peer::start(1, 1), Peer::start(2, 2));
    first.table = table_with_poison(7, now);
    exchange(&mut first, &mut second, now);
    assert!(second.table.is_poison(7, now));
    exchange(&mut first, &mut second, now);
    second = Peer::start(2, 3);
    exchange(&mut first, &mut second, now);
    exchange(&mut first, &mut second, now);
    assert!(second.table.is_poison(7, now));
}

/// Guards against evidence of a restarted host that its peer ignores: the new incarnation
/// counts its versions from zero, below those that the peer knows of the previous one.
#[test]
fn evidence_of_a_restarted_host_is_applied_despite_low_versions() {
    let now = Instant::now();
    let (mut first, mut second) = (Peer::start(1, 1), Peer::start(2, 2));
    second.table = table_with_poison(7, now);
    for _ in 0..3 {
        exchange(&mut first, &mut second, now);
    }
    second = Peer::start(2, 3);
    second.table = table_with_poison(8, now);
    for _ in 0..2 {
        exchange(&mut first, &mut second, now);
    }
    assert!(first.table.is_poison(8, now));
}

/// A full table arrives in bounded deltas, and then nothing more is sent.
#[test]
fn full_table_is_sent_in_bounded_deltas() {
    const MAX_EVIDENCE: usize = 64;
    let now = Instant::now();
    let (mut first, mut second) = (Peer::start(1, 1), Peer::start(2, 2));
    for request in 0..MAX_RECORDS as u64 {
        first.table.observe_end(request, 1, now);
        first.table.observe_end(request, 2, now);
    }
    let mut exchanges = 0;
    loop {
        let delta = first.table.delta_for(second.address, now);
        assert!(delta.evidence.len() <= MAX_EVIDENCE);
        if delta.evidence.is_empty() {
            break;
        }
        exchange(&mut first, &mut second, now);
        exchanges += 1;
    }
    assert_eq!(second.table.len(), MAX_RECORDS);
    // Each record has two items of evidence.
    assert_eq!(exchanges, 2 * MAX_RECORDS / MAX_EVIDENCE);
}

fn any_evidence() -> impl Strategy<Value = PoisonEvidence> {
    let event = prop_oneof![
        6 => (1..6_u64).prop_map(PoisonEvent::Ended),
        1 => Just(PoisonEvent::Survived),
    ];
    (1..4_u64, event, 0..20_u64).prop_map(|(request, event, age)| PoisonEvidence {
        suspect: request,
        event,
        // Distinct moments differ by more than the tolerance for transit times.
        age: seconds(age * 10),
    })
}

proptest! {
    /// Hosts that receive the same evidence refuse the same requests, in whatever order and
    /// however often they receive it. The reference evaluates all evidence at once.
    #[test]
    fn merge_is_independent_of_order_and_repetition(
        evidence in proptest::collection::vec(any_evidence(), 0..24),
        seed in any::<u64>(),
    ) {
        let now = Instant::now() + seconds(1000);
        let mut shuffled = evidence.clone();
        shuffled.extend(evidence.clone());
        let length = shuffled.len().max(1) as u64;
        for index in 0..shuffled.len() {
            let other = (seed.rotate_left(index as u32 * 7) % length) as usize;
            shuffled.swap(index, other);
        }
        let mut table = PoisonTable::default();
        table.merge(&shuffled, now);
        for request in 1..4 {
            let of_request = evidence.iter().filter(|item| item.suspect == request);
            let survived = of_request.clone().filter(|item| item.event == PoisonEvent::Survived);
            let survived = survived.map(|item| item.age).min();
            let mut targets = of_request
                .filter(|item| survived.is_none_or(|age| item.age < age))
                .filter_map(|item| match item.event {
                    PoisonEvent::Ended(target) => Some(target),
                    PoisonEvent::Survived => None,
                })
                .collect::<Vec<_>>();
            targets.sort_unstable();
            targets.dedup();
            prop_assert_eq!(table.is_poison(request, now), targets.len() >= 3);
        }
    }
}
