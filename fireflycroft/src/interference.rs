//! Risk that prompts read on an engine make the answers beside them late.
//!
//! Answers the load of engines that differ in speed and slow down at times: an engine reads prompts
//! between the steps of its answers, and on a slow engine one prompt read at such a time delays an event
//! beyond its objective, on a fast one it doesn't. A pause relative to the engine's usual gap depends on
//! the model and the batch, hardly on the engine. Therefore its spread is learnt for the service, and the
//! risk on an engine is read off at the ratio of objective to usual gap there. Where pauses stay far below
//! the objective, the risk is zero and choices don't change.

use crate::ids::Name;
use crate::pace::{Pace, RecentTimes};
use crate::placed::{Need, Placed};
use crate::time::Time;
use crate::upstream::Upstream;
use std::collections::HashMap;
use std::time::Duration;

/// Least ratio of a pause to the usual gap that is counted; reading alone doubles a gap.
const MIN_RATIO: f64 = 2.0;

/// Ratio between the bounds of two bins: engines with an answer more or less differ by as much.
const BIN_RATIO: f64 = 1.04;

/// Bins, up to about thirteen times the usual gap.
const BINS: usize = 48;

/// Seconds of reading beside answers that are assumed to have passed without a pause.
const PRIOR_SECONDS: f64 = 4.0;

/// Seconds beyond which all counts are halved, so that older ones fade.
const MAX_SECONDS: f64 = 400.0;

/// Pauses in this share of an objective count as beyond it: networks and processors add some.
const NEAR_OBJECTIVE: f64 = 0.85;

/// Counts of a [`PauseSpread`], as an entry announces them to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PauseCounts {
    /// The service.
    pub service: Name,
    /// Milliseconds of reading beside the answers that the entry relayed.
    pub reading_ms: u64,
    /// Pauses, by their ratio to the usual gap.
    pub pauses: Vec<u32>,
}

/// Pauses of a service's answers relative to their engines' usual gaps, for each second of reading.
#[derive(Clone, Debug, PartialEq)]
pub struct PauseSpread {
    seconds: f64,
    pauses: [f64; BINS],
}

impl Default for PauseSpread {
    fn default() -> Self {
        Self {
            seconds: 0.0,
            pauses: [0.0; BINS],
        }
    }
}

impl PauseSpread {
    /// Records that an answer ran for `span` on an engine that read prompts for a share of the time.
    pub fn record_span(&mut self, span: Duration, reading: f64) {
        self.seconds += span.as_secs_f64() * reading;
        if self.seconds > MAX_SECONDS {
            self.seconds /= 2.0;
            self.pauses.iter_mut().for_each(|count| *count /= 2.0);
        }
    }

    /// Records a pause of `ratio` times the usual gap.
    pub fn record(&mut self, ratio: f64) {
        if let Some(bin) = bin_of(ratio) {
            self.pauses[bin] += 1.0;
        }
    }

    /// Returns the counts to announce.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn counts(&self, service: &Name) -> PauseCounts {
        let counted = self.pauses.iter().rposition(|count| *count >= 0.5);
        let counted = self.pauses.iter().take(counted.map_or(0, |last| last + 1));
        let pauses = counted.map(|count| count.round() as u32);
        PauseCounts {
            service: service.clone(),
            reading_ms: (self.seconds * 1_000.0) as u64,
            pauses: pauses.collect(),
        }
    }

    /// Adds announced counts.
    #[allow(clippy::cast_precision_loss)]
    fn add(&mut self, counts: &PauseCounts) {
        self.seconds += counts.reading_ms as f64 / 1_000.0;
        for (sum, count) in self.pauses.iter_mut().zip(&counts.pauses) {
            *sum += f64::from(*count);
        }
    }

    /// Returns the expected pauses beyond `ratio` times the usual gap in a second of reading beside an answer.
    #[must_use]
    pub fn risk(&self, ratio: f64) -> f64 {
        let first = bin_of(ratio * NEAR_OBJECTIVE).unwrap_or(0);
        let beyond: f64 = self.pauses[first..].iter().sum();
        beyond / (self.seconds + PRIOR_SECONDS)
    }
}

/// Returns the bin of a ratio, the last for all greater ones.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn bin_of(ratio: f64) -> Option<usize> {
    if ratio.is_nan() || ratio < MIN_RATIO {
        return None;
    }
    let bin = (ratio / MIN_RATIO).ln() / BIN_RATIO.ln();
    Some((bin as usize).min(BINS - 1))
}

/// Longest of the pauses in a row, which have one cause and make an answer late once.
#[derive(Clone, Copy, Debug, Default)]
pub struct PausePeak(f64);

