//! Numbered tokens of a generation, and the position of a reader.
//!
//! The agent appends to a [`TokenLog`] and reads [`Chunk`]s from any offset that
//! it still holds. The entry's [`Cursor`] accepts only the next tokens of the
//! generation that it began to deliver, drops duplicates and reports gaps.

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
    /// Returns the number of tokens in the chunk.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.lens.len() as u64
    }

    /// Returns the number of the token after the last.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.offset + self.count()
    }

    /// Returns whether the lengths add up to the length of the data.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let total: u64 = self.lens.iter().map(|len| u64::from(*len)).sum();
        total == self.data.len() as u64
    }

    /// Appends one token.
    pub fn push(&mut self, token: &[u8]) {
        self.data.extend_from_slice(token);
        self.lens
            .push(u32::try_from(token.len()).unwrap_or(u32::MAX));
    }

    /// Iterates over the tokens in order.
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

/// Tokens of one generation, kept for readers that attach later.
#[derive(Clone, Debug, Default)]
pub struct TokenLog {
    held: Chunk,
    starts: Vec<usize>,
}

impl TokenLog {
    /// Returns the number of the next token.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.held.end()
    }

    /// Returns the number of the first token still held.
    #[must_use]
    pub fn first(&self) -> u64 {
        self.held.offset
    }

    /// Returns the bytes held.
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
        let dropped = self.starts.len().saturating_sub(kept);
        self.starts.drain(..dropped);
        let base = self.starts.first().copied().unwrap_or(0);
        for start in &mut self.starts {
            *start -= base;
        }
    }

    /// Drops the oldest tokens until at least `bytes` bytes are freed.
    pub fn release_bytes(&mut self, bytes: usize) {
        let kept = self.held.data.len().saturating_sub(bytes);
        let at_most = |start: &usize| self.held.data.len() - *start > kept;
        let count = self.starts.iter().take_while(|s| at_most(s)).count();
        self.release_below(self.held.offset + count as u64);
    }

    /// Returns tokens from `offset` on: at most `max_tokens`, and at most
    /// `max_bytes` unless the first token alone is longer.
    ///
    /// `None` if `offset` is no longer held or lies beyond the end.
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

/// Outcome of a received chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkOutcome {
    /// The next tokens, to be delivered.
    Next(Chunk),
    /// All of it was received before.
    Duplicate,
    /// Tokens from this number on are missing.
    Gap(u64),
    /// It belongs to another generation.
    OtherGeneration,
    /// Its lengths do not add up to its data.
    Malformed,
}

/// Position of a reader in the generation that it delivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The generation delivered.
    pub generation: GenerationId,
    /// Number of the next token.
    pub next: u64,
}

impl Cursor {
    /// Returns the new tokens of `chunk` and advances past them.
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
