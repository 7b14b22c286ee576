//! Regions, and which of them a request may be run in.
//!
//! A route or a workspace may name home regions; a request of both is bound by
//! both. Wherever an upstream is chosen for it, for its run, a copy of its memory
//! or a move, only those in its homes count.

use crate::ids::Name;
use crate::pool::Pool;
use std::collections::HashMap;

/// A set of regions, as [`Regions`] numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// The regions in both sets.
    #[must_use]
    pub const fn and(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }
}

/// The data centres of a deployment, by region.
#[derive(Clone, Debug, Default)]
pub struct Regions {
    numbers: HashMap<Name, u32>,
    of_data_centre: HashMap<Name, RegionSet>,
}

impl Regions {
    /// The regions of data centres, each pair a data centre and its region.
    #[must_use]
    pub fn new(data_centres: impl IntoIterator<Item = (Name, Name)>) -> Self {
        let mut regions = Self::default();
        for (data_centre, region) in data_centres {
            let next = u32::try_from(regions.numbers.len()).unwrap_or(u32::MAX);
            let number = *regions.numbers.entry(region).or_insert(next);
            regions
                .of_data_centre
                .insert(data_centre, singleton(number));
        }
        regions
    }

    /// The set of the regions with these names, those that have no data centre left out; none where
    /// no region is named, so that any will do.
    #[must_use]
    pub fn homes(&self, names: &[Name]) -> Option<RegionSet> {
        if names.is_empty() {
            return None;
        }
        let known = names.iter().filter_map(|name| self.numbers.get(name));
        let set = known.fold(0, |set, number| set | singleton(*number).0);
        Some(RegionSet(set))
    }

    /// Whether a data centre is in one of the regions; one that isn't known is in none.
    fn contains(&self, homes: RegionSet, data_centre: &Name) -> bool {
        let region = self.of_data_centre.get(data_centre);
        region.is_some_and(|region| homes.and(*region).0 != 0)
    }
}

/// The set of one region; beyond the 64th, the empty one.
const fn singleton(number: u32) -> RegionSet {
    match 1_u64.checked_shl(number) {
        Some(bit) => RegionSet(bit),
        None => RegionSet(0),
    }
}

impl Pool {
    /// Sets the regions of data centres.
    pub fn set_regions(&mut self, regions: Regions) {
        self.regions = regions;
    }

    /// The regions in which a request of a route and a workspace with these homes may run; none where
    /// neither has any.
    #[must_use]
    pub fn homes(&self, of_route: &[Name], of_workspace: &[Name]) -> Option<RegionSet> {
        let both = [
            self.regions.homes(of_route),
            self.regions.homes(of_workspace),
        ];
        both.into_iter().flatten().reduce(RegionSet::and)
    }

    pub(crate) fn is_home(&self, homes: Option<RegionSet>, data_centre: &Name) -> bool {
        homes.is_none_or(|homes| self.regions.contains(homes, data_centre))
    }
}
