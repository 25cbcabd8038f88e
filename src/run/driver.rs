//! Drives a run: executes decisions and turns responses into events.

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

/// Runs `machine` to its end and returns the outcome.
///
/// Tokens are sent to `tokens`. The run ends early at the plan's deadline, or when the
/// receiver is dropped, even while no token is due. Sessions are cancelled in the
/// background, so that the caller does not wait for that. Dropping the future leaves
/// sessions on the engines, so it should be spawned as a task.
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
        reported_leaving: Vec::new(),
    };
    driver.run().await
}

/// A decision whose execution takes time; at most one is pending.
enum PendingOperation {
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
    /// Leaving targets that the state machine was notified of.
    reported_leaving: Vec<TargetId>,
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
        let mut pending = None;
        loop {
            while let Some(event) = events.pop_front() {
                self.report_leaving();
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
                        other => pending = self.start(other, &mut events).or(pending),
                    }
                }
            }
            let event = match pending.take() {
                Some(operation) => self.execute(operation).await,
                // Unreachable, as a run that has not ended awaits an event. If it
                // happened, the run would end at its deadline instead of hanging.
                None => self.interruption().await,
            };
            events.push_back(event);
        }
    }

    /// Passes an event to the state machine. If the state machine drops a response, the
    /// call that returned it has still ended and no other event would resume the run, so
    /// a failure event is queued.
    fn handle(&mut self, event: RunEvent, events: &mut VecDeque<RunEvent>) -> Vec<RunDecision> {
        let responder = match &event {
            RunEvent::ResponseReceived { target, .. } => Some(target.clone()),
            _ => None,
        };
        let dropped = self.machine.dropped_responses();
        let decisions = self.machine.handle(event, Instant::now());
        match (responder, self.machine.awaited_order()) {
            (Some(target), Some(order)) if self.machine.dropped_responses() > dropped => {
                events.push_back(RunEvent::StepFailed {
                    label: order.label.clone(),
                    position: order.position,
                    failure: StepFailure {
                        reason: RetryReason::ResponseMismatched,
                        timed_out: false,
                        verdict: RunVerdict::MayHaveRun,
                        refusal: None,
                    },
                });
                (self.hooks.observe)(StepObservation::ResponseDropped { target });
            }
            _ => {}
        }
        decisions
    }

    fn report_leaving(&mut self) {
        let is_unreported = |target: &&TargetId| {
            !self.reported_leaving.contains(target) && (self.hooks.is_leaving)(target)
        };
        let leaving: Vec<TargetId> = self
            .machine
            .targets()
            .filter(is_unreported)
            .cloned()
            .collect();
        for target in leaving {
            self.reported_leaving.push(target.clone());
            let event = RunEvent::TargetLeaving { target };
            // The state machine only records this event and acts on it when it next sends
            // to the stage.
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

    /// Executes a decision that completes at once, or returns it as a pending operation.
    fn start(
        &self,
        decision: RunDecision,
        events: &mut VecDeque<RunEvent>,
    ) -> Option<PendingOperation> {
        match decision {
            RunDecision::SendStep {
                target,
                order,
                retry,
                delay,
            } => Some(PendingOperation::Step {
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
            } => Some(PendingOperation::Move {
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

    /// Cancels a session on a target in the background. The engine eventually drops a
    /// session whose cancellation fails.
    fn cancel(&self, target: &TargetId, session: String) {
        let Some(address) = (self.hooks.address)(target) else {
            return;
        };
        let client = self.client.clone();
        tokio::spawn(async move { client.cancel(address, &session).await });
    }

    async fn execute(&self, operation: PendingOperation) -> RunEvent {
        match operation {
            PendingOperation::Step {
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
                self.send_step(target, order, retry).await
            }
            PendingOperation::Move {
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

    async fn send_step(
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
        let response = tokio::select! {
            biased;
            event = self.interruption() => {
                (self.hooks.observe)(StepObservation::Abandoned { target, positions });
                return event;
            }
            response = self.call(&target, &order) => response,
        };
        let latency = began.elapsed();
        match response {
            Ok(response) => {
                (self.hooks.observe)(StepObservation::Completed {
                    target: target.clone(),
                    positions,
                    latency,
                });
                RunEvent::ResponseReceived { target, response }
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

    /// Completes when the run has to stop early.
    async fn interruption(&self) -> RunEvent {
        tokio::select! {
            biased;
            () = self.tokens.closed() => RunEvent::CallerGone,
            () = sleep_until(self.deadline.into()) => RunEvent::DeadlineReached,
        }
    }
}
