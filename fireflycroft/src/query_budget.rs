//! Token bucket for load queries; sets the candidate count of a choice.
//!
//! Each query costs a datagram and its reply, here and at the owner. The more
//! often an entry chooses, the fewer candidates it queries each time, which
//! bounds its traffic. The best of four random candidates is already far better
//! than a single one.

use crate::time::Time;

/// Long-run rate of queries of one entry.
const QUERIES_PER_SECOND: f64 = 128.0;

/// Capacity of the bucket: the queries of one second.
const MAX_AVAILABLE: f64 = QUERIES_PER_SECOND;

/// Maximum candidates of one choice.
const MAX_CANDIDATES: usize = 64;

/// Minimum candidates of one choice, even with the budget exhausted.
const MIN_CANDIDATES: usize = 4;

/// Queries that an entry may send.
#[derive(Clone, Copy, Debug)]
pub struct QueryBudget {
    available: f64,
    at: Time,
}

impl Default for QueryBudget {
    fn default() -> Self {
        Self {
            available: MAX_AVAILABLE,
            at: Time::default(),
        }
    }
}

impl QueryBudget {
    /// Returns the candidate count for a choice at `now`.
    pub fn candidate_count(&mut self, now: Time) -> usize {
        let gained = now.since(self.at).as_secs_f64() * QUERIES_PER_SECOND;
        self.at = now;
        self.available = (self.available + gained).min(MAX_AVAILABLE);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let affordable = self.available as usize / crate::owners::OWNERS_PER_KEY;
        affordable.clamp(MIN_CANDIDATES, MAX_CANDIDATES)
    }

    /// Records `queries` as sent.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_sent(&mut self, queries: usize) {
        self.available = (self.available - queries as f64).max(0.0);
    }
}
