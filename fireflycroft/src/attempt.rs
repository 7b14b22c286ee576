//! Decides the next step after each attempt to send a request to an upstream.
//!
//! A request is refused as "not run" only while that is certain: an attempt that may have started
//! is never forgotten. Whether another attempt is allowed depends on the kind of request, on which
//! attempts may have run, and on the shared retry budget, which the caller of these functions
//! consults.

use crate::catalog::RequestKind;

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// No byte of the request left this process.
    NeverSent,
    /// Nothing was sent, because the upstream may receive no new requests.
    Withheld,
    /// The upstream stated that the request did not run.
    NotRun,
    /// Another upstream has the address now; the request did not run.
    WrongInstance,
    /// The upstream reported that the request failed.
    Failed,
    /// The upstream sent a successful response, or at least its head.
    Answered,
    /// The request was sent and no usable response arrived.
    Lost,
}

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Relay the response to the caller.
    Relay,
    /// Report to the caller that the request was not run, with a time to retry.
    RefuseNotRun,
    /// Report to the caller that the outcome is unknown.
    ReportUnknown,
}

/// Attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    kind: RequestKind,
    limit: u32,
    sent: u32,
    may_have_run: bool,
    may_have_run_before: bool,
    unsent: u32,
}

/// Unreachable upstreams after which a request is refused.
///
/// Each costs at most one connection timeout; three of them stay well within the shortest objective
/// of a plain call.
const MAX_UNSENT_ATTEMPTS: u32 = 3;

impl Attempts {
    /// Creates the state of a request before its first attempt.
    #[must_use]
    pub const fn new(kind: RequestKind, limit: u32) -> Self {
        Self {
            kind,
            limit,
            sent: 0,
            may_have_run: false,
            may_have_run_before: false,
            unsent: 0,
        }
    }

    /// Returns whether an upstream may have started the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the number of upstreams the request was sent to.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Records that a byte of the request may have reached an upstream.
    pub const fn record_sent(&mut self) {
        self.sent += 1;
        self.may_have_run_before = self.may_have_run;
        self.may_have_run = true;
    }

    /// Returns the next step after the outcome of the latest attempt.
    ///
    /// `budget` takes one retry from the budget and returns whether one was available.
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

    /// Returns whether this outcome permits another attempt, budget permitting.
    #[must_use]
    pub const fn may_retry(&self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::WrongInstance => self.sent <= self.limit,
            AttemptOutcome::NotRun => self.sent < self.limit,
            AttemptOutcome::Failed | AttemptOutcome::Lost => {
                self.sent < self.limit && self.kind.is_retryable()
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
