//! Record of the upstreams' runs, for the oracle.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::moves::StopAnswer;
use super::plays::{Play, Playing};
use crate::sync::lock;

/// State or end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// In progress.
    Running,
    /// The complete answer was sent.
    Complete,
    /// The caller closed the connection.
    Abandoned,
    /// The request was run to its end, and the rest of the answer was lost.
    Unheard,
    /// Stopped to continue on another upstream.
    Migrated,
    /// Broken off by a fault of the upstream.
    Broken,
    /// Crashed its upstream by its path or a part of its prompt.
    Crashed,
}

/// One run of a request on one upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request_id: String,
    /// Id of the upstream.
    pub instance: String,
    /// Version of its software.
    pub version: String,
    /// Workspace sent to the upstream.
    pub workspace: Option<String>,
    /// Whether the caller's key reached the upstream.
    pub saw_key: bool,
    /// Number of the event after which it began.
    pub after: u64,
    /// Whether it resumed from the memory of an earlier run.
    pub from_memory: bool,
    /// Path of the request.
    pub path: String,
    /// Parts of the prompt that other requests may share: all but the last.
    pub shared_parts: Vec<String>,
    /// Start time.
    pub began: Instant,
    /// State and its time; the start time while in progress.
    pub end: (RunEnd, Instant),
}

/// Runs of all upstreams of a site, and copies of their memory; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
}

/// Location and name of a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CopyKey {
    /// Address of the upstream that holds the copy.
    pub(super) holder: String,
    /// Address of the upstream that issued the handle.
    pub(super) issuer: String,
    /// Handle given by the issuer; the request id for a memory backup.
    pub(super) handle: String,
}

#[derive(Debug, Default)]
struct Inner {
    runs: Vec<Run>,
    /// Request ids of the copies.
    copies: HashMap<CopyKey, String>,
    /// Request ids of all copies made so far, with the times.
    copied: Vec<(String, Instant)>,
    foreign_memory: Vec<String>,
    /// Parts of prompts that crash any upstream that begins an answer on them.
    crashing_parts: Vec<String>,
    /// Paths of requests that crash any upstream that runs them, each with the events before it, run by run.
    crashing_paths: HashMap<String, Vec<u64>>,
    /// Time from the end of an upstream's connections to the closing of its port.
    port_delay: Option<Duration>,
    /// Behaviour towards requests, by id.
    plays: HashMap<String, Playing>,
    /// Times that upstreams were given for a request, by its id.
    times_given: HashMap<String, Vec<Duration>>,
}

impl Inner {
    /// Removes a copy with all its handles: a run that is copied to a holder again has one copy there.
    fn remove_copy(&mut self, key: &CopyKey) -> Option<String> {
        let owner = self.copies.remove(key)?;
        self.copies.retain(|other, of| {
            *of != owner || other.holder != key.holder || other.issuer != key.issuer
        });
        Some(owner)
    }
}

