//! Random output lengths for prompts that don't set one.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{hash, lognormal};

/// Median output length, in tokens.
const MEDIAN_TOKENS: f64 = 150.0;

/// Standard deviation of the logarithm of the output length.
const SIGMA: f64 = 1.1;

/// Maximum output length, in tokens.
const MAX_TOKENS: u64 = 8_192;

/// Returns a lognormal length, deterministic for a seed and prompt.
pub(super) fn draw(seed: u64, prompt_digest: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(hash::extend(seed, &prompt_digest.to_le_bytes()));
    lognormal::draw(&mut rng, MEDIAN_TOKENS, SIGMA, MAX_TOKENS)
}
