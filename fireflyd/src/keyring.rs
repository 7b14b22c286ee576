//! Seals (authentication tags) of the messages between the fleet's processes.
//!
//! A sealed message is its payload, followed by the id of a fleet key (one byte) and a tag: the
//! keyed BLAKE3 hash of payload and id, truncated to sixteen bytes. A ring seals with its first key
//! and opens with any, so that a key is rotated without a stop: add the new key after the old one
//! everywhere, move it to the front everywhere, remove the old one everywhere.
//!
//! The seal proves membership of the fleet and integrity. It doesn't encrypt or prevent replays;
//! the layers above tolerate duplicates.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Length of a key in bytes.
pub const KEY_LEN: usize = 32;
/// Length of a tag in bytes.
pub const TAG_LEN: usize = 16;
/// Length of a seal in bytes.
pub const SEAL_LEN: usize = 1 + TAG_LEN;

/// Reason for not opening a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SealError {
    /// The message is shorter than a seal.
    TooShort,
    /// The ring holds no key of this id.
    UnknownKey(u8),
    /// The tag doesn't match payload and key.
    BadTag,
}

impl fmt::Display for SealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooShort => f.write_str("shorter than a seal"),
            Self::UnknownKey(id) => write!(f, "unknown key {id}"),
            Self::BadTag => f.write_str("tag mismatch"),
        }
    }
}

impl std::error::Error for SealError {}

/// Reason for refusing a key file; line numbers start at one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyFileError {
    /// No line holds a key.
    Empty,
    /// The line is not `id:64-hex`.
    Malformed(usize),
    /// The id of the line is that of an earlier one.
    DuplicateId(usize),
}

impl fmt::Display for KeyFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("no key in the file"),
            Self::Malformed(line) => write!(f, "line {line}: not id:64-hex"),
            Self::DuplicateId(line) => write!(f, "line {line}: id given twice"),
        }
    }
}

impl std::error::Error for KeyFileError {}

#[derive(Clone)]
struct Key {
    id: u8,
    secret: [u8; KEY_LEN],
}

/// The active fleet keys; the first one seals.
#[derive(Clone)]
pub struct KeyRing {
    keys: Vec<Key>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.keys.iter().map(|key| key.id))
            .finish()
    }
}

impl KeyRing {
    /// Creates a ring from ids and keys; the first one seals.
    ///
    /// # Errors
    ///
    /// Returns [`KeyFileError`] when there is no key or an id is given twice.
    pub fn new(keys: impl IntoIterator<Item = (u8, [u8; KEY_LEN])>) -> Result<Self, KeyFileError> {
        let mut ring = Self { keys: Vec::new() };
        for (at, (id, secret)) in keys.into_iter().enumerate() {
            ring.add(at + 1, id, secret)?;
        }
        ring.non_empty()
    }

    /// Parses a text with one `id:64-hex` per line; `#` starts a comment.
    ///
    /// # Errors
    ///
    /// Returns [`KeyFileError`] with the first invalid line.
    pub fn parse(text: &str) -> Result<Self, KeyFileError> {
        let mut ring = Self { keys: Vec::new() };
        for (at, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or_default().trim();
            if line.is_empty() {
                continue;
            }
            let (id, secret) = parse_key(line).ok_or(KeyFileError::Malformed(at + 1))?;
            ring.add(at + 1, id, secret)?;
        }
        ring.non_empty()
    }

    /// Appends key id and tag to `buf`.
    pub fn seal(&self, buf: &mut Vec<u8>) {
        let key = &self.keys[0];
        // A large message takes no spare memory.
        buf.reserve_exact(SEAL_LEN);
        buf.push(key.id);
        let tag = blake3::keyed_hash(&key.secret, buf);
        buf.extend_from_slice(&tag.as_bytes()[..TAG_LEN]);
    }

