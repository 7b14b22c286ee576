//! Tracks store outages, to decide whether an upstream missing from the list is gone.
//!
//! Upstreams keep their records alive by heartbeats. During a store outage none arrive, so records
//! of healthy upstreams expire; they are written again within about two seconds of the store's
//! return. An upstream missing right after an outage may therefore be alive. One missing later is
//! gone, and so is one missing when no outage was long enough for a record to expire.
//!
//! A store restored from a backup lacks the records written since it was made; these are
//! written again as well and are missing until then.
//!
//! The grace period ends for all records at one time, counted from the store's return. It must not
//! restart with each missing record: an upstream that left 2.9 s after the return then received
//! work for another 2.7 s, where two are allowed.

use crate::time::Time;
use std::time::Duration;

/// Time after the store's return by which live upstreams are listed again.
///
/// The platform states about two seconds, and reading the list may take 0.3 s more. A departure
/// counts from 3 s after the return and may receive work for 2 s, so the grace period must end 5 s
/// after the return; the top-ranked watchers notice the return within 0.7 s.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// The platform's interval between heartbeats of an upstream, used unless another one is given.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Heartbeats for which the store may be silent before a record can expire.
///
/// Three in a row have to be missing, and the last one before the outage is up to one interval old,
/// so at least two intervals pass. The silence that an entry observes is longer than the outage. A
/// hung connection shows after 1.4 s, the loss of all watching entries after at most 2.1 s; neither
/// may be mistaken for an outage.
const TOLERATED_HEARTBEATS: u32 = 2;

/// Availability of the store over time, as far as the expiry of records depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreConnectivity {
    heartbeat_interval: Duration,
    answered_at: Option<Time>,
    connected_since: Option<Time>,
    /// Whether the store is known to have been silent before `connected_since`.
    was_silent: bool,
}

impl Default for StoreConnectivity {
    fn default() -> Self {
        Self::new(DEFAULT_HEARTBEAT_INTERVAL)
    }
}

impl StoreConnectivity {
    /// Creates the state for a store that has not answered yet, with the heartbeat interval of its
    /// upstreams.
    #[must_use]
    pub const fn new(heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            answered_at: None,
            connected_since: None,
            was_silent: false,
        }
    }

    /// Records that the store was restored from a backup, which lacks the newest records.
    ///
    /// Their upstreams write them again, as after an outage.
    pub const fn record_restored(&mut self, at: Time) {
        self.answered_at = Some(at);
        self.connected_since = Some(at);
        self.was_silent = true;
    }

    /// Records an unanswered call.
    pub const fn record_failure(&mut self) {
        // After the first answer, the interval between answers decides.
        if self.answered_at.is_none() {
            self.was_silent = true;
        }
    }

    /// Records an answer of the store to any entry; returns true if the preceding silence was long
    /// enough for records to expire.
    pub fn record_answer(&mut self, at: Time) -> bool {
        let last = self.answered_at.replace(at);
        let Some(last) = last else {
            self.connected_since = Some(at);
            return self.was_silent;
        };
        self.answered_at = Some(last.max(at));
        let was_interrupted = self.may_expire(last, at);
        if was_interrupted {
            self.connected_since = Some(at);
            self.was_silent = true;
        }
        was_interrupted
    }

    /// Returns the time of the newest answer to any entry.
    #[must_use]
    pub const fn answered_at(&self) -> Option<Time> {
        self.answered_at
    }

    /// Returns the time since the first answer after the last such silence, or `None` during one.
    #[must_use]
    pub fn connected_for(&self, now: Time) -> Option<Duration> {
        let last = self.answered_at?;
        let since = self.connected_since?;
        (!self.may_expire(last, now)).then(|| now.since(since))
    }

    /// Returns whether a removal read now confirms that the upstream is gone.
    ///
    /// This holds for an entry that has just started too: the record existed when it listed the
    /// store, and runs on the upstream need failover soon.
    #[must_use]
    pub fn confirms_removals(&self, now: Time) -> bool {
        !self.was_silent || self.is_settled(now)
    }

    /// Returns whether upstreams missing from the list are gone.
    #[must_use]
    pub fn is_settled(&self, now: Time) -> bool {
        let connected_for = self.connected_for(now);
        connected_for.is_some_and(|span| span >= SETTLE_TIME)
    }

    /// Returns when the grace period ends if the store keeps answering.
    #[must_use]
    pub fn settles_at(&self) -> Option<Time> {
        self.connected_since.map(|since| since + SETTLE_TIME)
    }

    fn may_expire(&self, from: Time, to: Time) -> bool {
        to.since(from) >= self.heartbeat_interval * TOLERATED_HEARTBEATS
    }
}
