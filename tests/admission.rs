//! Failures of admission control that callers would notice.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jackdawwick::admission::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, AdmissionTable, ReleaseCause,
    ShareLimit,
};
use jackdawwick::ids::{OrganisationId, RequestId};
use jackdawwick::reason::RefusalReason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SERVICE: Duration = Duration::from_millis(100);

fn share(concurrent_requests: u32) -> ShareLimit {
    ShareLimit {
        concurrent_requests,
        requests_per_minute: 60_000_000,
    }
}

fn table(settings: AdmissionSettings, shares: &[(&str, u32)], now: Instant) -> AdmissionTable {
    let mut table = AdmissionTable::new(settings, 1);
    for (organisation, concurrent) in shares {
        table.set_share(OrganisationId::from(*organisation), share(*concurrent), now);
    }
    table
}

fn request(id: &str, organisation: &str, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestId::from(id),
        organisation: OrganisationId::from(organisation),
        service_time: SERVICE,
        deadline,
        priority: 0,
    }
}

fn refusal(decision: &AdmissionDecision) -> Option<RefusalReason> {
    match decision {
        AdmissionDecision::Refuse { reason, .. } => Some(*reason),
        _ => None,
    }
}

fn started(decisions: &[AdmissionDecision]) -> Vec<RequestId> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            AdmissionDecision::Start { request } => Some(request.clone()),
            _ => None,
        })
        .collect()
}

/// Guards against a caller that waits for its whole deadline before it is refused. With
/// one slot and ten waiting requests of 100 ms, a request with 500 ms left is refused on
/// arrival; this fails if the wait is not estimated before the request is queued.
#[test]
fn request_that_cannot_meet_its_deadline_is_refused_on_arrival() {
    let now = Instant::now();
    let mut table = table(AdmissionSettings::default(), &[("a", 1)], now);
    let distant_deadline = now + Duration::from_secs(60);
    for nth in 0..11 {
        assert_eq!(
            refusal(&table.admit(request(&format!("r{nth}"), "a", distant_deadline), now)),
            None
        );
    }
    let unreachable = request("late", "a", now + Duration::from_millis(500));
    match table.admit(unreachable, now) {
        AdmissionDecision::Refuse {
            reason,
            retry_after,
            ..
        } => {
            assert_eq!(reason, RefusalReason::DeadlineUnreachable);
            // Eleven requests of 100 ms each have to end before a new one starts.
            let drained = SERVICE * 11;
            assert!(
                (drained..=drained.mul_f64(1.5)).contains(&retry_after),
                "{retry_after:?}"
            );
        }
        other => panic!("{other:?}"),
    }
    assert_eq!(table.waiting(&OrganisationId::from("a")), 10);
}

/// Guards against an organisation that is refused forever although its slot becomes free.
/// During a stall its requests end 5 s apart until that is the measured drain rate;
/// afterwards each request has 600 ms left, too little to wait for such an end. If only
/// ends during which another request waits were measured, the rate would never recover.
#[test]
fn drain_rate_recovers_after_a_stall() {
    let mut now = Instant::now();
    let mut table = table(AdmissionSettings::default(), &[("a", 1)], now);
    let mut running: Vec<RequestId> = Vec::new();
    for nth in 0..20 {
        let long_deadline = request(&format!("s{nth}"), "a", now + Duration::from_secs(3_600));
        running.extend(started(&[table.admit(long_deadline, now)]));
    }
    while let Some(ended) = running.pop() {
        now += Duration::from_secs(5);
        running.extend(started(&table.release(
            &ended,
            now,
            ReleaseCause::Completed,
        )));
    }
    let mut refused_late = 0;
    for nth in 0..200 {
        for arrival in 0..2 {
            let short_deadline = request(&format!("b{nth}.{arrival}"), "a", now + 6 * SERVICE);
            let decision = table.admit(short_deadline, now);
            refused_late += usize::from(nth >= 100 && refusal(&decision).is_some());
            running.extend(started(&[decision]));
        }
        now += SERVICE;
        let ended = running.remove(0);
        running.extend(started(&table.release(
            &ended,
            now,
            ReleaseCause::Completed,
        )));
        table.tick(now);
    }
    // With two arrivals for each end, about half must be refused, not all but the one
    // that finds the slot free.
    assert!(table.waiting(&OrganisationId::from("a")) > 0);
    assert!((80..=120).contains(&refused_late), "{refused_late} refused");
}

