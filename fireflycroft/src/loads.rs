//! The load of upstreams as entries tell it each other.
//!
//! Each entry tells the owners of an upstream ([`crate::owners_of`]) what it has
//! placed there, at once and again twice a second. Before it places a generation
//! it asks the owners of some upstreams, and chooses by what they reply.

use crate::ids::Name;
use crate::owner_news::OwnedLoad;
use crate::placed::{LoadView, Need, Placed, PlacedAt};
use crate::pool::Pool;
use crate::time::Time;
use crate::upstream::{
    ANNOUNCED_FOR, Life, REPLY_HOLDS, REPLY_IS_FRESH, Upstream, UpstreamIx, draw_index, share,
};
use std::time::Duration;

/// Time for which an upstream that its owner knows to leave is left out: news of it is on its way.
const AVOID_LEAVING: Duration = Duration::from_secs(1);

/// Time for which an upstream that couldn't be reached is taken to be gone; after it somebody tries
/// again.
const UNREACHABLE_FOR: Duration = Duration::from_millis(1_500);

/// Entries that have to find an upstream unreachable before others are told: one alone may be cut
/// off from it.
const MIN_WITNESSES: usize = 2;

/// Replies fewer than this leave a choice to all that is believed.
pub(crate) const MIN_REPLIES: usize = 3;

impl Pool {
    /// Takes what another entry has placed.
    ///
    /// With `changes_only`, what it has told of other upstreams still holds. What it has placed on
    /// another life of an upstream counts for nothing on this one.
    pub fn apply_placed(
        &mut self,
        now: Time,
        entry: &Name,
        placed: &[PlacedAt],
        changes_only: bool,
    ) {
        if !changes_only {
            for i in self.announced_by.remove(entry).unwrap_or_default() {
                self.upstreams[i].others.remove(entry);
            }
        }
        for at in placed {
            let known = self.find(&at.instance);
            let same_life = |ix: &UpstreamIx| self.record(*ix).incarnation == at.incarnation;
            if let Some(ix) = known.filter(same_life) {
                let u = &mut self.upstreams[ix.0];
                u.others
                    .retain(|_, (told_at, _)| now.since(*told_at) < ANNOUNCED_FOR);
                u.others.insert(entry.clone(), (now, at.placed));
                u.pace.apply_other(entry, at.pace);
                self.announced_by
                    .entry(entry.clone())
                    .or_default()
                    .insert(ix.0);
            }
        }
    }

    /// What this entry has placed on some upstreams, to tell their owners.
    #[must_use]
    pub fn placed_at(&self, some: impl IntoIterator<Item = UpstreamIx>) -> Vec<PlacedAt> {
        let at = |ix: UpstreamIx| &self.upstreams[ix.0];
        let current = some.into_iter().map(at).filter(|u| !u.ended);
        current.map(Upstream::placed_at).collect()
    }

    /// All that this entry has placed, to tell the owners.
    #[must_use]
    pub fn placed(&self) -> Vec<PlacedAt> {
        let non_idle = self
            .upstreams
            .iter()
            .filter(|u| !u.ended && u.mine != Placed::default());
        non_idle.map(Upstream::placed_at).collect()
    }

