//! Times of the requests that this entry sent to an upstream recently.

use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Times of the requests within the longest span that is queried.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentRequests(VecDeque<Time>);

impl SentRequests {
    /// Returns the number of requests within `span`.
    pub(crate) fn count(&self, now: Time, span: Duration) -> usize {
        let newest_first = self.0.iter().rev();
        newest_first.take_while(|at| now.since(**at) < span).count()
    }

    /// Returns the time until fewer than `limit` are within `span`; none if `limit` is zero.
    pub(crate) fn until_fewer(&self, now: Time, limit: usize, span: Duration) -> Option<Duration> {
        let newer_count = limit.checked_sub(1)?;
        let oldest = self.0.iter().rev().nth(newer_count);
        Some(oldest.map_or(Duration::ZERO, |at| span.saturating_sub(now.since(*at))))
    }

    /// Records a request and removes those older than `keep`.
    pub(crate) fn record(&mut self, now: Time, keep: Duration) {
        while self.0.front().is_some_and(|at| now.since(*at) >= keep) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }
}
