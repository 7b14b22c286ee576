//! Ownership of shared knowledge about upstreams, services and requests.
//!
//! All entries that place work on an upstream report it to the upstream's owners, and query them
//! when they choose among upstreams. So the accuracy of a choice doesn't decline with the number of
//! entries, and an entry's traffic grows only with its own requests. Likewise, the owners of a
//! service grant unused retries, and the owners of a request know whether its caller was refused
//! before.
//!
//! The owners of a key are the entries that rank highest for it by rendezvous hashing: each entry
//! ranks all live entries it knows by a hash of key and address. Entries with the same view find
//! the same owners without coordination, and a joining or leaving entry changes only the owners of
//! its share of the keys. There are two, so that the loss of one loses no knowledge; the origins of streams
//! have more, since nobody else can tell them again ([`crate::STREAM_OWNERS`]).

use crate::crash_report::Suspect;
use crate::ids::Digest;
use std::net::Ipv4Addr;

/// Number of owners of a key.
pub const OWNERS_PER_KEY: usize = 2;

/// Hashed key that has owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OwnedKey(u64);

impl OwnedKey {
    /// Returns the key of an upstream's load.
    #[must_use]
    pub fn of_upstream(instance: &str) -> Self {
        Self::folded(Digest::of(&[b"load", instance.as_bytes()]))
    }

    /// Returns the key of a service's retry budget.
    #[must_use]
    pub fn of_retries(service: &str) -> Self {
        Self::folded(Digest::of(&[b"repeats", service.as_bytes()]))
    }

    /// Returns the key that ranks the entries as watchers of the platform's store.
    pub(crate) const fn of_watch() -> Self {
        Self(0)
    }

    /// Returns the key of a request, from the digest of its content.
    #[must_use]
    pub const fn of_content(content: Digest) -> Self {
        Self::folded(content)
    }

    /// Returns the key of a refused part of prompts or content.
    #[must_use]
    pub const fn of_suspect(suspect: Suspect) -> Self {
        Self(suspect.id())
    }

    /// Returns the key of a stream's origin, from its digest.
    #[must_use]
    pub const fn of_stream(stream: Digest) -> Self {
        Self::folded(stream)
    }

    const fn folded(digest: Digest) -> Self {
        Self(digest.folded())
    }

    /// Returns the rank of an entry for this key, by the finaliser of the `SplitMix64` generator;
    /// the highest ranks come first.
    pub(crate) const fn rank(self, entry: Ipv4Addr) -> u64 {
        let mut z = self.0 ^ (entry.to_bits() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

/// Returns the owners of `key` among `entries`, highest rank first.
pub fn owners_of(
    key: OwnedKey,
    entries: impl IntoIterator<Item = Ipv4Addr>,
) -> impl Iterator<Item = Ipv4Addr> {
    highest_ranked::<OWNERS_PER_KEY>(key, entries)
}

/// Returns the `N` entries that rank highest for `key`, in this order.
pub fn highest_ranked<const N: usize>(
    key: OwnedKey,
    entries: impl IntoIterator<Item = Ipv4Addr>,
) -> impl Iterator<Item = Ipv4Addr> {
    let mut owners: [Option<(u64, Ipv4Addr)>; N] = [None; N];
    for entry in entries {
        let mut ranked = Some((key.rank(entry), entry));
        for slot in &mut owners {
            if ranked > *slot {
                std::mem::swap(slot, &mut ranked);
            }
        }
    }
    owners.into_iter().flatten().map(|(_, entry)| entry)
}
