//! Rates that upstreams in need name in their answers.
//!
//! A rate holds for all entries together, for as long as the upstream's answers
//! name it. Answers overtake each other, and an entry that stood still reads old
//! ones late, so each word counts from a moment: a rate from when it was heard,
//! its absence from when the request that was answered had been sent.

use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::UpstreamIx;
use std::fmt;

/// Requests a second that an upstream takes from all entries together, to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    thousandths: u32,
}

impl RateLimit {
    /// A rate of so many requests a second; none if that is negative or no number.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(per_second: f64) -> Option<Self> {
        // A rate beyond the range is as good as none and saturates.
        (per_second >= 0.0).then(|| Self::from_thousandths((per_second * 1_000.0) as u32))
    }

    /// A rate of so many thousandths of a request a second.
    #[must_use]
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self { thousandths }
    }

    /// The same, to be told.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// What is known of an upstream's rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRate {
    limit: Option<RateLimit>,
    /// Moment from which that counts.
    as_of: Time,
}

/// A rate that an upstream names, and the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateChange {
    /// The rate before.
    pub was: Option<RateLimit>,
    /// The rate now; none once the upstream takes any again.
    pub is: Option<RateLimit>,
}

impl Pool {
    /// Takes the rate that an upstream named, or didn't name, in the answer to a request of `sent`;
    /// tells whether it is another one than before.
    pub fn note_rate_limit(
        &mut self,
        now: Time,
        ix: UpstreamIx,
        sent: Time,
        named: Option<RateLimit>,
    ) -> Option<RateChange> {
        let known = &mut self.upstreams[ix.0].rate;
        let as_of = if named.is_some() { now } else { sent };
        known.take(as_of, named)
    }

    /// The rate that an upstream names.
    #[must_use]
    pub fn rate_limit(&self, ix: UpstreamIx) -> Option<RateLimit> {
        self.upstreams[ix.0].rate.limit
    }
}

impl KnownRate {
    /// Takes a word that counts from `as_of`, unless a later one is known.
    fn take(&mut self, as_of: Time, limit: Option<RateLimit>) -> Option<RateChange> {
        if as_of <= self.as_of {
            return None;
        }
        self.as_of = as_of;
        let was = std::mem::replace(&mut self.limit, limit);
        (was != limit).then_some(RateChange { was, is: limit })
    }
}
