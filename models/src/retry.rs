//! Games of a fleet whose targets fail many requests, so that hosts want to send more retries than
//! the platform allows. The retries that arrive at the targets are counted over all hosts and
//! processes and compared with the bound in each sliding window.

mod counts;

use std::time::{Duration, Instant};

use jackdawwick::ids::ZoneId;
use jackdawwick::retry::{GrantId, RetryBounds, RetryShare, RetryUse, WindowBudget};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub use self::counts::{FullWindow, RetryCounts};
use crate::fleet::{SimFleet, zone_name};

/// Step of a game: the interval of the exchanges between hosts.
pub const STEP: Duration = Duration::from_millis(125);
/// Steps in a second.
pub const SECOND: usize = 8;
/// Steps in a window.
pub const WINDOW: usize = 10 * SECOND;
/// Steps until all hosts know each other.
const LEAD: usize = 6 * SECOND;
/// Age of the first processes when the first request comes: their first window is over.
const FIRST_AGE: Duration = Duration::from_secs(20);
/// Steps between two counts of the hosts.
const COUNT_STEPS: usize = SECOND;
/// Longest time from the decision to retry to the sending, in steps, unless all sending
/// waits: a target that accepts no connection is given up after 250 ms.
const MAX_DELAY: usize = 3;
/// Steps from the arrival at a target to its response.
const RESPONSE_STEPS: usize = 1;
/// Number of targets among which retries are drawn.
const TARGETS: usize = 32;
/// Steps for which a frozen host stands still.
const FREEZE: usize = 4 * SECOND;

const BOUNDS: RetryBounds = RetryBounds {
    window: Duration::from_secs(10),
    ratio: 0.2,
    slack: 0.0,
};

/// A fleet and its load.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Number of availability zones.
    pub zones: usize,
    /// Hosts in each of them.
    pub hosts_each: usize,
    /// Requests a second, of all hosts.
    pub rate: f64,
    /// Retries allowed in each window beyond the earned ones.
    pub slack: f64,
}

/// Eight hosts in two zones.
pub const EIGHT: FleetPlan = FleetPlan {
    zones: 2,
    hosts_each: 4,
    rate: 90.0,
    slack: 200.0,
};
/// Sixty hosts in three zones.
pub const SIXTY: FleetPlan = FleetPlan {
    zones: 3,
    hosts_each: 20,
    rate: 350.0,
    slack: 306.0,
};
/// 195 hosts in five zones.
pub const LARGE: FleetPlan = FleetPlan {
    zones: 5,
    hosts_each: 39,
    rate: 600.0,
    slack: 574.0,
};
/// 300 hosts in five zones.
pub const LARGEST: FleetPlan = FleetPlan {
    zones: 5,
    hosts_each: 60,
    rate: 900.0,
    slack: 1000.0,
};

/// What happens at a step of a game.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GameEvent {
    /// A share of the hosts, drawn at random, is killed and starts again after some steps.
    Kill {
        /// From 0 to 1.
        share: f64,
        /// Steps until it starts again.
        down: usize,
    },
    /// A zone is cut off from the others.
    Cut {
        /// Index of the zone.
        zone: usize,
    },
    /// Ends all cuts.
    Heal,
    /// A share of the hosts is cut off from all others, until the cut is healed.
    Isolate {
        /// From 0 to 1.
        share: f64,
    },
    /// A share of the hosts stands still.
    Freeze {
        /// From 0 to 1.
        share: f64,
    },
    /// Every second host, from the first or the second on, is killed and starts again.
    KillHalf {
        /// Index of the first of them.
        first: usize,
    },
    /// The hosts that were absent are added.
    Add,
    /// This share of the requests fails from now on.
    Fail {
        /// From 0 to 1.
        share: f64,
    },
    /// A share of the targets stands still for some steps, and then reads all that it got.
    Hold {
        /// From 0 to 1.
        share: f64,
        /// How long.
        steps: usize,
    },
    /// A share of the hosts sends nothing for some steps, and then all that waits: attempts
    /// wait for permits, pauses, connections and evidence.
    Stall {
        /// From 0 to 1.
        share: f64,
        /// How long.
        steps: usize,
    },
    /// All callers move to every second host, from the first or the second on.
    Move {
        /// Index of the first of them.
        first: usize,
    },
    /// The load changes to this multiple.
    Load {
        /// Multiple of the usual load.
        factor: f64,
    },
}

/// One process of a host.
#[derive(Debug)]
struct SimProcess {
    share: RetryShare,
    budget: WindowBudget,
}

