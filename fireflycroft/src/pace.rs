//! Token rate of an engine relative to the others of its service.
//!
//! Engines of one service differ in speed. A long generation holds its memory
//! until its answer ends, so fast engines are most valuable for those. Entries
//! announce the pace of their own streams to each other, since an engine lives for
//! about twenty seconds and an entry has only one or two streams there.

use crate::ids::Name;
use std::collections::HashMap;
use std::time::Duration;

/// Tokens beyond which the counts of an engine are halved, so that older ones fade.
const ENGINE_TOKENS: u64 = 2_000;

/// The same for the mean of a service.
const SERVICE_TOKENS: u64 = 100_000;

/// Weight of the prior, in tokens at the mean pace of the service.
const PRIOR_TOKENS: f64 = 300.0;

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

    const fn with(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            micros: self.micros + other.micros,
        }
    }
}

/// Pace of one engine as observed by all entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedPace {
    pub(crate) own: Pace,
    others: HashMap<Name, Pace>,
}

impl ObservedPace {
    /// Applies the pace that another entry observed; beyond [`MAX_OTHERS`], keeps those with most tokens.
    pub(crate) fn apply_other(&mut self, entry: &Name, pace: Pace) {
        if pace.tokens == 0 {
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
        others.fold(self.own, |sum, (_, pace)| sum.with(*pace))
    }

    /// Returns the time per token relative to the mean of the service.
    pub(crate) fn relative(&self, service: Pace) -> f64 {
        if service.tokens == 0 || service.micros == 0 {
            return 1.0;
        }
        let mean = to_f64(service.micros) / to_f64(service.tokens);
        let observed = self.others.values().fold(self.own, |sum, p| sum.with(*p));
        let micros = to_f64(observed.micros) + PRIOR_TOKENS * mean;
        micros / (to_f64(observed.tokens) + PRIOR_TOKENS) / mean
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
