//! Choice of a few hosts out of many that is the same on every host without agreement.

use std::cmp::Reverse;

use sha2::{Digest, Sha256};

/// Returns the score of a candidate for a key; the candidates with the highest scores are
/// chosen (rendezvous hashing). A candidate that joins or leaves moves only its own keys.
///
/// The hash must be the same in every version of the program, or hosts of two versions
/// would disagree on which host watches what.
pub fn rendezvous_score(seed: u64, key: &str, candidate: &str) -> u64 {
    let digest = Sha256::new()
        .chain_update(seed.to_le_bytes())
        .chain_update(key.as_bytes())
        .chain_update([0])
        .chain_update(candidate.as_bytes())
        .finalize();
    digest
        .iter()
        .take(size_of::<u64>())
        .fold(0, |score, byte| (score << 8) | u64::from(*byte))
}

/// Returns the `count` candidates with the highest scores, best first.
pub fn top_ranked<'a, C>(seed: u64, key: &str, candidates: C, count: usize) -> Vec<&'a str>
where
    C: IntoIterator<Item = &'a str>,
{
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (Reverse(rendezvous_score(seed, key, candidate)), candidate))
        .collect();
    ranked.sort_unstable();
    ranked.truncate(count);
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