/// A retry that was decided.
#[derive(Debug)]
struct SimRetry {
    grant: GrantId,
    /// Step from which on it may be sent.
    send_at: usize,
    target: usize,
    stage: RetryStage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryStage {
    Waiting,
    Sent,
    /// It arrived at this step.
    Arrived(usize),
}

impl SimProcess {
    fn new(bounds: RetryBounds, opened: Instant, rounding: f64) -> Self {
        Self {
            share: RetryShare::new(bounds, opened),
            budget: WindowBudget::new(rounding),
        }
    }
}

/// A host with its load and its retries.
#[derive(Debug)]
struct GameHost {
    process: SimProcess,
    /// Share of the load.
    weight: f64,
    /// Requests that are due.
    due: f64,
    /// Step of the last start.
    started: usize,
    down_until: Option<usize>,
    frozen_until: usize,
    /// Whether the host has not been added to the fleet yet.
    is_absent: bool,
    /// Step until which nothing is sent.
    stalled_until: usize,
    /// Retries of the process that are not sent yet, or whose response is due.
    retries: Vec<SimRetry>,
}

/// A fleet, its load and what arrives at the targets.
#[derive(Debug)]
pub struct RetryGame {
    plan: FleetPlan,
    bounds: RetryBounds,
    fleet: SimFleet,
    hosts: Vec<GameHost>,
    rng: StdRng,
    /// Whether hosts know the number of hosts from their start on.
    pub knows_size: bool,
    /// Share of the requests that fail once.
    pub failing: f64,
    /// Multiple of the usual load.
    pub load: f64,
    /// Step until which each target stands still.
    held_until: [usize; TARGETS],
    /// Targets of the retries that were sent by processes that have ended since.
    orphaned: Vec<usize>,
    counts: RetryCounts,
}

impl RetryGame {
    /// Opens a game in which all hosts know each other and nothing fails.
    pub fn open(plan: FleetPlan, seed: u64) -> Self {
        Self::open_with_absent(plan, seed, 0.0, Duration::ZERO)
    }

    /// Opens a game in which a share of the hosts is added later, and views take some time.
    pub fn open_with_absent(plan: FleetPlan, seed: u64, absent: f64, view_delay: Duration) -> Self {
        let fleet = SimFleet::new(plan.zones, plan.hosts_each, 1);
        let mut rng = StdRng::seed_from_u64(seed);
        let bounds = RetryBounds {
            slack: plan.slack,
            ..BOUNDS
        };
        let weights = fleet.hosts.iter().map(|_| rng.random_range(0.5..1.5));
        let weights = weights.collect::<Vec<f64>>();
        let total = weights.iter().sum::<f64>();
        let hosts = weights.into_iter().map(|weight| GameHost {
            process: SimProcess::new(bounds, fleet.now, 0.0),
            weight: weight / total,
            due: 0.0,
            started: 0,
            down_until: None,
            frozen_until: 0,
            is_absent: false,
            stalled_until: 0,
            retries: Vec::new(),
        });
        let mut game = Self {
            plan,
            bounds,
            hosts: hosts.collect(),
            fleet,
            rng,
            knows_size: false,
            failing: 0.0,
            load: 0.0,
            held_until: [0; TARGETS],
            orphaned: Vec::new(),
            counts: RetryCounts::new(WINDOW, bounds),
        };
        let first_start = game.fleet.now + STEP * LEAD as u32 - FIRST_AGE;
        for host in &mut game.hosts {
            host.process = SimProcess::new(bounds, first_start, game.rng.random());
        }
        game.fleet.view_delay = view_delay;
        for index in 0..game.hosts.len() {
            // The first hosts are the seeds.
            if index % plan.hosts_each >= 2 && game.rng.random_bool(absent) {
                game.hosts[index].is_absent = true;
                game.fleet.hosts[index].alive = false;
            }
        }
        game.run(LEAD, |_| None);
        game.counts.clear();
        game.load = 1.0;
        game
    }

    /// Plays the given number of steps; `events` returns what happens at each.
    pub fn run<E>(&mut self, steps: usize, events: E)
    where
        E: Fn(usize) -> Option<GameEvent>,
    {
        for step in 0..steps {
            if let Some(event) = events(step) {
                self.apply(event);
            }
            self.step();
        }
    }

