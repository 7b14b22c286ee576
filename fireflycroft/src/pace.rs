//! Token rate of an engine relative to the others of its service.
//!
//! Engines of one service differ in speed. A long generation holds its memory
//! until its answer ends, so fast engines are most valuable for those. Entries
//! announce the pace of their own streams to each other, since an engine lives for
//! about twenty seconds and an entry has only one or two streams there.
//!
//! The mean pace also depends on what else an engine did, and takes hundreds of tokens to learn. The usual
//! gap between events, which follows shorter gaps quickly and longer ones slowly, tells engines of two speeds apart after a few.

use crate::ids::Name;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Tokens beyond which the counts of an engine are halved, so that older ones fade.
const ENGINE_TOKENS: u64 = 2_000;

/// The same for the mean of a service.
const SERVICE_TOKENS: u64 = 100_000;

/// Weight of the prior, in tokens at the mean pace of the service.
const PRIOR_TOKENS: f64 = 300.0;

/// Share by which a shorter gap lowers the usual one: half, since an event that came late makes the next gap
/// short.
const SHORTER_WEIGHT: f64 = 0.5;

/// Share by which a longer gap raises it. Prompts that are read and slow spans make most gaps longer, nothing
/// but the way here makes one shorter.
const LONGER_WEIGHT: f64 = 0.01;

/// Multiple of the usual gap beyond which a longer one counts no more.
const MAX_LONGER: f64 = 2.0;

/// Gaps of one entry from which the least of the entries' usual ones counts.
const MIN_GAPS: u32 = 3;

/// Gaps up to which owners hear at once when they have doubled; a full report follows in half a second.
const MAX_TOLD_AT_ONCE: u32 = 8;

/// Gaps that count at most for the certainty of the usual one.
const MAX_GAPS: u32 = 64;

/// Recent times per token that are kept of prompts.
const RECENT_TIMES: usize = 32;

/// Weight of the mean engine in the estimate of an engine's speed, in gaps.
const PRIOR_GAPS: f64 = 2.0;

/// Maximum other entries whose pace of an engine is kept.
///
/// State would otherwise grow with entries times upstreams, and sixteen streams are enough.
const MAX_OTHERS: usize = 16;

/// Number of tokens and the time that they took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Tokens.
    pub tokens: u64,
    /// Microseconds.
    pub micros: u64,
    /// Microseconds per token in the usual gap between events; zero if unknown.
    pub usual_micros: u32,
    /// Recent gaps that this is based on.
    pub gaps: u32,
}

impl Pace {
    /// Adds the tokens of an uninterrupted span of a stream to the pace of its engine.
    pub(crate) fn record_for_engine(&mut self, tokens: u64, span: Duration) {
        self.record(tokens, span, ENGINE_TOKENS);
    }

    /// Adds the tokens of a span of a stream to the pace of its service.
    pub(crate) fn record_for_service(&mut self, tokens: u64, span: Duration) {
        self.record(tokens, span, SERVICE_TOKENS);
    }

    fn record(&mut self, tokens: u64, span: Duration, max_tokens: u64) {
        self.tokens += tokens;
        self.micros += u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        if self.tokens > max_tokens {
            self.tokens /= 2;
            self.micros /= 2;
        }
    }

    /// Returns what several entries observed of one engine.
    fn combined(all: &(impl Iterator<Item = Self> + Clone)) -> Self {
        let sum = |of: fn(&Self) -> u64| all.clone().map(|p| of(&p)).sum::<u64>();
        let gaps = sum(|p| p.gaps.into());
        let weighted = sum(|p| u64::from(p.usual_micros) * u64::from(p.gaps));
        let sure = all.clone().filter(|p| p.gaps >= MIN_GAPS);
        let least = sure.map(|p| p.usual_micros).min();
        let mean = u32::try_from(weighted / gaps.max(1)).unwrap_or(u32::MAX);
        Self {
            tokens: sum(|p| p.tokens),
            micros: sum(|p| p.micros),
            usual_micros: least.unwrap_or(mean),
            gaps: u32::try_from(gaps).unwrap_or(u32::MAX),
        }
    }
}

