//! Whether the tokens of an answer come once, in order, of one generation.

use super::runs::Runs;
use crate::load::{TokenCheck, Violation};

/// What is wrong with the tokens of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// They break a rule by themselves.
    Tokens(Violation),
    /// No engine ran the generation that they say they are of.
    NeverRan,
}

/// Checks the text of an answer to the request with that mark, and that it has
/// `whole` tokens, where it is said to be whole.
///
/// # Errors
///
/// The first flaw.
pub fn check_tokens(runs: &Runs, mark: &str, text: &str, whole: Option<u64>) -> Result<(), Flaw> {
    let mut check = TokenCheck::new(mark);
    check.push_text(text);
    if let Some(expected) = whole {
        check.complete(expected);
    }
    if let Some(violation) = check.violation() {
        return Err(Flaw::Tokens(violation));
    }
    match text.split('.').next() {
        Some(nonce) if !nonce.is_empty() && !runs.has(mark, nonce) => Err(Flaw::NeverRan),
        _ => Ok(()),
    }
}
