//! Admits, runs and answers callers' requests.

use crate::answer::{Answer, close_after, error_answer, relayed_answer, whole_body};
use crate::call::{Reply, obtain};
use crate::generation::relay;
use crate::job::Job;
use crate::node::{Node, Stage};
use crate::startup_wait::until_loaded;
use crate::stopping::{self, record_run_time};
use crate::stream_origins::{self, Continued};
use crate::suspects;
use bytes::Bytes;
use fireflycroft::{
    CALL_BYTES, Catalog, Code, CrashVerdict, Digest, Mechanism, Name, Purpose, RequestHead,
    RouteSpec, STARTUP_RETRY_AFTER, StreamOrigin, Suspect, Time, WorkspaceSpec,
    unconfigured_retry_after,
};
use fireflycroft_platform::read_request_head;
use fireflynet::{Account, CollectError, collect_request};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::http::uri::Authority;
use hyper::{HeaderMap, Request, Uri};
use rand::{Rng, RngExt};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay for what no later attempt gets either: longer than any caller's timeout.
pub(crate) const FINAL_RETRY_AFTER: Duration = Duration::from_hours(1);

/// Longest retry delay where other requests hold the memory: those that no longer arrive have given way by then. It is
/// spread at random, so that callers who were refused together don't return together.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest body of a refused request after which its connection is kept, in bytes; the rest of a larger one would have
/// to be read first.
const KEPT_BODY_BYTES: u64 = 16 << 10;

/// Refusal of a request before anything was sent.
struct Refusal {
    code: Code,
    retry_after: Option<Duration>,
}

const fn refusal(code: Code) -> Refusal {
    Refusal {
        code,
        retry_after: None,
    }
}

const fn refusal_with_retry(code: Code, wait: Duration) -> Refusal {
    Refusal {
        code,
        retry_after: Some(wait),
    }
}

fn refusal_without_memory() -> Refusal {
    let wait = NO_MEMORY_RETRY_AFTER.mul_f64(rand::rng().random_range(0.5..=1.0));
    refusal_with_retry(Code::NoMemory, wait)
}

/// Answers one request.
pub async fn serve(node: Rc<Node>, account: Account, req: Request<Incoming>) -> Answer {
    let arrival = node.now();
    let (parts, body) = req.into_parts();
    let is_body_small = body
        .size_hint()
        .upper()
        .is_some_and(|b| b <= KEPT_BODY_BYTES);
    let head = read_request_head(&parts.headers);
    let request_id = head.request_id.clone().unwrap_or_default();
    let mut answer = match admit(&node, arrival, parts, head, body, account).await {
        Ok(job) => answer_job(Rc::new(job)).await,
        Err(refused) => {
            log::warn!(
                event = "refused", req = &*request_id, code = refused.code.number(),
                version = node.config_version(), stage = format!("{:?}", node.stage());
                ""
            );
            let age = node.now().since(arrival);
            node.metrics.record_answer(None, refused.code, age);
            let mut answer = error_answer(refused.code, refused.retry_after);
            if !is_body_small {
                close_after(&mut answer);
            }
            answer
        }
    };
    if node.stage() != Stage::Serving {
        close_after(&mut answer);
    }
    answer
}

async fn answer_job(job: Rc<Job>) -> Answer {
    let reply = obtain(&job).await;
    let (code, status) = match &reply {
        Reply::Whole(parts, _) => (Code::Ok, parts.status.as_u16()),
        Reply::Stream(stream) => (Code::Ok, stream.response.parts.status.as_u16()),
        Reply::Error(code, _) => (*code, code.status()),
    };
    let kind = Some(job.route.kind);
    job.node.metrics.record_answer(kind, code, job.age());
    // When log lines have to be dropped, failures are kept in preference to successes.
    let level = if code == Code::Ok && status < 500 {
        log::Level::Info
    } else {
        log::Level::Warn
    };
    log::log!(
        level, event = "answered", req = &*job.request_id, route = &*job.route.name,
        service = &*job.service, code = code.number(), status = status,
        version = job.version, age_ms = job.age().as_millis();
        ""
    );
    match reply {
        Reply::Whole(parts, bytes) => {
            if parts.status.is_success() {
                record_run_time(&job, job.sent_at.get());
            }
            relayed_answer(&parts, whole_body(bytes))
        }
        Reply::Stream(stream) => relay(job, *stream),
        Reply::Error(code, retry_after) => error_answer(code, retry_after),
    }
}

