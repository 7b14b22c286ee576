//! Adds up the outcomes of a class.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::call::{End, Outcome};
use super::record::{ClassRecord, MICROS_PER_MS, Quantiles};

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Largest value that the histograms resolve, in microseconds.
const MAX_MICROS: u64 = 24 * 3_600 * 1_000_000;

/// Totals of a class so far.
#[derive(Debug)]
pub(super) struct Tally {
    counts: ClassRecord,
    good_tokens: u64,
    stall: Histogram<u64>,
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
}

impl Tally {
    pub(super) fn new() -> anyhow::Result<Self> {
        let histogram = || Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS);
        Ok(Self {
            counts: ClassRecord::default(),
            good_tokens: 0,
            stall: histogram()?,
            first_token: histogram()?,
            gap: histogram()?,
        })
    }

    /// Adds one outcome.
    pub(super) fn add(&mut self, outcome: &Outcome) {
        self.counts.sent += 1;
        self.add_end(outcome);
        self.add_tokens(outcome);
        if !matches!(outcome.end, End::Refused(_)) {
            self.add_times(outcome);
        }
        if let Some(preemptions) = outcome.preemptions {
            self.counts.with_usage += 1;
            self.counts.preemptions += preemptions;
        }
        if let Some(violation) = outcome.check.violation() {
            *self.counts.violations.entry(violation).or_default() += 1;
        }
    }

    /// Returns the record of the class after `duration` of arrivals.
    pub(super) fn into_record(self, duration: Duration) -> ClassRecord {
        ClassRecord {
            goodput_tokens_per_s: per_second(self.good_tokens, duration),
            stall_ms: Quantiles::new(&self.stall),
            first_token_ms: Quantiles::new(&self.first_token),
            gap_ms: Quantiles::new(&self.gap),
            ..self.counts
        }
    }

    fn add_end(&mut self, outcome: &Outcome) {
        match &outcome.end {
            End::Complete => self.counts.complete += 1,
            End::Refused(code) => increment(&mut self.counts.refused, code),
            End::Failed(reason) => increment(&mut self.counts.failed, reason),
            End::Broken(reason) => increment(&mut self.counts.broken, reason),
            End::Unfinished => self.counts.unfinished += 1,
        }
    }

    fn add_tokens(&mut self, outcome: &Outcome) {
        self.counts.tokens += outcome.tokens;
        if outcome.end != End::Complete {
            self.counts.wasted_tokens += outcome.tokens;
        } else if outcome.meter.met_goal() {
            self.counts.good += 1;
            self.good_tokens += outcome.tokens;
        }
    }

    fn add_times(&mut self, outcome: &Outcome) {
        let meter = &outcome.meter;
        self.stall.saturating_record(to_micros(meter.stall_ms()));
        if let Some(first_token) = meter.first_token_ms() {
            self.first_token.saturating_record(to_micros(first_token));
        }
        for gap in meter.gaps_ms() {
            self.gap.saturating_record(to_micros(*gap));
        }
    }
}

fn increment(reasons: &mut BTreeMap<String, u64>, reason: &str) {
    *reasons.entry(reason.to_owned()).or_default() += 1;
}

#[expect(clippy::cast_precision_loss, reason = "tokens stay far below 2^52")]
fn per_second(tokens: u64, duration: Duration) -> f64 {
    tokens as f64 / duration.as_secs_f64()
}

/// Converts milliseconds to microseconds, the unit of the histograms.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and times are positive"
)]
fn to_micros(ms: f64) -> u64 {
    (ms * MICROS_PER_MS) as u64
}
