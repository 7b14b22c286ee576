//! The budget of repeats that all entries share, service by service.
//!
//! Within a window the fleet may send a share of its requests once more, and a
//! slack on top. An entry keeps to its part: the share of the requests that it
//! took itself, and the slack divided by the entries it knows of. So the sum
//! over all entries stays within the bound without a message.

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

/// What this entry took and repeated, by service.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    limits: RepeatLimits,
    counts: HashMap<Name, VecDeque<Count>>,
}

impl RepeatBudget {
    /// An empty record under `limits`.
    #[must_use]
    pub fn new(limits: RepeatLimits) -> Self {
        Self {
            limits,
            counts: HashMap::new(),
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

    /// Takes one repeat if this entry's part of the bound holds it.
    pub fn take(&mut self, now: Time, service: &Name, entries: usize) -> bool {
        if self.left(now, service, entries) < 1.0 {
            return false;
        }
        self.count(now, service).repeats += 1;
        true
    }

    /// Repeats that this entry may still send in the window.
    pub fn left(&mut self, now: Time, service: &Name, entries: usize) -> f64 {
        self.count(now, service);
        let counts = self.counts.get(service);
        let (requests, repeats) = counts
            .into_iter()
            .flatten()
            .fold((0, 0), |sum, c| (sum.0 + c.requests, sum.1 + c.repeats));
        #[allow(clippy::cast_precision_loss)]
        let slack = self.limits.slack / entries.max(1) as f64;
        let most = USED_SHARE * (self.limits.ratio * f64::from(requests) + slack);
        most - f64::from(repeats)
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
