//! Admission limits: whether engines have the capacity for one more generation.
//!
//! An engine that runs out of memory preempts runs in the middle of their answers
//! and recomputes them, so that all of them end late. Refusing generations beyond
//! capacity keeps the others on time. Short ones are admitted beyond it: they end
//! before the memory is needed.
//!
//! Long ones are preferred by value density, their value per memory held. A
//! generation holds its prompt and its answer until the answer ends, so its cost
//! grows with the square of its length and its value linearly; one that returns
//! too late for its objective has little value.
//!
//! Ranks of workspaces and routes apply here. If engines knew them, they would
//! preempt running answers for waiting ones.

use crate::ids::Name;
use std::collections::HashMap;
use std::time::Duration;

/// Share of the memory up to which long generations are admitted.
pub const LONG_LIMIT: f64 = 0.88;

/// The same for those that return after a refusal: a second refusal is worse than a first one of
/// another.
pub const RETURNING_LIMIT: f64 = 1.02;

/// The same for those that return after their objective has passed: they have little value, and
/// hold as much memory as others.
pub const LATE_LIMIT: f64 = 0.9;

/// Limits of generations that can be held, at the start and at the end of their allowed wait, by arrival.
///
/// To be held costs them little, so they leave memory to urgent ones and to runs off departing engines;
/// one that has been held for long goes before newer ones, at this entry and at others.
const HELD_LIMITS: (f64, f64) = (0.84, 0.9);
const HELD_RETURNING_LIMITS: (f64, f64) = (0.92, RETURNING_LIMIT);
const HELD_LATE_LIMITS: (f64, f64) = (0.8, LATE_LIMIT);

/// Reserved share of all memory up to which there is plenty, and nothing to be left to others.
const PLENTY_SHARE: f64 = 0.6;

/// Share of the memory added to the limit at e times the mean value density, the most that counts.
const DENSITY_BONUS: f64 = 0.12;

/// Share of the memory up to which short generations are admitted.
pub const SHORT_LIMIT: f64 = 1.4;

/// Share of the memory that is reserved for the first rank.
pub const FIRST_RANK_RESERVE: f64 = 0.05;

/// Share by which the memory of all engines may be fuller than that of the one engine: it includes
/// runs on departing engines, some of which end by themselves.
const SERVICE_TOLERANCE: f64 = 0.05;

/// Maximum expected tokens of a short answer.
pub const SHORT_TOKENS: u64 = 64;

/// Base value of every generation, relative to one of the mean size of its kind, as users count.
const BASE_VALUE: f64 = 0.3;

/// Prompt tokens that count as much as one answer token in a generation's size, as users count.
const ANSWER_TOKEN_SIZE: f64 = 10.0;

/// Prompt tokens read in the time of one answer token; engines read 14 per millisecond and produce
/// one in about ten milliseconds.
const PROMPT_TOKENS_PER_ANSWER_TOKEN: f64 = 140.0;

/// Weight of the newest generation in the mean of its kind: about a hundred count.
const TYPICAL_WEIGHT: f64 = 0.01;

/// Multiple of the mean up to which a generation counts in the mean, so that a caller's absurd sizes
/// don't affect others.
const MAX_RATIO: f64 = 8.0;

/// Consecutive generations of a kind with less than 1/[`MAX_RATIO`] of the mean memory time after which
/// the means are reset.
const FAR_BELOW_LIMIT: u8 = 3;

/// Number of kinds at which all means are cleared.
const MAX_KINDS: usize = 4_096;

/// Time to the first event on an engine with capacity: a prompt is read in about 200 ms, and takes
/// half as long again beside others.
const FIRST_EVENT: Duration = Duration::from_millis(400);

/// Whether a generation is new or returns after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalKind {
    /// Not refused before.
    First,
    /// Refused before, and can still begin within its objective.
    AgainInTime,
    /// Refused before, and its objective has passed.
    AgainLate,
}

impl ArrivalKind {
    /// Classifies a generation by the time since its refusal, if any.
    #[must_use]
    pub fn after(waited: Option<Duration>, objective: Duration) -> Self {
        match waited {
            None => Self::First,
            Some(waited) if waited + FIRST_EVENT < objective => Self::AgainInTime,
            Some(_) => Self::AgainLate,
        }
    }
}

/// Generation that requests admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Expected tokens of its answer.
    pub expected_tokens: u64,
    /// Logarithm of its value density relative to the mean of its kind.
    pub value_density: f64,
    /// Whether it is new or returns after a refusal.
    pub arrival: ArrivalKind,
    /// Rank of its workspace or route as set by the operator; 0 is the first.
    pub rank: u8,
}

/// Reserved shares of memory that an admission depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryUsage {
    /// Share on the best engine for the generation, including it.
    pub engine: f64,
    /// Share on all engines of the service, without it.
    pub service: f64,
}

/// Decision on a generation's admission, with what it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Whether the generation was new or returned after a refusal.
    pub arrival: ArrivalKind,
    /// Reserved shares of memory.
    pub usage: MemoryUsage,
    /// Share of the memory up to which the generation is admitted.
    pub limit: f64,
    /// The same at the end of its allowed wait.
    pub last_limit: f64,
}

impl AdmissionDecision {
    /// Returns whether the generation is admitted.
    #[must_use]
    pub const fn is_admitted(&self) -> bool {
        self.usage.engine <= self.limit && self.is_service_within()
    }

