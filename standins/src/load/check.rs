//! Checks that an answer is complete: each token once, in order, of one generation.

use serde::{Deserialize, Serialize};

/// A fault in the tokens of an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A token isn't of the form `nonce.mark.index`.
    Malformed,
    /// The answer mixes tokens of two generations.
    OtherGeneration,
    /// A token belongs to another request.
    OtherRequest,
    /// A token arrived twice or out of order.
    Repeated,
    /// A token is missing before a later one.
    Gap,
    /// The answer ended as complete with an unexpected number of tokens.
    WrongLength,
}

/// Checks the tokens of one answer as they arrive.
#[derive(Debug)]
pub struct TokenCheck {
    mark: String,
    nonce: Option<String>,
    next: u64,
    violation: Option<Violation>,
}

impl TokenCheck {
    /// Creates a check of an answer whose tokens carry `mark`.
    #[must_use]
    pub fn new(mark: impl Into<String>) -> Self {
        Self {
            mark: mark.into(),
            nonce: None,
            next: 0,
            violation: None,
        }
    }

    /// Checks text made of whole tokens and returns their number.
    pub fn push_text(&mut self, text: &str) -> u64 {
        let mut tokens = 0;
        for token in text.split_whitespace() {
            tokens += 1;
            if let Err(violation) = self.check_token(token) {
                self.violation.get_or_insert(violation);
            }
        }
        tokens
    }

    /// Checks the length of an answer that ended as complete.
    pub fn complete(&mut self, expected: u64) {
        if self.next != expected {
            self.violation.get_or_insert(Violation::WrongLength);
        }
    }

    /// Returns the first violation, if any.
    #[must_use]
    pub fn violation(&self) -> Option<Violation> {
        self.violation
    }

    fn check_token(&mut self, token: &str) -> Result<(), Violation> {
        let (nonce, mark, index) = split_token(token).ok_or(Violation::Malformed)?;
        let known = self.nonce.get_or_insert_with(|| nonce.to_owned());
        if mark != self.mark {
            return Err(Violation::OtherRequest);
        }
        if nonce != known {
            return Err(Violation::OtherGeneration);
        }
        if index < self.next {
            return Err(Violation::Repeated);
        }
        let gap = index > self.next;
        self.next = index + 1;
        if gap { Err(Violation::Gap) } else { Ok(()) }
    }
}

/// Splits a token into nonce, mark and index.
fn split_token(token: &str) -> Option<(&str, &str, u64)> {
    let (nonce, rest) = token.split_once('.')?;
    let (mark, index) = rest.rsplit_once('.')?;
    Some((nonce, mark, index.parse().ok()?))
}
