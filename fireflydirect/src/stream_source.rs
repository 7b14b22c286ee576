//! The upstream's side of a relayed stream.

use crate::exchange::ResponseStart;
use crate::links::Link;
use crate::node::Node;
use crate::runs::Run;
use crate::stop_orders::RunKey;
use bytes::Bytes;
use fireflycroft::{BodyEnd, BodyFraming, EventRelay, ResponseHead, UpstreamIx, body_end};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use std::time::Duration;
use tokio::time::Instant;

/// Time from a break for which a copy in progress is waited for, and an order to stop the run; copying the longest prompts
/// takes about half a second on an idle link.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Upstream response being read.
pub struct Source {
    body: Incoming,
    /// The connection; dropping it cancels the upstream's work.
    pub link: Link,
    /// Decoded head.
    pub head: ResponseHead,
}

/// Result of a read from an upstream.
pub enum Read {
    /// Bytes of the body.
    Data(Bytes),
    /// The body ended in order.
    End,
    /// The body broke off, for a reason.
    Broke(String),
    /// The stream's deadline has passed.
    TimeUp,
}

impl Source {
    /// Returns the head of a response and the source of its body.
    #[must_use]
    pub fn of(response: ResponseStart) -> (Parts, Self) {
        let ResponseStart {
            parts,
            head,
            body,
            link,
        } = response;
        (parts, Self { body, link, head })
    }

    /// Reads on, until `deadline` or the end of the upstream's incarnation at the latest.
    pub async fn read(&mut self, node: &Node, at: UpstreamIx, deadline: Instant) -> Read {
        let frame = tokio::select! {
            biased;
            frame = self.body.frame() => frame,
            () = node.until_ended(at) => {
                return Read::Broke("its upstream started again".to_owned());
            }
            () = tokio::time::sleep_until(deadline) => return Read::TimeUp,
        };
        match frame {
            Some(Ok(frame)) => Read::Data(frame.into_data().unwrap_or_default()),
            Some(Err(e)) => Read::Broke(format!("{:#}", anyhow::Error::from(e))),
            None => Read::End,
        }
    }
}

/// Why a body that ended in order isn't taken for whole.
pub struct EndFault {
    /// Reason in logs.
    pub why: &'static str,
    /// What its end means: undecided while an order to stop its run is out, whose outcome may yet prove it whole.
    pub end: BodyEnd,
}

/// Returns why a body that ended in order isn't whole, at the stream's `deadline` at the latest; `None` if it is.
pub async fn fault_of_end(
    node: &Node,
    run: &Run,
    framing: BodyFraming,
    events: &EventRelay,
    deadline: Instant,
) -> Option<EndFault> {
    // An event may have come before the caller took the stream up.
    let has_begun = events.relayed() > 0 || events.last_id().is_some();
    let mut end = BodyEnd::BrokenOff;
    let why = if events.is_mid_event() {
        "response ended within an event"
    } else if !has_begun {
        "response ended before an event"
    } else {
        end = judge_end(node, run, framing, deadline).await;
        match end {
            BodyEnd::Whole => return None,
            BodyEnd::BrokenOff => "response ended in order, but its run was ordered to stop",
            BodyEnd::Undecided => {
                "response ended in order, but the order to stop its run isn't answered"
            }
        }
    };
    Some(EndFault { why, end })
}

/// Returns whether an order that was out as a body ended stopped nothing, as soon as that is known until `deadline`.
pub async fn is_whole_after_all(
    run: &Run,
    broke: &RunKey,
    framing: BodyFraming,
    deadline: Instant,
) -> bool {
    // An outcome that comes later is treated as none.
    let _ = tokio::time::timeout_at(deadline, run.stop_orders.until_settled(broke)).await;
    body_end(framing, run.stop_orders.to_run(broke)) == BodyEnd::Whole
}

async fn judge_end(node: &Node, run: &Run, framing: BodyFraming, deadline: Instant) -> BodyEnd {
    let at = node
        .pool
        .borrow()
        .record(run.at.get())
        .upstream_incarnation();
    let ended = run.stop_orders.run_at(&at);
    let end = body_end(framing, run.stop_orders.to_run(&ended));
    if end != BodyEnd::Undecided {
        return end;
    }
    let until = deadline.min(Instant::now() + COPY_TIMEOUT);
    run.copy_limit.set(Some(until));
    // After a timeout the end stays undecided, and the stream goes on from a copy if there is one.
    let _ = tokio::time::timeout_at(until, run.stop_orders.until_settled(&ended)).await;
    body_end(framing, run.stop_orders.to_run(&ended))
}

/// Waits for a copy in progress, as long as callers tolerate a pause.
pub async fn wait_for_copy(run: &Run) {
    let until = run.copy_limit.take();
    let until = until.unwrap_or_else(|| Instant::now() + COPY_TIMEOUT);
    let ended = run.migration_ended.notified();
    if run.is_moving() && run.standby_holder().is_none() {
        let _ = tokio::time::timeout_at(until, ended).await;
    }
}
