//! Identifiers: unguessable if callers see them, and never reused.
//!
//! A request id is derived by a keyed hash, so that one id reveals nothing
//! about the next. A generation id contains the incarnation of the agent that
//! created it, so that ids of an earlier incarnation match nothing.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Name of a process, VM, brand, workspace, model or service.
pub type Name = Arc<str>;

/// Maximum size of a name in bytes; processes tell each other no longer ones.
pub const MAX_NAME_BYTES: usize = 1_024;

/// Returns whether processes can tell each other a name.
#[must_use]
pub const fn is_tellable(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// Number of a caller's call within one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Unguessable id of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// Incarnation of a process, from its start until its end.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns whether the incarnation is known.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.0 != 0
    }
}

/// Id of a reservation on one agent and of the generation started from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId {
    /// Incarnation of the agent that created the id.
    pub incarnation: Incarnation,
    /// Number within that incarnation, never reused.
    pub serial: u64,
}

/// Digest of content: the first 128 bits of BLAKE3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u128);

/// Id of a part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

/// Id of a request that may come again: the folded digest of its path, caller and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentId(pub u64);

/// Role of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Receives callers' requests.
    Entry,
    /// Drives one upstream.
    Agent,
}

/// Identity and address of a process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Stable name from the settings.
    pub name: Name,
    /// Address of its mailbox.
    pub addr: SocketAddr,
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Role in the fleet.
    pub role: Role,
}

/// Number of random bits in an incarnation.
const INCARNATION_RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// Creates the incarnation of a process started at `unix_millis` by the wall clock.
    ///
    /// Later incarnations compare greater; random bits distinguish two that
    /// started in the same millisecond.
    #[must_use]
    pub const fn started_at(unix_millis: u64, random: u64) -> Self {
        let mask = (1 << INCARNATION_RANDOM_BITS) - 1;
        Self((unix_millis << INCARNATION_RANDOM_BITS) | (random & mask))
    }

    /// Returns the wall-clock time at which the process started, in Unix milliseconds.
    #[must_use]
    pub const fn unix_millis(self) -> u64 {
        self.0 >> INCARNATION_RANDOM_BITS
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}", self.incarnation.0, self.serial)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Digest {
    /// Returns the digest of `parts`, each prefixed with its length.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(first_half(&hasher.finalize()))
    }

    /// Returns the digest folded to 64 bits.
    #[must_use]
    #[allow(clippy::cast_possible_truncation)]
    pub const fn folded(self) -> u64 {
        self.0 as u64 ^ (self.0 >> 64) as u64
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Display for ContentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Parses a request id as written by its `Display`.
#[must_use]
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(RequestId)
}

/// Parses a generation id as written by its `Display`.
#[must_use]
pub fn parse_generation_id(text: &str) -> Option<GenerationId> {
    let (incarnation, serial) = text.split_once('.')?;
    Some(GenerationId {
        incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
        serial: serial.parse().ok()?,
    })
}

/// Source of unguessable ids, derived from a secret seed.
#[derive(Clone, Debug)]
pub struct IdSource {
    key: [u8; 32],
    counter: u64,
}

impl IdSource {
    /// Creates a source whose ids are determined by `seed`, which must stay secret.
    #[must_use]
    pub const fn new(seed: [u8; 32]) -> Self {
        Self {
            key: seed,
            counter: 0,
        }
    }

    /// Returns the next id.
    pub fn draw(&mut self) -> RequestId {
        self.counter += 1;
        let hash = blake3::keyed_hash(&self.key, &self.counter.to_le_bytes());
        RequestId(first_half(&hash))
    }

    /// Returns a random number below `bound`, or zero if `bound` is zero.
    pub fn draw_below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        let reduced = self.draw().0 % (bound as u128);
        usize::try_from(reduced).unwrap_or(0)
    }
}

fn first_half(hash: &blake3::Hash) -> u128 {
    let mut half = [0; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(half)
}
