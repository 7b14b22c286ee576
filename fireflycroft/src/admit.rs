//! Admission at the agent: what may run on the upstream now, and what waits.
//!
//! The agent is the only door to its upstream, so it knows at once what the
//! upstream would report late. A request is let in when the memory that all
//! are expected to need, with it, stays within the upstream's at each moment
//! to come, with a margin for chance. Batch work leaves a headroom to
//! interactive work. What does not fit waits by priority, then by arrival,
//! within a bound; a batch request that has waited long is kept room for.

use crate::length::{AnswerLengths, LengthKey, Survival};
use crate::message::Load;
use crate::offer::{AdmitDecision, AdmitPolicy, Capacity, OfferId, UpstreamReport};
use crate::outlook::Outlook;
use crate::time::Time;
use crate::work::{Demand, Priority};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct WaitingRequest {
    offer: OfferId,
    demand: Demand,
    arrived: Time,
    deadline: Time,
    /// Memory that it will need once it runs.
    forecast: Outlook,
}

#[derive(Clone, Debug)]
struct AdmittedRequest {
    key: LengthKey,
    prompt: u32,
    produced: u64,
    limit: u32,
    /// When it produced its last token; its start until then.
    at: Time,
}

/// Outlooks of requests of late, by priority.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalForecasts {
    interactive: Outlook,
    batch: Outlook,
}

impl TypicalForecasts {
    const fn of(&self, priority: Priority) -> &Outlook {
        match priority {
            Priority::Interactive => &self.interactive,
            Priority::Batch => &self.batch,
        }
    }

    const fn of_mut(&mut self, priority: Priority) -> &mut Outlook {
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
    waiting: Vec<WaitingRequest>,
    admitted: HashMap<OfferId, AdmittedRequest>,
    lengths: AnswerLengths,
    typical: TypicalForecasts,
    step: Duration,
    /// Time that one token of a prompt takes.
    prefill: Duration,
    report: UpstreamReport,
    forecast: Outlook,
    /// Tokens produced since the outlook was made.
    tokens_since_forecast: u64,
}

/// Standard deviations of margin for the memory needed.
const MARGIN_STD_DEVS: f64 = 1.2;

/// Share of the memory that batch work leaves free, one in so many.
const BATCH_MEMORY_HEADROOM_DIVISOR: u64 = 16;

/// Share of the slots that batch work leaves free, one in so many.
const BATCH_SLOT_HEADROOM_DIVISOR: u32 = 8;

/// Share of the slots that interactive work has even when a batch request has
/// waited long, one in so many.
const INTERACTIVE_SLOT_FLOOR_DIVISOR: usize = 4;

/// Part of the expected wait that must fit a request's patience; the rest is
/// hope, since the expectation errs to both sides.
const REQUIRED_WAIT_FRACTION: f64 = 0.5;

/// Share of its patience after which a batch request is kept room for.
const AGED_WAIT_DIVISOR: u32 = 2;

/// Tokens produced after which the outlook is made anew.
const FORECAST_REFRESH_TOKENS: u64 = 64;

/// Weight of the newest request in what is typical.
const TYPICAL_FORECAST_WEIGHT: f64 = 0.05;

/// Time for one token before any was seen.
const INITIAL_STEP: Duration = Duration::from_millis(20);

/// Weight of the step known against one just seen.
const STEP_SMOOTHING: u32 = 64;

/// Shortest prompt whose time is taken in, in tokens.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 256;

/// Weight of the time of a prompt's token known against a lower one seen.
const PREFILL_FALL_SMOOTHING: u32 = 4;

/// Weight of the time of a prompt's token known against a higher one seen.
const PREFILL_RISE_SMOOTHING: u32 = 64;

/// Steps that a request waits for a better moment to join.
const MAX_PREFILL_DELAY_STEPS: u32 = 192;

/// Steps that the work of prompts may hold up interactive answers.
const MAX_PREFILL_STEPS_INTERACTIVE: f64 = 4.0;

/// Steps that the work of several prompts may hold up batch answers.
const MAX_PREFILL_STEPS_BATCH: f64 = 10.0;

/// Longest step taken in, in steps known; longer ones are a prompt's work.
const MAX_STEP_RATIO: u32 = 4;

impl Admission {
    /// Admission to an upstream of that size.
    #[must_use]
    pub fn new(policy: AdmitPolicy, capacity: Capacity) -> Self {
        Self {
            policy,
            capacity,
            waiting: Vec::new(),
            admitted: HashMap::new(),
            lengths: AnswerLengths::default(),
            typical: TypicalForecasts::default(),
            step: Duration::ZERO,
            prefill: Duration::ZERO,
            report: UpstreamReport::default(),
            forecast: Outlook::default(),
            tokens_since_forecast: 0,
        }
    }

