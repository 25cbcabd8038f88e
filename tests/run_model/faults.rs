//! The faults of a script, and what they do to engines and answers.

use jackdawwick::ids::TargetId;
use jackdawwick::run::RunEvent;
use jackdawwick::target::wire::{StepResponse, TargetRefusalKind};

use super::{ModelWorld, PastAnswer};
use crate::engines::HeldOrder;

/// Parts of an answer, but for its target, that must match the order.
pub(crate) const CROSSED_PARTS: u8 = 5;

/// What goes wrong at one step of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    DieBefore,
    DieAfter,
    DieWithNeighbour,
    LoseOrder,
    LoseAnswer,
    Freeze(u32),
    Forget,
    ForgetAll,
    Refuse(TargetRefusalKind),
    Cross(u8),
    Leave(usize),
    LeaveThenFailMove(usize),
    NoSpare,
    CallerGone,
    DeadlineReached,
}

impl Fault {
    /// Whether the run may end without its whole answer.
    pub(crate) fn may_end(self) -> bool {
        matches!(
            self,
            Self::NoSpare | Self::CallerGone | Self::DeadlineReached
        )
    }
}

impl ModelWorld {
    pub(super) fn apply(&mut self, fault: Option<Fault>, target: &TargetId) {
        let route: Vec<TargetId> = self.machine.targets().cloned().collect();
        let place = route.iter().position(|other| other == target).unwrap_or(0);
        let neighbour = route[(place + 1) % route.len()].clone();
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
            Some(Fault::Forget) => {
                self.engines
                    .get_mut(target)
                    .expect("known target")
                    .sessions
                    .clear();
            }
            Some(Fault::ForgetAll) => {
                self.engines
                    .values_mut()
                    .for_each(|engine| engine.sessions.clear());
            }
            Some(Fault::Leave(stage) | Fault::LeaveThenFailMove(stage)) => {
                self.fails_moves = matches!(fault, Some(Fault::LeaveThenFailMove(_)));
                let target = route[stage % route.len()].clone();
                self.due
                    .push_back((RunEvent::TargetLeaving { target }, None));
            }
            Some(Fault::NoSpare) => self.has_spares = false,
            Some(Fault::CallerGone) => self.due.push_back((RunEvent::CallerGone, None)),
            Some(Fault::DeadlineReached) => self.due.push_back((RunEvent::DeadlineReached, None)),
            _ => {}
        }
    }

    fn kill(&mut self, target: &TargetId) {
        let engine = self.engines.get_mut(target).expect("known target");
        engine.is_dead = true;
        engine.sessions.clear();
    }

    /// A frozen engine goes on with what it was sent; its answers come late.
    pub(super) fn wake(&mut self, target: &TargetId) {
        let engine = self.engines.get_mut(target).expect("known target");
        engine.frozen_for = 0;
        for held in std::mem::take(&mut engine.held) {
            match held {
                HeldOrder::Cancel(session) => drop(engine.sessions.remove(&session)),
                HeldOrder::Step(order) => {
                    let target = target.clone();
                    let run = engine.step(&order, self.stages).ok();
                    let past = run.map(|(answer, inputs)| PastAnswer {
                        target,
                        answer,
                        inputs,
                    });
                    self.past.extend(past);
                }
            }
        }
    }
}

/// The same answer, but for one part.
pub(super) fn crossed_answer(mut answer: StepResponse, part: u8) -> StepResponse {
    match part {
        0 => answer.label.request = "another".into(),
        1 => answer.label.attempt += 1000,
        2 => answer.label.stage += 1000,
        3 => answer.position += 1000,
        _ => answer.outputs.push(0),
    }
    answer
}
