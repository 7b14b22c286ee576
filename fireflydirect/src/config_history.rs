//! The configuration in force as the store holds it, and those that were in force a short while ago.
//!
//! Entries hand a new version to each other as what differs from the one that the
//! asker holds. So a version reaches a fleet of hundreds without each of them
//! reading hundreds of kilobytes, from the store or over one link.

use fireflycroft::{TextChange, Time};
use fireflycroft_platform::StoreObject;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a former configuration is kept for those who hold it still.
const PREVIOUS_RETENTION: Duration = Duration::from_secs(10);

/// Former configurations that are kept, when versions come in quick succession.
const MAX_PREVIOUS: usize = 8;

/// Bytes of a configuration from which on it isn't handed on whole.
///
/// Told of a configuration, twenty entries fetch it from one peer at once. Over the slowest links
/// of 10 Mbit/s, 400 kB then took over six seconds; the store's link is a hundred times wider.
pub(crate) const LARGE_CONFIG_BYTES: usize = 64 << 10;

/// What leads to a configuration from a former one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigChange {
    /// Revision of the former one.
    base: u64,
    /// The new one, without its content.
    object: StoreObject,
    change: TextChange,
}

/// A configuration as it is handed to an entry that lacks it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ConfigPayload {
    /// The whole of it.
    Whole(StoreObject),
    /// What differs from the one that the asker holds.
    Change(ConfigChange),
}

/// The configuration in force and former ones.
#[derive(Default)]
pub struct ConfigHistory {
    active: Option<StoreObject>,
    previous: VecDeque<(Time, StoreObject)>,
    /// The change that was asked for last: all that fall behind together ask for the same.
    last_change: RefCell<Option<ConfigChange>>,
}

impl ConfigHistory {
    /// Takes the next configuration in force.
    pub fn activate(&mut self, now: Time, object: StoreObject) {
        if let Some(previous) = self.active.replace(object) {
            self.previous.push_back((now, previous));
        }
        if self.previous.len() > MAX_PREVIOUS {
            self.previous.pop_front();
        }
        self.last_change.take();
    }

    /// Forgets former ones that hardly anybody holds by now.
    pub fn remove_expired(&mut self, now: Time) {
        self.previous
            .retain(|(ended, _)| now.since(*ended) < PREVIOUS_RETENTION);
        if self.previous.is_empty() {
            self.last_change.take();
        }
    }

    /// Length of the configuration in force in bytes; zero for none.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let active = self.active.as_ref();
        active.map_or(0, |o| o.content.get().len())
    }

    /// Revision of the configuration in force; zero for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.active.as_ref().map_or(0, |o| o.revision)
    }

    /// What to hand to an entry that holds the configuration of a revision, which is zero for none; a
    /// large one whole only if it is `asked_whole`.
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

    /// The configuration that another entry handed over; none if it can't be made from the one in
    /// force here.
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
