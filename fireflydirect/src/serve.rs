//! One request of a caller: checked, sent on, answered.

use crate::answer::{Answer, close_after, own, relayed, whole};
use crate::beginning::until_begun;
use crate::call::{Reply, obtain};
use crate::crash;
use crate::generation::relay;
use crate::job::Job;
use crate::node::{Node, Stage};
use bytes::Bytes;
use fireflycroft::{
    Catalog, Code, Digest, Mechanism, Name, RequestHead, RouteSpec, STARTUP_RETRY_AFTER, Time,
    WorkspaceSpec, unconfigured_retry_after,
};
use fireflycroft_platform::read_ask;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::http::uri::Authority;
use hyper::{Request, Uri};
use rand::{Rng, RngExt};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// When to come back with a request that crashes upstreams: not within any caller's patience.
const QUARANTINE_RETRY: Duration = Duration::from_hours(1);

/// A refusal before anything was sent.
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

const fn come_back(code: Code, wait: Duration) -> Refusal {
    Refusal {
        code,
        retry_after: Some(wait),
    }
}

/// Answers one request.
pub async fn serve(node: Rc<Node>, req: Request<Incoming>) -> Answer {
    let arrival = node.now();
    let (parts, body) = req.into_parts();
    let ask = read_ask(&parts.headers);
    let request_id = ask.request_id.clone().unwrap_or_default();
    let mut answer = match admit(&node, arrival, parts, ask, body).await {
        Ok(job) => run(Rc::new(job)).await,
        Err(refused) => {
            log::warn!(
                event = "refused", req = &*request_id, code = refused.code.number(),
                version = node.version(), stage = format!("{:?}", node.stage());
                ""
            );
            let age = node.now().since(arrival);
            node.metrics.note_answer(None, refused.code, age);
            own(refused.code, refused.retry_after)
        }
    };
    if node.stage() != Stage::Serving {
        close_after(&mut answer);
    }
    answer
}

async fn run(job: Rc<Job>) -> Answer {
    let reply = obtain(&job).await;
    let (code, status) = match &reply {
        Reply::Whole(parts, _) => (Code::Ok, parts.status.as_u16()),
        Reply::Stream(begun) => (Code::Ok, begun.opened.parts.status.as_u16()),
        Reply::Own(code, _) => (*code, code.status()),
    };
    let repeat = Some(job.route.kind);
    job.node.metrics.note_answer(repeat, code, job.age());
    // What failed is kept before what was served when lines have to be dropped.
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
        Reply::Whole(parts, bytes) => relayed(&parts, whole(bytes)),
        Reply::Stream(begun) => relay(job, *begun),
        Reply::Own(code, retry_after) => own(code, retry_after),
    }
}

/// Checks a request by the configuration in force.
async fn admit(
    node: &Rc<Node>,
    arrival: Time,
    parts: Parts,
    ask: RequestHead,
    body: Incoming,
) -> Result<Job, Refusal> {
    if node.stage() == Stage::Closing {
        return Err(come_back(Code::Leaving, STARTUP_RETRY_AFTER));
    }
    until_begun(node, ask.deadline).await;
    let catalog = node.catalog.borrow().clone();
    let catalog = catalog.ok_or_else(|| {
        let age = if node.policy.uses(Mechanism::Outage) {
            arrival.since(Time::default())
        } else {
            Duration::ZERO
        };
        come_back(
            Code::NotReady,
            unconfigured_retry_after(age, rand::rng().random()),
        )
    })?;
    let route = find_route(&catalog, &parts).ok_or(refusal(Code::RouteUnknown))?;
    let workspace = check_key(&catalog, &route, &ask)?;
    let request_id = ask.request_id.clone().ok_or(refusal(Code::BadRequest))?;
    let service = route.target(rand::rng().next_u32()).cloned();
    let service = service.ok_or(come_back(Code::NoUpstream, STARTUP_RETRY_AFTER))?;
    let body = read_body(&catalog, body).await?;
    let content = digest(&parts, &ask, &body);
    if crash::is_refused(node, content) {
        return Err(come_back(Code::Overloaded, QUARANTINE_RETRY));
    }
    node.budget
        .borrow_mut()
        .record_request(node.now(), &service);
    let engine = catalog.service(&service).and_then(|s| s.engine);
    let workspace_homes = workspace.map_or(&[][..], |w| &w.allowed_regions);
    let homes = node
        .pool
        .borrow()
        .homes(&route.allowed_regions, workspace_homes);
    let workspace_rank = workspace.and_then(|w| w.rank);
    let patience = ask.deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let mut job = Job {
        node: node.clone(),
        yields: 0.0,
        version: catalog.version(),
        engine,
        homes,
        workspace: workspace.map(|w| w.name.clone()),
        rank: workspace_rank.unwrap_or(route.rank),
        give_up_at: arrival + patience,
        route,
        service,
        ask,
        request_id,
        method: parts.method,
        uri: origin_form(&parts.uri),
        headers: parts.headers,
        body,
        content,
        arrival,
    };
    job.yields = yields(&job);
    Ok(job)
}

/// What a generation brings for the memory that it holds; nothing is said of a plain call.
fn yields(job: &Job) -> f64 {
    let Some(size) = &job.ask.size else {
        return 0.0;
    };
    if !job.node.policy.uses(Mechanism::ValueDensities) {
        return 0.0;
    }
    let prompt = u64::from(size.prompt_tokens);
    let mut yields = job.node.yields.borrow_mut();
    yields.record(&job.route.name, prompt, job.expected_tokens())
}

fn find_route(catalog: &Catalog, parts: &Parts) -> Option<Arc<RouteSpec>> {
    let header = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = parts.uri.authority().map(Authority::as_str).or(header)?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    catalog.route(name, parts.uri.path()).cloned()
}

fn check_key<'a>(
    catalog: &'a Catalog,
    route: &RouteSpec,
    ask: &RequestHead,
) -> Result<Option<&'a WorkspaceSpec>, Refusal> {
    let workspace = ask.key.as_ref().and_then(|key| catalog.workspace(key));
    if workspace.is_none() && catalog.requires_keys() && !route.open {
        return Err(refusal(Code::KeyRefused));
    }
    Ok(workspace)
}

async fn read_body(catalog: &Catalog, body: Incoming) -> Result<Bytes, Refusal> {
    let limit = catalog.limits().body_bytes;
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(refusal(Code::BodyTooLarge)),
        Err(_) => Err(refusal(Code::BadRequest)),
    }
}

/// Digest by which a request that comes again is known, whatever its id.
fn digest(parts: &Parts, ask: &RequestHead, body: &Bytes) -> Digest {
    let path = parts.uri.path_and_query().map_or("", |p| p.as_str());
    let key: Name = ask.key.clone().unwrap_or_default();
    Digest::of(&[path.as_bytes(), key.as_bytes(), body])
}

/// Path and query alone.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(Uri::default, Uri::from)
}
