//! Games of a fleet in memory whose engines end under parts of prompts, beside sound requests
//! and engines that end for other reasons.

mod fleet_in_memory;

use std::time::{Duration, Instant};

use fleet_in_memory::SimFleet;
use jackdawwick::poison::{PoisonJudgement, RequestSuspects, RunStart, part_key};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Step of a game: the interval of the exchanges between hosts.
const STEP: Duration = Duration::from_millis(125);
/// Time in which hosts tell each other what they observed.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests with a poison part that may reach engines later than that after the fifth end.
const MAX_LATE: usize = 3;
/// Time from the start of a run to its first event, to the end of its engine if it is poison,
/// and to the end of the run.
const FIRST_EVENT: Duration = Duration::from_millis(250);
const CRASH: Duration = Duration::from_millis(125);
const RUN: Duration = Duration::from_secs(3);
/// Time for which an ended engine is missing.
const RETURN: Duration = Duration::from_secs(9);
/// One of this number of sound requests may be refused while three engines of twelve end each
/// second.
const MAX_REFUSED_SHARE: usize = 500;
/// Parts that sound requests share, of which the first are the most frequent.
const SUBJECTS: usize = 180;

/// How the evidence on a request is filed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Filing {
    /// Under the request and each of its parts.
    Parts,
    /// Under the request alone.
    Request,
    /// Under the first part.
    FirstPart,
    /// Under the list of all parts.
    WholeList,
}

/// What happens in a game.
#[derive(Debug, Clone, Copy)]
struct GamePlan {
    zones: usize,
    hosts_each: usize,
    engines_each: usize,
    /// Sound requests a second.
    sound_rate: f64,
    /// Requests a second with each of the poison parts.
    poison_rate: f64,
    poison_parts: usize,
    /// Engines that end for other reasons each second, for eight seconds.
    plain_ends: f64,
    filing: Filing,
    /// Whether suspects wait until evidence of other hosts has arrived.
    holds: bool,
    /// Whether an end of the connection is taken for a survival.
    trusts_ends: bool,
}

const SMALL: GamePlan = GamePlan {
    zones: 3,
    hosts_each: 3,
    engines_each: 4,
    sound_rate: 40.0,
    poison_rate: 2.0,
    poison_parts: 1,
    plain_ends: 0.0,
    filing: Filing::Parts,
    holds: true,
    trusts_ends: false,
};

/// What a game shows.
#[derive(Debug, Default, Clone, PartialEq)]
struct GameResult {
    /// Engines that ended under poison parts.
    ended: usize,
    /// Requests with a poison part that reached engines later than the contact time after the
    /// fifth end.
    late: usize,
    /// Sound requests, those that were refused for a part, and those that waited.
    sound: usize,
    refused: usize,
    held: usize,
    /// Sound requests from twice the contact time after the last of the first five ends, and
    /// those of them that began at the first attempt.
    after: usize,
    begun_after: usize,
}

#[derive(Debug, Clone)]
struct Call {
    host: usize,
    suspects: RequestSuspects,
    is_poison: bool,
    was_sent: bool,
    /// Sendings that are left to its host.
    attempts: usize,
    was_held: bool,
    arrived: Instant,
}

#[derive(Debug, Clone)]
struct Run {
    call: Call,
    engine: usize,
    sent: Instant,
    start: RunStart,
}

#[derive(Debug, Clone, Copy)]
struct Engine {
    key: u64,
    zone: usize,
    back: Option<Instant>,
}

struct Game {
    plan: GamePlan,
    fleet: SimFleet,
    random: StdRng,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    waiting: Vec<Call>,
    poison_ends: Vec<Instant>,
    poison_sends: Vec<Instant>,
    sound_calls: Vec<(Instant, bool)>,
    result: GameResult,
}

impl Game {
    fn new(plan: GamePlan, seed: u64) -> Self {
        let mut fleet = SimFleet::new(plan.zones, plan.hosts_each, 1);
        fleet.run_for(Duration::from_secs(4));
        let mut random = StdRng::seed_from_u64(seed);
        let engines = (0..plan.zones * plan.engines_each).map(|index| Engine {
            key: random.random(),
            zone: index % plan.zones,
            back: None,
        });
        let engines = engines.collect();
        Self {
            plan,
            fleet,
            random,
            engines,
            runs: Vec::new(),
            waiting: Vec::new(),
            poison_ends: Vec::new(),
            poison_sends: Vec::new(),
            sound_calls: Vec::new(),
            result: GameResult::default(),
        }
    }

