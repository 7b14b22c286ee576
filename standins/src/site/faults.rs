//! Faults of an upstream's answers.

use std::time::Duration;

/// Faults of an upstream's answers to requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFault {
    /// No fault.
    #[default]
    None,
    /// Rejects requests as not run.
    Reject,
    /// Runs requests and answers 500.
    Error,
    /// Runs requests and resets the connection.
    DropAnswer,
    /// Resets the connection in the middle of the fifth event, or of the body.
    Truncate,
    /// Closes the connection in the middle of the fifth event, or of the body.
    CutInEvent,
    /// Closes the connection after the head of a stream.
    NoEvents,
    /// Sends another request's answer after each answer.
    Duplicate,
    /// Crashes at the start of a run.
    Crash,
    /// Never answers.
    Hang,
    /// Takes a second to read the prompt before it answers.
    Slow,
    /// Takes this long to do so.
    SlowBy(Duration),
    /// Begins a stream's answer only when this fault is taken back.
    HoldHead,
    /// Sends events without ids.
    NoIds,
    /// Stops runs at the deadlines that it was given, a stream's with the last event that can come before, and ends their
    /// answers in order.
    StopAtDeadline,
    /// Loses the rest of a stream's first answer after this many events, and works on to the end unless it is stopped.
    LoseRest(u64, Loss),
    /// Loses the answers of runs that go on after an event, before their heads, and works on to the end unless stopped.
    LoseResumed(Loss),
}

/// How a connection ends on which the rest of an answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// By a reset.
    Reset,
    /// In order, before the end of the body.
    Close,
}
