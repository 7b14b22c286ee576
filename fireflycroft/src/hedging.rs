//! Tries of one call that overlap, so that one that hangs holds nothing up.
//!
//! A connection may go silent for good while its peer serves others, and a peer
//! that is away may be back long before a call to it runs into its time limit.
//! A short limit is no answer either: a long page takes its time when a whole
//! fleet reads it. So a try is judged by its progress. While bytes come, nothing
//! else is started; when none have come for a while, another try begins beside
//! it, and whichever is whole first wins.
//!
//! With a limit of 5 s on each try, a fleet that started anew in an outage of the
//! store served nobody for 3.2 s after the store was back.

use crate::time::Time;
use std::time::Duration;

/// Tries of one call at a time: two may hang beside one that is answered, and a page of a megabyte
/// is held no more than three times.
pub const MAX_HEDGED_ATTEMPTS: usize = 3;

/// Factor by which each further try waits longer than the one before.
const HEDGE_DELAY_GROWTH: f64 = 1.5;

/// One of the tries of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(u64);

/// What is to be done about a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeStep {
    /// Begin another try.
    Start(AttemptId),
    /// Drop a try that hangs, to make room for another.
    Abandon(AttemptId),
    /// Wait for an answer until then.
    Wait(Time),
    /// Nothing came for too long, and no further try is allowed.
    GiveUp,
}

/// The tries of one call.
#[derive(Clone, Debug)]
pub struct HedgedCall {
    progress_timeout: Duration,
    max_delay: Duration,
    delay: Duration,
    max_attempts: usize,
    running: Vec<(AttemptId, Time)>,
    started: u64,
}

impl HedgedCall {
    /// Tries that begin `patience` after the last sign of progress, further ones later, up to
    /// `longest_gap`.
    #[must_use]
    pub fn new(progress_timeout: Duration, max_delay: Duration) -> Self {
        Self {
            progress_timeout,
            max_delay: max_delay.max(progress_timeout),
            delay: progress_timeout,
            max_attempts: MAX_HEDGED_ATTEMPTS,
            running: Vec::new(),
            started: 0,
        }
    }

    /// A single try, given up after `patience` without progress.
    #[must_use]
    pub fn single(progress_timeout: Duration) -> Self {
        Self {
            max_attempts: 1,
            ..Self::new(progress_timeout, progress_timeout)
        }
    }

    /// Decides what to do now.
    pub fn next(&mut self, now: Time) -> HedgeStep {
        let Some(progress_at) = self.running.iter().map(|(_, at)| *at).max() else {
            return self.start(now);
        };
        if now.since(progress_at) < self.delay {
            return HedgeStep::Wait(progress_at + self.delay);
        }
        if self.max_attempts == 1 {
            return HedgeStep::GiveUp;
        }
        if self.running.len() < self.max_attempts {
            return self.start(now);
        }
        let (oldest, _) = self.running.remove(0);
        HedgeStep::Abandon(oldest)
    }

    fn start(&mut self, now: Time) -> HedgeStep {
        if self.started > 0 {
            self.delay = self.delay.mul_f64(HEDGE_DELAY_GROWTH).min(self.max_delay);
        }
        self.started += 1;
        let id = AttemptId(self.started);
        self.running.push((id, now));
        HedgeStep::Start(id)
    }

    /// Notes that bytes came for a try.
    pub fn record_progress(&mut self, now: Time, id: AttemptId) {
        self.delay = self.progress_timeout;
        if let Some((_, at)) = self.running.iter_mut().find(|(i, _)| *i == id) {
            *at = now;
        }
    }

    /// Notes that a try has failed; true when it was the last one running.
    pub fn record_failure(&mut self, id: AttemptId) -> bool {
        self.running.retain(|(i, _)| *i != id);
        self.running.is_empty()
    }

    /// Tries begun so far.
    #[must_use]
    pub const fn started(&self) -> u64 {
        self.started
    }
}
