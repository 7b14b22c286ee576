//! What becomes of a request after each try at an upstream.
//!
//! A request is told "not run" only while that is certain: a try that may have
//! begun stays on its record. Whether one more try is allowed follows from the
//! route, from what the tries so far may have run, and from the shared budget
//! of repeats, which the caller of these functions asks.

use crate::catalog::RequestKind;

/// What came of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request left this process.
    NeverSent,
    /// The same, since the upstream may get nothing new.
    Withheld,
    /// The upstream said that it did not run the request.
    NotRun,
    /// Another upstream has the address now; it did not run the request.
    WrongInstance,
    /// The upstream answered that the request failed.
    Failed,
    /// The upstream answered with success, whole or as far as its head.
    Answered,
    /// The request was sent and no usable answer came.
    Lost,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Give the caller the answer that came.
    Relay,
    /// Tell the caller that the request was not run, and when to come back.
    RefuseNotRun,
    /// Tell the caller that the outcome is not known.
    ReportUnknown,
}

/// Tries of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: RequestKind,
    max_attempts: u32,
    sent: u32,
    may_have_run: bool,
    may_have_run_before: bool,
    unsent: u32,
}

/// Upstreams that could not be reached before the request is refused.
///
/// Each costs at most the time limit of a connection; three of them stay well
/// within the shortest objective of a plain call.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

impl Attempts {
    /// A request that was sent nowhere yet.
    #[must_use]
    pub const fn new(kind: RequestKind, max_attempts: u32) -> Self {
        Self {
            kind,
            max_attempts,
            sent: 0,
            may_have_run: false,
            may_have_run_before: false,
            unsent: 0,
        }
    }

    /// Whether an upstream may have begun the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Upstreams that the request was sent to.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Notes that a byte of the request may have reached an upstream.
    pub const fn record_sent(&mut self) {
        self.sent += 1;
        self.may_have_run_before = self.may_have_run;
        self.may_have_run = true;
    }

    /// What follows from the outcome of the try that was sent last.
    ///
    /// `budget` takes one repeat and tells whether there was one.
    pub fn next_step(
        &mut self,
        outcome: AttemptOutcome,
        budget: impl FnOnce() -> bool,
    ) -> NextStep {
        match outcome {
            AttemptOutcome::Answered => return NextStep::Relay,
            AttemptOutcome::NeverSent | AttemptOutcome::Withheld => {
                self.unsent += 1;
                if self.unsent < MAX_UNSENT_ATTEMPTS {
                    return NextStep::Retry;
                }
            }
            AttemptOutcome::NotRun | AttemptOutcome::WrongInstance => {
                self.may_have_run = self.may_have_run_before;
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost => {}
        }
        if self.may_retry(outcome) && budget() {
            return NextStep::Retry;
        }
        self.final_step(outcome)
    }

    /// Whether another upstream may be tried after this outcome, if the budget allows.
    #[must_use]
    pub const fn may_retry(&self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::WrongInstance => self.sent <= self.max_attempts,
            AttemptOutcome::NotRun => self.sent < self.max_attempts,
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                self.sent < self.max_attempts && self.kind.is_retryable()
            }
            AttemptOutcome::NeverSent | AttemptOutcome::Withheld | AttemptOutcome::Answered => {
                false
            }
        }
    }

    const fn final_step(&self, outcome: AttemptOutcome) -> NextStep {
        match outcome {
            AttemptOutcome::Failed | AttemptOutcome::Answered => NextStep::Relay,
            _ if self.may_have_run => NextStep::ReportUnknown,
            _ => NextStep::RefuseNotRun,
        }
    }
}
