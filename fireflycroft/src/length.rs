//! Estimates of the remaining length of answers, from observed tokens.
//!
//! A sketch counts, for each of a few geometric length buckets, how many answers
//! entered the bucket and how many ended in it. Survival is the product over the
//! buckets of the share that did not end (the Kaplan-Meier estimator), so running
//! answers count up to their current length. Counts decay, so that the sketch
//! follows change. A sketch with few samples is blended with the next wider one:
//! workspace, then model and priority, then a fixed prior.

use crate::ids::Name;
use crate::work::{Demand, Priority};
use std::collections::HashMap;

/// Length buckets of a sketch; four per doubling.
pub const LENGTH_BUCKETS: usize = 60;

/// Maximum number of workspace sketches; the one with the fewest answers is
/// evicted first.
pub const MAX_SKETCHES: usize = 512;

/// Buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Answers after which the weight of an older one has decayed by a factor of e.
const DECAY_ANSWERS: f32 = 500.0;

/// Weight of the model's sketch within that of a workspace, in answers.
const WORKSPACE_PRIOR_ANSWERS: f32 = 10.0;

/// Weight of the fixed prior within the sketch of a model, in answers.
const MODEL_PRIOR_ANSWERS: f32 = 3.0;

/// Share of answers that end in each bucket, before any observation.
const PRIOR_HAZARD: f32 = 0.08;

/// Key of a sketch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LengthKey {
    /// Workspace of the request.
    pub workspace: Name,
    /// Model that serves the request.
    pub target: Name,
    /// Priority of the request.
    pub priority: Priority,
}

impl LengthKey {
    /// Returns the key of a request.
    #[must_use]
    pub fn of(demand: &Demand) -> Self {
        Self {
            workspace: demand.workspace.clone(),
            target: demand.target.clone(),
            priority: demand.priority,
        }
    }
}

/// Decayed counts of answers that entered each bucket and ended in it.
#[derive(Clone, Copy, Debug)]
struct Sketch {
    entered: [f32; LENGTH_BUCKETS],
    ended: [f32; LENGTH_BUCKETS],
}

impl Default for Sketch {
    fn default() -> Self {
        Self {
            entered: [0.0; LENGTH_BUCKETS],
            ended: [0.0; LENGTH_BUCKETS],
        }
    }
}

impl Sketch {
    fn enter(&mut self, bucket: usize) {
        let kept = 1.0 - 1.0 / DECAY_ANSWERS;
        self.entered[bucket] = self.entered[bucket] * kept + 1.0;
        self.ended[bucket] *= kept;
    }

    fn end(&mut self, bucket: usize) {
        self.ended[bucket] += 1.0;
    }

    /// Returns the share of answers that end in each bucket, with `prior` weighted
    /// as `prior_answers` answers.
    fn hazards(&self, prior: &[f32; LENGTH_BUCKETS], prior_answers: f32) -> [f32; LENGTH_BUCKETS] {
        std::array::from_fn(|i| {
            let ended = self.ended[i] + prior_answers * prior[i];
            (ended / (self.entered[i] + prior_answers)).min(1.0)
        })
    }
}

/// Answer lengths observed on one upstream.
#[derive(Clone, Debug, Default)]
pub struct AnswerLengths {
    by_workspace: HashMap<LengthKey, Sketch>,
    by_model: HashMap<(Name, Priority), Sketch>,
}

impl AnswerLengths {
    /// Records that an answer grew from `before` to `now` tokens.
    pub fn record_progress(&mut self, key: &LengthKey, before: u64, now: u64) {
        let first = if before == 0 {
            0
        } else {
            bucket_of(before) + 1
        };
        let last = bucket_of(now.max(1));
        for bucket in first..=last {
            self.update_sketches(key, |sketch| sketch.enter(bucket));
        }
    }

    /// Records that an answer completed at `total` tokens.
    pub fn record_end(&mut self, key: &LengthKey, total: u64) {
        let bucket = bucket_of(total.max(1));
        self.update_sketches(key, |sketch| sketch.end(bucket));
    }

