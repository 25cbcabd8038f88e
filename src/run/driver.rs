//! The shell of a run: carries out decisions and turns answers into events.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until};

use super::{
    DeliveredToken, RunDecision, RunEvent, RunHooks, RunMachine, RunOutcome, StepFailure,
    StepObservation,
};
use crate::ids::{StageIndex, TargetId, TokenPosition};
use crate::reason::RetryReason;
use crate::target::client::TargetClient;
use crate::target::wire::StepRequest;
use crate::verdict::RunVerdict;

/// Runs `machine` to its end and gives back the outcome.
///
/// Tokens go into `tokens`; the run ends early if its receiver is dropped, also
/// while no token is due, or at the plan's deadline. Sessions are cancelled in
/// the background, so that the caller does not wait for that. Dropping the
/// future leaves sessions on the engines: spawn it.
pub async fn drive_run<C, A, L, O>(
    machine: RunMachine,
    client: TargetClient,
    hooks: RunHooks<C, A, L, O>,
    tokens: mpsc::Sender<DeliveredToken>,
) -> RunOutcome
where
    C: Fn(StageIndex, &[TargetId], RetryReason) -> Option<TargetId>,
    A: Fn(&TargetId) -> Option<SocketAddr>,
    L: Fn(&TargetId) -> bool,
    O: Fn(StepObservation),
{
    let deadline = machine.plan().deadline;
    let driver = RunDriver {
        machine,
        client,
        hooks,
        tokens,
        deadline,
        announced: Vec::new(),
    };
    driver.run().await
}

/// A decision that takes time; at most one is open.
enum OpenWork {
    Step {
        target: TargetId,
        order: StepRequest,
        retry: Option<RetryReason>,
        delay: Duration,
    },
    Move {
        from: TargetId,
        from_session: String,
        to: TargetId,
        to_session: String,
    },
}

struct RunDriver<C, A, L, O>
where
    C: Fn(StageIndex, &[TargetId], RetryReason) -> Option<TargetId>,
    A: Fn(&TargetId) -> Option<SocketAddr>,
    L: Fn(&TargetId) -> bool,
    O: Fn(StepObservation),
{
    machine: RunMachine,
    client: TargetClient,
    hooks: RunHooks<C, A, L, O>,
    tokens: mpsc::Sender<DeliveredToken>,
    deadline: Instant,
    /// Leaving targets that the machine was told of.
    announced: Vec<TargetId>,
}

