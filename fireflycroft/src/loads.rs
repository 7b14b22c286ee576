//! Load of upstreams, as entries announce it to each other.
//!
//! Each entry announces its work on an upstream to the owners
//! ([`crate::owners_of`]), at once and again twice a second. Before it places a
//! generation it queries the owners of some upstreams and chooses by their replies.

use crate::ids::Name;
use crate::owner_messages::OwnedLoad;
use crate::placed::{LoadView, Need, Placed, PlacedAt};
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{
    ANNOUNCEMENT_LIFETIME, FRESH_REPLY_AGE, MAX_REPLY_AGE, Upstream, UpstreamIncarnation,
    UpstreamIx, draw_index, share,
};
use std::time::Duration;

/// Time for which an upstream is avoided if its owner reports that it doesn't serve; the
/// announcement of a departure follows.
const AVOID_LEAVING: Duration = Duration::from_secs(1);

/// Time for which an unreachable upstream counts as gone; then it is tried again.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1_500);

/// Entries that must find an upstream unreachable before this is reported: a single one may be
/// partitioned from it.
const MIN_WITNESSES: usize = 2;

/// Minimum fresh replies for a choice among these alone.
pub(crate) const MIN_REPLIES: usize = 3;

impl Pool {
    /// Applies the placed work that another entry announced.
    ///
    /// With `changes_only`, its earlier announcements for other upstreams remain valid. Work on
    /// another incarnation of an upstream is ignored.
    pub fn apply_placed(
        &mut self,
        now: Time,
        entry: &Name,
        placed: &[PlacedAt],
        changes_only: bool,
    ) {
        if !changes_only {
            for i in self.announced_by.remove(entry).unwrap_or_default() {
                self.upstreams[i].announced_work.remove(entry);
            }
        }
        for at in placed {
            let known = self.find(&at.instance);
            let same_incarnation = |ix: &UpstreamIx| self.record(*ix).incarnation == at.incarnation;
            if let Some(ix) = known.filter(same_incarnation) {
                let u = &mut self.upstreams[ix.0];
                u.announced_work
                    .retain(|_, (time, _)| now.since(*time) < ANNOUNCEMENT_LIFETIME);
                u.announced_work.insert(entry.clone(), (now, at.placed));
                u.pace.apply_other(entry, at.pace);
                u.record_reading(now);
                self.announced_by
                    .entry(entry.clone())
                    .or_default()
                    .insert(ix.0);
            }
        }
    }

    /// Returns this entry's work on some upstreams, to announce to their owners.
    #[must_use]
    pub fn placed_at(&self, some: impl IntoIterator<Item = UpstreamIx>) -> Vec<PlacedAt> {
        let at = |ix: UpstreamIx| &self.upstreams[ix.0];
        let current = some.into_iter().map(at).filter(|u| !u.ended);
        current.map(Upstream::placed_at).collect()
    }

    /// Returns all work of this entry, to announce to the owners.
    #[must_use]
    pub fn placed(&self) -> Vec<PlacedAt> {
        let non_idle = self
            .upstreams
            .iter()
            .filter(|u| !u.ended && u.own_work != Placed::default());
        non_idle.map(Upstream::placed_at).collect()
    }

    /// Returns the known load of an upstream and its age.
    #[must_use]
    pub fn view(&self, now: Time, ix: UpstreamIx) -> LoadView {
        let u = &self.upstreams[ix.0];
        let ages = u.announced_work.values().map(|(at, _)| now.since(*at));
        let announced = ages.filter(|a| *a < ANNOUNCEMENT_LIFETIME).max();
        let replied = u.reply(now).map(|r| now.since(r.at));
        let placed = u.load(now);
        let (speed, risk) = self.speed_and_risk(ix);
        LoadView {
            placed,
            memory: share(placed.memory(), u.memory_tokens.unwrap_or(0)),
            failing: u.failing,
            age: replied.or(announced).unwrap_or_default(),
            speed,
            risk,
        }
    }

    /// Returns the upstreams whose owners a choice queries: at most `max_queries` serving ones, half of
    /// them the cheapest known and half random, which may have become cheaper; and up to as many departing
    /// ones, whose runs will need capacity on the others.
    #[must_use]
    pub fn upstreams_to_query(
        &self,
        now: Time,
        service: &str,
        need: &Need,
        tried: &[UpstreamIx],
        max_queries: usize,
    ) -> Vec<UpstreamIx> {
        let candidates: Vec<usize> = self.untried(now, service, need, tried).collect();
        let mut queried: Vec<usize> = if candidates.len() <= max_queries {
            candidates
        } else {
            let random = (0..max_queries / 2)
                .map(|k| candidates[draw_index(need.draw, k, candidates.len())]);
            let random: Vec<usize> = random.collect();
            let best = self.cheapest(now, need, &candidates, max_queries - max_queries / 2);
            random.into_iter().chain(best).collect()
        };
        queried.extend(self.leaving(now, service).take(max_queries));
        queried.sort_unstable();
        queried.dedup();
        queried.into_iter().map(UpstreamIx).collect()
    }