    /// Lets an event happen now.
    pub fn apply(&mut self, event: GameEvent) {
        let step = self.counts.steps();
        let chosen = |rng: &mut StdRng, share: f64| rng.random_bool(share);
        match event {
            GameEvent::Kill { share, down } => {
                for index in 0..self.hosts.len() {
                    if chosen(&mut self.rng, share) {
                        self.kill(index, step + down);
                    }
                }
            }
            GameEvent::KillHalf { first } => {
                for index in (first..self.hosts.len()).step_by(2) {
                    self.kill(index, step + 2);
                }
            }
            GameEvent::Add => {
                for host in &mut self.hosts {
                    if std::mem::take(&mut host.is_absent) {
                        host.down_until = Some(step);
                    }
                }
            }
            GameEvent::Fail { share } => self.failing = share,
            GameEvent::Hold { share, steps } => {
                for until in &mut self.held_until {
                    if chosen(&mut self.rng, share) {
                        *until = step + steps;
                    }
                }
            }
            GameEvent::Stall { share, steps } => {
                for host in &mut self.hosts {
                    if chosen(&mut self.rng, share) {
                        host.stalled_until = step + steps;
                    }
                }
            }
            GameEvent::Cut { zone } => {
                self.fleet.partitioned.push(zone_name(zone).as_str().into());
            }
            GameEvent::Heal => {
                self.fleet.partitioned.clear();
                self.fleet.isolated.clear();
            }
            GameEvent::Isolate { share } => {
                for index in 0..self.hosts.len() {
                    if chosen(&mut self.rng, share) {
                        self.fleet.isolated.push(index);
                    }
                }
            }
            GameEvent::Freeze { share } => {
                for index in 0..self.hosts.len() {
                    if chosen(&mut self.rng, share) {
                        self.hosts[index].frozen_until = step + FREEZE;
                    }
                }
            }
            GameEvent::Load { factor } => self.load = factor,
            GameEvent::Move { first } => {
                let hosts = self.hosts.len();
                for (index, host) in self.hosts.iter_mut().enumerate() {
                    let is_chosen = index % 2 == first;
                    host.weight = if is_chosen { 2.0 / hosts as f64 } else { 0.0 };
                }
            }
        }
    }

    fn kill(&mut self, index: usize, until: usize) {
        let host = &mut self.hosts[index];
        if host.is_absent {
            return;
        }
        host.down_until = Some(until);
        // What was sent still arrives.
        let sent = host.retries.drain(..);
        let sent = sent.filter(|retry| retry.stage == RetryStage::Sent);
        self.orphaned.extend(sent.map(|retry| retry.target));
        self.fleet.hosts[index].alive = false;
    }

    fn step(&mut self) {
        self.fleet.run_for(STEP);
        let step = self.counts.begin_step();
        for index in 0..self.hosts.len() {
            self.start_due(index, step);
            self.count_hosts(index, step);
            self.send_requests(index, step);
            self.advance_retries(index, step);
        }
        let held_until = self.held_until;
        let arrived = self
            .orphaned
            .extract_if(.., |target| held_until[*target] <= step);
        self.counts.count_arrivals(arrived.count() as u32);
    }

    /// Sends the retries of a host that are due, and lets those that were sent arrive.
    fn advance_retries(&mut self, index: usize, step: usize) {
        let host = &mut self.hosts[index];
        let can_act = host.down_until.is_none() && host.frozen_until <= step;
        let can_send = can_act && host.stalled_until <= step;
        let now = self.fleet.now;
        let settings = host.process.share.settings();
        let budget = &mut host.process.budget;
        host.retries.retain_mut(|retry| match retry.stage {
            RetryStage::Waiting if can_send && retry.send_at <= step => {
                retry.stage = RetryStage::Sent;
                budget.send(retry.grant, settings, now)
            }
            _ => true,
        });
        for retry in &mut host.retries {
            if retry.stage == RetryStage::Sent && self.held_until[retry.target] <= step {
                retry.stage = RetryStage::Arrived(step);
                self.counts.count_arrivals(1);
            }
        }
        host.retries.retain(|retry| match retry.stage {
            RetryStage::Arrived(at) if can_act && at + RESPONSE_STEPS <= step => {
                budget.settle(retry.grant, now);
                false
            }
            _ => true,
        });
    }

    fn start_due(&mut self, index: usize, step: usize) {
        let host = &mut self.hosts[index];
        if host.down_until.is_some_and(|until| until <= step) {
            host.down_until = None;
            host.process = SimProcess::new(self.bounds, self.fleet.now, self.rng.random());
            host.started = step;
            self.fleet.restart(index);
            self.fleet.hosts[index].alive = true;
            self.observe_size(index);
        }
    }

    fn count_hosts(&mut self, index: usize, step: usize) {
        let age = step.saturating_sub(self.hosts[index].started);
        if age > 0 && age.is_multiple_of(COUNT_STEPS) && self.fleet.hosts[index].alive {
            self.observe_size(index);
        }
    }

