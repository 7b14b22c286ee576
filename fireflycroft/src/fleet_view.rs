//! One entry's view of the fleet, and its share of fleet-wide limits.
//!
//! Entries rank each other by rendezvous hashing ([`crate::owners_of`]), so entries with the same
//! view divide a whole number without coordination or remainder: the highest ranks get one more.
//! Recently lost entries still count, since they may only be partitioned.

use crate::owners::OwnedKey;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Time after its start by which an entry knows nearly all others: the watchers of the store have
/// received announcements from each entry and name them all.
pub const FULL_VIEW_AFTER: Duration = Duration::from_secs(2);

/// The entries known to an entry, including those known by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    own_addr: Ipv4Addr,
    others: Vec<Ipv4Addr>,
    /// Entries assumed to exist that have not been discovered.
    assumed: usize,
}

impl FleetView {
    /// Creates the view of a fleet of this entry and `others`.
    #[must_use]
    pub fn new(own_addr: Ipv4Addr, others: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        Self {
            own_addr,
            others: others.into_iter().collect(),
            assumed: 0,
        }
    }

    /// Creates the view of an unknown fleet, in which this entry's share of anything is zero.
    ///
    /// An entry that has just started knows few others, and when a whole fleet starts, so do they.
    #[must_use]
    pub fn unknown(own_addr: Ipv4Addr) -> Self {
        Self::new(own_addr, []).at_least(usize::MAX)
    }

    /// Assumes at least this number of entries.
    #[must_use]
    pub fn at_least(mut self, entries: usize) -> Self {
        self.assumed = entries.saturating_sub(1 + self.others.len());
        self
    }

    /// Returns the number of entries, this one included.
    #[must_use]
    pub const fn entries(&self) -> usize {
        (1 + self.others.len()).saturating_add(self.assumed)
    }

    /// Returns this entry's share of `whole`; undiscovered entries are assumed to rank before it.
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
