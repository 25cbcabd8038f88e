//! Drives a machine against engines in memory, with a script of faults.

mod faults;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use jackdawwick::ids::{TargetId, TokenValue};
use jackdawwick::reason::RetryReason;
use jackdawwick::run::{
    RunDecision, RunEvent, RunLimits, RunMachine, RunOutcome, RunPlan, StepFailure,
};
use jackdawwick::target::wire::{StepRequest, StepResponse, TargetRefusal};
use jackdawwick::verdict::RunVerdict;

use faults::crossed_answer;
pub(crate) use faults::{CROSSED_PARTS, Fault};

use super::engines::{HeldOrder, ModelEngine, ReferenceTrace, planned_stage};

/// Steps after which a run counts as endless.
const MAX_SENDS: u32 = 400;
/// Earlier answers that come again before each event.
const STALE_ANSWERS: usize = 8;

/// An answer that was sent, with what its session had taken in.
#[derive(Clone)]
struct PastAnswer {
    target: TargetId,
    answer: StepResponse,
    inputs: Vec<u64>,
}

pub(crate) struct ModelWorld {
    machine: RunMachine,
    now: Instant,
    stages: usize,
    prompt: usize,
    trace: ReferenceTrace,
    pub(crate) engines: BTreeMap<TargetId, ModelEngine>,
    script: BTreeMap<u32, Fault>,
    due: VecDeque<(RunEvent, Option<Vec<u64>>)>,
    past: Vec<PastAnswer>,
    /// Inputs behind the answer last accepted for each stage.
    chain: Vec<Vec<u64>>,
    fails_moves: bool,
    pub(crate) has_spares: bool,
    /// Sessions ended or given up, and the target of each session used.
    closed: BTreeSet<String>,
    owners: BTreeMap<String, TargetId>,
    /// Step last sent, and how often in a row.
    repeated: (String, u64, u32),
    max_resends: u32,
    pub(crate) sends: u32,
    pub(crate) moves: u32,
    pub(crate) values_sent: u64,
    pub(crate) order_seen: bool,
    pub(crate) tokens: Vec<TokenValue>,
    pub(crate) outcome: Option<RunOutcome>,
}

impl ModelWorld {
    pub(crate) fn new(
        stages: usize,
        prompt: Vec<TokenValue>,
        count: u64,
        limits: RunLimits,
        script: BTreeMap<u32, Fault>,
    ) -> Self {
        let now = Instant::now();
        let planned: Vec<_> = (0..stages).map(planned_stage).collect();
        let targets = planned.iter().map(|stage| stage.target.clone());
        Self {
            engines: targets.map(|id| (id, ModelEngine::default())).collect(),
            trace: ReferenceTrace::generate(stages, &prompt, count as usize),
            prompt: prompt.len(),
            machine: RunMachine::new(
                RunPlan {
                    request: "r".into(),
                    model: "m".into(),
                    version: "v".into(),
                    stages: planned,
                    prompt,
                    already_delivered: 0,
                    max_tokens: count,
                    deadline: now + Duration::from_secs(600),
                    priority: 0,
                },
                limits,
            ),
            now,
            stages,
            script,
            due: VecDeque::from([(RunEvent::Started, None)]),
            past: Vec::new(),
            chain: vec![Vec::new(); stages],
            fails_moves: false,
            has_spares: true,
            closed: BTreeSet::new(),
            owners: BTreeMap::new(),
            repeated: (String::new(), 0, 0),
            max_resends: limits.resends_per_step,
            sends: 0,
            moves: 0,
            values_sent: 0,
            order_seen: false,
            tokens: Vec::new(),
            outcome: None,
        }
    }

    /// Runs to the end; every event is preceded by late and crossed answers.
    pub(crate) fn run(&mut self) {
        while let Some((event, inputs)) = self.due.pop_front() {
            assert!(self.sends < MAX_SENDS, "the run does not end");
            self.repeat_past();
            self.feed(event, inputs);
        }
        for engine in self.engines.keys().cloned().collect::<Vec<_>>() {
            self.wake(&engine);
        }
        self.repeat_past();
        self.feed(RunEvent::CallerGone, None);
        assert!(self.outcome.is_some(), "the run stopped without an outcome");
    }

