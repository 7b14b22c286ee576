//! Makes this entry known in the platform's store, and reads there of others, while no seed tells of them.

use crate::links::{self, CallResponse};
use crate::node::{Node, Stage};
use anyhow::Context;
use bytes::Bytes;
use fireflycroft::{DiscoveryStep, EntryDuty, Mechanism, Surroundings};
use fireflycroft_platform::{Kind, create_call, list_path, read_page, remove_path, replica_path};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Silence of an entry since it was listed first, after which its object is removed.
const GONE_AFTER: Duration = Duration::from_secs(25);

/// Pages of entries read at most.
const MAX_PAGES: usize = 8;

/// Statuses of an object that was created, or is there already.
const CREATED: [u16; 3] = [200, 201, 409];

/// Statuses of an object that was removed, or isn't there.
const REMOVED: [u16; 4] = [200, 202, 204, 404];

/// Starts the call that is due, if any, unless one is in progress.
pub(crate) fn review(node: &Rc<Node>) {
    if node.discovering.get() || !node.policy.uses(Mechanism::Discovery) {
        return;
    }
    let step = {
        let around = surroundings(node);
        node.discovery.borrow_mut().next_step(node.now(), around)
    };
    let Some(step) = step else {
        return;
    };
    node.discovering.set(true);
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let done = timeout(CALL_TIMEOUT, take(&node, step)).await;
        if let Err(e) = done.unwrap_or_else(|e| Err(e.into())) {
            node.discovery.borrow_mut().record_failure(node.now());
            log::warn!(event = "discovery_failed", step = format!("{step:?}"), why = format!("{e:#}"); "");
        }
        node.discovering.set(false);
    });
}

/// Returns whether this entry can't tell yet whether it is alone.
pub(crate) fn is_pending(node: &Node) -> bool {
    let is_pending = node
        .discovery
        .borrow()
        .is_pending(node.now(), surroundings(node));
    is_pending && node.policy.uses(Mechanism::Discovery)
}

/// Returns what this entry knows of the others.
fn surroundings(node: &Node) -> Surroundings {
    let duty = if node.stage() != Stage::Serving {
        EntryDuty::Stopping
    } else if node.watcher_role.borrow().is_primary() {
        EntryDuty::ReliedOn
    } else {
        EntryDuty::Ordinary
    };
    let hears_others = node.peers.borrow().count(node.now()) > 0;
    Surroundings {
        is_seed: node.is_seed(),
        hears_others,
        duty,
        is_store_silent: is_store_silent(node, hears_others),
    }
}

/// Returns whether the store answers neither this entry, if it watches it, nor another one.
///
/// One that hears of nobody doesn't know; it watches soon.
fn is_store_silent(node: &Node, hears_others: bool) -> bool {
    if node.watcher_role.borrow().is_watching() {
        return !node.store_responding.get();
    }
    let views = node.peers.borrow().watcher_views(node.now());
    hears_others && !views.iter().any(|v| v.watches)
}

async fn take(node: &Rc<Node>, step: DiscoveryStep) -> anyhow::Result<()> {
    match step {
        DiscoveryStep::Register => register(node).await,
        DiscoveryStep::List => list(node, list_path).await,
        DiscoveryStep::ListReplica => list(node, replica_path).await,
        DiscoveryStep::Withdraw => withdraw(node).await,
    }
}

async fn register(node: &Node) -> anyhow::Result<()> {
    let name = node.place.ip.to_string();
    let content = serde_json::json!({"vm": &*node.place.vm});
    let (path, body) = create_call(Kind::Entries, &name, &content);
    let status = call(node, Method::POST, &path, body).await?.status;
    anyhow::ensure!(CREATED.contains(&status), "status {status}");
    node.discovery.borrow_mut().record_registered();
    log::info!(event = "entry_registered", name = name, status = status; "");
    Ok(())
}

async fn withdraw(node: &Node) -> anyhow::Result<()> {
    remove(node, &node.place.ip.to_string()).await?;
    node.discovery.borrow_mut().record_withdrawn();
    Ok(())
}

async fn remove(node: &Node, name: &str) -> anyhow::Result<()> {
    let path = remove_path(Kind::Entries, name);
    let answer = call(node, Method::DELETE, &path, String::new()).await?;
    let status = answer.status;
    anyhow::ensure!(REMOVED.contains(&status), "status {status}");
    log::info!(event = "entry_removed", name = name, status = status; "");
    Ok(())
}

/// Lists the entries' objects by calls of the given path; removes those of entries that don't answer.
async fn list(
    node: &Node,
    path_after: impl Fn(Kind, Option<&str>) -> String,
) -> anyhow::Result<()> {
    let mut entries: Vec<Ipv4Addr> = Vec::new();
    let mut after = None;
    for _ in 0..MAX_PAGES {
        let path = path_after(Kind::Entries, after.as_deref());
        let answer = call(node, Method::GET, &path, String::new()).await?;
        let page = read_page(answer.status, &answer.body);
        let page = page.map_err(|e| anyhow::anyhow!("{e:?}"))?;
        let last = page.objects.last().map(|o| o.name.clone());
        // A name that is no address is another writer's.
        let names = page.objects.iter().map(|o| o.name.parse::<Ipv4Addr>());
        entries.extend(names.flatten());
        after = last.filter(|_| page.more);
        if after.is_none() {
            break;
        }
    }
    let is_visible = entries.contains(&node.place.ip);
    let now = node.now();
    node.peers.borrow_mut().add_second_hand(now, &entries);
    node.discovery.borrow_mut().record_listed(now, is_visible);
    log::info!(event = "entries_listed", entries = entries.len(), is_visible = is_visible; "");
    node.announce_now.notify_one();
    let is_gone = |ip: &Ipv4Addr| node.peers.borrow().is_unheard_for(now, *ip, GONE_AFTER);
    let gone = entries.into_iter().find(is_gone);
    match gone {
        Some(ip) => remove(node, &ip.to_string()).await,
        None => Ok(()),
    }
}

/// Sends a call to the store on a connection of its own.
pub(crate) async fn call(
    node: &Node,
    method: Method,
    path: &str,
    body: String,
) -> anyhow::Result<CallResponse> {
    let store = node.place.store.addr;
    let mut link = links::open(store).await.context("connecting")?;
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse()?;
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::try_from(store.to_string())?);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    links::call(&mut link, req).await
}
