//! Hedged attempts of one call, so that a hung connection does not delay it.
//!
//! A connection may hang for good while its peer serves others, and an unreachable peer may be back
//! long before a call to it times out. A short timeout is no solution either: a long page takes
//! time when a whole fleet reads it. Attempts are therefore timed by their progress. While bytes
//! arrive, no other attempt starts; after a period without any, another one starts in parallel, and
//! the first complete response is used. An attempt whose bytes have no end is abandoned all the same.
//!
//! With a fixed timeout of 5 s per attempt, a fleet restarted during an outage of the store served
//! nobody for 3.2 s after the store was back.

use crate::time::Time;
use std::time::Duration;

/// Concurrent attempts of one call: two may hang beside one that is answered, and a page of a
/// megabyte is held at most three times.
pub const MAX_HEDGED_ATTEMPTS: usize = 3;

/// Longest time after which an attempt is abandoned although bytes arrive.
const MAX_ATTEMPT_TIME: Duration = Duration::from_mins(1);

/// Factor by which the delay grows with each further attempt.
const HEDGE_DELAY_GROWTH: f64 = 1.5;

/// Identifier of an attempt within its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u64);

/// Next step of a hedged call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeStep {
    /// Start another attempt.
    Start(AttemptId),
    /// Abandon a hung attempt, to make room for another one.
    Abandon(AttemptId),
    /// Wait for a response until this time.
    Wait(Time),
    /// Fail the call: no progress or no end within the timeouts, and no further attempt is allowed.
    GiveUp,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
struct RunningAttempt {
    id: AttemptId,
    /// Time at which it is abandoned although bytes arrive.
    until: Time,
    progress_at: Time,
}

/// Attempts of one call.
#[derive(Clone, Debug)]
pub struct HedgedCall {
    progress_timeout: Duration,
    max_delay: Duration,
    delay: Duration,
    max_attempts: usize,
    /// Attempts that may be started in all.
    max_started: u64,
    /// Time after which the next attempt is abandoned although bytes arrive.
    attempt_time: Duration,
    running: Vec<RunningAttempt>,
    started: u64,
}

impl HedgedCall {
    /// Creates a call that starts another attempt `progress_timeout` after the last progress, and
    /// further ones after longer delays, up to `max_delay`.
    #[must_use]
    pub fn new(progress_timeout: Duration, max_delay: Duration) -> Self {
        Self {
            progress_timeout,
            max_delay: max_delay.max(progress_timeout),
            delay: progress_timeout,
            max_attempts: MAX_HEDGED_ATTEMPTS,
            max_started: u64::MAX,
            attempt_time: MAX_ATTEMPT_TIME,
            running: Vec::new(),
            started: 0,
        }
    }

    /// Creates a call with a single attempt that fails after `progress_timeout` without progress.
    #[must_use]
    pub fn single(progress_timeout: Duration) -> Self {
        Self::new(progress_timeout, progress_timeout).with_max_started(1)
    }

    /// Limits the attempts that are started; the call fails when the last one makes no progress.
    #[must_use]
    pub fn with_max_started(self, max_started: u64) -> Self {
        Self {
            max_started,
            ..self
        }
    }

    /// Abandons an attempt that has no end after this time, and each further one after twice as long.
    #[must_use]
    pub fn with_first_time(self, attempt_time: Duration) -> Self {
        Self {
            attempt_time: attempt_time.min(MAX_ATTEMPT_TIME),
            ..self
        }
    }

    /// Returns the next step at `now`.
    pub fn next(&mut self, now: Time) -> HedgeStep {
        if let Some(at) = self.running.iter().position(|a| now >= a.until) {
            self.attempt_time = (self.attempt_time * 2).min(MAX_ATTEMPT_TIME);
            return HedgeStep::Abandon(self.running.remove(at).id);
        }
        let progress_at = self.running.iter().map(|a| a.progress_at).max();
        let until = self.running.iter().map(|a| a.until).min();
        if let (Some(progress_at), Some(until)) = (progress_at, until)
            && now.since(progress_at) < self.delay
        {
            return HedgeStep::Wait((progress_at + self.delay).min(until));
        }
        if self.started >= self.max_started {
            return HedgeStep::GiveUp;
        }
        if self.running.len() < self.max_attempts {
            return self.start(now);
        }
        HedgeStep::Abandon(self.running.remove(0).id)
    }

    fn start(&mut self, now: Time) -> HedgeStep {
        if self.started > 0 {
            self.delay = self.delay.mul_f64(HEDGE_DELAY_GROWTH).min(self.max_delay);
        }
        self.started += 1;
        let id = AttemptId(self.started);
        self.running.push(RunningAttempt {
            id,
            until: now + self.attempt_time,
            progress_at: now,
        });
        HedgeStep::Start(id)
    }

    /// Records that an attempt received bytes.
    pub fn record_progress(&mut self, now: Time, id: AttemptId) {
        self.delay = self.progress_timeout;
        if let Some(attempt) = self.running.iter_mut().find(|a| a.id == id) {
            attempt.progress_at = now;
        }
    }

    /// Records a failed attempt; returns true if it was the last one running.
    pub fn record_failure(&mut self, id: AttemptId) -> bool {
        self.running.retain(|a| a.id != id);
        self.running.is_empty()
    }

    /// Returns the number of attempts started.
    #[must_use]
    pub const fn started(&self) -> u64 {
        self.started
    }
}
