//! Compares admission control with a naive model that keeps plain lists and recomputes
//! everything from the history at each decision.

use std::time::{Duration, Instant};

use jackdawwick::admission::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, AdmissionTable, ReleaseCause,
    ShareLimit,
};
use jackdawwick::ids::OrganisationId;
use jackdawwick::reason::RefusalReason::{self, *};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ORGANISATIONS: usize = 3;
/// Parts per token; each nanosecond adds as many parts as the rate per minute.
const TOKEN: u128 = 60 * 1_000_000_000;

#[derive(Debug, Clone)]
enum Event {
    Share(usize, u32, u32),
    Capacity(u32),
    Arrive {
        organisation: usize,
        service_ms: u64,
        left_ms: u64,
        priority: u8,
    },
    Release {
        nth: usize,
        completed: bool,
    },
    Cancel(usize),
    Tick,
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let organisation = 0..ORGANISATIONS;
    let arrival = (organisation.clone(), 1..40u64, 0..400u64, 0..2u8).prop_map(
        |(organisation, service_ms, left_ms, priority)| Event::Arrive {
            organisation,
            service_ms,
            left_ms,
            priority,
        },
    );
    let release = (0..16usize, prop::bool::weighted(0.8))
        .prop_map(|(nth, completed)| Event::Release { nth, completed });
    let event = prop_oneof![
        1 => (organisation, 0..5u32, 0..200u32).prop_map(|(o, c, r)| Event::Share(o, c, r)),
        1 => (1..6u32).prop_map(Event::Capacity),
        60 => arrival,
        40 => release,
        2 => (0..16usize).prop_map(Event::Cancel),
        6 => Just(Event::Tick),
    ];
    let gap = prop_oneof![40 => 0..30u64, 1 => Just(11_000)];
    let first = (1..5u32, 20..200u32).prop_map(|(c, r)| Event::Share(0, c, r));
    (first, prop::collection::vec((gap, event), 1..300)).prop_map(|(first, mut events)| {
        events.insert(0, (0, first));
        events
    })
}

fn settings() -> AdmissionSettings {
    AdmissionSettings {
        queue_length: 4,
        total_queue_length: 6,
        ..AdmissionSettings::default()
    }
}

fn name(organisation: usize) -> OrganisationId {
    organisation.to_string().into()
}

/// History of one organisation since it was declared.
#[derive(Default)]
struct NaiveHistory {
    limit: Option<ShareLimit>,
    /// Changes of the rate, and tokens taken (`None`).
    tokens: Vec<(Instant, Option<u32>)>,
    /// Ends since the limits changed, each with whether requests waited or were refused
    /// since the previous end.
    ends: Vec<(Instant, bool)>,
    under_pressure: bool,
}

impl NaiveHistory {
    fn parts(&self, now: Instant) -> u128 {
        let bucket_size = |rate: u32| match rate {
            0 => 0,
            _ => (u128::from(rate) * settings().rate_burst.as_nanos()).max(TOKEN),
        };
        let (mut parts, mut rate, mut last) = (u128::MAX, 0, now);
        for &(at, change) in &self.tokens {
            parts = match parts {
                u128::MAX => u128::MAX,
                _ => (parts + u128::from(rate) * (at - last).as_nanos()).min(bucket_size(rate)),
            };
            rate = change.unwrap_or(rate);
            parts = match change {
                Some(rate) => parts.min(bucket_size(rate)),
                None => parts - TOKEN,
            };
            last = at;
        }
        (parts + u128::from(rate) * (now - last).as_nanos()).min(bucket_size(rate))
    }

    fn interval(&self, now: Instant) -> Option<Duration> {
        let samples: Vec<_> = self
            .ends
            .windows(2)
            .filter(|pair| pair[0].1)
            .map(|pair| (pair[1].0 - pair[0].0).as_secs_f64())
            .collect();
        let last = self.ends.windows(2).rev().find(|pair| pair[0].1)?[1].0;
        let mean = samples[1..]
            .iter()
            .fold(samples[0], |mean, sample| mean + 0.1 * (sample - mean));
        let known = samples.len() >= 8 && now - last <= Duration::from_secs(10);
        known.then(|| Duration::from_secs_f64(mean))
    }
}

