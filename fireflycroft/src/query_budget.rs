//! How many upstreams a choice asks about.
//!
//! Each question costs a datagram and its reply, here and at the owner. An entry
//! that chooses now and then asks about many upstreams; one that chooses often
//! asks about fewer each time, so that what it sends stays bounded. The best of
//! four drawn ones is already far better than any one of them.

use crate::time::Time;

/// Questions that an entry sends a second in the long run.
const QUERIES_PER_SECOND: f64 = 128.0;

/// Questions that may have been saved up: those of a second.
const MAX_AVAILABLE: f64 = QUERIES_PER_SECOND;

/// Most upstreams that one choice asks about.
const MAX_CANDIDATES: usize = 64;

/// Least of them, however many choices there are.
const MIN_CANDIDATES: usize = 4;

/// Questions that an entry may send.
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
    /// Upstreams that a choice asks about now.
    pub fn candidate_count(&mut self, now: Time) -> usize {
        let gained = now.since(self.at).as_secs_f64() * QUERIES_PER_SECOND;
        self.at = now;
        self.available = (self.available + gained).min(MAX_AVAILABLE);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let affordable = self.available as usize / crate::owners::OWNERS;
        affordable.clamp(MIN_CANDIDATES, MAX_CANDIDATES)
    }

    /// Notes so many questions as sent.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_sent(&mut self, queries: usize) {
        self.available = (self.available - queries as f64).max(0.0);
    }
}
