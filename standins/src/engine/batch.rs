//! The scheduler of continuous batching, without clock or sockets.
//!
//! A step is planned, lasts as long as the plan says, and is then committed:
//! each running sequence gets one token. When the running sequences and their
//! next tokens exceed the memory, the one of lowest priority, and of these the
//! latest to arrive, loses its memory and waits to be computed again.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::cache::PrefixCache;

/// Names a sequence by its place in the order of arrival.
pub(super) type SeqKey = u64;

/// Place in the waiting queue: higher priority first, then earlier arrival.
type QueuePosition = (Reverse<i64>, SeqKey);

/// One generation as the scheduler sees it.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    pub(super) key: SeqKey,
    pub(super) priority: i64,
    pub(super) prompt_tokens: u64,
    pub(super) prefixes: Arc<[u64]>,
    /// Tokens made so far.
    pub(super) generated: u64,
    /// Tokens after which the sequence ends.
    pub(super) target: u64,
    /// Tokens after which the engine crashes.
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

/// What the next step will do.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StepPlan {
    /// Sequences that run.
    pub(super) batch: usize,
    /// Tokens to compute for the sequences that join.
    pub(super) prefill_tokens: u64,
    /// Sequences that lost their memory.
    pub(super) preempted: Vec<SeqKey>,
    /// Sequences that ended because memory can't hold one more token.
    pub(super) out_of_memory: Vec<SeqKey>,
}

/// What a step did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StepResult {
    /// Sequences that got a token, with their count of tokens.
    pub(super) tokens: Vec<(SeqKey, u64)>,
    /// Sequences among them that are complete.
    pub(super) finished: Vec<SeqKey>,
    /// The sequence that crashed the engine.
    pub(super) crashed: Option<SeqKey>,
}

/// Sizes of the scheduler.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) capacity_tokens: u64,
    pub(super) max_batch: usize,
}

/// The sequences that run and wait.
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

    /// Puts a sequence into the waiting queue.
    pub(super) fn push(&mut self, seq: Sequence) {
        self.waiting.insert(seq.queue_position(), seq);
    }

    /// Takes a sequence out, wherever it is; returns its count of tokens.
    pub(super) fn remove(&mut self, key: SeqKey) -> Option<u64> {
        if let Some(index) = self.running.iter().position(|seq| seq.key == key) {
            return Some(self.running.remove(index).generated);
        }
        let queue_position = *self.waiting.keys().find(|(_, waiting)| *waiting == key)?;
        self.waiting
            .remove(&queue_position)
            .map(|seq| seq.generated)
    }

    /// Decides who runs in the next step.
    pub(super) fn plan(&mut self, cache: &mut PrefixCache) -> StepPlan {
        let mut plan = StepPlan::default();
        self.preempt_to_fit(&mut plan);
        self.admit(&mut plan, cache);
        plan.batch = self.running.len();
        plan
    }

    /// Gives each running sequence its token.
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

    /// Tokens that running sequences hold.
    pub(super) fn used_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::memory_tokens).sum()
    }

    /// Tokens held at the end of the next step.
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