#[derive(Default)]
struct NaiveTable {
    histories: [NaiveHistory; ORGANISATIONS],
    capacity: Option<u32>,
    /// Waiting requests in order of arrival.
    queue: Vec<AdmissionRequest>,
    running: Vec<AdmissionRequest>,
    /// Organisation, cost over weight, and start tag of each start.
    starts: Vec<(usize, f64, f64)>,
}

/// A decision without the jitter.
#[derive(Debug, Clone, PartialEq)]
enum Outcome {
    Start(String),
    Wait(String),
    /// Refusal with the Retry-After before jitter.
    Refuse(String, RefusalReason, Duration),
}

impl NaiveTable {
    fn organisation_of(&self, request: &AdmissionRequest) -> usize {
        request.organisation.parse().expect("a number")
    }

    fn count(&self, list: &[AdmissionRequest], organisation: usize) -> usize {
        list.iter()
            .filter(|r| self.organisation_of(r) == organisation)
            .count()
    }

    fn has_slot(&self) -> bool {
        self.capacity
            .is_none_or(|c| self.running.len() < c as usize)
    }

    fn limit(&self, organisation: usize) -> ShareLimit {
        self.histories[organisation].limit.unwrap_or_default()
    }

    /// Returns the whole slots of the organisation, or `None` without a share.
    fn slots(&self, organisation: usize) -> Option<u64> {
        let mut active_shares = 0;
        for other in 0..ORGANISATIONS {
            let active = self.count(&self.queue, other) + self.count(&self.running, other) > 0;
            if active || other == organisation {
                active_shares += u64::from(self.limit(other).concurrent_requests);
            }
        }
        let share = u64::from(self.limit(organisation).concurrent_requests);
        match self.capacity.map(u64::from) {
            _ if share == 0 => None,
            Some(capacity) if active_shares > capacity => Some(capacity * share / active_shares),
            _ => Some(share),
        }
    }

    fn wait(
        &self,
        organisation: usize,
        ahead: usize,
        service: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let history = &self.histories[organisation];
        let limit = history.limit?;
        let needed = ((ahead as u128 + 1) * TOKEN).saturating_sub(history.parts(now));
        let by_rate = match limit.requests_per_minute {
            _ if needed == 0 => Duration::ZERO,
            0 => return None,
            rate => Duration::from_nanos(needed.div_ceil(u128::from(rate)) as u64),
        };
        let slots = self.slots(organisation)?.max(1);
        let free = (slots as usize).saturating_sub(self.count(&self.running, organisation));
        let ends = (ahead + 1).saturating_sub(free) as u32;
        let interval = history.interval(now).unwrap_or(service / slots as u32);
        Some(by_rate.max(interval * ends))
    }

    fn reachable(
        &self,
        request: &AdmissionRequest,
        ahead: usize,
        margin: f64,
        now: Instant,
    ) -> bool {
        self.wait(
            self.organisation_of(request),
            ahead,
            request.service_time,
            now,
        )
        .is_some_and(|wait| now + wait.mul_f64(margin) + request.service_time <= request.deadline)
    }

    fn may_start(&self, organisation: usize, now: Instant) -> bool {
        let in_flight = self.count(&self.running, organisation);
        in_flight < self.limit(organisation).concurrent_requests as usize
            && self.histories[organisation].parts(now) >= TOKEN
    }

    fn cost(&self, request: &AdmissionRequest) -> (f64, f64) {
        let weight = f64::from(
            self.limit(self.organisation_of(request))
                .concurrent_requests
                .max(1),
        );
        (request.service_time.as_secs_f64().max(1e-3), weight)
    }

    fn start(&mut self, request: AdmissionRequest, start_tag: f64, now: Instant) -> Outcome {
        let organisation = self.organisation_of(&request);
        let (cost, weight) = self.cost(&request);
        self.starts.push((organisation, cost / weight, start_tag));
        self.histories[organisation].tokens.push((now, None));
        let id = request.request.to_string();
        self.running.push(request);
        Outcome::Start(id)
    }

    fn refuse(
        &mut self,
        request: &AdmissionRequest,
        reason: RefusalReason,
        now: Instant,
    ) -> Outcome {
        let organisation = self.organisation_of(request);
        self.histories[organisation].under_pressure |= reason != DeadlinePassed;
        let length = self.count(&self.queue, organisation);
        let wait = self.wait(organisation, length, request.service_time, now);
        let wait = wait.unwrap_or(settings().max_retry_after);
        let wait = wait.clamp(settings().min_retry_after, settings().max_retry_after);
        Outcome::Refuse(request.request.to_string(), reason, wait)
    }

