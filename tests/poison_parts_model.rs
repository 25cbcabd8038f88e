//! Games of a fleet in memory whose engines end under parts of prompts, beside sound requests
//! and engines that end for other reasons.

use std::ops::Range;
use std::time::{Duration, Instant};

use jackdawwick::poison::{PoisonEvidence, PoisonJudgement, RequestSuspects, RunStart, part_key};
use models::fleet::{SimFleet, zone_name};
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
/// How long a zone is cut off.
const CUT: Duration = Duration::from_secs(8);
/// Time from the first poison part to the start of all hosts, and from there until they have
/// read the log.
const RESTART: Duration = Duration::from_secs(6);
const LOG_READ: Duration = Duration::from_secs(2);
/// Number of organisations with sound requests; the next one sends forged lists.
const ORGANISATIONS: u16 = 10;
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

/// What happens to the hosts of a game.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostFault {
    None,
    /// A zone is cut off from the others when the first poison part comes.
    Cut,
    /// All hosts start again, and know what the log has.
    Restart,
}

/// Why a request ends each engine that begins to run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CrashCause {
    /// A part of its prompt, by number.
    Part(usize),
    /// Something that no other request has.
    Own,
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
    /// Requests a second that end engines by themselves, each in another way, and list a part
    /// that others use.
    forged_rate: f64,
    /// Engines that end for other reasons each second, for eight seconds.
    plain_ends: f64,
    filing: Filing,
    /// What happens to the hosts meanwhile.
    fault: HostFault,
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
    forged_rate: 0.0,
    plain_ends: 0.0,
    filing: Filing::Parts,
    fault: HostFault::None,
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
    cause: Option<CrashCause>,
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
    /// When engines ended under the parts, and when requests with them were sent.
    poison_ends: Vec<(usize, Instant)>,
    poison_sends: Vec<(usize, Instant)>,
    /// What the log has, and when it was written.
    log: Vec<(Instant, PoisonEvidence)>,
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
            log: Vec::new(),
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
            self.disturb(poison_from, now);
            self.finish_runs(now);
            self.arrive(self.plan.sound_rate, None, now);
            if now >= poison_from {
                for part in 0..self.plan.poison_parts {
                    let cause = CrashCause::Part(part);
                    self.arrive(self.plan.poison_rate, Some(cause), now);
                }
                self.arrive(self.plan.forged_rate, Some(CrashCause::Own), now);
                if now < poison_from + Duration::from_secs(8) {
                    self.end_plainly(now);
                }
            }
            self.send_waiting(now);
        }
        self.summarise(poison_from)
    }

    /// Cuts a zone off or starts all hosts again when it is time.
    fn disturb(&mut self, poison_from: Instant, now: Instant) {
        let is_due = |at: Instant| at <= now && now < at + STEP;
        match self.plan.fault {
            HostFault::None => {}
            HostFault::Cut if is_due(poison_from) => {
                self.fleet.partitioned.push(zone_name(0).as_str().into());
            }
            HostFault::Cut if is_due(poison_from + CUT) => self.fleet.partitioned.clear(),
            HostFault::Restart if is_due(poison_from + RESTART) => self.restart_hosts(now),
            HostFault::Restart if is_due(poison_from + RESTART + LOG_READ) => self.read_log(now),
            HostFault::Cut | HostFault::Restart => {}
        }
    }

    fn restart_hosts(&mut self, now: Instant) {
        for index in 0..self.fleet.hosts.len() {
            let changes = self.fleet.hosts[index].poison.log_changes(now);
            let ends = changes.into_iter().flat_map(|change| change.ends);
            self.log.extend(ends.map(|evidence| (now, evidence)));
            self.fleet.restart(index);
        }
        // What ran on engines broke with the hosts, and callers were told nothing.
        self.runs.clear();
        self.waiting.clear();
    }

    fn read_log(&mut self, now: Instant) {
        let evidence = self.log.iter().map(|(written, evidence)| PoisonEvidence {
            age: evidence.age + now.duration_since(*written),
            ..*evidence
        });
        let evidence = evidence.collect::<Vec<_>>();
        for host in &mut self.fleet.hosts {
            host.poison.merge(&evidence, now);
        }
    }

    fn summarise(mut self, poison_from: Instant) -> GameResult {
        let parts = 0..self.plan.poison_parts;
        let late = parts.map(|part| self.late_sends(part, poison_from));
        self.result.late = late.max().unwrap_or(0);
        self.result.ended = self.poison_ends.len();
        let noticed = self.poison_ends.iter().take(5).map(|(_, at)| *at).max();
        let from = noticed.unwrap_or(poison_from) + 2 * CONTACT_TIME;
        let after = self.sound_calls.iter().filter(|(at, _)| *at >= from);
        self.result.after = after.clone().count();
        self.result.begun_after = after.filter(|(_, begun)| *begun).count();
        self.result
    }

    /// Returns the number of requests with a part that were sent later than the contact time
    /// after the fifth end under it, by hosts that are in touch with the others.
    fn late_sends(&self, part: usize, poison_from: Instant) -> usize {
        let ends = self.poison_ends.iter().filter(|(of, _)| *of == part);
        let Some((_, fifth)) = ends.clone().nth(4) else {
            return 0;
        };
        let (disturbed_from, disturbed_to) = match self.plan.fault {
            HostFault::None => (poison_from, poison_from),
            HostFault::Cut => (poison_from, poison_from + CUT),
            HostFault::Restart => (poison_from + RESTART, poison_from + RESTART),
        };
        let sends = self.poison_sends.iter().filter(|(of, at)| {
            let in_touch = *at < disturbed_from || *at > disturbed_to + CONTACT_TIME;
            *of == part && *at > *fifth + CONTACT_TIME && in_touch
        });
        sends.count()
    }

    fn draw(&mut self, rate: f64) -> usize {
        let expected = rate * STEP.as_secs_f64();
        let whole = expected.floor();
        whole as usize + usize::from(self.random.random::<f64>() < expected - whole)
    }

    fn arrive(&mut self, rate: f64, cause: Option<CrashCause>, now: Instant) {
        for _ in 0..self.draw(rate) {
            let host = self.random.random_range(0..self.fleet.hosts.len());
            let route = format!("route-{}", self.random.random_range(0..3));
            // Frequent parts and rare ones.
            let subject = (SUBJECTS as f64).powf(self.random.random::<f64>()) as usize;
            let subject = format!("subject-{subject}");
            let is_second = self.random.random_bool(0.5);
            let ids = match cause {
                None => vec![route, subject],
                Some(CrashCause::Part(part)) if is_second => vec![route, format!("poison-{part}")],
                Some(CrashCause::Part(part)) => vec![format!("poison-{part}"), subject],
                Some(CrashCause::Own) => vec![route, "subject-1".to_owned()],
            };
            let organisation = match cause {
                Some(CrashCause::Own) => ORGANISATIONS,
                _ => self.random.random_range(0..ORGANISATIONS),
            };
            let call = Call {
                host,
                suspects: self.suspects(&ids, organisation),
                cause,
                was_sent: false,
                attempts: 2,
                was_held: false,
                arrived: now,
            };
            self.result.sound += usize::from(call.cause.is_none());
            self.waiting.push(call);
        }
    }

    fn suspects(&mut self, ids: &[String], organisation: u16) -> RequestSuspects {
        let key = |id: &str| part_key("engines", id);
        let parts = match self.plan.filing {
            Filing::Parts => ids.iter().map(|id| key(id)).collect(),
            Filing::Request => Vec::new(),
            Filing::FirstPart => vec![key(&ids[0])],
            Filing::WholeList => vec![key(&ids.join(","))],
        };
        RequestSuspects {
            request: self.random.random::<u64>() >> 1,
            organisation,
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
                    self.result.refused += usize::from(is_part && call.cause.is_none());
                    self.record_sound(&call, false);
                }
                _ if is_held && self.plan.holds => {
                    self.result.held += usize::from(!call.was_held && call.cause.is_none());
                    call.was_held = true;
                    self.waiting.push(call);
                }
                _ => self.send(call, now),
            }
        }
    }

    fn record_sound(&mut self, call: &Call, is_begun: bool) {
        if call.cause.is_none() && !call.was_sent {
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
        if let Some(CrashCause::Part(part)) = call.cause {
            self.poison_sends.push((part, now));
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
        let crashing = self.runs.iter().filter(|run| now >= run.sent + CRASH);
        let crashing = crashing.filter_map(|run| Some((run.engine, run.call.cause?)));
        for (engine, cause) in crashing.collect::<Vec<_>>() {
            let has_ended = self.end_engine(engine, now);
            if let CrashCause::Part(part) = cause
                && has_ended
            {
                self.poison_ends.push((part, now));
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

fn play_seeds(plan: GamePlan, seeds: Range<u64>) -> Vec<GameResult> {
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

/// Checks that poison parts reach no further engines and that sound requests begin, but not
/// how many engines end.
fn check_rules(plan: GamePlan, seeds: Range<u64>) {
    let results = play_seeds(plan, seeds).into_iter().enumerate();
    let broken = results.filter(|(_, result)| {
        let is_late = result.late > MAX_LATE;
        is_late || 2 * result.begun_after < result.after
    });
    assert_eq!(broken.collect::<Vec<_>>(), [], "seeds and results");
}

/// Checks that no sound request is refused for a part.
fn check_sound(plan: GamePlan) {
    let results = play_seeds(plan, 0..10).into_iter().enumerate();
    let refused = results.filter(|(_, result)| result.refused > 0);
    let refused = refused.map(|(seed, result)| (seed, result.refused));
    assert_eq!(
        refused.collect::<Vec<_>>(),
        [],
        "seeds and refused requests"
    );
}

const TWO_PARTS: GamePlan = GamePlan {
    poison_parts: 2,
    ..SMALL
};
const RESTART_OF_ALL: GamePlan = GamePlan {
    fault: HostFault::Restart,
    ..SMALL
};
const CUT_ZONE: GamePlan = GamePlan {
    fault: HostFault::Cut,
    ..SMALL
};

/// Guards against two poison parts of which each hides the other.
#[test]
fn two_poison_parts_are_told_apart() {
    check_rules(TWO_PARTS, 0..10);
}

/// Guards against the same where evidence takes longer to reach all hosts.
#[test]
fn two_poison_parts_are_told_apart_by_thirty_hosts() {
    let thirty_hosts = GamePlan {
        hosts_each: 10,
        engines_each: 8,
        sound_rate: 130.0,
        ..TWO_PARTS
    };
    check_rules(thirty_hosts, 0..20);
}

/// Guards against sound parts that are refused for the ends under two poison parts.
#[test]
fn no_sound_part_is_refused_beside_two_poison_parts() {
    check_sound(TWO_PARTS);
}

/// Guards against a poison part that is forgotten when all hosts start again.
#[test]
fn poison_part_is_refused_after_a_start_of_all_hosts() {
    check_rules(RESTART_OF_ALL, 0..10);
}

/// Guards against sound parts that are refused because hosts that started again have not seen
/// them survive.
#[test]
fn no_sound_part_is_refused_after_a_start_of_all_hosts() {
    check_sound(RESTART_OF_ALL);
}

/// Guards against a zone that goes on ending engines after it was cut off.
#[test]
fn poison_part_is_refused_by_a_zone_that_was_cut_off() {
    check_rules(CUT_ZONE, 0..10);
    check_sound(CUT_ZONE);
}

/// Guards against a caller that ends engines and has a part refused that others use.
#[test]
fn no_sound_part_is_refused_for_forged_lists() {
    check_sound(GamePlan {
        poison_rate: 0.0,
        forged_rate: 0.5,
        ..SMALL
    });
}

/// Guards against sound parts that are refused because an engine a second ends for other
/// reasons.
#[test]
fn no_sound_part_is_refused_for_single_ends() {
    check_sound(GamePlan {
        poison_rate: 0.0,
        plain_ends: 1.0,
        ..SMALL
    });
}

/// Guards against sound parts that are refused because many engines end for other reasons.
#[test]
fn engines_that_end_for_other_reasons_prove_nothing() {
    check_sound(GamePlan {
        poison_rate: 0.0,
        plain_ends: 3.0,
        ..SMALL
    });
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
                "parts, two poison parts",
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
            let results = play_seeds(plan, 0..if hosts_each > 10 { 5 } else { 20 });
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
