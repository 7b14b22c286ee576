//! Rates that upstreams in need name in their answers.
//!
//! A rate holds for all entries together, for as long as the upstream's answers
//! name it. Answers overtake each other, and an entry that stood still reads old
//! ones late, so each word counts from a moment: a rate from when it was heard,
//! its absence from when the request that was answered had been sent.
//!
//! Nobody is asked for leave: the requests of a span are divided among the
//! entries ([`FleetView`]), and each keeps to its part. The owners of the upstream
//! come first, so that a rate too low for all still has entries that hear of its
//! end.

use crate::fleet_view::FleetView;
use crate::ids::Name;
use crate::owners::OwnedKey;
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{Life, Upstream, UpstreamIx, least_recently_announced};
use std::fmt;
use std::time::Duration;

/// Requests a second that an upstream takes from all entries together, to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateLimit {
    thousandths: u32,
}

impl RateLimit {
    /// A rate of so many requests a second; none if that is negative or no number.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(per_second: f64) -> Option<Self> {
        // A rate beyond the range is as good as none and saturates.
        (per_second >= 0.0).then(|| Self::from_thousandths((per_second * 1_000.0) as u32))
    }

    /// A rate of so many thousandths of a request a second.
    #[must_use]
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self { thousandths }
    }

    /// The same, to be told.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }

    /// Requests a second.
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

/// Shortest span in which requests to a limited upstream are counted; most are a little longer, so that
/// a whole number of requests makes up the rate.
const MIN_SPAN: Duration = Duration::from_secs(4);

/// Requests of the fleet that every rate has room for, in a longer span if need be: their answers tell
/// when it has been lifted.
const MIN_REQUESTS: f64 = 2.0;

/// Longest span, for rates of next to nothing.
pub(crate) const MAX_RATE_SPAN: Duration = Duration::from_secs(20);

/// Requests of the whole fleet to one upstream.
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

    /// Requests of one entry in the span.
    fn share(&self, fleet: &FleetView, upstream: &Name) -> usize {
        fleet.part(OwnedKey::of_upstream(upstream), self.requests)
    }
}

/// The rate of an upstream, as entries tell it each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldRate {
    /// The upstream.
    pub life: Life,
    /// The rate that it names; none once it takes any again.
    pub limit: Option<RateLimit>,
    /// Time since the moment from which that counts.
    pub age: Duration,
}

/// Rates told at a time; more take turns.
const MAX_ANNOUNCED: usize = 4;

/// Time for which it is told that an upstream takes any rate again: tellings reach all entries of a
/// large fleet within a few seconds.
const LIFTED_ANNOUNCED_FOR: Duration = Duration::from_secs(10);

/// What is known of an upstream's rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRate {
    limit: Option<RateLimit>,
    /// Moment from which that counts; none until a rate is first known.
    as_of: Option<Time>,
    changed_at: Time,
    /// When it was told last, if it was since it changed.
    announced_at: Option<Time>,
}

/// A rate that an upstream names, and the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateChange {
    /// The rate before.
    pub was: Option<RateLimit>,
    /// The rate now; none once the upstream takes any again.
    pub is: Option<RateLimit>,
}

impl Pool {
    /// Takes the rate that an upstream named, or didn't name, in the answer to a request of `sent`;
    /// tells whether it is another one than before.
    pub fn record_rate_limit(
        &mut self,
        now: Time,
        ix: UpstreamIx,
        sent: Time,
        named: Option<RateLimit>,
    ) -> Option<RateChange> {
        let as_of = if named.is_some() { now } else { sent };
        self.upstreams[ix.0].rate.apply(now, as_of, named)
    }

    /// Takes a rate that another entry told; tells whether it is another one than before.
    pub fn apply_rate(
        &mut self,
        now: Time,
        announced: &ToldRate,
    ) -> Option<(UpstreamIx, RateChange)> {
        let ix = self.find(&announced.life.instance)?;
        let u = &mut self.upstreams[ix.0];
        if u.record.incarnation != announced.life.incarnation {
            return None;
        }
        let change = u.rate.apply(now, now - announced.age, announced.limit)?;
        Some((ix, change))
    }

    /// Rates to tell the others now: those in force and those lifted of late, the longest untold
    /// first.
    pub fn rates_to_announce(&mut self, now: Time) -> Vec<ToldRate> {
        let known = self.upstreams.iter_mut().filter(|u| !u.gone);
        let to_announce = known.filter(|u| u.rate.needs_announcement(now));
        let announced =
            least_recently_announced(to_announce, |u| u.rate.announced_at, MAX_ANNOUNCED);
        let announced = announced.into_iter().filter_map(|u| {
            u.rate.announced_at = Some(now);
            Some(ToldRate {
                life: u.record.life(),
                limit: u.rate.limit,
                age: now.since(u.rate.as_of?),
            })
        });
        announced.collect()
    }

    /// Whether an upstream names a rate and has had this entry's share of requests for now.
    pub(crate) fn is_rate_share_exhausted(&self, now: Time, u: &Upstream) -> bool {
        self.until_rate_share(now, u)
            .is_some_and(|wait| wait > Duration::ZERO)
    }

    /// Time until a limited upstream may get a request of this entry: zero now, and a whole span where
    /// this entry has no share.
    pub(crate) fn until_rate_share(&self, now: Time, u: &Upstream) -> Option<Duration> {
        let allowance = Allowance::of(u.rate.limit?);
        let share = allowance.share(&self.fleet, &u.record.instance);
        let wait = u.sent_requests.until_fewer(now, share, allowance.span);
        Some(wait.unwrap_or(allowance.span))
    }

    /// The rate that an upstream names.
    #[must_use]
    pub fn rate_limit(&self, ix: UpstreamIx) -> Option<RateLimit> {
        self.upstreams[ix.0].rate.limit
    }
}

impl KnownRate {
    /// Takes a word that counts from `as_of`, unless a later one is known.
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

    /// The rate that the upstream names.
    pub(crate) const fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Whether the upstream has ever named one.
    pub(crate) const fn is_known(&self) -> bool {
        self.as_of.is_some()
    }

    /// Whether other entries may not have heard of it.
    fn needs_announcement(&self, now: Time) -> bool {
        let is_lifted_recently =
            self.as_of.is_some() && now.since(self.changed_at) < LIFTED_ANNOUNCED_FOR;
        self.limit.is_some() || is_lifted_recently
    }
}
