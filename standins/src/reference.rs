//! Reference implementation of an artificial model, computed from scratch.
//!
//! Every layer folds the inputs of all earlier positions into its KV state, so a skipped,
//! doubled or reordered step changes every output that follows.

use jackdawwick::ids::{LayerIndex, TokenValue};

/// Number of different token values.
pub const VOCABULARY: u64 = 50_000;
/// KV state of a layer before the first position.
pub const EMPTY_KV_STATE: u64 = 0;

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// Result of one layer for one input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LayerOutcome {
    /// KV state for the layer's next position.
    pub kv_state: u64,
    /// Input for the next layer at this position.
    pub output: u64,
}

/// Mixes 64 bits so that each input bit affects every output bit.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(GOLDEN_GAMMA);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns a hash of `values` that depends on their order.
pub fn fold<I>(seed: u64, values: I) -> u64
where
    I: IntoIterator<Item = u64>,
{
    values
        .into_iter()
        .fold(seed, |folded, value| mix(folded.rotate_left(7) ^ value))
}

/// Returns the number that stands for the weights of a version of a model.
pub fn weights(model: &str, version: &str) -> u64 {
    let bytes = model.bytes().chain([0]).chain(version.bytes());
    fold(GOLDEN_GAMMA, bytes.map(u64::from))
}

/// Runs one layer on the input of one position.
pub fn run_layer(
    model: &str,
    version: &str,
    layer: LayerIndex,
    kv_state: u64,
    input: u64,
) -> LayerOutcome {
    run_layer_with(weights(model, version), layer, kv_state, input)
}

/// Runs a layer like [`run_layer`], with [`weights`] that the caller has computed once.
pub fn run_layer_with(weights: u64, layer: LayerIndex, kv_state: u64, input: u64) -> LayerOutcome {
    let layer_weights = mix(weights ^ u64::from(layer));
    let kv_state = fold(kv_state, [input, layer_weights]);
    let output = mix(kv_state ^ input.rotate_left(17));
    LayerOutcome { kv_state, output }
}

/// Returns the token for an output of the model's last layer.
pub fn token_of(output: u64) -> TokenValue {
    output % VOCABULARY
}

/// Generates `count` tokens after `prompt`, one layer and position at a time.
///
/// An empty prompt produces no tokens.
pub fn generate(
    model: &str,
    version: &str,
    layers: LayerIndex,
    prompt: &[TokenValue],
    count: usize,
) -> Vec<TokenValue> {
    let mut kv_states = vec![EMPTY_KV_STATE; layers as usize];
    let mut sequence = prompt.to_vec();
    let mut position = 0;
    while position < sequence.len() && sequence.len() < prompt.len() + count {
        let mut value = sequence[position];
        for layer in 0..layers {
            let kv_state = &mut kv_states[layer as usize];
            let outcome = run_layer(model, version, layer, *kv_state, value);
            *kv_state = outcome.kv_state;
            value = outcome.output;
        }
        position += 1;
        if position >= prompt.len() {
            sequence.push(token_of(value));
        }
    }
    sequence.split_off(prompt.len())
}
