//! A game of hosts that relay streams of engines, with a simulated clock and without a
//! network. The decision about silences and the retry budgets are those of the product.

use std::time::{Duration, Instant};

use jackdawwick::retry::{RetryBounds, RetryShare, RetryUse, WindowBudget};
use jackdawwick::silence::{
    SilenceCause, SilenceDecision, SilenceLimits, SilentRequest, decide, retry_use,
};
use models::retry::RetryCounts;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engines::{EngineState, Fault, FaultKind, SimEngine, draw_faults};
use crate::rules::SilenceRule;
use crate::streams::{LostEngine, Outcome, SimAttempt, SimDial, SimStream};

/// Step of a game.
const STEP: Duration = Duration::from_millis(25);
/// Steps in a second.
pub(crate) const SECOND: usize = 40;
/// Seconds of a game in which requests arrive.
const PLAY: usize = 22;
/// Seconds after which all streams have ended.
const END: usize = 43;
/// Age of the first processes when the first request comes: their first window is over.
const FIRST_AGE: Duration = Duration::from_secs(20);
/// Shortest silence after which a request is checked.
const MIN_SILENCE: Duration = Duration::from_millis(350);
/// Silence after which a request is checked, in multiples of the longest pause on time.
const SILENCE_FACTOR: f64 = 1.75;
/// Time to the head of a response after which another attempt is made, in multiples of the
/// aim for the first event.
const HEAD_FACTOR: f64 = 2.4;
/// Steps between two checks of the same silence.
const CHECK_INTERVAL: usize = 6;
/// Steps after which a call fails that is not answered.
const CALL_LIMIT: usize = 10;
/// Steps for which a host avoids a target that does not respond at all.
const EJECTION: usize = 3 * SECOND;
/// Steps until other hosts know that a target accepts no connections, and for which they
/// avoid it then.
const REPORT_DELAY: usize = SECOND / 2;
const REPORT_LIFETIME: usize = SECOND;
/// Steps for which a new request waits for room.
const MAX_WAIT: usize = SECOND;
/// Silence after which the old rule gives up a stream over a lost link.
const OLD_LINK_SILENCE: usize = 24;
pub(crate) const MAX_ATTEMPTS: usize = 2;
/// Streams that an engine runs at once.
const ROOM: u32 = 40;

/// Fewest targets in use from which a host takes a silence for a widespread one.
const MIN_SAMPLE: usize = 3;

#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetPlan {
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    /// Requests a second, of all hosts.
    pub(crate) rate: f64,
    /// Retries allowed in each window beyond the earned ones.
    pub(crate) slack: f64,
}

pub(crate) const EIGHT: FleetPlan = FleetPlan {
    hosts: 8,
    engines: 14,
    rate: 90.0,
    slack: 200.0,
};
pub(crate) const SIXTY: FleetPlan = FleetPlan {
    hosts: 60,
    engines: 50,
    rate: 350.0,
    slack: 306.0,
};
pub(crate) const LARGEST: FleetPlan = FleetPlan {
    hosts: 300,
    engines: 130,
    rate: 900.0,
    slack: 1000.0,
};

struct SimHost {
    share: RetryShare,
    budget: WindowBudget,
    weight: f64,
    due: f64,
    down_until: usize,
    /// Steps until which each engine is avoided as silent, and cut off.
    silent_until: Vec<usize>,
    cut_until: Vec<usize>,
}

pub(crate) struct Game {
    plan: FleetPlan,
    bounds: RetryBounds,
    rule: SilenceRule,
    now: Instant,
    step: usize,
    hosts: Vec<SimHost>,
    engines: Vec<SimEngine>,
    /// Steps from which and until which other hosts avoid an engine.
    reported: Vec<(usize, usize)>,
    streams: Vec<SimStream>,
    pub(crate) ended: Vec<SimStream>,
    failing: f64,
    traffic: StdRng,
    /// Draws hosts for faults, alike for all rules.
    victims: StdRng,
    choices: StdRng,
    pub(crate) counts: RetryCounts,
    /// Retries that were spent on hedges, and of these, those whose stream
    /// went on first.
    pub(crate) hedges: usize,
    pub(crate) useless: usize,
    /// Requests that the host ended although their engine would have gone on.
    pub(crate) given_up: Vec<String>,
}

