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
pub struct RetryLimits {
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
const GRANTED_SHARE: f64 = 0.65;

/// Time until the count of an entry includes what it was lent: two tellings, of which one may be
/// lost.
const GRANT_UNREPORTED_FOR: Duration = Duration::from_secs(1);

/// Time for which what was lent may be used.
const GRANT_VALID_FOR: Duration = Duration::from_millis(500);

/// Parts of a window that are counted apart.
const STEPS_PER_WINDOW: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Count {
    step: u64,
    requests: u32,
    retries: u32,
}

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetryCount {
    /// The service.
    pub service: Name,
    /// Requests of callers.
    pub requests: u32,
    /// Repeats.
    pub retries: u32,
}

/// Time for which what another entry told counts.
const REPORT_VALID_FOR: Duration = Duration::from_secs(2);

/// What this entry took and repeated, by service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: RetryLimits,
    counts: HashMap<Name, VecDeque<Count>>,
    reported: HashMap<Name, (Time, Vec<RetryCount>)>,
    since_report: HashMap<Name, u32>,
    /// When this entry lent repeats that the counts of others may not include yet.
    granted: HashMap<Name, VecDeque<Time>>,
    /// When repeats were lent to this entry that it hasn't used.
    borrowed: HashMap<Name, VecDeque<Time>>,
}

