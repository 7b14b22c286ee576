//! What becomes of a request after each try at an upstream.
//!
//! A request is told "not run" only while that is certain: a try that may have
//! begun stays on its record. Whether one more try is allowed follows from the
//! route, from what the tries so far may have run, and from the shared budget
//! of repeats, which the caller of these functions asks.

use crate::catalog::Repeat;

/// What came of one try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
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
    TryAgain,
    /// Give the caller the answer that came.
    Relay,
    /// Tell the caller that the request was not run, and when to come back.
    RefuseNotRun,
    /// Tell the caller that the outcome is not known.
    TellUnknown,
}

/// Tries of one request.
#[derive(Clone, Copy, Debug)]
pub struct Tries {
    repeat: Repeat,
    max_attempts: u32,
    sent: u32,
    may_have_run: bool,
    might_have_before: bool,
    unsent: u32,
}

/// Upstreams that could not be reached before the request is refused.
///
/// Each costs at most the time limit of a connection; three of them stay well
/// within the shortest objective of a plain call.
const MAX_UNSENT: u32 = 3;

impl Tries {
    /// A request that was sent nowhere yet.
    #[must_use]
    pub const fn new(repeat: Repeat, max_attempts: u32) -> Self {
        Self {
            repeat,
            max_attempts,
            sent: 0,
            may_have_run: false,
            might_have_before: false,
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
    pub const fn note_sent(&mut self) {
        self.sent += 1;
        self.might_have_before = self.may_have_run;
        self.may_have_run = true;
    }

    /// What follows from the outcome of the try that was sent last.
    ///
    /// `budget` takes one repeat and tells whether there was one.
    pub fn after(&mut self, outcome: TryOutcome, budget: impl FnOnce() -> bool) -> NextStep {
        match outcome {
            TryOutcome::Answered => return NextStep::Relay,
            TryOutcome::NeverSent | TryOutcome::Withheld => {
                self.unsent += 1;
                if self.unsent < MAX_UNSENT {
                    return NextStep::TryAgain;
                }
            }
            TryOutcome::NotRun | TryOutcome::WrongInstance => {
                self.may_have_run = self.might_have_before;
            }
            TryOutcome::Failed | TryOutcome::Lost => {}
        }
        if self.may_try_again(outcome) && budget() {
            return NextStep::TryAgain;
        }
        self.end(outcome)
    }

    /// Whether another upstream may be tried after this outcome, if the budget allows.
    #[must_use]
    pub const fn may_try_again(&self, outcome: TryOutcome) -> bool {
        match outcome {
            TryOutcome::WrongInstance => self.sent <= self.max_attempts,
            TryOutcome::NotRun => self.sent < self.max_attempts,
            TryOutcome::Failed | TryOutcome::Lost => {
                self.sent < self.max_attempts && self.repeat.may_run_again()
            }
            TryOutcome::NeverSent | TryOutcome::Withheld | TryOutcome::Answered => false,
        }
    }

    const fn end(&self, outcome: TryOutcome) -> NextStep {
        match outcome {
            TryOutcome::Failed | TryOutcome::Answered => NextStep::Relay,
            _ if self.may_have_run => NextStep::TellUnknown,
            _ => NextStep::RefuseNotRun,
        }
    }
}
