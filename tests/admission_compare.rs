//! Compares admission control with a single FIFO queue on a simulated host with its own
//! clock.
//!
//! Ten organisations share 40 slots; the first two bought most of them. The figures
//! describe the simulation, not a machine, and equal seeds give equal figures. The
//! environment variables `POLICY_SEEDS` and `POLICY_SECONDS` set the seeds and the
//! length, as for the routing policies.

// The comparison prints its table.
#![allow(clippy::print_stdout)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use jackdawwick::admission::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, AdmissionTable, ReleaseCause,
    ShareLimit,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SHARES: [u32; 10] = [12, 12, 2, 2, 2, 2, 2, 2, 2, 2];
const SLOTS: usize = 40;
const SERVICE_MS: f64 = 100.0;
const DEADLINE: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, PartialEq)]
enum Admission {
    /// Admission control of this crate.
    Table,
    /// One queue in order of arrival, without load shedding.
    OneQueue,
}

struct FakeRequest {
    organisation: usize,
    arrived: Instant,
    service: Duration,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    End(usize),
    Tick,
}

#[derive(Default)]
struct Outcome {
    /// Response times of the requests served in time, per organisation.
    served: Vec<Vec<Duration>>,
    /// Time to each refusal.
    refused: Vec<Duration>,
    /// Number of requests served after their deadlines.
    late: usize,
}

struct FakeHost {
    admission: Admission,
    table: AdmissionTable,
    queue: VecDeque<usize>,
    running: usize,
    requests: Vec<FakeRequest>,
    events: BinaryHeap<Reverse<(Instant, usize, Event)>>,
    outcome: Outcome,
    rng: StdRng,
}

impl FakeHost {
    fn new(admission: Admission, seed: u64, start: Instant) -> Self {
        let mut table = AdmissionTable::new(AdmissionSettings::default(), seed);
        table.set_capacity(SLOTS as u32);
        for (organisation, share) in SHARES.iter().enumerate() {
            // Shares may be lent: the bought shares add up to the slots, and the limits
            // are higher.
            let limit = ShareLimit {
                concurrent_requests: *share * 3 / 2,
                requests_per_minute: 60_000,
            };
            table.set_share(organisation.to_string().into(), limit, start);
        }
        let outcome = Outcome {
            served: vec![Vec::new(); SHARES.len()],
            ..Outcome::default()
        };
        Self {
            admission,
            table,
            queue: VecDeque::new(),
            running: 0,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            outcome,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        let number = self.requests.len() + self.events.len();
        self.events.push(Reverse((at, number, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.random::<f64>()).ln() * mean)
    }

    fn start(&mut self, request: usize, now: Instant) {
        self.running += 1;
        let end = now + self.requests[request].service;
        self.push(end, Event::End(request));
    }

    fn apply(&mut self, decisions: Vec<AdmissionDecision>, now: Instant) {
        for decision in decisions {
            match decision {
                AdmissionDecision::Start { request } => {
                    self.start(request.parse().expect("a number"), now);
                }
                AdmissionDecision::Refuse { request, .. } => {
                    let request: usize = request.parse().expect("a number");
                    let waited = now - self.requests[request].arrived;
                    self.outcome.refused.push(waited);
                }
                AdmissionDecision::Wait { .. } => (),
            }
        }
    }

    fn arrive(&mut self, organisation: usize, now: Instant) {
        let mean = SERVICE_MS / 1e3;
        let service = Duration::from_secs_f64(mean / 2.0) + self.exponential(mean / 2.0);
        let id = self.requests.len();
        self.requests.push(FakeRequest {
            organisation,
            arrived: now,
            service,
        });
        match self.admission {
            Admission::OneQueue if self.running < SLOTS => self.start(id, now),
            Admission::OneQueue => self.queue.push_back(id),
            Admission::Table => {
                let request = AdmissionRequest {
                    request: id.to_string().into(),
                    organisation: organisation.to_string().into(),
                    service_time: Duration::from_secs_f64(mean),
                    deadline: now + DEADLINE,
                    priority: 0,
                };
                let decision = self.table.admit(request, now);
                self.apply(vec![decision], now);
            }
        }
    }

    fn end(&mut self, request: usize, now: Instant) {
        self.running -= 1;
        let FakeRequest {
            organisation,
            arrived,
            ..
        } = self.requests[request];
        match now - arrived {
            time if time <= DEADLINE => self.outcome.served[organisation].push(time),
            _ => self.outcome.late += 1,
        }
        match self.admission {
            Admission::OneQueue => {
                if let Some(next) = self.queue.pop_front() {
                    self.start(next, now);
                }
            }
            Admission::Table => {
                let id = request.to_string().into();
                let decisions = self.table.release(&id, now, ReleaseCause::Completed);
                self.apply(decisions, now);
            }
        }
    }

    /// Runs the host while each organisation offers `loads` times what it bought.
    fn run(mut self, loads: &[f64; 10], length: Duration, start: Instant) -> Outcome {
        for organisation in 0..SHARES.len() {
            self.push(start, Event::Arrival(organisation));
        }
        self.push(start, Event::Tick);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                _ if now > start + length => break,
                Event::Arrival(organisation) => {
                    self.arrive(organisation, now);
                    let rate =
                        f64::from(SHARES[organisation]) * 1e3 / SERVICE_MS * loads[organisation];
                    let gap = self.exponential(rate.recip());
                    self.push(now + gap, Event::Arrival(organisation));
                }
                Event::End(request) => self.end(request, now),
                Event::Tick => {
                    let decisions = self.table.tick(now);
                    self.apply(decisions, now);
                    self.push(now + Duration::from_millis(5), Event::Tick);
                }
            }
        }
        self.outcome
    }
}

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Medians over the seeds.
struct Row {
    /// Requests served in time, as a fraction of the slots' capacity.
    goodput: f64,
    /// 95th percentile of the other organisations' response times, in milliseconds.
    others_p95: f64,
    /// Fraction of the refusals that came within 10 ms.
    immediate: f64,
}

