//! Schedule of a planned stop, and what is still passed on while it lasts.
//!
//! Balancers need a few readiness checks to send callers elsewhere, so new requests are accepted for a while. Work that
//! can't be expected to end before the grace period does is refused as not run while another entry can still serve it.

use crate::time::Time;
use std::time::Duration;

/// Time after which balancers that check readiness once a second have sent all callers elsewhere.
const BALANCER_TIME: Duration = Duration::from_millis(2_600);

/// Divisor of the grace period that gives the longest time for which new requests are accepted.
const ACCEPT_DIVISOR: u32 = 2;

/// Part of the grace period kept in reserve, so that the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Time before the exit in which the last answers are handed over.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// New requests are accepted until then.
    pub accepts_until: Time,
    /// Callers may still be sent here until then, and are refused.
    pub refuses_until: Time,
    /// Requests that have no answer by then get one.
    pub last_answers_at: Time,
    /// The process exits then at the latest.
    pub ends_at: Time,
}

impl PlannedStop {
    /// Plans a stop that begins at `now` and is over within `grace`.
    #[must_use]
    pub fn new(now: Time, grace: Duration) -> Self {
        let until_exit = grace.saturating_sub(EXIT_MARGIN);
        Self {
            accepts_until: now + BALANCER_TIME.min(grace / ACCEPT_DIVISOR),
            refuses_until: now + BALANCER_TIME.min(until_exit),
            last_answers_at: now + until_exit.saturating_sub(ANSWER_MARGIN),
            ends_at: now + until_exit,
        }
    }

    /// Returns the latest time at which work that takes `expected` has to begin.
    #[must_use]
    pub fn must_begin_by(&self, expected: Duration) -> Time {
        let left = self.last_answers_at.since(Time::default());
        Time::default() + left.saturating_sub(expected)
    }

    /// Returns whether work that takes `expected` ends in time if it begins at `now`.
    #[must_use]
    pub fn leaves_time_for(&self, now: Time, expected: Duration) -> bool {
        now <= self.must_begin_by(expected)
    }
}