    /// Decides on an offer that may wait until `until`.
    pub fn offer(
        &mut self,
        now: Time,
        offer: OfferId,
        demand: &Demand,
        deadline: Time,
    ) -> AdmitDecision {
        if u64::from(demand.prompt_tokens) >= self.capacity.tokens {
            return AdmitDecision::TooLong;
        }
        let waiting = WaitingRequest {
            offer,
            demand: demand.clone(),
            arrived: now,
            deadline,
            forecast: self.forecast_of(demand),
        };
        if self.policy == AdmitPolicy::PassThrough {
            self.admit(now, &waiting);
            return AdmitDecision::Admit;
        }
        self.refresh_forecast();
        let is_first = !self.waiting.iter().any(|w| precedes(w, &waiting));
        if is_first && self.may_run(now, &waiting) {
            self.admit(now, &waiting);
            return AdmitDecision::Admit;
        }
        let wait = self.expected_wait_for(demand.priority, &waiting.forecast);
        let too_late = now + wait.mul_f64(REQUIRED_WAIT_FRACTION) > deadline;
        if self.waiting.len() >= self.capacity.max_queue || too_late {
            return AdmitDecision::Refuse(wait);
        }
        self.waiting.push(waiting);
        AdmitDecision::Queue(wait)
    }

    /// Takes the next waiting request that may run now.
    pub fn next(&mut self, now: Time) -> Option<OfferId> {
        let at = self.first_waiting()?;
        self.refresh_forecast();
        if !self.may_run(now, &self.waiting[at]) {
            return None;
        }
        let waiting = self.waiting.remove(at);
        self.admit(now, &waiting);
        Some(waiting.offer)
    }

    /// Takes out the requests that have waited too long.
    pub fn remove_expired(&mut self, now: Time) -> Vec<OfferId> {
        let (expired_requests, kept) = self.waiting.drain(..).partition(|w| w.deadline <= now);
        self.waiting = kept;
        let expired_requests: Vec<WaitingRequest> = expired_requests;
        expired_requests.into_iter().map(|w| w.offer).collect()
    }

    /// Forgets a request that waits or holds a slot.
    pub fn release(&mut self, offer: OfferId) {
        self.waiting.retain(|w| w.offer != offer);
        if self.admitted.remove(&offer).is_some() {
            self.tokens_since_forecast = FORECAST_REFRESH_TOKENS;
            self.refresh_forecast();
        }
    }

    /// Frees the slot of a request that came to its own end.
    pub fn finish(&mut self, offer: OfferId) {
        if let Some(done) = self.admitted.get(&offer) {
            self.lengths.record_end(&done.key, done.produced);
        }
        self.release(offer);
    }

    /// Notes how many tokens an admitted request has produced.
    pub fn record_progress(&mut self, now: Time, offer: OfferId, produced: u64) {
        let Some(admitted) = self.admitted.get_mut(&offer) else {
            return;
        };
        let before = admitted.produced;
        let span = now.since(admitted.at);
        admitted.produced = produced;
        admitted.at = now;
        let prompt = admitted.prompt;
        self.lengths
            .record_progress(&admitted.key, before, produced);
        let count = produced.saturating_sub(before);
        self.tokens_since_forecast += count;
        // Also when nobody asks: the load told to entries rests on it.
        self.refresh_forecast();
        if count == 0 {
            return;
        }
        if before > 0 {
            self.record_step(span / u32::try_from(count).unwrap_or(u32::MAX));
        } else if prompt >= MIN_PREFILL_SAMPLE_TOKENS {
            self.record_prefill(span.saturating_sub(self.step) / prompt);
        }
    }

