//! Call counters, as the platform would bill them.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Billing category of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    /// Read of an object, a list page or the VM list.
    Read,
    /// Write or deletion.
    Write,
    /// Long poll for changes.
    Watch,
}

/// Atomic call counters since the start.
#[derive(Debug, Default)]
pub(super) struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    watches_waiting: AtomicU64,
    limited: AtomicU64,
    failed: AtomicU64,
}

/// Snapshot of the call counters, as served in JSON.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads, including refused ones.
    pub reads: u64,
    /// Writes and deletions, including refused ones.
    pub writes: u64,
    /// Watches started, including refused ones.
    pub watches: u64,
    /// Watches in progress.
    pub watches_waiting: u64,
    /// Calls refused by the rate limit.
    pub limited: u64,
    /// Calls that failed because of an injected outage.
    pub failed: u64,
}

/// Guard of a watch in progress; counted in `watches_waiting` until dropped.
#[derive(Debug)]
pub(super) struct WatchGuard<'a>(&'a CallCounters);

impl CallCounters {
    pub(super) fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_limited(&self) {
        self.limited.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn start_watch(&self) -> WatchGuard<'_> {
        self.watches_waiting.fetch_add(1, Ordering::Relaxed);
        WatchGuard(self)
    }

    pub(super) fn counts(&self) -> CallCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            reads: load(&self.reads),
            writes: load(&self.writes),
            watches: load(&self.watches),
            watches_waiting: load(&self.watches_waiting),
            limited: load(&self.limited),
            failed: load(&self.failed),
        }
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.watches_waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
