//! Evacuated data centres: their upstreams get no new work until the evacuation ends.
//!
//! The operator writes the list; entries that read the platform's store announce
//! the whole list with its revision, and the newest one is active. After the
//! store was restored from a backup, earlier evacuations stay active until their
//! writer has had the time to write them again. An evacuated upstream hasn't left:
//! its runs continue to their end, and its record stays on the list.

use crate::ids::Name;
use crate::pool::Pool;
use crate::revision::era_of;
use crate::time::Time;
use crate::upstream::UpstreamIx;
use std::collections::BTreeSet;

/// Evacuated data centres, as of a revision of the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision of the list; zero until one is known.
    pub revision: u64,
    /// Names of the data centres.
    pub data_centres: BTreeSet<Name>,
}

impl Evacuations {
    /// Returns the list with a data centre added or removed.
    #[must_use]
    pub fn with(mut self, data_centre: Name, evacuated: bool) -> Self {
        if evacuated {
            self.data_centres.insert(data_centre);
        } else {
            self.data_centres.remove(&data_centre);
        }
        self
    }
}

impl Pool {
    /// Returns the evacuated data centres.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies a list of evacuated data centres if it is newer than the active one; returns whether
    /// the set of data centres changed.
    pub fn apply_evacuations(&mut self, now: Time, received: Evacuations) -> bool {
        let held = &self.evacuations;
        if received.revision <= held.revision {
            return false;
        }
        let changed = received.data_centres != held.data_centres;
        if era_of(received.revision) > era_of(held.revision) && !self.is_settled(now) {
            let lost = held.data_centres.difference(&received.data_centres);
            self.unconfirmed_evacuations.extend(lost.cloned());
        }
        self.evacuations = received;
        changed
    }

    /// Drops the evacuations that a restored store's list lacks.
    pub(crate) fn clear_unconfirmed_evacuations(&mut self) {
        self.unconfirmed_evacuations.clear();
    }

    pub(crate) fn is_closed_to_new_work(&self, data_centre: &Name) -> bool {
        let listed = &self.evacuations.data_centres;
        listed.contains(data_centre) || self.unconfirmed_evacuations.contains(data_centre)
    }

    /// Returns whether an upstream is in an evacuated data centre.
    #[must_use]
    pub fn is_evacuated(&self, ix: UpstreamIx) -> bool {
        self.is_closed_to_new_work(&self.record(ix).data_centre)
    }
}
