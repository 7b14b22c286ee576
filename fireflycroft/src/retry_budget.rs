//! Retry budget shared by all entries, per service.
//!
//! Within a window the fleet may retry a share of its requests, plus a slack. Each entry may always
//! use its own share: a share of its own requests, and of the slack divided by the number of known
//! entries. When an upstream fails, all its runs resume elsewhere at once, and the affected entries
//! need far more than their shares. An entry may therefore also use what the others leave unused,
//! provided it has recent reports from all of them; every other entry is assumed to have used as
//! many retries since the last report as this one. Without those reports, it borrows single retries
//! from the owners of the service ([`crate::owners_of`]), which receive the reports of all entries.
//!
//! Shares and grants together stay within the bound: grants are limited to a part of it, counted
//! against all known retries, and the shares of a large fleet add up to half of what a single entry
//! could use alone.

use crate::ids::Name;
use crate::time::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Limits on the retries of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Span over which requests and retries are counted.
    pub window: Duration,
    /// Additional retries, over all entries.
    pub slack: f64,
}

/// Share of the bound that is used; the rest covers requests that arrive in another window than the
/// one they are counted in.
const USED_SHARE: f64 = 0.7;

/// Share of the bound up to which retries are granted. Together with the shares of a large fleet,
/// half of [`USED_SHARE`], it makes up the bound.
const GRANTED_SHARE: f64 = 0.65;

/// Time until a borrower's counts include a grant: two reports, one of which may be lost.
const GRANT_UNREPORTED_FOR: Duration = Duration::from_secs(1);

/// Time for which a grant may be used.
const GRANT_VALID_FOR: Duration = Duration::from_millis(500);

/// Counting steps per window.
const STEPS_PER_WINDOW: u32 = 20;

#[derive(Clone, Copy, Debug)]
struct Count {
    step: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service within the window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RetryCount {
    /// The service.
    pub service: Name,
    /// Requests of callers.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

/// Time for which a report of another entry is current.
const REPORT_VALID_FOR: Duration = Duration::from_secs(2);

/// Requests and retries of this entry and of the others, by service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: RetryLimits,
    counts: HashMap<Name, VecDeque<Count>>,
    reported: HashMap<Name, (Time, Vec<RetryCount>)>,
    since_report: HashMap<Name, u32>,
    /// Times of grants by this entry that the borrowers' reports may not include yet.
    granted: HashMap<Name, VecDeque<Time>>,
    /// Times of unused grants to this entry.
    borrowed: HashMap<Name, VecDeque<Time>>,
}

impl SharedRetryBudget {
    /// Creates empty counts under `limits`.
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

    /// Replaces the limits.
    pub const fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Time, service: &Name) {
        self.count(now, service).requests += 1;
    }

    /// Takes one retry from the budget or from a grant; returns whether one was available.
    pub fn take(&mut self, now: Time, service: &Name, entries: usize) -> bool {
        if self.remaining(now, service, entries) < 1.0 && !self.use_grant(now, service) {
            return false;
        }
        self.count(now, service).retries += 1;
        *self.since_report.entry(service.clone()).or_default() += 1;
        true
    }

    /// Returns the retries that this entry may still send in the window.
    pub fn remaining(&mut self, now: Time, service: &Name, entries: usize) -> f64 {
        let own_count = self.own_count(now, service);
        let own_share = self.own_share(own_count.requests, entries) - f64::from(own_count.retries);
        own_share.max(self.unused_by_others(now, &own_count, entries))
    }

    /// Grants one retry to another entry, as an owner of the service; returns whether it did.
    ///
    /// Counts all known retries and the grants not yet reported. What the fleet used before this
    /// entry received reports is unknown, so it grants nothing within one window of its start,
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

    /// Records a retry granted by an owner.
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

    /// Returns the counts of a service reported by other entries within `span`.
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

    /// Returns the part of the whole bound that the known entries leave unused.
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

    /// Returns the share of one entry among `entries`.
    #[allow(clippy::cast_precision_loss)]
    fn own_share(&self, requests: u32, entries: usize) -> f64 {
        let share = USED_SHARE * (0.5 + 0.5 / entries.max(1) as f64);
        share * self.bound(requests, entries)
    }

    /// Returns the bound for `requests`, with one entry's part of the slack.
    #[allow(clippy::cast_precision_loss)]
    fn bound(&self, requests: u32, entries: usize) -> f64 {
        let slack = self.limits.slack / entries.max(1) as f64;
        self.limits.ratio * f64::from(requests) + slack
    }

    /// Returns the counts of the window, to report to the other entries.
    pub fn report(&mut self, now: Time) -> Vec<RetryCount> {
        self.since_report.clear();
        let services: Vec<Name> = self.counts.keys().cloned().collect();
        services
            .iter()
            .map(|name| self.own_count(now, name))
            .collect()
    }

    /// Applies the counts reported by another entry.
    pub fn apply_report(&mut self, now: Time, entry: &Name, counts: Vec<RetryCount>) {
        // Retries of a dead entry still count within the window.
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
