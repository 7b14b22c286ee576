//! HTTP handlers of the stand-in platform.

use std::sync::Arc;
use std::time::Duration;

use poem::http::{HeaderMap, StatusCode, header};
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt, IntoEndpoint, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::Instant;

use super::VmList;
use super::calls::CallKind;
use super::faults::FaultPatch;
use super::state::State;
use super::store::{Change, Condition, Key, Object};
use crate::reply;
use crate::sync::lock;

/// Maximum size of an object's JSON value.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Objects per page when the request has no `limit`.
const DEFAULT_PAGE_OBJECTS: usize = 100;

/// Watch timeout when the request has no `timeout_ms`.
const DEFAULT_WATCH_MS: u64 = 30_000;

/// Response body of a write.
#[derive(Serialize)]
struct VersionReply {
    version: u64,
}

/// Query parameters of a list request.
#[derive(Deserialize)]
struct PageQuery {
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

/// One page of objects.
#[derive(Serialize)]
struct ObjectPage {
    revision: u64,
    objects: Vec<Object>,
}

/// Query parameters of a watch: start revision and timeout.
#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    since: u64,
    timeout_ms: Option<u64>,
}

/// Response body of a watch.
#[derive(Serialize)]
struct Changes {
    revision: u64,
    changes: Vec<Change>,
}

/// Returns the routes of the platform.
pub(super) fn endpoint(state: Arc<State>) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/v1/objects/:kind", get(list))
        .at(
            "/v1/objects/:kind/*name",
            get(read).put(write).delete(remove),
        )
        .at("/v1/watch/:kind", get(watch))
        .at("/v1/vms", get(vms))
        .at("/standin/calls", get(calls))
        .at("/standin/vms", post(replace_vms))
        .at("/standin/faults", post(faults))
        .data(state)
}

#[handler]
async fn read(
    Data(state): Data<&Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    if let Err(refusal) = state.admit(CallKind::Read).await {
        return refusal;
    }
    let at = state.read_instant();
    match lock(&state.store).get(&Key::new(kind, name), at) {
        Some(object) => reply::ok(&object),
        None => reply::failure(StatusCode::NOT_FOUND, "no such object"),
    }
}

#[handler]
async fn list(
    Data(state): Data<&Arc<State>>,
    Path(kind): Path<String>,
    page: Query<PageQuery>,
) -> Response {
    if let Err(refusal) = state.admit(CallKind::Read).await {
        return refusal;
    }
    let at = state.read_instant();
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_OBJECTS);
    let store = lock(&state.store);
    reply::ok(&ObjectPage {
        revision: store.revision(),
        objects: store.list(&kind, &page.after, limit, at),
    })
}

#[handler]
async fn write(
    Data(state): Data<&Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    headers: &HeaderMap,
    body: Body,
) -> Response {
    let Ok(bytes) = body.into_bytes_limit(MAX_VALUE_BYTES).await else {
        return reply::failure(StatusCode::PAYLOAD_TOO_LARGE, "value too large");
    };
    match serde_json::from_slice(&bytes) {
        Ok(value) => apply(state, Key::new(kind, name), Some(value), headers).await,
        Err(err) => reply::failure(StatusCode::BAD_REQUEST, &err.to_string()),
    }
}

#[handler]
async fn remove(
    Data(state): Data<&Arc<State>>,
    Path((kind, name)): Path<(String, String)>,
    headers: &HeaderMap,
) -> Response {
    apply(state, Key::new(kind, name), None, headers).await
}

/// Runs a write to completion, even if the caller disconnects.
async fn apply(
    state: &Arc<State>,
    key: Key,
    value: Option<Value>,
    headers: &HeaderMap,
) -> Response {
    let Some(condition) = condition(headers) else {
        return reply::failure(StatusCode::BAD_REQUEST, "wrong condition");
    };
    let state = Arc::clone(state);
    let task = tokio::spawn(async move { apply_write(&state, &key, value, condition).await });
    task.await
        .unwrap_or_else(|err| reply::failure(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()))
}

async fn apply_write(
    state: &State,
    key: &Key,
    value: Option<Value>,
    condition: Condition,
) -> Response {
    if let Err(refusal) = state.admit(CallKind::Write).await {
        return refusal;
    }
    match state.write(key, value, condition) {
        Ok(written) if written.answer_lost => {
            reply::failure(StatusCode::GATEWAY_TIMEOUT, "answer lost")
        }
        Ok(written) => reply::ok(&VersionReply {
            version: written.version,
        }),
        Err(conflict) => reply::json(
            StatusCode::CONFLICT,
            &VersionReply {
                version: conflict.version,
            },
        ),
    }
}

/// Parses the condition headers; returns `None` if they are invalid.
fn condition(headers: &HeaderMap) -> Option<Condition> {
    let text = |name| headers.get(name).map(|value| value.to_str().unwrap_or(""));
    match (text(header::IF_NONE_MATCH), text(header::IF_MATCH)) {
        (None, None) => Some(Condition::Always),
        (Some("*"), None) => Some(Condition::Absent),
        (None, Some(version)) => {
            let digits = version.trim_matches('"');
            digits.parse().ok().map(Condition::Version)
        }
        _ => None,
    }
}

#[handler]
async fn watch(
    Data(state): Data<&Arc<State>>,
    Path(kind): Path<String>,
    query: Query<WatchQuery>,
) -> Response {
    let _guard = state.calls.start_watch();
    if let Err(refusal) = state.admit(CallKind::Watch).await {
        return refusal;
    }
    let timeout = Duration::from_millis(query.timeout_ms.unwrap_or(DEFAULT_WATCH_MS));
    let wait = await_changes(state, &kind, query.since);
    let changes = tokio::time::timeout(timeout, wait).await;
    let revision = lock(&state.store).revision();
    tokio::time::sleep(state.faults().watch_lag).await;
    if state.faults().outage {
        return reply::failure(StatusCode::SERVICE_UNAVAILABLE, "outage");
    }
    reply::ok(&changes.unwrap_or_else(|_| Changes {
        revision,
        changes: Vec::new(),
    }))
}

/// Waits until an object of `kind` has changed after revision `since`.
async fn await_changes(state: &State, kind: &str, since: u64) -> Changes {
    let mut revisions = state.subscribe();
    loop {
        revisions.mark_unchanged();
        if let Some(changes) = current_changes(state, kind, since) {
            return changes;
        }
        if revisions.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn current_changes(state: &State, kind: &str, since: u64) -> Option<Changes> {
    let store = lock(&state.store);
    let changes = store.changes_since(kind, since);
    (!changes.is_empty()).then(|| Changes {
        revision: store.revision(),
        changes,
    })
}

#[handler]
async fn vms(Data(state): Data<&Arc<State>>) -> Response {
    if let Err(refusal) = state.admit(CallKind::Read).await {
        return refusal;
    }
    let lag = state.faults().vm_lag;
    reply::ok(&*lock(&state.vms).lagging(lag, Instant::now()))
}

#[handler]
fn calls(Data(state): Data<&Arc<State>>) -> Response {
    reply::ok(&state.calls.counts())
}

#[handler]
fn replace_vms(Data(state): Data<&Arc<State>>, Json(body): Json<VmList>) -> Response {
    lock(&state.vms).replace(body, Instant::now());
    reply::ok(&Value::Null)
}

#[handler]
fn faults(Data(state): Data<&Arc<State>>, Json(patch): Json<FaultPatch>) -> Response {
    state.patch_faults(&patch);
    reply::ok(&Value::Null)
}
