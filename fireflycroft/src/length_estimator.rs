//! How long an answer will be: what the caller hints, weighed by how well hints of
//! that kind have held.
//!
//! For each kind of request the logarithm of the length is regressed on the
//! logarithm of the hint, with older answers counting less. Where hints say
//! little the guess stays near the mean of the kind; where they hold it follows
//! them. Before anything was seen it leans on a share of the bound.

use crate::ids::Name;
use std::collections::HashMap;

/// Kinds that are kept apart; the least seen goes first.
pub const MAX_KINDS: usize = 256;

/// Weight that an answer keeps with each later one: some two hundred count.
const DECAY: f64 = 0.995;

/// Answers that the first guess counts for.
const PRIOR_WEIGHT: f64 = 4.0;

/// Share of the bound that an answer is taken to have before any was seen.
const PRIOR_SHARE: f64 = 0.25;

/// Spread of the logarithm of lengths before any was seen.
const PRIOR_SPREAD: f64 = 1.0;

/// Share of a hint's deviation that is believed before any was seen.
const PRIOR_SLOPE: f64 = 0.35;

/// Least spread of the logarithm of lengths.
const MIN_SPREAD: f64 = 0.01;

/// Share of answers that are longer below which one counts as endless.
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
    /// Sums that stand for [`PRIOR_WEIGHT`] answers of a kind bounded by `most`.
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

    /// Lengths to expect for a hint.
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

/// Lengths whose logarithms are normal.
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

    /// Mean of those longer than `made`, with `most` for all that would be longer than that.
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

/// Share of a standard normal below `x`, right to three digits.
fn normal_share(x: f64) -> f64 {
    let scaled = (2.0 / std::f64::consts::PI).sqrt() * (x + 0.044_715 * x * x * x);
    f64::midpoint(1.0, scaled.tanh())
}

/// What was learned of each kind of request.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    kinds: HashMap<Name, Sums>,
}

impl LengthEstimator {
    /// Tokens that an answer of `kind` is expected to have, at most `most`.
    #[must_use]
    pub fn expect(&self, kind: &Name, hint: Option<u32>, max_tokens: u32) -> u64 {
        self.expect_beyond(kind, hint, max_tokens, 0)
    }

    /// The same for an answer of which so many tokens are made: the longer it is, the more are
    /// still to come.
    #[must_use]
    pub fn expect_beyond(&self, kind: &Name, hint: Option<u32>, max_tokens: u32, made: u64) -> u64 {
        let prior = Sums::prior(max_tokens);
        let sums = self.kinds.get(kind).unwrap_or(&prior);
        let lengths = sums.spread(hint.map(|h| f64::from(h.max(1)).ln()));
        to_tokens(lengths.mean_between(to_f64(made), f64::from(max_tokens)))
    }

    /// Notes the length of an answer that ended by itself.
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
