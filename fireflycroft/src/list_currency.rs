//! Whether an entry's list of upstreams is as current as the store's.
//!
//! That the store answers somebody doesn't show that this entry has its list: after a cut the list is
//! fetched later than the first announcement arrives, a new watcher is answered before it has listed, and
//! what waited in the sockets of a process that stood still is read as if it had just come. So the list counts as
//! current from a sign of itself alone: an answer to a call sent after the last doubt, or an announcement of the same list.

use crate::time::Time;
use std::time::Duration;

/// Time for which a process stands still without doubt: a VM whose processor share is used up waits for a tenth of a
/// second, several times in a row under load.
const MAX_STANDSTILL: Duration = Duration::from_millis(500);

/// Time after a standstill in which signs may have waited for the process.
const DRAIN_TIME: Duration = Duration::from_millis(100);

/// Signs and doubts that the list is current.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListCurrency {
    /// Time as of which the list was last current.
    confirmed_at: Option<Time>,
    /// Time before which signs count for nothing.
    doubted_until: Time,
    /// Last turn of the process, by its clock and by the time of day.
    last_turn: Option<(Time, Duration)>,
}

impl ListCurrency {
    /// Records that the list was current as of a time.
    pub fn confirm(&mut self, as_of: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records that the list may have changed without this entry's knowledge.
    pub fn doubt(&mut self, now: Time) {
        self.doubted_until = self.doubted_until.max(now);
    }

    /// Records that the process runs, by its clock and by the time of day, which goes on while a VM is suspended;
    /// returns for how long it stood still, if that casts doubt.
    pub fn record_turn(&mut self, now: Time, time_of_day: Duration) -> Option<Duration> {
        let (last, last_of_day) = self.last_turn.replace((now, time_of_day))?;
        let elapsed = now.since(last);
        let stood_still = elapsed.max(time_of_day.saturating_sub(last_of_day));
        if stood_still < MAX_STANDSTILL {
            return None;
        }
        self.doubt(now + DRAIN_TIME);
        Some(stood_still)
    }

    /// Returns whether the list was current at most `max_age` ago, and nothing has cast doubt since.
    #[must_use]
    pub fn is_current(&self, now: Time, max_age: Duration) -> bool {
        self.confirmed_at
            .is_some_and(|at| at >= self.doubted_until && now.since(at) < max_age)
    }
}
