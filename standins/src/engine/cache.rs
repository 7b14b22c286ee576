//! An LRU cache of prompt prefixes in blocks.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::prompt::BLOCK_TOKENS;

/// A change of a cached block.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum CacheChange {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// A cache of blocks, each identified by the digest of the prefix that it ends.
#[derive(Debug)]
pub(super) struct PrefixCache {
    max_blocks: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    changes: Vec<(CacheChange, u64)>,
}

impl PrefixCache {
    pub(super) fn new(max_tokens: u64) -> Self {
        let max_blocks = max_tokens / BLOCK_TOKENS as u64;
        Self {
            max_blocks: usize::try_from(max_blocks).unwrap_or(usize::MAX),
            clock: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Stores the prefixes of a prompt; returns the tokens that were already cached.
    pub(super) fn lookup_and_insert(&mut self, prefixes: &[u64]) -> u64 {
        let hits = prefixes
            .iter()
            .take_while(|prefix| self.last_used.contains_key(*prefix))
            .count();
        // Touches the longest prefix first, so that it is evicted first.
        for prefix in prefixes.iter().take(self.max_blocks).rev() {
            self.touch(*prefix);
        }
        self.evict();
        (hits * BLOCK_TOKENS) as u64
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<(CacheChange, u64)> {
        std::mem::take(&mut self.changes)
    }

    fn touch(&mut self, prefix: u64) {
        self.clock += 1;
        match self.last_used.insert(prefix, self.clock) {
            Some(previous_use) => {
                self.by_last_use.remove(&previous_use);
            }
            None => self.changes.push((CacheChange::Stored, prefix)),
        }
        self.by_last_use.insert(self.clock, prefix);
    }

    fn evict(&mut self) {
        while self.last_used.len() > self.max_blocks {
            let Some((_, prefix)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&prefix);
            self.changes.push((CacheChange::Evicted, prefix));
        }
    }
}