    /// Plays ten calm seconds, then sends requests with poison parts for twenty.
    fn play(mut self) -> GameResult {
        let began = self.fleet.now;
        let poison_from = began + Duration::from_secs(10);
        let ended = poison_from + Duration::from_secs(20);
        while self.fleet.now < ended {
            self.fleet.run_for(STEP);
            let now = self.fleet.now;
            self.finish_runs(now);
            let rate = self.plan.sound_rate;
            self.arrive(rate, None, now);
            if now >= poison_from {
                for part in 0..self.plan.poison_parts {
                    self.arrive(self.plan.poison_rate, Some(part), now);
                }
                if now < poison_from + Duration::from_secs(8) {
                    self.end_plainly(now);
                }
            }
            self.send_waiting(now);
        }
        self.summarise(poison_from)
    }

    fn summarise(mut self, poison_from: Instant) -> GameResult {
        let fifth = self.poison_ends.get(4).copied();
        let late = |at: &&Instant| fifth.is_some_and(|fifth| **at > fifth + CONTACT_TIME);
        self.result.ended = self.poison_ends.len();
        self.result.late = self.poison_sends.iter().filter(late).count();
        let noticed = self.poison_ends.iter().take(5).max().copied();
        let from = noticed.unwrap_or(poison_from) + 2 * CONTACT_TIME;
        let after = self.sound_calls.iter().filter(|(at, _)| *at >= from);
        self.result.after = after.clone().count();
        self.result.begun_after = after.filter(|(_, begun)| *begun).count();
        self.result
    }

    fn draw(&mut self, rate: f64) -> usize {
        let expected = rate * STEP.as_secs_f64();
        let whole = expected.floor();
        whole as usize + usize::from(self.random.random::<f64>() < expected - whole)
    }

    fn arrive(&mut self, rate: f64, poison: Option<usize>, now: Instant) {
        for _ in 0..self.draw(rate) {
            let host = self.random.random_range(0..self.fleet.hosts.len());
            let route = format!("route-{}", self.random.random_range(0..3));
            // Frequent parts and rare ones.
            let subject = (SUBJECTS as f64).powf(self.random.random::<f64>()) as usize;
            let poison_id = poison.map(|part| format!("poison-{part}"));
            let ids = match (poison_id, self.random.random_bool(0.5)) {
                (None, _) => vec![route, format!("subject-{subject}")],
                (Some(id), true) => vec![route, id],
                (Some(id), false) => vec![id, format!("subject-{subject}")],
            };
            let call = Call {
                host,
                suspects: self.suspects(&ids),
                is_poison: poison.is_some(),
                was_sent: false,
                attempts: 2,
                was_held: false,
                arrived: now,
            };
            self.result.sound += usize::from(!call.is_poison);
            self.waiting.push(call);
        }
    }

    fn suspects(&mut self, ids: &[String]) -> RequestSuspects {
        let key = |id: &str| part_key("engines", id);
        let parts = match self.plan.filing {
            Filing::Parts => ids.iter().map(|id| key(id)).collect(),
            Filing::Request => Vec::new(),
            Filing::FirstPart => vec![key(&ids[0])],
            Filing::WholeList => vec![key(&ids.join(","))],
        };
        RequestSuspects {
            request: self.random.random::<u64>() >> 1,
            organisation: self.random.random_range(0..10),
            parts,
        }
    }

    fn send_waiting(&mut self, now: Instant) {
        for mut call in std::mem::take(&mut self.waiting) {
            let table = &self.fleet.hosts[call.host].poison;
            let judgement = table.judge(&call.suspects, now);
            let unproven = table.unproven_until(&call.suspects, now);
            let is_held = matches!(judgement, PoisonJudgement::Pending(_))
                || (call.was_sent && unproven.is_some());
            match judgement {
                PoisonJudgement::Request | PoisonJudgement::Part(_) => {
                    let is_part = matches!(judgement, PoisonJudgement::Part(_));
                    self.result.refused += usize::from(is_part && !call.is_poison);
                    self.record_sound(&call, false);
                }
                _ if is_held && self.plan.holds => {
                    self.result.held += usize::from(!call.was_held && !call.is_poison);
                    call.was_held = true;
                    self.waiting.push(call);
                }
                _ => self.send(call, now),
            }
        }
    }

