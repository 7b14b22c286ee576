//! A network that delays, repeats, overtakes, loses and cuts.

use super::rng::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Microseconds of a millisecond.
pub(crate) const MS: u64 = 1_000;

/// How the network treats messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum NetworkMode {
    /// Every message once, in order, after a millisecond.
    #[default]
    Reliable,
    /// One in five is lost.
    Lossy,
    /// One in three comes twice, the copy up to seconds later.
    Duplicating,
    /// Each takes up to 400 ms, so they overtake one another.
    Slow,
    /// All of it together.
    Combined,
}

/// The network's state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Net {
    pub(crate) mode: NetworkMode,
    cuts: BTreeSet<(SocketAddr, SocketAddr)>,
}

impl Net {
    /// Loses everything from one mailbox to the other.
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

    /// Delays in microseconds after which copies of a message arrive.
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