/// Checks a request against the active configuration.
async fn admit(
    node: &Rc<Node>,
    arrival: Time,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    account: Account,
) -> Result<Job, Refusal> {
    if node.stage() == Stage::Closing {
        return Err(refusal_with_retry(Code::Leaving, STARTUP_RETRY_AFTER));
    }
    let memory = account.reserve(CALL_BYTES, Purpose::Input);
    let memory = memory.ok_or_else(refusal_without_memory)?;
    until_loaded(node, head.deadline).await;
    let catalog = node.catalog.borrow().clone();
    let catalog = catalog.ok_or_else(|| {
        let age = if node.policy.uses(Mechanism::Outage) {
            arrival.since(Time::default())
        } else {
            Duration::ZERO
        };
        refusal_with_retry(
            Code::NotReady,
            unconfigured_retry_after(age, rand::rng().random()),
        )
    })?;
    let route = find_route(&catalog, &parts).ok_or(refusal(Code::RouteUnknown))?;
    let workspace = check_key(&catalog, &route, &head)?;
    let request_id = head.request_id.clone().ok_or(refusal(Code::BadRequest))?;
    let parts_alone: Vec<Suspect> = head
        .shared_parts
        .iter()
        .copied()
        .map(Suspect::Part)
        .collect();
    let tries_part_again = check_suspects(node, &request_id, &parts_alone)?;
    let origin = find_origin(node, &route, &parts, &head).await?;
    let service = stream_origins::target(&route, origin.as_ref(), rand::rng().next_u32());
    let service = service.ok_or_else(|| {
        let retry_after = if origin.is_some() {
            FINAL_RETRY_AFTER
        } else {
            STARTUP_RETRY_AFTER
        };
        refusal_with_retry(Code::NoUpstream, retry_after)
    })?;
    let timeout = head
        .deadline
        .map_or(route.timeout, |d| d.min(route.timeout));
    let deadline = arrival + timeout;
    let limit = catalog.limits().body_bytes;
    let body = read_request_body(node, body, limit, &account, deadline);
    let body = tokio::select! {
        biased;
        body = body => body?,
        () = stopping::until_too_late(node, &route) => {
            return Err(refusal_with_retry(Code::Leaving, STARTUP_RETRY_AFTER));
        }
    };
    let content = digest(&parts, &head, &body);
    let content_alone = [Suspect::of_content(content)];
    let tries_content_again = check_suspects(node, &request_id, &content_alone)?;
    let suspects = Suspect::of_request(&head.shared_parts, content);
    node.retry_budget
        .borrow_mut()
        .record_request(node.now(), &service);
    let engine = catalog.service(&service).and_then(|s| s.engine);
    let workspace_homes = workspace.map_or(&[][..], |w| &w.allowed_regions);
    let homes = node
        .pool
        .borrow()
        .homes(&route.allowed_regions, workspace_homes);
    let workspace_rank = workspace.and_then(|w| w.rank);
    let mut job = Job {
        node: node.clone(),
        value_density: 0.0,
        version: catalog.version(),
        engine,
        homes,
        workspace: workspace.map(|w| w.name.clone()),
        rank: workspace_rank.unwrap_or(route.rank),
        deadline,
        route,
        service,
        head,
        origin,
        request_id,
        method: parts.method,
        uri: origin_form(&parts.uri),
        account,
        memory,
        headers: parts.headers,
        body,
        content,
        suspects,
        attempted: RefCell::default(),
        stop_orders: Rc::default(),
        is_in_parts: Cell::new(false),
        crashed_under: RefCell::default(),
        crashed_beginnings: Cell::new(0),
        tries_suspect_again: Cell::new(tries_part_again || tries_content_again),
        sent_at: Cell::new(arrival),
        arrival,
    };
    job.value_density = value_density(&job);
    Ok(job)
}

