//! What this entry knows of the platform's store: whether it answers, and in which era.

use crate::node::Node;
use fireflycroft::{SETTLE_TIME, Time};
use std::cell::Cell;
use std::time::Duration;

/// Time within which a store that is well has answered the first call of a process.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_millis(500);

/// A copy of the store that is being read.
pub(crate) struct CopyGuard<'a>(&'a Cell<usize>);

impl Drop for CopyGuard<'_> {
    fn drop(&mut self) {
        self.0.update(|n| n - 1);
    }
}

impl Node {
    /// Whether this entry watches the store and is answered.
    #[must_use]
    pub fn watches_store(&self) -> bool {
        self.duty.borrow().is_watching() && self.store_answers.get()
    }

    /// Whether this entry's own calls of the store are about to bring what is new: it reads a copy, or
    /// watches and is answered or has just begun to ask.
    #[must_use]
    pub fn expects_store(&self) -> bool {
        if self.copies_read.get() > 0 {
            return true;
        }
        let now = self.now();
        let begins = now.since(Time::default()) < FIRST_ANSWER_WITHIN;
        let has_begun = begins && !self.store_failed.get();
        self.duty.borrow().is_watching() && (self.store_answers.get() || has_begun)
    }

    /// Notes that a copy of the store is being read, until the guard is dropped.
    pub(crate) fn begin_copy(&self) -> CopyGuard<'_> {
        self.copies_read.update(|n| n + 1);
        CopyGuard(&self.copies_read)
    }

    /// Notes that the store answered this entry.
    pub fn note_store_answer(&self) {
        self.store_answers.set(true);
        self.store_answered_at.set(Some(self.now()));
        self.note_contact(self.now(), "store");
    }

    /// Notes that the store answered this or another entry.
    pub fn note_contact(&self, at: Time, source: &str) {
        if self.pool.borrow_mut().record_store_answer(at) {
            let for_ms = SETTLE_TIME.as_millis();
            log::info!(event = "removals_doubted", source = source, for_ms = for_ms; "");
        }
    }

    /// Era of the store, as far as is known.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.get().unwrap_or_default()
    }

    /// Notes the era of the store that an answer or another entry tells.
    pub fn note_era(&self, era: u64, source: &str) {
        let was = self.era.get();
        if was.is_some_and(|was| era <= was) {
            return;
        }
        self.era.set(Some(era));
        if let Some(was) = was {
            log::warn!(event = "store_restored", era = era, was = was, source = source; "");
            self.pool.borrow_mut().record_store_restored(self.now());
        }
    }

    /// Notes that a call to the store failed or hangs.
    pub fn note_store_failure(&self) {
        self.store_answers.set(false);
        self.store_failed.set(true);
        self.pool.borrow_mut().record_store_failure();
    }

    /// Milliseconds since the first answer of the store after the last silence in which records may
    /// have lapsed; none in one.
    #[must_use]
    pub fn contact_ms(&self) -> Option<u128> {
        let pool = self.pool.borrow();
        let unbroken = pool.store_connectivity().connected_for(self.now());
        unbroken.map(|span| span.as_millis())
    }

    /// Whether what the list of upstreams known here lacks is gone, and not only missing or not yet
    /// read.
    #[must_use]
    pub fn follows_store(&self) -> bool {
        let pool = self.pool.borrow();
        let settled = pool.is_settled(self.now()) && !pool.any_missing();
        self.watches_store() && self.listed.get() && settled
    }
}
