//! Estimate of an answer's length from the caller's hint and the past accuracy of
//! hints of that kind.
//!
//! For each kind of request the logarithm of the length is regressed on the
//! logarithm of the hint, with decaying weights. Where hints are uninformative the
//! estimate stays near the mean of the kind; where they are accurate it follows
//! them. The prior is a share of the bound.

use crate::ids::Name;
use std::collections::HashMap;

/// Maximum number of kinds; the one with the lowest weight is evicted first.
pub const MAX_KINDS: usize = 256;

/// Decay of an answer's weight with each later one: about two hundred count.
const DECAY: f64 = 0.995;

/// Weight of the prior, in answers.
const PRIOR_WEIGHT: f64 = 4.0;

/// Prior length, as a share of the bound.
const PRIOR_SHARE: f64 = 0.25;

/// Prior standard deviation of the logarithm of lengths.
const PRIOR_SPREAD: f64 = 1.0;

/// Prior slope of the regression.
const PRIOR_SLOPE: f64 = 0.35;

/// Minimum standard deviation of the logarithm of lengths.
const MIN_SPREAD: f64 = 0.01;

/// Share of longer answers below which an answer is expected to reach its bound.
const MIN_LONGER_SHARE: f64 = 0.002;

/// Sums of a weighted regression of length on hint, both as logarithms.
#[derive(Clone, Copy, Debug)]
struct Sums {
    weight: f64,
    hint: f64,
    length: f64,
    hint_hint: f64,
    hint_length: f64,
    length_length: f64,
}

impl Sums {
    /// Returns the sums of [`PRIOR_WEIGHT`] prior answers of a kind bounded by `max_tokens`.
    fn prior(max_tokens: u32) -> Self {
        let mean = (f64::from(max_tokens.max(1)) * PRIOR_SHARE).max(1.0).ln();
        let spread = PRIOR_SPREAD * PRIOR_SPREAD;
        let of = |moment: f64| PRIOR_WEIGHT * moment;
        Self {
            weight: PRIOR_WEIGHT,
            hint: of(mean),
            length: of(mean),
            hint_hint: of(mean * mean + spread / PRIOR_SLOPE),
            hint_length: of(mean * mean + spread),
            length_length: of(mean * mean + spread),
        }
    }

    fn add(&mut self, hint: f64, length: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.hint = self.hint * DECAY + hint;
        self.length = self.length * DECAY + length;
        self.hint_hint = self.hint_hint * DECAY + hint * hint;
        self.hint_length = self.hint_length * DECAY + hint * length;
        self.length_length = self.length_length * DECAY + length * length;
    }

    /// Returns the distribution of lengths for a hint.
    fn spread(&self, hint: Option<f64>) -> LogNormal {
        let (hint_mean, length_mean) = (self.hint / self.weight, self.length / self.weight);
        let hint_variance = (self.hint_hint / self.weight - hint_mean * hint_mean).max(1e-6);
        let covariance = self.hint_length / self.weight - hint_mean * length_mean;
        let length_variance =
            (self.length_length / self.weight - length_mean * length_mean).max(0.0);
        let Some(hint) = hint else {
            return LogNormal::new(length_mean, length_variance);
        };
        let slope = (covariance / hint_variance).clamp(0.0, 1.0);
        let rest = (length_variance - slope * covariance).max(0.0);
        LogNormal::new(length_mean + slope * (hint - hint_mean), rest)
    }
}

/// Log-normal distribution of lengths.
#[derive(Clone, Copy, Debug)]
struct LogNormal {
    mean: f64,
    spread: f64,
}

impl LogNormal {
    fn new(mean: f64, variance: f64) -> Self {
        Self {
            mean,
            spread: variance.sqrt().max(MIN_SPREAD),
        }
    }

    /// Returns the mean of the lengths above `made`, capped at `max_tokens`.
    fn mean_between(&self, made: f64, max_tokens: f64) -> f64 {
        let from = (made.max(1.0).ln() - self.mean) / self.spread;
        let to = (max_tokens.max(1.0).ln() - self.mean) / self.spread;
        let longer_share = 1.0 - normal_share(from);
        if longer_share < MIN_LONGER_SHARE {
            return max_tokens.max(made);
        }
        let whole = (self.mean + self.spread * self.spread / 2.0).exp();
        let below = normal_share(to - self.spread) - normal_share(from - self.spread);
        let bounded = max_tokens * (1.0 - normal_share(to));
        ((whole * below + bounded) / longer_share).clamp(made, max_tokens.max(made))
    }
}

/// Returns the standard normal distribution function at `x`, accurate to three digits.
fn normal_share(x: f64) -> f64 {
    let scaled = (2.0 / std::f64::consts::PI).sqrt() * (x + 0.044_715 * x * x * x);
    f64::midpoint(1.0, scaled.tanh())
}

/// Regression of lengths on hints, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    kinds: HashMap<Name, Sums>,
}

impl LengthEstimator {
    /// Returns the expected tokens of an answer of `kind`, at most `max_tokens`.
    #[must_use]
    pub fn expect(&self, kind: &Name, hint: Option<u32>, max_tokens: u32) -> u64 {
        self.expect_beyond(kind, hint, max_tokens, 0)
    }

    /// Returns the expected total of an answer that has `made` tokens already; it grows with
    /// `made`.
    #[must_use]
    pub fn expect_beyond(&self, kind: &Name, hint: Option<u32>, max_tokens: u32, made: u64) -> u64 {
        let prior = Sums::prior(max_tokens);
        let sums = self.kinds.get(kind).unwrap_or(&prior);
        let lengths = sums.spread(hint.map(|h| f64::from(h.max(1)).ln()));
        to_tokens(lengths.mean_between(to_f64(made), f64::from(max_tokens)))
    }

    /// Records the length of an answer that wasn't cut off; ignored without a hint.
    pub fn record(&mut self, kind: &Name, hint: Option<u32>, max_tokens: u32, tokens: u64) {
        let Some(hint) = hint else {
            return;
        };
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            self.evict_least_seen();
        }
        let sums = self.kinds.entry(kind.clone());
        let sums = sums.or_insert_with(|| Sums::prior(max_tokens));
        sums.add(f64::from(hint.max(1)).ln(), to_f64(tokens.max(1)).ln());
    }

    fn evict_least_seen(&mut self) {
        let least = self
            .kinds
            .iter()
            .min_by(|(_, a), (_, b)| a.weight.total_cmp(&b.weight));
        if let Some(kind) = least.map(|(kind, _)| kind.clone()) {
            self.kinds.remove(&kind);
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_tokens(tokens: f64) -> u64 {
    tokens.round() as u64
}
