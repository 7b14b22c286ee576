//! Checks that the tokens of an answer come once, in order, from one generation.

use super::runs::Runs;
use crate::load::{TokenCheck, Violation};

/// Violated guarantees about the tokens of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenBreach {
    /// The token sequence itself is invalid.
    Sequence(Violation),
    /// No engine ran the generation that the tokens name.
    UnknownGeneration,
}

/// Checks the text of an answer to the request with this mark, and its number of
/// tokens when `complete_tokens` is given.
///
/// # Errors
///
/// Returns the first violation.
pub fn check_tokens(
    runs: &Runs,
    mark: &str,
    text: &str,
    complete_tokens: Option<u64>,
) -> Result<(), TokenBreach> {
    let mut checker = TokenCheck::new(mark);
    checker.push_text(text);
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