fn median(values: &mut [f64]) -> (f64, String) {
    values.sort_by(f64::total_cmp);
    let middle = values[values.len() / 2];
    let spread = format!(
        "{middle:.2} ({:.2}–{:.2})",
        values[0],
        values[values.len() - 1]
    );
    (middle, spread)
}

fn percentile(times: &mut [Duration], part: f64) -> f64 {
    times.sort();
    let rank = (times.len() as f64 * part) as usize;
    times.get(rank).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

fn row(name: &str, admission: Admission, loads: [f64; 10]) -> Row {
    let length = Duration::from_secs(setting("POLICY_SECONDS", 6));
    let bound = SLOTS as f64 * 1e3 / SERVICE_MS * length.as_secs_f64();
    let mut columns = vec![Vec::new(); 5];
    for seed in 0..setting("POLICY_SEEDS", 3) {
        let start = Instant::now();
        let mut outcome = FakeHost::new(admission, seed, start).run(&loads, length, start);
        let served: usize = outcome.served.iter().map(Vec::len).sum();
        let mut others = outcome.served[1..].concat();
        let refused = outcome.refused.len();
        let immediate = outcome.refused.iter().filter(|time| time.as_millis() <= 10);
        let immediate = immediate.count() as f64 / refused.max(1) as f64;
        let cells = [
            served as f64 / bound,
            percentile(&mut others, 0.95),
            percentile(&mut outcome.refused, 0.99),
            immediate,
            outcome.late as f64 / bound,
        ];
        columns
            .iter_mut()
            .zip(cells)
            .for_each(|(column, cell)| column.push(cell));
    }
    let medians: Vec<_> = columns.iter_mut().map(|column| median(column)).collect();
    let cells: Vec<_> = medians.iter().map(|(_, cell)| cell.as_str()).collect();
    println!("| {name} | {} |", cells.join(" | "));
    Row {
        goodput: medians[0].0,
        others_p95: medians[1].0,
        immediate: medians[3].0,
    }
}

#[test]
fn overload_preserves_goodput_and_latency_of_other_organisations() {
    println!(
        "| run | goodput of bound | others' p95 ms | refusal p99 ms | refused within 10 ms | late of bound |"
    );
    println!("|---|---|---|---|---|---|");
    let mut greedy = [0.8; 10];
    greedy[0] = 10.0;
    row("one queue, all at 2.0", Admission::OneQueue, [2.0; 10]);
    row("one queue, one at 10", Admission::OneQueue, greedy);
    let normal = row("table, all at 0.8", Admission::Table, [0.8; 10]);
    let peak = row("table, all at 1.1", Admission::Table, [1.1; 10]);
    let double = row("table, all at 2.0", Admission::Table, [2.0; 10]);
    let one = row("table, one at 10", Admission::Table, greedy);
    assert!(double.immediate >= 0.99 && one.immediate >= 0.99);
    assert!(double.goodput >= 0.95 * peak.goodput);
    assert!(
        one.others_p95 <= 1.1 * normal.others_p95,
        "{}",
        one.others_p95 / normal.others_p95
    );
}