    /// Returns the departing upstreams of a service that may still have runs.
    fn leaving(&self, now: Time, service: &str) -> impl Iterator<Item = usize> {
        let of_service = self.of_service(service).iter().copied();
        of_service.filter(move |i| {
            let u = &self.upstreams[*i];
            !u.is_serving() && u.left_at.is_some() && !u.has_departed(now)
        })
    }

    /// Returns the loads that another entry queries, without its own work.
    #[must_use]
    pub fn loads_for(
        &self,
        now: Time,
        entry: &Name,
        incarnations: &[UpstreamIncarnation],
    ) -> Vec<OwnedLoad> {
        let known = incarnations.iter().filter_map(|upstream| {
            let u = &self.upstreams[self.find(&upstream.instance)?.0];
            (u.record.incarnation == upstream.incarnation).then(|| OwnedLoad {
                upstream: upstream.clone(),
                serves: u.is_serving() && u.witnesses(now) < MIN_WITNESSES,
                placed: u.own_work.plus(u.announced(now, Some(entry))),
                pace: u.pace.except(entry),
            })
        });
        known.collect()
    }

    /// Records that an entry couldn't reach an upstream.
    ///
    /// Upstreams that leave during a store outage stay on the list and look empty. Without reports
    /// each entry would have to find out itself, and refuse callers after three of them in a row.
    pub fn record_unreachable(&mut self, now: Time, entry: &Name, upstream: &UpstreamIncarnation) {
        let Some(ix) = self.find(&upstream.instance) else {
            return;
        };
        let u = &mut self.upstreams[ix.0];
        if u.record.incarnation == upstream.incarnation {
            u.unreachable
                .retain(|_, at| now.since(*at) < UNREACHABLE_FOR);
            u.unreachable.insert(entry.clone(), now);
        }
    }

    /// Applies the loads in an owner's reply.
    ///
    /// Of two owners the one with the higher load is right: the other has become an owner only now,
    /// or a report to it was lost.
    pub fn apply_reply(&mut self, now: Time, owner: &Name, loads: &[OwnedLoad]) {
        for load in loads {
            let Some(ix) = self.find(&load.upstream.instance) else {
                continue;
            };
            let u = &mut self.upstreams[ix.0];
            if u.record.incarnation != load.upstream.incarnation {
                continue;
            }
            u.apply_reply(now, load.placed);
            u.pace.apply_other(owner, load.pace);
            u.record_reading(now);
            if !load.serves {
                u.avoid_until = u.avoid_until.max(now + AVOID_LEAVING);
            }
        }
    }
}

/// Load in the last reply of an upstream's owners.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerReply {
    pub(crate) at: Time,
    pub(crate) placed: Placed,
}

impl Upstream {
    /// Returns the last reply of its owners, unless it is too old.
    pub(crate) fn reply(&self, now: Time) -> Option<OwnerReply> {
        self.replied.filter(|r| now.since(r.at) < MAX_REPLY_AGE)
    }

    /// Counts the entries that couldn't reach it recently.
    fn witnesses(&self, now: Time) -> usize {
        let announced = self.unreachable.values();
        announced
            .filter(|at| now.since(**at) < UNREACHABLE_FOR)
            .count()
    }

    /// Returns whether its owners' last reply is fresh.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.replied
            .is_some_and(|r| now.since(r.at) < FRESH_REPLY_AGE)
    }

    fn apply_reply(&mut self, now: Time, placed: Placed) {
        let placed = match self.replied.filter(|_| self.is_fresh(now)) {
            Some(other) => other.placed.larger_of_each(placed),
            None => placed,
        };
        self.replied = Some(OwnerReply { at: now, placed });
    }

    /// Records whether it reads prompts, as just told.
    fn record_reading(&mut self, now: Time) {
        let is_reading = self.load(now).unread > 0;
        self.reading.record(now, is_reading);
    }

    /// Returns the work that others have announced, except one of them.
    pub(crate) fn announced(&self, now: Time, except: Option<&Name>) -> Placed {
        let announced = self.announced_work.iter();
        let announced = announced.filter(|(name, (at, _))| {
            Some(*name) != except && now.since(*at) < ANNOUNCEMENT_LIFETIME
        });
        announced.fold(Placed::default(), |sum, (_, (_, placed))| sum.plus(*placed))
    }

    /// Returns the work of all entries.
    pub(crate) fn load(&self, now: Time) -> Placed {
        let announced = self.announced(now, None);
        // Announcements to this entry as an owner precede an older reply of the other owner.
        let counts = |_: &OwnerReply| self.is_fresh(now) || announced == Placed::default();
        let replied = self.reply(now).filter(counts);
        self.own_work
            .plus(replied.map_or(announced, |r| announced.larger_of_each(r.placed)))
    }

    /// Returns whether anything is known of the work of others here.
    pub(crate) fn is_known(&self, now: Time) -> bool {
        let mut announced = self.announced_work.values();
        self.reply(now).is_some() || announced.any(|(at, _)| now.since(*at) < ANNOUNCEMENT_LIFETIME)
    }
}
