//! The entries of the fleet as one of them knows them, and its part of what all may do together.
//!
//! Entries rank each other by rendezvous hashing ([`crate::owners_of`]), so
//! those that know the same others divide a whole number without agreement and
//! without a remainder: the first in rank get one more. Entries that were lost a
//! short while ago count, since they may only be cut off.

use crate::owners::OwnedKey;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Time after its start in which an entry hears of nearly all others: those that watch the store have
/// heard from each of them, and name them all.
pub const FULL_VIEW_AFTER: Duration = Duration::from_secs(2);

/// The entries that an entry knows, by hearsay too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    own_addr: Ipv4Addr,
    others: Vec<Ipv4Addr>,
    /// Entries that are taken to be there without having been heard of.
    assumed: usize,
}

impl FleetView {
    /// The fleet of this entry and `others`.
    #[must_use]
    pub fn new(own_addr: Ipv4Addr, others: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        Self {
            own_addr,
            others: others.into_iter().collect(),
            assumed: 0,
        }
    }

    /// A fleet of which nothing is known yet, so that no part of anything is this entry's.
    ///
    /// An entry that has just started has heard of few, and in a fleet that starts as a whole so have
    /// the others.
    #[must_use]
    pub fn unknown(own_addr: Ipv4Addr) -> Self {
        Self::new(own_addr, []).at_least(usize::MAX)
    }

    /// The same fleet, taken to have at least so many entries.
    #[must_use]
    pub fn at_least(mut self, entries: usize) -> Self {
        self.assumed = entries.saturating_sub(1 + self.others.len());
        self
    }

    /// Number of entries, this one included.
    #[must_use]
    pub const fn entries(&self) -> usize {
        (1 + self.others.len()).saturating_add(self.assumed)
    }

    /// This entry's part of `whole`; those that weren't heard of are taken to rank before it.
    pub(crate) fn share_of(&self, key: OwnedKey, whole: usize) -> usize {
        let each = whole / self.entries();
        let remainder = whole % self.entries();
        if remainder <= self.assumed {
            return each;
        }
        let ranked_before = self.others.iter();
        let ranked_before = ranked_before.filter(|ip| key.rank(**ip) > key.rank(self.own_addr));
        each + usize::from(ranked_before.count() + self.assumed < remainder)
    }
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new(Ipv4Addr::UNSPECIFIED, [])
    }
}
