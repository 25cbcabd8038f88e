//! What a caller may conclude about a request that did not end normally.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a request may have run on a target.
///
/// `NotRun` is a promise: it may be said only if no byte of a runnable order
/// can have reached a target, or if the target itself said that it refused.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// Nothing ran; the caller may repeat the request freely.
    NotRun,
    /// An order may have reached a target; its effect is unknown.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl RunVerdict {
    /// The verdict over two parts of one request: the less certain one wins
    /// over `NotRun`, and `Ran` wins over both.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}
