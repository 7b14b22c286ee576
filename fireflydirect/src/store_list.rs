//! A list of the store's objects, put together from its pages.

use fireflycroft::{Name, era_of};
use fireflycroft_platform::{StoreObject, StorePage};
use std::fmt;

/// Pages read so far of one list.
#[derive(Debug, Default)]
pub struct StoreList {
    objects: Vec<StoreObject>,
    revision: Option<u64>,
}

/// A page after which the list can't go on: more are said to follow, but none of its names is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoProgress;

impl fmt::Display for NoProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a page of the list holds no further name")
    }
}

impl std::error::Error for NoProgress {}

impl StoreList {
    /// Returns the objects read so far.
    #[must_use]
    pub fn objects(&self) -> &[StoreObject] {
        &self.objects
    }

    /// Returns the revision of the first page: a watch from there repeats changes made between two pages.
    #[must_use]
    pub const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the name after which the next page begins.
    #[must_use]
    pub fn last_name(&self) -> Option<Name> {
        self.objects.last().map(|o| o.name.clone())
    }

    /// Appends the next page and returns whether more are to be read; one of another era than the first drops all
    /// pages, and the list begins anew.
    ///
    /// # Errors
    ///
    /// [`NoProgress`] if the next call would return the same page again.
    pub fn append(&mut self, page: StorePage) -> Result<bool, NoProgress> {
        let first = *self.revision.get_or_insert(page.revision);
        if era_of(first) != era_of(page.revision) {
            *self = Self::default();
            return Ok(true);
        }
        let after = self.last_name();
        self.objects.extend(page.objects);
        if page.more && self.last_name() == after {
            return Err(NoProgress);
        }
        Ok(page.more)
    }
}
