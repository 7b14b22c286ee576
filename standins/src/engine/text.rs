//! The text of tokens, from which an oracle derives the origin of each.

use std::sync::Arc;

use crate::hash;

/// Words of readable output.
const WORDS: [&str; 32] = [
    "the",
    "archive",
    "shows",
    "a",
    "record",
    "of",
    "former",
    "employer",
    "and",
    "its",
    "legal",
    "successor",
    "in",
    "this",
    "district",
    "with",
    "page",
    "marked",
    "clear",
    "after",
    "review",
    "we",
    "found",
    "frames",
    "that",
    "need",
    "care",
    "before",
    "any",
    "scan",
    "was",
    "made",
];

/// The format of the tokens of one generation.
#[derive(Clone, Debug)]
pub(super) struct TokenText {
    /// Random number of the generation.
    pub(super) nonce: u32,
    /// Tag set by the caller.
    pub(super) mark: Option<Arc<str>>,
    /// Whether tokens are words instead of checkable text.
    pub(super) words: bool,
}

impl TokenText {
    /// Returns the text of the token at `index`.
    pub(super) fn token(&self, index: u64) -> String {
        let nonce = self.nonce;
        match &self.mark {
            _ if self.words => self.word(index),
            Some(mark) => format!("{nonce:08x}.{mark}.{index} "),
            None => format!("{nonce:08x}.{index} "),
        }
    }

    /// Returns the text of all tokens before `end`.
    pub(super) fn text_before(&self, end: u64) -> String {
        (0..end).map(|index| self.token(index)).collect()
    }

    fn word(&self, index: u64) -> String {
        let state = hash::extend(u64::from(self.nonce), &index.to_le_bytes());
        let word_index = (state >> 32) as usize % WORDS.len();
        format!("{} ", WORDS[word_index])
    }
}
