//! Updates of the pool from records of the upstream list.
//!
//! Each record carries the revision of the list at which it was written. The newest
//! record of an upstream holds, whatever the order and the source of records.
//!
//! An upstream may restart under the same id. The start takes precedence over the
//! revision: a record of an older start is stale whenever it was written, and one of
//! a newer start ends the old incarnation. The new incarnation gets an entry of its
//! own in the pool, so that references to the old one find it ended.

use crate::foreign_record::StartClaim;
use crate::ids::{Digest, Name};
use crate::interference::ReadingShare;
use crate::leave_notice::LeaveNotice;
use crate::pace::ObservedPace;
use crate::placed::Placed;
use crate::pool::Pool;
use crate::rate_limit::KnownRate;
use crate::revision::era_of;
use crate::sent_requests::SentRequests;
use crate::time::Time;
use crate::upstream::{Upstream, UpstreamIx, UpstreamRecord, UpstreamState};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Change of an upstream that affects the work on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolChange {
    /// An upstream newly takes work.
    Available(UpstreamIx),
    /// An upstream leaves or was removed from the list.
    Leaves(UpstreamIx),
    /// An upstream restarted under the same id.
    Restarted {
        /// The old incarnation; its runs and its memory are lost.
        ended: UpstreamIx,
        /// The new incarnation.
        begun: UpstreamIx,
    },
    /// The record of an upstream became unreadable.
    Unreadable(UpstreamIx),
    /// The list lacks an upstream that may still be alive.
    Missing(UpstreamIx),
    /// A missing upstream is on the list again.
    Relisted {
        /// The upstream.
        ix: UpstreamIx,
        /// Time for which it was missing.
        missing_for: Duration,
    },
}

/// Change of the list of upstreams, as announced between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// An upstream wrote its record.
    Listed(UpstreamRecord),
    /// An upstream was removed from the list.
    Removed {
        /// The upstream.
        instance: Name,
        /// Revision of its removal.
        revision: u64,
    },
}

/// Changes of the list since a revision, as sent to an entry that knows the list as of then.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangesSince {
    /// Records that were written.
    pub listed: Vec<UpstreamRecord>,
    /// Upstreams, known before, of which only the state changed to leaving, with the revision.
    pub leaving: Vec<(Name, u64)>,
    /// Upstreams removed from the list, with the revision of the removal.
    pub removed: Vec<(Name, u64)>,
}

/// Maximum number of recent changes kept to be announced.
const MAX_ANNOUNCED_CHANGES: usize = 16;

/// Time for which a change of the list is announced repeatedly.
const CHANGE_ANNOUNCE_TIME: Duration = Duration::from_millis(1_200);

/// Time for which a removed upstream is kept, so that an older record can't add it again.
const REMOVED_RETENTION: Duration = Duration::from_mins(1);

impl Pool {
    /// Returns the revision up to which every change of the list is known.
    #[must_use]
    pub const fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Records that every change of the list up to a revision is known.
    pub fn record_complete(&mut self, revision: u64) {
        self.complete_to = self.complete_to.max(revision);
    }

    /// Inserts or updates an upstream by its record, unless the held one is newer.
    pub fn upsert(&mut self, now: Time, record: UpstreamRecord) -> Option<PoolChange> {
        self.revision = self.revision.max(record.revision);
        let record = self.with_departure_kept(record);
        let Some(ix) = self.find(&record.instance) else {
            return self.add_new(now, record);
        };
        let u = &self.upstreams[ix.0];
        let kind = classify(&u.record, u.removed, &record);
        match kind {
            RecordKind::Stale => {
                let u = &mut self.upstreams[ix.0];
                if is_same_incarnation(&u.record, &record) {
                    u.learn_version(&record);
                }
                return None;
            }
            RecordKind::Restart => {
                let claim = self.judge_restart(now, ix, &record);
                return self.apply_start(now, ix, record, &claim);
            }
            RecordKind::Contradiction => {
                let claim = self.judge_earlier_start(now, ix, &record);
                return self.apply_start(now, ix, record, &claim);
            }
            RecordKind::Foreign => return self.set_aside(now, &record),
            RecordKind::Update => {}
        }
        let u = &mut self.upstreams[ix.0];
        u.learn_version(&record);
        u.record_own(&record);
        let software_version = u.record.software_version.clone();
        let record = UpstreamRecord {
            software_version,
            ..record
        };
        self.record_change(now, ListChange::Listed(record.clone()));
        self.digest ^= digest_of(&record);
        let u = &mut self.upstreams[ix.0];
        if !u.removed {
            self.digest ^= digest_of(&u.record);
        }
        // A record written before the list lacked the upstream doesn't show that it is listed again.
        let was_missing = u.missing.take_if(|m| m.revision < record.revision);
        let was_serving = u.is_serving();
        u.removed = false;
        u.cold_until = now + record.cold_for;
        u.record = record;
        match (was_serving, u.record.state) {
            (true, UpstreamState::Leaving) => {
                u.left_at = Some(now);
                Some(PoolChange::Leaves(ix))
            }
            (false, UpstreamState::Serving) if u.is_serving() => {
                u.left_at = None;
                Some(PoolChange::Available(ix))
            }
            (true, UpstreamState::Unreadable) => Some(PoolChange::Unreadable(ix)),
            _ => was_missing.map(|missing| PoolChange::Relisted {
                ix,
                missing_for: now.since(missing.since),
            }),
        }
    }

