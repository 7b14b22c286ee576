//! The prompt: its tokens and the directives hidden in its text.
//!
//! A token is a word, counted by its digest. Directives stand in double square
//! brackets anywhere in a message and are no tokens themselves.

use std::sync::Arc;

use crate::hash;

/// Tokens in a block of the prefix cache.
pub(super) const BLOCK_TOKENS: usize = 32;

/// A prompt as the engine runs it.
#[derive(Clone, Debug, Default)]
pub(super) struct Prompt {
    /// Number of tokens, at least 1.
    pub(super) tokens: u64,
    /// Digests of the prefixes that end with a whole block.
    pub(super) prefixes: Arc<[u64]>,
    /// Digest of the text.
    pub(super) digest: u64,
    /// What the directives ask for.
    pub(super) directives: Directives,
}

/// What the directives of a prompt ask for.
#[derive(Clone, Debug, Default)]
pub(super) struct Directives {
    /// Tokens until the model would stop by itself.
    pub(super) len: Option<u64>,
    /// Tokens of the whole prompt.
    pub(super) prompt: Option<u64>,
    /// Name and length in tokens of a shared prefix before the text.
    pub(super) prefix: Option<(Arc<str>, u64)>,
    /// The caller's tag.
    pub(super) mark: Option<Arc<str>>,
    /// Whether the engine crashes.
    crash: bool,
    /// Tokens produced before it does.
    crash_after: u64,
    /// Whether tokens are words.
    pub(super) words: bool,
}

impl Directives {
    /// Tokens after which the engine crashes, if it does.
    pub(super) fn crash_after(&self) -> Option<u64> {
        self.crash.then_some(self.crash_after)
    }

    /// Takes over one directive; an unknown one is ignored.
    fn apply(&mut self, text: &str) {
        let (name, value) = text.split_once('=').unwrap_or((text, ""));
        match name {
            "len" => self.len = value.parse().ok(),
            "prompt" => self.prompt = value.parse().ok(),
            "prefix" => self.prefix = prefix(value),
            "mark" => self.mark = Some(Arc::from(value)),
            "crash" => self.crash = true,
            "crash_after" => self.crash_after = value.parse().unwrap_or_default(),
            "words" => self.words = true,
            _ => {}
        }
    }
}

/// The name and length of a shared prefix, as in `NAME/TOKENS`.
fn prefix(value: &str) -> Option<(Arc<str>, u64)> {
    let (name, tokens) = value.split_once('/')?;
    Some((Arc::from(name), tokens.parse().ok()?))
}

impl Prompt {
    /// Reads the messages of a request.
    pub(super) fn parse<'a>(messages: impl IntoIterator<Item = &'a str>) -> Self {
        let mut directives = Directives::default();
        let mut text = String::new();
        for message in messages {
            strip_directives(message, &mut text, &mut directives);
            text.push(' ');
        }
        let digest = hash::fnv(text.as_bytes());
        let tokens = tokens(&text, digest, &directives);
        Self {
            tokens: tokens.len() as u64,
            prefixes: prefixes(&tokens),
            digest,
            directives,
        }
    }
}

/// Appends the text of a message without its directives, which it applies.
fn strip_directives(message: &str, text: &mut String, directives: &mut Directives) {
    let mut rest = message;
    while let Some((before, after)) = rest.split_once("[[") {
        let Some((directive, after_directive)) = after.split_once("]]") else {
            break;
        };
        text.push_str(before);
        directives.apply(directive);
        rest = after_directive;
    }
    text.push_str(rest);
}

/// The digest of each token: shared prefix, words, then filling.
fn tokens(text: &str, digest: u64, directives: &Directives) -> Vec<u64> {
    let mut tokens = Vec::new();
    if let Some((name, length)) = &directives.prefix {
        pad_tokens(&mut tokens, hash::fnv(name.as_bytes()), *length);
    }
    tokens.extend(
        text.split_whitespace()
            .map(|word| hash::fnv(word.as_bytes())),
    );
    let target_len = directives.prompt.unwrap_or(tokens.len() as u64).max(1);
    pad_tokens(&mut tokens, digest, target_len);
    tokens.truncate(usize::try_from(target_len).unwrap_or(usize::MAX));
    tokens
}

/// Adds tokens derived from `digest` until there are `wanted`.
fn pad_tokens(tokens: &mut Vec<u64>, digest: u64, target_len: u64) {
    for index in tokens.len() as u64..target_len {
        tokens.push(hash::extend(digest, &index.to_le_bytes()));
    }
}

/// The digest of each prefix that ends with a whole block.
fn prefixes(tokens: &[u64]) -> Arc<[u64]> {
    tokens
        .chunks_exact(BLOCK_TOKENS)
        .scan(hash::fnv(&[]), |state, block| {
            for token in block {
                *state = hash::extend(*state, &token.to_le_bytes());
            }
            Some(*state)
        })
        .collect()
}
