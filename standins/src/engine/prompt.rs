//! Prompt parsing: tokens, and directives embedded in the text.
//!
//! A token is a word, represented by its digest. Directives stand in double
//! square brackets anywhere in a message and don't count as tokens.

use std::sync::Arc;

use crate::hash;

/// Tokens in a block of the prefix cache.
pub(super) const BLOCK_TOKENS: usize = 32;

/// A parsed prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct Prompt {
    /// Number of tokens, at least 1.
    pub(super) tokens: u64,
    /// Digests of the prefixes that end at a block boundary.
    pub(super) prefixes: Arc<[u64]>,
    /// Digest of the text without directives.
    pub(super) digest: u64,
    /// Settings from the directives.
    pub(super) directives: Directives,
}

/// Settings from the directives of a prompt.
#[derive(Clone, Debug, Default)]
pub(super) struct Directives {
    /// Output length without a token limit, in tokens.
    pub(super) len: Option<u64>,
    /// Length of the whole prompt, in tokens.
    pub(super) prompt: Option<u64>,
    /// Name and length, in tokens, of a shared prefix before the text.
    pub(super) prefix: Option<(Arc<str>, u64)>,
    /// Tag set by the caller.
    pub(super) mark: Option<Arc<str>>,
    /// Whether the prompt crashes the engine.
    crash: bool,
    /// Generated tokens before the crash.
    crash_after: u64,
    /// Whether the output consists of words instead of checkable tokens.
    pub(super) words: bool,
}

impl Directives {
    /// Returns the generated tokens after which the engine crashes, if it does.
    pub(super) fn crash_after(&self) -> Option<u64> {
        self.crash.then_some(self.crash_after)
    }

    /// Applies a directive, ignoring an unknown one.
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

/// Parses a shared prefix of the form `NAME/TOKENS`.
fn prefix(value: &str) -> Option<(Arc<str>, u64)> {
    let (name, tokens) = value.split_once('/')?;
    Some((Arc::from(name), tokens.parse().ok()?))
}

impl Prompt {
    /// Parses the messages of a request.
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

/// Appends the text of a message without its directives, and applies those.
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

/// Returns the digest of each token: shared prefix, words, then padding.
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

/// Appends tokens derived from `digest` up to a length of `target_len`.
fn pad_tokens(tokens: &mut Vec<u64>, digest: u64, target_len: u64) {
    for index in tokens.len() as u64..target_len {
        tokens.push(hash::extend(digest, &index.to_le_bytes()));
    }
}

/// Returns the digest of each prefix that ends at a block boundary.
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
