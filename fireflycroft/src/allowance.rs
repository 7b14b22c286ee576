//! What may be spent a second: bytes or messages, with a burst after quiet.

use crate::time::{Time, whole_micros};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A rate with a burst; the last spending may overdraw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    per_second: u64,
    burst: u64,
    /// Spent and not yet earned back, in millionths.
    spent: u64,
    earned: Time,
}

impl Allowance {
    /// An allowance of which nothing is spent.
    pub(crate) const fn new(per_second: u64, burst: u64) -> Self {
        Self {
            per_second,
            burst,
            spent: 0,
            earned: Time(0),
        }
    }

    /// Whether anything is left.
    pub(crate) fn is_open(&mut self, now: Time) -> bool {
        let micros = whole_micros(now.since(self.earned));
        self.earned = now;
        let earned = micros.saturating_mul(self.per_second);
        self.spent = self.spent.saturating_sub(earned);
        self.spent < self.burst.saturating_mul(MICROS_PER_SECOND)
    }

    pub(crate) const fn spend(&mut self, amount: u64) {
        let millionths = amount.saturating_mul(MICROS_PER_SECOND);
        self.spent = self.spent.saturating_add(millionths);
    }

    /// Spends one if anything is left.
    pub(crate) fn take(&mut self, now: Time) -> bool {
        let open = self.is_open(now);
        if open {
            self.spend(1);
        }
        open
    }
}
