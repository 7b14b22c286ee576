//! Connectivity to the platform's store, and the store's era.

use crate::node::Node;
use fireflycroft::{DutyReason, SETTLE_TIME, Time, WatcherRole, WatcherView};
use std::cell::Cell;
use std::time::Duration;

/// Time within which a healthy store answers the first call of a process.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Guard of one replica read in progress.
pub(crate) struct ReplicaReadGuard<'a>(&'a Cell<usize>);

impl Drop for ReplicaReadGuard<'_> {
    fn drop(&mut self) {
        self.0.update(|n| n - 1);
    }
}

impl Node {
    /// Returns whether this entry watches the store and its last call succeeded.
    #[must_use]
    pub fn watches_store(&self) -> bool {
        self.watcher_role.borrow().is_watching() && self.store_responding.get()
    }

    /// Returns whether this entry's own calls to the store are about to bring new data: it reads
    /// a replica, or watches the store and is answered or has just started.
    #[must_use]
    pub fn awaits_store_data(&self) -> bool {
        if self.replica_reads.get() > 0 {
            return true;
        }
        let now = self.now();
        let begins = now.since(Time::default()) < FIRST_RESPONSE_TIMEOUT;
        let has_begun = begins && !self.any_store_failure.get();
        self.watcher_role.borrow().is_watching() && (self.store_responding.get() || has_begun)
    }

    /// Counts a replica read in progress until the guard is dropped.
    pub(crate) fn begin_replica_read(&self) -> ReplicaReadGuard<'_> {
        self.replica_reads.update(|n| n + 1);
        ReplicaReadGuard(&self.replica_reads)
    }

    /// Records a response of the store to this entry.
    ///
    /// A regained or new watcher announces itself to all others at once, which ends their trials.
    pub fn record_store_response(&self) {
        let was_silent = !self.store_responding.replace(true);
        self.last_store_response.set(Some(self.now()));
        self.record_store_contact(self.now(), "store");
        self.update_watcher_role(WatcherRole::record_answer);
        if was_silent {
            self.store_state_changed.notify_waiters();
            self.announce_to_all_now();
        }
    }

    /// Records that the store answered this or another entry at a given time.
    pub fn record_store_contact(&self, at: Time, source: &str) {
        if self.pool.borrow_mut().record_store_answer(at) {
            let for_ms = SETTLE_TIME.as_millis();
            log::info!(event = "removals_doubted", source = source, for_ms = for_ms; "");
        }
    }

    /// Returns the era of the store; zero while unknown.
    #[must_use]
    pub fn store_era(&self) -> u64 {
        self.store_era.get().unwrap_or_default()
    }

    /// Records the store's era as received from the store or another entry, unless it isn't
    /// newer.
    pub fn record_store_era(&self, era: u64, source: &str) {
        let was = self.store_era.get();
        if was.is_some_and(|was| era <= was) {
            return;
        }
        self.store_era.set(Some(era));
        if let Some(was) = was {
            log::warn!(event = "store_restored", era = era, was = was, source = source; "");
            self.pool.borrow_mut().record_store_restored(self.now());
        }
    }

    /// Records a call to the store that failed or makes no progress.
    pub fn record_store_failure(&self) {
        self.any_store_failure.set(true);
        self.pool.borrow_mut().record_store_failure();
    }

    /// Records that the store doesn't answer this entry.
    pub fn record_store_silent(&self) {
        if self.store_responding.replace(false) {
            self.store_state_changed.notify_waiters();
        }
        let now = self.now();
        self.update_watcher_role(|role| role.record_failure(now));
        if self.last_store_response.get().is_none() {
            // The others have to see this entry as a watcher, to leave the calls to it.
            let pool = self.pool.borrow();
            let answered_at = pool.store_connectivity().answered_at();
            self.last_store_response.set(answered_at);
        }
    }

    /// Updates this entry's role as a watcher; logs a change of its duty with the reason, and wakes
    /// the tasks that follow the store.
    pub(crate) fn update_watcher_role(
        &self,
        update: impl FnOnce(&mut WatcherRole) -> Option<DutyReason>,
    ) {
        let mut role = self.watcher_role.borrow_mut();
        let was = (role.is_watching(), role.is_on_trial(), role.is_primary());
        let reason = update(&mut role);
        let watching = role.is_watching();
        let has_changed = was != (watching, role.is_on_trial(), role.is_primary());
        drop(role);
        if let Some(reason) = reason {
            let views = self.peers.borrow().watcher_views(self.now());
            let count = |is: fn(&WatcherView) -> bool| views.iter().filter(|v| is(v)).count();
            log::info!(
                event = "watch_duty", watching = watching, peers = views.len(),
                reason = reason.label(), answered = count(|v| v.watches),
                unanswered = count(|v| v.is_unanswered);
                ""
            );
            // The others count watchers before they begin to watch themselves.
            self.announce_to_all_now();
        }
        if has_changed {
            self.watcher_role_changed.notify_waiters();
        }
    }

    /// Returns the milliseconds of unbroken connectivity since the first response after the last
    /// outage in which records may have expired; `None` during an outage.
    #[must_use]
    pub fn contact_ms(&self) -> Option<u128> {
        let pool = self.pool.borrow();
        let unbroken = pool.store_connectivity().connected_for(self.now());
        unbroken.map(|span| span.as_millis())
    }

    /// Returns whether an upstream absent from the known list is confirmed to be gone, rather than
    /// being missing or not yet read.
    #[must_use]
    pub fn has_settled_list(&self) -> bool {
        let pool = self.pool.borrow();
        let settled = pool.is_settled(self.now()) && !pool.any_missing();
        self.watches_store() && self.upstreams_listed.get() && settled
    }
}
