//! What leads from one text to its next version.
//!
//! A configuration has hundreds of kilobytes and its next version differs in a
//! few places, so entries hand each other what differs. The old text is indexed by
//! aligned blocks; where a block of it begins in the new text, as much as is equal
//! is copied, and only what lies between such runs is told.

use crate::ids::Digest;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Bytes of the blocks by which equal runs are found.
const BLOCK_BYTES: usize = 32;

/// Places of one block in the old text that are tried for the longest run.
const MAX_BLOCK_POSITIONS: usize = 8;

/// Part of the new text that a change may take, as a divisor: beyond it a change saves little.
const MAX_SIZE_DIVISOR: usize = 4;

/// Bytes that a step takes beside its text.
const STEP_OVERHEAD_BYTES: usize = 32;

/// One step of making the new text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
enum Step {
    /// Copies bytes of the old text.
    Copy { from: usize, len: usize },
    /// Adds text that the old one lacks.
    Add(String),
}

/// Steps that lead from one text to another.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct TextChange {
    steps: Vec<Step>,
    /// Digest of the new text, in hexadecimal.
    digest: String,
}

impl TextChange {
    /// What leads from `old` to `new`; none where it would save little.
    #[must_use]
    pub fn between(old: &str, new: &str) -> Option<Self> {
        let found_matches = find_matches(old.as_bytes(), new.as_bytes());
        let mut steps = Vec::new();
        let mut done = 0;
        let mut added = 0;
        for matched in found_matches {
            // A run may begin or end inside a character, which can't be told by itself.
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

    /// The new text; none if `old` isn't the one that the change was made from.
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

/// Bytes of the new text, at `at`, that stand in the old one, at `from`.
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

/// The first places of each aligned block.
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

/// The longest run round a block that is equal, not reaching back before `done` in the new text.
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
