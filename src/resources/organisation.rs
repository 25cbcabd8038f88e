//! Organisations and the capacity that they bought.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An organisation that buys capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Lower-case hex SHA-256 digest of the bearer token; the token itself is
    /// never declared.
    pub token_digest: String,
    /// The capacity bought.
    pub capacity: CapacitySpec,
}

/// Capacity bought by an organisation, over the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CapacitySpec {
    /// Requests in flight at once.
    pub concurrent_requests: u32,
    /// Requests started per second.
    pub requests_per_second: u32,
}
