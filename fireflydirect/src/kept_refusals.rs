//! Keeps the refused suspects in the platform's store, for the case that all entries end at once.

use crate::discovery::call;
use crate::log_value::or_empty;
use crate::node::Node;
use crate::suspects;
use anyhow::Context;
use fireflycroft::{
    KeeperContact, KeeperStep, KeeperView, KeptRefusal, Mechanism, RefusalKeeper, whole_millis,
};
use fireflycroft_platform::{
    StoreError, read_object, read_refusals, refusals_call, refusals_path, refusals_replica_path,
};
use hyper::Method;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::timeout;

/// Timeout for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Statuses of an object that was written.
const WRITTEN: [u16; 2] = [200, 201];

/// Statuses of a write over an object that has changed, or is gone.
const CONFLICT: [u16; 2] = [404, 409];

/// Keeper of one entry.
#[derive(Debug, Default)]
pub(crate) struct Keeper {
    state: RefCell<RefusalKeeper>,
    /// Whether a call is in progress.
    is_calling: Cell<bool>,
}

/// Returns whether this entry knows what the store or another entry does of refused suspects.
pub(crate) fn is_informed(node: &Node) -> bool {
    let is_off = !node.policy.uses(Mechanism::KeptRefusals);
    is_off || node.refusal_keeper.state.borrow().is_informed()
}

/// Records that another entry has told this one what it knows.
pub(crate) fn record_informed(node: &Node) {
    node.refusal_keeper.state.borrow_mut().record_informed();
}

/// Starts the call that is due, if any, unless one is in progress.
pub(crate) fn review(node: &Rc<Node>) {
    let keeper = &node.refusal_keeper;
    if keeper.is_calling.get() || !node.policy.uses(Mechanism::KeptRefusals) {
        return;
    }
    // What is due is refused although no request asks for it.
    suspects::judge(node);
    let now = node.now();
    let refused = node.crash_evidence.borrow().refused(now);
    let mut state = keeper.state.borrow_mut();
    let Some(step) = state.next_step(now, unix_millis(), view(node), &refused) else {
        return;
    };
    drop(state);
    keeper.is_calling.set(true);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let done = timeout(CALL_TIMEOUT, take(&node, step)).await;
        if let Err(e) = done.unwrap_or_else(|e| Err(e.into())) {
            let mut state = node.refusal_keeper.state.borrow_mut();
            state.record_failure(node.now());
            log::warn!(event = "refusals_failed", why = format!("{e:#}"); "");
        }
        node.refusal_keeper.is_calling.set(false);
    });
}

fn view(node: &Node) -> KeeperView {
    let is_watching = node.watcher_role.borrow().is_watching();
    let contact = if !is_watching {
        KeeperContact::Unknown
    } else if node.store_responding.get() {
        KeeperContact::Answers
    } else if node.any_store_failure.get() {
        KeeperContact::Silent
    } else {
        KeeperContact::Unknown
    };
    KeeperView {
        contact,
        era: node.store_era(),
        is_relied_on: node.watches_store() && node.watcher_role.borrow().is_primary(),
    }
}

fn unix_millis() -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    unix.map_or(0, whole_millis)
}

async fn take(node: &Node, step: KeeperStep) -> anyhow::Result<()> {
    match step {
        KeeperStep::Read => read(node).await,
        KeeperStep::Write { revision, kept } => write(node, revision, kept).await,
    }
}

/// Reads the object and refuses its suspects. Seeds, which tell the others, read its current state.
async fn read(node: &Node) -> anyhow::Result<()> {
    let path = if node.is_seed() || node.watches_store() {
        refusals_path()
    } else {
        refusals_replica_path()
    };
    let answer = call(node, Method::GET, &path, String::new()).await?;
    let object = read_object(answer.status, &answer.body);
    let object = object.map_err(|e: StoreError| anyhow::anyhow!("{e:?}"))?;
    let revision = object.as_ref().map(|o| o.revision);
    let kept = object.as_ref().map(read_refusals);
    let is_readable = !matches!(kept, Some(None));
    let kept = kept.flatten().unwrap_or_default();
    log::info!(
        event = "refusals_read", refused = kept.len(), is_readable = is_readable,
        revision = or_empty(revision);
        ""
    );
    let unix = unix_millis();
    let refused: Vec<_> = kept.iter().filter_map(|k| k.to_adopt(unix)).collect();
    suspects::adopt(node, &refused, "store");
    suspects::judge(node);
    let mut state = node.refusal_keeper.state.borrow_mut();
    state.record_read(node.now(), revision, kept);
    Ok(())
}

async fn write(node: &Node, revision: Option<u64>, kept: Vec<KeptRefusal>) -> anyhow::Result<()> {
    let (method, path, body) = refusals_call(revision, &kept);
    let answer = call(node, method, &path, body).await.context("writing")?;
    let status = answer.status;
    let mut state = node.refusal_keeper.state.borrow_mut();
    if CONFLICT.contains(&status) {
        state.record_conflict(node.now());
        log::info!(event = "refusals_outdated", status = status, revision = or_empty(revision); "");
        return Ok(());
    }
    anyhow::ensure!(WRITTEN.contains(&status), "status {status}");
    let object = read_object(200, &answer.body).ok().flatten();
    let written = object.map(|o| o.revision);
    log::info!(event = "refusals_written", refused = kept.len(), revision = or_empty(written); "");
    state.record_written(node.now(), written, kept);
    Ok(())
}
