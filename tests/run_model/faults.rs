//! The faults of a script, and their effects on engines and responses.

use jackdawwick::ids::TargetId;
use jackdawwick::run::RunEvent;
use jackdawwick::target::wire::{StepResponse, TargetRefusalKind};

use super::{PastResponse, RunSimulation};
use crate::engines::QueuedOrder;

/// Number of parts of a response, besides its target, that must match the order.
pub(crate) const RESPONSE_PARTS: u8 = 5;

/// A fault at one step of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    DieBefore,
    DieAfter,
    DieWithNeighbour,
    LoseOrder,
    LoseResponse,
    /// The target reads no order until the timeout.
    TimeOut,
    Freeze(u32),
    LoseSessions,
    LoseAllSessions,
    Refuse(TargetRefusalKind),
    Mismatch(u8),
    Leave(usize),
    LeaveThenFailMove(usize),
    NoSpare,
    CallerGone,
    DeadlineReached,
}

impl Fault {
    /// Returns whether the run may end before the response is complete.
    pub(crate) fn may_end_early(self) -> bool {
        matches!(
            self,
            Self::NoSpare | Self::CallerGone | Self::DeadlineReached
        )
    }
}

impl RunSimulation {
    pub(super) fn apply(&mut self, fault: Option<Fault>, target: &TargetId) {
        let route: Vec<TargetId> = self.machine.targets().cloned().collect();
        let index = route
            .iter()
            .position(|candidate| candidate == target)
            .unwrap_or(0);
        let neighbour = route[(index + 1) % route.len()].clone();
        match fault {
            Some(Fault::DieBefore) => self.kill(target),
            Some(Fault::DieWithNeighbour) => {
                self.kill(target);
                self.kill(&neighbour);
            }
            Some(Fault::Freeze(steps)) => {
                self.engines
                    .get_mut(target)
                    .expect("known target")
                    .frozen_for = steps;
            }
            Some(Fault::LoseSessions) => {
                self.engines
                    .get_mut(target)
                    .expect("known target")
                    .sessions
                    .clear();
            }
            Some(Fault::LoseAllSessions) => {
                self.engines
                    .values_mut()
                    .for_each(|engine| engine.sessions.clear());
            }
            Some(Fault::Leave(stage) | Fault::LeaveThenFailMove(stage)) => {
                self.fail_moves = matches!(fault, Some(Fault::LeaveThenFailMove(_)));
                let target = route[stage % route.len()].clone();
                self.pending_events
                    .push_back((RunEvent::TargetLeaving { target }, None));
            }
            Some(Fault::NoSpare) => self.has_spares = false,
            Some(Fault::CallerGone) => self.pending_events.push_back((RunEvent::CallerGone, None)),
            Some(Fault::DeadlineReached) => self
                .pending_events
                .push_back((RunEvent::DeadlineReached, None)),
            _ => {}
        }
    }

    fn kill(&mut self, target: &TargetId) {
        let engine = self.engines.get_mut(target).expect("known target");
        engine.is_dead = true;
        engine.sessions.clear();
    }

    /// Lets a frozen engine execute the orders that it was sent; its responses arrive
    /// late.
    pub(super) fn wake(&mut self, target: &TargetId) {
        let engine = self.engines.get_mut(target).expect("known target");
        engine.frozen_for = 0;
        for queued in std::mem::take(&mut engine.queued) {
            match queued {
                QueuedOrder::Cancel(session) => drop(engine.sessions.remove(&session)),
                QueuedOrder::Step(order) => {
                    let target = target.clone();
                    let run = engine.step(&order, self.stages).ok();
                    let past = run.map(|(response, inputs)| PastResponse {
                        target,
                        response,
                        inputs,
                    });
                    self.past_responses.extend(past);
                }
            }
        }
    }
}

/// Returns the response with one part changed.
pub(super) fn mismatched_response(mut response: StepResponse, part: u8) -> StepResponse {
    match part {
        0 => response.label.request = "another".into(),
        1 => response.label.attempt += 1000,
        2 => response.label.stage += 1000,
        3 => response.position += 1000,
        _ => response.outputs.push(0),
    }
    response
}
