//! How fast an engine makes tokens, against the others of its service.
//!
//! Engines of one service differ in speed. A long generation holds its memory for
//! as long as its answer lasts, so it is worth most to place those on the fast
//! ones. What each entry sees of its own streams is told to the others, since an
//! engine lives for some twenty seconds and an entry has a stream or two there.

use crate::ids::Name;
use std::collections::HashMap;
use std::time::Duration;

/// Tokens for which the pace of an engine counts; what is older fades by halves.
const ENGINE_TOKENS: u64 = 2_000;

/// The same for the mean of a service.
const SERVICE_TOKENS: u64 = 100_000;

/// Tokens at the mean pace that an engine is taken to have made before anything was seen of it.
const PRIOR_TOKENS: f64 = 300.0;

/// Other entries whose view of an engine is kept.
///
/// State would otherwise grow with entries times upstreams, and sixteen streams say enough of one.
const MAX_OTHERS: usize = 16;

/// Tokens that were made, and the time that it took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Tokens.
    pub tokens: u64,
    /// Microseconds.
    pub micros: u64,
}

impl Pace {
    /// Adds what a stream of an engine made in a span without a break.
    pub(crate) fn record_for_engine(&mut self, tokens: u64, span: Duration) {
        self.record(tokens, span, ENGINE_TOKENS);
    }

    /// Adds what a stream of any engine of a service made.
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

/// What all entries have seen of one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedPace {
    pub(crate) own: Pace,
    others: HashMap<Name, Pace>,
}

impl ObservedPace {
    /// Takes what another entry has seen; of many, those count that have seen most.
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

    /// What all but one entry have seen.
    pub(crate) fn except(&self, entry: &Name) -> Pace {
        let others = self.others.iter().filter(|(name, _)| *name != entry);
        others.fold(self.own, |sum, (_, pace)| sum.with(*pace))
    }

    /// Time that it takes for a token against what the service's engines take.
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
