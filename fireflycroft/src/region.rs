//! Regions, and the allowed regions of requests.
//!
//! A route or a workspace may name allowed regions; those of both apply to a
//! request. Upstreams for its run, a memory backup or a migration are chosen
//! only from regions that both allow.

use crate::ids::Name;
use crate::pool::Pool;
use std::collections::HashMap;

/// A set of regions, as [`Regions`] numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// Returns the intersection of both sets.
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
    /// Builds the regions from pairs of a data centre and its region.
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

    /// Returns the set of the named regions that have a data centre; none, for any region, if no
    /// region is named.
    #[must_use]
    pub fn homes(&self, names: &[Name]) -> Option<RegionSet> {
        if names.is_empty() {
            return None;
        }
        let known = names.iter().filter_map(|name| self.numbers.get(name));
        let set = known.fold(0, |set, number| set | singleton(*number).0);
        Some(RegionSet(set))
    }

    /// Returns whether a data centre is in one of the regions; an unknown one is in none.
    fn contains(&self, homes: RegionSet, data_centre: &Name) -> bool {
        let region = self.of_data_centre.get(data_centre);
        region.is_some_and(|region| homes.and(*region).0 != 0)
    }
}

/// Returns the set of one region; empty beyond the 64th.
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

    /// Returns the regions in which a request of a route and a workspace with these allowed regions
    /// may run; `None` if neither names any.
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
