//! Sends one request to one upstream and receives its response.

use crate::conditions;
use crate::incarnations::confirm_link;
use crate::job::Job;
use crate::links::Link;
use crate::suspects;
use bytes::Bytes;
use fireflycroft::{
    BodyEnd, BodyFraming, Dispatch, MemoryCopy, ResponseHead, RunClaim, UpstreamIx, body_end,
};
use fireflycroft_platform::{read_response_head, upstream_headers};
use fireflynet::{CollectError, collect_answer};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::http::response::Parts;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Largest buffered response body of a plain call, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 8 << 20;

/// Status codes of answers; others are preliminary, or not HTTP.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Idle time up to which a connection is reused for a request that may run only once.
///
/// An upstream may close an idle connection at any time, and a request sent during the close is
/// lost; the longer the idle time, the likelier.
const SINGLE_RUN_MAX_IDLE: Duration = Duration::from_millis(1_200);

/// Idle time up to which a connection is reused for a retryable request.
const RETRYABLE_MAX_IDLE: Duration = Duration::from_secs(10);

/// Time that an upstream gets for a stream beyond the stream's own deadline.
///
/// An upstream stops work at the deadline that it is given, and may end its stream in order then, or with the last event that
/// can come before. So the stream is cut first, and one that ends before its own deadline is whole. Half of what the platform
/// allows beyond the caller's deadline.
const STREAM_DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// Time before a plain call's deadline in which a body in order without a stated length isn't taken for whole: the upstream,
/// whose time is rounded down, may have stopped its work.
const PLAIN_DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Options added to a caller's request.
#[derive(Clone, Debug, Default)]
pub struct SendOptions {
    /// Upstream that is to hold a backup of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Memory copy to resume from.
    pub memory: Option<MemoryCopy>,
    /// Event after which the stream resumes.
    pub last_event_id: Option<u64>,
    /// Whether the answer has gone on past its beginning.
    pub is_sound: bool,
}

/// Response head, with what is needed to read the body.
#[derive(Debug)]
pub struct ResponseStart {
    /// Status and headers.
    pub parts: Parts,
    /// Decoded head.
    pub head: ResponseHead,
    /// Unread body.
    pub body: Incoming,
    /// The connection; dropping it cancels the upstream's work.
    pub link: Link,
}

/// Reason for a missing response head.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request left this process.
    NeverSent(String),
    /// Not sent either, since the upstream may get no new requests now, or the request crashes upstreams.
    Withheld(String),
    /// The request was sent, fully or in part.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverSent(why) => write!(f, "never sent: {why}"),
            Self::Withheld(why) => write!(f, "withheld: {why}"),
            Self::Lost(why) => write!(f, "lost: {why}"),
        }
    }
}

/// Reason for an incomplete response body.
#[derive(Debug)]
pub enum BodyError {
    /// Other answers hold the memory.
    NoMemory,
    /// The upstream broke it off, or it is too large.
    Broken(String),
}

/// Sends the job's request to an upstream and waits for the response head.
///
/// `on_sent` is called before the first byte may leave.
///
/// # Errors
///
/// See [`SendError`].
pub async fn send(
    job: &Job,
    ix: UpstreamIx,
    options: &SendOptions,
    on_sent: impl FnOnce(),
) -> Result<ResponseStart, SendError> {
    let record = job.node.pool.borrow().record(ix).clone();
    let max_idle = if job.route.kind.is_retryable() {
        RETRYABLE_MAX_IDLE
    } else {
        SINGLE_RUN_MAX_IDLE
    };
    let links = &job.node.links;
    let mut link = links
        .get(&record.upstream_incarnation(), record.addr, max_idle)
        .await
        .map_err(|e| SendError::NeverSent(e.to_string()))?;
    if job.route.kind.is_stream() {
        link = confirm_link(&job.node, ix, link)
            .await
            .map_err(|e| SendError::NeverSent(e.to_string()))?;
    }
    link.sender
        .ready()
        .await
        .map_err(|e| SendError::NeverSent(e.to_string()))?;
    // Two incarnations share an id, so a later one can't refuse a request meant for an earlier one. A
    // departing upstream may serve for long and refuses nothing either.
    if !job.node.pool.borrow().may_get_requests(job.now(), ix) {
        return Err(SendError::NeverSent(
            "the upstream has ended or left".to_owned(),
        ));
    }
    if let Some(verdict) = suspects::verdict_on_answer(job, options.is_sound) {
        return Err(SendError::Withheld(format!(
            "{} crashes upstreams",
            verdict.suspect()
        )));
    }
    count_sending(job, ix)?;
    job.tries_suspect_again.set(false);
    let sent_at = job.now();
    let req = request(job, &record.instance, options);
    if options.memory.is_none() {
        job.attempted.borrow_mut().record_sent(ix);
    }
    // An order that is sent from now on may stop this run.
    job.stop_orders.begin_run(&record.upstream_incarnation());
    on_sent();
    let response = tokio::select! {
        response = link.sender.try_send_request(req) => response.map_err(send_error)?,
        () = job.node.until_ended(ix) => {
            return Err(SendError::Lost("the upstream restarted".to_owned()));
        }
    };
    let (parts, body) = response.into_parts();
    if !FINAL_STATUSES.contains(&parts.status.as_u16()) {
        let why = format!("status {} is none of an answer", parts.status.as_u16());
        return Err(SendError::Lost(why));
    }
    let head = read_response_head(parts.status, &parts.headers, &job.request_id);
    if !head.is_own {
        return Err(SendError::Lost("response to another request".to_owned()));
    }
    conditions::apply_head(job, ix, sent_at, parts.status, &head);
    job.sent_at.set(sent_at);
    Ok(ResponseStart {
        parts,
        head,
        body,
        link,
    })
}

