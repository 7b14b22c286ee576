//! Rate limits in the responses of upstreams.
//!
//! A limit holds for all entries together, for as long as the upstream's responses
//! carry it. Responses overtake each other, and an entry that was suspended reads
//! old ones late, so each has an effective time: a limit counts from its receipt,
//! its absence from the sending of the answered request.
//!
//! Entries don't coordinate: the requests of a span are divided among them
//! ([`FleetView`]), and each keeps to its share. The owners of the upstream come
//! first, so that with a rate too low for all some entries still see the limit end.

use crate::fleet_view::FleetView;
use crate::ids::Name;
use crate::owners::OwnedKey;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIncarnation, UpstreamIx, least_recently_announced};
use std::fmt;
use std::time::Duration;

/// Requests a second that an upstream takes from all entries together, to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    thousandths: u32,
}

impl RateLimit {
    /// Returns the limit of `per_second` requests; none if that is negative or not a number.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(per_second: f64) -> Option<Self> {
        // A rate beyond the range saturates: it is no limit in practice.
        (per_second >= 0.0).then(|| Self::from_thousandths((per_second * 1_000.0) as u32))
    }

    /// Returns the limit of `thousandths` of a request a second.
    #[must_use]
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self { thousandths }
    }

    /// Returns the thousandths of a request a second, as announced.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// Shortest span in which requests to a rate-limited upstream are counted; most are a little longer, so
/// that a whole number of requests makes up the rate.
const MIN_SPAN: Duration = Duration::from_secs(4);

/// Minimum requests of the fleet in a span, which is longer for low rates: their responses show when the
/// limit has been lifted.
const MIN_REQUESTS: f64 = 2.0;

/// Longest span, for rates close to zero.
pub(crate) const MAX_RATE_SPAN: Duration = Duration::from_secs(20);

/// Requests of the whole fleet to one upstream in a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Allowance {
    requests: usize,
    span: Duration,
}

impl Allowance {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn of(limit: RateLimit) -> Self {
        let requests = (limit.per_second() * MIN_SPAN.as_secs_f64())
            .ceil()
            .max(MIN_REQUESTS);
        let span = (requests / limit.per_second()).min(MAX_RATE_SPAN.as_secs_f64());
        Self {
            requests: requests as usize,
            span: Duration::from_secs_f64(span),
        }
    }

    /// Returns the share of this entry in the span's requests.
    fn share(&self, fleet: &FleetView, upstream: &Name) -> usize {
        fleet.share_of(OwnedKey::of_upstream(upstream), self.requests)
    }
}

/// Rate limit of an upstream, as entries announce it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldRate {
    /// Incarnation of the upstream.
    pub upstream: UpstreamIncarnation,
    /// The limit; none once it is lifted.
    pub limit: Option<RateLimit>,
    /// Time since the effective time.
    pub age: Duration,
}

/// Rates in one announcement; more take turns.
const MAX_ANNOUNCED: usize = 4;

/// Time for which a lifted limit is announced: announcements reach all entries of a large fleet within
/// a few seconds.
const LIFTED_ANNOUNCED_FOR: Duration = Duration::from_secs(10);

/// Last known rate limit of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRate {
    limit: Option<RateLimit>,
    /// Effective time; none until a limit is first known.
    as_of: Option<Time>,
    changed_at: Time,
    /// Time of the last announcement since the last change.
    announced_at: Option<Time>,
}

/// Change of an upstream's rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateChange {
    /// Previous limit.
    pub was: Option<RateLimit>,
    /// Present limit; none once it is lifted.
    pub is: Option<RateLimit>,
}

impl Pool {
    /// Records the rate limit, or its absence, in the response to a request sent at `sent`; returns
    /// the change, if any.
    pub fn record_rate_limit(
        &mut self,
        now: Time,
        ix: UpstreamIx,
        sent: Time,
        stated: Option<RateLimit>,
    ) -> Option<RateChange> {
        let as_of = if stated.is_some() { now } else { sent };
        self.upstreams[ix.0].rate.apply(now, as_of, stated)
    }

    /// Applies a rate limit that another entry announced; returns the change, if any.
    pub fn apply_rate(
        &mut self,
        now: Time,
        announced: &ToldRate,
    ) -> Option<(UpstreamIx, RateChange)> {
        let ix = self.find(&announced.upstream.instance)?;
        let u = &mut self.upstreams[ix.0];
        if u.record.incarnation != announced.upstream.incarnation {
            return None;
        }
        let change = u.rate.apply(now, now - announced.age, announced.limit)?;
        Some((ix, change))
    }

    /// Returns the rate limits to announce now: those active or lifted recently, the least recently
    /// announced first.
    pub fn rates_to_announce(&mut self, now: Time) -> Vec<ToldRate> {
        let known = self.upstreams.iter_mut().filter(|u| !u.removed);
        let to_announce = known.filter(|u| u.rate.needs_announcement(now));
        let announced =
            least_recently_announced(to_announce, |u| u.rate.announced_at, MAX_ANNOUNCED);
        let announced = announced.into_iter().filter_map(|u| {
            u.rate.announced_at = Some(now);
            Some(ToldRate {
                upstream: u.record.upstream_incarnation(),
                limit: u.rate.limit,
                age: now.since(u.rate.as_of?),
            })
        });
        announced.collect()
    }

    /// Returns whether an upstream is rate-limited and this entry's share of requests is exhausted.
    pub(crate) fn is_rate_share_exhausted(&self, now: Time, u: &Upstream) -> bool {
        self.until_rate_share(now, u)
            .is_some_and(|wait| wait > Duration::ZERO)
    }

    /// Returns the time until a rate-limited upstream may get a request of this entry: zero if now, a
    /// whole span if this entry has no share, none if there is no limit.
    pub(crate) fn until_rate_share(&self, now: Time, u: &Upstream) -> Option<Duration> {
        let allowance = Allowance::of(u.rate.limit?);
        let share = allowance.share(&self.fleet, &u.record.instance);
        let wait = u.sent_requests.until_fewer(now, share, allowance.span);
        Some(wait.unwrap_or(allowance.span))
    }

    /// Returns the rate limit of an upstream.
    #[must_use]
    pub fn rate_limit(&self, ix: UpstreamIx) -> Option<RateLimit> {
        self.upstreams[ix.0].rate.limit
    }
}

impl KnownRate {
    /// Applies a limit or its absence as of `as_of`, unless a later one is known.
    fn apply(&mut self, now: Time, as_of: Time, limit: Option<RateLimit>) -> Option<RateChange> {
        let stays_unlimited = self.limit.is_none() && limit.is_none();
        if stays_unlimited || self.as_of.is_some_and(|known| as_of <= known) {
            return None;
        }
        self.as_of = Some(as_of);
        let was = std::mem::replace(&mut self.limit, limit);
        if was == limit {
            return None;
        }
        self.changed_at = now;
        self.announced_at = None;
        Some(RateChange { was, is: limit })
    }

    /// Returns the limit.
    pub(crate) const fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns whether there has ever been a limit.
    pub(crate) const fn is_known(&self) -> bool {
        self.as_of.is_some()
    }

    /// Returns whether other entries may not have received it yet.
    fn needs_announcement(&self, now: Time) -> bool {
        let is_lifted_recently =
            self.as_of.is_some() && now.since(self.changed_at) < LIFTED_ANNOUNCED_FOR;
        self.limit.is_some() || is_lifted_recently
    }
}
