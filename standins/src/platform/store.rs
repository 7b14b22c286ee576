//! Versioned objects, with the history needed by stale reads and restores.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

/// Maximum versions kept per object.
const MAX_VERSIONS_PER_OBJECT: usize = 256;

/// Maximum changes kept for watches.
const MAX_CHANGES: usize = 65_536;

/// Kind and name of an object.
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

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Condition {
    /// No precondition.
    Always,
    /// The object doesn't exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Failed precondition, with the current version (0 for none).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Conflict {
    pub(super) version: u64,
}

/// Object as served in JSON.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Object {
    pub(super) kind: Arc<str>,
    pub(super) name: Arc<str>,
    pub(super) version: u64,
    pub(super) value: Arc<Value>,
}

/// Newest state of a changed object.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Change {
    pub(super) name: Arc<str>,
    pub(super) version: u64,
    pub(super) deleted: bool,
    pub(super) value: Option<Arc<Value>>,
}

/// Version of an object; no value means a deletion.
#[derive(Debug)]
struct ObjectVersion {
    version: u64,
    written_at: Instant,
    value: Option<Arc<Value>>,
}

/// Object store with one increasing revision.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    objects: BTreeMap<Key, Vec<ObjectVersion>>,
    changes: BTreeMap<u64, Key>,
}

impl Store {
    /// Returns the revision of the newest change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Writes a value, or deletes the object if `value` is `None`; returns the new version.
    pub(super) fn write(
        &mut self,
        key: Key,
        value: Option<Value>,
        condition: Condition,
        now: Instant,
    ) -> Result<u64, Conflict> {
        let version = self.current_version(&key);
        let is_met = match condition {
            Condition::Always => true,
            Condition::Absent => version == 0,
            Condition::Version(wanted) => version == wanted && version != 0,
        };
        if !is_met {
            return Err(Conflict { version });
        }
        self.revision += 1;
        self.changes.insert(self.revision, key.clone());
        let versions = self.objects.entry(key).or_default();
        versions.push(ObjectVersion {
            version: self.revision,
            written_at: now,
            value: value.map(Arc::new),
        });
        self.trim_history();
        Ok(self.revision)
    }

    /// Returns the object as of the instant `at`.
    pub(super) fn get(&self, key: &Key, at: Instant) -> Option<Object> {
        let versions = self.objects.get(key)?;
        let found = versions
            .iter()
            .rev()
            .find(|version| version.written_at <= at)?;
        Some(Object {
            kind: key.kind.clone(),
            name: key.name.clone(),
            version: found.version,
            value: found.value.clone()?,
        })
    }

    /// Returns up to `limit` objects of `kind` after the name `after`, as of `at`.
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

    /// Returns the newest state of each object of `kind` that changed after `since`.
    pub(super) fn changes_since(&self, kind: &str, since: u64) -> Vec<Change> {
        self.changes
            .range((Bound::Excluded(since), Bound::Unbounded))
            .filter(|(_, key)| &*key.kind == kind)
            .filter_map(|(revision, key)| self.newest_change(*revision, key))
            .collect()
    }

    /// Restores `revision`; later writes reuse the revisions after it.
    pub(super) fn restore(&mut self, revision: u64) {
        self.revision = self.revision.min(revision);
        self.changes.retain(|changed, _| *changed <= revision);
        for versions in self.objects.values_mut() {
            versions.retain(|object| object.version <= revision);
        }
        self.objects.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the change of `revision`, unless the same object has a newer one.
    fn newest_change(&self, revision: u64, key: &Key) -> Option<Change> {
        let newest = self.objects.get(key)?.last()?;
        (newest.version == revision).then(|| Change {
            name: key.name.clone(),
            version: newest.version,
            deleted: newest.value.is_none(),
            value: newest.value.clone(),
        })
    }

    /// Returns the current version of an object, 0 if absent or deleted.
    fn current_version(&self, key: &Key) -> u64 {
        self.objects
            .get(key)
            .and_then(|versions| versions.last())
            .filter(|newest| newest.value.is_some())
            .map_or(0, |newest| newest.version)
    }

    /// Drops the oldest history above the limits, for the object written last.
    fn trim_history(&mut self) {
        if let Some(versions) = self
            .changes
            .last_key_value()
            .and_then(|(_, key)| self.objects.get_mut(key))
            && versions.len() > MAX_VERSIONS_PER_OBJECT
        {
            versions.remove(0);
        }
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_first();
        }
    }
}