    /// Takes what the upstream reports.
    pub const fn record_report(&mut self, report: UpstreamReport) {
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
            expected_tokens: self.forecast.peak(),
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
        self.expected_wait_for(priority, self.typical.of(priority))
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
    fn expected_wait_for(&self, priority: Priority, own: &Outlook) -> Duration {
        let mut more = *own;
        let ahead = |w: &&WaitingRequest| w.demand.priority >= priority;
        for w in self.waiting.iter().filter(ahead) {
            more.add(&w.forecast);
        }
        let shortfall = self
            .forecast
            .excess(&more, MARGIN_STD_DEVS, self.limit(priority));
        let has_slot = self.admitted.len() < self.slots(priority);
        if shortfall <= 0.0 && has_slot {
            return Duration::ZERO;
        }
        let steps = self.forecast.steps_to_free(shortfall.max(1.0));
        let step = if self.step.is_zero() {
            INITIAL_STEP
        } else {
            self.step
        };
        step.mul_f64(steps)
    }

    fn may_run(&self, now: Time, waiting: &WaitingRequest) -> bool {
        if self.admitted.is_empty() {
            return true;
        }
        let priority = waiting.demand.priority;
        if self.admitted.len() >= self.slots(priority) {
            return false;
        }
        if priority == Priority::Batch && !self.may_start_prefill(now, waiting) {
            return false;
        }
        let limit = self.limit(priority);
        if self
            .forecast
            .excess(&waiting.forecast, MARGIN_STD_DEVS, limit)
            > 0.0
        {
            return false;
        }
        priority == Priority::Batch || self.leaves_capacity_for_aged(now, &waiting.forecast)
    }

    /// Whether a prompt's work, with those that join, leaves the next token of
    /// the others in time. It waits a little for such a moment, no longer.
    fn may_start_prefill(&self, now: Time, waiting: &WaitingRequest) -> bool {
        if now.since(waiting.arrived) >= self.step * MAX_PREFILL_DELAY_STEPS {
            return true;
        }
        let joining = |a: &&AdmittedRequest| a.produced == 0;
        let prompts = |a: &AdmittedRequest| u64::from(a.prompt);
        let joining: u64 = self.admitted.values().filter(joining).map(prompts).sum();
        let prompt = u64::from(waiting.demand.prompt_tokens);
        let prefill_time = self.prefill.as_secs_f64() * to_f64(joining + prompt);
        let interactive = |a: &AdmittedRequest| a.key.priority == Priority::Interactive;
        let step = self.step.as_secs_f64();
        if self.admitted.values().any(interactive) {
            return prefill_time <= MAX_PREFILL_STEPS_INTERACTIVE * step;
        }
        joining == 0 || prefill_time <= MAX_PREFILL_STEPS_BATCH * step
    }

    /// Whether a batch request that has waited long still finds its room.
    fn leaves_capacity_for_aged(&self, now: Time, own: &Outlook) -> bool {
        let aged = |w: &&WaitingRequest| w.demand.priority == Priority::Batch && is_aged(now, w);
        let Some(aged) = self.waiting.iter().filter(aged).min_by_key(|w| w.arrived) else {
            return true;
        };
        let interactive = |a: &&AdmittedRequest| a.key.priority == Priority::Interactive;
        let running = self.admitted.values().filter(interactive).count();
        let slot_floor = self.capacity.max_batch as usize / INTERACTIVE_SLOT_FLOOR_DIVISOR;
        let both = own.with(&aged.forecast);
        running < slot_floor
            || self
                .forecast
                .excess(&both, MARGIN_STD_DEVS, self.capacity.tokens)
                <= 0.0
    }

    /// Memory that requests of that priority may fill.
    const fn limit(&self, priority: Priority) -> u64 {
        match priority {
            Priority::Interactive => self.capacity.tokens,
            Priority::Batch => {
                self.capacity.tokens - self.capacity.tokens / BATCH_MEMORY_HEADROOM_DIVISOR
            }
        }
    }

    /// Slots that requests of that priority may fill.
    const fn slots(&self, priority: Priority) -> usize {
        let all = self.capacity.max_batch;
        match priority {
            Priority::Interactive => all as usize,
            Priority::Batch => (all - all / BATCH_SLOT_HEADROOM_DIVISOR) as usize,
        }
    }

    fn forecast_of(&self, demand: &Demand) -> Outlook {
        let survival = self.lengths.survival(&LengthKey::of(demand));
        Outlook::of(&survival, demand.prompt_tokens, 0, demand.max_tokens)
    }

    /// Makes the outlook anew when much has changed since.
    fn refresh_forecast(&mut self) {
        if self.tokens_since_forecast < FORECAST_REFRESH_TOKENS
            || self.policy == AdmitPolicy::PassThrough
        {
            return;
        }
        self.tokens_since_forecast = 0;
        let mut survivals: HashMap<&LengthKey, Survival> = HashMap::new();
        let mut forecast = Outlook::default();
        for a in self.admitted.values() {
            let survival = survivals
                .entry(&a.key)
                .or_insert_with(|| self.lengths.survival(&a.key));
            forecast.add(&Outlook::of(survival, a.prompt, a.produced, a.limit));
        }
        self.forecast = forecast;
    }

    fn used_tokens(&self) -> u64 {
        let used = |a: &AdmittedRequest| u64::from(a.prompt) + a.produced;
        self.admitted.values().map(used).sum()
    }

    fn admit(&mut self, now: Time, waiting: &WaitingRequest) {
        let demand = &waiting.demand;
        if self.policy == AdmitPolicy::Expected {
            self.forecast.add(&waiting.forecast);
            let typical = self.typical.of_mut(demand.priority);
            typical.blend(&waiting.forecast, TYPICAL_FORECAST_WEIGHT);
        }
        self.admitted.insert(
            waiting.offer,
            AdmittedRequest {
                key: LengthKey::of(demand),
                prompt: demand.prompt_tokens,
                produced: 0,
                limit: demand.max_tokens,
                at: now,
            },
        );
    }

    fn first_waiting(&self) -> Option<usize> {
        (0..self.waiting.len()).min_by_key(|i| queue_order(&self.waiting[*i]))
    }

    /// What else delays a first token is never negative, so a low figure tells
    /// more than a high one.
    fn record_prefill(&mut self, seen: Duration) {
        let weight = if self.prefill.is_zero() || seen < self.prefill {
            PREFILL_FALL_SMOOTHING
        } else {
            PREFILL_RISE_SMOOTHING
        };
        self.prefill = (self.prefill * (weight - 1) + seen) / weight;
    }

    fn record_step(&mut self, step: Duration) {
        if self.step.is_zero() {
            self.step = step;
        }
        let seen = step.min(self.step * MAX_STEP_RATIO);
        self.step = (self.step * (STEP_SMOOTHING - 1) + seen) / STEP_SMOOTHING;
    }
}

/// Place in the line: interactive first, then by arrival.
const fn queue_order(w: &WaitingRequest) -> (Reverse<Priority>, Time, OfferId) {
    (Reverse(w.demand.priority), w.arrived, w.offer)
}

/// Whether it has waited a good part of its patience.
fn is_aged(now: Time, w: &WaitingRequest) -> bool {
    now.since(w.arrived) >= w.deadline.since(w.arrived) / AGED_WAIT_DIVISOR
}

fn precedes(one: &WaitingRequest, other: &WaitingRequest) -> bool {
    queue_order(one) < queue_order(other)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