    fn admit(&mut self, request: AdmissionRequest, now: Instant) -> Outcome {
        let organisation = self.organisation_of(&request);
        let own_queue: Vec<_> = self
            .queue
            .iter()
            .filter(|r| self.organisation_of(r) == organisation)
            .collect();
        let ahead = own_queue
            .iter()
            .filter(|r| r.priority >= request.priority)
            .count();
        let limit = self.limit(organisation);
        let starts = own_queue.is_empty() && self.has_slot() && self.may_start(organisation, now);
        let late = match starts {
            true => now + request.service_time > request.deadline,
            false => !self.reachable(&request, ahead, 1.5, now),
        };
        let declared = self.histories.iter().filter(|h| h.limit.is_some()).count();
        let full = own_queue.len() >= 4
            || (self.queue.len() >= 6 && own_queue.len() >= 6 / declared.max(1));
        let known = self.histories[organisation].limit.is_some();
        let reason = match () {
            () if known && now >= request.deadline => DeadlinePassed,
            () if limit.concurrent_requests == 0 || limit.requests_per_minute == 0 => {
                CapacityUsedUp
            }
            () if late => DeadlineUnreachable,
            () if starts => return self.start(request, self.virtual_start(organisation), now),
            () if full && self.has_slot() => CapacityUsedUp,
            () if full => QueueFull,
            () => {
                let id = request.request.to_string();
                self.histories[organisation].under_pressure = true;
                self.queue.push(request);
                return Outcome::Wait(id);
            }
        };
        self.refuse(&request, reason, now)
    }

    /// Returns an organisation's waiting requests in the order in which they start.
    fn queue_of(&self, organisation: usize) -> Vec<AdmissionRequest> {
        let mut queue: Vec<_> = self
            .queue
            .iter()
            .filter(|r| self.organisation_of(r) == organisation)
            .cloned()
            .collect();
        queue.sort_by_key(|request| std::cmp::Reverse(request.priority));
        queue
    }

    fn virtual_start(&self, organisation: usize) -> f64 {
        let (mut served, mut time) = ([0.0_f64; ORGANISATIONS], 0.0_f64);
        for &(starter, cost, start_tag) in &self.starts {
            served[starter] = served[starter].max(time) + cost;
            time = time.max(start_tag);
        }
        served[organisation].max(time)
    }

    fn refuse_waiting(&mut self, request: &AdmissionRequest, now: Instant) -> Outcome {
        let limit = self.limit(self.organisation_of(request));
        let reason = match () {
            () if now >= request.deadline => DeadlinePassed,
            () if limit.concurrent_requests == 0 || limit.requests_per_minute == 0 => {
                CapacityUsedUp
            }
            () => DeadlineUnreachable,
        };
        self.refuse(request, reason, now)
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        while self.has_slot() {
            let mut best: Option<(f64, AdmissionRequest)> = None;
            for organisation in 0..ORGANISATIONS {
                let in_flight = self.count(&self.running, organisation) as u64;
                let is_below = self.slots(organisation).is_some_and(|s| in_flight < s);
                match self.queue_of(organisation).first() {
                    Some(first) if self.may_start(organisation, now) => {
                        let (cost, weight) = self.cost(first);
                        let credit = if is_below { 2.0 * cost / weight } else { 0.0 };
                        let start_tag = self.virtual_start(organisation) - credit;
                        if best.as_ref().is_none_or(|best| start_tag < best.0) {
                            best = Some((start_tag, first.clone()));
                        }
                    }
                    _ => (),
                }
            }
            let Some((start_tag, request)) = best else {
                break;
            };
            self.queue
                .retain(|waiting| waiting.request != request.request);
            outcomes.push(match now + request.service_time > request.deadline {
                true => self.refuse_waiting(&request, now),
                false => self.start(request, start_tag, now),
            });
        }
        outcomes
    }

    fn tick(&mut self, now: Instant) -> Vec<Outcome> {
        let mut outcomes = self.start_waiting(now);
        let mut unreachable = Vec::new();
        for organisation in 0..ORGANISATIONS {
            let mut ahead = 0;
            for request in self.queue_of(organisation) {
                match self.reachable(&request, ahead, 0.5, now) {
                    true => ahead += 1,
                    false => unreachable.push(request),
                }
            }
        }
        for request in unreachable {
            self.queue
                .retain(|waiting| waiting.request != request.request);
            outcomes.push(self.refuse_waiting(&request, now));
        }
        outcomes
    }

