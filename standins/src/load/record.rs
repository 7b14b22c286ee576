//! The record of a run, one JSON object.

use std::collections::BTreeMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::check::Violation;
use super::mix::{Class, Goal};

/// Units of a histogram in a millisecond.
pub(super) const MICROS_PER_MS: f64 = 1e3;

/// What a run was made with.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settings {
    /// Base URLs asked in turn.
    pub targets: Vec<String>,
    /// Whether they are engines.
    pub straight: bool,
    /// Name of the mix.
    pub mix: Arc<str>,
    /// Requests a second, in the model of time.
    pub rate: f64,
    /// Seconds of arrivals, in the model of time.
    pub duration_s: f64,
    /// How many times faster the clock runs.
    pub time_scale: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Goals by class.
    pub goals: BTreeMap<Class, Goal>,
}

/// A whole run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// What it was made with.
    pub settings: Settings,
    /// What was measured, by class.
    pub classes: BTreeMap<Class, ClassRecord>,
    /// How each workspace fared.
    #[serde(default)]
    pub workspaces: BTreeMap<Arc<str>, WorkspaceRecord>,
}

/// How one workspace fared.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceRecord {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub complete: u64,
    /// Whole answers within their goal.
    pub good: u64,
}

/// What was measured of a class; times in milliseconds of the model of time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassRecord {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub complete: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Requests without an answer, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Answers that broke off, by reason.
    pub broken: BTreeMap<String, u64>,
    /// Requests in progress when the run ended.
    pub unfinished: u64,
    /// Answers with something wrong in their tokens, by the first thing wrong.
    pub violations: BTreeMap<Violation, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received in answers that didn't come to their end.
    pub wasted_tokens: u64,
    /// Whole answers whose first token and 95th percentile of gaps met the goal.
    pub good: u64,
    /// Tokens of these in each second of arrivals.
    pub goodput_tokens_per_s: f64,
    /// Answers that told of their preemptions.
    pub with_usage: u64,
    /// Preemptions that they told of.
    pub preemptions: u64,
    /// Stall time of each request that wasn't refused.
    pub stall_ms: Quantiles,
    /// From the intended arrival to the first token.
    pub first_token_ms: Quantiles,
    /// Between two tokens.
    pub gap_ms: Quantiles,
}

impl ClassRecord {
    /// Requests counted under any of the reasons.
    #[must_use]
    pub fn total<K>(reasons: &BTreeMap<K, u64>) -> u64 {
        reasons.values().sum()
    }
}

/// A distribution, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

impl Quantiles {
    /// Reads the quantiles off a histogram in microseconds.
    #[must_use]
    pub fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| to_ms(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            mean: histogram.mean() / MICROS_PER_MS,
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            max: to_ms(histogram.max()),
        }
    }

    /// The quantiles with their places.
    #[must_use]
    pub fn points(&self) -> [(f64, f64); 5] {
        [
            (0.5, self.p50),
            (0.9, self.p90),
            (0.95, self.p95),
            (0.99, self.p99),
            (0.999, self.p999),
        ]
    }
}

#[expect(clippy::cast_precision_loss, reason = "times stay far below 2^52 µs")]
fn to_ms(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_MS
}
