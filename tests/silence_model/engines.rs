//! Engines of a game, and the schedule of what happens to them.

use rand::rngs::StdRng;
use rand::seq::index::sample;
use rand::{RngExt, SeedableRng};

use crate::game::{FleetPlan, SECOND};

/// Steps after which an engine that has ended is replaced.
const REPLACEMENT: usize = 10 * SECOND;

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum EngineState {
    Running,
    /// It accepts connections and sends nothing until a step, and goes on then.
    Still {
        until: usize,
    },
    /// It accepts connections and never sends anything again.
    Stopped {
        until: usize,
    },
    /// Its machine has lost its power: connections stay open and nothing is accepted.
    Dark {
        until: usize,
    },
    /// Its process has ended, and its connections with it.
    Crashed {
        until: usize,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct SimEngine {
    pub(crate) state: EngineState,
    /// Number of the process.
    pub(crate) process: u32,
    /// Streams that it runs.
    pub(crate) load: u32,
}

impl SimEngine {
    pub(crate) fn new() -> Self {
        Self {
            state: EngineState::Running,
            process: 0,
            load: 0,
        }
    }

    /// Returns whether a stream of this process would go on by itself, at once or later.
    pub(crate) fn goes_on(&self, process: u32) -> bool {
        let lives = match self.state {
            EngineState::Running | EngineState::Still { .. } => true,
            EngineState::Stopped { .. }
            | EngineState::Dark { .. }
            | EngineState::Crashed { .. } => false,
        };
        lives && process == self.process
    }

    /// Ends a silence or replaces the engine, if that is due.
    pub(crate) fn advance(&mut self, step: usize) {
        match self.state {
            EngineState::Still { until } if until <= step => self.state = EngineState::Running,
            EngineState::Stopped { until }
            | EngineState::Dark { until }
            | EngineState::Crashed { until }
                if until <= step =>
            {
                *self = Self {
                    process: self.process + 1,
                    ..Self::new()
                };
            }
            _ => {}
        }
    }
}

/// What happens at a step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// An engine sends nothing for some steps.
    Pause {
        engine: usize,
        steps: usize,
    },
    /// An engine sends nothing any more.
    Stop {
        engine: usize,
    },
    /// The machine of an engine loses its power.
    Darken {
        engine: usize,
    },
    Crash {
        engine: usize,
    },
    /// A part of the hosts loses its links to an engine for some steps.
    Cut {
        engine: usize,
        share: f64,
        steps: usize,
    },
    /// A share of the requests fails from now on.
    Fail {
        share: f64,
    },
    /// A share of the hosts is killed and starts again.
    Kill {
        share: f64,
    },
}

/// Kinds of games.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// Engines stand still one at a time.
    Singles,
    /// One engine after the other stands still.
    Series,
    /// Most engines stand still at the same moment.
    Most,
    /// All engines stand still at the same moment.
    All,
    /// Engines lose their power.
    Dark,
    /// Engines accept connections and never send anything again.
    Stopped,
    /// Processes of engines end.
    Crashes,
    /// Hosts lose links to engines.
    Cuts,
    /// Most requests fail while engines stand still or lose their power.
    Spent,
    /// Hosts start again while engines stand still.
    Restarts,
    /// Anything of the above.
    Mixed,
}

impl FaultKind {
    pub(crate) const ALL: [Self; 11] = [
        Self::Singles,
        Self::Series,
        Self::Most,
        Self::All,
        Self::Dark,
        Self::Stopped,
        Self::Crashes,
        Self::Cuts,
        Self::Spent,
        Self::Restarts,
        Self::Mixed,
    ];
}

/// Draws faults between the third and the twentieth second.
pub(crate) fn draw_faults(kind: FaultKind, plan: FleetPlan, seed: u64) -> Vec<(usize, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut faults = Vec::new();
    if kind == FaultKind::Spent {
        faults.push((3 * SECOND, Fault::Fail { share: 0.7 }));
        faults.push((16 * SECOND, Fault::Fail { share: 0.0 }));
    }
    let pace = match kind {
        FaultKind::Series => SECOND / 4,
        FaultKind::Most | FaultKind::All => 5 * SECOND,
        FaultKind::Dark | FaultKind::Stopped | FaultKind::Crashes => 2 * SECOND,
        _ => SECOND,
    };
    for step in (4 * SECOND..20 * SECOND).step_by(pace) {
        let step = step + rng.random_range(0..SECOND / 4);
        let drawn = match kind {
            FaultKind::Mixed => FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len() - 1)],
            other => other,
        };
        for fault in draw(drawn, plan, &mut rng) {
            faults.push((step, fault));
        }
    }
    faults.sort_by_key(|(step, _)| *step);
    faults
}

fn draw(kind: FaultKind, plan: FleetPlan, rng: &mut StdRng) -> Vec<Fault> {
    let engine = rng.random_range(0..plan.engines);
    let steps = rng.random_range(SECOND / 2..3 * SECOND);
    // A tenth of the engines, as a rack holds them.
    let rack = sample(rng, plan.engines, plan.engines.div_ceil(10)).into_vec();
    match kind {
        FaultKind::Singles | FaultKind::Series => vec![Fault::Pause { engine, steps }],
        FaultKind::Most => {
            let most = sample(rng, plan.engines, plan.engines * 17 / 20).into_iter();
            most.map(|engine| Fault::Pause { engine, steps }).collect()
        }
        FaultKind::All => {
            let all = 0..plan.engines;
            all.map(|engine| Fault::Pause { engine, steps }).collect()
        }
        FaultKind::Dark => rack
            .into_iter()
            .map(|engine| Fault::Darken { engine })
            .collect(),
        FaultKind::Stopped => rack
            .into_iter()
            .map(|engine| Fault::Stop { engine })
            .collect(),
        FaultKind::Crashes => rack
            .into_iter()
            .map(|engine| Fault::Crash { engine })
            .collect(),
        FaultKind::Cuts => rack
            .into_iter()
            .map(|engine| Fault::Cut {
                engine,
                share: 0.4,
                steps,
            })
            .collect(),
        FaultKind::Spent if rng.random_bool(0.1) => vec![Fault::Darken { engine }],
        FaultKind::Spent => vec![Fault::Pause { engine, steps }],
        FaultKind::Restarts if rng.random_bool(0.3) => vec![Fault::Kill { share: 0.4 }],
        FaultKind::Restarts | FaultKind::Mixed => rack
            .into_iter()
            .map(|engine| Fault::Pause { engine, steps })
            .collect(),
    }
}

impl SimEngine {
    /// Applies a fault of this engine.
    pub(crate) fn apply(&mut self, fault: Fault, step: usize) {
        let is_up = matches!(self.state, EngineState::Running | EngineState::Still { .. });
        match fault {
            Fault::Pause { steps, .. } if self.state == EngineState::Running => {
                self.state = EngineState::Still {
                    until: step + steps,
                };
            }
            Fault::Stop { .. } if is_up => {
                self.state = EngineState::Stopped {
                    until: step + REPLACEMENT,
                };
            }
            Fault::Darken { .. } if is_up => {
                self.state = EngineState::Dark {
                    until: step + REPLACEMENT,
                };
            }
            Fault::Crash { .. } if is_up => {
                self.state = EngineState::Crashed {
                    until: step + 3 * SECOND,
                };
            }
            _ => {}
        }
    }
}
