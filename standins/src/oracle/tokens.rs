//! Whether the tokens of an answer come once, in order, of one generation.

use super::runs::Runs;
use crate::load::{TokenCheck, Violation};

/// What is wrong with the tokens of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenBreach {
    /// They break a rule by themselves.
    Sequence(Violation),
    /// No engine ran the generation that they say they are of.
    UnknownGeneration,
}

/// Checks the text of an answer to the request with that mark, and that it has
/// `whole` tokens, where it is said to be whole.
///
/// # Errors
///
/// The first flaw.
pub fn check_tokens(
    runs: &Runs,
    mark: &str,
    text: &str,
    complete_tokens: Option<u64>,
) -> Result<(), TokenBreach> {
    let mut checker = TokenCheck::new(mark);
    checker.text(text);
    if let Some(expected) = complete_tokens {
        checker.complete(expected);
    }
    if let Some(violation) = checker.violation() {
        return Err(TokenBreach::Sequence(violation));
    }
    match text.split('.').next() {
        Some(nonce) if !nonce.is_empty() && !runs.has_generation(mark, nonce) => {
            Err(TokenBreach::UnknownGeneration)
        }
        _ => Ok(()),
    }
}
