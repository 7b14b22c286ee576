//! VM list, with the history needed by lagging responses.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Maximum VM lists kept, including the current one.
const MAX_LISTS: usize = 1_024;

/// Role of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests from callers.
    Entry,
    /// Runs next to an upstream.
    Agent,
    /// Executes the requests.
    Upstream,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// Announced as about to be removed.
    Leaving,
}

/// VM in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// Unique name.
    pub name: Arc<str>,
    /// IP address and port.
    pub address: Arc<str>,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// Role of the VM.
    pub role: Role,
    /// Lifecycle state.
    pub state: State,
}

/// Complete VM list, as sent and received in JSON.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// All VMs, in the given order.
    pub vms: Vec<Vm>,
}

/// Current and past VM lists, newest last.
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

    /// Replaces the current list.
    pub(super) fn replace(&mut self, list: VmList, now: Instant) {
        if self.lists.len() == MAX_LISTS {
            self.lists.remove(0);
        }
        self.lists.push((now, Arc::new(list)));
    }

    /// Returns the list as of `lag` ago, or the oldest one kept.
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
