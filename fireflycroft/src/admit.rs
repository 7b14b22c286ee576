//! Admission at the agent: what may run on the upstream now, and what waits.
//!
//! The agent is the only door to its upstream, so it knows at once what the
//! upstream would report late. A request takes a slot of the batch and the
//! memory that it is expected to need; what does not fit waits by priority,
//! then by arrival, within a bound.

use crate::ids::RequestId;
use crate::message::Load;
use crate::time::Time;
use crate::work::{Demand, Priority};
use std::collections::HashMap;
use std::time::Duration;

/// Identifies one offer of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId {
    /// The request.
    pub request: RequestId,
    /// The offer's number.
    pub attempt: u32,
}

/// How an agent admits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmitPolicy {
    /// By slots and expected memory, with a queue by priority.
    #[default]
    Expected,
    /// Everything at once; the upstream queues. A baseline.
    PassThrough,
}

/// Size of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory in tokens.
    pub tokens: u64,
    /// Most generations in a batch.
    pub max_batch: u32,
    /// Most requests that wait.
    pub max_queue: usize,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run now; its slot and memory are taken.
    Admit,
    /// It waits about so long.
    Queue(Duration),
    /// It cannot begin in time; come back after so long.
    Refuse(Duration),
    /// It can never fit this upstream.
    TooLong,
}

#[derive(Clone, Debug)]
struct Waiting {
    offer: OfferId,
    demand: Demand,
    since: Time,
    until: Time,
}

#[derive(Clone, Debug)]
struct Admitted {
    prompt: u32,
    produced: u64,
    limit: u32,
    since: Time,
}

/// Slots, memory and queue of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    policy: AdmitPolicy,
    capacity: Capacity,
    waiting: Vec<Waiting>,
    admitted: HashMap<OfferId, Admitted>,
    mean_length: f64,
    mean_stay: Duration,
}

const FIRST_MEAN_LENGTH: f64 = 200.0;
const MEAN_WEIGHT: f64 = 0.05;
const FIRST_MEAN_STAY: Duration = Duration::from_secs(2);

impl Admission {
    /// Admission to an upstream of that size.
    #[must_use]
    pub fn new(policy: AdmitPolicy, capacity: Capacity) -> Self {
        Self {
            policy,
            capacity,
            waiting: Vec::new(),
            admitted: HashMap::new(),
            mean_length: FIRST_MEAN_LENGTH,
            mean_stay: FIRST_MEAN_STAY,
        }
    }

    /// Decides on an offer that may wait until `until`.
    pub fn offer(&mut self, now: Time, offer: OfferId, demand: &Demand, until: Time) -> Verdict {
        if u64::from(demand.prompt_tokens) >= self.capacity.tokens {
            return Verdict::TooLong;
        }
        let waiting = Waiting {
            offer,
            demand: demand.clone(),
            since: now,
            until,
        };
        if self.policy == AdmitPolicy::PassThrough || self.may_run(&waiting) {
            self.admit(now, &waiting);
            return Verdict::Admit;
        }
        let wait = self.expected_wait(demand.priority);
        if self.waiting.len() >= self.capacity.max_queue || now + wait > until {
            return Verdict::Refuse(wait);
        }
        self.waiting.push(waiting);
        Verdict::Queue(wait)
    }

    /// Takes the next waiting request that may run now.
    pub fn next(&mut self, now: Time) -> Option<OfferId> {
        let at = self.first_in_line()?;
        if !self.may_run(&self.waiting[at]) {
            return None;
        }
        let waiting = self.waiting.remove(at);
        self.admit(now, &waiting);
        Some(waiting.offer)
    }

    /// Takes out the requests that have waited too long.
    pub fn expired(&mut self, now: Time) -> Vec<OfferId> {
        let (gone, kept) = self.waiting.drain(..).partition(|w| w.until <= now);
        self.waiting = kept;
        let gone: Vec<Waiting> = gone;
        gone.into_iter().map(|w| w.offer).collect()
    }

    /// Forgets a request that waits or holds a slot.
    pub fn release(&mut self, now: Time, offer: OfferId) {
        self.waiting.retain(|w| w.offer != offer);
        let Some(gone) = self.admitted.remove(&offer) else {
            return;
        };
        if gone.produced > 0 {
            self.learn(now, &gone);
        }
    }

    /// Notes how many tokens an admitted request has produced.
    pub fn progress(&mut self, offer: OfferId, produced: u64) {
        if let Some(admitted) = self.admitted.get_mut(&offer) {
            admitted.produced = produced;
        }
    }

    /// Load as the agent tells it.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: u32::try_from(self.admitted.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            used_tokens: self.used_tokens(),
            expected_tokens: self.expected_tokens(),
            capacity_tokens: self.capacity.tokens,
            step: Duration::ZERO,
            wait_interactive: self.expected_wait(Priority::Interactive),
            wait_batch: self.expected_wait(Priority::Batch),
            leaving: false,
        }
    }

    /// Time until a request of that priority would begin.
    #[must_use]
    pub fn expected_wait(&self, priority: Priority) -> Duration {
        let ahead = self
            .waiting
            .iter()
            .filter(|w| w.demand.priority >= priority)
            .count();
        let full = self.admitted.len() >= self.capacity.max_batch as usize
            || self.expected_tokens() >= self.capacity.tokens;
        if ahead == 0 && !full {
            return Duration::ZERO;
        }
        let slots = u32::try_from(self.admitted.len().max(1)).unwrap_or(u32::MAX);
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.mean_stay * turns / slots
    }

    fn may_run(&self, waiting: &Waiting) -> bool {
        if self.admitted.is_empty() {
            return true;
        }
        let room = self.capacity.tokens.saturating_sub(self.expected_tokens());
        let slots = self.capacity.max_batch as usize;
        self.admitted.len() < slots && self.need(&waiting.demand) <= room
    }

    fn need(&self, demand: &Demand) -> u64 {
        let length = rounded(self.mean_length).min(u64::from(demand.max_tokens));
        u64::from(demand.prompt_tokens) + length
    }

    fn expected_tokens(&self) -> u64 {
        let mean = rounded(self.mean_length);
        let need = |a: &Admitted| {
            let length = a.produced.max(mean).min(u64::from(a.limit));
            u64::from(a.prompt) + length.max(a.produced)
        };
        self.admitted.values().map(need).sum()
    }

    fn used_tokens(&self) -> u64 {
        let used = |a: &Admitted| u64::from(a.prompt) + a.produced;
        self.admitted.values().map(used).sum()
    }

    fn admit(&mut self, now: Time, waiting: &Waiting) {
        let demand = &waiting.demand;
        self.admitted.insert(
            waiting.offer,
            Admitted {
                prompt: demand.prompt_tokens,
                produced: 0,
                limit: demand.max_tokens,
                since: now,
            },
        );
    }

    fn first_in_line(&self) -> Option<usize> {
        let rank = |w: &Waiting| (std::cmp::Reverse(w.demand.priority), w.since, w.offer);
        (0..self.waiting.len()).min_by_key(|i| rank(&self.waiting[*i]))
    }

    fn learn(&mut self, now: Time, gone: &Admitted) {
        #[allow(clippy::cast_precision_loss)]
        let length = gone.produced as f64;
        self.mean_length += MEAN_WEIGHT * (length - self.mean_length);
        let stay = now.since(gone.since).as_secs_f64();
        let mean = self.mean_stay.as_secs_f64();
        self.mean_stay = Duration::from_secs_f64(mean + MEAN_WEIGHT * (stay - mean));
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded(mean: f64) -> u64 {
    mean.max(0.0) as u64
}
