//! Shared state of the platform's handlers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::Response;
use poem::http::{StatusCode, header};
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Config;
use super::calls::{CallCounters, CallKind};
use super::faults::{FaultPatch, Faults};
use super::limit::TokenBucket;
use super::store::{Condition, Conflict, Key, Store};
use super::vms::VmHistory;
use crate::sync::lock;
use crate::{RunLog, reply};

/// State of a stand-in platform.
#[derive(Debug)]
pub(super) struct State {
    pub(super) store: Mutex<Store>,
    pub(super) vms: Mutex<VmHistory>,
    pub(super) calls: CallCounters,
    faults: Mutex<Faults>,
    reads: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
    revision_sender: watch::Sender<u64>,
    run_log: Arc<RunLog>,
}

/// Run log events.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum RunEvent<'a> {
    /// Write or deletion that took effect.
    Written {
        kind: &'a str,
        name: &'a str,
        version: u64,
        deleted: bool,
        answer_lost: bool,
    },
    /// Fault update.
    Faults { patch: &'a FaultPatch },
}

impl State {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            store: Mutex::default(),
            vms: Mutex::new(VmHistory::new(Instant::now())),
            calls: CallCounters::default(),
            faults: Mutex::default(),
            reads: Mutex::new(TokenBucket::new(cfg.reads_per_second)),
            writes: Mutex::new(TokenBucket::new(cfg.writes_per_second)),
            revision_sender: watch::channel(0).0,
            run_log: Arc::clone(&cfg.run_log),
        }
    }

    /// Counts a call and admits it, or returns the error response.
    pub(super) async fn admit(&self, kind: CallKind) -> Result<(), Response> {
        self.calls.count(kind);
        tokio::time::sleep(self.faults().hang).await;
        if self.faults().outage {
            self.calls.count_failed();
            return Err(reply::failure(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        let bucket = match kind {
            CallKind::Write => &self.writes,
            CallKind::Read | CallKind::Watch => &self.reads,
        };
        let taken = lock(bucket).take(Instant::now());
        taken.map_err(|wait| {
            self.calls.count_limited();
            rate_limited_response(wait)
        })
    }

    /// Returns a copy of the active faults.
    pub(super) fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    /// Returns the instant whose state reads return, in the past with stale reads.
    pub(super) fn read_instant(&self) -> Instant {
        let now = Instant::now();
        now.checked_sub(self.faults().stale_read).unwrap_or(now)
    }

    /// Writes an object, logs the write and wakes the watches.
    pub(super) fn write(
        &self,
        key: &Key,
        value: Option<Value>,
        condition: Condition,
    ) -> Result<Written, Conflict> {
        let deleted = value.is_none();
        let version = lock(&self.store).write(key.clone(), value, condition, Instant::now())?;
        let answer_lost = lock(&self.faults).lose_answer();
        self.run_log.append(&RunEvent::Written {
            kind: &key.kind,
            name: &key.name,
            version,
            deleted,
            answer_lost,
        });
        self.revision_sender.send_replace(version);
        Ok(Written {
            version,
            answer_lost,
        })
    }

    /// Updates the active faults, and restores an older revision if `patch` names one.
    pub(super) fn patch_faults(&self, patch: &FaultPatch) {
        lock(&self.faults).apply(patch);
        self.run_log.append(&RunEvent::Faults { patch });
        if let Some(revision) = patch.restore_to_revision {
            lock(&self.store).restore(revision);
            self.revision_sender.send_replace(revision);
        }
    }

    /// Returns a receiver of the store's revision.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision_sender.subscribe()
    }
}

/// Write that took effect.
pub(super) struct Written {
    pub(super) version: u64,
    pub(super) answer_lost: bool,
}

/// Returns the response to a call above the rate limit.
fn rate_limited_response(wait: Duration) -> Response {
    let seconds = wait.as_secs() + 1;
    let mut res = reply::failure(StatusCode::TOO_MANY_REQUESTS, "rate limit");
    res.headers_mut()
        .insert(header::RETRY_AFTER, seconds.into());
    res
}
