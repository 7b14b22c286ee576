//! Tokens of one generation, numbered and kept, and the place a reader is at.
//!
//! The agent appends to a [`TokenLog`] and cuts [`Chunk`]s from it at any
//! offset still held. The entry owns a [`Cursor`]: it takes only the next
//! offset of the one generation it began to deliver, drops what overlaps and
//! asks again for what is missing.

use crate::ids::GenerationId;

/// Consecutive tokens of one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chunk {
    /// Number of the first token.
    pub offset: u64,
    /// Bytes of all tokens, one after another.
    pub data: Vec<u8>,
    /// Length of each token in bytes.
    pub lens: Vec<u32>,
}

impl Chunk {
    /// Tokens in the chunk.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.lens.len() as u64
    }

    /// Number of the token after the last.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.offset + self.count()
    }

    /// Whether the lengths add up to the data.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let total: u64 = self.lens.iter().map(|len| u64::from(*len)).sum();
        total == self.data.len() as u64
    }

    /// Adds one token at the end.
    pub fn push(&mut self, token: &[u8]) {
        self.data.extend_from_slice(token);
        self.lens
            .push(u32::try_from(token.len()).unwrap_or(u32::MAX));
    }

    /// The tokens, in order.
    pub fn tokens(&self) -> impl Iterator<Item = &[u8]> {
        let mut rest = self.data.as_slice();
        self.lens.iter().map(move |len| {
            let (token, tail) = rest.split_at(*len as usize);
            rest = tail;
            token
        })
    }

    /// Drops the first `count` tokens.
    fn skip(&mut self, count: u64) {
        let count = usize::try_from(count).map_or(self.lens.len(), |c| c.min(self.lens.len()));
        let bytes: u64 = self.lens[..count].iter().map(|len| u64::from(*len)).sum();
        self.data
            .drain(..usize::try_from(bytes).unwrap_or(self.data.len()));
        self.lens.drain(..count);
        self.offset += count as u64;
    }
}

/// Tokens of one generation, kept for readers to come.
#[derive(Clone, Debug, Default)]
pub struct TokenLog {
    held: Chunk,
    starts: Vec<usize>,
}

impl TokenLog {
    /// Number of the token that comes next.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.held.end()
    }

    /// Number of the first token still held.
    #[must_use]
    pub fn first(&self) -> u64 {
        self.held.offset
    }

    /// Bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.held.data.len()
    }

    /// Appends one token.
    pub fn push(&mut self, token: &[u8]) {
        self.starts.push(self.held.data.len());
        self.held.push(token);
    }

    /// Drops tokens below `offset`.
    pub fn release_below(&mut self, offset: u64) {
        let count = offset.saturating_sub(self.held.offset);
        self.held.skip(count);
        let kept = self.held.lens.len();
        let gone = self.starts.len().saturating_sub(kept);
        self.starts.drain(..gone);
        let base = self.starts.first().copied().unwrap_or(0);
        for start in &mut self.starts {
            *start -= base;
        }
    }

    /// Drops the oldest tokens until at least so many bytes are free.
    pub fn release_bytes(&mut self, bytes: usize) {
        let kept = self.held.data.len().saturating_sub(bytes);
        let at_most = |start: &usize| self.held.data.len() - *start > kept;
        let count = self.starts.iter().take_while(|s| at_most(s)).count();
        self.release_below(self.held.offset + count as u64);
    }

    /// Tokens from `offset` on, at most `max_tokens` and about `max_bytes`.
    ///
    /// `None` when that part is no longer held or not there yet.
    #[must_use]
    pub fn chunk_at(&self, offset: u64, max_tokens: usize, max_bytes: usize) -> Option<Chunk> {
        let skip = usize::try_from(offset.checked_sub(self.held.offset)?).ok()?;
        let lens = self.held.lens.get(skip..)?;
        let from = self
            .starts
            .get(skip)
            .copied()
            .unwrap_or(self.held.data.len());
        let mut chunk = Chunk {
            offset,
            ..Chunk::default()
        };
        let mut to = from;
        for len in lens.iter().take(max_tokens) {
            let longer = to + *len as usize;
            if longer - from > max_bytes && !chunk.lens.is_empty() {
                break;
            }
            chunk.lens.push(*len);
            to = longer;
        }
        chunk.data.extend_from_slice(&self.held.data[from..to]);
        Some(chunk)
    }
}

/// What became of a chunk that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// These tokens are next; hand them on.
    Next(Chunk),
    /// All of it was delivered before.
    Duplicate,
    /// Tokens from this number on are missing.
    Gap(u64),
    /// It belongs to another generation.
    OtherGeneration,
    /// Its lengths do not add up.
    Malformed,
}

/// Place of one reader in the one generation it delivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The generation that is delivered.
    pub generation: GenerationId,
    /// Number of the token that comes next.
    pub next: u64,
}

impl Cursor {
    /// Takes what is next of `chunk` and moves on.
    pub fn advance(&mut self, generation: GenerationId, mut chunk: Chunk) -> ChunkOutcome {
        if generation != self.generation {
            return ChunkOutcome::OtherGeneration;
        }
        if !chunk.is_consistent() {
            return ChunkOutcome::Malformed;
        }
        if chunk.offset > self.next {
            return ChunkOutcome::Gap(self.next);
        }
        if chunk.end() <= self.next {
            return ChunkOutcome::Duplicate;
        }
        chunk.skip(self.next - chunk.offset);
        self.next = chunk.end();
        ChunkOutcome::Next(chunk)
    }
}
