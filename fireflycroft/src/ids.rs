//! Identifiers: unguessable where a caller sees them, never used twice.
//!
//! A request id is drawn from a keyed hash, so that knowing one tells nothing
//! of the next. A generation id names the incarnation of the agent that made
//! it, so that an id of an agent's former life matches nothing.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Name of a process, VM, brand, workspace, model or service.
pub type Name = Arc<str>;

/// One call of a caller, as the entry numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Unguessable id of one request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// One life of a process, drawn at its start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Whether anything is known of the start.
    #[must_use]
    pub const fn is_known(self) -> bool {
        self.0 != 0
    }
}

/// One reservation, and the generation it may become, on one agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId {
    /// Life of the agent that made the id.
    pub incarnation: Incarnation,
    /// Number within that life; never given twice.
    pub serial: u64,
}

/// Digest of content: 128 bits of BLAKE3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub u128);

/// What a process does for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands before one upstream.
    Agent,
}

/// One process of the fleet, as others address it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Stable name from the settings.
    pub name: Name,
    /// Address of its mailbox.
    pub addr: SocketAddr,
    /// Its present life.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: Role,
}

/// Bits of an incarnation that are drawn at random.
const INCARNATION_RANDOM_BITS: u32 = 20;

impl Incarnation {
    /// Life that began `unix_millis` after the epoch by the wall clock.
    ///
    /// Later lives compare greater; random bits tell apart two lives of the
    /// same millisecond.
    #[must_use]
    pub const fn started_at(unix_millis: u64, random: u64) -> Self {
        let mask = (1 << INCARNATION_RANDOM_BITS) - 1;
        Self((unix_millis << INCARNATION_RANDOM_BITS) | (random & mask))
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
    /// Digest of `parts`, each marked off by its length.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(first_half(&hasher.finalize()))
    }
}

/// Reads a request id written by its `Display`.
#[must_use]
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != 32 {
        return None;
    }
    u128::from_str_radix(text, 16).ok().map(RequestId)
}

/// Reads a generation id written by its `Display`.
#[must_use]
pub fn parse_generation_id(text: &str) -> Option<GenerationId> {
    let (incarnation, serial) = text.split_once('.')?;
    Some(GenerationId {
        incarnation: Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
        serial: serial.parse().ok()?,
    })
}

/// Draws unguessable ids from a secret seed.
#[derive(Clone, Debug)]
pub struct IdSource {
    key: [u8; 32],
    counter: u64,
}

impl IdSource {
    /// Source whose ids follow from `seed`, which must stay secret.
    #[must_use]
    pub const fn new(seed: [u8; 32]) -> Self {
        Self {
            key: seed,
            counter: 0,
        }
    }

    /// Next id.
    pub fn draw(&mut self) -> RequestId {
        self.counter += 1;
        let hash = blake3::keyed_hash(&self.key, &self.counter.to_le_bytes());
        RequestId(first_half(&hash))
    }

    /// Next number below `bound`; zero for a bound of zero.
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
