//! Whether engines have room for one more generation, or it is refused at once.
//!
//! An engine whose memory runs out preempts runs in the middle of their answers
//! and reads them anew, so that all of them end late. Refusing the generations
//! for which there is no room keeps the others on time. Short ones are let in
//! beyond that: they are gone before the memory is needed.
//!
//! Among the long ones, those that bring more for the memory that they hold go
//! first. A generation holds its prompt and its answer for as long as the answer
//! lasts, so its cost grows with the square of its length and its worth with the
//! length; and what comes back too late for its objective brings little.
//!
//! Ranks of workspaces and routes decide here, at the door. Told to the
//! engines, they would make them preempt running answers for waiting ones.

use crate::ids::Name;
use std::collections::HashMap;
use std::time::Duration;

/// Share of the memory up to which long generations are let in.
pub const LONG_LIMIT: f64 = 0.88;

/// The same for those that come back after a refusal: refusing them twice is worse than refusing
/// another once.
pub const RETURNING_LIMIT: f64 = 1.02;

/// The same for those that come back when their objective has passed: they bring little, and hold
/// as much as others.
pub const LATE_LIMIT: f64 = 0.9;

/// Share of the memory up to which a generation of e times the worth for its memory goes further.
const DENSITY_BONUS: f64 = 0.12;

/// Share of the memory up to which short generations are let in.
pub const SHORT_LIMIT: f64 = 1.4;

/// Share of the memory that is kept for those of the first rank.
pub const FIRST_RANK_RESERVE: f64 = 0.05;

/// Share by which the memory of all engines may be fuller than that of the one engine: it counts
/// what runs on engines that leave, part of which ends by itself.
const SERVICE_TOLERANCE: f64 = 0.05;

/// Answers that are expected to be no longer are short.
pub const SHORT_TOKENS: u64 = 64;

/// Worth that every generation has, against one of the mean size of its kind, as the users count.
const BASE_VALUE: f64 = 0.3;

/// Tokens of a prompt that count as much as one of the answer in a generation's size, as the users
/// count.
const ANSWER_TOKEN_SIZE: f64 = 10.0;

/// Tokens of a prompt that are read in the time in which one of an answer is made; engines read 14
/// in a millisecond and make one in about ten.
const PROMPT_TOKENS_PER_ANSWER_TOKEN: f64 = 140.0;

/// Weight of the newest generation in what is typical of its kind: some hundred count.
const TYPICAL_WEIGHT: f64 = 0.01;

/// Times its typical size or holding that a generation counts for at most in what is typical, so
/// that a caller who states absurd sizes decides nothing for others.
const MAX_RATIO: f64 = 8.0;

/// Generations in a row that hold less by [`MAX_RATIO`] after which the typical one is learned anew.
const FAR_BELOW_LIMIT: u8 = 3;

/// Kinds whose typical generation is remembered.
const MAX_KINDS: usize = 4_096;

/// Time that a generation takes to its first event on an engine that has room: a prompt is read in
/// some 200 ms, and half of that again beside others.
const FIRST_EVENT: Duration = Duration::from_millis(400);

/// Whether a generation was refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalKind {
    /// It was not.
    First,
    /// It was, and can still begin within its objective.
    AgainInTime,
    /// It was, and its objective has passed.
    AgainLate,
}

impl ArrivalKind {
    /// Tells by the time since the caller was refused, if it was.
    #[must_use]
    pub fn after(waited: Option<Duration>, objective: Duration) -> Self {
        match waited {
            None => Self::First,
            Some(waited) if waited + FIRST_EVENT < objective => Self::AgainInTime,
            Some(_) => Self::AgainLate,
        }
    }
}

/// A generation that asks to be let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Tokens that its answer is expected to have.
    pub expected_tokens: u64,
    /// Worth for the memory that it holds, as the logarithm against its kind.
    pub value_density: f64,
    /// Whether it was refused before.
    pub coming: ArrivalKind,
    /// Urgency that the operator gave its workspace or route; 0 goes first.
    pub rank: u8,
}

/// Memory that would be spoken for with one more generation, as shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryUsage {
    /// On the engine that suits it best.
    pub engine: f64,
    /// On all engines of the service.
    pub service: f64,
}

/// Whether a generation is let in.
#[must_use]
pub fn is_admitted(request: &AdmissionRequest, fill: &MemoryUsage) -> bool {
    let limit = if request.expected_tokens <= SHORT_TOKENS {
        SHORT_LIMIT
    } else {
        let base = match request.coming {
            ArrivalKind::First => LONG_LIMIT,
            ArrivalKind::AgainInTime => RETURNING_LIMIT,
            ArrivalKind::AgainLate => LATE_LIMIT,
        };
        base + DENSITY_BONUS * request.value_density.clamp(-1.0, 1.0)
    };
    let first_rank_reserve = if request.rank == 0 {
        FIRST_RANK_RESERVE
    } else {
        0.0
    };
    fill.engine.max(fill.service - SERVICE_TOLERANCE) <= limit + first_rank_reserve
}

/// When there is likely to be room, if `fill` of all memory is spoken for.
///
/// Some engine ends a run within a fraction of a second, however full all are, and a caller who comes
/// back soon is still in time for its objective.
#[must_use]
pub fn capacity_expected_after(fill: f64) -> Duration {
    const FREE_SECONDS: f64 = 0.3;
    const SECONDS_BEYOND: f64 = 0.3;
    let beyond = (fill - 0.9).clamp(0.0, 1.0);
    Duration::from_secs_f64(FREE_SECONDS + beyond * SECONDS_BEYOND)
}

/// The mean generation of a kind.
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

    /// Learns from one more; the first ones count equally.
    ///
    /// Where several in a row hold far less, what was taken for typical was not.
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

/// What generations of each kind typically bring and hold.
#[derive(Clone, Debug, Default)]
pub struct ValueDensities {
    kinds: HashMap<Name, Typical>,
}

impl ValueDensities {
    /// Worth of a generation for the memory that it is expected to hold, as the logarithm against
    /// the mean of its kind; learns the kind from it.
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