impl<C, A, L, O> RunDriver<C, A, L, O>
where
    C: Fn(StageIndex, &[TargetId], RetryReason) -> Option<TargetId>,
    A: Fn(&TargetId) -> Option<SocketAddr>,
    L: Fn(&TargetId) -> bool,
    O: Fn(StepObservation),
{
    async fn run(mut self) -> RunOutcome {
        let mut events = VecDeque::from([RunEvent::Started]);
        let mut open = None;
        loop {
            while let Some(event) = events.pop_front() {
                self.announce_leaving();
                let decisions = self.handle(event, &mut events);
                for decision in decisions {
                    match decision {
                        RunDecision::Finish(outcome) => return outcome,
                        RunDecision::DeliverToken { number, token } => {
                            let delivered = DeliveredToken { number, token };
                            if let Some(event) = self.deliver(delivered).await {
                                events.push_back(event);
                            }
                        }
                        other => open = self.begin(other, &mut events).or(open),
                    }
                }
            }
            let event = match open.take() {
                Some(work) => self.carry_out(work).await,
                // Cannot happen: a run that has not ended awaits something.
                // Should it, the run ends at its deadline rather than never.
                None => self.interruption().await,
            };
            events.push_back(event);
        }
    }

    /// Hands an event to the machine. If that drops an answer, the call that
    /// brought it has still ended, and nothing else would wake the run; so a
    /// failure follows.
    fn handle(&mut self, event: RunEvent, events: &mut VecDeque<RunEvent>) -> Vec<RunDecision> {
        let answered = match &event {
            RunEvent::StepAnswered { target, .. } => Some(target.clone()),
            _ => None,
        };
        let dropped = self.machine.dropped();
        let decisions = self.machine.handle(event, Instant::now());
        match (answered, self.machine.awaited_order()) {
            (Some(target), Some(order)) if self.machine.dropped() > dropped => {
                events.push_back(RunEvent::StepFailed {
                    label: order.label.clone(),
                    position: order.position,
                    failure: StepFailure {
                        reason: RetryReason::AnswerMismatched,
                        timed_out: false,
                        verdict: RunVerdict::MayHaveRun,
                        refusal: None,
                    },
                });
                (self.hooks.observe)(StepObservation::AnswerDropped { target });
            }
            _ => {}
        }
        decisions
    }

    fn announce_leaving(&mut self) {
        let is_news = |target: &&TargetId| {
            !self.announced.contains(target) && (self.hooks.is_leaving)(target)
        };
        let leaving: Vec<TargetId> = self.machine.targets().filter(is_news).cloned().collect();
        for target in leaving {
            self.announced.push(target.clone());
            let event = RunEvent::TargetLeaving { target };
            // Only noted by the machine; it acts when the stage is due.
            self.machine.handle(event, Instant::now());
        }
    }

    async fn deliver(&self, token: DeliveredToken) -> Option<RunEvent> {
        tokio::select! {
            biased;
            sent = self.tokens.send(token) => sent.err().map(|_| RunEvent::CallerGone),
            () = sleep_until(self.deadline.into()) => Some(RunEvent::DeadlineReached),
        }
    }

    /// Carries out a decision that takes no time, or gives back the work.
    fn begin(&self, decision: RunDecision, events: &mut VecDeque<RunEvent>) -> Option<OpenWork> {
        match decision {
            RunDecision::SendStep {
                target,
                order,
                retry,
                delay,
            } => Some(OpenWork::Step {
                target,
                order,
                retry,
                delay,
            }),
            RunDecision::MoveCache {
                from,
                from_session,
                to,
                to_session,
            } => Some(OpenWork::Move {
                from,
                from_session,
                to,
                to_session,
            }),
            RunDecision::ChooseReplacement {
                stage,
                excluded,
                reason,
            } => {
                let chosen = (self.hooks.choose)(stage, &excluded, reason);
                (self.hooks.observe)(StepObservation::Replacing {
                    stage,
                    reason,
                    chosen: chosen.clone(),
                });
                events.push_back(RunEvent::ReplacementChosen {
                    stage,
                    target: chosen,
                });
                None
            }
            RunDecision::CancelSession { target, session } => {
                self.cancel(&target, session);
                None
            }
            RunDecision::DeliverToken { .. } | RunDecision::Finish(_) => None,
        }
    }

    /// Best effort: a session left behind is dropped by the engine in time.
    fn cancel(&self, target: &TargetId, session: String) {
        let Some(address) = (self.hooks.address)(target) else {
            return;
        };
        let client = self.client.clone();
        tokio::spawn(async move { client.cancel(address, &session).await });
    }

    async fn carry_out(&self, work: OpenWork) -> RunEvent {
        match work {
            OpenWork::Step {
                target,
                order,
                retry,
                delay,
            } => {
                tokio::select! {
                    biased;
                    event = self.interruption() => return event,
                    () = sleep(delay) => {}
                }
                self.step(target, order, retry).await
            }
            OpenWork::Move {
                from,
                from_session,
                to,
                to_session,
            } => {
                let moved = self.move_cache(&from, &from_session, &to, &to_session);
                let next_position = tokio::select! {
                    biased;
                    event = self.interruption() => return event,
                    next_position = moved => next_position,
                };
                RunEvent::CacheMoved {
                    to_session,
                    next_position,
                }
            }
        }
    }

    async fn step(
        &self,
        target: TargetId,
        order: StepRequest,
        retry: Option<RetryReason>,
    ) -> RunEvent {
        let positions = order.inputs.len() as u64;
        (self.hooks.observe)(StepObservation::Sent {
            stage: order.label.stage,
            target: target.clone(),
            positions,
            retry,
        });
        let began = Instant::now();
        let answer = tokio::select! {
            biased;
            event = self.interruption() => {
                (self.hooks.observe)(StepObservation::Abandoned { target, positions });
                return event;
            }
            answer = self.call(&target, &order) => answer,
        };
        let latency = began.elapsed();
        match answer {
            Ok(answer) => {
                (self.hooks.observe)(StepObservation::Answered {
                    target: target.clone(),
                    positions,
                    latency,
                });
                RunEvent::StepAnswered { target, answer }
            }
            Err(failure) => {
                (self.hooks.observe)(StepObservation::Failed {
                    target,
                    positions,
                    reason: failure.reason,
                    verdict: failure.verdict,
                    latency,
                });
                RunEvent::StepFailed {
                    label: order.label,
                    position: order.position,
                    failure,
                }
            }
        }
    }

    async fn call(
        &self,
        target: &TargetId,
        order: &StepRequest,
    ) -> Result<crate::target::wire::StepResponse, StepFailure> {
        match (self.hooks.address)(target) {
            Some(address) => self.client.step(address, order).await,
            None => Err(StepFailure {
                reason: RetryReason::ConnectFailed,
                timed_out: false,
                verdict: RunVerdict::NotRun,
                refusal: None,
            }),
        }
    }

    async fn move_cache(
        &self,
        from: &TargetId,
        from_session: &str,
        to: &TargetId,
        to_session: &str,
    ) -> Option<TokenPosition> {
        let from = (self.hooks.address)(from)?;
        let to = (self.hooks.address)(to)?;
        let export = self.client.export_cache(from, from_session).await.ok()?;
        let imported = self.client.import_cache(to, to_session, &export).await;
        imported.ok().map(|()| export.next_position)
    }

    /// Ends when the run has to stop before its time.
    async fn interruption(&self) -> RunEvent {
        tokio::select! {
            biased;
            () = self.tokens.closed() => RunEvent::CallerGone,
            () = sleep_until(self.deadline.into()) => RunEvent::DeadlineReached,
        }
    }
}
