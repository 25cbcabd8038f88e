//! Checks of a recorded history, one for each guarantee.
//!
//! The history joins what the targets ran with what the callers received. Each checker
//! reports the violations of its guarantee; [`check_all`] runs all of them.

mod history;
mod keys;
mod layers;
mod leaving;
mod limits;
mod refusals;
mod responses;

use std::fmt;
use std::time::Duration;

pub use history::{CallHistory, GenerationHistory, RunHistory, TargetLeave, TargetSteps};
pub use keys::check_at_most_once;
pub use layers::check_layers;
pub use leaving::check_leaving;
pub use limits::{AdvertisedLimit, LimitViolation};
pub use refusals::check_not_run;
pub use responses::{check_complete_responses, check_single_response};

/// The guarantees that are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// Every layer runs exactly once for each token, in order.
    LayersOnce,
    /// Each caller receives the complete response to its own request.
    CompleteResponse,
    /// A request that is reported as not run did not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work.
    NoNewWork,
    /// Every request receives exactly one final response.
    SingleResponse,
}

/// A violation of a guarantee in a history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The violated guarantee.
    pub guarantee: Guarantee,
    /// The request, key or target that is affected.
    pub subject: String,
    /// Description of the violation.
    pub detail: String,
}

impl Violation {
    fn new<D>(guarantee: Guarantee, subject: &str, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self {
            guarantee,
            subject: subject.to_owned(),
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:?}: {}: {}",
            self.guarantee, self.subject, self.detail
        )
    }
}

/// Runs every checker. A leaving target may still receive new work for `leave_grace`.
pub fn check_all(history: &RunHistory, leave_grace: Duration) -> Vec<Violation> {
    let mut violations = check_layers(history);
    violations.extend(check_complete_responses(history));
    violations.extend(check_not_run(history));
    violations.extend(check_at_most_once(history));
    violations.extend(check_leaving(history, leave_grace));
    violations.extend(check_single_response(history));
    violations
}