    fn release(&mut self, nth: usize, completed: bool, now: Instant) -> Vec<Outcome> {
        let ended = self.running.remove(nth);
        let organisation = self.organisation_of(&ended);
        if completed {
            let waiting = self.count(&self.queue, organisation) > 0;
            let history = &mut self.histories[organisation];
            history.ends.push((now, waiting || history.under_pressure));
            history.under_pressure = false;
        }
        self.start_waiting(now)
    }

    fn set_share(&mut self, organisation: usize, limit: ShareLimit, now: Instant) {
        let history = &mut self.histories[organisation];
        if history.limit != Some(limit) {
            history.limit = Some(limit);
            history.tokens.push((now, Some(limit.requests_per_minute)));
            history.ends.clear();
            history.under_pressure = false;
        }
    }
}

/// Compares decisions. Jitter adds up to half to the Retry-After of the naive table.
fn assert_same_decisions(
    decisions: &[AdmissionDecision],
    outcomes: &[Outcome],
) -> Result<(), TestCaseError> {
    prop_assert_eq!(
        decisions.len(),
        outcomes.len(),
        "{:?} {:?}",
        decisions,
        outcomes
    );
    for (decision, outcome) in decisions.iter().zip(outcomes) {
        let is_equal = match (decision, outcome) {
            (AdmissionDecision::Start { request }, Outcome::Start(id)) => **request == **id,
            (AdmissionDecision::Wait { request }, Outcome::Wait(id)) => **request == **id,
            (
                AdmissionDecision::Refuse {
                    request,
                    reason,
                    retry_after,
                },
                Outcome::Refuse(id, expected_reason, wait),
            ) => {
                let jittered = *wait..=wait.mul_f64(1.5);
                **request == **id && reason == expected_reason && jittered.contains(retry_after)
            }
            _ => false,
        };
        prop_assert!(is_equal, "{:?} is not {:?}", decision, outcome);
    }
    Ok(())
}

fn replay(events: Vec<(u64, Event)>) -> Result<(), TestCaseError> {
    let mut now = Instant::now();
    let mut table = AdmissionTable::new(settings(), 7);
    let mut naive = NaiveTable::default();
    for (number, (gap, event)) in events.into_iter().enumerate() {
        now += Duration::from_millis(gap);
        match event {
            Event::Share(organisation, concurrent_requests, requests_per_minute) => {
                let limit = ShareLimit {
                    concurrent_requests,
                    requests_per_minute: 60 * requests_per_minute,
                };
                table.set_share(name(organisation), limit, now);
                naive.set_share(organisation, limit, now);
            }
            Event::Capacity(concurrent) => {
                table.set_capacity(concurrent);
                naive.capacity = Some(concurrent);
            }
            Event::Arrive {
                organisation,
                service_ms,
                left_ms,
                priority,
            } => {
                let request = AdmissionRequest {
                    request: format!("r{number}").into(),
                    organisation: name(organisation),
                    service_time: Duration::from_millis(service_ms),
                    deadline: now + Duration::from_millis(left_ms),
                    priority,
                };
                let decision = table.admit(request.clone(), now);
                assert_same_decisions(&[decision], &[naive.admit(request, now)])?;
            }
            Event::Release { nth, completed } if nth < naive.running.len() => {
                let request = naive.running[nth].request.clone();
                let cause = match completed {
                    true => ReleaseCause::Completed,
                    false => ReleaseCause::Abandoned,
                };
                let decisions = table.release(&request, now, cause);
                assert_same_decisions(&decisions, &naive.release(nth, completed, now))?;
            }
            Event::Cancel(nth) if nth < naive.queue.len() => {
                let request = naive.queue.remove(nth).request;
                prop_assert!(table.cancel(&request, now));
            }
            Event::Release { .. } | Event::Cancel(_) => (),
            Event::Tick => assert_same_decisions(&table.tick(now), &naive.tick(now))?,
        }
        for organisation in 0..ORGANISATIONS {
            let in_flight = table.in_flight(&name(organisation)) as usize;
            prop_assert_eq!(in_flight, naive.count(&naive.running, organisation));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decisions_equal_those_of_the_naive_table(events in events()) {
        replay(events)?;
    }
}