    /// Applies a record that states another start than the held one.
    fn apply_start(
        &mut self,
        now: Time,
        ix: UpstreamIx,
        record: UpstreamRecord,
        claim: &StartClaim,
    ) -> Option<PoolChange> {
        match claim {
            StartClaim::Credible => Some(self.restart(now, ix, record)),
            StartClaim::Doubtful => self.set_aside(now, &record),
            StartClaim::Late => None,
        }
    }

    /// Holds an upstream's record for unreadable, since another one that may be foreign has taken its place.
    fn set_aside(&mut self, now: Time, record: &UpstreamRecord) -> Option<PoolChange> {
        let lost = self.unreadable(&record.instance, record.revision)?;
        self.upsert(now, lost)
    }

    /// Returns the record, set to leaving if its upstream left before the store was restored.
    ///
    /// An incarnation that announced its leaving, or was removed, never takes new work again. Until it
    /// writes its record in the new era, the restored list contains an older one. Where records state no
    /// start, each incarnation has an id of its own.
    fn with_departure_kept(&self, record: UpstreamRecord) -> UpstreamRecord {
        let Some(ix) = self.find(&record.instance) else {
            return record;
        };
        let held = &self.upstreams[ix.0];
        let is_of_later_era = era_of(record.revision) > era_of(held.record.revision);
        let is_same_incarnation =
            record.upstream_incarnation() == held.record.upstream_incarnation();
        let had_left = held.removed || held.record.state == UpstreamState::Leaving;
        if is_of_later_era && is_same_incarnation && had_left {
            let state = UpstreamState::Leaving;
            return UpstreamRecord { state, ..record };
        }
        record
    }

    /// Adds an unknown upstream, unless the list is known to lack it.
    fn add_new(&mut self, now: Time, record: UpstreamRecord) -> Option<PoolChange> {
        let is_unlisted = self.is_missing_from_list(record.revision);
        if is_unlisted && self.is_settled(now) {
            return None;
        }
        let revision = self.list_revision;
        self.record_change(now, ListChange::Listed(record.clone()));
        let change = self.add(now, record);
        if is_unlisted && let PoolChange::Available(ix) = change {
            self.mark_missing(now, ix, revision);
        }
        Some(change)
    }

    /// Ends an incarnation and adds the later one that has taken its id.
    pub(crate) fn restart(
        &mut self,
        now: Time,
        old: UpstreamIx,
        record: UpstreamRecord,
    ) -> PoolChange {
        let u = &mut self.upstreams[old.0];
        // The id may have been removed from the list since the new incarnation wrote its record.
        let missing = u.missing.take_if(|m| m.revision >= record.revision);
        if !u.removed {
            self.digest ^= digest_of(&u.record);
        }
        u.crashed = u.is_serving();
        let (service, version) = (&u.record.service, u.record.software_version.as_ref());
        self.left_versions.record(now, service, version);
        u.removed = true;
        u.ended = true;
        u.left_at = Some(now);
        u.announced_work.clear();
        u.replied = None;
        self.record_change(now, ListChange::Listed(record.clone()));
        let begun = self.insert(now, record);
        self.upstreams[begun.0].missing = missing;
        PoolChange::Restarted { ended: old, begun }
    }