    /// What is known of an upstream's load, and how old the oldest part of it is.
    #[must_use]
    pub fn view(&self, now: Time, ix: UpstreamIx) -> LoadView {
        let u = &self.upstreams[ix.0];
        let ages = u.others.values().map(|(at, _)| now.since(*at));
        let announced = ages.filter(|a| *a < ANNOUNCED_FOR).max();
        let replied = u.reply(now).map(|r| now.since(r.at));
        let placed = u.load(now);
        LoadView {
            placed,
            memory: share(placed.memory(), u.memory_tokens.unwrap_or(0)),
            failing: u.failing,
            age: replied.or(announced).unwrap_or_default(),
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

    /// Upstreams of a service that leave and may still run something.
    fn leaving(&self, now: Time, service: &str) -> impl Iterator<Item = usize> {
        let of_service = self.of_service(service).iter().copied();
        of_service.filter(move |i| {
            let u = &self.upstreams[*i];
            !u.is_serving() && u.left_at.is_some() && !u.is_over(now)
        })
    }

    /// The loads that another entry asks for, but for its own work.
    #[must_use]
    pub fn loads_for(&self, now: Time, entry: &Name, incarnations: &[Life]) -> Vec<OwnedLoad> {
        let known = incarnations.iter().filter_map(|life| {
            let u = &self.upstreams[self.find(&life.instance)?.0];
            (u.record.incarnation == life.incarnation).then(|| OwnedLoad {
                life: life.clone(),
                serves: u.is_serving() && u.witnesses(now) < MIN_WITNESSES,
                placed: u.mine.plus(u.announced(now, Some(entry))),
                pace: u.pace.except(entry),
            })
        });
        known.collect()
    }

    /// Notes that an entry couldn't reach an upstream.
    ///
    /// Upstreams that leave while the store is silent stay on the list, and look empty. Each entry
    /// would find out for itself, and refuse callers who find three of them in a row.
    pub fn record_unreachable(&mut self, now: Time, entry: &Name, life: &Life) {
        let Some(ix) = self.find(&life.instance) else {
            return;
        };
        let u = &mut self.upstreams[ix.0];
        if u.record.incarnation == life.incarnation {
            u.unreachable
                .retain(|_, at| now.since(*at) < UNREACHABLE_FOR);
            u.unreachable.insert(entry.clone(), now);
        }
    }

    /// Takes the loads that an owner replied.
    ///
    /// Of two owners the one that knows of more is right: the other has begun to own the upstream
    /// only now, or a report to it was lost.
    pub fn apply_reply(&mut self, now: Time, owner: &Name, loads: &[OwnedLoad]) {
        for load in loads {
            let Some(ix) = self.find(&load.life.instance) else {
                continue;
            };
            let u = &mut self.upstreams[ix.0];
            if u.record.incarnation != load.life.incarnation {
                continue;
            }
            u.apply_reply(now, load.placed);
            u.pace.apply_other(owner, load.pace);
            if !load.serves {
                u.avoid_until = u.avoid_until.max(now + AVOID_LEAVING);
            }
        }
    }
}

/// What an owner of an upstream replied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerReply {
    pub(crate) at: Time,
    pub(crate) placed: Placed,
}

impl Upstream {
    /// The last reply of its owners, unless it is too old to tell anything.
    pub(crate) fn reply(&self, now: Time) -> Option<OwnerReply> {
        self.replied.filter(|r| now.since(r.at) < REPLY_HOLDS)
    }

    /// Entries that couldn't reach it of late.
    fn witnesses(&self, now: Time) -> usize {
        let announced = self.unreachable.values();
        announced
            .filter(|at| now.since(**at) < UNREACHABLE_FOR)
            .count()
    }

    /// Whether its owners have replied just now.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        self.replied
            .is_some_and(|r| now.since(r.at) < REPLY_IS_FRESH)
    }

    fn apply_reply(&mut self, now: Time, placed: Placed) {
        let placed = match self.replied.filter(|_| self.is_fresh(now)) {
            Some(other) => other.placed.larger_of_each(placed),
            None => placed,
        };
        self.replied = Some(OwnerReply { at: now, placed });
    }

    /// Work that others have told this entry of, but for one of them.
    pub(crate) fn announced(&self, now: Time, except: Option<&Name>) -> Placed {
        let announced = self.others.iter();
        let announced = announced
            .filter(|(name, (at, _))| Some(*name) != except && now.since(*at) < ANNOUNCED_FOR);
        announced.fold(Placed::default(), |sum, (_, (_, placed))| sum.plus(*placed))
    }

    /// Work of all entries.
    pub(crate) fn load(&self, now: Time) -> Placed {
        let announced = self.announced(now, None);
        // What an owner was told itself goes before an older reply of the other one.
        let counts = |_: &OwnerReply| self.is_fresh(now) || announced == Placed::default();
        let replied = self.reply(now).filter(counts);
        self.mine
            .plus(replied.map_or(announced, |r| announced.larger_of_each(r.placed)))
    }

    /// Whether anything was heard of what others have placed here.
    pub(crate) fn is_known(&self, now: Time) -> bool {
        let mut announced = self.others.values();
        self.reply(now).is_some() || announced.any(|(at, _)| now.since(*at) < ANNOUNCED_FOR)
    }
}