    fn observe_size(&mut self, index: usize) {
        let counted = match self.knows_size {
            true => Some(self.hosts.len()),
            false => {
                let zones = (0..self.plan.zones).map(|zone| zone_name(zone).as_str().into());
                let zones = zones.collect::<Vec<ZoneId>>();
                let now = self.fleet.now;
                self.fleet.hosts[index].gossip.complete_count(&zones, now)
            }
        };
        let process = &mut self.hosts[index].process;
        process.share.observe(counted, self.fleet.now);
    }

    /// Sends the requests of one step. Each that fails is sent once more if its host may.
    fn send_requests(&mut self, index: usize, step: usize) {
        let now = self.fleet.now;
        let host = &mut self.hosts[index];
        if host.is_absent {
            return;
        }
        let is_up = host.down_until.is_none() && host.frozen_until <= step;
        host.due += self.plan.rate * self.load * host.weight * STEP.as_secs_f64();
        let count = host.due as u32;
        host.due -= f64::from(count);
        // Callers send requests whether or not the host takes them.
        self.counts.count_requests(count);
        if !is_up {
            return;
        }
        let settings = host.process.share.settings();
        for _ in 0..count {
            host.process.budget.count_request(settings, now);
            if !self.rng.random_bool(self.failing) {
                continue;
            }
            let replacement = RetryUse::Replacement;
            let Some(grant) = host.process.budget.grant(settings, replacement, now) else {
                continue;
            };
            host.retries.push(SimRetry {
                grant,
                send_at: step + self.rng.random_range(0..=MAX_DELAY),
                target: self.rng.random_range(0..TARGETS),
                stage: RetryStage::Waiting,
            });
        }
    }

    /// Returns the window that is nearest to its bound or the furthest beyond it.
    pub fn fullest(&self) -> FullWindow {
        self.counts.fullest()
    }

    /// Returns the part of what is allowed that is used in the window from a step on.
    pub fn used(&self, first: usize) -> f64 {
        self.counts.window(first).used()
    }

    /// Returns the number of hosts.
    pub fn size(&self) -> usize {
        self.hosts.len()
    }

    /// Checks that no window exceeds its bound; `name` stands in the message.
    ///
    /// # Panics
    ///
    /// If one does.
    pub fn assert_bound(&self, name: &str) {
        let hosts = self.size();
        self.counts.assert_bound(&format!("{hosts} hosts, {name}"));
    }
}

/// Draws what happens in a game.
fn draw_events(rng: &mut StdRng, plan: FleetPlan, steps: usize) -> Vec<Option<GameEvent>> {
    let mut events = vec![None; steps];
    for step in (0..steps).step_by(SECOND) {
        events[step] = match rng.random_range(0..22) {
            0 => Some(GameEvent::Kill {
                share: 1.0,
                down: rng.random_range(1..2 * SECOND),
            }),
            1 | 2 => Some(GameEvent::Kill {
                share: rng.random_range(0.1..0.9),
                down: rng.random_range(1..4 * SECOND),
            }),
            3 => Some(GameEvent::Cut {
                zone: rng.random_range(0..plan.zones),
            }),
            4 => Some(GameEvent::Isolate {
                share: rng.random_range(0.0..0.4),
            }),
            5 => Some(GameEvent::Freeze {
                share: rng.random_range(0.0..0.5),
            }),
            6 => Some(GameEvent::Heal),
            7 => Some(GameEvent::Load {
                factor: rng.random_range(0.1..2.5),
            }),
            8 => Some(GameEvent::Add),
            9 => Some(GameEvent::Fail { share: 0.0 }),
            10 | 11 => Some(GameEvent::Fail { share: 0.9 }),
            12 | 13 => Some(GameEvent::Hold {
                share: rng.random_range(0.3..=1.0),
                steps: rng.random_range(1..=2 * SECOND),
            }),
            14 | 15 => Some(GameEvent::Stall {
                share: rng.random_range(0.3..=1.0),
                steps: rng.random_range(1..=5 * SECOND),
            }),
            _ => None,
        };
    }
    events
}

/// Plays `seconds` of kills, additions, cuts, freezes and retries that arrive late, with views up
/// to a second late, all drawn from the seed.
pub fn play_random(plan: FleetPlan, seed: u64, seconds: usize) -> RetryGame {
    let mut rng = StdRng::seed_from_u64(seed);
    let events = draw_events(&mut rng, plan, seconds * SECOND);
    let view_delay = STEP * rng.random_range(0..=SECOND) as u32;
    let mut game = RetryGame::open_with_absent(plan, seed, 0.2, view_delay);
    game.failing = 0.9;
    game.run(seconds * SECOND, |step| events[step]);
    game
}