    fn record_sound(&mut self, call: &Call, is_begun: bool) {
        if !call.is_poison && !call.was_sent {
            self.sound_calls.push((call.arrived, is_begun));
        }
    }

    fn send(&mut self, call: Call, now: Instant) {
        let zone = call.host / self.plan.hosts_each;
        let up = (0..self.engines.len()).filter(|index| {
            let engine = self.engines[*index];
            engine.zone == zone && engine.back.is_none_or(|back| back <= now)
        });
        let up = up.collect::<Vec<_>>();
        self.record_sound(&call, !up.is_empty());
        if up.is_empty() {
            return;
        }
        if call.is_poison {
            self.poison_sends.push(now);
        }
        let engine = up[self.random.random_range(0..up.len())];
        self.runs.push(Run {
            call,
            engine,
            sent: now,
            start: RunStart::default(),
        });
    }

    fn finish_runs(&mut self, now: Instant) {
        let poison = self.runs.iter();
        let poison = poison.filter(|run| run.call.is_poison && now >= run.sent + CRASH);
        for engine in poison.map(|run| run.engine).collect::<Vec<_>>() {
            if self.end_engine(engine, now) {
                self.poison_ends.push(now);
            }
        }
        for run in &mut self.runs {
            if now < run.sent + FIRST_EVENT {
                continue;
            }
            run.start.observe_event(now);
            let table = &mut self.fleet.hosts[run.call.host].poison;
            if let Some(began) = run.start.survived_parts_since(now) {
                table.observe_part_survival(&run.call.suspects, began, now);
            }
            if run.start.has_survived(now) {
                table.observe_survival(run.call.suspects.request, now);
            }
        }
        self.runs.retain(|run| now < run.sent + RUN);
    }

    /// Ends an engine and what runs on it; returns whether it was up.
    fn end_engine(&mut self, index: usize, now: Instant) -> bool {
        if self.engines[index].back.is_some_and(|back| now < back) {
            return false;
        }
        let target = self.engines[index].key;
        self.engines[index].key = self.random.random();
        self.engines[index].back = Some(now + RETURN);
        let runs = std::mem::take(&mut self.runs);
        let (broken, rest) = runs.into_iter().partition(|run| run.engine == index);
        self.runs = rest;
        for run in broken {
            let table = &mut self.fleet.hosts[run.call.host].poison;
            if self.plan.trusts_ends {
                table.observe_part_survival(&run.call.suspects, now, now);
            } else if run.start.is_suspect(now) {
                table.observe_request_end(&run.call.suspects, target, now);
            }
            let attempts = run.call.attempts - 1;
            if attempts > 0 {
                self.waiting.push(Call {
                    was_sent: true,
                    attempts,
                    ..run.call
                });
            }
        }
        true
    }

    fn end_plainly(&mut self, now: Instant) {
        for _ in 0..self.draw(self.plan.plain_ends) {
            let index = self.random.random_range(0..self.engines.len());
            self.end_engine(index, now);
        }
    }
}

fn play_seeds(plan: GamePlan, seeds: std::ops::Range<u64>) -> Vec<GameResult> {
    seeds.map(|seed| Game::new(plan, seed).play()).collect()
}

fn check(results: &[GameResult], plan: GamePlan) {
    for (seed, result) in results.iter().enumerate() {
        assert!(result.late <= MAX_LATE, "{seed} {plan:?} {result:?}");
        assert!(result.ended <= 5, "{seed} {plan:?} {result:?}");
        assert_eq!(result.refused, 0, "{seed} {plan:?} {result:?}");
        assert!(
            2 * result.begun_after >= result.after,
            "{seed} {plan:?} {result:?}"
        );
    }
}

/// Guards against requests of which no two are alike, and that end engine after engine by a
/// part that they share.
#[test]
fn poison_part_reaches_no_engine_once_hosts_have_told_each_other() {
    let rates = [0.3, 1.0, 2.0, 4.0];
    for poison_rate in rates {
        let plan = GamePlan {
            poison_rate,
            ..SMALL
        };
        check(&play_seeds(plan, 0..10), plan);
    }
}

