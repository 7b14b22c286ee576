//! A scheduler for continuous batching, without clock or I/O.
//!
//! A step is planned, runs for a duration derived from the plan, and is then
//! committed: each running sequence gets one token. When the running sequences
//! and their next tokens exceed the memory, the sequence of lowest priority, and
//! among those the latest arrival, is preempted and recomputed later.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::cache::PrefixCache;

/// Identifies a sequence by its arrival number.
pub(super) type SeqKey = u64;

/// Position in the waiting queue: higher priority first, then earlier arrival.
type QueuePosition = (Reverse<i64>, SeqKey);

/// Scheduling state of one generation.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    pub(super) key: SeqKey,
    pub(super) priority: i64,
    pub(super) prompt_tokens: u64,
    pub(super) prefixes: Arc<[u64]>,
    /// Tokens generated so far.
    pub(super) generated: u64,
    /// Tokens after which the sequence ends.
    pub(super) target: u64,
    /// Generated tokens after which the engine crashes.
    pub(super) crash_after: Option<u64>,
}

impl Sequence {
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.generated
    }

    fn queue_position(&self) -> QueuePosition {
        (Reverse(self.priority), self.key)
    }
}

/// The plan of the next step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StepPlan {
    /// Number of running sequences.
    pub(super) batch: usize,
    /// Tokens to prefill for newly admitted sequences.
    pub(super) prefill_tokens: u64,
    /// Preempted sequences.
    pub(super) preempted: Vec<SeqKey>,
    /// Sequences ended because the memory can't hold one more token.
    pub(super) out_of_memory: Vec<SeqKey>,
}

/// The result of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StepResult {
    /// Sequences that got a token, with their token counts.
    pub(super) tokens: Vec<(SeqKey, u64)>,
    /// Sequences in `tokens` that are complete.
    pub(super) finished: Vec<SeqKey>,
    /// The sequence that crashed the engine.
    pub(super) crashed: Option<SeqKey>,
}

/// Limits of the scheduler.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) capacity_tokens: u64,
    pub(super) max_batch: usize,
}

/// The running and waiting sequences.
#[derive(Debug)]
pub(super) struct Batch {
    limits: Limits,
    running: Vec<Sequence>,
    waiting: BTreeMap<QueuePosition, Sequence>,
    preemptions: u64,
}

impl Batch {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            preemptions: 0,
        }
    }

    /// Adds a sequence to the waiting queue.
    pub(super) fn push(&mut self, seq: Sequence) {
        self.waiting.insert(seq.queue_position(), seq);
    }

    /// Removes a running or waiting sequence and returns its token count.
    pub(super) fn remove(&mut self, key: SeqKey) -> Option<u64> {
        if let Some(index) = self.running.iter().position(|seq| seq.key == key) {
            return Some(self.running.remove(index).generated);
        }
        let queue_position = *self.waiting.keys().find(|(_, waiting)| *waiting == key)?;
        self.waiting
            .remove(&queue_position)
            .map(|seq| seq.generated)
    }

    /// Selects the sequences that run in the next step.
    pub(super) fn plan(&mut self, cache: &mut PrefixCache) -> StepPlan {
        let mut plan = StepPlan::default();
        self.preempt_to_fit(&mut plan);
        self.admit(&mut plan, cache);
        plan.batch = self.running.len();
        plan
    }

    /// Adds a token to each running sequence, up to one that crashes the engine.
    pub(super) fn commit(&mut self) -> StepResult {
        let mut committed = StepResult::default();
        for seq in &mut self.running {
            if seq.crash_after == Some(seq.generated) {
                committed.crashed = Some(seq.key);
                return committed;
            }
            seq.generated += 1;
            committed.tokens.push((seq.key, seq.generated));
            if seq.crash_after == Some(seq.generated) {
                committed.crashed = Some(seq.key);
                return committed;
            }
            if seq.generated >= seq.target {
                committed.finished.push(seq.key);
            }
        }
        self.running.retain(|seq| seq.generated < seq.target);
        committed
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn preemptions(&self) -> u64 {
        self.preemptions
    }

    /// Returns the tokens held by running sequences.
    pub(super) fn used_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::memory_tokens).sum()
    }

    /// Returns the tokens held after the next step.
    fn used_after_step(&self) -> u64 {
        self.used_tokens() + self.running.len() as u64
    }

    fn preempt_to_fit(&mut self, plan: &mut StepPlan) {
        while self.used_after_step() > self.limits.capacity_tokens {
            let Some(victim) = self.take_victim() else {
                return;
            };
            if self.running.is_empty() {
                plan.out_of_memory.push(victim.key);
            } else {
                self.preemptions += 1;
                plan.preempted.push(victim.key);
                self.push(victim);
            }
        }
    }

    fn take_victim(&mut self) -> Option<Sequence> {
        let queue_positions = self
            .running
            .iter()
            .map(Sequence::queue_position)
            .enumerate();
        let (index, _) = queue_positions.max_by_key(|(_, queue_position)| *queue_position)?;
        Some(self.running.remove(index))
    }

    fn admit(&mut self, plan: &mut StepPlan, cache: &mut PrefixCache) {
        while self.running.len() < self.limits.max_batch
            && let Some(entry) = self.waiting.first_entry()
        {
            let required = entry.get().memory_tokens() + 1;
            let used: u64 = self.running.iter().map(|seq| seq.memory_tokens() + 1).sum();
            if used + required > self.limits.capacity_tokens {
                return;
            }
            let seq = entry.remove();
            let cached = cache.lookup_and_insert(&seq.prefixes);
            plan.prefill_tokens += seq.memory_tokens().saturating_sub(cached);
            self.running.push(seq);
        }
    }
}