    /// Returns the record to hold for an upstream whose listed record is unreadable as of `revision`;
    /// `None` for an unknown or removed upstream.
    #[must_use]
    pub fn unreadable(&self, instance: &str, revision: u64) -> Option<UpstreamRecord> {
        let held = &self.upstreams[self.find(instance)?.0];
        if held.removed {
            return None;
        }
        Some(UpstreamRecord {
            state: UpstreamState::Unreadable,
            revision,
            ..held.record.clone()
        })
    }

    fn add(&mut self, now: Time, record: UpstreamRecord) -> PoolChange {
        let is_leaving = record.state == UpstreamState::Leaving;
        let ix = self.insert(now, record);
        if is_leaving {
            PoolChange::Leaves(ix)
        } else {
            PoolChange::Available(ix)
        }
    }

    fn insert(&mut self, now: Time, record: UpstreamRecord) -> UpstreamIx {
        let is_leaving = record.state == UpstreamState::Leaving;
        let upstream = Upstream {
            cold_until: now + record.cold_for,
            memory_tokens: self.memory_of.get(&record.service).copied(),
            first_revision: record.revision,
            version: record.version_key(),
            record,
            sent_requests: SentRequests::default(),
            rate: KnownRate::default(),
            removed: false,
            ended: false,
            crashed: false,
            awaits_service: None,
            contradicted_since: None,
            left_at: is_leaving.then_some(now),
            leave_notice: LeaveNotice::default(),
            missing: None,
            own_work: Placed::default(),
            announced_work: HashMap::new(),
            unreachable: HashMap::new(),
            replied: None,
            avoid_until: Time::default(),
            paused_until: Time::default(),
            failing: 0.0,
            shared_prompts: HashMap::new(),
            pace: ObservedPace::default(),
            reading: ReadingShare::default(),
        };
        let free = |u: &Upstream| {
            u.removed
                && u.own_work == Placed::default()
                && u.left_at.is_none_or(|t| now.since(t) > REMOVED_RETENTION)
        };
        let service = upstream.record.service.clone();
        let instance = upstream.record.instance.clone();
        self.digest ^= digest_of(&upstream.record);
        let at = if let Some(at) = self.upstreams.iter().position(free) {
            self.remove_from_indices(at);
            self.upstreams[at] = upstream;
            at
        } else {
            self.upstreams.push(upstream);
            self.upstreams.len() - 1
        };
        self.by_instance.insert(instance, at);
        self.by_service.entry(service).or_default().push(at);
        UpstreamIx(at)
    }

    /// Removes an upstream from the indices by instance and by service.
    fn remove_from_indices(&mut self, at: usize) {
        let record = &self.upstreams[at].record;
        // A later incarnation may have taken the id.
        if self.by_instance.get(&record.instance) == Some(&at) {
            self.by_instance.remove(&record.instance);
        }
        if let Some(of_service) = self.by_service.get_mut(&record.service) {
            of_service.retain(|i| *i != at);
        }
    }

    fn record_change(&mut self, now: Time, change: ListChange) {
        self.changes.push_back((now, change));
        if self.changes.len() > MAX_ANNOUNCED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the recent changes of the list, to announce to other entries.
    #[must_use]
    pub fn list_changes(&self, now: Time) -> Vec<ListChange> {
        let fresh = |(at, _): &&(Time, ListChange)| now.since(*at) < CHANGE_ANNOUNCE_TIME;
        let changes = self.changes.iter().filter(fresh);
        changes.map(|(_, change)| change.clone()).collect()
    }

    /// Applies a change that another entry announced.
    pub fn apply_change(&mut self, now: Time, change: ListChange) -> Option<PoolChange> {
        match change {
            ListChange::Listed(record) => self.upsert(now, record),
            ListChange::Removed { instance, revision } => self.remove(now, &instance, revision),
        }
    }

    /// Returns the digest of the list; entries with equal digests know the same upstreams.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the changes since a revision, as far as they are still kept.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> ChangesSince {
        let mut changes = ChangesSince::default();
        for u in &self.upstreams {
            if u.ended || u.record.revision <= revision {
                continue;
            }
            let name_and_revision = (u.record.instance.clone(), u.record.revision);
            let is_known = u.first_revision <= revision;
            match u.record.state {
                _ if u.removed => changes.removed.push(name_and_revision),
                UpstreamState::Leaving if is_known => changes.leaving.push(name_and_revision),
                _ => changes.listed.push(u.record.clone()),
            }
        }
        changes
    }

