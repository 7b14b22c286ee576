//! Arrival times of a stream's events, for log and metrics.

use fireflycroft::Time;
use std::time::Duration;

/// Arrival times of events.
#[derive(Clone, Copy, Default)]
pub(crate) struct EventTimes {
    pub(crate) first: Option<Time>,
    pub(crate) last: Time,
    pub(crate) longest: Duration,
    /// Start of the longest gap.
    pub(crate) longest_since: Time,
}

impl EventTimes {
    pub(crate) fn record(&mut self, now: Time) {
        if self.first.is_none() {
            self.first = Some(now);
        } else if now.since(self.last) > self.longest {
            self.longest = now.since(self.last);
            self.longest_since = self.last;
        }
        self.last = now;
    }
}
