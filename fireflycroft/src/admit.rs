//! Admission control at the agent: which requests run on the upstream now and
//! which wait.
//!
//! All requests to an upstream pass through its agent, so the agent knows the
//! load before the upstream reports it. A request is admitted when the expected
//! memory of all running requests and itself, plus a margin for variance, stays
//! within the upstream's memory at every point of the forecast. Batch requests
//! leave headroom for interactive ones. Other requests wait in a bounded queue,
//! ordered by priority, then by arrival; capacity is set aside for a batch
//! request that has waited long.

use crate::length::{AnswerLengths, LengthKey, Survival};
use crate::memory_forecast::MemoryForecast;
use crate::message::Load;
use crate::offer::{AdmitDecision, AdmitPolicy, Capacity, OfferId, UpstreamReport};
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
    /// Memory that it is expected to need once it runs.
    forecast: MemoryForecast,
}

#[derive(Clone, Debug)]
struct AdmittedRequest {
    key: LengthKey,
    prompt: u32,
    produced: u64,
    limit: u32,
    /// Time of its last token; before the first one, its start.
    at: Time,
}

/// Moving averages of recent requests' forecasts, by priority.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalForecasts {
    interactive: MemoryForecast,
    batch: MemoryForecast,
}

impl TypicalForecasts {
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
    waiting: Vec<WaitingRequest>,
    admitted: HashMap<OfferId, AdmittedRequest>,
    lengths: AnswerLengths,
    typical: TypicalForecasts,
    step: Duration,
    /// Prefill time of one prompt token.
    prefill: Duration,
    report: UpstreamReport,
    forecast: MemoryForecast,
    /// Tokens produced since the forecast was computed.
    tokens_since_forecast: u64,
}

/// Margin on the expected memory, in standard deviations.
const MARGIN_STD_DEVS: f64 = 1.2;

/// Batch requests leave 1/16 of the memory free.
const BATCH_MEMORY_HEADROOM_DIVISOR: u64 = 16;

/// Batch requests leave 1/8 of the slots free.
const BATCH_SLOT_HEADROOM_DIVISOR: u32 = 8;

/// Interactive requests may use 1/4 of the slots even while an aged batch
/// request waits.
const INTERACTIVE_SLOT_FLOOR_DIVISOR: usize = 4;

/// Fraction of the expected wait that must fit before the deadline of a
/// request; less than 1 because the expected wait may also be too long.
const REQUIRED_WAIT_FRACTION: f64 = 0.5;

/// A batch request is aged, and capacity is set aside for it, after 1/2 of its
/// maximum wait.
const AGED_WAIT_DIVISOR: u32 = 2;

/// Tokens produced after which the forecast is recomputed.
const FORECAST_REFRESH_TOKENS: u64 = 64;

/// Weight of the newest request in the typical forecast.
const TYPICAL_FORECAST_WEIGHT: f64 = 0.05;

/// Step time assumed before the first measurement.
const INITIAL_STEP: Duration = Duration::from_millis(20);

/// The moving average of the step time gives a new sample a weight of 1/64.
const STEP_SMOOTHING: u32 = 64;

/// Shortest prompt, in tokens, whose prefill time is sampled.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 256;

/// The moving average of the prefill time gives a lower sample a weight of 1/4.
const PREFILL_FALL_SMOOTHING: u32 = 4;

/// The moving average of the prefill time gives a higher sample a weight of
/// 1/64.
const PREFILL_RISE_SMOOTHING: u32 = 64;

/// Wait, in steps, after which a batch request may start whatever its prefill delays.
const MAX_PREFILL_DELAY_STEPS: u32 = 192;

/// Steps by which prefill may delay interactive answers.
const MAX_PREFILL_STEPS_INTERACTIVE: f64 = 4.0;

/// Steps by which the prefill of several prompts may delay batch answers.
const MAX_PREFILL_STEPS_BATCH: f64 = 10.0;

/// A sampled step counts for at most this multiple of the average; longer ones
/// include prefill.
const MAX_STEP_RATIO: u32 = 4;