impl Record {
    /// Returns all runs so far.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.inner).runs.clone()
    }

    /// Returns the runs of one request.
    #[must_use]
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        let runs = self.runs();
        runs.into_iter()
            .filter(|r| r.request_id == request_id)
            .collect()
    }

    /// Returns the number of runs in progress.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let runs = self.runs();
        runs.iter().filter(|r| r.end.0 == RunEnd::Running).count()
    }

    /// Returns the requests that were resumed from the memory of another one.
    #[must_use]
    pub fn foreign_memory(&self) -> Vec<String> {
        lock(&self.inner).foreign_memory.clone()
    }

    /// Makes a part of prompts crash each upstream that begins an answer on it.
    pub fn crash_on(&self, part: &str) {
        lock(&self.inner).crashing_parts.push(part.to_owned());
    }

    /// Returns the parts that crash upstreams.
    #[must_use]
    pub fn crashing_parts(&self) -> Vec<String> {
        lock(&self.inner).crashing_parts.clone()
    }

    /// Makes requests with a path crash each upstream that begins to run them.
    pub fn crash_on_path(&self, path: &str) {
        self.crash_after(path, &[0]);
    }

    /// Makes requests with a path crash each upstream that runs them, after as many events as stated for one run after
    /// the other.
    pub fn crash_after(&self, path: &str, events: &[u64]) {
        let mut inner = lock(&self.inner);
        inner
            .crashing_paths
            .insert(path.to_owned(), events.to_vec());
    }

    /// Makes upstreams that end close their ports this long after their connections.
    pub fn close_ports_after(&self, delay: Duration) {
        lock(&self.inner).port_delay = Some(delay);
    }

    pub(super) fn port_delay(&self) -> Option<Duration> {
        lock(&self.inner).port_delay
    }

    /// Returns the paths of requests that crash upstreams.
    #[must_use]
    pub fn crashing_paths(&self) -> Vec<String> {
        let inner = lock(&self.inner);
        inner.crashing_paths.keys().cloned().collect()
    }

    /// Returns the events after which the next run on this path and with these parts crashes its upstream; `None` if it
    /// doesn't.
    pub(super) fn crash_point(&self, path: &str, parts: &[String]) -> Option<u64> {
        let inner = lock(&self.inner);
        if parts.iter().any(|p| inner.crashing_parts.contains(p)) {
            return Some(0);
        }
        let points = inner.crashing_paths.get(path)?;
        let runs = inner.runs.iter().filter(|r| r.path == path).count();
        points.get(runs % points.len().max(1)).copied()
    }

    /// Returns the runs of requests with a path.
    #[must_use]
    pub fn runs_on(&self, path: &str) -> Vec<Run> {
        let mut runs = self.runs();
        runs.retain(|r| r.path == path);
        runs
    }

    /// Returns the runs whose prompt shares a part.
    #[must_use]
    pub fn runs_with(&self, part: &str) -> Vec<Run> {
        let mut runs = self.runs();
        runs.retain(|r| r.shared_parts.iter().any(|p| p == part));
        runs
    }

    /// Returns the number of upstreams that a part has crashed.
    #[must_use]
    pub fn crashes_of(&self, part: &str) -> usize {
        let runs = self.runs_with(part);
        runs.iter().filter(|r| r.end.0 == RunEnd::Crashed).count()
    }

    /// Returns the requests of which copies of memory were made, with the times.
    #[must_use]
    pub fn copied(&self) -> Vec<(String, Instant)> {
        lock(&self.inner).copied.clone()
    }

    /// Sets what upstreams do with the runs of a request.
    pub fn play(&self, request_id: &str, play: Play) {
        let playing = Playing::new(play);
        lock(&self.inner)
            .plays
            .insert(request_id.to_owned(), playing);
    }

    /// Returns what upstreams do with the runs of a request, if that was set.
    pub(super) fn play_of(&self, request_id: &str) -> Option<Play> {
        let inner = lock(&self.inner);
        inner.plays.get(request_id).map(|playing| playing.play)
    }

    /// Returns the next answer to a last move of a request's run, if that was set.
    pub(super) fn next_stop_answer(&self, request_id: &str) -> Option<(StopAnswer, Duration)> {
        let mut inner = lock(&self.inner);
        inner.plays.get_mut(request_id).map(Playing::next_answer)
    }

    /// Returns the time at which the first last move of a run was asked for, of a request that has a play.
    #[must_use]
    pub fn ordered_at(&self, request_id: &str) -> Option<Instant> {
        let inner = lock(&self.inner);
        inner.plays.get(request_id)?.ordered_at
    }

    /// Returns the times that upstreams were given for a request, run by run.
    #[must_use]
    pub fn times_given(&self, request_id: &str) -> Vec<Duration> {
        let inner = lock(&self.inner);
        inner
            .times_given
            .get(request_id)
            .cloned()
            .unwrap_or_default()
    }

    pub(super) fn record_time_given(&self, request_id: &str, time: Duration) {
        let mut inner = lock(&self.inner);
        let times = inner.times_given.entry(request_id.to_owned());
        times.or_default().push(time);
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
        let mut inner = lock(&self.inner);
        inner.copies.insert(key, request_id.to_owned());
        let copied = (request_id.to_owned(), Instant::now());
        inner.copied.push(copied);
    }

    /// Removes a copy, which can be used once, and returns its request id.
    pub(super) fn take_copy(&self, key: &CopyKey) -> Option<String> {
        lock(&self.inner).remove_copy(key)
    }

    /// Removes the copies with a handle that the upstream at `addr` issued.
    pub(super) fn drop_copy(&self, addr: &str, handle: &str) {
        let mut inner = lock(&self.inner);
        let is_dropped = |key: &&CopyKey| key.issuer == addr && key.handle == handle;
        let dropped: Vec<CopyKey> = inner.copies.keys().filter(is_dropped).cloned().collect();
        for key in dropped {
            inner.remove_copy(&key);
        }
    }

    /// Returns the number of copies held.
    #[must_use]
    pub fn copy_count(&self) -> usize {
        lock(&self.inner).copies.len()
    }

    pub(super) fn drop_copies_at(&self, holder: &str) {
        lock(&self.inner)
            .copies
            .retain(|key, _| key.holder != holder);
    }
}
