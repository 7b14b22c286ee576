//! Checking that an answer is whole: its tokens once, in order, of one generation.

use serde::{Deserialize, Serialize};

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A token isn't of the checked form.
    Malformed,
    /// Tokens of two generations in one answer.
    OtherGeneration,
    /// A token of somebody else's request.
    OtherRequest,
    /// A token came twice.
    Repeated,
    /// A token is missing before a later one.
    Gap,
    /// The answer says it is complete, with fewer or more tokens than it has.
    WrongLength,
}

/// Follows the tokens of one answer.
#[derive(Debug)]
pub struct TokenCheck {
    mark: String,
    nonce: Option<String>,
    next: u64,
    violation: Option<Violation>,
}

impl TokenCheck {
    /// Checks an answer whose tokens bear `mark`.
    #[must_use]
    pub fn new(mark: impl Into<String>) -> Self {
        Self {
            mark: mark.into(),
            nonce: None,
            next: 0,
            violation: None,
        }
    }

    /// Takes in text that holds any number of whole tokens; returns how many.
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

    /// Takes in the end of an answer that says it is complete.
    pub fn complete(&mut self, expected: u64) {
        if self.next != expected {
            self.violation.get_or_insert(Violation::WrongLength);
        }
    }

    /// The first thing wrong, if any.
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

/// The nonce, mark and index of a token.
fn split_token(token: &str) -> Option<(&str, &str, u64)> {
    let (nonce, rest) = token.split_once('.')?;
    let (mark, index) = rest.rsplit_once('.')?;
    Some((nonce, mark, index.parse().ok()?))
}
