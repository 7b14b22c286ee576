//! Output lengths, where a prompt doesn't set one.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::hash;

/// Median output, in tokens.
const MEDIAN_TOKENS: f64 = 150.0;

/// Standard deviation of the logarithm of the output.
const SIGMA: f64 = 1.1;

/// Longest output, in tokens.
const MAX_TOKENS: f64 = 8_192.0;

/// A length with a long tail, the same for the same seed and prompt.
pub(super) fn draw(seed: u64, prompt_digest: u64) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(hash::extend(seed, &prompt_digest.to_le_bytes()));
    let tokens = MEDIAN_TOKENS * (SIGMA * normal(&mut rng)).exp();
    whole(tokens.clamp(1.0, MAX_TOKENS))
}

/// A normal variate, by the method of Box and Muller.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// A small positive number without its fraction.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped by the caller"
)]
fn whole(tokens: f64) -> u64 {
    tokens as u64
}