/// Refuses a request whose suspects crash upstreams; returns whether it tries a refused one again.
fn check_suspects(node: &Node, request_id: &str, suspects: &[Suspect]) -> Result<bool, Refusal> {
    match suspects::verdict(node, suspects) {
        None => Ok(false),
        Some(CrashVerdict::Refused(refused) | CrashVerdict::Doubted { refused, .. })
            if suspects::may_try_again(node, request_id, suspects, &refused) =>
        {
            Ok(true)
        }
        Some(verdict) => {
            suspects::log_refusal(request_id, &verdict);
            let retry_after = suspects::retry_after(&verdict);
            Err(refusal_with_retry(suspects::code(&verdict), retry_after))
        }
    }
}

/// Finds out where the stream began that a request continues; none if it continues no stream.
async fn find_origin(
    node: &Node,
    route: &RouteSpec,
    parts: &Parts,
    head: &RequestHead,
) -> Result<Option<StreamOrigin>, Refusal> {
    match stream_origins::find(node, route, parts.uri.path(), head).await {
        Continued::Nothing => Ok(None),
        Continued::Stream(origin) => Ok(Some(origin)),
        Continued::Unknown { may_be_found } => {
            let retry_after = if may_be_found {
                STARTUP_RETRY_AFTER
            } else {
                FINAL_RETRY_AFTER
            };
            Err(refusal_with_retry(Code::OriginUnknown, retry_after))
        }
    }
}

/// Returns the value density of a generation; zero for a plain call.
fn value_density(job: &Job) -> f64 {
    let Some(size) = &job.head.size else {
        return 0.0;
    };
    if !job.node.policy.uses(Mechanism::ValueDensities) {
        return 0.0;
    }
    let prompt = u64::from(size.prompt_tokens);
    let mut densities = job.node.value_densities.borrow_mut();
    densities.record(&job.route.name, prompt, job.expected_tokens())
}

fn find_route(catalog: &Catalog, parts: &Parts) -> Option<Arc<RouteSpec>> {
    let authority = parts.uri.authority().map(Authority::as_str);
    route_of(catalog, authority, &parts.headers, parts.uri.path())
}

fn route_of(
    catalog: &Catalog,
    authority: Option<&str>,
    headers: &HeaderMap,
    path: &str,
) -> Option<Arc<RouteSpec>> {
    let header = headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = authority.or(header)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    catalog.route(name, path).cloned()
}

/// Returns whether the active configuration still sends an admitted request to its service.
///
/// A held request may outlast the configuration that admitted it.
#[must_use]
pub fn is_still_allowed(job: &Job) -> bool {
    let catalog = job.node.catalog.borrow().clone();
    let Some(catalog) = catalog.filter(|c| c.version() != job.version) else {
        return true;
    };
    let Some(route) = route_of(&catalog, None, &job.headers, job.uri.path()) else {
        return false;
    };
    let allows = route.targets.iter().any(|t| t.service == job.service);
    allows && check_key(&catalog, &route, &job.head).is_ok()
}

fn check_key<'a>(
    catalog: &'a Catalog,
    route: &RouteSpec,
    head: &RequestHead,
) -> Result<Option<&'a WorkspaceSpec>, Refusal> {
    let workspace = head.key.as_ref().and_then(|key| catalog.workspace(key));
    if workspace.is_none() && catalog.requires_keys() && !route.open {
        return Err(refusal(Code::KeyRefused));
    }
    Ok(workspace)
}

/// Reads the body until the request's deadline, after which no answer would be of use.
async fn read_request_body(
    node: &Node,
    body: Incoming,
    limit: usize,
    account: &Account,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let collected = collect_request(body, limit, account);
    match tokio::time::timeout_at(node.clock.instant(deadline), collected).await {
        Ok(Ok(body)) => Ok(body.into_bytes()),
        Ok(Err(CollectError::TooLarge)) => Err(refusal(Code::BodyTooLarge)),
        Ok(Err(CollectError::NoRoom)) => Err(refusal_without_memory()),
        Ok(Err(CollectError::Broken(_))) => Err(refusal(Code::BadRequest)),
        Err(_) => Err(refusal(Code::BodyTimeout)),
    }
}

/// Returns the digest that identifies a repeated request independently of its id.
fn digest(parts: &Parts, head: &RequestHead, body: &Bytes) -> Digest {
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    let key: Name = head.key.clone().unwrap_or_default();
    Digest::of(&[path.as_bytes(), key.as_bytes(), body])
}

/// Returns the URI's path and query.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
