//! Keys that identify the attempts of one request.

use sha2::{Digest, Sha256};

use crate::ids::RequestKey;

/// The parts of a request that are equal in all of its attempts. Attempt ids and deadlines
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
    /// The whole body.
    pub body: &'a [u8],
}

/// Formats a key as in log lines and records.
pub fn key_text(request: RequestKey) -> String {
    format!("{request:016x}")
}

/// Returns the key of a request, which is equal on all hosts and in all versions of the
/// program.
///
/// The key is eight bytes of a cryptographic hash, so that a caller cannot craft a request
/// that collides with another organisation's. With 256 keys remembered, one of 10^16
/// requests collides by chance.
pub fn request_key(identity: RequestIdentity<'_>) -> RequestKey {
    let parts = [
        identity.method.as_bytes(),
        identity.host.as_bytes(),
        identity.path.as_bytes(),
        identity.organisation.unwrap_or_default().as_bytes(),
        identity.body,
    ];
    let hash = parts.iter().fold(Sha256::new(), |hash, part| {
        // The length prefix keeps the end of one part from being read as the start of the
        // next.
        hash.chain_update((part.len() as u64).to_le_bytes())
            .chain_update(part)
    });
    let digest = hash.finalize();
    let first = digest.iter().take(size_of::<RequestKey>());
    first.fold(0, |key, byte| (key << 8) | u64::from(*byte))
}
