//! Drives a run's state machine with engines in memory and a script of faults.

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

use faults::mismatched_response;
pub(crate) use faults::{Fault, RESPONSE_PARTS};

use super::engines::{ModelEngine, QueuedOrder, ReferenceTrace, planned_stage};

/// Number of steps after which a run counts as endless.
const MAX_STEPS_SENT: u32 = 400;
/// Number of earlier responses that are repeated before each event.
const MAX_STALE_RESPONSES: usize = 8;

/// A response that was sent, and the inputs that its session had run.
#[derive(Clone)]
struct PastResponse {
    target: TargetId,
    response: StepResponse,
    inputs: Vec<u64>,
}

pub(crate) struct RunSimulation {
    machine: RunMachine,
    now: Instant,
    stages: usize,
    prompt: usize,
    trace: ReferenceTrace,
    pub(crate) engines: BTreeMap<TargetId, ModelEngine>,
    script: BTreeMap<u32, Fault>,
    pending_events: VecDeque<(RunEvent, Option<Vec<u64>>)>,
    past_responses: Vec<PastResponse>,
    /// Inputs of the session that gave the last accepted response, per stage.
    accepted_inputs: Vec<Vec<u64>>,
    fail_moves: bool,
    pub(crate) has_spares: bool,
    /// The targets among which replacements are chosen; each is a new one if there are none.
    pub(crate) holders: Vec<TargetId>,
    /// Sessions that ended or were given up, and the target of each session.
    closed: BTreeSet<String>,
    owners: BTreeMap<String, TargetId>,
    /// The last step sent, and how often it was repeated in a row.
    last_step: (String, u64, u32),
    max_resends: u32,
    pub(crate) sends: u32,
    pub(crate) moves: u32,
    pub(crate) values_sent: u64,
    pub(crate) order_seen: bool,
    pub(crate) tokens: Vec<TokenValue>,
    pub(crate) outcome: Option<RunOutcome>,
}

