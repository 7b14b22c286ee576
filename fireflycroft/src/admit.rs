//! Admission at the agent: what may run on the upstream now, and what waits.
//!
//! The agent is the only door to its upstream, so it knows at once what the
//! upstream would report late. A request is let in when the memory that all
//! are expected to need, with it, stays within the upstream's at each moment
//! to come, with a margin for chance. Batch work leaves a headroom to
//! interactive work. What does not fit waits by priority, then by arrival,
//! within a bound; a batch request that has waited long is kept room for.

use crate::length::{LengthKey, Lengths, Survival};
use crate::memory_forecast::MemoryForecast;
use crate::message::Load;
use crate::offer::{AdmitPolicy, Capacity, OfferId, UpstreamReport, Verdict};
use crate::time::Time;
use crate::work::{Demand, Priority};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Waiting {
    offer: OfferId,
    demand: Demand,
    since: Time,
    until: Time,
    /// Memory that it will need once it runs.
    outlook: MemoryForecast,
}

#[derive(Clone, Debug)]
struct Admitted {
    key: LengthKey,
    prompt: u32,
    produced: u64,
    limit: u32,
    /// When it produced its last token; its start until then.
    at: Time,
}

/// Outlooks of requests of late, by priority.
#[derive(Clone, Copy, Debug, Default)]
struct Typical {
    interactive: MemoryForecast,
    batch: MemoryForecast,
}

impl Typical {
    const fn of(&self, priority: Priority) -> &MemoryForecast {
        match priority {
            Priority::Interactive => &self.interactive,
            Priority::Batch => &self.batch,
        }
    }

    const fn of_mut(&mut self, priority: Priority) -> &mut MemoryForecast {
        match priority {
            Priority::Interactive => &mut self.interactive,
            Priority::Batch => &mut self.batch,
        }
    }
}

/// Slots, memory and queue of one upstream.
#[derive(Clone, Debug)]
pub struct Admission {
    policy: AdmitPolicy,
    capacity: Capacity,
    waiting: Vec<Waiting>,
    admitted: HashMap<OfferId, Admitted>,
    lengths: Lengths,
    typical: Typical,
    step: Duration,
    /// Time that one token of a prompt takes.
    prefill: Duration,
    report: UpstreamReport,
    outlook: MemoryForecast,
    /// Tokens produced since the outlook was made.
    stale: u64,
}

/// Standard deviations of margin for the memory needed.
const MARGIN: f64 = 1.2;

/// Share of the memory that batch work leaves free, one in so many.
const HEADROOM_TOKENS: u64 = 16;

/// Share of the slots that batch work leaves free, one in so many.
const HEADROOM_SLOTS: u32 = 8;

/// Share of the slots that interactive work has even when a batch request has
/// waited long, one in so many.
const FLOOR_SLOTS: usize = 4;

/// Part of the expected wait that must fit a request's patience; the rest is
/// hope, since the expectation errs to both sides.
const HOPE: f64 = 0.5;

/// Share of its patience after which a batch request is kept room for.
const AGED: u32 = 2;

/// Tokens produced after which the outlook is made anew.
const STALE_TOKENS: u64 = 64;

/// Weight of the newest request in what is typical.
const TYPICAL_WEIGHT: f64 = 0.05;

/// Time for one token before any was seen.
const FIRST_STEP: Duration = Duration::from_millis(20);

/// Weight of the step known against one just seen.
const STEP_WEIGHT: u32 = 64;

/// Shortest prompt whose time is taken in, in tokens.
const LEAST_PROMPT: u32 = 256;

/// Weight of the time of a prompt's token known against a lower one seen.
const LOW_WEIGHT: u32 = 4;

/// Weight of the time of a prompt's token known against a higher one seen.
const HIGH_WEIGHT: u32 = 64;

/// Steps that a request waits for a better moment to join.
const JOIN_PATIENCE: u32 = 192;

/// Steps that the work of prompts may hold up interactive answers.
const JOIN_STEPS_INTERACTIVE: f64 = 4.0;

/// Steps that the work of several prompts may hold up batch answers.
const JOIN_STEPS_BATCH: f64 = 10.0;

/// Longest step taken in, in steps known; longer ones are a prompt's work.
const STEP_CLIP: u32 = 4;

impl Admission {
    /// Admission to an upstream of that size.
    #[must_use]
    pub fn new(policy: AdmitPolicy, capacity: Capacity) -> Self {
        Self {
            policy,
            capacity,
            waiting: Vec::new(),
            admitted: HashMap::new(),
            lengths: Lengths::default(),
            typical: Typical::default(),
            step: Duration::ZERO,
            prefill: Duration::ZERO,
            report: UpstreamReport::default(),
            outlook: MemoryForecast::default(),
            stale: 0,
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
            outlook: self.outlook_of(demand),
        };
        if self.policy == AdmitPolicy::PassThrough {
            self.admit(now, &waiting);
            return Verdict::Admit;
        }
        self.refresh();
        let first = !self.waiting.iter().any(|w| goes_before(w, &waiting));
        if first && self.may_run(now, &waiting) {
            self.admit(now, &waiting);
            return Verdict::Admit;
        }
        let wait = self.wait_of(demand.priority, &waiting.outlook);
        let hopeless = now + wait.mul_f64(HOPE) > until;
        if self.waiting.len() >= self.capacity.max_queue || hopeless {
            return Verdict::Refuse(wait);
        }
        self.waiting.push(waiting);
        Verdict::Queue(wait)
    }

