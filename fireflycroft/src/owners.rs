//! Which entries hold what is known of one upstream or one request.
//!
//! All entries that place work on an upstream tell its owners, and all that
//! choose among upstreams ask them. So what a choice sees doesn't get worse with
//! the number of entries, and what an entry sends grows with its own requests.
//! In the same way the owners of a service lend what is left of its repeats, and
//! those of a request know whether its caller was refused before.
//!
//! The owners of a key are the entries that rank first for it by rendezvous
//! hashing: each entry ranks all others that it knows to live by a hash of key
//! and address. Entries that know the same others find the same owners without
//! agreement, and one that comes or goes changes the owners of its share of the
//! keys only. There are two, so that the loss of one takes no knowledge away.

use crate::ids::Digest;
use std::net::Ipv4Addr;

/// Owners of a key.
pub const OWNERS_PER_KEY: usize = 2;

/// What has owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OwnedKey(u64);

impl OwnedKey {
    /// The load of an upstream.
    #[must_use]
    pub fn of_upstream(instance: &str) -> Self {
        Self::folded(Digest::of(&[b"load", instance.as_bytes()]))
    }

    /// The repeats of a service.
    #[must_use]
    pub fn of_retries(service: &str) -> Self {
        Self::folded(Digest::of(&[b"repeats", service.as_bytes()]))
    }

    /// The order in which entries watch the platform's store for the others.
    pub(crate) const fn of_watch() -> Self {
        Self(0)
    }

    /// A request, by the digest of what is asked.
    #[must_use]
    pub const fn of_content(content: Digest) -> Self {
        Self::folded(content)
    }

    #[allow(clippy::cast_possible_truncation)]
    const fn folded(digest: Digest) -> Self {
        Self(digest.0 as u64 ^ (digest.0 >> 64) as u64)
    }

    /// Rank of an entry for this key, by the finaliser of the `SplitMix64` generator; the highest
    /// go first.
    pub(crate) const fn rank(self, entry: Ipv4Addr) -> u64 {
        let mut z = self.0 ^ (entry.to_bits() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

/// The owners of `key` among `entries`, the first one first.
pub fn owners_of(
    key: OwnedKey,
    entries: impl IntoIterator<Item = Ipv4Addr>,
) -> impl Iterator<Item = Ipv4Addr> {
    let mut owners: [Option<(u64, Ipv4Addr)>; OWNERS_PER_KEY] = [None; OWNERS_PER_KEY];
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
