//! Upstreams that the list lacks: removed, or missing until the store has answered for long enough.
//!
//! The reader of the store passes in what it read and when the store answered. Whether a missing
//! upstream is gone is decided here, by [`StoreConnectivity`]. A removal announced by another entry
//! is applied at once, since that entry has confirmed it in the same way.

use crate::ids::Name;
use crate::listing::PoolChange;
use crate::pool::Pool;
use crate::store_connectivity::StoreConnectivity;
use crate::time::Time;
use crate::upstream::{UpstreamIx, UpstreamRecord};
use std::collections::HashSet;
use std::time::Duration;

/// State of an upstream that the list lacks but that may be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Missing {
    /// Time at which it was found missing.
    pub(crate) since: Time,
    /// Revision of the list that lacks it.
    pub(crate) revision: u64,
}

impl Pool {
    /// Sets the interval between heartbeats of an upstream.
    pub const fn set_heartbeat(&mut self, heartbeat: Duration) {
        self.store_connectivity = StoreConnectivity::new(heartbeat);
    }

    /// Records an answer of the store; returns true if records may have expired in the silence before.
    pub fn record_store_answer(&mut self, at: Time) -> bool {
        self.store_connectivity.record_answer(at)
    }

    /// Records that the store was restored from a backup.
    pub const fn record_store_restored(&mut self, at: Time) {
        self.store_connectivity.record_restored(at);
    }

    /// Records an unanswered call to the store.
    pub const fn record_store_failure(&mut self) {
        self.store_connectivity.record_failure();
    }

    /// Returns the connectivity of the store, as far as known.
    #[must_use]
    pub const fn store_connectivity(&self) -> &StoreConnectivity {
        &self.store_connectivity
    }

    /// Returns whether upstreams missing from the list are gone.
    #[must_use]
    pub fn is_settled(&self, now: Time) -> bool {
        self.store_connectivity.is_settled(now)
    }

    /// Applies the removal of a record, read from the store: removes the upstream, or marks it missing
    /// while removals are unconfirmed.
    pub fn apply_removal(
        &mut self,
        now: Time,
        instance: &str,
        revision: u64,
    ) -> Option<PoolChange> {
        let is_confirmed = self.store_connectivity.confirms_removals(now);
        self.remove_or_mark_missing(now, instance, revision, is_confirmed)
    }

    fn remove_or_mark_missing(
        &mut self,
        now: Time,
        instance: &str,
        revision: u64,
        is_confirmed: bool,
    ) -> Option<PoolChange> {
        if is_confirmed {
            return self.remove(now, instance, revision);
        }
        self.revision = self.revision.max(revision);
        let ix = self.find(instance)?;
        self.mark_missing(now, ix, revision)
    }

    /// Applies a whole list as of `revision`, read from the store.
    pub fn apply_list(
        &mut self,
        now: Time,
        records: Vec<UpstreamRecord>,
        revision: u64,
    ) -> Vec<PoolChange> {
        let listed: HashSet<Name> = records.iter().map(|r| r.instance.clone()).collect();
        let known = self.records().map(|r| r.instance.clone());
        let unlisted: Vec<Name> = known.filter(|name| !listed.contains(name)).collect();
        let is_confirmed = self.is_settled(now);
        let unlisted = unlisted.iter();
        let mut changes: Vec<PoolChange> = unlisted
            .filter_map(|name| self.remove_or_mark_missing(now, name, revision, is_confirmed))
            .collect();
        changes.extend(records.into_iter().filter_map(|r| self.upsert(now, r)));
        self.list_revision = self.list_revision.max(revision);
        self.record_complete(revision);
        changes
    }

    /// Returns whether a record of an unknown upstream predates the last list read, which lacks it.
    ///
    /// It comes from an entry that hasn't removed the upstream yet. If that entry is lost first, no
    /// other one announces the removal.
    pub(crate) const fn is_missing_from_list(&self, revision: u64) -> bool {
        revision <= self.list_revision
    }

    pub(crate) fn mark_missing(
        &mut self,
        now: Time,
        ix: UpstreamIx,
        revision: u64,
    ) -> Option<PoolChange> {
        let u = &mut self.upstreams[ix.0];
        let is_known = u.removed || u.missing.is_some();
        if is_known || u.record.revision > revision {
            return None;
        }
        u.missing = Some(Missing {
            since: now,
            revision,
        });
        Some(PoolChange::Missing(ix))
    }

    /// Removes the missing upstreams once they are confirmed to be gone.
    pub fn remove_missing(&mut self, now: Time) -> Vec<PoolChange> {
        if !self.is_settled(now) {
            return Vec::new();
        }
        self.clear_unconfirmed_evacuations();
        let missing = self.upstreams.iter().filter(|u| !u.removed);
        let missing = missing.filter_map(|u| Some((u.record.instance.clone(), u.missing?)));
        let missing: Vec<(Name, Missing)> = missing.collect();
        let missing = missing.into_iter();
        missing
            .filter_map(|(name, missing)| self.remove(now, &name, missing.revision))
            .collect()
    }

    /// Returns whether any upstream is missing.
    #[must_use]
    pub fn any_missing(&self) -> bool {
        self.upstreams
            .iter()
            .any(|u| !u.removed && u.missing.is_some())
    }
}
