//! Hosts and rate-limited targets in memory, with a simulated clock. Hosts learn about
//! each other with a delay, and calls between them are lost.

use std::time::{Duration, Instant};

use jackdawwick::ids::HostId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use standins::check::AdvertisedLimit;

use super::strategies::{Division, SendVerdict, Strategy};

const STEP: Duration = Duration::from_millis(5);
/// Time until a host detects that another one ended or started, in ms: minimum and
/// maximum.
const END_DETECTED: (u64, u64) = (1500, 2100);
const START_DETECTED: (u64, u64) = (100, 600);
/// Time until a host that did not receive a limit from the target itself receives it from
/// other hosts, in ms: minimum and maximum.
const LIMIT_RECEIVED: (u64, u64) = (100, 700);
/// Time from the arrival of a request until the host has the head of the response, in ms:
/// minimum and maximum.
const RESPONSE_TIME: (u64, u64) = (50, 400);

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) strategy: Strategy,
    pub(crate) hosts: usize,
    pub(crate) targets: usize,
    /// Limit of each target, in requests per second.
    pub(crate) per_second: f64,
    /// Request rate of all hosts, as a multiple of all limits.
    pub(crate) demand: f64,
    /// Fraction of the calls between hosts that is lost.
    pub(crate) loss: f64,
    /// Whether targets halve their limits in the middle of the simulation.
    pub(crate) lowered: bool,
    /// Whether hosts end and start, are partitioned, and demand moves between them.
    pub(crate) faults: bool,
    pub(crate) seed: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// Number of limits that targets advertised and that were exceeded in some window.
    pub(crate) violations: usize,
    /// Most requests that a target received in a window, as a fraction of what is
    /// allowed.
    pub(crate) worst: f64,
    /// Fraction of the limits that was used once they had to be kept.
    pub(crate) used: f64,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    /// Number of calls between hosts for limits, of all hosts.
    pub(crate) calls: usize,
    /// Largest number of calls that one host made or received.
    pub(crate) busiest: usize,
}

/// State of the hosts, and what they know about each other.
pub(crate) struct Cluster {
    pub(crate) now: Instant,
    pub(crate) names: Vec<HostId>,
    /// Whether each host is alive; `changed` holds when it last ended or started.
    pub(crate) alive: Vec<bool>,
    changed: Vec<Instant>,
    /// Delay until other hosts detect the last change of each host, drawn at the change.
    delay: Vec<Duration>,
    /// Whether each host is on the minority side of a partition.
    pub(crate) partitioned: Vec<bool>,
    partitioned_since: Option<Instant>,
    pub(crate) loss: f64,
    /// Limits that targets advertise, the first from 3 s on.
    limits: Vec<AdvertisedLimit>,
    /// Delay until each host receives a changed limit.
    limit_delay: Vec<Duration>,
    pub(crate) random: StdRng,
}

impl Cluster {
    fn draw(&mut self, range: (u64, u64)) -> Duration {
        Duration::from_millis(self.random.random_range(range.0..=range.1))
    }

    /// Returns whether `host` takes `other` to be alive. Each host detects a change at a
    /// different time.
    pub(crate) fn believes_alive(&self, host: usize, other: usize) -> bool {
        let offset = ((host * 31 + other * 17) % 7) as f64 / 7.0;
        let detected_at = self.changed[other] + self.delay[other].mul_f64(0.4 + 0.6 * offset);
        let alive = self.alive[other] == (self.now >= detected_at);
        let separated = self.partitioned[host] != self.partitioned[other];
        let partition_detected = self
            .partitioned_since
            .is_some_and(|since| self.now >= since + Duration::from_millis(END_DETECTED.0));
        host == other || (alive && !(separated && partition_detected))
    }

    /// Returns the limit that a host takes targets to have.
    pub(crate) fn believed_limit(&self, host: usize) -> f64 {
        let is_known = |limit: &&AdvertisedLimit| self.now >= limit.from + self.limit_delay[host];
        let last = self.limits.iter().rfind(is_known);
        last.unwrap_or(&self.limits[0]).per_second
    }

    /// Returns whether a call from `host` to `other` succeeds.
    pub(crate) fn reaches(&mut self, host: usize, other: usize) -> bool {
        let lost = self.random.random_bool(self.loss);
        host == other
            || (self.alive[other] && self.partitioned[host] == self.partitioned[other] && !lost)
    }

    fn change(&mut self, host: usize, alive: bool) {
        self.alive[host] = alive;
        self.changed[host] = self.now;
        self.delay[host] = self.draw(if alive { START_DETECTED } else { END_DETECTED });
    }
}

