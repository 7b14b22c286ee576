//! Output lengths, where a prompt doesn't set one.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{hash, lognormal};

/// Median output, in tokens.
const MEDIAN_TOKENS: f64 = 150.0;

/// Standard deviation of the logarithm of the output.
const SIGMA: f64 = 1.1;

/// Longest output, in tokens.
const MAX_TOKENS: u64 = 8_192;

/// A length with a long tail, the same for the same seed and prompt.
pub(super) fn draw(seed: u64, prompt_digest: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(hash::extend(seed, &prompt_digest.to_le_bytes()));
    lognormal::draw(&mut rng, MEDIAN_TOKENS, SIGMA, MAX_TOKENS)
}
