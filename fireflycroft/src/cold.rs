//! How many requests this entry may send to a cold upstream.
//!
//! An upstream is cold for some time after it starts, and may become so again;
//! more requests than it bears then crash it. The bound holds for the requests of
//! all entries in any second, also of those that can't reach each other, so no
//! entry is asked for leave: each keeps to a share that follows from the number
//! of entries and from its own name. Where the bound has less than one request
//! for each entry, a hash of entry and upstream draws those that may send one.
//! The drawn number varies, so the shares add up to less than the bound by four
//! standard deviations.

use crate::ids::{Digest, Name};
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIx};
use std::time::Duration;

/// Span in which requests to a cold upstream are counted.
pub(crate) const COLD_SPAN: Duration = Duration::from_secs(1);

/// Standard deviations by which the shares of all entries stay below the bound.
const DEVIATIONS: f64 = 4.0;

/// Bound on the requests to a cold upstream in any second: a multiple of the rate that it bears, and
/// some more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Multiple of the rate that the service's upstreams bear.
    pub overshoot: f64,
    /// Requests on top.
    pub slack: f64,
}

/// What an entry knows of its share in the bounds of cold upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdShare {
    entry: Name,
    limits: Option<ColdLimits>,
}

impl ColdShare {
    /// Requests in any second to one cold upstream that bears so many.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    fn max_requests(&self, entries: usize, upstream: &Name, per_second: f64) -> usize {
        let Some(limits) = self.limits else {
            return usize::MAX;
        };
        let bound = per_second * limits.overshoot + limits.slack;
        let share = mean_for_bound(bound) / entries.max(1) as f64;
        let whole = share.floor();
        let drawn = self.draw(upstream) < share - whole;
        whole as usize + usize::from(drawn)
    }

    /// A number from 0 to 1 for an upstream, another one at each entry.
    #[allow(clippy::cast_precision_loss)]
    fn draw(&self, upstream: &Name) -> f64 {
        let digest = Digest::of(&[b"cold", self.entry.as_bytes(), upstream.as_bytes()]);
        (digest.0 >> 64) as f64 / u64::MAX as f64
    }
}

/// The mean of a number of drawn entries that stays below `bound` by [`DEVIATIONS`].
fn mean_for_bound(bound: f64) -> f64 {
    let root = ((DEVIATIONS * DEVIATIONS + 4.0 * bound).sqrt() - DEVIATIONS) / 2.0;
    root * root
}

impl Pool {
    /// Keeps to these limits of cold upstreams as the entry of that name.
    pub fn set_cold_limits(&mut self, entry: &Name, limits: ColdLimits) {
        self.cold = ColdShare {
            entry: entry.clone(),
            limits: Some(limits),
        };
    }

    /// Sets the requests a second that a cold upstream of a service bears; none where it bears any.
    pub fn set_cold_rate(&mut self, service: &Name, per_second: Option<f64>) {
        match per_second {
            Some(rate) => self.cold_rate_of.insert(service.clone(), rate),
            None => self.cold_rate_of.remove(service),
        };
    }

    /// How much longer an upstream is cold.
    #[must_use]
    pub fn cold_for(&self, now: Time, ix: UpstreamIx) -> Duration {
        self.upstreams[ix.0].cold_until.since(now)
    }

    /// Whether an upstream is cold and has this entry's share of requests for now.
    pub(crate) fn is_cold_share_exhausted(&self, now: Time, u: &Upstream) -> bool {
        if u.cold_until <= now {
            return false;
        }
        let rate = self.cold_rate_of.get(&u.record.service);
        rate.is_some_and(|rate| {
            let max_requests =
                self.cold
                    .max_requests(self.fleet.entries(), &u.record.instance, *rate);
            u.sent_requests.count(now, COLD_SPAN) >= max_requests
        })
    }
}
