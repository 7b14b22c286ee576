//! Calls of this entry's own to upstreams: moves and releases of memory, reports.
//!
//! An upstream may send an answer twice, the second time where the answer to the next request on the connection is
//! expected. So each call has an id of its own, which the upstream echoes, and goes over a connection that no caller's
//! request uses; it names the instance that it is meant for, since the address may be another one's by now. Where the upstream echoes none, an answer is believed only on a new connection, which is used once.

use crate::links::{self, CallResponse, Link, Links};
use bytes::Bytes;
use fireflycroft::{UpstreamIncarnation, UpstreamRecord};
use fireflycroft_platform::{address_call, answered_id, closes_connection};
use http_body_util::Full;
use hyper::Request;
use rand::Rng;
use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::io;
use std::time::Duration;

/// Upstreams that echo the ids of calls.
#[derive(Default)]
pub struct EchoingUpstreams {
    known: RefCell<HashSet<UpstreamIncarnation>>,
}

/// Answer to a call.
pub struct OwnAnswer {
    /// The response.
    pub response: CallResponse,
    /// Whether it bears the id of its call, so that a later answer to it can be told.
    pub is_tied: bool,
    /// Whether the upstream may have got the call before, unanswered.
    pub is_repeat: bool,
}

/// Reason why a call has no answer.
#[derive(Debug)]
pub struct CallError {
    /// Whether the upstream may have got the call all the same.
    pub may_have_arrived: bool,
    why: anyhow::Error,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.why)
    }
}

impl std::error::Error for CallError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&*self.why)
    }
}

/// Sends a call to an instance over a connection.
///
/// # Errors
///
/// If the connection breaks, the answer bears the id of another request, or bears none on a connection that was used
/// before.
pub async fn call_over(
    link: &mut Link,
    instance: &str,
    mut req: Request<Full<Bytes>>,
) -> anyhow::Result<OwnAnswer> {
    let id = format!("{:016x}", rand::rng().next_u64());
    address_call(req.headers_mut(), &id, instance);
    let was_used = link.reused;
    link.reused = true;
    let response = links::call(link, req).await?;
    let answered = answered_id(&response.headers);
    let is_tied = answered == Some(&id);
    anyhow::ensure!(is_tied || answered.is_none(), "answer to another request");
    anyhow::ensure!(
        is_tied || !was_used,
        "answer without an id on a used connection"
    );
    Ok(OwnAnswer {
        response,
        is_tied,
        is_repeat: false,
    })
}

/// Sends a call to an upstream, over a kept connection if the upstream is known to echo ids. `may_send` is asked
/// before each sending.
///
/// # Errors
///
/// As [`call_over`], or if no connection can be opened; the error says whether the call may have arrived.
pub async fn call_upstream(
    links: &Links,
    to: &UpstreamRecord,
    max_idle: Duration,
    may_send: impl Fn() -> bool,
    req: Request<Full<Bytes>>,
) -> Result<OwnAnswer, CallError> {
    let ensure_due = |may_have_arrived| {
        let withheld = || call_error(anyhow::anyhow!("not due any more"), may_have_arrived);
        may_send().then_some(()).ok_or_else(withheld)
    };
    let incarnation = to.upstream_incarnation();
    let echoes = links.echoing.known.borrow().contains(&incarnation);
    let mut link = if echoes {
        links.get(&incarnation, to.addr, max_idle).await
    } else {
        links::open(to.addr).await
    }
    .map_err(|e| call_error(e.into(), false))?;
    ensure_due(false)?;
    let mut answer = call_over(&mut link, &to.instance, req.clone()).await;
    let mut is_repeat = false;
    if echoes && let Err(e) = &answer {
        // A late answer may have taken the place of this one.
        is_repeat = !is_unsent(e);
        ensure_due(is_repeat)?;
        link = links::open(to.addr)
            .await
            .map_err(|e| call_error(e.into(), is_repeat))?;
        ensure_due(is_repeat)?;
        answer = call_over(&mut link, &to.instance, req).await;
    }
    let answer = answer.map_err(|e| {
        let may_have_arrived = is_repeat || !is_unsent(&e);
        call_error(e, may_have_arrived)
    })?;
    if answer.is_tied {
        let mut known = links.echoing.known.borrow_mut();
        known.insert(incarnation.clone());
        drop(known);
        if !closes_connection(&answer.response.headers) {
            links.put_back(&incarnation, link, None);
        }
    }
    Ok(OwnAnswer {
        is_repeat,
        ..answer
    })
}

const fn call_error(why: anyhow::Error, may_have_arrived: bool) -> CallError {
    CallError {
        may_have_arrived,
        why,
    }
}

/// Returns whether a call failed because its connection ended without an answer.
#[must_use]
pub fn is_connection_end(e: &anyhow::Error) -> bool {
    let is_end = |cause: &(dyn std::error::Error + 'static)| {
        let http = cause.downcast_ref::<hyper::Error>();
        let io = cause.downcast_ref::<io::Error>();
        http.is_some_and(|e| e.is_incomplete_message() || e.is_closed() || e.is_canceled())
            || io.is_some_and(|e| e.kind() == io::ErrorKind::ConnectionReset)
    };
    e.chain().any(is_end)
}

/// Returns whether a call failed before any of it left this process.
fn is_unsent(e: &anyhow::Error) -> bool {
    let e = e.downcast_ref::<hyper::Error>();
    e.is_some_and(hyper::Error::is_canceled)
}

impl EchoingUpstreams {
    /// Forgets an incarnation that has ended.
    pub fn remove(&self, incarnation: &UpstreamIncarnation) {
        self.known.borrow_mut().remove(incarnation);
    }
}