    /// Returns whether the memory of all engines together is within the limit.
    #[must_use]
    pub const fn is_service_within(&self) -> bool {
        self.usage.service - SERVICE_TOLERANCE <= self.limit
    }
}

/// Decides on a generation's admission.
#[must_use]
pub fn decide_admission(request: &AdmissionRequest, usage: MemoryUsage) -> AdmissionDecision {
    decide(request, usage, None)
}

/// Decides on the admission of a generation that can be held, and has been for a share of its allowed
/// wait.
#[must_use]
pub fn decide_held_admission(
    request: &AdmissionRequest,
    usage: MemoryUsage,
    waited_share: f64,
) -> AdmissionDecision {
    decide(request, usage, Some(waited_share))
}

fn decide(
    request: &AdmissionRequest,
    usage: MemoryUsage,
    waited_share: Option<f64>,
) -> AdmissionDecision {
    let waited_share = waited_share.filter(|_| usage.service > PLENTY_SHARE);
    AdmissionDecision {
        arrival: request.arrival,
        usage,
        limit: limit_of(request, waited_share),
        last_limit: limit_of(request, waited_share.map(|_| 1.0)),
    }
}

/// Returns whether a generation is admitted.
#[must_use]
pub fn is_admitted(request: &AdmissionRequest, usage: &MemoryUsage) -> bool {
    decide_admission(request, *usage).is_admitted()
}

/// Returns the share of the memory up to which a generation is admitted.
fn limit_of(request: &AdmissionRequest, waited_share: Option<f64>) -> f64 {
    let limit = if request.expected_tokens <= SHORT_TOKENS {
        SHORT_LIMIT
    } else {
        let base = match waited_share {
            None => limit_at_once(request.arrival),
            Some(share) => limit_after(request.arrival, share),
        };
        base + DENSITY_BONUS * request.value_density.clamp(-1.0, 1.0)
    };
    let first_rank_reserve = if request.rank == 0 {
        FIRST_RANK_RESERVE
    } else {
        0.0
    };
    limit + first_rank_reserve
}

const fn limit_at_once(arrival: ArrivalKind) -> f64 {
    match arrival {
        ArrivalKind::First => LONG_LIMIT,
        ArrivalKind::AgainInTime => RETURNING_LIMIT,
        ArrivalKind::AgainLate => LATE_LIMIT,
    }
}

fn limit_after(arrival: ArrivalKind, waited_share: f64) -> f64 {
    let (start, end) = match arrival {
        ArrivalKind::First => HELD_LIMITS,
        ArrivalKind::AgainInTime => HELD_RETURNING_LIMITS,
        ArrivalKind::AgainLate => HELD_LATE_LIMITS,
    };
    start + waited_share * (end - start)
}

/// Returns the time until capacity is expected, if `reserved_share` of all memory is reserved.
///
/// Some engine ends a run within a fraction of a second, however full all are, and a caller who
/// returns soon can still meet its objective.
#[must_use]
pub fn capacity_expected_after(reserved_share: f64) -> Duration {
    const FREE_SECONDS: f64 = 0.3;
    const SECONDS_BEYOND: f64 = 0.3;
    let beyond = (reserved_share - 0.9).clamp(0.0, 1.0);
    Duration::from_secs_f64(FREE_SECONDS + beyond * SECONDS_BEYOND)
}

/// Running means of a kind of generation.
#[derive(Clone, Copy, Debug)]
struct Typical {
    size: f64,
    memory_time: f64,
    count: f64,
    far_below: u8,
}

impl Typical {
    const fn of(size: f64, memory_time: f64) -> Self {
        Self {
            size,
            memory_time,
            count: 0.0,
            far_below: 0,
        }
    }

    /// Updates the means with a generation; the first ones count equally.
    ///
    /// Resets them after several generations in a row far below: the earlier ones were atypical.
    fn record(&mut self, size: f64, memory_time: f64) {
        let is_far_below = memory_time * MAX_RATIO < self.memory_time;
        self.far_below = if is_far_below { self.far_below + 1 } else { 0 };
        if self.far_below >= FAR_BELOW_LIMIT {
            *self = Self::of(size, memory_time);
        }
        self.count += 1.0;
        let weight = TYPICAL_WEIGHT.max(1.0 / self.count);
        self.size += weight * (size.min(MAX_RATIO * self.size) - self.size);
        self.memory_time +=
            weight * (memory_time.min(MAX_RATIO * self.memory_time) - self.memory_time);
    }
}

/// Mean size and memory use of generations, by kind.
#[derive(Clone, Debug, Default)]
pub struct ValueDensities {
    kinds: HashMap<Name, Typical>,
}

impl ValueDensities {
    /// Records a generation and returns the logarithm of its value density relative to the mean of
    /// its kind.
    pub fn record(&mut self, kind: &Name, prompt: u64, expected: u64) -> f64 {
        let (prompt, answer) = (to_f64(prompt), to_f64(expected.max(1)));
        let size = prompt + ANSWER_TOKEN_SIZE * answer;
        let memory_time =
            (prompt + answer / 2.0) * (answer + prompt / PROMPT_TOKENS_PER_ANSWER_TOKEN);
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.clear();
        }
        let typical = self.kinds.entry(kind.clone());
        let typical = typical.or_insert(Typical::of(size, memory_time));
        typical.record(size, memory_time);
        let value = BASE_VALUE + (1.0 - BASE_VALUE) * size / typical.size;
        (value * typical.memory_time / memory_time).ln()
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