    /// Returns the length distribution for that key.
    #[must_use]
    pub fn survival(&self, key: &LengthKey) -> Survival {
        let mut hazards = [PRIOR_HAZARD; LENGTH_BUCKETS];
        if let Some(by_model) = self.by_model.get(&(key.target.clone(), key.priority)) {
            hazards = by_model.hazards(&hazards, MODEL_PRIOR_ANSWERS);
        }
        if let Some(by_workspace) = self.by_workspace.get(key) {
            hazards = by_workspace.hazards(&hazards, WORKSPACE_PRIOR_ANSWERS);
        }
        Survival::new(&hazards)
    }

    /// Returns the number of workspace sketches.
    #[must_use]
    pub fn sketches(&self) -> usize {
        self.by_workspace.len()
    }

    fn update_sketches(&mut self, key: &LengthKey, f: impl Fn(&mut Sketch)) {
        if !self.by_workspace.contains_key(key) {
            self.evict_least_seen();
        }
        f(self.by_workspace.entry(key.clone()).or_default());
        let by_model = (key.target.clone(), key.priority);
        f(self.by_model.entry(by_model).or_default());
    }

    fn evict_least_seen(&mut self) {
        if self.by_workspace.len() < MAX_SKETCHES {
            return;
        }
        let seen = |s: &Sketch| s.entered[0];
        let least = self
            .by_workspace
            .iter()
            .min_by(|(_, a), (_, b)| seen(a).total_cmp(&seen(b)))
            .map(|(key, _)| key.clone());
        if let Some(key) = least {
            self.by_workspace.remove(&key);
        }
    }
}

/// Distribution of the length of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Survival {
    /// Log probability of reaching the start of each bucket.
    logs: [f32; LENGTH_BUCKETS + 1],
}

impl Survival {
    fn new(hazards: &[f32; LENGTH_BUCKETS]) -> Self {
        const MIN_SURVIVAL: f32 = 1e-4;
        let mut logs = [0.0; LENGTH_BUCKETS + 1];
        for i in 0..LENGTH_BUCKETS {
            logs[i + 1] = logs[i] + (1.0 - hazards[i]).max(MIN_SURVIVAL).ln();
        }
        Self { logs }
    }

    /// Returns the probability that an answer with `produced` tokens produces
    /// `more` further ones.
    #[must_use]
    pub fn beyond(&self, produced: u64, more: u64) -> f64 {
        let from = self.log_at(produced);
        let to = self.log_at(produced.saturating_add(more));
        f64::from(to - from).exp()
    }

    /// Returns the mean number of tokens after `produced`, with at most `limit` in
    /// total.
    #[must_use]
    pub fn mean(&self, produced: u64, limit: u64) -> f64 {
        let mut mean = 0.0;
        let mut at = produced;
        for bucket in bucket_of(produced.max(1))..LENGTH_BUCKETS {
            let end = bucket_start(bucket + 1).min(limit);
            if end <= at {
                continue;
            }
            let width = to_f64(end - at);
            let here = self.beyond(produced, at - produced);
            let there = self.beyond(produced, end - produced);
            mean += width * f64::midpoint(here, there);
            at = end;
        }
        mean
    }

    /// Returns the quantile `q` of the number of tokens after `produced`, with at
    /// most `limit` in total.
    #[must_use]
    pub fn quantile(&self, produced: u64, limit: u64, q: f64) -> u64 {
        let max_more = limit.saturating_sub(produced);
        let (mut low, mut high) = (0, max_more);
        while low < high {
            let middle = low.midpoint(high);
            if self.beyond(produced, middle) <= 1.0 - q {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        low
    }

    /// Returns the log probability of reaching `tokens`.
    #[allow(clippy::cast_possible_truncation)]
    fn log_at(&self, tokens: u64) -> f32 {
        if tokens <= 1 {
            return 0.0;
        }
        let bucket = bucket_of(tokens);
        let start = to_f64(bucket_start(bucket));
        let part = (to_f64(tokens) / start).log2() * BUCKETS_PER_DOUBLING;
        let (from, to) = (self.logs[bucket], self.logs[bucket + 1]);
        from + (to - from) * part.clamp(0.0, 1.0) as f32
    }
}

/// Returns the bucket of a length.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn bucket_of(tokens: u64) -> usize {
    let place = to_f64(tokens.max(1)).log2() * BUCKETS_PER_DOUBLING;
    (place as usize).min(LENGTH_BUCKETS - 1)
}

/// Returns the first length of a bucket, in tokens.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn bucket_start(bucket: usize) -> u64 {
    (bucket as f64 / BUCKETS_PER_DOUBLING).exp2().ceil() as u64
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
