//! The objects, with the history that stale reads and restores need.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

/// Past versions kept of each object.
const HISTORY_VERSIONS: usize = 256;

/// Changes kept for watches.
const CHANGES_KEPT: usize = 65_536;

/// The place of an object.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    pub(super) kind: Arc<str>,
    pub(super) name: Arc<str>,
}

impl Key {
    pub(super) fn new(kind: impl Into<Arc<str>>, name: impl Into<Arc<str>>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }
}

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Condition {
    /// Nothing.
    Always,
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// A write whose condition didn't hold, with the version found (0 for none).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Conflict {
    pub(super) version: u64,
}

/// An object as an answer shows it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Object {
    pub(super) kind: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) version: u64,
    pub(super) value: Arc<Value>,
}

/// The newest state of an object that changed.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Change {
    pub(super) name: Arc<str>,
    pub(super) version: u64,
    pub(super) deleted: bool,
    pub(super) value: Option<Arc<Value>>,
}

/// One version of an object; no value stands for a deletion.
#[derive(Debug)]
struct Entry {
    version: u64,
    at: Instant,
    value: Option<Arc<Value>>,
}

/// All objects under one rising revision.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    objects: BTreeMap<Key, Vec<Entry>>,
    changes: BTreeMap<u64, Key>,
}

impl Store {
    /// The revision of the newest change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes a value, or deletes with none, and returns the new version.
    pub(super) fn write(
        &mut self,
        key: Key,
        value: Option<Value>,
        condition: Condition,
        now: Instant,
    ) -> Result<u64, Conflict> {
        let version = self.version(&key);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => version == 0,
            Condition::Version(wanted) => version == wanted && version != 0,
        };
        if !holds {
            return Err(Conflict { version });
        }
        self.revision += 1;
        self.changes.insert(self.revision, key.clone());
        let entries = self.objects.entry(key).or_default();
        entries.push(Entry {
            version: self.revision,
            at: now,
            value: value.map(Arc::new),
        });
        self.trim();
        Ok(self.revision)
    }

    /// The object as it was at the instant `at`.
    pub(super) fn get(&self, key: &Key, at: Instant) -> Option<Object> {
        let entries = self.objects.get(key)?;
        let entry = entries.iter().rev().find(|entry| entry.at <= at)?;
        Some(Object {
            kind: key.kind.clone(),
            name: key.name.clone(),
            version: entry.version,
            value: entry.value.clone()?,
        })
    }

    /// At most `limit` objects of a kind after the name `after`, as of `at`.
    pub(super) fn list(&self, kind: &str, after: &str, limit: usize, at: Instant) -> Vec<Object> {
        let start = Key::new(kind, after);
        let bound = if after.is_empty() {
            Bound::Included(start)
        } else {
            Bound::Excluded(start)
        };
        self.objects
            .range((bound, Bound::Unbounded))
            .take_while(|(key, _)| &*key.kind == kind)
            .filter_map(|(key, _)| self.get(key, at))
            .take(limit)
            .collect()
    }

    /// The newest state of each object of a kind that changed after `since`.
    pub(super) fn changes_since(&self, kind: &str, since: u64) -> Vec<Change> {
        self.changes
            .range((Bound::Excluded(since), Bound::Unbounded))
            .filter(|(_, key)| &*key.kind == kind)
            .filter_map(|(revision, key)| self.change(*revision, key))
            .collect()
    }

    /// Goes back to `revision`; later writes use the numbers after it again.
    pub(super) fn restore(&mut self, revision: u64) {
        self.revision = self.revision.min(revision);
        self.changes.retain(|changed, _| *changed <= revision);
        for entries in self.objects.values_mut() {
            entries.retain(|entry| entry.version <= revision);
        }
        self.objects.retain(|_, entries| !entries.is_empty());
    }

    /// The change of `revision`, unless a newer one of the same object follows.
    fn change(&self, revision: u64, key: &Key) -> Option<Change> {
        let entry = self.objects.get(key)?.last()?;
        (entry.version == revision).then(|| Change {
            name: key.name.clone(),
            version: entry.version,
            deleted: entry.value.is_none(),
            value: entry.value.clone(),
        })
    }

    /// The present version, 0 for none.
    fn version(&self, key: &Key) -> u64 {
        self.objects
            .get(key)
            .and_then(|entries| entries.last())
            .filter(|entry| entry.value.is_some())
            .map_or(0, |entry| entry.version)
    }

    /// Forgets the oldest history beyond the limits.
    fn trim(&mut self) {
        if let Some(entries) = self
            .changes
            .last_key_value()
            .and_then(|(_, key)| self.objects.get_mut(key))
            && entries.len() > HISTORY_VERSIONS
        {
            entries.remove(0);
        }
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_first();
        }
    }
}