impl SharedRetryBudget {
    /// An empty record under `limits`.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            counts: HashMap::new(),
            reported: HashMap::new(),
            since_report: HashMap::new(),
            granted: HashMap::new(),
            borrowed: HashMap::new(),
        }
    }

    /// Sets other limits, from now on.
    pub const fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &Name) {
        self.count(now, service).requests += 1;
    }

    /// Takes one repeat if the budget holds it or one was lent.
    pub fn take(&mut self, now: Time, service: &Name, entries: usize) -> bool {
        if self.remaining(now, service, entries) < 1.0 && !self.use_grant(now, service) {
            return false;
        }
        self.count(now, service).retries += 1;
        *self.since_report.entry(service.clone()).or_default() += 1;
        true
    }

    /// Repeats that this entry may still send in the window.
    pub fn remaining(&mut self, now: Time, service: &Name, entries: usize) -> f64 {
        let own_count = self.own_count(now, service);
        let own_share = self.own_share(own_count.requests, entries) - f64::from(own_count.retries);
        own_share.max(self.unused_by_others(now, &own_count, entries))
    }

    /// Lends one repeat to another entry, as an owner of the service.
    ///
    /// Counts everything that is known to be spent, and what was lent since. What a fleet spent
    /// before this entry heard of it is unknown, so nothing is lent within a window of its start,
    /// which is the zero of `now`.
    pub fn grant(&mut self, now: Time, service: &Name) -> bool {
        if now.since(Time::default()) < self.limits.window {
            return false;
        }
        let own_count = self.own_count(now, service);
        let unreported = self.unreported_grants(now, service);
        let of_service = self.reported_within(now, self.limits.window, service);
        let retries = of_service.fold(own_count.retries + unreported, |total, c| total + c.retries);
        let of_service = self.reported_within(now, REPORT_VALID_FOR, service);
        let requests = of_service.fold(own_count.requests, |total, c| total + c.requests);
        if f64::from(retries) + 1.0 > GRANTED_SHARE * self.bound(requests, 1) {
            return false;
        }
        self.granted
            .entry(service.clone())
            .or_default()
            .push_back(now);
        true
    }

    /// Takes a repeat that an owner lent.
    pub fn record_grant(&mut self, now: Time, service: &Name) {
        let grants = self.borrowed.entry(service.clone()).or_default();
        grants.push_back(now);
    }

    fn use_grant(&mut self, now: Time, service: &Name) -> bool {
        let Some(grants) = self.borrowed.get_mut(service) else {
            return false;
        };
        grants.retain(|at| now.since(*at) < GRANT_VALID_FOR);
        grants.pop_front().is_some()
    }

    fn unreported_grants(&mut self, now: Time, service: &Name) -> u32 {
        let Some(granted) = self.granted.get_mut(service) else {
            return 0;
        };
        granted.retain(|at| now.since(*at) < GRANT_UNREPORTED_FOR);
        u32::try_from(granted.len()).unwrap_or(u32::MAX)
    }

    /// Counts of a service that other entries told within `span`.
    fn reported_within<'a>(
        &'a self,
        now: Time,
        span: Duration,
        service: &'a Name,
    ) -> impl Iterator<Item = &'a RetryCount> {
        let reports = self.reported.values();
        let reports = reports.filter(move |(at, _)| now.since(*at) < span);
        let counts = reports.flat_map(|(_, counts)| counts);
        counts.filter(move |c| c.service == *service)
    }

    /// What the entries known leave of the whole bound.
    fn unused_by_others(&self, now: Time, own_count: &RetryCount, entries: usize) -> f64 {
        let mut fresh_reports = self.reported.values();
        let fresh_reports = fresh_reports
            .by_ref()
            .filter(|(at, _)| now.since(*at) < REPORT_VALID_FOR);
        let fresh_reports = fresh_reports.count();
        if fresh_reports + 1 < entries {
            return 0.0;
        }
        let of_service = self.reported_within(now, REPORT_VALID_FOR, &own_count.service);
        let (requests, retries) = of_service
            .fold((own_count.requests, own_count.retries), |total, c| {
                (total.0 + c.requests, total.1 + c.retries)
            });
        let unreported = self
            .since_report
            .get(&own_count.service)
            .copied()
            .unwrap_or(0);
        #[allow(clippy::cast_precision_loss)]
        let unreported = f64::from(unreported) * fresh_reports as f64;
        USED_SHARE * self.bound(requests, 1) - f64::from(retries) - unreported
    }

    /// The part of one of so many entries.
    #[allow(clippy::cast_precision_loss)]
    fn own_share(&self, requests: u32, entries: usize) -> f64 {
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
    pub fn report(&mut self, now: Time) -> Vec<RetryCount> {
        self.since_report.clear();
        let services: Vec<Name> = self.counts.keys().cloned().collect();
        services
            .iter()
            .map(|name| self.own_count(now, name))
            .collect()
    }

    /// Takes the counts that another entry told.
    pub fn apply_report(&mut self, now: Time, entry: &Name, counts: Vec<RetryCount>) {
        // What an entry that has died spent still counts within the window.
        let window = self.limits.window;
        self.reported.retain(|_, (at, _)| now.since(*at) < window);
        self.reported.insert(entry.clone(), (now, counts));
    }

    fn own_count(&mut self, now: Time, service: &Name) -> RetryCount {
        self.count(now, service);
        let counts = self.counts.get(service).into_iter().flatten();
        let empty = RetryCount {
            service: service.clone(),
            ..RetryCount::default()
        };
        counts.fold(empty, |total, c| RetryCount {
            requests: total.requests + c.requests,
            retries: total.retries + c.retries,
            ..total
        })
    }

    fn count(&mut self, now: Time, service: &Name) -> &mut Count {
        let width = (self.limits.window / STEPS_PER_WINDOW).max(Duration::from_millis(1));
        let step = now.since(Time::default()).as_nanos() / width.as_nanos();
        let step = u64::try_from(step).unwrap_or(u64::MAX);
        let counts = self.counts.entry(service.clone()).or_default();
        while counts
            .front()
            .is_some_and(|c| c.step + u64::from(STEPS_PER_WINDOW) < step)
        {
            counts.pop_front();
        }
        if counts.back().is_none_or(|c| c.step != step) {
            counts.push_back(Count {
                step,
                requests: 0,
                retries: 0,
            });
        }
        let last = counts.len() - 1;
        &mut counts[last]
    }
}
