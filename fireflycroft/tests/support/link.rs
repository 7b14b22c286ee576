//! A simulated network that delays, duplicates, reorders, loses and cuts off
//! messages.

use super::rng::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Microseconds per millisecond.
pub(crate) const MS: u64 = 1_000;

/// Treatment of messages by the network.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum NetworkMode {
    /// Each message arrives once, in order, after one millisecond.
    #[default]
    Reliable,
    /// One message in five is lost.
    Lossy,
    /// One message in three is duplicated; the duplicate arrives up to 70 s later.
    Duplicating,
    /// Each message takes up to about 400 ms, so that messages are reordered.
    Slow,
    /// Loss, duplication and delay combined.
    Combined,
}

/// State of the network.
#[derive(Clone, Debug, Default)]
pub(crate) struct Net {
    pub(crate) mode: NetworkMode,
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
}

impl Net {
    /// Drops all messages from one mailbox to the other.
    pub(crate) fn cut(&mut self, from: SocketAddr, to: SocketAddr) {
        self.cuts.insert((from, to));
    }

    pub(crate) fn reconnect(&mut self, from: SocketAddr, to: SocketAddr) {
        self.cuts.remove(&(from, to));
    }

    pub(crate) fn is_reliable(&self) -> bool {
        self.mode == NetworkMode::Reliable && self.cuts.is_empty()
    }

    pub(crate) fn heal(&mut self) {
        *self = Self::default();
    }

    /// Returns the delays, in microseconds, of each copy of a message that arrives.
    pub(crate) fn delays(&self, rng: &mut Rng, from: SocketAddr, to: SocketAddr) -> Vec<u64> {
        if self.cuts.contains(&(from, to)) {
            return Vec::new();
        }
        let combined = self.mode == NetworkMode::Combined;
        if (combined || self.mode == NetworkMode::Lossy) && rng.per_mille(200) {
            return Vec::new();
        }
        let spread = if combined || self.mode == NetworkMode::Slow {
            400
        } else {
            0
        };
        let first = MS + rng.below(spread * MS + 1);
        let mut delays = vec![first];
        if (combined || self.mode == NetworkMode::Duplicating) && rng.per_mille(333) {
            let late = [5, 500, 5_000, 70_000][usize::try_from(rng.below(4)).unwrap()];
            delays.push(first + rng.below(late * MS));
        }
        delays
    }
}
