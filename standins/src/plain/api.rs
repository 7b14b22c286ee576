//! HTTP endpoints of the plain service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Path};
use poem::{EndpointExt, IntoEndpoint, Response, Route, get, handler, post};
use serde::Serialize;
use tokio::time::sleep;

use super::{CrashPoint, State};
use crate::{hash, reply};

/// Header of the request id shared by all systems.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header of the key shared by all attempts of one request.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Start of a directive with the caller's tag in a body.
const MARK_DIRECTIVE: &str = "[[mark=";

/// A record with content derived from its id.
#[derive(Serialize)]
struct Record {
    id: String,
    title: String,
    pages: u64,
}

/// The response to a completed call.
#[derive(Serialize)]
struct Receipt {
    number: u64,
    echo: String,
}

/// Number of completed calls by path.
#[derive(Serialize)]
struct Counts {
    filed: u64,
    graded: u64,
    read: u64,
}

/// An event in the run log.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum RunEvent<'a> {
    /// A call took effect.
    Ran {
        path: &'a str,
        number: u64,
        request_id: Option<&'a str>,
        idempotency_key: Option<&'a str>,
        digest: String,
        mark: Option<&'a str>,
    },
    /// The crash text stopped the service.
    Crashed { path: &'a str },
}

/// A call with the fields for the run log.
struct Call {
    path: String,
    body: String,
    request_id: Option<String>,
    idempotency_key: Option<String>,
}

/// Returns the routes of the plain service.
pub(super) fn endpoint(state: Arc<State>) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/records/:id", get(record))
        .at("/file", post(file))
        .at("/grade", post(grade))
        .at("/health", get(health))
        .at("/standin/calls", get(counts))
        .data(state)
}

#[handler]
async fn record(
    Data(state): Data<&Arc<State>>,
    Path(id): Path<String>,
    headers: &HeaderMap,
) -> Response {
    let call = Call::new(format!("/records/{id}"), String::new(), headers);
    let number = run(state, call, |state| &state.read).await;
    match number {
        Some(_) => reply::ok(&Record {
            title: format!("Record {id}"),
            pages: 1 + hash::fnv(id.as_bytes()) % 40,
            id,
        }),
        None => crashed_response(),
    }
}

#[handler]
async fn file(Data(state): Data<&Arc<State>>, headers: &HeaderMap, body: String) -> Response {
    run_post(state, "/file", headers, body, |state| &state.filed).await
}

#[handler]
async fn grade(Data(state): Data<&Arc<State>>, headers: &HeaderMap, body: String) -> Response {
    run_post(state, "/grade", headers, body, |state| &state.graded).await
}

#[handler]
fn health() -> Response {
    reply::ok(&"ok")
}

#[handler]
fn counts(Data(state): Data<&Arc<State>>) -> Response {
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    reply::ok(&Counts {
        filed: load(&state.filed),
        graded: load(&state.graded),
        read: load(&state.read),
    })
}

async fn run_post(
    state: &Arc<State>,
    path: &str,
    headers: &HeaderMap,
    body: String,
    counter: fn(&State) -> &AtomicU64,
) -> Response {
    let call = Call::new(path.to_owned(), body.clone(), headers);
    match run(state, call, counter).await {
        Some(number) => reply::ok(&Receipt { number, echo: body }),
        None => crashed_response(),
    }
}

/// Returns the response of a crashing service, whose connection is cut.
fn crashed_response() -> Response {
    reply::failure(StatusCode::INTERNAL_SERVER_ERROR, "crashed")
}

/// Runs a call to completion, even if the caller disconnects.
async fn run(state: &Arc<State>, call: Call, counter: fn(&State) -> &AtomicU64) -> Option<u64> {
    let state = Arc::clone(state);
    let task = tokio::spawn(async move { execute(&state, &call, counter).await });
    task.await.ok().flatten()
}

async fn execute(state: &State, call: &Call, counter: fn(&State) -> &AtomicU64) -> Option<u64> {
    sleep(state.cfg.delay).await;
    let crash_on = state.cfg.crash_on.as_deref();
    let crashes = crash_on.is_some_and(|text| call.body.contains(text));
    if crashes && state.cfg.crash_point == CrashPoint::Before {
        return crash(state, call).await;
    }
    let number = counter(state).fetch_add(1, Ordering::Relaxed) + 1;
    call.log_run(state, number);
    if crashes {
        return crash(state, call).await;
    }
    Some(number)
}

/// Crashes the service without a response to the call.
async fn crash(state: &State, call: &Call) -> Option<u64> {
    state
        .cfg
        .run_log
        .append(&RunEvent::Crashed { path: &call.path });
    if state.cfg.crash_aborts {
        std::process::abort();
    }
    state.stop.stop();
    std::future::pending().await
}

impl Call {
    fn new(path: String, body: String, headers: &HeaderMap) -> Self {
        let text = |name| {
            let value = headers.get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Self {
            path,
            body,
            request_id: text(REQUEST_ID_HEADER),
            idempotency_key: text(IDEMPOTENCY_KEY_HEADER),
        }
    }

    fn log_run(&self, state: &State, number: u64) {
        state.cfg.run_log.append(&RunEvent::Ran {
            path: &self.path,
            number,
            request_id: self.request_id.as_deref(),
            idempotency_key: self.idempotency_key.as_deref(),
            digest: format!("{:016x}", hash::fnv(self.body.as_bytes())),
            mark: mark(&self.body),
        });
    }
}

/// Returns the caller's tag in a body.
fn mark(body: &str) -> Option<&str> {
    let (_, rest) = body.split_once(MARK_DIRECTIVE)?;
    rest.split_once("]]").map(|(mark, _)| mark)
}
