//! Outcome of a caller's request and of its attempts.

use super::request::Request;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Still in progress.
    InProgress,
    /// The complete answer arrived.
    Complete,
    /// Ended by the system with this result code.
    Code(u32),
    /// The connection broke before an event that the caller could resume after, or an event was
    /// unreadable.
    Disconnected,
    /// Not ended within the caller's timeout.
    TimedOut,
}

/// One sending of a request, and its result.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Tag in the body.
    pub mark: String,
    /// Text of the answer received so far.
    pub text: String,
    /// Tokens received so far.
    pub tokens: u64,
    /// State of the attempt.
    pub end: End,
    /// Delivered tokens reported by the system in an error.
    pub delivered: Option<u64>,
    /// Seconds that the system asked the caller to wait before a retry.
    pub retry_after: Option<u64>,
    /// Reconnections to the stream.
    pub reconnects: u32,
}

/// Outcome of a request over all its attempts.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// The request.
    pub request: Request,
    /// Attempts in order; the last one holds the final result.
    pub attempts: Vec<Attempt>,
}

impl Attempt {
    pub(super) fn new(mark: String) -> Self {
        Self {
            mark,
            text: String::new(),
            tokens: 0,
            end: End::InProgress,
            delivered: None,
            retry_after: None,
            reconnects: 0,
        }
    }

    pub(super) fn add(&mut self, text: &str) {
        self.text.push_str(text);
        self.tokens += text.split_whitespace().count() as u64;
    }
}

impl RequestOutcome {
    /// Returns the attempt with the final result.
    ///
    /// # Panics
    ///
    /// Panics when there is no attempt; a session always has one.
    #[must_use]
    pub fn last(&self) -> &Attempt {
        self.attempts.last().expect("a session has an attempt")
    }

    /// Returns how the request ended.
    #[must_use]
    pub fn end(&self) -> &End {
        &self.last().end
    }

    /// Returns the result code that ended the request, if any.
    #[must_use]
    pub fn code(&self) -> Option<u32> {
        match self.end() {
            End::Code(code) => Some(*code),
            _ => None,
        }
    }

    /// Returns whether the complete answer arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self.end() == End::Complete
    }
}