impl Game {
    pub(crate) fn open(plan: FleetPlan, rule: SilenceRule, seed: u64) -> Self {
        let now = Instant::now();
        let bounds = RetryBounds {
            window: Duration::from_secs(10),
            ratio: 0.2,
            slack: plan.slack,
        };
        let mut choices = StdRng::seed_from_u64(seed);
        let opened = now - FIRST_AGE;
        let weights = (0..plan.hosts).map(|_| choices.random_range(0.5..1.5));
        let weights = weights.collect::<Vec<f64>>();
        let total = weights.iter().sum::<f64>();
        let hosts = weights.into_iter().map(|weight| {
            let mut share = RetryShare::new(bounds, opened);
            share.observe(Some(plan.hosts), opened);
            share.observe(Some(plan.hosts), now);
            SimHost {
                share,
                budget: WindowBudget::new(choices.random()),
                weight: weight / total,
                due: choices.random(),
                down_until: 0,
                silent_until: vec![0; plan.engines],
                cut_until: vec![0; plan.engines],
            }
        });
        let hosts = hosts.collect();
        Self {
            plan,
            bounds,
            rule,
            now,
            step: 0,
            hosts,
            engines: vec![SimEngine::new(); plan.engines],
            reported: vec![(0, 0); plan.engines],
            streams: Vec::new(),
            ended: Vec::new(),
            failing: 0.0,
            traffic: StdRng::seed_from_u64(seed ^ 0x7aff),
            victims: StdRng::seed_from_u64(seed ^ 0xdead),
            choices,
            counts: RetryCounts::new(10 * SECOND, bounds),
            hedges: 0,
            useless: 0,
            given_up: Vec::new(),
        }
    }

    /// Plays a game with faults of one kind.
    pub(crate) fn play(plan: FleetPlan, rule: SilenceRule, kind: FaultKind, seed: u64) -> Self {
        let mut game = Self::open(plan, rule, seed);
        let faults = draw_faults(kind, plan, seed);
        game.run(&faults);
        game
    }

