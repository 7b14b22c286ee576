//! What upstreams ran, for the oracle.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::sync::lock;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It goes on.
    Running,
    /// Its answer was sent whole.
    Complete,
    /// Its caller closed the connection.
    Abandoned,
    /// It was stopped to go on elsewhere.
    Migrated,
    /// The upstream ended, crashed or failed it.
    Broken,
}

/// One run of a request on one upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request_id: String,
    /// Upstream that ran it.
    pub instance: String,
    /// Workspace that the upstream was told.
    pub workspace: Option<String>,
    /// Whether the caller's key reached the upstream.
    pub saw_key: bool,
    /// Event after which it began.
    pub after: u64,
    /// Whether it went on from the memory of an earlier run.
    pub from_memory: bool,
    /// When it began.
    pub began: Instant,
    /// How and when it ended.
    pub end: (RunEnd, Instant),
}

/// All runs of all upstreams of a site, and the copies of their memory.
#[derive(Clone, Debug, Default)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
}

/// Where a copy lies, and its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CopyKey {
    /// Address of the upstream that keeps it.
    pub(super) holder: String,
    /// Address of the upstream that gave it its handle.
    pub(super) issuer: String,
    /// The handle.
    pub(super) handle: String,
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<Run>,
    /// Whose request each copy is of.
    copies: HashMap<CopyKey, String>,
    foreign_memory: Vec<String>,
}

impl Record {
    /// All runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.inner).runs.clone()
    }

    /// Runs of one request.
    #[must_use]
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        let runs = self.runs();
        runs.into_iter()
            .filter(|r| r.request_id == request_id)
            .collect()
    }

    /// Upstreams at which a run goes on, and the number of such runs.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let runs = self.runs();
        runs.iter().filter(|r| r.end.0 == RunEnd::Running).count()
    }

    /// Requests that were sent to go on from the memory of another one.
    #[must_use]
    pub fn foreign_memory(&self) -> Vec<String> {
        lock(&self.inner).foreign_memory.clone()
    }

    pub(super) fn record_foreign_memory(&self, request_id: &str) {
        let mut inner = lock(&self.inner);
        inner.foreign_memory.push(request_id.to_owned());
    }

    pub(super) fn begin(&self, run: Run) -> usize {
        let mut inner = lock(&self.inner);
        inner.runs.push(run);
        inner.runs.len() - 1
    }

    pub(super) fn end(&self, run: usize, end: RunEnd) {
        let mut inner = lock(&self.inner);
        let run = &mut inner.runs[run];
        if run.end.0 == RunEnd::Running {
            run.end = (end, Instant::now());
        }
    }

    pub(super) fn insert_copy(&self, key: CopyKey, request_id: &str) {
        lock(&self.inner).copies.insert(key, request_id.to_owned());
    }

    /// Takes a copy, which can be used once.
    pub(super) fn take_copy(&self, key: &CopyKey) -> Option<String> {
        lock(&self.inner).copies.remove(key)
    }

    pub(super) fn drop_copies_at(&self, holder: &str) {
        lock(&self.inner)
            .copies
            .retain(|key, _| key.holder != holder);
    }
}