/// Guards against a host that refuses all requests of an organisation while other hosts
/// are idle. The host's share is zero; if refused requests left no demand, no share would
/// move to it.
#[test]
fn refusals_count_as_demand() {
    let now = Instant::now();
    let organisation = OrganisationId::from("a");
    let mut table = table(AdmissionSettings::default(), &[("a", 0)], now);
    let deadline = now + Duration::from_secs(5);
    for nth in 0..3 {
        let decision = table.admit(request(&format!("r{nth}"), "a", deadline), now);
        assert_eq!(refusal(&decision), Some(RefusalReason::CapacityUsedUp));
    }
    assert_eq!(table.demand(&organisation, now), 3);
    assert_eq!(table.demand(&organisation, now + Duration::from_secs(5)), 0);
}

/// Guards against more running requests than were bought when a caller repeats the id of
/// a running request. If the second start replaced the first one's entry, one release
/// would free the slots of both or of neither.
#[test]
fn repeated_request_id_is_refused() {
    let now = Instant::now();
    let mut table = table(AdmissionSettings::default(), &[("a", 2)], now);
    let deadline = now + Duration::from_secs(5);
    table.admit(request("same", "a", deadline), now);
    let again = table.admit(request("same", "a", deadline), now);
    assert_eq!(refusal(&again), Some(RefusalReason::Malformed));
    assert_eq!(table.in_flight(&OrganisationId::from("a")), 1);
}

/// Guards against waiting requests without a response. The organisation is removed while
/// one request runs and one waits; dropping the queue together with the organisation
/// would lose the waiting one.
#[test]
fn waiting_requests_of_a_removed_organisation_are_refused() {
    let now = Instant::now();
    let mut table = table(AdmissionSettings::default(), &[("a", 1)], now);
    let deadline = now + Duration::from_secs(5);
    table.admit(request("runs", "a", deadline), now);
    table.admit(request("waits", "a", deadline), now);
    table.remove_share(&OrganisationId::from("a"), now);
    let refused = table.tick(now);
    assert_eq!(refusal(&refused[0]), Some(RefusalReason::CapacityUsedUp));
    let runs = RequestId::from("runs");
    assert!(
        table
            .release(&runs, now, ReleaseCause::Completed)
            .is_empty()
    );
    assert_eq!(table.in_flight(&OrganisationId::from("a")), 0);
}

