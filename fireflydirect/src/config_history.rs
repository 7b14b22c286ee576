//! The active configuration as the store holds it, and those that it replaced recently.
//!
//! Entries send a new version to each other as its difference from the requester's version. So it
//! reaches hundreds of entries without each of them reading hundreds of kilobytes from the store
//! or over one link.

use fireflycroft::{Name, TextChange, Time};
use fireflycroft_platform::StoreObject;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Retention of a previous configuration, for entries that still hold it.
const PREVIOUS_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of previous configurations, which limits memory when versions follow each other
/// quickly.
const MAX_PREVIOUS: usize = 8;

/// Objects beside the configuration whose revisions are remembered.
const MAX_PASSED_OVER: usize = 64;

/// Size in bytes above which a configuration is sent whole only on explicit request.
///
/// After an announcement, twenty entries fetch it from one peer at once: 400 kB then took over
/// six seconds on the slowest links of 10 Mbit/s. The store's link is a hundred times as fast.
pub(crate) const LARGE_CONFIG_BYTES: usize = 64 << 10;

/// Difference between a configuration and a previous one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigChange {
    /// Revision of the previous configuration.
    base: u64,
    /// The new configuration, without its content.
    object: StoreObject,
    change: TextChange,
}

/// A configuration in the form sent to an entry that lacks it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ConfigPayload {
    /// The complete configuration.
    Whole(StoreObject),
    /// The difference from the requester's configuration.
    Change(ConfigChange),
}

/// The active and previous configurations.
#[derive(Default)]
pub struct ConfigHistory {
    active: Option<StoreObject>,
    previous: VecDeque<(Time, StoreObject)>,
    /// The change computed last: entries that are out of date at the same time request the same
    /// one.
    last_change: RefCell<Option<ConfigChange>>,
    /// Revisions of objects beside the configuration that have been passed over.
    passed_over: HashMap<Name, u64>,
}

impl ConfigHistory {
    /// Makes a configuration the active one and keeps the one that it replaces.
    pub fn activate(&mut self, now: Time, object: StoreObject) {
        if let Some(previous) = self.active.replace(object) {
            self.previous.push_back((now, previous));
        }
        if self.previous.len() > MAX_PREVIOUS {
            self.previous.pop_front();
        }
        self.last_change.take();
    }

    /// Records an object that isn't the configuration; returns whether this revision of it is new.
    pub fn record_passed_over(&mut self, object: &StoreObject) -> bool {
        if self.passed_over.len() >= MAX_PASSED_OVER && !self.passed_over.contains_key(&object.name)
        {
            self.passed_over.clear();
        }
        let held = self
            .passed_over
            .insert(object.name.clone(), object.revision);
        held != Some(object.revision)
    }

    /// Removes previous configurations whose retention is over.
    pub fn remove_expired(&mut self, now: Time) {
        self.previous
            .retain(|(ended, _)| now.since(*ended) < PREVIOUS_RETENTION);
        if self.previous.is_empty() {
            self.last_change.take();
        }
    }

    /// Returns the size of the active configuration in bytes; zero if there is none.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let active = self.active.as_ref();
        active.map_or(0, |o| o.content.get().len())
    }

    /// Returns the revision of the active configuration; zero if there is none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.active.as_ref().map_or(0, |o| o.revision)
    }

    /// Returns the payload for an entry whose configuration has the revision `held` (zero for
    /// none); a large one is sent whole only if `full_requested`.
    #[must_use]
    pub fn payload_since(&self, held: u64, full_requested: bool) -> Option<ConfigPayload> {
        let active = self.active.as_ref()?;
        if full_requested {
            return Some(ConfigPayload::Whole(active.clone()));
        }
        if let Some(change) = self.change_since(held) {
            return Some(ConfigPayload::Change(change));
        }
        let is_small = self.bytes() <= LARGE_CONFIG_BYTES;
        is_small.then(|| ConfigPayload::Whole(active.clone()))
    }

    fn change_since(&self, base: u64) -> Option<ConfigChange> {
        let last_change = self.last_change.borrow().clone();
        if let Some(change) = last_change.filter(|c| c.base == base) {
            return Some(change);
        }
        let active = self.active.as_ref()?;
        let (_, previous) = self.previous.iter().find(|(_, o)| o.revision == base)?;
        let change = TextChange::between(previous.content.get(), active.content.get())?;
        let object = StoreObject {
            content: RawValue::NULL.to_owned(),
            ..active.clone()
        };
        let change = ConfigChange {
            base,
            object,
            change,
        };
        *self.last_change.borrow_mut() = Some(change.clone());
        Some(change)
    }

    /// Returns the configuration in a received payload; `None` if the change doesn't apply to the
    /// active one here.
    #[must_use]
    pub fn reconstruct(&self, payload: ConfigPayload) -> Option<StoreObject> {
        let change = match payload {
            ConfigPayload::Whole(object) => return Some(object),
            ConfigPayload::Change(change) => change,
        };
        let held = self.active.as_ref()?;
        if held.revision != change.base {
            return None;
        }
        let text = change.change.apply(held.content.get())?;
        let content = RawValue::from_string(text).ok()?;
        Some(StoreObject {
            content,
            ..change.object
        })
    }
}
