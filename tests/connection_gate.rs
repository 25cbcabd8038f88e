//! Games of a zone whose load balancer sends most new connections to one host.

use std::collections::VecDeque;
use std::time::Duration;

use jackdawwick::admission::{ConnectionGate, ZoneLoad};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of a game, and the interval at which hosts observe their lag.
const STEP: Duration = Duration::from_millis(5);
const LAG_STEPS: usize = 25;
/// Processing time that a host has in a step, of which a request takes a part when it is read.
const STEP_WORK: f64 = 1.0;
const REQUEST_WORK: f64 = 8.0;
/// Time that a request runs on its target, and in which its head has to be processed.
const RUN_STEPS: usize = 100;
const DEADLINE_STEPS: usize = 100;
/// Calls a second in calm times, and beside the concentration.
const CALM_RATE: f64 = 24.0;
const BURST_RATE: f64 = 48.0;
/// Share of the new connections that go to one host.
const CONCENTRATION: f64 = 0.9;
/// Steps of calm, of the time to adapt, and of observation.
const CALM_STEPS: usize = 1000;
const ADAPTATION_STEPS: usize = 600;
const OBSERVATION_STEPS: usize = 1200;

#[derive(Debug, Default, Clone)]
struct Host {
    gate: ConnectionGate,
    /// Steps at which the waiting requests were read, and the work that is left of each.
    queue: VecDeque<(usize, f64)>,
    /// Steps at which running requests end.
    running: Vec<usize>,
}

impl Host {
    fn lag(&self) -> Duration {
        let work = self.queue.iter().map(|(_, work)| work).sum::<f64>();
        STEP.mul_f64(work / STEP_WORK)
    }

    fn requests(&self) -> u32 {
        (self.queue.len() + self.running.len()) as u32
    }
}

/// Requests that hosts have read, and those of them that were served at that attempt.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    read: usize,
    served: usize,
}

impl Served {
    fn share(self) -> f64 {
        self.served as f64 / self.read.max(1) as f64
    }
}

/// What a game shows.
#[derive(Debug, Default, Clone, Copy)]
struct GameResult {
    calm: Served,
    concentrated: Served,
    /// Callers that no host took.
    lost: usize,
}

/// Plays calm and then concentrated connections.
fn play(hosts: usize, has_gate: bool, seed: u64) -> GameResult {
    let mut random = StdRng::seed_from_u64(seed);
    let mut hosts = vec![Host::default(); hosts];
    let mut result = GameResult::default();
    let observed_from = CALM_STEPS + ADAPTATION_STEPS;
    for step in 0..observed_from + OBSERVATION_STEPS {
        let is_calm = step < CALM_STEPS;
        let rate = if is_calm { CALM_RATE } else { BURST_RATE };
        let arrives = random.random::<f64>() < rate * STEP.as_secs_f64();
        if arrives {
            let any = random.random_range(0..hosts.len());
            let first = match is_calm || random.random::<f64>() >= CONCENTRATION {
                true => any,
                false => 0,
            };
            // A caller whose connection is closed tries another host.
            let second = (first + 1 + random.random_range(0..hosts.len() - 1)) % hosts.len();
            let taker = [first, second].into_iter().find(|index| {
                let load = zone_load(&hosts, *index);
                !has_gate || hosts[*index].gate.admits(|| load)
            });
            match taker {
                Some(taker) => hosts[taker].queue.push_back((step, REQUEST_WORK)),
                None => result.lost += 1,
            }
        }
        for host in &mut hosts {
            if step % LAG_STEPS == 0 {
                let lag = host.lag();
                host.gate.observe_lag(lag);
            }
            host.running.retain(|end| step < *end);
            for read in process(host) {
                let counted = match read {
                    read if (ADAPTATION_STEPS..CALM_STEPS).contains(&read) => &mut result.calm,
                    read if read >= observed_from => &mut result.concentrated,
                    _ => continue,
                };
                counted.read += 1;
                counted.served += usize::from(step < read + DEADLINE_STEPS);
                host.running.push(step + RUN_STEPS);
            }
        }
    }
    result
}

fn zone_load(hosts: &[Host], own: usize) -> ZoneLoad {
    let all = hosts.iter().map(Host::requests).sum::<u32>();
    ZoneLoad {
        own: hosts[own].requests(),
        others: all - hosts[own].requests(),
        hosts: hosts.len() - 1,
    }
}

/// Processes the queue of a host for one step; returns when the completed requests were read.
fn process(host: &mut Host) -> Vec<usize> {
    let mut left = STEP_WORK;
    let mut completed = Vec::new();
    while let Some((read, work)) = host.queue.front_mut() {
        let done = work.min(left);
        *work -= done;
        left -= done;
        if *work > 0.0 {
            break;
        }
        completed.push(*read);
        host.queue.pop_front();
    }
    completed
}

/// Guards against a host that reads more requests than it can serve while most new
/// connections of its zone lead to it.
#[test]
fn host_that_gets_most_connections_serves_what_it_reads() {
    for hosts in [3, 8, 39] {
        for seed in 0..10 {
            let result = play(hosts, true, seed);
            let GameResult {
                calm, concentrated, ..
            } = result;
            assert!(calm.read > 20 && concentrated.read > 20);
            let bound = 0.75 * calm.share();
            assert!(
                concentrated.share() >= bound,
                "{hosts} {seed} {concentrated:?}"
            );
            assert_eq!(result.lost, 0, "{hosts} {seed}");
        }
    }
}

/// Shows that the games find a host without a gate.
#[test]
fn games_find_a_host_that_takes_all_connections() {
    let GameResult {
        calm, concentrated, ..
    } = play(8, false, 1);
    assert!(
        concentrated.share() < 0.75 * calm.share(),
        "{concentrated:?}"
    );
}

/// Guards against hosts of a busy zone that all turn their callers away.
#[test]
fn hosts_with_equal_load_take_connections() {
    let mut gate = ConnectionGate::default();
    gate.observe_lag(Duration::from_secs(1));
    let equal = ZoneLoad {
        own: 100,
        others: 700,
        hosts: 7,
    };
    assert!(gate.admits(|| equal));
    let alone = ZoneLoad {
        own: 100,
        others: 0,
        hosts: 0,
    };
    assert!(gate.admits(|| alone));
    let most = ZoneLoad { own: 900, ..equal };
    assert!(!gate.admits(|| most));
    gate.observe_lag(Duration::ZERO);
    gate.observe_lag(Duration::ZERO);
    gate.observe_lag(Duration::ZERO);
    gate.observe_lag(Duration::ZERO);
    gate.observe_lag(Duration::ZERO);
    assert!(gate.admits(|| most), "the host has caught up");
}
