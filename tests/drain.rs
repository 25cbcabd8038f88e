//! Tests which requests a stopping host admits, and when those that are left are ended.

use std::time::{Duration, Instant};

use jackdawwick::drain::DrainWindow;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Grace times of deployments, and some that are too short for a request, in milliseconds.
const GRACES: [u64; 11] = [0, 1, 150, 300, 400, 1000, 1150, 3000, 5000, 8000, 30_000];
/// Times from the arrival of a request to its own limit, in milliseconds.
const LIMITS: [u64; 10] = [0, 30, 400, 700, 1100, 1200, 2500, 5000, 20_000, 60_000];
/// Time in which the balancer still sends callers to a stopping host.
const BALANCER_TIME: Duration = Duration::from_millis(2600);
/// Time in which plain services respond.
const USUAL_TIME: Duration = Duration::from_millis(700);
/// Part of the grace time in which no response is awaited.
const STOP_TIME: Duration = Duration::from_millis(400);
/// Shortest grace time in which a response can be awaited.
const SHORTEST_GRACE: Duration = Duration::from_millis(500);
/// Least time for the final responses to be written out.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// Time in which nearly all responses of plain services come.
const RESPONSE_TIME: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(50);

/// A request at a moment of a shutdown.
#[derive(Debug)]
struct DrainCase {
    window: DrainWindow,
    grace: Duration,
    /// Time since the signal.
    age: Duration,
    now: Instant,
    deadline: Instant,
}

impl DrainCase {
    fn is_admitted(&self) -> bool {
        self.window.admits(self.deadline, self.now)
    }

    fn may_be_sent(&self) -> bool {
        self.window.may_send(self.deadline, self.now)
    }
}

/// Returns requests of all limits at all moments, until after the host would be killed.
fn all_cases() -> impl Iterator<Item = DrainCase> {
    let began = Instant::now();
    GRACES.into_iter().flat_map(move |grace| {
        let grace = Duration::from_millis(grace);
        let window = DrainWindow::open(began, grace);
        let last = (grace + SHORTEST_GRACE).as_millis() / STEP.as_millis();
        (0..=last as u32).flat_map(move |step| {
            LIMITS.into_iter().map(move |limit| DrainCase {
                window,
                grace,
                age: STEP * step,
                now: began + STEP * step,
                deadline: began + STEP * step + Duration::from_millis(limit),
            })
        })
    })
}

/// Guards against a silent target whose request is cut while its own limit is not reached.
#[test]
fn after_the_balancer_time_no_request_is_admitted_that_may_outlast_the_host() {
    for case in all_cases().filter(|case| case.age >= BALANCER_TIME) {
        let outlasts = case.deadline > case.window.answer_at();
        assert!(!(outlasts && case.is_admitted()), "{case:?}");
    }
}

/// Guards against a request that is run although its response can no longer be awaited.
#[test]
fn no_request_is_admitted_once_the_final_responses_are_due() {
    for case in all_cases() {
        let is_due = case.now >= case.window.answer_at();
        assert!(!(is_due && case.is_admitted()), "{case:?}");
    }
}

/// Guards against callers that the balancer still sends to the host and that it refuses.
#[test]
fn in_the_balancer_time_each_request_is_admitted_that_usually_ends() {
    let is_early = |case: &DrainCase| {
        case.age < BALANCER_TIME && case.age + USUAL_TIME + STOP_TIME < case.grace
    };
    for case in all_cases().filter(is_early) {
        assert!(case.is_admitted(), "{case:?}");
    }
}

/// Guards against a host that refuses what it has the time to serve.
#[test]
fn a_request_whose_limit_the_host_outlasts_is_admitted() {
    let fits = |case: &DrainCase| {
        case.now < case.window.answer_at() && case.deadline <= case.window.answer_at()
    };
    for case in all_cases().filter(fits) {
        assert!(case.is_admitted(), "{case:?}");
    }
}

/// Guards against a request that may have run although no response can be awaited.
#[test]
fn after_the_balancer_time_nothing_is_sent_that_its_target_has_no_time_to_answer() {
    for case in all_cases().filter(|case| case.age >= BALANCER_TIME) {
        let left = case.window.answer_at().saturating_duration_since(case.now);
        let outlasts = case.deadline > case.window.answer_at();
        assert!(
            !(outlasts && left <= RESPONSE_TIME && case.may_be_sent()),
            "{case:?}"
        );
    }
}

