//! Difference between two versions of a text.
//!
//! A configuration has hundreds of kilobytes, and its next version differs in a few places, so
//! entries send each other only the difference. The old text is indexed by aligned blocks; where
//! one of them occurs in the new text, the longest match is copied, and only the text between
//! matches is sent.

use crate::ids::Digest;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Size in bytes of the blocks used to find matches.
const BLOCK_BYTES: usize = 32;

/// Positions of one block in the old text that are compared for the longest match.
const MAX_BLOCK_POSITIONS: usize = 8;

/// Part of the new text, as a divisor, that a change may take; a larger one saves little.
const MAX_SIZE_DIVISOR: usize = 4;

/// Estimated overhead of an encoded step beside its text, in bytes.
const STEP_OVERHEAD_BYTES: usize = 32;

/// Step in building the new text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
enum Step {
    /// Copies bytes of the old text.
    Copy { from: usize, len: usize },
    /// Adds text that is not in the old one.
    Add(String),
}

/// Steps that turn one text into another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TextChange {
    steps: Vec<Step>,
    /// Digest of the new text, in hexadecimal.
    digest: String,
}

impl TextChange {
    /// Returns the change from `old` to `new`, or `None` if it would save little.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Option<Self> {
        let found_matches = find_matches(old.as_bytes(), new.as_bytes());
        let mut steps = Vec::new();
        let mut done = 0;
        let mut added = 0;
        for matched in found_matches {
            // A match may begin or end inside a character, which can't be sent by itself.
            let gap = new.get(done..matched.at)?;
            if !gap.is_empty() {
                added += gap.len();
                steps.push(Step::Add(gap.to_owned()));
            }
            let (from, len) = (matched.from, matched.len);
            steps.push(Step::Copy { from, len });
            done = matched.at + len;
        }
        let rest = new.get(done..)?;
        if !rest.is_empty() {
            steps.push(Step::Add(rest.to_owned()));
        }
        let encoded_len = added + rest.len() + steps.len() * STEP_OVERHEAD_BYTES;
        let is_worthwhile = encoded_len * MAX_SIZE_DIVISOR <= new.len();
        is_worthwhile.then(|| Self {
            steps,
            digest: digest_of(new.as_bytes()),
        })
    }

    /// Returns the new text, or `None` if the change was not made from `old`.
    #[must_use]
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut new = Vec::new();
        for step in &self.steps {
            match step {
                Step::Copy { from, len } => {
                    let end = from.checked_add(*len)?;
                    new.extend_from_slice(old.as_bytes().get(*from..end)?);
                }
                Step::Add(text) => new.extend_from_slice(text.as_bytes()),
            }
        }
        if digest_of(&new) != self.digest {
            return None;
        }
        String::from_utf8(new).ok()
    }
}

/// Bytes of the new text at `at` that equal those of the old one at `from`.
#[derive(Clone, Copy)]
struct Match {
    at: usize,
    from: usize,
    len: usize,
}

fn find_matches(old: &[u8], new: &[u8]) -> Vec<Match> {
    let positions = index_blocks(old);
    let mut found_matches: Vec<Match> = Vec::new();
    let mut at = 0;
    let mut done = 0;
    while let Some(block) = new.get(at..at + BLOCK_BYTES) {
        let found = positions.get(block).into_iter().flatten();
        let longest = found.map(|from| extend_match(old, new, *from, at, done));
        match longest.max_by_key(|matched| matched.len) {
            Some(matched) => {
                found_matches.push(matched);
                done = matched.at + matched.len;
                at = done;
            }
            None => at += 1,
        }
    }
    found_matches
}

/// Maps each aligned block to its first positions.
fn index_blocks(old: &[u8]) -> HashMap<&[u8], Vec<usize>> {
    let mut positions: HashMap<&[u8], Vec<usize>> = HashMap::new();
    for (i, block) in old.chunks_exact(BLOCK_BYTES).enumerate() {
        let of_block = positions.entry(block).or_default();
        if of_block.len() < MAX_BLOCK_POSITIONS {
            of_block.push(i * BLOCK_BYTES);
        }
    }
    positions
}

/// Extends a matching block in both directions, but not before `done` in the new text.
fn extend_match(old: &[u8], new: &[u8], from: usize, at: usize, done: usize) -> Match {
    let before = new[done..at].iter().rev().zip(old[..from].iter().rev());
    let before = before.take_while(|(a, b)| a == b).count();
    let after = new[at..].iter().zip(&old[from..]);
    let after = after.take_while(|(a, b)| a == b).count();
    Match {
        at: at - before,
        from: from - before,
        len: before + after,
    }
}

fn digest_of(text: &[u8]) -> String {
    Digest::of(&[text]).to_string()
}
