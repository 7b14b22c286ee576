//! Last answers of a stopping process.
//!
//! An answer at the end of the grace period that says that the outcome is unknown lets a caller act at once; a
//! connection that closes without one says no more, and may be taken for one whose request was never read.

use crate::call::Reply;
use crate::node::{Node, Stage};
use fireflycroft::{Attempts, Code, STARTUP_RETRY_AFTER};
use std::future::pending;

/// Returns the reply to a request that gets no other before the process ends.
#[must_use]
pub fn reply(attempts: &Attempts) -> Reply {
    if attempts.may_have_run() {
        Reply::Error(Code::OutcomeUnknown, None)
    } else {
        Reply::Error(Code::Leaving, Some(STARTUP_RETRY_AFTER))
    }
}

/// Waits until requests without an answer get one, since the process ends.
pub async fn until_last_answers(node: &Node) {
    until_stop(node).await;
    let Some(planned) = node.planned_stop.get() else {
        return pending().await;
    };
    tokio::time::sleep_until(node.clock.instant(planned.last_answers_at)).await;
}

async fn until_stop(node: &Node) {
    let mut stage = node.subscribe_stage();
    // Can't fail, since the node owns the sender.
    let _ = stage.wait_for(|s| *s != Stage::Serving).await;
}
