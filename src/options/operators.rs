//! Section `[operators]`: who may use the operators' listener.

use std::collections::BTreeSet;

use toml::Value;

use super::section::SectionReader;
use crate::ids::OperatorId;

/// SHA-256 digest of a bearer token.
pub type TokenDigest = [u8; DIGEST_LENGTH];

/// Bytes in a SHA-256 digest.
const DIGEST_LENGTH: usize = 32;
/// Legal form of a digest in the file.
const DIGEST_FORM: &str = "the token's SHA-256 digest as 64 hex digits";

/// Who may use the operators' listener.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OperatorOptions {
    /// The credentials; an operator may have several while a token is replaced.
    pub credentials: Vec<OperatorCredential>,
}

/// One token of an operator, known by its digest alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorCredential {
    /// The operator.
    pub operator: OperatorId,
    /// Digest of the bearer token.
    pub token_digest: TokenDigest,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<OperatorOptions> {
    let credentials = section.list("credentials", read_credential)?;
    let mut digests = BTreeSet::new();
    for credential in &credentials {
        // One token for two operators: a change would be signed with whichever
        // of them stands first in the file.
        if !digests.insert(credential.token_digest) {
            let operator = &credential.operator;
            section.report_conflict("credentials", operator, "a token of its own");
        }
    }
    Some(OperatorOptions { credentials })
}

fn read_credential(section: &mut SectionReader<'_>) -> Option<OperatorCredential> {
    let operator = section.name("operator");
    let token_digest = section.secret("token_digest", DIGEST_FORM, parse_digest);
    Some(OperatorCredential {
        operator: operator?,
        token_digest: token_digest?,
    })
}

fn parse_digest(value: &Value) -> Option<TokenDigest> {
    let text = value.as_str()?;
    if text.len() != 2 * DIGEST_LENGTH || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_LENGTH];
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
        *byte = hex_digit(pair[0])? << 4 | hex_digit(pair[1])?;
    }
    Some(digest)
}

fn hex_digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        b'A'..=b'F' => Some(byte - b'A' + 10),
        _ => None,
    }
}