    /// Sends earlier answers again, then answers that match what is awaited but
    /// for one part and whose outputs are wrong.
    fn repeat_past(&mut self) {
        let skipped = self.past.len().saturating_sub(STALE_ANSWERS);
        let stale: Vec<PastAnswer> = self.past[skipped..].to_vec();
        for PastAnswer {
            target,
            answer,
            inputs,
        } in stale
        {
            self.feed(RunEvent::StepAnswered { target, answer }, Some(inputs));
        }
        let Some(order) = self.machine.awaited_order().cloned() else {
            return;
        };
        let forged = StepResponse {
            outputs: vec![u64::MAX; order.inputs.len()],
            label: order.label,
            position: order.position,
        };
        let place = forged.label.stage;
        let target = self.machine.targets().nth(place).cloned();
        let target = target.expect("a stage of the route");
        for part in 0..CROSSED_PARTS {
            let answer = crossed_answer(forged.clone(), part);
            let target = target.clone();
            self.feed(RunEvent::StepAnswered { target, answer }, None);
        }
        let target = "another".into();
        let answer = forged;
        self.feed(RunEvent::StepAnswered { target, answer }, None);
    }

    fn feed(&mut self, event: RunEvent, inputs: Option<Vec<u64>>) {
        let stage = match &event {
            RunEvent::StepAnswered { answer, .. } => Some(answer.label.stage),
            _ => None,
        };
        let dropped = self.machine.dropped();
        let decisions = self.machine.handle(event, self.now);
        let is_accepted = stage.filter(|_| self.machine.dropped() == dropped);
        if let Some(stage) = is_accepted {
            self.chain[stage] = inputs.expect("a crossed answer was accepted");
        }
        for decision in decisions {
            assert!(self.outcome.is_none(), "{decision:?} after the end");
            self.carry_out(decision);
        }
    }

    fn carry_out(&mut self, decision: RunDecision) {
        match decision {
            RunDecision::SendStep { target, order, .. } => self.send(&target, order),
            RunDecision::DeliverToken { number, token } => self.check_token(number, token),
            RunDecision::ChooseReplacement {
                stage, excluded, ..
            } => {
                let name: TargetId = format!("spare-{stage}-{}", self.engines.len()).into();
                assert!(!excluded.contains(&name));
                let target = self.has_spares.then_some(name);
                for name in target.iter() {
                    self.engines.insert(name.clone(), ModelEngine::default());
                }
                let event = RunEvent::ReplacementChosen { stage, target };
                self.due.push_back((event, None));
            }
            RunDecision::MoveCache {
                from,
                from_session,
                to,
                to_session,
            } => {
                self.moves += 1;
                let session = match &self.engines[&from] {
                    engine if engine.is_dead || engine.frozen_for > 0 => None,
                    engine => engine.sessions.get(&from_session).cloned(),
                };
                let moved = session.as_ref().map(|session| session.inputs.len() as u64);
                let importer = self.engines.get_mut(&to).expect("known target");
                importer
                    .sessions
                    .extend(session.map(|session| (to_session.clone(), session)));
                let next_position = moved.filter(|_| !self.fails_moves);
                if next_position.is_none() {
                    // The import may still arrive, so the name is spent.
                    self.closed.insert(to_session.clone());
                }
                let event = RunEvent::CacheMoved {
                    to_session,
                    next_position,
                };
                self.due.push_back((event, None));
            }
            RunDecision::CancelSession { target, session } => {
                self.closed.insert(session.clone());
                let engine = self.engines.get_mut(&target).expect("known target");
                match engine.frozen_for {
                    0 => drop(engine.sessions.remove(&session)),
                    _ => engine.held.push(HeldOrder::Cancel(session)),
                }
            }
            RunDecision::Finish(outcome) => self.outcome = Some(outcome),
        }
    }