/// Guards against an admitted request that finds a target at once and is not sent.
#[test]
fn what_is_admitted_may_be_sent_for_a_while() {
    for case in all_cases().filter(DrainCase::is_admitted) {
        for wait in [0, 30, 199].map(Duration::from_millis) {
            let now = case.now + wait;
            let is_over = now >= case.window.answer_at();
            let may_send = case.window.may_send(case.deadline, now);
            assert!(is_over || may_send, "{case:?} after {wait:?}");
        }
    }
}

/// Guards against callers that the balancer still sends to the host and that it serves less.
#[test]
fn in_the_balancer_time_each_admitted_request_may_be_sent_until_responses_are_due() {
    for case in all_cases().filter(|case| case.age < BALANCER_TIME) {
        let is_due = case.now >= case.window.answer_at();
        assert_eq!(case.may_be_sent(), !is_due, "{case:?}");
    }
}

/// Guards against final responses that are not written out before the process is killed.
#[test]
fn responses_are_due_before_connections_are_closed_and_these_before_the_kill() {
    let began = Instant::now();
    for grace in GRACES.map(Duration::from_millis) {
        let window = DrainWindow::open(began, grace);
        let (answer_at, close_at) = (window.answer_at(), window.close_at());
        assert!(began <= answer_at && answer_at <= close_at, "{grace:?}");
        assert!(close_at <= began + grace, "{grace:?}");
        if grace >= SHORTEST_GRACE {
            assert!(answer_at + WRITE_TIME <= close_at, "{grace:?}");
            assert!(close_at + WRITE_TIME <= began + grace, "{grace:?}");
        }
    }
}

/// Guards against a host that stops under a request, or while callers are still sent to it.
#[test]
fn a_host_stops_once_it_is_idle_after_the_balancer_time_or_when_responses_are_due() {
    for case in all_cases() {
        let (window, now) = (case.window, case.now);
        let is_due = now >= window.answer_at();
        assert_eq!(window.may_stop(1, now), is_due, "{case:?}");
        let is_left = case.age >= BALANCER_TIME;
        assert_eq!(window.may_stop(0, now), is_due || is_left, "{case:?}");
    }
}

/// A request during a shutdown; times in milliseconds.
#[derive(Debug, Clone)]
struct DrainRequest {
    /// Time of the arrival since the signal.
    arrival: u64,
    limit: u64,
    /// Time before each attempt: for the body, a permit, a pause, room, or a connection.
    wait: u64,
    /// Time to the response of the target, which may exceed every limit.
    response: u64,
    /// Attempts of which the target states that they did not run.
    refused: u32,
}

/// What becomes of a request whose host is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestEnd {
    /// Refused on arrival.
    Refused,
    /// Refused as not run after its admission, at the latest at its own limit.
    NotRun { at: Instant },
    /// Sent for the last time at `sent`, and ended by its target, its own limit or the final
    /// responses.
    Sent { sent: Instant, at: Instant },
}

/// Returns what becomes of a request that is alone at its host.
fn follow(window: DrainWindow, began: Instant, request: &DrainRequest) -> RequestEnd {
    let arrival = began + Duration::from_millis(request.arrival);
    let deadline = arrival + Duration::from_millis(request.limit);
    if !window.admits(deadline, arrival) {
        return RequestEnd::Refused;
    }
    let mut now = arrival;
    for attempt in 0..=request.refused {
        now += Duration::from_millis(request.wait);
        if now >= deadline || !window.may_send(deadline, now) {
            let at = now.min(deadline).min(window.answer_at());
            return RequestEnd::NotRun { at };
        }
        if attempt == request.refused {
            break;
        }
        now += Duration::from_millis(1);
    }
    let response = now + Duration::from_millis(request.response);
    let at = response.min(deadline).min(window.answer_at());
    RequestEnd::Sent { sent: now, at }
}