    /// Takes the next waiting request that may run now.
    pub fn next(&mut self, now: Time) -> Option<OfferId> {
        let at = self.first_in_line()?;
        self.refresh();
        if !self.may_run(now, &self.waiting[at]) {
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
    pub fn release(&mut self, offer: OfferId) {
        self.waiting.retain(|w| w.offer != offer);
        if self.admitted.remove(&offer).is_some() {
            self.stale = STALE_TOKENS;
            self.refresh();
        }
    }

    /// Frees the slot of a request that came to its own end.
    pub fn finish(&mut self, offer: OfferId) {
        if let Some(done) = self.admitted.get(&offer) {
            self.lengths.ended(&done.key, done.produced);
        }
        self.release(offer);
    }

    /// Notes how many tokens an admitted request has produced.
    pub fn progress(&mut self, now: Time, offer: OfferId, produced: u64) {
        let Some(admitted) = self.admitted.get_mut(&offer) else {
            return;
        };
        let before = admitted.produced;
        let span = now.since(admitted.at);
        admitted.produced = produced;
        admitted.at = now;
        let prompt = admitted.prompt;
        self.lengths.passed(&admitted.key, before, produced);
        let count = produced.saturating_sub(before);
        self.stale += count;
        // Also when nobody asks: the load told to entries rests on it.
        self.refresh();
        if count == 0 {
            return;
        }
        if before > 0 {
            self.learn_step(span / u32::try_from(count).unwrap_or(u32::MAX));
        } else if prompt >= LEAST_PROMPT {
            self.learn_prefill(span.saturating_sub(self.step) / prompt);
        }
    }

    /// Takes what the upstream reports.
    pub const fn report(&mut self, report: UpstreamReport) {
        self.report = report;
    }

    /// Load as the agent tells it.
    #[must_use]
    pub fn load(&self) -> Load {
        if self.policy == AdmitPolicy::PassThrough {
            return self.reported_load();
        }
        Load {
            running: count(self.admitted.len()),
            queued: count(self.waiting.len()),
            used_tokens: self.used_tokens(),
            expected_tokens: self.outlook.peak(),
            capacity_tokens: self.capacity.tokens,
            step: self.step,
            wait_interactive: self.expected_wait(Priority::Interactive),
            wait_batch: self.expected_wait(Priority::Batch),
            leaving: false,
            max_batch: self.capacity.max_batch,
        }
    }

    /// Time until a request of that priority would begin.
    #[must_use]
    pub fn expected_wait(&self, priority: Priority) -> Duration {
        self.wait_of(priority, self.typical.of(priority))
    }

    /// Load as an upstream tells it that queues by itself.
    fn reported_load(&self) -> Load {
        Load {
            running: self.report.running,
            queued: self.report.waiting,
            used_tokens: self.report.used_tokens,
            expected_tokens: self.report.used_tokens,
            capacity_tokens: self.capacity.tokens,
            step: self.step,
            wait_interactive: Duration::ZERO,
            wait_batch: Duration::ZERO,
            leaving: false,
            max_batch: self.capacity.max_batch,
        }
    }

    /// Time until those ahead and one more find room.
    fn wait_of(&self, priority: Priority, own: &MemoryForecast) -> Duration {
        let mut more = *own;
        let ahead = |w: &&Waiting| w.demand.priority >= priority;
        for w in self.waiting.iter().filter(ahead) {
            more.add(&w.outlook);
        }
        let lacking = self.outlook.excess(&more, MARGIN, self.limit(priority));
        let slots = self.admitted.len() < self.slots(priority);
        if lacking <= 0.0 && slots {
            return Duration::ZERO;
        }
        let steps = self.outlook.steps_to_free(lacking.max(1.0));
        let step = if self.step.is_zero() {
            FIRST_STEP
        } else {
            self.step
        };
        step.mul_f64(steps)
    }

    fn may_run(&self, now: Time, waiting: &Waiting) -> bool {
        if self.admitted.is_empty() {
            return true;
        }
        let priority = waiting.demand.priority;
        if self.admitted.len() >= self.slots(priority) {
            return false;
        }
        if priority == Priority::Batch && !self.may_join(now, waiting) {
            return false;
        }
        let limit = self.limit(priority);
        if self.outlook.excess(&waiting.outlook, MARGIN, limit) > 0.0 {
            return false;
        }
        priority == Priority::Batch || self.leaves_room_for_aged(now, &waiting.outlook)
    }

    /// Whether a prompt's work, with those that join, leaves the next token of
    /// the others in time. It waits a little for such a moment, no longer.
    fn may_join(&self, now: Time, waiting: &Waiting) -> bool {
        if now.since(waiting.since) >= self.step * JOIN_PATIENCE {
            return true;
        }
        let joining = |a: &&Admitted| a.produced == 0;
        let prompts = |a: &Admitted| u64::from(a.prompt);
        let joining: u64 = self.admitted.values().filter(joining).map(prompts).sum();
        let prompt = u64::from(waiting.demand.prompt_tokens);
        let work = self.prefill.as_secs_f64() * to_f64(joining + prompt);
        let interactive = |a: &Admitted| a.key.priority == Priority::Interactive;
        let step = self.step.as_secs_f64();
        if self.admitted.values().any(interactive) {
            return work <= JOIN_STEPS_INTERACTIVE * step;
        }
        joining == 0 || work <= JOIN_STEPS_BATCH * step
    }

    /// Whether a batch request that has waited long still finds its room.
    fn leaves_room_for_aged(&self, now: Time, own: &MemoryForecast) -> bool {
        let aged = |w: &&Waiting| w.demand.priority == Priority::Batch && is_aged(now, w);
        let Some(aged) = self.waiting.iter().filter(aged).min_by_key(|w| w.since) else {
            return true;
        };
        let interactive = |a: &&Admitted| a.key.priority == Priority::Interactive;
        let running = self.admitted.values().filter(interactive).count();
        let floor = self.capacity.max_batch as usize / FLOOR_SLOTS;
        let both = own.with(&aged.outlook);
        running < floor || self.outlook.excess(&both, MARGIN, self.capacity.tokens) <= 0.0
    }

    /// Memory that requests of that priority may fill.
    const fn limit(&self, priority: Priority) -> u64 {
        match priority {
            Priority::Interactive => self.capacity.tokens,
            Priority::Batch => self.capacity.tokens - self.capacity.tokens / HEADROOM_TOKENS,
        }
    }

    /// Slots that requests of that priority may fill.
    const fn slots(&self, priority: Priority) -> usize {
        let all = self.capacity.max_batch;
        match priority {
            Priority::Interactive => all as usize,
            Priority::Batch => (all - all / HEADROOM_SLOTS) as usize,
        }
    }

    fn outlook_of(&self, demand: &Demand) -> MemoryForecast {
        let survival = self.lengths.survival(&LengthKey::of(demand));
        MemoryForecast::of(&survival, demand.prompt_tokens, 0, demand.max_tokens)
    }

    /// Makes the outlook anew when much has changed since.
    fn refresh(&mut self) {
        if self.stale < STALE_TOKENS || self.policy == AdmitPolicy::PassThrough {
            return;
        }
        self.stale = 0;
        let mut known: HashMap<&LengthKey, Survival> = HashMap::new();
        let mut outlook = MemoryForecast::default();
        for a in self.admitted.values() {
            let survival = known
                .entry(&a.key)
                .or_insert_with(|| self.lengths.survival(&a.key));
            outlook.add(&MemoryForecast::of(survival, a.prompt, a.produced, a.limit));
        }
        self.outlook = outlook;
    }

    fn used_tokens(&self) -> u64 {
        let used = |a: &Admitted| u64::from(a.prompt) + a.produced;
        self.admitted.values().map(used).sum()
    }

    fn admit(&mut self, now: Time, waiting: &Waiting) {
        let demand = &waiting.demand;
        if self.policy == AdmitPolicy::Expected {
            self.outlook.add(&waiting.outlook);
            let typical = self.typical.of_mut(demand.priority);
            typical.blend(&waiting.outlook, TYPICAL_WEIGHT);
        }
        self.admitted.insert(
            waiting.offer,
            Admitted {
                key: LengthKey::of(demand),
                prompt: demand.prompt_tokens,
                produced: 0,
                limit: demand.max_tokens,
                at: now,
            },
        );
    }

    fn first_in_line(&self) -> Option<usize> {
        (0..self.waiting.len()).min_by_key(|i| rank(&self.waiting[*i]))
    }

    /// What else delays a first token is never negative, so a low figure tells
    /// more than a high one.
    fn learn_prefill(&mut self, seen: Duration) {
        let weight = if self.prefill.is_zero() || seen < self.prefill {
            LOW_WEIGHT
        } else {
            HIGH_WEIGHT
        };
        self.prefill = (self.prefill * (weight - 1) + seen) / weight;
    }

    fn learn_step(&mut self, step: Duration) {
        if self.step.is_zero() {
            self.step = step;
        }
        let seen = step.min(self.step * STEP_CLIP);
        self.step = (self.step * (STEP_WEIGHT - 1) + seen) / STEP_WEIGHT;
    }
}

/// Place in the line: interactive first, then by arrival.
const fn rank(w: &Waiting) -> (Reverse<Priority>, Time, OfferId) {
    (Reverse(w.demand.priority), w.since, w.offer)
}

/// Whether it has waited a good part of its patience.
fn is_aged(now: Time, w: &Waiting) -> bool {
    now.since(w.since) >= w.until.since(w.since) / AGED
}

fn goes_before(one: &Waiting, other: &Waiting) -> bool {
    rank(one) < rank(other)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
