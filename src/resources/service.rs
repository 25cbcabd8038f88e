//! Plain services, which are not model engines.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::ids::TargetId;

/// A plain service; any of its targets can serve a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Targets that serve the calls.
    pub targets: Vec<TargetId>,
    /// Operations that are always treated as non-idempotent, regardless of the caller's
    /// request.
    #[serde(default)]
    pub non_idempotent: Vec<String>,
}