    /// A delivered token is the right one, and in the sessions behind it each
    /// stage took in each position once, in order, with the right input.
    fn check_token(&mut self, number: u64, token: TokenValue) {
        assert_eq!(number, self.tokens.len() as u64, "numbered without gap");
        assert_eq!(token, self.trace.tokens[self.tokens.len()], "wrong token");
        let end = self.prompt + self.tokens.len();
        for (chain, right) in self.chain.iter().zip(&self.trace.inputs) {
            assert_eq!(
                chain[..],
                right[..end],
                "position skipped, doubled or wrong"
            );
        }
        self.tokens.push(token);
    }

    /// A session is of one target and never used after its end, and a step is
    /// not resent for ever.
    fn check_session(&mut self, target: &TargetId, order: &StepRequest) {
        let session = order.label.session();
        assert!(!self.closed.contains(&session), "{session} used again");
        let owner = self.owners.entry(session.clone());
        assert_eq!(owner.or_insert_with(|| target.clone()), target);
        let (last, position, times) = &self.repeated;
        let times = match *last == session && *position == order.position {
            true => times + 1,
            false => 0,
        };
        assert!(times <= self.max_resends, "{session} resent too often");
        self.repeated = (session, order.position, times);
    }

    fn send(&mut self, target: &TargetId, order: StepRequest) {
        self.check_session(target, &order);
        let fault = self.script.remove(&self.sends);
        self.sends += 1;
        self.values_sent += order.inputs.len() as u64;
        for frozen in self.engines.keys().cloned().collect::<Vec<_>>() {
            let engine = self.engines.get_mut(&frozen).expect("known target");
            match engine.frozen_for {
                0 => {}
                1 => self.wake(&frozen),
                _ => engine.frozen_for -= 1,
            }
        }
        self.apply(fault, target);
        let engine = self.engines.get_mut(target).expect("known target");
        let lost = || (RetryReason::AnswerLost, RunVerdict::MayHaveRun, None);
        let failure = match fault {
            _ if engine.is_dead => (RetryReason::ConnectFailed, RunVerdict::NotRun, None),
            _ if engine.frozen_for > 0 => {
                self.order_seen = true;
                engine.held.push(HeldOrder::Step(order.clone()));
                lost()
            }
            Some(Fault::LoseOrder) => lost(),
            Some(Fault::Refuse(refused)) => {
                let refusal = TargetRefusal {
                    refused,
                    next_position: None,
                };
                (
                    RetryReason::TargetRefused,
                    RunVerdict::NotRun,
                    Some(refusal),
                )
            }
            _ => match engine.step(&order, self.stages) {
                Err(refusal) => (RetryReason::SessionLost, RunVerdict::NotRun, Some(refusal)),
                Ok((answer, inputs)) => {
                    self.order_seen = true;
                    engine.is_dead = fault == Some(Fault::DieAfter);
                    let target = target.clone();
                    let past = PastAnswer {
                        target: target.clone(),
                        answer,
                        inputs,
                    };
                    self.past.push(past.clone());
                    match fault {
                        Some(Fault::DieAfter | Fault::LoseAnswer) => lost(),
                        Some(Fault::Cross(part)) => {
                            let answer = crossed_answer(past.answer, part);
                            let event = RunEvent::StepAnswered { target, answer };
                            self.due.push_back((event, None));
                            (RetryReason::AnswerMismatched, RunVerdict::MayHaveRun, None)
                        }
                        _ => {
                            let event = RunEvent::StepAnswered {
                                target,
                                answer: past.answer,
                            };
                            return self.due.push_back((event, Some(past.inputs)));
                        }
                    }
                }
            },
        };
        let (reason, verdict, refusal) = failure;
        let event = RunEvent::StepFailed {
            label: order.label,
            position: order.position,
            failure: StepFailure {
                reason,
                timed_out: false,
                verdict,
                refusal,
            },
        };
        self.due.push_back((event, None));
    }
}
