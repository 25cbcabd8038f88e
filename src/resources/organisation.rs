//! Organisations and the capacity that they bought.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An organisation that buys capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationSpec {
    /// Lower-case hex SHA-256 digest of the bearer token; the token itself is never
    /// declared.
    pub token_digest: String,
    /// Capacity bought.
    pub capacity: CapacitySpec,
}

/// Capacity that an organisation bought, for the whole system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CapacitySpec {
    /// Maximum number of concurrent requests.
    pub concurrent_requests: u32,
    /// Maximum number of requests started per second.
    pub requests_per_second: u32,
}
