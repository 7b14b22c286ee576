//! Confirmation that a stream comes from the incarnation of an upstream that its record describes.
//!
//! Two incarnations share an id, and until the later one is listed a request meant for the first reaches it,
//! perhaps at another software version. An engine's report states its start. One that is fetched after the
//! response head and shows the expected start proves that no restart came before, and so for whatever the
//! connection carries from then on.

use crate::departures::fetch_report;
use crate::links::Link;
use crate::node::Node;
use fireflycroft::{Incarnation, UpstreamIx, UpstreamRecord, VersionKey};

/// Returns the software version of the upstream behind a connection whose response head has arrived; `None` if it
/// is unknown or the upstream may have restarted.
///
/// Upstreams that state no start have a new id after each, so that theirs need no confirmation.
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