/// Ratio of a gap to the usual one from which an engine is slow by itself, not only by what it reads.
const SLOWED_RATIO: f64 = 2.3;

impl PausePeak {
    /// Returns whether the engine has been slow since the gaps were last usual.
    #[must_use]
    pub fn is_slowed(self) -> bool {
        self.0 >= SLOWED_RATIO
    }

    /// Adds a gap by its ratio to the usual one; returns the peak when the gaps are usual again.
    pub fn add(&mut self, ratio: f64) -> Option<f64> {
        if ratio >= MIN_RATIO {
            self.0 = self.0.max(ratio);
            return None;
        }
        let peak = std::mem::take(&mut self.0);
        (peak > 0.0).then_some(peak)
    }
}

/// Time constant of the mean of [`ReadingShare`], a tenth of the life of a short-lived engine.
const READING_SPAN: Duration = Duration::from_secs(2);

/// Share of the time in which an engine reads prompts, as a moving mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingShare {
    last: Option<(Time, bool)>,
    seconds: f64,
    share: f64,
}

impl ReadingShare {
    /// Records whether the engine reads prompts now; the state holds until the next record.
    pub fn record(&mut self, now: Time, is_reading: bool) {
        let (since, was_reading) = self.last.unwrap_or((now, is_reading));
        let span = now.since(since).as_secs_f64();
        let keep = (-span / READING_SPAN.as_secs_f64()).exp();
        let was = if was_reading { 1.0 } else { 0.0 };
        self.share = was + (self.share - was) * keep;
        self.seconds += span;
        self.last = Some((now, is_reading));
    }

    /// Returns the share; `usual`, the one of other engines, counts in so far as little is known.
    #[must_use]
    pub fn share(&self, usual: f64) -> f64 {
        // The mean began at zero, a state that was not observed.
        self.share + usual * (-self.seconds / READING_SPAN.as_secs_f64()).exp()
    }
}

/// Gap between two events of an answer that is relayed.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    /// Tokens of the events that ended it.
    pub tokens: u64,
    /// Its length.
    pub span: Duration,
    /// Tokens of each event.
    pub event_tokens: u32,
    /// Objective for it, if the route states one.
    pub objective: Option<Duration>,
}

/// Maximum other entries whose counts are kept: they are a sample of all answers.
const MAX_TOLD: usize = 32;

/// Time for which counts of another entry are kept, a dozen of its announcements.
const COUNTS_LIFETIME: Duration = Duration::from_secs(5);

/// What answers of one service have shown of its pauses.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServicePauses {
    /// Pauses of the answers that this entry relayed.
    own: PauseSpread,
    /// Those of other entries, with the time of their announcement.
    told: HashMap<Name, (Time, PauseCounts)>,
    /// Both.
    all: PauseSpread,
    /// Least objective of its answers for a token, in microseconds.
    objective: Option<f64>,
    /// Times to read a token of a prompt.
    read: RecentTimes,
}

impl ServicePauses {
    /// Records a gap on an engine with a usual time per token in microseconds, that reads prompts for a share
    /// of the time; `peak` belongs to the answer.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn record_gap(&mut self, gap: &Gap, usual: f64, reading: f64, peak: &mut PausePeak) {
        if let Some(objective) = gap.objective {
            let per_token = objective.as_micros() as f64 / f64::from(gap.event_tokens.max(1));
            self.objective = Some(self.objective.map_or(per_token, |o| o.min(per_token)));
        }
        self.own.record_span(gap.span, reading);
        self.all.record_span(gap.span, reading);
        let ratio = gap.span.as_micros() as f64 / gap.tokens.max(1) as f64 / usual;
        if let Some(ratio) = peak.add(ratio) {
            self.own.record(ratio);
            self.all.record(ratio);
        }
    }

    /// Returns the counts of this entry to announce.
    pub(crate) fn counts(&self, service: &Name) -> PauseCounts {
        self.own.counts(service)
    }

    /// Applies the counts of another entry.
    pub(crate) fn apply_counts(&mut self, now: Time, entry: &Name, counts: PauseCounts) {
        self.told
            .retain(|_, (at, _)| now.since(*at) < COUNTS_LIFETIME);
        if self.told.len() >= MAX_TOLD && !self.told.contains_key(entry) {
            let oldest = self.told.iter().min_by_key(|(_, (at, _))| *at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.told.remove(&oldest);
            }
        }
        self.told.insert(entry.clone(), (now, counts));
        self.all = self.own.clone();
        for (_, counts) in self.told.values() {
            self.all.add(counts);
        }
    }

    /// Records the time in which an engine read a prompt.
    pub(crate) fn record_read(&mut self, tokens: u64, span: Duration) {
        self.read.record(tokens, span);
    }
}

