//! When this entry sent requests to an upstream of late.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Moments of the requests sent within the longest span that is asked for.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentRequests(VecDeque<Time>);

impl SentRequests {
    /// Requests within `span`.
    pub(crate) fn count(&self, now: Time, span: Duration) -> usize {
        let newest_first = self.0.iter().rev();
        newest_first.take_while(|at| now.since(**at) < span).count()
    }

    /// Time until there are fewer than `most` within `span`; none if that never comes.
    pub(crate) fn until_fewer(&self, now: Time, limit: usize, span: Duration) -> Option<Duration> {
        let newer_count = limit.checked_sub(1)?;
        let oldest = self.0.iter().rev().nth(newer_count);
        Some(oldest.map_or(Duration::ZERO, |at| span.saturating_sub(now.since(*at))))
    }

    /// Notes a request, and forgets those before `keep`.
    pub(crate) fn record(&mut self, now: Time, keep: Duration) {
        while self.0.front().is_some_and(|at| now.since(*at) >= keep) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}
