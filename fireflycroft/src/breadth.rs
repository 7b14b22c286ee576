//! How many upstreams a choice asks about.
//!
//! Each question costs a datagram and its reply, here and at the owner. An entry
//! that chooses now and then asks about many upstreams; one that chooses often
//! asks about fewer each time, so that what it sends stays bounded. The best of
//! four drawn ones is already far better than any one of them.

use crate::time::Time;

/// Questions that an entry sends a second in the long run.
const PER_SECOND: f64 = 128.0;

/// Questions that may have been saved up: those of a second.
const MOST_SAVED: f64 = PER_SECOND;

/// Most upstreams that one choice asks about.
const MOST: usize = 64;

/// Least of them, however many choices there are.
const LEAST: usize = 4;

/// Questions that an entry may send.
#[derive(Clone, Copy, Debug)]
pub struct QueryBreadth {
    saved: f64,
    at: Time,
}

impl Default for QueryBreadth {
    fn default() -> Self {
        Self {
            saved: MOST_SAVED,
            at: Time::default(),
        }
    }
}

impl QueryBreadth {
    /// Upstreams that a choice asks about now.
    pub fn upstreams(&mut self, now: Time) -> usize {
        let gained = now.since(self.at).as_secs_f64() * PER_SECOND;
        self.at = now;
        self.saved = (self.saved + gained).min(MOST_SAVED);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let affordable = self.saved as usize / crate::owners::OWNERS_PER_KEY;
        affordable.clamp(LEAST, MOST)
    }

    /// Notes so many questions as sent.
    #[allow(clippy::cast_precision_loss)]
    pub fn note_sent(&mut self, questions: usize) {
        self.saved = (self.saved - questions as f64).max(0.0);
    }
}