/// Usual time of a fast engine relative to the median one, from which engines count as uneven. Times are seldom
/// overstated by as much, and hardly understated.
const FAST_RATIO: f64 = 0.7;

/// Divisor of the engines that gives the rank of the fast one: so many must be fast.
const FAST_RANK_DIVISOR: usize = 8;

/// Certainty from which an engine counts in the mean: about eight gaps, so that not all of them are in one
/// slow span.
const MIN_SURE: f64 = 0.8;

/// Cost of an answer that becomes late, relative to a full memory.
const LATE_COST: f64 = 0.7;

/// Risk on an engine that is slow now relative to that at any time: about the inverse of the share of the time
/// in which engines are slow.
const SLOWED_RISK: f64 = 5.0;

/// Mean time per token relative to the usual one, while no answer has ended a window of tokens.
const MEAN_OVER_USUAL: f64 = 1.5;

/// Engines of a service at one choice, as far as the cost of interference depends on them.
#[derive(Debug)]
pub(crate) struct Interference<'a> {
    pauses: &'a ServicePauses,
    /// Usual time per token of the mean engine, in microseconds.
    usual: f64,
    /// Mean time per token of all answers, in microseconds.
    mean: f64,
    /// Share of the time in which the mean engine reads.
    reading: f64,
    /// Risk of the mean engine.
    risk: f64,
}

impl<'a> Interference<'a> {
    /// Returns the state if the engines are known to be uneven.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn of<'b>(
        pauses: &'a ServicePauses,
        pace: Pace,
        engines: impl Iterator<Item = &'b Upstream>,
    ) -> Option<Self> {
        let known = engines.filter_map(|u| {
            let (usual, sure) = u.pace.usual()?;
            (sure >= MIN_SURE).then_some((usual, u.reading.share(0.0)))
        });
        let known: Vec<(f64, f64)> = known.collect();
        let count = known.len() as f64;
        if known.is_empty() {
            return None;
        }
        let usual = known.iter().map(|(usual, _)| usual).sum::<f64>() / count;
        let mut sorted: Vec<f64> = known.iter().map(|(usual, _)| *usual).collect();
        sorted.sort_unstable_by(f64::total_cmp);
        if sorted[sorted.len() / FAST_RANK_DIVISOR] > FAST_RATIO * sorted[sorted.len() / 2] {
            return None;
        }
        let risk = known.iter().map(|(usual, _)| risk_at(pauses, *usual));
        let risk = risk.sum::<f64>() / count;
        let reading = known.iter().map(|(_, reading)| reading).sum::<f64>() / count;
        let mean = match pace.tokens {
            0 => usual * MEAN_OVER_USUAL,
            tokens => pace.micros as f64 / tokens as f64,
        };
        Some(Self {
            pauses,
            usual,
            mean,
            reading,
            risk,
        })
    }

    /// Returns the usual time per token of an engine relative to the mean engine.
    pub(crate) fn relative(&self, u: &Upstream) -> f64 {
        u.pace
            .usual()
            .map_or(1.0, |(usual, sure)| 1.0 + sure * (usual / self.usual - 1.0))
    }

    /// Returns the expected late pauses of an answer on an engine in a second of reading beside it.
    pub(crate) fn risk(&self, u: &Upstream) -> f64 {
        u.pace.usual().map_or(self.risk, |(usual, sure)| {
            sure * risk_at(self.pauses, usual) + (1.0 - sure) * self.risk
        })
    }

    /// Returns the risk of the mean engine.
    pub(crate) const fn mean_risk(&self) -> f64 {
        self.risk
    }

    /// Returns the cost of the answers that one more request on an engine is expected to make late, itself
    /// included, relative to a full memory.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn cost(&self, u: &Upstream, load: &Placed, need: &Need) -> f64 {
        let risk = self.risk(u);
        let relative = self.relative(u);
        let read_micros = self.pauses.read.quantile(2).unwrap_or(0);
        let slowed = if load.slowed > 0 { SLOWED_RISK } else { 1.0 };
        let reading = need.unread as f64 * f64::from(read_micros) / 1e6 * relative;
        let beside = f64::from(load.long) * (1.0 - (-risk * slowed * reading).exp());
        let own = if need.is_long() {
            let answer = need.tokens.saturating_sub(need.prompt) as f64;
            let seconds = answer * self.mean / 1e6 * relative;
            1.0 - (-risk * u.reading.share(self.reading) * seconds).exp()
        } else {
            0.0
        };
        LATE_COST * (beside + own)
    }
}

fn risk_at(pauses: &ServicePauses, usual: f64) -> f64 {
    pauses
        .objective
        .map_or(0.0, |objective| pauses.all.risk(objective / usual))
}
