//! Checks whether a request met its brand's objective, for the burn report.
//!
//! Measured where the entry delivers tokens to the HTTP front end: a request meets its objective if
//! it ended properly, its first token arrived in time, and 95 % of its tokens followed the previous
//! one in time. Errors of the caller are not counted at all.

use crate::code::Code;
use crate::ids::Name;
use crate::inventory::Objective;
use crate::time::Time;
use crate::work::Priority;
use std::time::Duration;

/// A finished request, for counting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeasuredRequest {
    /// Brand of the caller's workspace.
    pub brand: Name,
    /// Priority of the request.
    pub priority: Priority,
    /// Result code.
    pub code: Code,
    /// Whether it met its objective; `None` where none applies.
    pub met: Option<bool>,
}

/// Latency limits of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LatencyGoal {
    first_token: Duration,
    between_tokens: Duration,
}

/// Late tokens allowed, in percent.
const MAX_LATE_PERCENT: u64 = 5;

impl LatencyGoal {
    pub(crate) const fn of(objective: &Objective) -> Self {
        Self {
            first_token: Duration::from_millis(objective.first_token_ms),
            between_tokens: Duration::from_millis(objective.between_tokens_ms),
        }
    }
}

/// Token timing of one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenTiming {
    first_token: Option<Duration>,
    last_at: Time,
    tokens: u64,
    late: u64,
}

impl TokenTiming {
    /// Records tokens delivered at `now`.
    pub(crate) fn record(
        &mut self,
        now: Time,
        received: Time,
        count: u64,
        goal: Option<LatencyGoal>,
    ) {
        let Some(goal) = goal.filter(|_| count > 0) else {
            return;
        };
        if self.first_token.is_none() {
            self.first_token = Some(now.since(received));
        } else {
            self.late += u64::from(now.since(self.last_at) > goal.between_tokens);
        }
        self.tokens += count;
        self.last_at = now;
    }

    fn meets(&self, goal: LatencyGoal) -> bool {
        let is_first_in_time = self
            .first_token
            .is_none_or(|first_token| first_token <= goal.first_token);
        is_first_in_time && self.late * 100 <= self.tokens * MAX_LATE_PERCENT
    }
}

/// Returns whether a finished request met its objective.
pub(crate) fn met_objective(
    code: Code,
    timing: &TokenTiming,
    goal: Option<LatencyGoal>,
) -> Option<bool> {
    let goal = goal?;
    match code {
        Code::Ok => Some(timing.meets(goal)),
        code if is_caller_error(code) => None,
        _ => Some(false),
    }
}

/// Returns whether a code reports an error of the caller.
const fn is_caller_error(code: Code) -> bool {
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
