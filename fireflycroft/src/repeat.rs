//! The budget of repeats that all entries share, service by service.
//!
//! Within a window the fleet may send a share of its requests once more, and a
//! slack on top. An entry may always use its own part: a share of the requests
//! that it took itself, and of the slack divided by the entries it knows of. When
//! an upstream breaks off, all its runs go on elsewhere at once, and the entries
//! that had them need far more than their parts. So beyond its part an entry may
//! use what the others leave, where it has heard all of them; since the last
//! telling every other one is taken to have spent as much as this one. Where it
//! hasn't, it borrows, one repeat at a time, from the owners of the service
//! ([`crate::owners_of`]), who hear all.
//!
//! The parts and what is lent stay together within the bound: part of it is lent
//! at most, counted against all that was spent, and the parts are half as large
//! in a large fleet as they are for one entry alone.

use crate::ids::Name;
use crate::time::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Bound on the repeats of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// Span in which requests and repeats are counted.
    pub window: Duration,
    /// Repeats on top, over all entries.
    pub slack: f64,
}

/// Share of the bound that is used; the rest covers requests that arrive in
/// another window than the one they are counted in.
const USED_SHARE: f64 = 0.7;

/// Share of the bound up to which repeats are lent. With the parts of a large fleet, half of
/// [`USED_SHARE`], it makes up the bound.
const LENT_SHARE: f64 = 0.65;

/// Time until the count of an entry includes what it was lent: two tellings, of which one may be
/// lost.
const LENT_UNTOLD: Duration = Duration::from_secs(1);

/// Time for which what was lent may be used.
const LOAN_HOLDS: Duration = Duration::from_millis(500);

/// Parts of a window that are counted apart.
const STEPS: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Count {
    step: u64,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RepeatCount {
    /// The service.
    pub service: Name,
    /// Requests of callers.
    pub requests: u32,
    /// Repeats.
    pub repeats: u32,
}

/// Time for which what another entry told counts.
const TOLD_FOR: Duration = Duration::from_secs(2);

/// What this entry took and repeated, by service.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    limits: RepeatLimits,
    counts: HashMap<Name, VecDeque<Count>>,
    others: HashMap<Name, (Time, Vec<RepeatCount>)>,
    since_told: HashMap<Name, u32>,
    /// When this entry lent repeats that the counts of others may not include yet.
    lent: HashMap<Name, VecDeque<Time>>,
    /// When repeats were lent to this entry that it hasn't used.
    borrowed: HashMap<Name, VecDeque<Time>>,
}

impl RepeatBudget {
    /// An empty record under `limits`.
    #[must_use]
    pub fn new(limits: RepeatLimits) -> Self {
        Self {
            limits,
            counts: HashMap::new(),
            others: HashMap::new(),
            since_told: HashMap::new(),
            lent: HashMap::new(),
            borrowed: HashMap::new(),
        }
    }

    /// Sets other limits, from now on.
    pub const fn set_limits(&mut self, limits: RepeatLimits) {
        self.limits = limits;
    }

    /// Notes a request of a caller.
    pub fn note_request(&mut self, now: Time, service: &Name) {
        self.count(now, service).requests += 1;
    }

    /// Takes one repeat if the budget holds it or one was lent.
    pub fn take(&mut self, now: Time, service: &Name, entries: usize) -> bool {
        if self.left(now, service, entries) < 1.0 && !self.use_loan(now, service) {
            return false;
        }
        self.count(now, service).repeats += 1;
        *self.since_told.entry(service.clone()).or_default() += 1;
        true
    }

    /// Repeats that this entry may still send in the window.
    pub fn left(&mut self, now: Time, service: &Name, entries: usize) -> f64 {
        let mine = self.mine(now, service);
        let part = self.part(mine.requests, entries) - f64::from(mine.repeats);
        part.max(self.left_by_others(now, &mine, entries))
    }

    /// Lends one repeat to another entry, as an owner of the service.
    ///
    /// Counts everything that is known to be spent, and what was lent since. What a fleet spent
    /// before this entry heard of it is unknown, so nothing is lent within a window of its start,
    /// which is the zero of `now`.
    pub fn lend(&mut self, now: Time, service: &Name) -> bool {
        if now.since(Time::default()) < self.limits.window {
            return false;
        }
        let mine = self.mine(now, service);
        let untold = self.untold_loans(now, service);
        let of_service = self.heard_within(now, self.limits.window, service);
        let repeats = of_service.fold(mine.repeats + untold, |sum, c| sum + c.repeats);
        let of_service = self.heard_within(now, TOLD_FOR, service);
        let requests = of_service.fold(mine.requests, |sum, c| sum + c.requests);
        if f64::from(repeats) + 1.0 > LENT_SHARE * self.bound(requests, 1) {
            return false;
        }
        self.lent.entry(service.clone()).or_default().push_back(now);
        true
    }

