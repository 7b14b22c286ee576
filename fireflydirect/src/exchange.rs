//! One request to one upstream, up to the head of its answer.

use crate::conditions;
use crate::job::Job;
use crate::links::Link;
use bytes::Bytes;
use fireflycroft::{Dispatch, MemoryCopy, ResponseHead, RunClaim, UpstreamIx};
use fireflycroft_platform::{read_answer_head, upstream_headers};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::http::response::Parts;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest answer of a plain call that is held, in bytes.
const MAX_WHOLE_ANSWER: usize = 8 << 20;

/// Idle time up to which a connection carries a request that may run only once.
///
/// An upstream may close an idle connection at any moment, and a request that crosses the close
/// is lost; the longer the idle time, the likelier.
const ONCE_IDLE: Duration = Duration::from_millis(1_200);

/// Idle time up to which a connection carries a request that may run again.
const REPEATABLE_IDLE: Duration = Duration::from_secs(10);

/// What goes along with a request beside what the caller sent.
#[derive(Clone, Debug, Default)]
pub struct Extras {
    /// Upstream that is to keep a copy of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Memory to go on from.
    pub memory: Option<MemoryCopy>,
    /// Event after which the stream goes on.
    pub last_event_id: Option<u64>,
}

/// Head of an answer, with what is needed to read the rest.
#[derive(Debug)]
pub struct Opened {
    /// Status and headers.
    pub parts: Parts,
    /// What they say of the request.
    pub head: ResponseHead,
    /// The body, still to come.
    pub body: Incoming,
    /// The connection; dropping it ends the upstream's work.
    pub link: Link,
}

/// Why no head came.
#[derive(Debug)]
pub enum Unanswered {
    /// No byte of the request left this process.
    NeverSent(String),
    /// The same, since the upstream may get nothing new: the upstream is sound.
    Withheld(String),
    /// The request was sent, wholly or in part.
    Lost(String),
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverSent(why) => write!(f, "never sent: {why}"),
            Self::Withheld(why) => write!(f, "withheld: {why}"),
            Self::Lost(why) => write!(f, "lost: {why}"),
        }
    }
}

/// Sends the job's request to an upstream and waits for the head of its answer.
///
/// `on_sent` is called before the first byte may leave.
///
/// # Errors
///
/// See [`Unanswered`].
pub async fn send(
    job: &Job,
    ix: UpstreamIx,
    extras: &Extras,
    on_sent: impl FnOnce(),
) -> Result<Opened, Unanswered> {
    let record = job.node.pool.borrow().record(ix).clone();
    let most_idle = if job.route.kind.is_retryable() {
        REPEATABLE_IDLE
    } else {
        ONCE_IDLE
    };
    let links = &job.node.links;
    let mut link = links
        .get(&record.upstream_incarnation(), record.addr, most_idle)
        .await
        .map_err(|e| Unanswered::NeverSent(e.to_string()))?;
    link.sender
        .ready()
        .await
        .map_err(|e| Unanswered::NeverSent(e.to_string()))?;
    // The id alone doesn't tell two lives apart, so the upstream can't refuse what is meant for the
    // one before. One that leaves may serve on for long, and refuses nothing either.
    if !job.node.pool.borrow().may_get_requests(job.now(), ix) {
        return Err(Unanswered::NeverSent("it has ended or left".to_owned()));
    }
    record_sending(job, ix)?;
    let sent = job.now();
    let req = request(job, &record.instance, extras);
    on_sent();
    let response = tokio::select! {
        response = link.sender.try_send_request(req) => response.map_err(unanswered)?,
        () = job.node.until_ended(ix) => {
            return Err(Unanswered::Lost("it started again".to_owned()));
        }
    };
    let (parts, body) = response.into_parts();
    let head = read_answer_head(parts.status, &parts.headers, &job.request_id);
    if !head.is_own {
        return Err(Unanswered::Lost("an answer to another request".to_owned()));
    }
    conditions::take(job, ix, sent, parts.status, &head);
    Ok(Opened {
        parts,
        head,
        body,
        link,
    })
}

/// Counts a request to an upstream that may get one.
fn record_sending(job: &Job, ix: UpstreamIx) -> Result<(), Unanswered> {
    let mut pool = job.node.pool.borrow_mut();
    if let Some(why) = pool.withheld(job.now(), ix) {
        return Err(Unanswered::Withheld(why.to_string()));
    }
    pool.record_sending(job.now(), ix);
    Ok(())
}

fn unanswered(mut e: TrySendError<Request<Full<Bytes>>>) -> Unanswered {
    let unsent = e.take_message().is_some();
    let why = e.into_error().to_string();
    if unsent {
        Unanswered::NeverSent(why)
    } else {
        Unanswered::Lost(why)
    }
}

fn request(job: &Job, instance: &str, extras: &Extras) -> Request<Full<Bytes>> {
    let dispatch = Dispatch {
        instance,
        workspace: job.workspace.as_deref(),
        deadline: job.time_left(),
        backup: extras.backup,
        memory: extras.memory.as_ref(),
        last_event_id: extras.last_event_id,
    };
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = upstream_headers(&job.headers, &dispatch);
    req
}

/// Reads the rest of an answer; hands the connection back when it may be used again.
///
/// # Errors
///
/// Why the body isn't whole.
pub async fn read_whole(
    job: &Job,
    ix: UpstreamIx,
    opened: Opened,
) -> Result<(Parts, Bytes), String> {
    let Opened {
        parts,
        head,
        body,
        link,
    } = opened;
    let whole = tokio::select! {
        whole = Limited::new(body, MAX_WHOLE_ANSWER).collect() => whole,
        () = job.node.until_ended(ix) => return Err("it started again".to_owned()),
    };
    let bytes = whole.map_err(|e| e.to_string())?.to_bytes();
    give_back(job, ix, &head, link);
    Ok((parts, bytes))
}

/// Hands a connection back after a whole answer, unless the upstream closes it.
pub fn give_back(job: &Job, ix: UpstreamIx, head: &ResponseHead, link: Link) {
    if head.closes || head.claim != RunClaim::MayHaveRun {
        return;
    }
    let life = job.node.pool.borrow().record(ix).upstream_incarnation();
    job.node.links.put_back(&life, link, head.keep_alive);
}
