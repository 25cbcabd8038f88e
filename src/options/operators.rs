//! Section `[operators]`: credentials for the operators' listener.

use std::collections::BTreeSet;

use super::section::SectionReader;
use crate::auth::TokenDigest;
use crate::ids::OperatorId;

/// Legal form of a token digest.
const DIGEST_FORM: &str = "the token's SHA-256 digest as 64 hex digits";

/// Credentials for the operators' listener.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct OperatorOptions {
    /// Credentials; an operator may have several while a token is being replaced.
    pub credentials: Vec<OperatorCredential>,
}

/// A token of an operator, stored only as a digest.
#[derive(Debug, Clone)]
pub struct OperatorCredential {
    /// The operator.
    pub operator: OperatorId,
    /// Digest of the bearer token.
    pub token_digest: TokenDigest,
}

impl PartialEq for OperatorCredential {
    fn eq(&self, other: &Self) -> bool {
        let same_digest = self.token_digest.matches(&other.token_digest);
        self.operator == other.operator && bool::from(same_digest)
    }
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<OperatorOptions> {
    let credentials = section.list("credentials", read_credential)?;
    let mut digests = BTreeSet::new();
    for credential in &credentials {
        // If two operators shared a token, a change would be attributed to whichever of
        // them comes first in the file.
        if !digests.insert(credential.token_digest.to_hex()) {
            let operator = &credential.operator;
            section.report_conflict("credentials", operator, "a token of its own");
        }
    }
    Some(OperatorOptions { credentials })
}

fn read_credential(section: &mut SectionReader<'_>) -> Option<OperatorCredential> {
    let operator = section.name("operator");
    let token_digest = section.secret("token_digest", DIGEST_FORM, |value| {
        TokenDigest::from_hex(&value.as_str()?.to_ascii_lowercase())
    });
    Some(OperatorCredential {
        operator: operator?,
        token_digest: token_digest?,
    })
}