    /// Takes a repeat that an owner lent.
    pub fn note_loan(&mut self, now: Time, service: &Name) {
        let loans = self.borrowed.entry(service.clone()).or_default();
        loans.push_back(now);
    }

    fn use_loan(&mut self, now: Time, service: &Name) -> bool {
        let Some(loans) = self.borrowed.get_mut(service) else {
            return false;
        };
        loans.retain(|at| now.since(*at) < LOAN_HOLDS);
        loans.pop_front().is_some()
    }

    fn untold_loans(&mut self, now: Time, service: &Name) -> u32 {
        let Some(lent) = self.lent.get_mut(service) else {
            return 0;
        };
        lent.retain(|at| now.since(*at) < LENT_UNTOLD);
        u32::try_from(lent.len()).unwrap_or(u32::MAX)
    }

    /// Counts of a service that other entries told within `span`.
    fn heard_within<'a>(
        &'a self,
        now: Time,
        span: Duration,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a RepeatCount> {
        let heard = self.others.values();
        let heard = heard.filter(move |(at, _)| now.since(*at) < span);
        let counts = heard.flat_map(|(_, counts)| counts);
        counts.filter(move |c| c.service == *service)
    }

    /// What the entries known leave of the whole bound.
    fn left_by_others(&self, now: Time, mine: &RepeatCount, entries: usize) -> f64 {
        let mut fresh = self.others.values();
        let fresh = fresh.by_ref().filter(|(at, _)| now.since(*at) < TOLD_FOR);
        let fresh = fresh.count();
        if fresh + 1 < entries {
            return 0.0;
        }
        let of_service = self.heard_within(now, TOLD_FOR, &mine.service);
        let (requests, repeats) = of_service.fold((mine.requests, mine.repeats), |sum, c| {
            (sum.0 + c.requests, sum.1 + c.repeats)
        });
        let untold = self.since_told.get(&mine.service).copied().unwrap_or(0);
        #[allow(clippy::cast_precision_loss)]
        let untold = f64::from(untold) * fresh as f64;
        USED_SHARE * self.bound(requests, 1) - f64::from(repeats) - untold
    }

    /// The part of one of so many entries.
    #[allow(clippy::cast_precision_loss)]
    fn part(&self, requests: u32, entries: usize) -> f64 {
        let share = USED_SHARE * (0.5 + 0.5 / entries.max(1) as f64);
        share * self.bound(requests, entries)
    }

    /// The bound for so many requests, with one entry's part of the slack.
    #[allow(clippy::cast_precision_loss)]
    fn bound(&self, requests: u32, entries: usize) -> f64 {
        let slack = self.limits.slack / entries.max(1) as f64;
        self.limits.ratio * f64::from(requests) + slack
    }

    /// Counts of the window, to tell the others.
    pub fn tell(&mut self, now: Time) -> Vec<RepeatCount> {
        self.since_told.clear();
        let services: Vec<Name> = self.counts.keys().cloned().collect();
        services.iter().map(|name| self.mine(now, name)).collect()
    }

    /// Takes the counts that another entry told.
    pub fn apply_placed(&mut self, now: Time, entry: &Name, counts: Vec<RepeatCount>) {
        // What an entry that has died spent still counts within the window.
        let window = self.limits.window;
        self.others.retain(|_, (at, _)| now.since(*at) < window);
        self.others.insert(entry.clone(), (now, counts));
    }

    fn mine(&mut self, now: Time, service: &Name) -> RepeatCount {
        self.count(now, service);
        let counts = self.counts.get(service).into_iter().flatten();
        let empty = RepeatCount {
            service: service.clone(),
            ..RepeatCount::default()
        };
        counts.fold(empty, |sum, c| RepeatCount {
            requests: sum.requests + c.requests,
            repeats: sum.repeats + c.repeats,
            ..sum
        })
    }

    fn count(&mut self, now: Time, service: &Name) -> &mut Count {
        let width = (self.limits.window / STEPS).max(Duration::from_millis(1));
        let step = now.since(Time::default()).as_nanos() / width.as_nanos();
        let step = u64::try_from(step).unwrap_or(u64::MAX);
        let counts = self.counts.entry(service.clone()).or_default();
        while counts
            .front()
            .is_some_and(|c| c.step + u64::from(STEPS) < step)
        {
            counts.pop_front();
        }
        if counts.back().is_none_or(|c| c.step != step) {
            counts.push_back(Count {
                step,
                requests: 0,
                repeats: 0,
            });
        }
        let last = counts.len() - 1;
        &mut counts[last]
    }
}
