//! The conclusion that a caller may draw about a request that did not end normally.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a request may have run on a target.
///
/// `NotRun` is a guarantee: it may be reported only if no byte of a runnable order can
/// have reached a target, or if the target itself reported that it refused.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// Nothing ran; the caller may safely repeat the request.
    NotRun,
    /// An order may have reached a target; its effect is unknown.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl RunVerdict {
    /// Returns the verdict over two parts of one request: `Ran` takes precedence over
    /// `MayHaveRun`, and both over `NotRun`.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}
