//! Generations that an entry holds until an engine has memory for them.
//!
//! Answers a crest of some seconds on routes whose objective leaves time to wait. One generation looks
//! for memory at a time, the one with the best claim; so the owners of engines are queried as often
//! with one waiting as with many. Claims rise with the share of the allowed wait that has passed, so
//! that no size and no value starves.

use crate::ids::Name;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum objective of a route whose generations are held: a first event takes some 600 ms, and within
/// two seconds some runs end on any service that is a little short of memory.
const MIN_OBJECTIVE: Duration = Duration::from_millis(2_600);

/// Share of a caller's time left, as a divisor, for which it is held if it is too late for its objective.
const LATE_WAIT_DIVISOR: u32 = 8;

/// Divisor of the objective that gives the longest wait: who has to wait for longer is told when to
/// return. Longer waits keep all memory reserved for seconds after a crest, and runs off departing
/// engines find none.
const LONGEST_WAIT_DIVISOR: u32 = 4;

/// Maximum bytes of requests held by an entry; a small VM has some 90 MB.
const MAX_HELD_BYTES: usize = 4 << 20;

/// Bytes that a held request takes besides its body.
const REQUEST_BYTES: usize = 8 << 10;

/// Claim of a caller with one chance left, in shares of the allowed wait.
const LAST_CHANCE: f64 = 0.5;

/// Claim of e times the mean value density, the most that counts.
const DENSITY: f64 = 0.2;

/// Claim taken for each better claim of the same workspace.
const SAME_WORKSPACE: f64 = 0.1;

/// What a waiting generation claims.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitClaim {
    /// Target service.
    pub service: Name,
    /// Workspace of the caller.
    pub workspace: Option<Name>,
    /// Tokens of memory needed.
    pub tokens: u64,
    /// Size of its body.
    pub body_bytes: usize,
    /// Logarithm of its value density relative to the mean of its kind.
    pub value_density: f64,
    /// Whether the caller was refused before.
    pub is_last_chance: bool,
    /// Start of the wait.
    pub since: Time,
    /// Time by which it must begin.
    pub begin_by: Time,
}

impl WaitClaim {
    /// Returns the share of the allowed wait that has passed, from 0 to 1.
    #[must_use]
    pub fn waited_share(&self, now: Time) -> f64 {
        let allowed = self.begin_by.since(self.since).as_secs_f64();
        let waited = now.since(self.since).as_secs_f64();
        if allowed > 0.0 {
            (waited / allowed).min(1.0)
        } else {
            1.0
        }
    }

    fn strength(&self, now: Time) -> f64 {
        let last_chance = if self.is_last_chance {
            LAST_CHANCE
        } else {
            0.0
        };
        let density = DENSITY * self.value_density.clamp(-1.0, 1.0);
        self.waited_share(now) + last_chance + density
    }
}

/// Returns whether an objective leaves the time to hold a generation.
#[must_use]
pub fn leaves_time_to_wait(objective: Duration) -> bool {
    objective >= MIN_OBJECTIVE
}

/// Returns the time by which a held generation must begin.
///
/// A caller's first attempt arrived at `first_arrival`, and a first event takes `first_event`. One that
/// is too late for its objective is held for a part of the time left: a late answer still has some
/// value, and another refusal none. No wait is longer than a part of the objective.
#[must_use]
pub fn must_begin_by(
    now: Time,
    first_arrival: Time,
    objective: Duration,
    first_event: Duration,
    deadline: Time,
) -> Time {
    let longest = now + objective / LONGEST_WAIT_DIVISOR;
    let in_time = first_arrival + objective.saturating_sub(first_event);
    if now < in_time {
        return in_time.min(deadline).min(longest);
    }
    longest.min(now + deadline.since(now) / LATE_WAIT_DIVISOR)
}

/// Identifies a generation in a [`WaitQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(u64);

/// Waiting generations of one entry.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<WaitId, WaitClaim>,
    bytes: usize,
    last: u64,
}

impl WaitQueue {
    /// Adds a generation; returns `None` if too much is held already.
    pub fn enter(&mut self, claim: WaitClaim) -> Option<WaitId> {
        let bytes = self.bytes + REQUEST_BYTES + claim.body_bytes;
        if bytes > MAX_HELD_BYTES {
            return None;
        }
        self.bytes = bytes;
        self.last += 1;
        let id = WaitId(self.last);
        self.waiting.insert(id, claim);
        Some(id)
    }

    /// Removes a generation.
    pub fn leave(&mut self, id: WaitId) {
        if let Some(claim) = self.waiting.remove(&id) {
            self.bytes -= REQUEST_BYTES + claim.body_bytes;
        }
    }

    /// Returns the claim of a waiting generation.
    #[must_use]
    pub fn claim(&self, id: WaitId) -> Option<&WaitClaim> {
        self.waiting.get(&id)
    }

    /// Returns the number of waiting generations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the tokens that all waiting generations of a service need.
    #[must_use]
    pub fn tokens(&self, service: &Name) -> u64 {
        let of_service = self.waiting.values().filter(|c| c.service == *service);
        of_service.map(|c| c.tokens).sum()
    }

    /// Returns the tokens of those of the same service with a better claim.
    #[must_use]
    pub fn tokens_ahead(&self, now: Time, id: WaitId) -> u64 {
        let ahead = self.order(now, id).into_iter().take_while(|i| *i != id);
        ahead
            .filter_map(|i| Some(self.waiting.get(&i)?.tokens))
            .sum()
    }

    /// Returns whether a generation has the best claim of its service.
    #[must_use]
    pub fn is_next(&self, now: Time, id: WaitId) -> bool {
        self.order(now, id).first() == Some(&id)
    }

    /// Returns the generations of the same service as `id`, the best claim first.
    fn order(&self, now: Time, id: WaitId) -> Vec<WaitId> {
        let Some(service) = self.waiting.get(&id).map(|c| &c.service) else {
            return Vec::new();
        };
        let of_service = self.waiting.iter().filter(|(_, c)| c.service == *service);
        let mut all: Vec<(f64, WaitId, &WaitClaim)> =
            of_service.map(|(i, c)| (c.strength(now), *i, c)).collect();
        // Of equal claims the older one goes first.
        all.sort_by(|(a, i, _), (b, j, _)| b.total_cmp(a).then(i.cmp(j)));
        let mut seen: BTreeMap<&Name, f64> = BTreeMap::new();
        for (strength, _, claim) in &mut all {
            if let Some(workspace) = &claim.workspace {
                let better = seen.entry(workspace).or_default();
                *strength -= SAME_WORKSPACE * *better;
                *better += 1.0;
            }
        }
        all.sort_by(|(a, i, _), (b, j, _)| b.total_cmp(a).then(i.cmp(j)));
        all.into_iter().map(|(_, i, _)| i).collect()
    }
}
