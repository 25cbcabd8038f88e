//! Bearer tokens and the digests by which they are recognised.
//!
//! Only digests are declared or configured. A token is kept no longer than the head of
//! its request and is neither logged nor journalled.

use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

/// Size of a SHA-256 digest in bytes.
const DIGEST_LENGTH: usize = 32;
/// Scheme of the `Authorization` header, compared case-insensitively.
const BEARER_SCHEME: &str = "bearer";

/// SHA-256 digest of a bearer token.
#[derive(Clone, Copy)]
pub struct TokenDigest([u8; DIGEST_LENGTH]);

impl TokenDigest {
    /// Computes the digest of a token.
    pub fn of_token(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }

    /// Creates a digest from its bytes, as the settings store it.
    pub fn from_bytes(bytes: [u8; DIGEST_LENGTH]) -> Self {
        Self(bytes)
    }

    /// Parses a declared digest of 64 lower-case hex digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_LENGTH {
            return None;
        }
        let mut bytes = [0; DIGEST_LENGTH];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = (hex_value(pair[0])? << 4) | hex_value(pair[1])?;
        }
        Some(Self(bytes))
    }

    /// Returns the digest as it is declared, as 64 lower-case hex digits.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

/// Prints no digit, because a known digest allows an attacker to test guesses of a weak
/// token.
impl fmt::Debug for TokenDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TokenDigest")
    }
}

fn hex_value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

/// Names of token owners, each with the digest of its token.
#[derive(Debug, Clone, Default)]
pub struct CredentialTable {
    entries: Vec<CredentialEntry>,
}

#[derive(Debug, Clone)]
struct CredentialEntry {
    name: Arc<str>,
    digest: TokenDigest,
}

impl CredentialTable {
    /// Adds a name with the digest of its token.
    pub fn insert(&mut self, name: Arc<str>, digest: TokenDigest) {
        self.entries.push(CredentialEntry { name, digest });
    }

    /// Returns the name whose token has this digest. If several names share a token, the
    /// one added last is returned.
    // Every entry is compared in full: an early exit or a hash lookup would reveal
    // through response times how much of a digest is right.
    pub fn lookup(&self, presented: &TokenDigest) -> Option<Arc<str>> {
        let mut found = None;
        for entry in &self.entries {
            if bool::from(entry.digest.matches(presented)) {
                found = Some(&entry.name);
            }
        }
        found.cloned()
    }
}

/// Returns the digest of the token in an `Authorization: Bearer` header.
pub fn bearer_digest(header: &str) -> Option<TokenDigest> {
    let (scheme, token) = header.split_once(' ')?;
    let token = token.trim();
    match scheme.eq_ignore_ascii_case(BEARER_SCHEME) && !token.is_empty() {
        true => Some(TokenDigest::of_token(token)),
        false => None,
    }
}
