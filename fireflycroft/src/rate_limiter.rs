//! A limit on bytes or messages per second, with a burst after an idle time.

use crate::time::{Time, whole_micros};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A rate with a burst; one request may exceed the remaining budget.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateLimiter {
    per_second: u64,
    burst: u64,
    /// Amount used and not yet refilled, in millionths of a unit.
    used_millionths: u64,
    refilled_at: Time,
}

impl RateLimiter {
    /// Creates a limiter with its whole budget.
    pub(crate) const fn new(per_second: u64, burst: u64) -> Self {
        Self {
            per_second,
            burst,
            used_millionths: 0,
            refilled_at: Time(0),
        }
    }

    /// Refills the budget up to `now` and returns whether any is left.
    pub(crate) fn has_budget(&mut self, now: Time) -> bool {
        let micros = whole_micros(now.since(self.refilled_at));
        self.refilled_at = now;
        let refilled = micros.saturating_mul(self.per_second);
        self.used_millionths = self.used_millionths.saturating_sub(refilled);
        self.used_millionths < self.burst.saturating_mul(MICROS_PER_SECOND)
    }

    pub(crate) const fn consume(&mut self, amount: u64) {
        let millionths = amount.saturating_mul(MICROS_PER_SECOND);
        self.used_millionths = self.used_millionths.saturating_add(millionths);
    }

    /// Consumes one unit if any budget is left.
    pub(crate) fn try_consume(&mut self, now: Time) -> bool {
        let available = self.has_budget(now);
        if available {
            self.consume(1);
        }
        available
    }
}
