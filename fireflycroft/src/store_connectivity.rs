//! Whether the platform's store has answered for so long that what its list lacks is gone.
//!
//! Upstreams keep their records by heartbeats. While the store is away none
//! arrive, so the records of upstreams that serve on lapse, and are written again
//! within about two seconds of the store's return. So what the list lacks right
//! after an outage may live. What it lacks later is gone, and so is what it lacks
//! when no outage was long enough for a record to lapse.
//!
//! A store that has come back from a copy lacks records that upstreams wrote since
//! the copy was made; they are written again, and missing until then, as well.
//!
//! The doubt ends for all records at one moment, counted from the store's return.
//! It may not begin anew with each record found missing: an upstream that left
//! 2.9 s after the return then got work for 2.7 s more, two being allowed.

use crate::time::Time;
use std::time::Duration;

/// Time after the store's return by which living upstreams are on the list again.
///
/// The platform states about two seconds; reading the list may take 0.3 s more. An upstream that leaves
/// counts from 3 s after the return on, and may get work for 2 s, so that doubt has to end 5 s
/// after it; the entries that rank first among the watchers find out within 0.7 s that it is back.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Time between two heartbeats of an upstream, where nothing else is told: the platform's own.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Heartbeats that the store may be silent for before a record can lapse.
///
/// Three in a row have to be missing, and the last one before the silence is up to one old, so two
/// pass at least. The silence that an entry sees is longer than the outage. A connection that hangs shows after 1.4 s, the loss of all entries that watch after 2.1 s
/// at most; neither may pass for an outage.
const TOLERATED_HEARTBEATS: u32 = 2;

/// When the store answered, as far as its records depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreConnectivity {
    heartbeat_interval: Duration,
    answered_at: Option<Time>,
    connected_since: Option<Time>,
    /// Whether it is known to have been silent before that.
    was_silent: bool,
}

impl Default for StoreConnectivity {
    fn default() -> Self {
        Self::new(DEFAULT_HEARTBEAT_INTERVAL)
    }
}

impl StoreConnectivity {
    /// A store that hasn't answered yet, whose upstreams send a heartbeat so often.
    #[must_use]
    pub const fn new(heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            answered_at: None,
            connected_since: None,
            was_silent: false,
        }
    }

    /// Notes that the store has come back from a copy, which lacks the newest records.
    ///
    /// Their upstreams write them again, as after an outage.
    pub const fn record_restored(&mut self, at: Time) {
        self.answered_at = Some(at);
        self.connected_since = Some(at);
        self.was_silent = true;
    }

    /// Notes that a call was not answered.
    pub const fn record_failure(&mut self) {
        // Once it has answered, the time to the next answer tells.
        if self.answered_at.is_none() {
            self.was_silent = true;
        }
    }

    /// Notes that the store answered somebody; true when it had been silent for so long that records
    /// may have lapsed.
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

    /// Time since the first answer after the last silence in which records may have lapsed; none in
    /// such a silence.
    #[must_use]
    pub fn connected_for(&self, now: Time) -> Option<Duration> {
        let last = self.answered_at?;
        let since = self.connected_since?;
        (!self.may_expire(last, now)).then(|| now.since(since))
    }

    /// Whether a removal read now is that of an upstream that is gone.
    ///
    /// That is believed by an entry that has just started, too: the record was there when it listed
    /// the store, and what runs on the upstream has to be saved soon.
    #[must_use]
    pub fn confirms_removals(&self, now: Time) -> bool {
        !self.was_silent || self.is_settled(now)
    }

    /// Whether what the list lacks is gone.
    #[must_use]
    pub fn is_settled(&self, now: Time) -> bool {
        let connected_for = self.connected_for(now);
        connected_for.is_some_and(|span| span >= SETTLE_TIME)
    }

    /// When that is so, if the store goes on answering.
    #[must_use]
    pub fn settles_at(&self) -> Option<Time> {
        self.connected_since.map(|since| since + SETTLE_TIME)
    }

    fn may_expire(&self, from: Time, to: Time) -> bool {
        to.since(from) >= self.heartbeat_interval * TOLERATED_HEARTBEATS
    }
}
