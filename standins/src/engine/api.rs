//! HTTP endpoints of the engine.

use std::sync::Arc;
use std::time::Duration;

use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoEndpoint, Request, Response, Route, get, handler, post};
use serde::Deserialize;
use tokio::time::{sleep, sleep_until};

use super::core::{Submission, SubmitError};
use super::orders::FencedOrder;
use super::prompt::Prompt;
use super::sse;
use super::state::{FaultPatch, State};
use super::stream::Reader;
use super::stream_faults::CancelOutcome;
use crate::reply;
use crate::sync::lock;

/// Prefix of the stand-in's control paths, which a frozen engine serves too.
const CONTROL_PATH_PREFIX: &str = "/standin/";

/// Header of the request id shared by all systems.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Default token limit of a request.
const DEFAULT_MAX_TOKENS: u64 = 16_384;

/// Default timeout of an events query, in milliseconds.
const DEFAULT_EVENTS_TIMEOUT_MS: u64 = 10_000;

/// Delay of a cancellation that is carried out late.
const LATE_CANCEL_DELAY: Duration = Duration::from_millis(500);

/// Body of a generation request.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: Arc<str>,
    messages: Vec<ChatMessage>,
    #[serde(default = "default_max_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
    stream_id: Option<Arc<str>>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

/// Query of a resumption, with the index of its first token.
#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u64,
}

/// Query for the events after `since`, with an optional timeout.
#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    since: u64,
    timeout_ms: Option<u64>,
}

/// Returns the routes of the engine.
pub(super) fn endpoint(state: Arc<State>) -> impl IntoEndpoint<Endpoint: 'static> {
    let frozen_state = Arc::clone(&state);
    Route::new()
        .at("/v1/chat/completions", post(chat))
        .at("/v1/streams/:id", get(resume))
        .at("/v1/streams/:id/cancel", post(cancel))
        .at("/v1/events", get(events))
        .at("/v1/load", get(load))
        .at("/v1/models", get(models))
        .at("/v1/orders", post(order))
        .at("/health", get(health))
        .at("/standin/faults", post(faults))
        .data(state)
        .before(move |req| wait_while_frozen(Arc::clone(&frozen_state), req))
}

/// Delays a call until the engine is no longer frozen.
async fn wait_while_frozen(state: Arc<State>, req: Request) -> poem::Result<Request> {
    if !req.uri().path().starts_with(CONTROL_PATH_PREFIX) {
        sleep_until(state.frozen_until()).await;
    }
    Ok(req)
}

#[handler]
async fn chat(
    Data(state): Data<&Arc<State>>,
    headers: &HeaderMap,
    Json(req): Json<ChatRequest>,
) -> Response {
    let stream = req.stream;
    match state.submit(submission(req, headers)) {
        Ok(reader) if stream => stream_response(state, reader, 0),
        Ok(reader) => sse::completion_response(reader).await,
        Err(err) => refusal_response(err),
    }
}

fn submission(req: ChatRequest, headers: &HeaderMap) -> Submission {
    let request_id = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|id| id.to_str().ok());
    Submission {
        prompt: Prompt::parse(req.messages.iter().map(|message| &*message.content)),
        model: req.model,
        max_tokens: req.max_tokens.max(1),
        priority: req.priority,
        stream_id: req.stream_id,
        request_id: request_id.map(Arc::from),
    }
}

fn refusal_response(err: SubmitError) -> Response {
    match err {
        SubmitError::UnknownModel => reply::failure(StatusCode::NOT_FOUND, "model not loaded"),
        SubmitError::PromptTooLong => reply::failure(StatusCode::BAD_REQUEST, "prompt too long"),
        SubmitError::StreamIdTaken => reply::failure(StatusCode::CONFLICT, "stream id in use"),
    }
}

#[handler]
fn resume(
    Data(state): Data<&Arc<State>>,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    match state.stream(&id) {
        Some(stream) => stream_response(state, stream.attach(), query.from),
        None => reply::failure(StatusCode::NOT_FOUND, "no such stream"),
    }
}

fn stream_response(state: &State, reader: Reader, from: u64) -> Response {
    let version = state.software_version();
    sse::stream_response(reader, from, &version, state.stream_faults())
}

#[handler]
async fn cancel(Data(state): Data<&Arc<State>>, Path(id): Path<String>) -> Response {
    let outcome = lock(&state.stream_faults()).cancel;
    let no_such_stream = || reply::failure(StatusCode::NOT_FOUND, "no such stream");
    let Some(stream) = state.stream(&id) else {
        return no_such_stream();
    };
    match outcome {
        CancelOutcome::Refused => {
            return reply::failure(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        CancelOutcome::Unknown => return no_such_stream(),
        CancelOutcome::Late => sleep(LATE_CANCEL_DELAY).await,
        CancelOutcome::Done | CancelOutcome::Lost => {}
    }
    state.cancel(&stream);
    if outcome == CancelOutcome::Lost {
        std::future::pending::<()>().await;
    }
    reply::ok(&"cancelled")
}

#[handler]
async fn events(Data(state): Data<&Arc<State>>, Query(query): Query<EventsQuery>) -> Response {
    let timeout = Duration::from_millis(query.timeout_ms.unwrap_or(DEFAULT_EVENTS_TIMEOUT_MS));
    reply::ok(&state.events.since(query.since, timeout).await)
}

#[handler]
fn load(Data(state): Data<&Arc<State>>) -> Response {
    reply::ok(&state.load.report())
}

#[handler]
fn models(Data(state): Data<&Arc<State>>) -> Response {
    reply::ok(&lock(&state.orders).models())
}

#[handler]
fn order(Data(state): Data<&Arc<State>>, Json(order): Json<FencedOrder>) -> Response {
    match state.apply_order(&order) {
        Ok(()) => reply::ok(&order),
        Err(stale_fence) => reply::json(StatusCode::CONFLICT, &stale_fence),
    }
}

#[handler]
fn health() -> Response {
    reply::ok(&"ok")
}

#[handler]
fn faults(Data(state): Data<&Arc<State>>, Json(patch): Json<FaultPatch>) -> Response {
    state.patch_faults(patch);
    reply::ok(&"ok")
}
