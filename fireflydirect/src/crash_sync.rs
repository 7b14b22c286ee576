//! Fetches what the other entries know of crashes, before an entry that has just started serves.
//!
//! A request that crashes upstreams may come to it at once. It asks the entries that it knows until one of those that
//! have served before answers. Where all have just started nobody knows anything, which it can't be told: so it waits
//! for a short time only, while requests that have come wait with it, and reads what the store keeps. Entries that meet
//! late ask each other as well.

use crate::client::Client;
use crate::kept_refusals;
use crate::node::Node;
use crate::page_server::{Page, empty};
use crate::suspects;
use fireflycroft::{HedgedCall, Incarnation, Time, whole_millis};
use fireflycroft_wire::{decode_crash_news, encode_crash_news};
use http_body_util::Full;
use hyper::{Response, StatusCode};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// Path of the evidence that other entries fetch.
pub const CRASHES_PATH: &str = "/fleet/crashes";

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between two rounds of queries.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Time for entries that have served to be heard of: some announcements.
const NOBODY_KNOWS_AFTER: Duration = Duration::from_millis(400);

/// Age of a process from which it serves without having heard of others.
const GIVE_UP_AFTER: Duration = Duration::from_secs(1);

/// Time for which an entry goes on asking while it serves.
const ASK_FOR: Duration = Duration::from_secs(10);

/// Age of two entries from which they should have heard of each other.
const MET_LATE_AFTER: Duration = Duration::from_secs(5);

/// Entries asked in one round.
const MAX_ASKED: usize = 8;

/// Asks other entries until one answers that has served before.
pub async fn run(node: Rc<Node>) {
    while node.now() < Time::default() + ASK_FOR {
        kept_refusals::review(&node);
        let round = ask_all(&node).await;
        let age = node.now().since(Time::default());
        if round == Round::Informed {
            log::info!(event = "crashes_learnt", age_ms = age.as_millis(); "");
            kept_refusals::record_informed(&node);
            return node.record_crash_knowledge();
        }
        let nobody_knows = round == Round::AllAnswered && age >= NOBODY_KNOWS_AFTER;
        let nobody_knows = nobody_knows && kept_refusals::is_informed(&node);
        if nobody_knows || age >= GIVE_UP_AFTER {
            node.record_crash_knowledge();
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

/// Asks an entry that is heard of for the first time what it knows, if neither has just started: they have been cut off
/// from each other, or had stale seeds, and crashes are told for seconds only.
pub fn meet(node: &Rc<Node>, from: Ipv4Addr, incarnation: Incarnation) {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = unix.map_or(0, whole_millis);
    let its_age = Duration::from_millis(now.saturating_sub(incarnation.unix_millis()));
    let own_age = node.now().since(Time::default());
    if own_age.min(its_age) >= MET_LATE_AFTER {
        let node = node.clone();
        tokio::task::spawn_local(async move { ask(&node, from).await });
    }
}

/// Outcome of a round of queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Round {
    /// An entry told what it knows.
    Informed,
    /// All entries answered that they know nothing, or are down.
    AllAnswered,
    /// An entry gave no answer.
    SomeSilent,
}

async fn ask_all(node: &Rc<Node>) -> Round {
    let targets = node.peers.borrow().to_ask(MAX_ASKED);
    let mut queries = JoinSet::new();
    for ip in targets {
        let node = node.clone();
        queries.spawn_local(async move { ask(&node, ip).await });
    }
    let mut round = Round::AllAnswered;
    while let Some(answer) = queries.join_next().await {
        match answer {
            Ok(Round::Informed) => return Round::Informed,
            Ok(Round::AllAnswered) => {}
            Ok(Round::SomeSilent) | Err(_) => round = Round::SomeSilent,
        }
    }
    round
}

async fn ask(node: &Rc<Node>, ip: Ipv4Addr) -> Round {
    let addr = SocketAddr::from((ip, node.place.peer_ports.0));
    let mut client = Client::new(addr, node);
    let asked_at = node.now();
    let query = client.get(CRASHES_PATH, HedgedCall::single(QUERY_TIMEOUT), || ());
    let answer = match tokio::time::timeout(QUERY_TIMEOUT, query).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(e)) if is_down(&e) => return Round::AllAnswered,
        Ok(Err(_)) | Err(_) => return Round::SomeSilent,
    };
    if answer.status != StatusCode::OK {
        return Round::AllAnswered;
    }
    match decode_crash_news(&answer.body) {
        Ok(told) => {
            suspects::apply(node, ip, &told, node.now().since(asked_at));
            Round::Informed
        }
        Err(e) => {
            let (from, why) = (ip.to_string(), e.to_string());
            log::warn!(event = "peer_fetch_failed", from = from, why = why; "");
            Round::AllAnswered
        }
    }
}

/// Returns whether a query failed because no process listens there.
fn is_down(e: &anyhow::Error) -> bool {
    let e = e.downcast_ref::<io::Error>();
    e.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}

/// Returns the evidence of this entry; 503 while it has none of the others.
pub fn page(node: &Node) -> Page {
    if !node.has_crash_knowledge() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let known = node.crash_evidence.borrow().all_to_tell(node.now());
    Response::new(Full::from(encode_crash_news(&known)))
}