impl Admission {
    /// Creates the admission control of an upstream of the given size.
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
            forecast: MemoryForecast::default(),
            tokens_since_forecast: 0,
        }
    }

    /// Decides on an offer that may wait until `deadline`.
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

    /// Admits the next waiting request if it may run now.
    pub fn admit_next(&mut self, now: Time) -> Option<OfferId> {
        let at = self.first_waiting()?;
        self.refresh_forecast();
        if !self.may_run(now, &self.waiting[at]) {
            return None;
        }
        let waiting = self.waiting.remove(at);
        self.admit(now, &waiting);
        Some(waiting.offer)
    }

    /// Removes the waiting requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Time) -> Vec<OfferId> {
        let (expired_requests, kept) = self.waiting.drain(..).partition(|w| w.deadline <= now);
        self.waiting = kept;
        let expired_requests: Vec<WaitingRequest> = expired_requests;
        expired_requests.into_iter().map(|w| w.offer).collect()
    }

    /// Removes a request that waits or holds a slot.
    pub fn release(&mut self, offer: OfferId) {
        self.waiting.retain(|w| w.offer != offer);
        if self.admitted.remove(&offer).is_some() {
            self.tokens_since_forecast = FORECAST_REFRESH_TOKENS;
            self.refresh_forecast();
        }
    }

    /// Frees the slot of a completed request and records its length.
    pub fn finish(&mut self, offer: OfferId) {
        if let Some(done) = self.admitted.get(&offer) {
            self.lengths.record_end(&done.key, done.produced);
        }
        self.release(offer);
    }

    /// Records the number of tokens that an admitted request has produced.
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
        // Also needed when no offers arrive: the load sent to entries depends on it.
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

    /// Records the load that the upstream reports.
    pub const fn record_report(&mut self, report: UpstreamReport) {
        self.report = report;
    }

    /// Returns the load that the agent sends to entries.
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

    /// Returns the expected wait of a typical request of that priority.
    #[must_use]
    pub fn expected_wait(&self, priority: Priority) -> Duration {
        self.expected_wait_for(priority, self.typical.of(priority))
    }

    /// Returns the load reported by an upstream that queues by itself.
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

    /// Returns the time until the requests ahead and this one fit.
    fn expected_wait_for(&self, priority: Priority, own: &MemoryForecast) -> Duration {
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

    /// Returns whether prefill of this prompt, with the prefills in progress,
    /// delays the next token of the others within bounds. A request that has
    /// waited for `MAX_PREFILL_DELAY_STEPS` may start in any case.
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

    /// Returns whether the longest-waiting aged batch request still fits.
    fn leaves_capacity_for_aged(&self, now: Time, own: &MemoryForecast) -> bool {
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

    /// Returns the memory that requests of that priority may fill, in tokens.
    const fn limit(&self, priority: Priority) -> u64 {
        match priority {
            Priority::Interactive => self.capacity.tokens,
            Priority::Batch => {
                self.capacity.tokens - self.capacity.tokens / BATCH_MEMORY_HEADROOM_DIVISOR
            }
        }
    }

    /// Returns the slots that requests of that priority may fill.
    const fn slots(&self, priority: Priority) -> usize {
        let all = self.capacity.max_batch;
        match priority {
            Priority::Interactive => all as usize,
            Priority::Batch => (all - all / BATCH_SLOT_HEADROOM_DIVISOR) as usize,
        }
    }

    fn forecast_of(&self, demand: &Demand) -> MemoryForecast {
        let survival = self.lengths.survival(&LengthKey::of(demand));
        MemoryForecast::of(&survival, demand.prompt_tokens, 0, demand.max_tokens)
    }

    /// Recomputes the forecast after enough tokens were produced.
    fn refresh_forecast(&mut self) {
        if self.tokens_since_forecast < FORECAST_REFRESH_TOKENS
            || self.policy == AdmitPolicy::PassThrough
        {
            return;
        }
        self.tokens_since_forecast = 0;
        let mut survivals: HashMap<&LengthKey, Survival> = HashMap::new();
        let mut forecast = MemoryForecast::default();
        for a in self.admitted.values() {
            let survival = survivals
                .entry(&a.key)
                .or_insert_with(|| self.lengths.survival(&a.key));
            forecast.add(&MemoryForecast::of(survival, a.prompt, a.produced, a.limit));
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

    /// Updates the prefill time of one token. Other delays of a first token only
    /// add to the sample, so a low sample gets more weight than a high one.
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

/// Returns the sort key of the queue: interactive first, then by arrival.
const fn queue_order(w: &WaitingRequest) -> (Reverse<Priority>, Time, OfferId) {
    (Reverse(w.demand.priority), w.arrived, w.offer)
}

/// Returns whether a request has waited half of its maximum wait.
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
