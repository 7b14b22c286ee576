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
const KEEP_FOR: Duration = Duration::from_secs(10);

/// Former configurations that are kept, when versions come in quick succession.
const MAX_FORMER: usize = 8;

/// Bytes of a configuration from which on it isn't handed on whole.
///
/// Told of a configuration, twenty entries fetch it from one peer at once. Over the slowest links
/// of 10 Mbit/s, 400 kB then took over six seconds; the store's link is a hundred times wider.
pub(crate) const LARGE_CONFIG: usize = 64 << 10;

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
pub enum ConfigHandover {
    /// The whole of it.
    Whole(StoreObject),
    /// What differs from the one that the asker holds.
    Change(ConfigChange),
}

/// The configuration in force and former ones.
#[derive(Default)]
pub struct ConfigHistory {
    in_force: Option<StoreObject>,
    former: VecDeque<(Time, StoreObject)>,
    /// The change that was asked for last: all that fall behind together ask for the same.
    asked_last: RefCell<Option<ConfigChange>>,
}

impl ConfigHistory {
    /// Takes the next configuration in force.
    pub fn take(&mut self, now: Time, object: StoreObject) {
        if let Some(former) = self.in_force.replace(object) {
            self.former.push_back((now, former));
        }
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
        self.asked_last.take();
    }

    /// Forgets former ones that hardly anybody holds by now.
    pub fn tidy(&mut self, now: Time) {
        self.former
            .retain(|(ended, _)| now.since(*ended) < KEEP_FOR);
        if self.former.is_empty() {
            self.asked_last.take();
        }
    }

    /// Length of the configuration in force in bytes; zero for none.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let in_force = self.in_force.as_ref();
        in_force.map_or(0, |o| o.content.get().len())
    }

    /// Revision of the configuration in force; zero for none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |o| o.revision)
    }

    /// What to hand to an entry that holds the configuration of a revision, which is zero for none; a
    /// large one whole only if it is `asked_whole`.
    #[must_use]
    pub fn since(&self, held: u64, asked_whole: bool) -> Option<ConfigHandover> {
        let in_force = self.in_force.as_ref()?;
        if asked_whole {
            return Some(ConfigHandover::Whole(in_force.clone()));
        }
        if let Some(change) = self.change_from(held) {
            return Some(ConfigHandover::Change(change));
        }
        let is_small = self.bytes() <= LARGE_CONFIG;
        is_small.then(|| ConfigHandover::Whole(in_force.clone()))
    }

    fn change_from(&self, base: u64) -> Option<ConfigChange> {
        let asked_last = self.asked_last.borrow().clone();
        if let Some(change) = asked_last.filter(|c| c.base == base) {
            return Some(change);
        }
        let in_force = self.in_force.as_ref()?;
        let (_, former) = self.former.iter().find(|(_, o)| o.revision == base)?;
        let change = TextChange::between(former.content.get(), in_force.content.get())?;
        let object = StoreObject {
            content: RawValue::NULL.to_owned(),
            ..in_force.clone()
        };
        let change = ConfigChange {
            base,
            object,
            change,
        };
        *self.asked_last.borrow_mut() = Some(change.clone());
        Some(change)
    }

    /// The configuration that another entry handed over; none if it can't be made from the one in
    /// force here.
    #[must_use]
    pub fn receive(&self, handover: ConfigHandover) -> Option<StoreObject> {
        let change = match handover {
            ConfigHandover::Whole(object) => return Some(object),
            ConfigHandover::Change(change) => change,
        };
        let held = self.in_force.as_ref()?;
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
