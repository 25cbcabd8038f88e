//! Checks of a recorded history, one for each promise.
//!
//! The history joins what the targets really ran with what the callers heard.
//! A checker reads it and reports each broken promise; [`check_all`] runs all.

mod answers;
mod history;
mod keys;
mod layers;
mod leaving;
mod limits;
mod refusals;

use std::fmt;
use std::time::Duration;

pub use answers::{check_answered_once, check_whole_answers};
pub use history::{CallHistory, GenerationHistory, RunHistory, TargetLeave, TargetSteps};
pub use keys::check_at_most_once;
pub use layers::check_layers;
pub use leaving::check_leaving;
pub use limits::{LimitBreach, NamedLimit};
pub use refusals::check_not_run;

/// The promises that are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CheckedPromise {
    /// Every layer runs exactly once for each token, in order.
    LayersOnce,
    /// Each caller gets the whole answer to its own request.
    WholeAnswer,
    /// What was said not to have run did not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work.
    NoNewWork,
    /// Every request is answered exactly once.
    AnsweredOnce,
}

/// A promise that a history breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenPromise {
    /// The promise.
    pub promise: CheckedPromise,
    /// Request, key or target concerned.
    pub subject: String,
    /// What is wrong.
    pub detail: String,
}

impl BrokenPromise {
    fn new<D>(promise: CheckedPromise, subject: &str, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            promise,
            subject: subject.to_owned(),
            detail: detail.into(),
        }
    }
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?}: {}: {}",
            self.promise, self.subject, self.detail
        )
    }
}

/// Runs every checker; a leaving target may get new work for `leave_grace`.
pub fn check_all(history: &RunHistory, leave_grace: Duration) -> Vec<BrokenPromise> {
    let mut broken = check_layers(history);
    broken.extend(check_whole_answers(history));
    broken.extend(check_not_run(history));
    broken.extend(check_at_most_once(history));
    broken.extend(check_leaving(history, leave_grace));
    broken.extend(check_answered_once(history));
    broken
}
