//! The VM list and the past of it that a lagging answer shows.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Past lists kept.
const MAX_LISTS: usize = 1_024;

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes calls from callers.
    Entry,
    /// Runs beside an upstream.
    Agent,
    /// Runs the work itself.
    Upstream,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Unique name.
    pub name: Arc<str>,
    /// IP number and port.
    pub address: Arc<str>,
    /// Data centre that holds it.
    pub data_centre: Arc<str>,
    /// What it is for.
    pub role: Role,
    /// Whether it stays.
    pub state: State,
}

/// A whole VM list, as calls carry it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// All VMs, in the order they were given.
    pub vms: Vec<Vm>,
}

/// The lists of the past, newest last.
#[derive(Debug)]
pub(super) struct VmHistory {
    lists: Vec<(Instant, Arc<VmList>)>,
}

impl VmHistory {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            lists: vec![(now, Arc::default())],
        }
    }

    /// Puts a new list in force.
    pub(super) fn replace(&mut self, list: VmList, now: Instant) {
        if self.lists.len() == MAX_LISTS {
            self.lists.remove(0);
        }
        self.lists.push((now, Arc::new(list)));
    }

    /// The list as it was `lag` ago, or the oldest one known.
    pub(super) fn lagging(&self, lag: Duration, now: Instant) -> Arc<VmList> {
        self.lists
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .or(self.lists.first())
            .map(|(_, list)| Arc::clone(list))
            .unwrap_or_default()
    }
}
