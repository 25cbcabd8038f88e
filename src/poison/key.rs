//! Which attempts are the same request.

use sha2::{Digest, Sha256};

use crate::ids::RequestKey;

/// What is alike in all attempts of one request: the ids of attempts differ, and
/// so do their deadlines.
#[derive(Debug, Clone, Copy)]
pub struct RequestIdentity<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Host name.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Who is asking, if the configuration knows organisations.
    pub organisation: Option<&'a str>,
    /// The whole body.
    pub body: &'a [u8],
}

/// A key as it stands in log lines and records.
pub fn key_text(request: RequestKey) -> String {
    format!("{request:016x}")
}

/// The key of a request, alike on all hosts and in every version of the program.
///
/// Eight bytes of a cryptographic hash: a caller cannot make a request that is
/// taken for another organisation's. With 256 keys remembered, one of 10^16
/// requests is taken for another one by chance.
pub fn request_key(identity: RequestIdentity<'_>) -> RequestKey {
    let parts = [
        identity.method.as_bytes(),
        identity.host.as_bytes(),
        identity.path.as_bytes(),
        identity.organisation.unwrap_or_default().as_bytes(),
        identity.body,
    ];
    let hash = parts.iter().fold(Sha256::new(), |hash, part| {
        // The length keeps the end of one part from being read as the next one.
        hash.chain_update((part.len() as u64).to_le_bytes())
            .chain_update(part)
    });
    let digest = hash.finalize();
    let first = digest.iter().take(size_of::<RequestKey>());
    first.fold(0, |key, byte| (key << 8) | u64::from(*byte))
}
