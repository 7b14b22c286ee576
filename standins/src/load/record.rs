//! The record of a run, written as one JSON object.

use std::collections::BTreeMap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::check::Violation;
use super::mix::{Class, Goal};

/// Microseconds, the unit of the histograms, per millisecond.
pub(super) const MICROS_PER_MS: f64 = 1e3;

/// Settings of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Settings {
    /// Base URLs of the targets, used in turn.
    pub targets: Vec<String>,
    /// Whether the targets are engines.
    pub straight: bool,
    /// Name of the mix.
    pub mix: Arc<str>,
    /// Requests per second of simulated time.
    pub rate: f64,
    /// Seconds of arrivals, in simulated time.
    pub duration_s: f64,
    /// Speed-up factor of simulated time over real time.
    pub time_scale: f64,
    /// Seed of the arrival process.
    pub seed: u64,
    /// Latency goals by class.
    pub goals: BTreeMap<Class, Goal>,
}

/// Settings and results of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Settings.
    pub settings: Settings,
    /// Results by class.
    pub classes: BTreeMap<Class, ClassRecord>,
    /// Results by workspace.
    #[serde(default)]
    pub workspaces: BTreeMap<Arc<str>, WorkspaceRecord>,
}

/// Results of one workspace.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceRecord {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub complete: u64,
    /// Complete answers within their goal.
    pub good: u64,
}

/// Results of a class; times in milliseconds of simulated time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassRecord {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub complete: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Requests without an answer, by reason.
    pub failed: BTreeMap<String, u64>,
    /// Answers that broke off, by reason.
    pub broken: BTreeMap<String, u64>,
    /// Requests in progress when the run ended.
    pub unfinished: u64,
    /// Answers with a violation in their tokens, by the first violation.
    pub violations: BTreeMap<Violation, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received in incomplete answers.
    pub wasted_tokens: u64,
    /// Complete answers whose first token and 95th percentile of gaps met the goal.
    pub good: u64,
    /// Tokens of good answers per second of arrivals.
    pub goodput_tokens_per_s: f64,
    /// Answers that reported their preemptions.
    pub with_usage: u64,
    /// Preemptions reported.
    pub preemptions: u64,
    /// Stall time of requests that weren't refused.
    pub stall_ms: Quantiles,
    /// Time from the scheduled arrival to the first token.
    pub first_token_ms: Quantiles,
    /// Gap between two tokens.
    pub gap_ms: Quantiles,
}

impl ClassRecord {
    /// Returns the number of requests under all reasons.
    #[must_use]
    pub fn total<K>(reasons: &BTreeMap<K, u64>) -> u64 {
        reasons.values().sum()
    }
}

/// Summary of a distribution, in milliseconds.
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
    /// Reads the quantiles of a histogram in microseconds.
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

    /// Returns pairs of quantile and value.
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
