//! Calls that copy a run's memory to another upstream.

use crate::node::Node;
use crate::own_calls::{CallError, call_upstream};
use crate::runs::Run;
use crate::stop_orders::{CopyAnswer, OrderKey};
use bytes::Bytes;
use fireflycroft::{StopOrder, Time, UpstreamIncarnation, UpstreamIx};
use fireflycroft_platform::{MigrationOutcome, is_refused, migration_call, read_migration};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Timeout for one copy; after it the upstream is gone anyway.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Copies a run's memory from one upstream to another, while it goes on.
pub async fn copy_memory(
    node: &Rc<Node>,
    from: UpstreamIx,
    to: UpstreamIx,
    run: &Run,
) -> MigrationOutcome {
    request_copy(node, from, to, run, false).await.0
}

/// Stops a run and copies the rest of its memory; returns what became of the order to stop it, too.
pub async fn stop_and_copy(
    node: &Rc<Node>,
    from: UpstreamIx,
    to: UpstreamIx,
    run: &Run,
) -> (MigrationOutcome, StopOrder) {
    log_order(node, run, from, to);
    let ordered = node.pool.borrow().record(from).upstream_incarnation();
    let order = OrderGuard::send(run, &ordered, node.now());
    let (outcome, settled) = request_copy(node, from, to, run, true).await;
    order.settle(settled);
    (outcome, settled)
}

/// An order to stop a run; lost if dropped before its outcome is known.
struct OrderGuard<'a> {
    run: &'a Run,
    order: OrderKey,
    outcome: StopOrder,
}

impl<'a> OrderGuard<'a> {
    fn send(run: &'a Run, ordered: &UpstreamIncarnation, now: Time) -> Self {
        Self {
            run,
            order: run.stop_orders.send(ordered, now),
            outcome: StopOrder::Lost,
        }
    }

    fn settle(mut self, outcome: StopOrder) {
        self.outcome = outcome;
    }
}

impl Drop for OrderGuard<'_> {
    fn drop(&mut self) {
        self.run.stop_orders.settle(self.order, self.outcome);
    }
}

/// Returns the outcome, also of the order to stop the run that the call bears if `stop`.
async fn request_copy(
    node: &Rc<Node>,
    from: UpstreamIx,
    to: UpstreamIx,
    run: &Run,
    stop: bool,
) -> (MigrationOutcome, StopOrder) {
    let sent_at = node.now();
    let calling = tokio::time::timeout(COPY_TIMEOUT, send_copy(node, from, to, run, stop));
    let (why, order) = match calling.await {
        Ok(Ok(answer)) => {
            let order = answer.stop_order();
            if stop {
                log_answer(node, run, from, &answer, sent_at);
            }
            return (answer.outcome, order);
        }
        Ok(Err(e)) if !e.may_have_arrived => (e.to_string(), StopOrder::NotSent),
        Ok(Err(e)) => (e.to_string(), StopOrder::Lost),
        Err(_) => ("no answer in time".to_owned(), StopOrder::Lost),
    };
    let order_name = if stop { order.name() } else { "" };
    log::warn!(event = "move_failed", req = &*run.request_id, why = why, stop_order = order_name; "");
    (MigrationOutcome::Malformed, order)
}

async fn send_copy(
    node: &Rc<Node>,
    from: UpstreamIx,
    to: UpstreamIx,
    run: &Run,
    stop: bool,
) -> Result<CopyAnswer, CallError> {
    let (source, target) = {
        let pool = node.pool.borrow();
        (pool.record(from).clone(), pool.record(to).addr)
    };
    node.pool.borrow_mut().record_sending(node.now(), from);
    let (path, body) = migration_call(&run.request_id, target, stop);
    let mut req = Request::new(Full::new(Bytes::from(body)));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(path);
    let headers = req.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&source.addr.to_string()) {
        headers.insert(HOST, host);
    }
    // The next incarnation can't tell that it isn't meant.
    let goes_on = || !node.pool.borrow().is_ended(from);
    let answer = call_upstream(&node.own_links, &source, COPY_TIMEOUT, goes_on, req).await?;
    let response = &answer.response;
    Ok(CopyAnswer {
        status: response.status,
        outcome: read_migration(source.addr, response.status, &response.body),
        is_refused: is_refused(response.status, &response.headers, &response.body),
        is_repeat: answer.is_repeat,
    })
}

fn log_order(node: &Node, run: &Run, from: UpstreamIx, to: UpstreamIx) {
    let pool = node.pool.borrow();
    let source = pool.record(from);
    let before = run.stop_orders.at(&source.upstream_incarnation());
    log::info!(
        event = "stop_ordered", req = &*run.request_id, from = &*source.instance,
        to = &*pool.record(to).instance, before = before.name(),
        produced = run.produced.get();
        ""
    );
}

/// Logs the answer to an order, and what it says of the run.
fn log_answer(node: &Node, run: &Run, from: UpstreamIx, answer: &CopyAnswer, sent_at: Time) {
    let pool = node.pool.borrow();
    log::info!(
        event = "stop_answered", req = &*run.request_id, from = &*pool.record(from).instance,
        status = answer.status, is_repeat = answer.is_repeat, is_refused = answer.is_refused,
        stop_order = answer.stop_order().name(), after_ms = node.now().since(sent_at).as_millis();
        ""
    );
}