/// Simulates 20 s of a limit that is advertised from 3 s on.
pub(crate) fn simulate(scenario: &Scenario) -> Outcome {
    let start = Instant::now();
    let limits = limits(scenario, start);
    let end = start + Duration::from_secs(23);
    let names = (0..scenario.hosts).map(|host| format!("host-{host:03}").as_str().into());
    let mut cluster = Cluster {
        now: start,
        names: names.collect(),
        alive: vec![true; scenario.hosts],
        changed: vec![start - Duration::from_secs(60); scenario.hosts],
        delay: vec![Duration::ZERO; scenario.hosts],
        partitioned: vec![false; scenario.hosts],
        partitioned_since: None,
        loss: scenario.loss,
        limit_delay: vec![Duration::ZERO; scenario.hosts],
        limits: limits.clone(),
        random: StdRng::seed_from_u64(scenario.seed),
    };
    for host in 0..scenario.hosts {
        cluster.limit_delay[host] = cluster.draw(LIMIT_RECEIVED);
    }
    let mut division = Division::new(scenario);
    let mut arrivals = vec![Vec::new(); scenario.targets];
    let mut known = vec![vec![None::<Instant>; scenario.targets]; scenario.hosts];
    let mut reported = vec![vec![false; scenario.targets]; scenario.hosts];
    let mut outcome = Outcome::default();
    let total_demand = scenario.demand * scenario.per_second * scenario.targets as f64;
    while cluster.now < end {
        cluster.now += STEP;
        let now = cluster.now;
        if scenario.faults {
            inject_faults(&mut cluster, &mut division, start);
        }
        division.exchange(&mut cluster);
        let weights = weights(scenario, now - start);
        let sum = weights.iter().sum::<f64>();
        for (host, known) in known.iter().enumerate() {
            for (target, known) in known.iter().enumerate() {
                if !reported[host][target] && known.is_some_and(|at| now >= at) {
                    reported[host][target] = true;
                    division.report_sends(&mut cluster, host, target);
                }
            }
        }
        for host in 0..scenario.hosts {
            let mean = total_demand * weights[host] / sum * STEP.as_secs_f64();
            let count = mean as usize + usize::from(cluster.random.random_bool(mean.fract()));
            for _ in 0..count.min(if cluster.alive[host] { usize::MAX } else { 0 }) {
                let mut served = false;
                // A request is attempted at one target after the other.
                let first = cluster.random.random_range(0..scenario.targets);
                for target in (0..scenario.targets)
                    .cycle()
                    .skip(first)
                    .take(2.min(scenario.targets))
                {
                    let limited = known[host][target].is_some_and(|at| now >= at);
                    let verdict = match limited {
                        true => division.send_limited(&mut cluster, host, target),
                        false => division.send_unlimited(host, target, now),
                    };
                    let SendVerdict::At(at) = verdict else {
                        continue;
                    };
                    arrivals[target].push(at);
                    served = true;
                    if at >= limits[0].from {
                        let received = at + cluster.draw(RESPONSE_TIME);
                        learn_limit(&mut known, &mut cluster, host, target, received);
                    }
                    break;
                }
                outcome.served += usize::from(served);
                outcome.refused += usize::from(!served);
            }
        }
    }
    evaluate(&mut arrivals, &limits, &mut outcome);
    (outcome.calls, outcome.busiest) = division.calls();
    outcome
}

/// Returns one limit for 20 s, or two limits for 10 s each.
fn limits(scenario: &Scenario, start: Instant) -> Vec<AdvertisedLimit> {
    let limit = |per_second, from, until| AdvertisedLimit {
        per_second,
        from: start + Duration::from_secs(from),
        until: start + Duration::from_secs(until),
    };
    match scenario.lowered {
        false => vec![limit(scenario.per_second, 3, 23)],
        true => vec![
            limit(scenario.per_second, 3, 13),
            limit(scenario.per_second / 2.0, 13, 23),
        ],
    }
}

/// Records when the host that received a limit from a target, and later the other hosts,
/// know it.
fn learn_limit(
    known: &mut [Vec<Option<Instant>>],
    cluster: &mut Cluster,
    host: usize,
    target: usize,
    received: Instant,
) {
    let is_first = known.iter().all(|known| known[target].is_none());
    let earlier = |known: Option<Instant>, at: Instant| Some(known.map_or(at, |was| was.min(at)));
    known[host][target] = earlier(known[host][target], received);
    if !is_first {
        return;
    }
    for other in known.iter_mut() {
        let at = received + cluster.draw(LIMIT_RECEIVED);
        other[target] = earlier(other[target], at);
    }
}

/// Returns the share of the callers at each host; with faults, callers move between hosts
/// once per second.
fn weights(scenario: &Scenario, passed: Duration) -> Vec<f64> {
    let rotation = match scenario.faults {
        true => passed.as_secs() as usize,
        false => 0,
    };
    let weight = |host: usize| 1.0 / (1.0 + ((host + rotation * 3) % scenario.hosts) as f64);
    (0..scenario.hosts).map(weight).collect()
}

/// Stops a host every 2 s and restarts it 1 s later; partitions a third of the hosts from
/// the others from 10 to 15 s.
fn inject_faults(cluster: &mut Cluster, division: &mut Division, start: Instant) {
    let passed = (cluster.now - start).as_millis();
    let hosts = cluster.names.len();
    if passed.is_multiple_of(2000) {
        let host = cluster.random.random_range(0..hosts);
        cluster.change(host, false);
    }
    if passed % 2000 == 1000 {
        for host in 0..hosts {
            if !cluster.alive[host] {
                cluster.change(host, true);
                division.restart(host);
            }
        }
    }
    if passed == 10_000 || passed == 15_000 {
        let partitioned = passed == 10_000;
        cluster.partitioned_since = partitioned.then_some(cluster.now);
        for host in 0..hosts / 3 {
            cluster.partitioned[host] = partitioned;
        }
    }
}

fn evaluate(arrivals: &mut [Vec<Instant>], limits: &[AdvertisedLimit], outcome: &mut Outcome) {
    let count = (arrivals.len() * limits.len()) as f64;
    for arrivals in arrivals {
        arrivals.sort_unstable();
        for limit in limits {
            let enforced_from = limit.from + Duration::from_secs(4);
            let possible = limit.per_second * (limit.until - enforced_from).as_secs_f64();
            let kept = arrivals.iter();
            let kept = kept.filter(|at| (enforced_from..limit.until).contains(*at));
            let most = limit.most_in_window(arrivals) as f64 / limit.allowed();
            outcome.violations += usize::from(limit.worst_violation(arrivals).is_some());
            outcome.worst = outcome.worst.max(most);
            outcome.used += kept.count() as f64 / possible / count;
        }
    }
}