    /// Plays a game with these faults, each at its step.
    pub(crate) fn run(&mut self, faults: &[(usize, Fault)]) {
        let mut faults = faults.iter().peekable();
        while self.step < END * SECOND {
            self.counts.begin_step();
            for engine in &mut self.engines {
                engine.advance(self.step);
            }
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= self.step) {
                self.apply(*fault);
            }
            if self.step < PLAY * SECOND {
                self.receive_requests();
            }
            self.count_hosts();
            self.advance_streams();
            self.step += 1;
            self.now += STEP;
        }
        assert!(self.streams.is_empty(), "all streams end");
    }

    fn apply(&mut self, fault: Fault) {
        let step = self.step;
        match fault {
            Fault::Pause { engine, .. } | Fault::Crash { engine } => {
                self.engines[engine].apply(fault, step);
            }
            Fault::Stop { engine } | Fault::Darken { engine } => {
                let process = self.engines[engine].process;
                self.engines[engine].apply(fault, step);
                let accepts = matches!(fault, Fault::Stop { .. });
                for stream in &mut self.streams {
                    let runs = |attempt: &SimAttempt| {
                        attempt.engine == engine && attempt.process == process
                    };
                    let may_repeat = stream.is_repeatable && stream.runs.len() == 1;
                    if may_repeat && stream.attempts.iter().any(runs) {
                        stream.lost = Some(LostEngine { at: step, accepts });
                    }
                }
            }
            Fault::Cut {
                engine,
                share,
                steps,
            } => {
                for host in &mut self.hosts {
                    if self.victims.random_bool(share) {
                        host.cut_until[engine] = step + steps;
                    }
                }
            }
            Fault::Fail { share } => self.failing = share,
            Fault::Kill { share } => {
                for host in 0..self.hosts.len() {
                    if self.victims.random_bool(share) {
                        self.kill(host);
                    }
                }
            }
        }
    }

    fn kill(&mut self, host: usize) {
        for index in 0..self.streams.len() {
            if self.streams[index].host == host {
                self.end(index, Outcome::HostKilled);
            }
        }
        let (now, engines) = (self.now, self.plan.engines);
        let rounding = self.choices.random();
        let host = &mut self.hosts[host];
        host.down_until = self.step + SECOND / 2;
        host.share = RetryShare::new(self.bounds, now + STEP * (SECOND / 2) as u32);
        host.budget = WindowBudget::new(rounding);
        host.silent_until = vec![0; engines];
    }

    fn count_hosts(&mut self) {
        if !self.step.is_multiple_of(SECOND) {
            return;
        }
        for host in &mut self.hosts {
            if host.down_until <= self.step {
                host.share.observe(Some(self.plan.hosts), self.now);
            }
        }
    }

    fn receive_requests(&mut self) {
        for host in 0..self.hosts.len() {
            let sim = &mut self.hosts[host];
            sim.due += self.plan.rate * sim.weight * STEP.as_secs_f64();
            let count = sim.due as u32;
            sim.due -= f64::from(count);
            let settings = sim.share.settings();
            // Callers send requests whether or not the host takes them.
            self.counts.count_requests(count);
            for _ in 0..count {
                let stream = self.draw_stream(host);
                let sim = &mut self.hosts[host];
                if sim.down_until <= self.step {
                    sim.budget.count_request(settings, self.now);
                    self.streams.push(stream);
                }
            }
        }
    }

    fn draw_stream(&mut self, host: usize) -> SimStream {
        let rng = &mut self.traffic;
        let (aim, gap) = [(400, 150), (600, 250), (1000, 400)][rng.random_range(0..3)];
        let (aim, gap) = (Duration::from_millis(aim), Duration::from_millis(gap));
        let patience = Duration::from_secs(2).max(aim * 4).max(gap * 8);
        let limits = SilenceLimits::of_stream(aim, Some(gap), aim.mul_f64(HEAD_FACTOR));
        let silence_limit = gap.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
        let fails = [rng.random_bool(self.failing), rng.random_bool(self.failing)];
        SimStream {
            host,
            is_repeatable: rng.random_bool(0.9),
            arrived: self.step,
            deadline: self.step + rng.random_range(15 * SECOND..20 * SECOND),
            patience: steps(patience),
            silence_limit: steps(silence_limit),
            limits,
            events: rng.random_range(5..50),
            interval: rng.random_range(0.3..0.7) * gap.as_secs_f64() / STEP.as_secs_f64(),
            prefill: steps(aim.mul_f64(rng.random_range(0.2..0.6))),
            fails,
            passed: 0,
            passed_at: self.step,
            longest_pause: 0,
            attempts: Vec::new(),
            dial: None,
            waits_until: Some(self.step + MAX_WAIT),
            runs: Vec::new(),
            avoid: Vec::new(),
            lost: None,
            repeated_at: None,
            outcome: None,
        }
    }

    fn advance_streams(&mut self) {
        for index in 0..self.streams.len() {
            self.advance_stream(index);
        }
        let ended = self
            .streams
            .extract_if(.., |stream| stream.outcome.is_some());
        self.ended.extend(ended);
    }

    fn advance_stream(&mut self, index: usize) {
        let step = self.step;
        let stream = &self.streams[index];
        if stream.outcome.is_some() {
            return;
        }
        if step >= stream.deadline {
            return self.end(index, Outcome::Deadline);
        }
        if step - stream.passed_at > stream.patience {
            return self.end(index, Outcome::Left);
        }
        if let Some(until) = stream.waits_until {
            if self.choose_and_dial(index) {
                self.streams[index].waits_until = None;
            } else if step >= until {
                return self.end(index, Outcome::Refused);
            }
        }
        self.advance_dial(index);
        self.advance_attempts(index);
        if self.streams[index].outcome.is_none() {
            self.check_silence(index);
        }
    }

    /// Chooses a target and connects to it; returns `false` if none has room.
    fn choose_and_dial(&mut self, index: usize) -> bool {
        let step = self.step;
        let stream = &self.streams[index];
        let host = &self.hosts[stream.host];
        let usable = |engine: &usize| {
            host.silent_until[*engine] <= step
                && !stream.avoid.contains(engine)
                && stream.attempts.iter().all(|run| run.engine != *engine)
                && self.engines[*engine].load < ROOM
        };
        let usable = (0..self.plan.engines).filter(usable);
        let usable = usable.collect::<Vec<_>>();
        let is_reported = |engine: &usize| {
            let (from, until) = self.reported[*engine];
            from <= step && step < until
        };
        let good = usable.iter().copied().filter(|engine| !is_reported(engine));
        let good = good.collect::<Vec<_>>();
        let from = match good.is_empty() {
            true => usable,
            false => good,
        };
        if from.is_empty() {
            return false;
        }
        let mut draw = || from[self.choices.random_range(0..from.len())];
        let (left, right) = (draw(), draw());
        let engine = match self.engines[left].load <= self.engines[right].load {
            true => left,
            false => right,
        };
        let responds = !self.is_cut(self.streams[index].host, engine)
            && !matches!(self.engines[engine].state, EngineState::Dark { .. });
        let time = if responds { 1 } else { CALL_LIMIT };
        self.streams[index].dial = Some(SimDial {
            engine,
            ready_at: step + time,
        });
        true
    }

    fn is_cut(&self, host: usize, engine: usize) -> bool {
        self.hosts[host].cut_until[engine] > self.step
    }

    fn advance_dial(&mut self, index: usize) {
        let step = self.step;
        let stream = &self.streams[index];
        let Some(dial) = stream.dial.filter(|dial| dial.ready_at <= step) else {
            return;
        };
        let host = stream.host;
        let state = self.engines[dial.engine].state;
        let is_dark = matches!(state, EngineState::Dark { .. }) || self.is_cut(host, dial.engine);
        let is_refused = matches!(state, EngineState::Crashed { .. });
        self.streams[index].dial = None;
        if is_dark || is_refused {
            self.hosts[host].silent_until[dial.engine] = step + EJECTION;
            if !self.is_cut(host, dial.engine) {
                self.report_ended(dial.engine);
            }
            let stream = &mut self.streams[index];
            stream.avoid.push(dial.engine);
            // Nothing was sent, so that the next one is free.
            if !self.choose_and_dial(index) {
                self.fail_dial(index);
            }
            return;
        }
        self.send(index, dial.engine);
    }

    fn report_ended(&mut self, engine: usize) {
        let (from, until) = self.reported[engine];
        if until <= self.step || from > self.step {
            let from = self.step + REPORT_DELAY;
            self.reported[engine] = (from, from + REPORT_LIFETIME);
        }
    }

    fn fail_dial(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        if !stream.attempts.is_empty() {
            return;
        }
        match stream.runs.is_empty() {
            true => stream.waits_until = Some(stream.arrived + MAX_WAIT),
            false => self.end(index, Outcome::CutBroken),
        }
    }

    fn send(&mut self, index: usize, engine: usize) {
        let step = self.step;
        let target = &mut self.engines[engine];
        target.load += 1;
        let process = target.process;
        let stream = &mut self.streams[index];
        if !stream.runs.is_empty() {
            self.counts.count_arrivals(1);
            if stream.lost.is_some() {
                stream.repeated_at.get_or_insert(step);
            }
        }
        let fails = stream.fails[stream.runs.len().min(MAX_ATTEMPTS - 1)];
        stream.runs.push(engine);
        assert!(
            stream.runs.len() <= MAX_ATTEMPTS,
            "run by {:?}",
            stream.runs
        );
        let prefill = if fails { 2 } else { stream.prefill };
        stream.attempts.push(SimAttempt {
            engine,
            process,
            next_at: step + prefill,
            emitted: stream.passed,
            received: stream.passed,
            progress: step,
            check_at: step + stream.silence_limit,
            checked_at: None,
            fails,
        });
    }

    fn advance_attempts(&mut self, index: usize) {
        let step = self.step;
        let mut slot = 0;
        while slot < self.streams[index].attempts.len() {
            let host = self.streams[index].host;
            let stream = &mut self.streams[index];
            let (events, interval) = (stream.events, stream.interval);
            let attempt = &mut stream.attempts[slot];
            let engine = &self.engines[attempt.engine];
            let is_cut = self.hosts[host].cut_until[attempt.engine] > step;
            let is_own = engine.process == attempt.process;
            if is_own && engine.state == EngineState::Running && attempt.next_at <= step {
                attempt.emitted = (attempt.emitted + 1).min(events);
                let load = 0.7 + 0.8 * f64::from(engine.load) / f64::from(ROOM);
                attempt.next_at = step + (interval * load).round().max(1.0) as usize;
            }
            if is_cut {
                slot += 1;
                continue;
            }
            let broke = !is_own || matches!(engine.state, EngineState::Crashed { .. });
            if attempt.emitted > attempt.received {
                if attempt.fails {
                    self.receive_failure(index, slot);
                } else {
                    self.receive_events(index, slot);
                }
                return;
            }
            if broke {
                self.receive_break(index, slot);
                return;
            }
            slot += 1;
        }
    }

    fn receive_events(&mut self, index: usize, slot: usize) {
        let step = self.step;
        let stream = &mut self.streams[index];
        let attempt = &mut stream.attempts[slot];
        assert_eq!(
            attempt.received, stream.passed,
            "the events of an attempt continue those of the caller"
        );
        self.hosts[stream.host].silent_until[attempt.engine] = 0;
        attempt.received = attempt.emitted;
        attempt.progress = step;
        attempt.check_at = step + stream.silence_limit;
        attempt.checked_at = None;
        let pause = step - stream.passed_at;
        stream.longest_pause = stream.longest_pause.max(pause);
        stream.passed = attempt.emitted;
        stream.passed_at = step;
        let is_complete = stream.passed == stream.events;
        // The first attempt with a next event continues, and the other one is closed.
        if slot == 0 && stream.attempts.len() > 1 {
            self.useless += 1;
        }
        stream.dial = None;
        for other in (0..self.streams[index].attempts.len()).rev() {
            if other != slot {
                self.close(index, other);
            }
        }
        if is_complete {
            self.end(index, Outcome::Complete);
        }
    }

    /// Removes an attempt; the engine stops running it.
    fn close(&mut self, index: usize, slot: usize) {
        let attempt = self.streams[index].attempts.remove(slot);
        let engine = &mut self.engines[attempt.engine];
        if engine.process == attempt.process {
            engine.load -= 1;
        }
    }

    fn receive_failure(&mut self, index: usize, slot: usize) {
        let engine = self.streams[index].attempts[slot].engine;
        self.close(index, slot);
        self.streams[index].avoid.push(engine);
        if !self.streams[index].attempts.is_empty() || self.streams[index].dial.is_some() {
            return;
        }
        if !self.repeat(index) {
            self.end(index, Outcome::Failed);
        }
    }

    fn receive_break(&mut self, index: usize, slot: usize) {
        let engine = self.streams[index].attempts[slot].engine;
        self.close(index, slot);
        let host = self.streams[index].host;
        self.hosts[host].silent_until[engine] = self.step + SECOND / 2;
        self.streams[index].avoid.push(engine);
        if !self.streams[index].attempts.is_empty() || self.streams[index].dial.is_some() {
            return;
        }
        if !self.repeat(index) {
            self.end(index, Outcome::CutBroken);
        }
    }

    /// Spends a retry and makes another attempt; returns `false` if that is not possible.
    fn repeat(&mut self, index: usize) -> bool {
        let stream = &self.streams[index];
        if !stream.is_repeatable || stream.runs.len() >= MAX_ATTEMPTS {
            return false;
        }
        let host = stream.host;
        self.spend(host, RetryUse::Replacement) && self.choose_and_dial(index)
    }

    /// Spends a retry if one is left for this use.
    fn spend(&mut self, host: usize, retry_use: RetryUse) -> bool {
        let host = &mut self.hosts[host];
        let settings = host.share.settings();
        let granted = host.budget.grant(settings, retry_use, self.now);
        // An attempt arrives at once or not at all.
        if let Some(id) = granted {
            host.budget.settle(id, self.now);
        }
        granted.is_some()
    }

    fn check_silence(&mut self, index: usize) {
        let step = self.step;
        for slot in 0..self.streams[index].attempts.len() {
            let attempt = &mut self.streams[index].attempts[slot];
            match attempt.checked_at {
                None if attempt.check_at <= step => {
                    attempt.check_at = step + CHECK_INTERVAL;
                    let (engine, host) = (attempt.engine, self.streams[index].host);
                    let is_quick = !self.is_cut(host, engine)
                        && matches!(self.engines[engine].state, EngineState::Running);
                    let time = if is_quick { 1 } else { CALL_LIMIT };
                    self.streams[index].attempts[slot].checked_at = Some(step + time);
                }
                Some(at) if at <= step => {
                    attempt.checked_at = None;
                    let cause = self.find_cause(index, slot);
                    self.handle_silence(index, slot, cause);
                    return;
                }
                _ => {}
            }
        }
    }

    fn find_cause(&mut self, index: usize, slot: usize) -> SilenceCause {
        let (step, host) = (self.step, self.streams[index].host);
        let engine = self.streams[index].attempts[slot].engine;
        let is_known = self.hosts[host].silent_until[engine] > step;
        let state = self.engines[engine].state;
        let is_reached = matches!(state, EngineState::Running | EngineState::Still { .. });
        let cause = match state {
            _ if self.is_cut(host, engine) && is_known && is_reached => SilenceCause::LostLink,
            _ if self.is_cut(host, engine) => SilenceCause::Unreachable,
            EngineState::Dark { .. } => SilenceCause::Unreachable,
            EngineState::Still { .. } | EngineState::Stopped { .. } => SilenceCause::Unresponsive,
            EngineState::Running | EngineState::Crashed { .. } => SilenceCause::Working,
        };
        match cause {
            SilenceCause::Working => self.hosts[host].silent_until[engine] = 0,
            _ => self.hosts[host].silent_until[engine] = step + EJECTION,
        }
        cause
    }

    fn handle_silence(&mut self, index: usize, slot: usize, cause: SilenceCause) {
        match self.rule {
            SilenceRule::GiveUp => self.give_up(index, slot, cause),
            SilenceRule::Hedge => self.hedge(index, slot, cause),
        }
    }

    fn give_up(&mut self, index: usize, slot: usize, cause: SilenceCause) {
        let stream = &self.streams[index];
        let attempt = &stream.attempts[slot];
        let has_begun = stream.passed > 0;
        let has_alternative = stream.is_repeatable && stream.runs.len() < MAX_ATTEMPTS;
        let is_lost = match cause {
            SilenceCause::Unresponsive | SilenceCause::Unreachable => true,
            SilenceCause::LostLink => self.step - attempt.progress >= OLD_LINK_SILENCE,
            _ => false,
        };
        // A request without a head is given up whatever is left.
        if !is_lost || has_begun && !has_alternative {
            return;
        }
        let (engine, process) = (attempt.engine, attempt.process);
        self.close(index, slot);
        self.streams[index].avoid.push(engine);
        if !self.repeat(index) {
            if self.engines[engine].goes_on(process) {
                let stream = &self.streams[index];
                self.given_up.push(format!("{cause:?} {stream:?}"));
            }
            self.end(index, Outcome::CutSilent);
        }
    }

    fn hedge(&mut self, index: usize, slot: usize, cause: SilenceCause) {
        let stream = &self.streams[index];
        let attempt = &stream.attempts[slot];
        let silent = STEP * (self.step - attempt.progress) as u32;
        let request = SilentRequest {
            cause,
            silent,
            has_begun: stream.passed > 0,
            is_repeatable: stream.is_repeatable,
            has_attempts: stream.runs.len() < MAX_ATTEMPTS,
            is_hedged: stream.attempts.len() > 1 || stream.dial.is_some(),
            is_poison: false,
            is_widespread: cause == SilenceCause::Unresponsive && self.is_widespread(stream.host),
        };
        match decide(request, stream.limits) {
            SilenceDecision::Wait(_) => {}
            SilenceDecision::End => self.end(index, Outcome::CutSilent),
            SilenceDecision::Hedge => {
                let host = stream.host;
                if self.choose_and_dial(index) {
                    if self.spend(host, retry_use(cause)) {
                        self.hedges += 1;
                    } else {
                        self.streams[index].dial = None;
                    }
                }
            }
        }
    }

    /// Returns whether more than half of the targets on which a host runs requests have sent
    /// nothing for as long as it takes to check them.
    fn is_widespread(&self, host: usize) -> bool {
        let own = self.streams.iter().filter(|stream| stream.host == host);
        let attempts = own.flat_map(|stream| {
            let limit = stream.silence_limit;
            let attempts = stream.attempts.iter();
            attempts.map(move |attempt| (attempt, limit))
        });
        let mut latest = vec![None; self.plan.engines];
        for (attempt, limit) in attempts {
            let is_silent = self.step - attempt.progress >= limit;
            let all = latest[attempt.engine].get_or_insert(true);
            *all &= is_silent;
        }
        let used = latest.iter().flatten();
        let silent = used.clone().filter(|is_silent| **is_silent);
        used.clone().count() >= MIN_SAMPLE && silent.count() * 2 > used.count()
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        let stream = &mut self.streams[index];
        if stream.outcome.is_some() {
            return;
        }
        stream.outcome = Some(outcome);
        stream.dial = None;
        let by_host = matches!(
            outcome,
            Outcome::CutSilent | Outcome::CutBroken | Outcome::Failed
        );
        let goes_on = |run: &SimAttempt| self.engines[run.engine].goes_on(run.process);
        if by_host && stream.attempts.iter().any(goes_on) {
            self.given_up.push(format!("{stream:?}"));
        }
        while !self.streams[index].attempts.is_empty() {
            self.close(index, 0);
        }
    }
}

fn steps(time: Duration) -> usize {
    (time.as_secs_f64() / STEP.as_secs_f64()).ceil() as usize
}
