//! Keys that identify the attempts of one request, and the parts that prompts share.

use sha2::{Digest, Sha256};

use super::end_source::OrganisationHash;
use crate::ids::{PartKey, RequestKey, SuspectKey};

/// Bit that tells the keys of parts from those of requests.
const PART_BIT: u64 = 1 << 63;

/// The fields of a request that are equal in all of its attempts. Attempt ids and deadlines
/// differ and are left out.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The calling organisation, if the configuration defines organisations.
    pub organisation: Option<&'a str>,
    /// The whole body, in pieces of any length.
    pub body: &'a [&'a [u8]],
}

/// Formats a key as in log lines and records.
pub fn key_text(suspect: SuspectKey) -> String {
    format!("{suspect:016x}")
}

/// Returns the key of a request, which is equal on all hosts and in all versions of the
/// program.
///
/// The key is eight bytes of a cryptographic hash, so that a caller cannot craft a request
/// that collides with another organisation's. With 256 keys remembered, one of 10^16
/// requests collides by chance.
pub fn request_key(identity: RequestIdentity<'_>) -> RequestKey {
    let organisation = identity.organisation.unwrap_or_default();
    let fields = [identity.method, identity.host, identity.path, organisation];
    let hash = fields.iter().fold(Sha256::new(), |hash, field| {
        add_field(hash, &[field.as_bytes()])
    });
    first_bytes(add_field(hash, identity.body)) & !PART_BIT
}

/// Returns the key of a part of the prompts for a service, which is equal on all hosts and in
/// all versions of the program. The model of another service may run the same part.
pub fn part_key(service: &str, part: &str) -> PartKey {
    hash_fields(&[service.as_bytes(), part.as_bytes()]) | PART_BIT
}

/// Returns whether a key is that of a part.
pub fn is_part(suspect: SuspectKey) -> bool {
    suspect & PART_BIT != 0
}

/// Returns the hash of an organisation's name.
pub fn organisation_hash(organisation: Option<&str>) -> OrganisationHash {
    hash_fields(&[organisation.unwrap_or_default().as_bytes()]) as OrganisationHash
}

fn hash_fields(fields: &[&[u8]]) -> u64 {
    let hash = fields
        .iter()
        .fold(Sha256::new(), |hash, field| add_field(hash, &[field]));
    first_bytes(hash)
}

/// Adds a field, which is in pieces. The length prefix keeps the end of one field from being read
/// as the start of the next.
fn add_field(hash: Sha256, pieces: &[&[u8]]) -> Sha256 {
    let length = pieces.iter().map(|piece| piece.len()).sum::<usize>();
    let hash = hash.chain_update((length as u64).to_le_bytes());
    pieces
        .iter()
        .fold(hash, |hash, piece| hash.chain_update(piece))
}

fn first_bytes(hash: Sha256) -> u64 {
    let digest = hash.finalize();
    let first = digest.iter().take(size_of::<u64>());
    first.fold(0, |key, byte| (key << 8) | u64::from(*byte))
}
