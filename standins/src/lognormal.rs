//! Lognormal random lengths.

use rand::{Rng, RngExt};

/// Draws a lognormal integer with median `median`, clamped to 1..=`max`.
pub(crate) fn draw(rng: &mut impl Rng, median: f64, sigma: f64, max: u64) -> u64 {
    let length = median * (sigma * normal(rng)).exp();
    floor(length).clamp(1, max)
}

/// Draws a standard normal variate with the Box-Muller transform.
fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Truncates a positive number to an integer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and the number is positive"
)]
fn floor(number: f64) -> u64 {
    number as u64
}
