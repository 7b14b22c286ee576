//! Whether a request met its brand's objective, for the burn report.
//!
//! Counted where the entry hands tokens to the front: a request meets its
//! objective when it ended in good order, its first token came in time, and 95
//! in 100 of its tokens came in time after the one before. What the caller
//! itself got wrong counts neither way.

use crate::code::Code;
use crate::ids::Name;
use crate::inventory::Objective;
use crate::time::Time;
use crate::work::Priority;
use std::time::Duration;

/// One request that has ended, for counting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Measured {
    /// Brand of the workspace that asked.
    pub brand: Name,
    /// How urgent it was.
    pub priority: Priority,
    /// Result.
    pub code: Code,
    /// Whether it met its objective; `None` where none applies.
    pub met: Option<bool>,
}

/// What is asked of one request's pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Goal {
    first: Duration,
    between: Duration,
}

/// Late tokens allowed in a hundred.
const LATE_IN_HUNDRED: u64 = 5;

impl Goal {
    pub(crate) const fn of(objective: &Objective) -> Self {
        Self {
            first: Duration::from_millis(objective.first_token_ms),
            between: Duration::from_millis(objective.between_tokens_ms),
        }
    }
}

/// Pace of one request's tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    first: Option<Duration>,
    last: Time,
    gaps: u64,
    late: u64,
}

impl Pace {
    /// Notes tokens that were handed on at `now`.
    pub(crate) fn note(&mut self, now: Time, received: Time, count: u64, goal: Option<Goal>) {
        let Some(goal) = goal.filter(|_| count > 0) else {
            return;
        };
        if self.first.is_none() {
            self.first = Some(now.since(received));
        } else {
            self.late += u64::from(now.since(self.last) > goal.between);
        }
        self.gaps += count;
        self.last = now;
    }

    fn meets(&self, goal: Goal) -> bool {
        let first = self.first.is_none_or(|first| first <= goal.first);
        first && self.late * 100 <= self.gaps * LATE_IN_HUNDRED
    }
}

/// Whether a request that ended so met its goal.
pub(crate) fn meets(code: Code, pace: &Pace, goal: Option<Goal>) -> Option<bool> {
    let goal = goal?;
    match code {
        Code::Ok => Some(pace.meets(goal)),
        code if is_the_callers(code) => None,
        _ => Some(false),
    }
}

/// Codes that the caller brought upon itself.
const fn is_the_callers(code: Code) -> bool {
    matches!(
        code,
        Code::BadRequest
            | Code::BodyTooLarge
            | Code::HeadersTooLarge
            | Code::KeyRefused
            | Code::ModelUnknown
            | Code::ServiceUnknown
            | Code::IdempotencyKeyRequired
            | Code::IdempotencyKeyReused
            | Code::QuotaExceeded
            | Code::Quarantined
            | Code::PromptTooLong
            | Code::Withdrawn
            | Code::AlreadyRan
            | Code::Cancelled
            | Code::AnswerTooLarge
            | Code::PartGone
            | Code::StreamUnknown
    )
}
