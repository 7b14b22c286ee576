//! The budget of repeats that all entries share, service by service.
//!
//! Within a window the fleet may send a share of its requests once more, and a
//! slack on top. An entry may always use its own part: the share of the requests
//! that it took itself, and the slack divided by the entries it knows of. Beyond
//! that it may use what the others leave, as far as they have told: what broke
//! off at one entry often needs more than its part. Since the last telling every
//! other entry is taken to have spent as much as this one.

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

    /// Takes one repeat if the budget holds it.
    pub fn take(&mut self, now: Time, service: &Name, entries: usize) -> bool {
        if self.left(now, service, entries) < 1.0 {
            return false;
        }
        self.count(now, service).repeats += 1;
        *self.since_told.entry(service.clone()).or_default() += 1;
        true
    }

    /// Repeats that this entry may still send in the window.
    pub fn left(&mut self, now: Time, service: &Name, entries: usize) -> f64 {
        let mine = self.mine(now, service);
        let part = self.most(mine.requests, entries) - f64::from(mine.repeats);
        part.max(self.left_by_others(now, &mine, entries))
    }

    /// What the entries known leave of the whole bound.
    fn left_by_others(&self, now: Time, mine: &RepeatCount, entries: usize) -> f64 {
        let fresh = self.others.values();
        let fresh: Vec<_> = fresh.filter(|(at, _)| now.since(*at) < TOLD_FOR).collect();
        if fresh.len() + 1 < entries {
            return 0.0;
        }
        let of_service = fresh.iter().flat_map(|(_, counts)| counts);
        let of_service = of_service.filter(|c| c.service == mine.service);
        let (requests, repeats) = of_service.fold((mine.requests, mine.repeats), |sum, c| {
            (sum.0 + c.requests, sum.1 + c.repeats)
        });
        let untold = self.since_told.get(&mine.service).copied().unwrap_or(0);
        #[allow(clippy::cast_precision_loss)]
        let untold = f64::from(untold) * fresh.len() as f64;
        self.most(requests, 1) - f64::from(repeats) - untold
    }

    /// Repeats for so many requests, with one entry's part of the slack.
    #[allow(clippy::cast_precision_loss)]
    fn most(&self, requests: u32, entries: usize) -> f64 {
        let slack = self.limits.slack / entries.max(1) as f64;
        USED_SHARE * (self.limits.ratio * f64::from(requests) + slack)
    }

    /// Counts of the window, to tell the others.
    pub fn tell(&mut self, now: Time) -> Vec<RepeatCount> {
        self.since_told.clear();
        let services: Vec<Name> = self.counts.keys().cloned().collect();
        services.iter().map(|name| self.mine(now, name)).collect()
    }

    /// Takes the counts that another entry told.
    pub fn note_others(&mut self, now: Time, entry: &Name, counts: Vec<RepeatCount>) {
        self.others.retain(|_, (at, _)| now.since(*at) < TOLD_FOR);
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