    /// Records that an upstream leaves, as of `revision`.
    pub fn mark_leaving(&mut self, now: Time, instance: &str, revision: u64) -> Option<PoolChange> {
        let held = &self.upstreams[self.find(instance)?.0].record;
        let record = UpstreamRecord {
            state: UpstreamState::Leaving,
            revision,
            ..held.clone()
        };
        self.upsert(now, record)
    }

    /// Removes an upstream that is confirmed to be gone as of `revision`.
    pub fn remove(&mut self, now: Time, instance: &str, revision: u64) -> Option<PoolChange> {
        self.revision = self.revision.max(revision);
        let ix = self.find(instance)?;
        let u = &mut self.upstreams[ix.0];
        if revision < u.record.revision {
            return None;
        }
        if u.removed {
            u.record.revision = revision;
            return None;
        }
        self.digest ^= digest_of(&u.record);
        u.record.revision = revision;
        u.removed = true;
        u.missing = None;
        let (service, version) = (&u.record.service, u.record.software_version.as_ref());
        self.left_versions.record(now, service, version);
        let instance = u.record.instance.clone();
        self.record_change(now, ListChange::Removed { instance, revision });
        let u = &mut self.upstreams[ix.0];
        if u.left_at.is_some() {
            return None;
        }
        u.left_at = Some(now);
        Some(PoolChange::Leaves(ix))
    }

    /// Removes the upstreams that a confirmed list as of `revision` lacks.
    pub fn remove_unlisted(
        &mut self,
        now: Time,
        listed: &[UpstreamRecord],
        revision: u64,
    ) -> Vec<PoolChange> {
        let listed: HashSet<&Name> = listed.iter().map(|r| &r.instance).collect();
        let is_unlisted = |u: &&Upstream| {
            let known = &u.record;
            !u.removed && !listed.contains(&known.instance) && known.revision <= revision
        };
        let names = self.upstreams.iter().filter(is_unlisted);
        let names: Vec<Name> = names.map(|u| u.record.instance.clone()).collect();
        names
            .iter()
            .filter_map(|name| self.remove(now, name, revision))
            .collect()
    }
}

/// Kind of a received record, compared with the held one.
enum RecordKind {
    /// Older than the held one, or as old.
    Stale,
    /// Newer record of the same incarnation.
    Update,
    /// Record of a later incarnation.
    Restart,
    /// Newer record with an earlier start.
    Contradiction,
    /// Not written by the upstream itself.
    Foreign,
}

/// Classifies a received record against the held one.
///
/// An incarnation never changes its service, its address, or a software version or start that it has stated; a
/// record that does was written by someone else, or by a later incarnation if the held one was removed.
fn classify(held: &UpstreamRecord, is_removed: bool, received: &UpstreamRecord) -> RecordKind {
    let has_other_version = received.contradicts_version(held);
    let moved = received.service != held.service || received.addr != held.addr || has_other_version;
    match (held.incarnation.is_known(), received.incarnation.is_known()) {
        (true, true) if received.incarnation > held.incarnation => RecordKind::Restart,
        _ if received.revision <= held.revision => RecordKind::Stale,
        (true, true) if received.incarnation < held.incarnation => RecordKind::Contradiction,
        // The held record, which states no start, was foreign.
        (false, true) if moved => RecordKind::Restart,
        (true, false) => RecordKind::Foreign,
        _ if is_removed && has_other_version => RecordKind::Restart,
        _ if moved => RecordKind::Foreign,
        _ => RecordKind::Update,
    }
}

/// Returns whether two records are of one incarnation, as far as they state it.
fn is_same_incarnation(held: &UpstreamRecord, received: &UpstreamRecord) -> bool {
    received.incarnation == held.incarnation
        && received.service == held.service
        && received.addr == held.addr
}

/// Returns the contribution of a record to the digest of the list.
#[allow(clippy::cast_possible_truncation)]
fn digest_of(record: &UpstreamRecord) -> u64 {
    let revision = record.revision.to_le_bytes();
    let incarnation = record.incarnation.0.to_le_bytes();
    Digest::of(&[record.instance.as_bytes(), &revision, &incarnation]).0 as u64
}
