//! Asking engines whether they leave, while nobody hears it from the store.
//!
//! In an outage of the store no notice reaches any entry, and runs would end with
//! their engines. Engines also tell it in their reports; each entry asks those
//! that carry its own runs, and only while no entry watches the store in good
//! health, since each report is paid for.

use crate::client::Client;
use crate::node::Node;
use fireflycroft::UpstreamIx;
use fireflycroft_platform::{read_report, report_path};
use std::rc::Rc;
use std::time::Duration;

/// Time between two rounds of asking; engines leave a second and a half after their notice, and
/// reports are some hundred milliseconds old.
const ASK_EVERY: Duration = Duration::from_millis(350);

/// Age of a notice when a report tells of it: the report's own age, and half of a round.
const NOTICE_AGE: Duration = Duration::from_millis(700);

/// Longest wait for a report; an engine answers within a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks for as long as the process lives.
pub async fn run(node: Rc<Node>) {
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        if node.catalog.borrow().is_none() || node.anybody_watches() {
            continue;
        }
        let mine = node.pool.borrow().mine();
        for ix in mine {
            tokio::task::spawn_local(ask(node.clone(), ix));
        }
    }
}

async fn ask(node: Rc<Node>, ix: UpstreamIx) {
    let record = node.pool.borrow().record(ix).clone();
    let answer = Client::new(record.addr)
        .get(report_path(), REPORT_TIMEOUT)
        .await;
    let report = match answer {
        Ok((status, body)) => read_report(status, &body),
        Err(e) => {
            let why = e.to_string();
            log::warn!(event = "report_failed", instance = &*record.instance, why = why; "");
            return;
        }
    };
    if report.is_some_and(|r| r.leaves) {
        let since = node.now() - NOTICE_AGE;
        let change = node.pool.borrow_mut().note_leaving(since, ix);
        node.take_changes(change, "report");
    }
}
