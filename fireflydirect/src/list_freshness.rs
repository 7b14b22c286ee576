//! Whether this entry's list of upstreams is as new as that of an entry that the store answers.

use crate::node::Node;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest age of a watcher's last answer about upstreams: the longest wait of a watch, and the pause between two.
const OWN_LIST_MAX_AGE: Duration = Duration::from_secs(3);

impl Node {
    /// Records that the process runs; after a standstill the list counts as old until its next sign.
    pub(crate) fn record_turn(&self) {
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut list = self.list_currency.borrow_mut();
        let stood_still = list.record_turn(self.now(), time_of_day.unwrap_or_default());
        if let Some(span) = stood_still {
            log::warn!(event = "stood_still", for_ms = span.as_millis(); "");
        }
    }

    /// Returns whether the list of upstreams is as new as an entry that the store answers has it.
    #[must_use]
    pub fn is_list_fresh(&self) -> bool {
        self.record_turn();
        let max_age = if self.watches_store() {
            OWN_LIST_MAX_AGE
        } else {
            self.peers.borrow().watcher_silence()
        };
        let is_current = self.list_currency.borrow().is_current(self.now(), max_age);
        is_current && self.hears_store()
    }
}