/// Counts a request to an upstream, unless it may get none now.
fn count_sending(job: &Job, ix: UpstreamIx) -> Result<(), SendError> {
    let mut pool = job.node.pool.borrow_mut();
    if let Some(why) = pool.withheld(job.now(), ix) {
        return Err(SendError::Withheld(why.to_string()));
    }
    pool.record_sending(job.now(), ix);
    Ok(())
}

fn send_error(mut e: TrySendError<Request<Full<Bytes>>>) -> SendError {
    let unsent = e.take_message().is_some();
    let why = e.into_error().to_string();
    if unsent {
        SendError::NeverSent(why)
    } else {
        SendError::Lost(why)
    }
}

fn request(job: &Job, instance: &str, options: &SendOptions) -> Request<Full<Bytes>> {
    let dispatch = Dispatch {
        instance,
        workspace: job.workspace.as_deref(),
        deadline: upstream_time(job),
        backup: options.backup,
        memory: options.memory.as_ref(),
        last_event_id: options.last_event_id,
    };
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = upstream_headers(&job.headers, &dispatch);
    req
}

/// Returns the time that an upstream is given for the job's request.
fn upstream_time(job: &Job) -> Duration {
    let margin = if job.route.kind.is_stream() {
        STREAM_DEADLINE_MARGIN
    } else {
        Duration::ZERO
    };
    job.time_left() + margin
}

/// Reads the response body and releases the connection. A body that an order to stop its run may have ended isn't whole.
///
/// Never returns if the upstream may have ended a successful response in order because its time was over; the caller stops
/// waiting at the job's deadline.
///
/// # Errors
///
/// The reason for an incomplete body.
pub async fn read_body(
    job: &Job,
    ix: UpstreamIx,
    response: ResponseStart,
) -> Result<(Parts, Bytes), BodyError> {
    let ResponseStart {
        parts,
        head,
        body,
        link,
    } = response;
    let at = job.node.pool.borrow().record(ix).upstream_incarnation();
    let whole = tokio::select! {
        whole = collect_answer(body, MAX_BUFFERED_BODY_BYTES, &job.account) => whole,
        () = job.node.until_ended(ix) => {
            return Err(BodyError::Broken("the upstream restarted".to_owned()));
        }
    };
    let bytes = whole.map_err(|e| match e {
        CollectError::NoRoom => BodyError::NoMemory,
        e => BodyError::Broken(e.to_string()),
    })?;
    let bytes = bytes.into_bytes();
    // No order is out: all are waited for before a request is sent again.
    if body_end(head.framing, job.stop_orders.at(&at)) != BodyEnd::Whole {
        let why = "response ended in order, but its run may have been ordered to stop";
        return Err(BodyError::Broken(why.to_owned()));
    }
    let is_proven = head.framing == BodyFraming::Length || job.time_left() > PLAIN_DEADLINE_MARGIN;
    if parts.status.is_success() && !is_proven {
        // The reply is that of the deadline, and a retry would find no time.
        std::future::pending::<()>().await;
    }
    release_link(job, ix, &head, link);
    Ok((parts, bytes))
}

/// Returns a connection for reuse after a complete response, unless the upstream closes it or the
/// request was rejected.
pub fn release_link(job: &Job, ix: UpstreamIx, head: &ResponseHead, link: Link) {
    if head.closes || head.claim != RunClaim::MayHaveRun {
        return;
    }
    let incarnation = job.node.pool.borrow().record(ix).upstream_incarnation();
    job.node.links.put_back(&incarnation, link, head.keep_alive);
}