/// Guards against a busy loop on a full host: the next tick must not be due in the past.
/// In the first case the host's capacity is used up while a token is available, in the
/// second only the rate is used up.
#[test]
fn next_tick_of_a_full_host_is_in_the_future() {
    let now = Instant::now();
    let mut table = table(AdmissionSettings::default(), &[("a", 5)], now);
    let deadline = now + Duration::from_secs(5);
    table.set_capacity(1);
    table.admit(request("runs", "a", deadline), now);
    table.admit(request("waits", "a", deadline), now);
    assert!(table.tick(now).is_empty());
    assert_eq!(table.next_tick(), Some(deadline - SERVICE));
    let rate = ShareLimit {
        concurrent_requests: 5,
        requests_per_minute: 60,
    };
    table.set_share(OrganisationId::from("b"), rate, now);
    table.set_capacity(9);
    table.admit(request("takes the token", "b", deadline), now);
    table.admit(request("waits for one", "b", deadline), now);
    assert_eq!(started(&table.tick(now)).len(), 1);
    assert_eq!(table.next_tick(), Some(now + Duration::from_secs(1)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        cases: 100,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against waits of a small organisation that grow with a large one's load.
    /// All organisations have a backlog, their shares add up to more than the host's
    /// capacity, and slots become free one by one; starts must follow the shares, not
    /// arrivals or queue lengths.
    #[test]
    fn backlogged_organisations_are_served_by_weight(
        shares in prop::collection::vec(1..20u32, 2..6),
        capacity in 1..8u32,
        picks in prop::collection::vec(0..8usize, 400),
    ) {
        let now = Instant::now();
        let names: Vec<String> = (0..shares.len()).map(|nth| format!("o{nth}")).collect();
        let limits: Vec<_> = names.iter().map(String::as_str).zip(shares.clone()).collect();
        let settings = AdmissionSettings { queue_length: 1_000, ..AdmissionSettings::default() };
        let mut table = table(settings, &limits, now);
        // The first organisation fills the host before any other sends requests.
        table.set_capacity(capacity.min(shares[0]));
        let slots = f64::from(capacity.min(shares[0]));
        let distant_deadline = now + Duration::from_secs(1_000_000);
        let mut running = Vec::new();
        for name in &names {
            for nth in 0..450 {
                running.extend(started(&[table.admit(request(&format!("{name}.{nth}"), name, distant_deadline), now)]));
            }
        }
        let mut served: BTreeMap<String, f64> = BTreeMap::new();
        for (ends, pick) in picks.into_iter().enumerate() {
            let ended = running.swap_remove(pick % running.len());
            for id in started(&table.release(&ended, now, ReleaseCause::Completed)) {
                let name = id.split('.').next().expect("a name").to_owned();
                *served.entry(name).or_default() += 1.0;
                running.push(id);
            }
            for (name, share) in &limits {
                let in_flight = table.in_flight(&OrganisationId::from(*name));
                prop_assert!(in_flight <= *share);
                // Each organisation gets its weighted part of the starts, except for one
                // start per organisation and the slots that the first one held at the
                // beginning.
                let total: u32 = shares.iter().sum();
                let part = (ends + 1) as f64 * f64::from(*share) / f64::from(total);
                let got = served.get(*name).copied().unwrap_or(0.0);
                let slack = 1.0 + shares.len() as f64 + slots;
                prop_assert!(got >= part - slack, "{name} got {got} of {part} after {ends}");
            }
        }
    }
}

/// Guards against refusals on a host while the organisation's capacity is idle on
/// another. The grant moves away for the time of a report and returns, and later leaves
/// for good. A host without a share must not refuse waiting requests before the grace
/// period ends.
#[test]
fn waiting_requests_survive_a_short_time_without_share() {
    const GRACE: Duration = Duration::from_secs(3);
    let settings = AdmissionSettings {
        share_grace: GRACE,
        ..AdmissionSettings::default()
    };
    let start = Instant::now();
    let mut table = AdmissionTable::new(settings, 1);
    let organisation: OrganisationId = "desk".into();
    let share = |units: u32| ShareLimit {
        concurrent_requests: units,
        requests_per_minute: units * 6_000,
    };
    let request = |name: &str, now: Instant| AdmissionRequest {
        request: name.into(),
        organisation: organisation.clone(),
        service_time: Duration::ZERO,
        deadline: now + Duration::from_secs(60),
        priority: 0,
    };
    table.set_share(organisation.clone(), share(0), start);
    let first = table.admit(request("first", start), start);
    assert!(matches!(first, AdmissionDecision::Wait { .. }), "{first:?}");

    let granted = start + GRACE / 2;
    table.set_share(organisation.clone(), share(1), granted);
    let started = table.tick(granted + SERVICE);
    assert!(matches!(&started[..], [AdmissionDecision::Start { .. }]));
    table.admit(request("second", granted), granted);

    let taken = granted + GRACE;
    table.set_share(organisation.clone(), share(0), taken);
    assert_eq!(table.tick(taken + GRACE / 2), []);
    let refused = table.tick(taken + GRACE);
    assert!(
        matches!(
            &refused[..],
            [AdmissionDecision::Refuse {
                reason: RefusalReason::CapacityUsedUp,
                ..
            }]
        ),
        "{refused:?}"
    );
}