/// Recent times per token in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentTimes(VecDeque<u32>);

impl RecentTimes {
    /// Adds the time that some tokens took, dropping the oldest beyond [`RECENT_TIMES`].
    pub(crate) fn record(&mut self, tokens: u64, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let Some(per_token) = micros.checked_div(tokens) else {
            return;
        };
        if self.0.len() >= RECENT_TIMES {
            self.0.pop_front();
        }
        self.0
            .push_back(u32::try_from(per_token).unwrap_or(u32::MAX));
    }

    /// Returns the time below which `1 / divisor` of them are.
    pub(crate) fn quantile(&self, divisor: usize) -> Option<u32> {
        let mut sorted: Vec<u32> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / divisor).copied()
    }
}

/// Pace of one engine as observed by all entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedPace {
    pub(crate) own: Pace,
    others: HashMap<Name, Pace>,
}

impl ObservedPace {
    /// Adds a gap between two events; returns whether the number of known gaps has doubled.
    pub(crate) fn record_gap(&mut self, tokens: u64, gap: Duration) -> bool {
        let micros = u32::try_from(gap.as_micros()).unwrap_or(u32::MAX);
        let Some(time) = u64::from(micros).checked_div(tokens) else {
            return false;
        };
        let known = self.own.gaps;
        self.own.usual_micros = match known {
            0 => u32::try_from(time).unwrap_or(u32::MAX),
            _ => moved(self.own.usual_micros, time),
        };
        self.own.gaps = (known + 1).min(MAX_GAPS);
        self.own.gaps <= MAX_TOLD_AT_ONCE && self.own.gaps.is_power_of_two()
    }

    /// Returns the usual time per token in microseconds as observed by all entries, and the share of
    /// certainty in it; `None` before the first gap.
    pub(crate) fn usual(&self) -> Option<(f64, f64)> {
        let observed = self.observed();
        let gaps = f64::from(observed.gaps);
        let is_known = observed.gaps > 0 && observed.usual_micros > 0;
        is_known.then(|| (observed.usual_micros.into(), gaps / (gaps + PRIOR_GAPS)))
    }

    fn observed(&self) -> Pace {
        Pace::combined(&self.others.values().copied().chain([self.own]))
    }

    /// Applies the pace that another entry observed; beyond [`MAX_OTHERS`], keeps those with most tokens.
    pub(crate) fn apply_other(&mut self, entry: &Name, pace: Pace) {
        if pace.tokens == 0 && pace.gaps == 0 {
            return;
        }
        if self.others.len() >= MAX_OTHERS && !self.others.contains_key(entry) {
            let least = self.others.iter().min_by_key(|(_, p)| p.tokens);
            let Some((least, observed)) = least.map(|(e, p)| (e.clone(), p.tokens)) else {
                return;
            };
            if observed >= pace.tokens {
                return;
            }
            self.others.remove(&least);
        }
        self.others.insert(entry.clone(), pace);
    }

    /// Returns the pace as observed by all entries but one.
    pub(crate) fn except(&self, entry: &Name) -> Pace {
        let others = self.others.iter().filter(|(name, _)| *name != entry);
        Pace::combined(&others.map(|(_, pace)| *pace).chain([self.own]))
    }

    /// Returns the time per token relative to the mean of the service.
    pub(crate) fn relative(&self, service: Pace) -> f64 {
        if service.tokens == 0 || service.micros == 0 {
            return 1.0;
        }
        let mean = to_f64(service.micros) / to_f64(service.tokens);
        let observed = self.observed();
        let micros = to_f64(observed.micros) + PRIOR_TOKENS * mean;
        micros / (to_f64(observed.tokens) + PRIOR_TOKENS) / mean
    }
}

/// Returns the usual time per token after one more.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn moved(usual: u32, time: u64) -> u32 {
    let usual = f64::from(usual);
    let time = to_f64(time).min(usual * MAX_LONGER);
    let weight = if time < usual {
        SHORTER_WEIGHT
    } else {
        LONGER_WEIGHT
    };
    (usual + weight * (time - usual)).round() as u32
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
