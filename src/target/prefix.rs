//! Hashes by which engines identify the prompt prefixes in their caches.

use crate::ids::TokenValue;

/// Number of tokens in a chunk; a prefix consists of whole chunks.
pub const PREFIX_CHUNK_TOKENS: usize = 16;

/// Returns the hash of the prompt up to the end of each whole chunk, shortest first.
pub fn prefix_hashes(prompt: &[TokenValue], chunk_tokens: usize) -> Vec<u64> {
    let mut folded = 0;
    let chunks = prompt.chunks_exact(chunk_tokens.max(1));
    let hash_next = |chunk: &[TokenValue]| {
        folded = chunk
            .iter()
            .fold(folded, |hash, token| mix(hash ^ mix(*token)));
        folded
    };
    chunks.map(hash_next).collect()
}

/// Mixes a value with the finaliser of SplitMix64 (Steele, Lea and Flood, 2014).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
