//! Confirmation that a stream comes from the incarnation of an upstream that its record describes.
//!
//! Two incarnations share an id, and until the later one is listed a request meant for the first reaches it,
//! perhaps at another software version. An engine's report states its start. One that came over the same
//! connection proves what the connection leads to, and so does one fetched after the response head, since no
//! restart can have come before.
//!
//! Upstreams that state no start have a new id after each, so that theirs need no confirmation.

use crate::departures::{REPORT_TIMEOUT, fetch_report, fetch_report_over};
use crate::links::{self, Link};
use crate::node::Node;
use fireflycroft::{Incarnation, UpstreamIx, UpstreamRecord, VersionKey};
use std::io;
use tokio::time::timeout;

/// Confirms a connection before the first stream on it; returns an unconfirmed new one if its upstream gives no
/// report or closes the connection after it.
///
/// # Errors
///
/// If the upstream reports another start, or a new connection can't be opened.
pub async fn confirm_link(node: &Node, ix: UpstreamIx, mut link: Link) -> io::Result<Link> {
    let record = node.pool.borrow().record(ix).clone();
    if link.confirmed || !record.incarnation.is_known() {
        return Ok(link);
    }
    match timeout(REPORT_TIMEOUT, fetch_report_over(&mut link, &record)).await {
        Ok(Ok(fetched)) if fetched.report.incarnation != record.incarnation => {
            record_restart(node, ix, fetched.report.incarnation);
            return Err(io::Error::other("the upstream has started again"));
        }
        Ok(Ok(fetched)) if !fetched.closes => {
            link.confirmed = true;
            return Ok(link);
        }
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log_unconfirmed(node, ix, &e.to_string()),
        Err(_) => log_unconfirmed(node, ix, "no report in time"),
    }
    links::open_for_callers(record.addr).await
}

/// Returns the software version of the upstream behind a connection whose response head has arrived; `None` if it
/// is unknown or the upstream may have restarted.
pub async fn confirmed_version(node: &Node, ix: UpstreamIx, link: &mut Link) -> Option<VersionKey> {
    let expected = node.pool.borrow().record(ix).incarnation;
    if expected.is_known() && !link.confirmed {
        match fetch_report(node, ix).await {
            Ok(fetched) if fetched.report.incarnation == expected => link.confirmed = true,
            Ok(fetched) => {
                record_restart(node, ix, fetched.report.incarnation);
                return None;
            }
            Err(e) => {
                log_unconfirmed(node, ix, &e.to_string());
                return None;
            }
        }
    }
    node.pool.borrow().version(ix)
}

/// Ends an incarnation whose upstream reports a later start; its version is unknown until it is listed.
fn record_restart(node: &Node, ix: UpstreamIx, reported: Incarnation) {
    log_unconfirmed(node, ix, "it reports another start");
    let record = UpstreamRecord {
        incarnation: reported,
        software_version: None,
        ..node.pool.borrow().record(ix).clone()
    };
    let change = node.pool.borrow_mut().upsert(node.now(), record);
    node.apply_pool_changes(change, "report");
}

fn log_unconfirmed(node: &Node, ix: UpstreamIx, why: &str) {
    let instance = node.pool.borrow().record(ix).instance.clone();
    log::warn!(event = "incarnation_unconfirmed", instance = &*instance, why = why; "");
}