/// Returns when each admitted request ends, if the host stops as its window says.
fn simulate(window: DrainWindow, began: Instant, requests: &[DrainRequest]) -> Vec<Instant> {
    let mut ends: Vec<Instant> = Vec::new();
    let mut now = began;
    let mut next = 0;
    let running = |ends: &[Instant], now| ends.iter().filter(|end| **end > now).count();
    while !window.may_stop(running(&ends, now), now) {
        while let Some(request) = requests.get(next)
            && began + Duration::from_millis(request.arrival) <= now
        {
            let deadline = now + Duration::from_millis(request.limit);
            if window.admits(deadline, now) {
                let response = now + Duration::from_millis(request.response);
                ends.push(response.min(deadline).min(window.answer_at()));
            }
            next += 1;
        }
        now += Duration::from_millis(1);
    }
    assert!(running(&ends, now) == 0, "stopped with requests in flight");
    ends
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(65),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against requests of silent targets that the host drops at its end.
    #[test]
    fn each_admitted_request_ends_before_its_connection_is_closed(
        grace in prop_oneof![prop::sample::select(GRACES.to_vec()), 0..10_000_u64],
        requests in prop::collection::vec(
            (0..10_000_u64, prop::sample::select(LIMITS.to_vec()), prop_oneof![
                1..700_u64,
                Just(1300),
                Just(u64::from(u32::MAX)),
            ]),
            0..60,
        ),
    ) {
        let began = Instant::now();
        let window = DrainWindow::open(began, Duration::from_millis(grace));
        let requests = requests.into_iter();
        let requests = requests.map(|(arrival, limit, response)| DrainRequest {
            arrival,
            limit,
            wait: 0,
            response,
            refused: 0,
        });
        let mut requests = requests.collect::<Vec<_>>();
        requests.sort_by_key(|request| request.arrival);
        for end in simulate(window, began, &requests) {
            prop_assert!(end < window.close_at(), "{:?}", end - began);
        }
    }

    /// Guards against a window that panics on times far from its own.
    #[test]
    fn a_window_decides_about_each_grace_time_and_moment(
        grace in 0..100_000_u64,
        before in 0..5_000_u64,
        age in 0..200_000_u64,
        limit in 0..100_000_u64,
    ) {
        let now = Instant::now() + Duration::from_millis(age);
        let began = Instant::now() + Duration::from_millis(before);
        let window = DrainWindow::open(began, Duration::from_millis(grace));
        let is_admitted = window.admits(now + Duration::from_millis(limit), now);
        prop_assert!(!is_admitted || now < window.answer_at());
        prop_assert!(!is_admitted || !window.may_stop(1, now));
    }

    /// Guards against requests that are taken or sent and can end after the host.
    #[test]
    fn no_request_is_taken_or_sent_that_can_end_after_the_host(
        grace in prop_oneof![prop::sample::select(GRACES.to_vec()), 0..10_000_u64],
        arrival in prop_oneof![0..10_000_u64, 0..2_600_u64],
        limit in prop_oneof![prop::sample::select(LIMITS.to_vec()), 0..20_000_u64],
        wait in prop_oneof![Just(0), 0..600_u64, 0..9_000_u64],
        response in prop_oneof![1..500_u64, 1..2_000_u64, Just(u64::from(u32::MAX))],
        refused in 0..3_u32,
    ) {
        let request = DrainRequest { arrival, limit, wait, response, refused };
        let began = Instant::now();
        let window = DrainWindow::open(began, Duration::from_millis(grace));
        let kill = began + Duration::from_millis(grace);
        let deadline = began + Duration::from_millis(arrival + limit);
        let is_late = |at: Instant| at >= began + BALANCER_TIME;
        match follow(window, began, &request) {
            RequestEnd::Refused => {
                // It may outlast the host, or no response can be awaited any more.
                let at = began + Duration::from_millis(arrival);
                let usual = at + USUAL_TIME + STOP_TIME;
                prop_assert!(
                    at >= window.answer_at()
                        || deadline > window.answer_at() && (is_late(at) || usual >= kill)
                );
            }
            RequestEnd::NotRun { at } => prop_assert!(at <= window.answer_at()),
            RequestEnd::Sent { sent, at } => {
                prop_assert!(sent < window.answer_at());
                prop_assert!(at <= window.answer_at() && at < kill);
                // A target that responds as usual is waited for, up to the request's own limit.
                let response = sent + RESPONSE_TIME;
                let is_awaited = response < window.answer_at() || deadline <= window.answer_at();
                prop_assert!(!is_late(sent) || is_awaited);
            }
        }
    }
}
