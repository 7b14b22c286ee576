//! End times of departing upstreams.
//!
//! A departing engine knows its end time and all its runs, those of other
//! entries too. Its report states them up to half a second late, so the engine
//! is queried once, as soon as the report can reflect the leave notice.

use crate::links::{CallResponse, Link};
use crate::log_value::or_empty;
use crate::node::Node;
use crate::own_calls::{call_over, call_upstream};
use bytes::Bytes;
use fireflycroft::{Departure, MAX_REPORT_AGE, Time, UpstreamIx, UpstreamRecord};
use fireflycroft_platform::{EngineReport, closes_connection, read_report, report_path};
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeout for a report, which is of use for about a second only.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time of a connection on which a report is asked for: longer than between two queries.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// Time for which a departure is kept.
const RETENTION: Duration = Duration::from_secs(30);

/// Departures of upstreams with runs of this entry.
#[derive(Default)]
pub struct Departures {
    known: RefCell<HashMap<UpstreamIx, Departure>>,
}

impl Departures {
    /// Returns the known departure of an upstream.
    #[must_use]
    pub fn get(&self, ix: UpstreamIx) -> Option<Departure> {
        self.known.borrow().get(&ix).copied()
    }

    /// Inserts a departure; true if it is new.
    fn insert(&self, now: Time, ix: UpstreamIx, departure: Departure) -> bool {
        let mut known = self.known.borrow_mut();
        known.retain(|_, d| now.since(d.notified_at) < RETENTION);
        let is_new = !known.contains_key(&ix);
        known.entry(ix).or_insert(departure);
        is_new
    }

    /// Replaces what is known of a departure by what the upstream stated.
    fn record(&self, now: Time, ix: UpstreamIx, departure: Departure) {
        self.insert(now, ix, departure);
        self.update(ix, departure.gone_at, departure.copy_time);
    }

    fn update(&self, ix: UpstreamIx, gone_at: Option<Time>, copy_time: Duration) {
        if let Some(departure) = self.known.borrow_mut().get_mut(&ix) {
            departure.gone_at = gone_at;
            departure.copy_time = copy_time;
        }
    }
}

/// Queries a departing upstream for its end time, unless that was done before.
///
/// `token_copy_time` is the time to copy the memory of one token over its link.
pub fn query_departure(node: &Rc<Node>, ix: UpstreamIx, token_copy_time: Duration) {
    let now = node.now();
    let notified_at = node.pool.borrow().left_at(ix).unwrap_or(now);
    if !node
        .departures
        .insert(now, ix, Departure::notified(notified_at))
    {
        return;
    }
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let when = node.clock.instant(notified_at + MAX_REPORT_AGE);
        tokio::time::sleep_until(when).await;
        fetch_departure(&node, ix, token_copy_time).await;
    });
}

async fn fetch_departure(node: &Node, ix: UpstreamIx, token_copy_time: Duration) {
    let report = match fetch_report(node, ix).await {
        Ok(fetched) => fetched.report,
        Err(e) => return log_unknown(node, ix, &e.to_string()),
    };
    let expected = node.pool.borrow().record(ix).incarnation;
    if expected.is_known() && report.incarnation != expected {
        return log_unknown(node, ix, "the report is of another incarnation");
    }
    let now = node.now();
    let gone_at = report
        .leaves_in
        .map(|left| now + left.saturating_sub(MAX_REPORT_AGE));
    let copy_time = copy_time(&report, token_copy_time);
    node.departures.update(ix, gone_at, copy_time);
    let pool = node.pool.borrow();
    log::info!(
        event = "departure_known", instance = &*pool.record(ix).instance,
        leaves_in_ms = or_empty(report.leaves_in.map(|l| l.as_millis())),
        runs = report.runs.len(), tokens = reported_tokens(&report);
        ""
    );
}

fn reported_tokens(report: &EngineReport) -> u32 {
    let tokens: u64 = report.runs.iter().map(|r| r.memory_tokens).sum();
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the time to copy the memory of all reported runs over the engine's link.
fn copy_time(report: &EngineReport, token_copy_time: Duration) -> Duration {
    token_copy_time * reported_tokens(report)
}

/// Records a departure that a report showed before any notice.
pub fn record_departure(node: &Node, ix: UpstreamIx, report: &EngineReport, gone_at: Option<Time>) {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let service = node.pool.borrow().record(ix).service.clone();
    let services = catalog.iter().flat_map(|c| c.services());
    let engine = services
        .filter(|s| s.name == service)
        .find_map(|s| s.engine);
    let departure = Departure {
        notified_at: now,
        gone_at,
        copy_time: copy_time(report, engine.map_or(Duration::ZERO, |e| e.token_copy_time)),
    };
    node.departures.record(now, ix, departure);
}

fn log_unknown(node: &Node, ix: UpstreamIx, why: &str) {
    let pool = node.pool.borrow();
    let instance = &*pool.record(ix).instance;
    log::warn!(event = "departure_unknown", instance = instance, why = why; "");
}

/// A report, and whether the engine closes the connection after it.
pub struct FetchedReport {
    /// The report.
    pub report: EngineReport,
    /// Whether the answer says that the connection is closed.
    pub closes: bool,
}

/// Fetches the report of an engine.
///
/// # Errors
///
/// If it can't be reached, or its answer is late or not a report.
pub async fn fetch_report(node: &Node, ix: UpstreamIx) -> anyhow::Result<FetchedReport> {
    let fetching = tokio::time::timeout(REPORT_TIMEOUT, send_query(node, ix));
    fetching
        .await
        .unwrap_or_else(|_| Err(anyhow::anyhow!("no answer in time")))
}

async fn send_query(node: &Node, ix: UpstreamIx) -> anyhow::Result<FetchedReport> {
    let record = node.pool.borrow().record(ix).clone();
    node.pool.borrow_mut().record_sending(node.now(), ix);
    let req = report_request(record.addr)?;
    let answer = call_upstream(&node.own_links, &record, MAX_IDLE, || true, req).await?;
    read_fetched(&answer.response)
}

/// Fetches the report of the engine at the other end of a connection; there is no timeout.
///
/// # Errors
///
/// If the connection breaks, or the answer is not a report.
pub async fn fetch_report_over(
    link: &mut Link,
    to: &UpstreamRecord,
) -> anyhow::Result<FetchedReport> {
    let answer = call_over(link, &to.instance, report_request(to.addr)?).await?;
    let fetched = read_fetched(&answer.response)?;
    Ok(FetchedReport {
        // A second answer without an id couldn't be told from the next request's.
        closes: fetched.closes || !answer.is_tied,
        ..fetched
    })
}

fn report_request(addr: SocketAddr) -> anyhow::Result<Request<Full<Bytes>>> {
    let req = Request::get(report_path()).header(HOST, addr.to_string());
    Ok(req.body(Full::new(Bytes::new()))?)
}

fn read_fetched(response: &CallResponse) -> anyhow::Result<FetchedReport> {
    anyhow::ensure!(response.status == 200, "status {}", response.status);
    Ok(FetchedReport {
        report: read_report(&response.body)?,
        closes: closes_connection(&response.headers),
    })
}
