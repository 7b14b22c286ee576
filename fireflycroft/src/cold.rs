//! Limit on the requests of this entry to a cold upstream.
//!
//! An upstream is cold for some time after it starts, and may become so again;
//! too many requests then crash it. The bound holds for the requests of all
//! entries in any second, even across network partitions, so entries can't
//! coordinate: each derives its share from the number of entries and its own
//! name. Where the bound is less than one request per entry, a hash of entry and
//! upstream selects those that may send one. The number selected varies, so the
//! mean sum of the shares stays four standard deviations below the bound.

use crate::ids::{Digest, Name};
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIx};
use std::time::Duration;

/// Span in which requests to a cold upstream are counted.
pub(crate) const COLD_SPAN: Duration = Duration::from_secs(1);

/// Standard deviations by which the shares of all entries stay below the bound.
const DEVIATIONS: f64 = 4.0;

/// Bound on the requests to a cold upstream in any second: `overshoot` times its cold rate, plus
/// `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Multiple of the cold rate of the service's upstreams.
    pub overshoot: f64,
    /// Requests added to that.
    pub slack: f64,
}

/// Share of this entry in the bounds of cold upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct ColdShare {
    entry: Name,
    limits: Option<ColdLimits>,
}

impl ColdShare {
    /// Returns the maximum requests in any second to a cold upstream that can take `per_second`.
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

    /// Returns a number from 0 to 1 that depends on the entry and the upstream.
    #[allow(clippy::cast_precision_loss)]
    fn draw(&self, upstream: &Name) -> f64 {
        let digest = Digest::of(&[b"cold", self.entry.as_bytes(), upstream.as_bytes()]);
        (digest.0 >> 64) as f64 / u64::MAX as f64
    }
}

/// Returns the mean of a random count that stays [`DEVIATIONS`] below `bound`.
fn mean_for_bound(bound: f64) -> f64 {
    let root = ((DEVIATIONS * DEVIATIONS + 4.0 * bound).sqrt() - DEVIATIONS) / 2.0;
    root * root
}

impl Pool {
    /// Sets the limits for cold upstreams and the name of this entry.
    pub fn set_cold_limits(&mut self, entry: &Name, limits: ColdLimits) {
        self.cold = ColdShare {
            entry: entry.clone(),
            limits: Some(limits),
        };
    }

    /// Sets the requests a second that a cold upstream of a service can take; none for no limit.
    pub fn set_cold_rate(&mut self, service: &Name, per_second: Option<f64>) {
        match per_second {
            Some(rate) => self.cold_rate_of.insert(service.clone(), rate),
            None => self.cold_rate_of.remove(service),
        };
    }

    /// Returns the remaining cold time of an upstream.
    #[must_use]
    pub fn cold_for(&self, now: Time, ix: UpstreamIx) -> Duration {
        self.upstreams[ix.0].cold_until.since(now)
    }

    /// Returns whether an upstream is cold and this entry's share of requests is exhausted.
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
