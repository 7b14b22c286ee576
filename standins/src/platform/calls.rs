//! Counts of calls, as the platform would bill them.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// What a call counts as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    /// A read of an object, a page of a list or the VM list.
    Read,
    /// A write or a deletion.
    Write,
    /// A watch.
    Watch,
}

/// Counters of calls since the start.
#[derive(Debug, Default)]
pub(super) struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    watches_waiting: AtomicU64,
    limited: AtomicU64,
    failed: AtomicU64,
}

/// The counters as an answer shows them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads, refused ones included.
    pub reads: u64,
    /// Writes and deletions, refused ones included.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
    /// Watches in progress now.
    pub watches_waiting: u64,
    /// Calls refused by a rate limit.
    pub limited: u64,
    /// Calls that failed in an outage.
    pub failed: u64,
}

/// A watch in progress; counted until dropped.
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
