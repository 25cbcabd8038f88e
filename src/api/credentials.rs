//! Authentication by bearer token.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;

use super::backend::IdentityLookup;
use super::wire::RefusalBody;
use crate::auth::bearer_digest;
use crate::reason::RefusalReason;

/// Headers of an operator's call.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct OperatorHeaders {
    /// `Bearer` and the operator's token.
    pub(super) authorization: Option<String>,
}

/// Returns the identity to which a bearer token belongs.
///
/// # Errors
/// Returns the same refusal for a missing, a malformed and an unknown token, so that it
/// does not reveal which tokens exist.
pub(super) fn identify(
    authorization: Option<&str>,
    lookup: &IdentityLookup,
) -> Result<Arc<str>, RefusalBody> {
    authorization
        .and_then(bearer_digest)
        .and_then(|digest| lookup(&digest))
        .ok_or_else(|| {
            RefusalBody::not_run(
                RefusalReason::Unauthenticated,
                "the bearer token is missing or unknown",
            )
        })
}
