//! Data centres that are evacuated: nothing new goes to their upstreams until they are taken back.
//!
//! The operator writes which ones; entries that read the platform's store tell
//! the whole list to the others, with the revision at which it held, and the
//! newest list is in force everywhere. Where the store has come back from a copy,
//! what was evacuated stays so until its writer has had the time to write it
//! again. An evacuated upstream hasn't left: what
//! runs there goes on to its end, and its record stays on the list.

use crate::ids::Name;
use crate::pool::Pool;
use crate::revision::era_of;
use crate::time::Time;
use crate::upstream::UpstreamIx;
use std::collections::BTreeSet;

/// The data centres that are evacuated, as of a revision of the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision at which the list held; zero while nothing is known.
    pub revision: u64,
    /// The data centres.
    pub data_centres: BTreeSet<Name>,
}

impl Evacuations {
    /// The list once a data centre is evacuated, or taken back.
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
    /// The data centres that are evacuated.
    #[must_use]
    pub const fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Takes a list of evacuated data centres unless it is not newer than the one in force; true when
    /// other data centres are evacuated than before.
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

    /// Believes the list of a store that has come back from a copy.
    pub(crate) fn clear_unconfirmed_evacuations(&mut self) {
        self.unconfirmed_evacuations.clear();
    }

    pub(crate) fn is_closed_to_new_work(&self, data_centre: &Name) -> bool {
        let listed = &self.evacuations.data_centres;
        listed.contains(data_centre) || self.unconfirmed_evacuations.contains(data_centre)
    }

    /// Whether an upstream stands in a data centre that is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, ix: UpstreamIx) -> bool {
        self.is_closed_to_new_work(&self.record(ix).data_centre)
    }
}
