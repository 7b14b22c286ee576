//! What upstreams that leave say of their end.
//!
//! An engine that is taken away knows when, and all runs that it carries, those
//! of other entries too. Its report says so, half a second late, so it is asked
//! once, as soon as the report can show the notice.

use crate::figure::or_empty;
use crate::links::call_whole;
use crate::node::Node;
use bytes::Bytes;
use fireflycroft::{Departure, MAX_REPORT_AGE, Time, UpstreamIx};
use fireflycroft_platform::{EngineReport, read_report, report_path};
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Longest time for a report, of the second or so in which it is of use.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a departure is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Departures of upstreams that run something of this entry.
#[derive(Default)]
pub struct Departures {
    known: RefCell<HashMap<UpstreamIx, Departure>>,
}

impl Departures {
    /// What is known of an upstream's departure.
    #[must_use]
    pub fn get(&self, ix: UpstreamIx) -> Option<Departure> {
        self.known.borrow().get(&ix).copied()
    }

    /// Enters a departure; true when it is new.
    fn enter(&self, now: Time, ix: UpstreamIx, departure: Departure) -> bool {
        let mut known = self.known.borrow_mut();
        known.retain(|_, d| now.since(d.notified_at) < FORGET_AFTER);
        let is_new = !known.contains_key(&ix);
        known.entry(ix).or_insert(departure);
        is_new
    }

    fn learn(&self, ix: UpstreamIx, gone_at: Option<Time>, copies_take: Duration) {
        if let Some(departure) = self.known.borrow_mut().get_mut(&ix) {
            departure.gone_at = gone_at;
            departure.copy_time = copies_take;
        }
    }
}

/// Asks an upstream that leaves when it is gone, unless that has been asked.
///
/// `token_copy_time` is the time that the memory of one token takes over its link.
pub fn note(node: &Rc<Node>, ix: UpstreamIx, token_copy_time: Duration) {
    let now = node.now();
    let notice = node.pool.borrow().left_at(ix).unwrap_or(now);
    if !node.departures.enter(now, ix, Departure::notified(notice)) {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let when = node.clock.instant(notice + MAX_REPORT_AGE);
        tokio::time::sleep_until(when).await;
        learn(&node, ix, token_copy_time).await;
    });
}

async fn learn(node: &Node, ix: UpstreamIx, token_copy_time: Duration) {
    let asking = tokio::time::timeout(REPORT_TIMEOUT, ask(node, ix));
    let report = match asking.await {
        Ok(Ok(report)) => report,
        Ok(Err(e)) => return say_unknown(node, ix, &e.to_string()),
        Err(_) => return say_unknown(node, ix, "no answer in time"),
    };
    let asked = node.pool.borrow().record(ix).incarnation;
    if asked.is_known() && report.incarnation != asked {
        return say_unknown(node, ix, "the report is of another life");
    }
    let now = node.now();
    let gone_at = report
        .leaves_in
        .map(|left| now + left.saturating_sub(MAX_REPORT_AGE));
    let tokens: u64 = report.runs.iter().map(|r| r.memory_tokens).sum();
    let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
    node.departures.learn(ix, gone_at, token_copy_time * tokens);
    let pool = node.pool.borrow();
    log::info!(
        event = "departure_known", instance = &*pool.record(ix).instance,
        leaves_in_ms = or_empty(report.leaves_in.map(|l| l.as_millis())),
        runs = report.runs.len(), tokens = tokens;
        ""
    );
}

fn say_unknown(node: &Node, ix: UpstreamIx, why: &str) {
    let pool = node.pool.borrow();
    let instance = &*pool.record(ix).instance;
    log::warn!(event = "departure_unknown", instance = instance, why = why; "");
}

async fn ask(node: &Node, ix: UpstreamIx) -> anyhow::Result<EngineReport> {
    let record = node.pool.borrow().record(ix).clone();
    node.pool.borrow_mut().record_sending(node.now(), ix);
    let links = &node.links;
    let mut link = links
        .get(&record.upstream_incarnation(), record.addr, REPORT_TIMEOUT)
        .await?;
    let req = Request::get(report_path())
        .header(HOST, record.addr.to_string())
        .body(Full::new(Bytes::new()))?;
    let answered = call_whole(&mut link, req).await?;
    anyhow::ensure!(answered.status == 200, "status {}", answered.status);
    links.put_back(&record.upstream_incarnation(), link, None);
    Ok(read_report(&answered.body)?)
}
