//! What a caller got.

use super::request::Request;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It is still in progress.
    InProgress,
    /// The whole answer came.
    Complete,
    /// The system ended it with this result code.
    Code(u32),
    /// The connection broke before anything came that one could come back to.
    Disconnected,
    /// Nothing ended it in the time that the caller had.
    TimedOut,
}

/// One request as it was sent, with all that came of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Tag in its body.
    pub mark: String,
    /// Text of the answer so far.
    pub text: String,
    /// Tokens so far.
    pub tokens: u64,
    /// How it ended.
    pub end: End,
    /// Tokens that the system says it gave, where it ended with a code.
    pub delivered: Option<u64>,
    /// Seconds after which the system says to come back.
    pub retry_after: Option<u64>,
    /// Times that the caller came back to the stream.
    pub reconnects: u32,
}

/// All that came of a request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// The request.
    pub request: Request,
    /// Its attempts, in order; the last tells how it ended.
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
    /// The attempt that tells how the request ended.
    ///
    /// # Panics
    ///
    /// When there is none, which no session leaves behind.
    #[must_use]
    pub fn last(&self) -> &Attempt {
        self.attempts.last().expect("a session has an attempt")
    }

    /// How the request ended.
    #[must_use]
    pub fn end(&self) -> &End {
        &self.last().end
    }

    /// Result code that it ended with, if it did.
    #[must_use]
    pub fn code(&self) -> Option<u32> {
        match self.end() {
            End::Code(code) => Some(*code),
            _ => None,
        }
    }

    /// Whether the whole answer came.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self.end() == End::Complete
    }
}
