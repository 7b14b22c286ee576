//! Origins of resumable streams: reported to owners, and looked up when a caller takes a stream up.
//!
//! See [`fireflycroft::StreamOrigins`] for what is known by whom.

use crate::job::Job;
use crate::log_value::or_empty;
use crate::node::Node;
use crate::owner_queries;
use fireflycroft::{
    Digest, FULL_VIEW_AFTER, MAX_STREAM_AGE, Name, OwnerQueryBody, RequestHead, RequestKind,
    RouteSpec, StreamOrigin, StreamStart, Time, UpstreamIx, has_sole_timeout, stream_digest,
};
use std::rc::Rc;
use std::time::Duration;

/// Time for which a stream may be taken up, as a multiple of its route's timeout: the first attempt may last
/// that long, and the caller returns within the rest of its own time.
const KEEP_TIMEOUTS: u32 = 2;

/// Shortest time for which a stream may be taken up: a refused caller waits before it returns.
const MIN_KEEP: Duration = Duration::from_secs(30);

/// Stream that this entry relays, recorded as its own until dropped.
pub struct OriginGuard {
    node: Rc<Node>,
    stream: Digest,
}

impl Drop for OriginGuard {
    fn drop(&mut self) {
        self.node.stream_origins.borrow_mut().end(self.stream);
    }
}

/// What a request continues.
#[derive(Debug, PartialEq, Eq)]
pub enum Continued {
    /// Nothing: it begins a stream, or is a plain call.
    Nothing,
    /// A stream that began there.
    Stream(StreamOrigin),
    /// A stream whose origin isn't known.
    Unknown {
        /// Whether another attempt may find it out.
        may_be_found: bool,
    },
}

/// Records the origin of a resumable stream whose response head has arrived, and reports it to its owners.
#[must_use]
pub fn record_start(job: &Job, at: UpstreamIx) -> Option<OriginGuard> {
    if job.route.kind != RequestKind::ResumableStream {
        return None;
    }
    let node = &job.node;
    let record = node.pool.borrow().record(at).clone();
    let start = StreamStart {
        stream: stream_digest(job.head.resumes.as_ref().unwrap_or(&job.request_id)),
        origin: StreamOrigin {
            service: record.service,
            software_version: record.software_version?,
        },
        keep_for: (job.route.timeout * KEEP_TIMEOUTS).max(MIN_KEEP),
    };
    let stream = start.stream;
    node.stream_origins
        .borrow_mut()
        .begin(node.now(), start.clone());
    node.unreported_starts.borrow_mut().push(start);
    node.report_due.notify_one();
    Some(OriginGuard {
        node: node.clone(),
        stream,
    })
}

/// Outcome of the search for a stream's origin.
struct SearchResult {
    origin: Option<StreamOrigin>,
    /// Who knew it, for log and metrics.
    source: &'static str,
    /// Whether another attempt may find it out.
    may_be_found: bool,
}

impl SearchResult {
    fn by(source: &'static str, origin: StreamOrigin) -> Self {
        Self {
            origin: Some(origin),
            source,
            may_be_found: true,
        }
    }
}

/// Finds out which stream a request continues, and where that began.
pub async fn find(node: &Node, route: &RouteSpec, path: &str, head: &RequestHead) -> Continued {
    let holds_events = head.last_event_id.is_some_and(|last| last > 0);
    if !route.kind.is_stream() || !(holds_events || head.resumes.is_some()) {
        return Continued::Nothing;
    }
    let found = search(node, route, path, head.resumes.as_deref()).await;
    let origin = found.origin.as_ref();
    log::info!(
        event = "stream_taken_up", req = or_empty(head.request_id.as_ref()),
        resumes = or_empty(head.resumes.as_ref()), after = or_empty(head.last_event_id),
        service = or_empty(origin.map(|o| &o.service)),
        software_version = or_empty(origin.map(|o| &o.software_version)),
        source = found.source, may_be_found = found.may_be_found;
        ""
    );
    let taken_up = &node.metrics.taken_up;
    taken_up.with_label_values(&[found.source]).inc();
    let may_be_found = found.may_be_found;
    found
        .origin
        .map_or(Continued::Unknown { may_be_found }, Continued::Stream)
}

/// Searches for the origin of a stream, by the attempt that brought its first event if the caller names it.
async fn search(
    node: &Node,
    route: &RouteSpec,
    path: &str,
    first_attempt: Option<&str>,
) -> SearchResult {
    let mut may_be_found = false;
    if let Some(stream) = first_attempt.map(stream_digest) {
        if let Some(origin) = known_origin(node, stream) {
            return SearchResult::by("own", origin);
        }
        let all_replied = query_owners(node, stream).await;
        if let Some(origin) = known_origin(node, stream) {
            return SearchResult::by("owner", origin);
        }
        let knows_all_owners = node.now().since(Time::default()) >= FULL_VIEW_AFTER;
        may_be_found = !all_replied || !knows_all_owners;
    }
    let sole = sole_origin(node, route, path);
    let is_fresh = node.is_list_fresh();
    // A list that is behind soon isn't any more.
    may_be_found |= sole.is_some() && !is_fresh;
    match sole.filter(|_| is_fresh) {
        Some(origin) => SearchResult::by("sole version", origin),
        None => SearchResult {
            origin: None,
            source: "unknown",
            may_be_found,
        },
    }
}

fn known_origin(node: &Node, stream: Digest) -> Option<StreamOrigin> {
    let origins = node.stream_origins.borrow();
    origins.origin(node.now(), stream).cloned()
}

/// Queries the owners of a stream for its origin; returns whether all replied.
async fn query_owners(node: &Node, stream: Digest) -> bool {
    let owners = node.peers.borrow().stream_owners_to_ask(node.now(), stream);
    let queries = owners
        .into_iter()
        .map(|owner| (owner, OwnerQueryBody::Stream(stream)));
    owner_queries::query_owners(node, queries).await
}

/// Returns the origin that all streams on a path have: it has led to one service, and that has had one version, for
/// longer than any of them can last, as far as this entry's list shows.
fn sole_origin(node: &Node, route: &RouteSpec, path: &str) -> Option<StreamOrigin> {
    let [target] = &route.targets[..] else {
        return None;
    };
    let (now, listed_since) = (node.now(), node.listed_since.get()?);
    let route_changes = node.route_changes.borrow();
    let since = listed_since.max(route_changes.unchanged_since(&route.host, path));
    if !has_sole_timeout(route) || now.since(since) < MAX_STREAM_AGE {
        return None;
    }
    let pool = node.pool.borrow();
    Some(StreamOrigin {
        service: target.service.clone(),
        software_version: pool.sole_version(now, &target.service)?,
    })
}

/// Returns the service that a request goes to: the one that began its stream, if its route still allows it.
#[must_use]
pub fn target(route: &RouteSpec, origin: Option<&StreamOrigin>, draw: u32) -> Option<Name> {
    let Some(origin) = origin else {
        return route.target(draw).cloned();
    };
    let mut targets = route.targets.iter();
    let target = targets.find(|t| t.service == origin.service);
    target.map(|t| t.service.clone())
}

/// Returns the streams to report again to their owners.
#[must_use]
pub fn due(node: &Node) -> Vec<StreamStart> {
    node.stream_origins.borrow_mut().due(node.now())
}

/// Applies reported origins.
pub fn apply(node: &Node, now: Time, starts: impl IntoIterator<Item = StreamStart>) {
    let mut origins = node.stream_origins.borrow_mut();
    for start in starts {
        origins.apply(now, start);
    }
}