    /// Verifies a sealed message and returns its payload.
    ///
    /// # Errors
    ///
    /// Returns [`SealError`] when the message was not sealed with a key of this ring.
    pub fn open<'a>(&self, msg: &'a [u8]) -> Result<&'a [u8], SealError> {
        let payload_len = msg.len().checked_sub(SEAL_LEN).ok_or(SealError::TooShort)?;
        let (signed, tag) = msg.split_at(payload_len + 1);
        let id = signed[payload_len];
        let key = self
            .keys
            .iter()
            .find(|key| key.id == id)
            .ok_or(SealError::UnknownKey(id))?;
        let expected = blake3::keyed_hash(&key.secret, signed);
        if padded_hash(&expected.as_bytes()[..TAG_LEN]) == padded_hash(tag) {
            Ok(&msg[..payload_len])
        } else {
            Err(SealError::BadTag)
        }
    }

    fn add(&mut self, line: usize, id: u8, secret: [u8; KEY_LEN]) -> Result<(), KeyFileError> {
        if self.keys.iter().any(|key| key.id == id) {
            return Err(KeyFileError::DuplicateId(line));
        }
        self.keys.push(Key { id, secret });
        Ok(())
    }

    fn non_empty(self) -> Result<Self, KeyFileError> {
        if self.keys.is_empty() {
            Err(KeyFileError::Empty)
        } else {
            Ok(self)
        }
    }
}

/// Pads a tag to a [`blake3::Hash`], whose comparison takes constant time.
fn padded_hash(tag: &[u8]) -> blake3::Hash {
    let mut wide = [0; blake3::OUT_LEN];
    wide[..TAG_LEN].copy_from_slice(tag);
    blake3::Hash::from_bytes(wide)
}

fn parse_key(line: &str) -> Option<(u8, [u8; KEY_LEN])> {
    let (id, hex) = line.split_once(':')?;
    let id = id.trim().parse().ok()?;
    let secret = blake3::Hash::from_hex(hex.trim()).ok()?;
    Some((id, *secret.as_bytes()))
}

/// Shared key ring that can be replaced while in use.
#[derive(Clone, Debug)]
pub struct SharedKeyRing {
    ring: Arc<RwLock<Arc<KeyRing>>>,
}

impl SharedKeyRing {
    /// Creates a shared ring.
    #[must_use]
    pub fn new(ring: KeyRing) -> Self {
        Self {
            ring: Arc::new(RwLock::new(Arc::new(ring))),
        }
    }

    /// Returns the active ring.
    #[must_use]
    pub fn get(&self) -> Arc<KeyRing> {
        let ring = self.ring.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&ring)
    }

    /// Makes `ring` the active one.
    pub fn replace(&self, ring: KeyRing) {
        *self.ring.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(ring);
    }
}

/// Reads a key file.
///
/// # Errors
///
/// Returns an error that names the file when it can't be read or holds no valid ring.
pub fn read_key_file(path: &Path) -> anyhow::Result<KeyRing> {
    use anyhow::Context;
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    KeyRing::parse(&text).with_context(|| path.display().to_string())
}

/// Re-reads `path` every `period` and activates a changed ring; runs until dropped.
///
/// A file that can't be read or parsed leaves the active ring unchanged; an error is logged unless
/// it equals the one before.
pub async fn watch_key_file(path: impl Into<PathBuf>, shared: SharedKeyRing, period: Duration) {
    let path = path.into();
    let mut loaded_text = String::new();
    let mut last_error = String::new();
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match reload(&path, &mut loaded_text, &shared).await {
            Ok(()) => last_error.clear(),
            Err(e) => {
                let text = e.to_string();
                if text != last_error {
                    log::warn!(event = "key_file_refused", cause = text.as_str(); "");
                    last_error = text;
                }
            }
        }
    }
}

async fn reload(
    path: &Path,
    loaded_text: &mut String,
    shared: &SharedKeyRing,
) -> anyhow::Result<()> {
    let text = tokio::fs::read_to_string(path).await?;
    if text == *loaded_text {
        return Ok(());
    }
    let ring = KeyRing::parse(&text)?;
    log::info!(event = "key_ring_read", keys = ring.keys.len(); "");
    shared.replace(ring);
    *loaded_text = text;
    Ok(())
}