impl RunSimulation {
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
            pending_events: VecDeque::from([(RunEvent::Started, None)]),
            past_responses: Vec::new(),
            accepted_inputs: vec![Vec::new(); stages],
            fail_moves: false,
            has_spares: true,
            holders: Vec::new(),
            closed: BTreeSet::new(),
            owners: BTreeMap::new(),
            last_step: (String::new(), 0, 0),
            max_resends: limits.resends_per_step,
            sends: 0,
            moves: 0,
            values_sent: 0,
            order_seen: false,
            tokens: Vec::new(),
            outcome: None,
        }
    }

    /// Runs to the end; late and mismatched responses precede every event.
    pub(crate) fn run(&mut self) {
        while let Some((event, inputs)) = self.pending_events.pop_front() {
            assert!(self.sends < MAX_STEPS_SENT, "the run does not end");
            self.replay_past_responses();
            self.handle_event(event, inputs);
        }
        for engine in self.engines.keys().cloned().collect::<Vec<_>>() {
            self.wake(&engine);
        }
        self.replay_past_responses();
        self.handle_event(RunEvent::CallerGone, None);
        assert!(self.outcome.is_some(), "the run stopped without an outcome");
    }

    /// Repeats earlier responses, then sends responses with wrong outputs that match the
    /// awaited step in all parts but one.
    fn replay_past_responses(&mut self) {
        let skipped = self
            .past_responses
            .len()
            .saturating_sub(MAX_STALE_RESPONSES);
        let stale: Vec<PastResponse> = self.past_responses[skipped..].to_vec();
        for PastResponse {
            target,
            response,
            inputs,
        } in stale
        {
            self.handle_event(
                RunEvent::ResponseReceived { target, response },
                Some(inputs),
            );
        }
        let Some(order) = self.machine.awaited_order().cloned() else {
            return;
        };
        let forged = StepResponse {
            outputs: vec![u64::MAX; order.inputs.len()],
            label: order.label,
            position: order.position,
        };
        let index = forged.label.stage;
        let target = self.machine.targets().nth(index).cloned();
        let target = target.expect("a stage of the route");
        for part in 0..RESPONSE_PARTS {
            let response = mismatched_response(forged.clone(), part);
            let target = target.clone();
            self.handle_event(RunEvent::ResponseReceived { target, response }, None);
        }
        let target = "another".into();
        let response = forged;
        self.handle_event(RunEvent::ResponseReceived { target, response }, None);
    }

    fn handle_event(&mut self, event: RunEvent, inputs: Option<Vec<u64>>) {
        let stage = match &event {
            RunEvent::ResponseReceived { response, .. } => Some(response.label.stage),
            _ => None,
        };
        let dropped = self.machine.dropped_responses();
        let decisions = self.machine.handle(event, self.now);
        let is_accepted = stage.filter(|_| self.machine.dropped_responses() == dropped);
        if let Some(stage) = is_accepted {
            self.accepted_inputs[stage] = inputs.expect("a mismatched response was accepted");
        }
        for decision in decisions {
            assert!(self.outcome.is_none(), "{decision:?} after the end");
            self.execute(decision);
        }
    }

    fn execute(&mut self, decision: RunDecision) {
        match decision {
            RunDecision::SendStep { target, order, .. } => self.send(&target, order),
            RunDecision::DeliverToken { number, token } => self.check_token(number, token),
            RunDecision::ChooseReplacement {
                stage, excluded, ..
            } => {
                let name: TargetId = format!("spare-{stage}-{}", self.engines.len()).into();
                assert!(!excluded.contains(&name));
                let target = match self.holders.is_empty() {
                    true => self.has_spares.then_some(name),
                    false => {
                        let mut holders = self.holders.iter();
                        holders.find(|id| !excluded.contains(id)).cloned()
                    }
                };
                for name in target.iter() {
                    self.engines.entry(name.clone()).or_default();
                }
                let event = RunEvent::ReplacementChosen { stage, target };
                self.pending_events.push_back((event, None));
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
                let next_position = moved.filter(|_| !self.fail_moves);
                if next_position.is_none() {
                    // The import may still arrive, so the session name must not be used
                    // again.
                    self.closed.insert(to_session.clone());
                }
                let event = RunEvent::CacheMoved {
                    to_session,
                    next_position,
                };
                self.pending_events.push_back((event, None));
            }
            RunDecision::CancelSession { target, session } => {
                self.closed.insert(session.clone());
                let engine = self.engines.get_mut(&target).expect("known target");
                match engine.frozen_for {
                    0 => drop(engine.sessions.remove(&session)),
                    _ => engine.queued.push(QueuedOrder::Cancel(session)),
                }
            }
            RunDecision::Finish(outcome) => self.outcome = Some(outcome),
        }
    }

    /// Checks that a delivered token is correct, and that in the sessions that produced
    /// it each stage ran each position once, in order and with the correct input.
    fn check_token(&mut self, number: u64, token: TokenValue) {
        assert_eq!(number, self.tokens.len() as u64, "numbered without gap");
        assert_eq!(token, self.trace.tokens[self.tokens.len()], "wrong token");
        let end = self.prompt + self.tokens.len();
        for (accepted_inputs, right) in self.accepted_inputs.iter().zip(&self.trace.inputs) {
            assert_eq!(
                accepted_inputs[..],
                right[..end],
                "position skipped, repeated or wrong"
            );
        }
        self.tokens.push(token);
    }

    /// Checks that a session belongs to one target and is not used after its end, and
    /// that a step is not resent without limit.
    fn check_session(&mut self, target: &TargetId, order: &StepRequest) {
        let session = order.label.session();
        assert!(!self.closed.contains(&session), "{session} used again");
        let owner = self.owners.entry(session.clone());
        assert_eq!(owner.or_insert_with(|| target.clone()), target);
        let (last, position, times) = &self.last_step;
        let times = match *last == session && *position == order.position {
            true => times + 1,
            false => 0,
        };
        assert!(times <= self.max_resends, "{session} resent too often");
        self.last_step = (session, order.position, times);
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
        let lost = || (RetryReason::ResponseLost, RunVerdict::MayHaveRun, None);
        let failure = match fault {
            _ if engine.is_dead => (RetryReason::ConnectFailed, RunVerdict::NotRun, None),
            _ if engine.frozen_for > 0 => {
                self.order_seen = true;
                engine.queued.push(QueuedOrder::Step(order.clone()));
                lost()
            }
            Some(Fault::LoseOrder | Fault::TimeOut) => lost(),
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
                Ok((response, inputs)) => {
                    self.order_seen = true;
                    engine.is_dead = fault == Some(Fault::DieAfter);
                    let target = target.clone();
                    let past_responses = PastResponse {
                        target: target.clone(),
                        response,
                        inputs,
                    };
                    self.past_responses.push(past_responses.clone());
                    match fault {
                        Some(Fault::DieAfter | Fault::LoseResponse) => lost(),
                        Some(Fault::Mismatch(part)) => {
                            let response = mismatched_response(past_responses.response, part);
                            let event = RunEvent::ResponseReceived { target, response };
                            self.pending_events.push_back((event, None));
                            (
                                RetryReason::ResponseMismatched,
                                RunVerdict::MayHaveRun,
                                None,
                            )
                        }
                        _ => {
                            let event = RunEvent::ResponseReceived {
                                target,
                                response: past_responses.response,
                            };
                            return self
                                .pending_events
                                .push_back((event, Some(past_responses.inputs)));
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
                timed_out: fault == Some(Fault::TimeOut),
                verdict,
                refusal,
            },
        };
        self.pending_events.push_back((event, None));
    }
}