/// Guards against two poison parts of which each hides the other.
#[test]
fn two_poison_parts_are_told_apart() {
    let plan = GamePlan {
        poison_parts: 2,
        ..SMALL
    };
    for result in play_seeds(plan, 0..10) {
        assert!(result.late <= 2 * MAX_LATE, "{result:?}");
        assert_eq!(result.refused, 0, "{result:?}");
        assert!(2 * result.begun_after >= result.after, "{result:?}");
    }
}

/// Guards against sound parts that are refused because engines end for other reasons.
#[test]
fn engines_that_end_for_other_reasons_prove_nothing() {
    let plan = GamePlan {
        poison_rate: 0.0,
        plain_ends: 3.0,
        ..SMALL
    };
    let results = play_seeds(plan, 0..10);
    let refused = results.iter().map(|result| result.refused).sum::<usize>();
    let sound = results.iter().map(|result| result.sound).sum::<usize>();
    assert!(refused * MAX_REFUSED_SHARE <= sound, "{refused} of {sound}");
}

/// Faulty ways to file evidence, each of which breaks what the games check.
#[test]
fn games_find_faulty_filings() {
    let faulty = [
        GamePlan {
            filing: Filing::Request,
            ..SMALL
        },
        GamePlan {
            filing: Filing::FirstPart,
            ..SMALL
        },
        GamePlan {
            filing: Filing::WholeList,
            ..SMALL
        },
        GamePlan {
            trusts_ends: true,
            ..SMALL
        },
    ];
    for plan in faulty {
        let found = play_seeds(plan, 0..2);
        let broken = found.iter().all(|result| result.late > MAX_LATE);
        assert!(broken, "{plan:?} {found:?}");
    }
}

/// Prints the figures of `docs/design/poison.md`.
#[test]
#[ignore = "checks nothing and takes minutes"]
#[expect(clippy::print_stderr, reason = "the figures are its result")]
fn figures() {
    let sizes = [
        (3, 3, 4, 40.0),
        (3, 10, 8, 130.0),
        (5, 20, 12, 300.0),
        (5, 60, 30, 900.0),
    ];
    for (zones, hosts_each, engines_each, sound_rate) in sizes {
        let base = GamePlan {
            zones,
            hosts_each,
            engines_each,
            sound_rate,
            ..SMALL
        };
        let plans = [
            ("parts", base),
            (
                "parts, 4 a second",
                GamePlan {
                    poison_rate: 4.0,
                    ..base
                },
            ),
            (
                "parts, 0.3 a second",
                GamePlan {
                    poison_rate: 0.3,
                    ..base
                },
            ),
            (
                "parts, two poison",
                GamePlan {
                    poison_parts: 2,
                    ..base
                },
            ),
            (
                "parts, no holding",
                GamePlan {
                    holds: false,
                    ..base
                },
            ),
            (
                "parts, crashes beside",
                GamePlan {
                    plain_ends: 1.0,
                    ..base
                },
            ),
            (
                "parts, crashes alone",
                GamePlan {
                    poison_rate: 0.0,
                    plain_ends: 3.0,
                    ..base
                },
            ),
            (
                "request",
                GamePlan {
                    filing: Filing::Request,
                    ..base
                },
            ),
            (
                "first part",
                GamePlan {
                    filing: Filing::FirstPart,
                    ..base
                },
            ),
            (
                "whole list",
                GamePlan {
                    filing: Filing::WholeList,
                    ..base
                },
            ),
            (
                "trusts ends",
                GamePlan {
                    trusts_ends: true,
                    ..base
                },
            ),
        ];
        for (name, plan) in plans {
            let results = play_seeds(plan, 0..if hosts_each > 10 { 3 } else { 10 });
            let mean = |of: &dyn Fn(&GameResult) -> usize| {
                let sum = results.iter().map(of).sum::<usize>();
                sum as f64 / results.len() as f64
            };
            let most = |of: &dyn Fn(&GameResult) -> usize| results.iter().map(of).max();
            eprintln!(
                "{:4} {name:24} ended {:.1} (most {:?}) late {:.1} (most {:?}) refused {:.1} held {:.1} of {:.0}; after {:.0}/{:.0}",
                zones * hosts_each,
                mean(&|r| r.ended),
                most(&|r| r.ended),
                mean(&|r| r.late),
                most(&|r| r.late),
                mean(&|r| r.refused),
                mean(&|r| r.held),
                mean(&|r| r.sound),
                mean(&|r| r.begun_after),
                mean(&|r| r.after),
            );
        }
    }
}
