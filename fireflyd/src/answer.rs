//! HTTP form of answers: server-sent events, chat completions and errors.

use std::time::Duration;

use bytes::Bytes;
use fireflycroft::{Chunk, Class, Code, Finish, Name, RequestId, ResumePoint, event_id};
use poem::http::StatusCode;
use poem::{Body, Response};
use serde_json::{Value, json};

/// Returns the completion id that clients see.
fn completion_id(request: RequestId) -> String {
    format!("chatcmpl-{request}")
}

/// Returns the name of a class in error bodies.
const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Operator => "operator",
        Class::NotRun => "not_run",
        Class::Ran => "ran",
        Class::Unknown => "unknown",
    }
}

/// Reason for a missing or incomplete answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Delay before the caller may retry.
    pub retry_after: Option<Duration>,
    /// Tokens delivered so far.
    pub delivered: u64,
    /// Detail for the caller, added to the code's phrase.
    pub detail: Option<String>,
}

impl Failure {
    /// Creates a failure with nothing delivered.
    #[must_use]
    pub const fn of(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
            delivered: 0,
            detail: None,
        }
    }

    fn to_json(&self) -> Value {
        let message = match &self.detail {
            Some(detail) => format!("{}: {detail}", self.code.phrase()),
            None => self.code.phrase().to_owned(),
        };
        json!({"error": {
            "code": self.code.number(),
            "class": class_name(self.code.class()),
            "message": message,
            "delivered": self.delivered,
            "retry_after": self.retry_after.map(ceil_seconds),
        }})
    }
}

/// Rounds up to whole seconds, the unit of `Retry-After`.
fn ceil_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}

/// Builds the error response for an answer with nothing sent yet.
#[must_use]
pub fn error_response(failure: &Failure) -> Response {
    let status =
        StatusCode::from_u16(failure.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::builder()
        .status(status)
        .content_type("application/json")
        .header("x-firefly-code", failure.code.number().to_string());
    if let Some(wait) = failure.retry_after {
        builder = builder.header("retry-after", ceil_seconds(wait).to_string());
    }
    builder.body(failure.to_json().to_string())
}

/// Builds the event that ends a stream with an error.
#[must_use]
pub fn error_event(failure: &Failure) -> Bytes {
    Bytes::from(format!("event: error\ndata: {}\n\n", failure.to_json()))
}

/// Builds one event for each token of a chunk.
#[must_use]
pub fn token_events(point: &ResumePoint, model: &Name, chunk: &Chunk) -> Bytes {
    let id = completion_id(point.request);
    let mut text = String::with_capacity(chunk.data.len() + 256 * chunk.lens.len());
    for (next, token) in (chunk.offset + 1..).zip(chunk.tokens()) {
        let content = String::from_utf8_lossy(token);
        let data = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{"index": 0, "delta": {"content": content}, "finish_reason": null}],
        });
        text.push_str("id: ");
        text.push_str(&event_id(point, next));
        text.push_str("\ndata: ");
        text.push_str(&data.to_string());
        text.push_str("\n\n");
    }
    Bytes::from(text)
}

/// Builds the events that end a complete stream.
#[must_use]
pub fn finish_events(point: &ResumePoint, model: &Name, finish: &Finish) -> Bytes {
    let data = json!({
        "id": completion_id(point.request),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": finish.reason}],
        "usage": usage(finish),
    });
    Bytes::from(format!(
        "id: {}\ndata: {data}\n\ndata: [DONE]\n\n",
        event_id(point, finish.total)
    ))
}

fn usage(finish: &Finish) -> Value {
    json!({
        "prompt_tokens": finish.prompt_tokens,
        "completion_tokens": finish.total,
        "total_tokens": u64::from(finish.prompt_tokens) + finish.total,
        "preemptions": finish.preemptions,
    })
}

/// Builds the response of a chat completion that isn't streamed.
#[must_use]
pub fn completion_response(
    point: &ResumePoint,
    model: &Name,
    chunk: &Chunk,
    finish: &Finish,
) -> Response {
    let content = String::from_utf8_lossy(&chunk.data);
    let body = json!({
        "id": completion_id(point.request),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": finish.reason,
        }],
        "usage": usage(finish),
    });
    Response::builder()
        .content_type("application/json")
        .header("x-request-id", point.request.to_string())
        .body(body.to_string())
}

/// Builds the response of a call to a plain service, with its status and body unchanged.
#[must_use]
pub fn call_response(point: Option<&ResumePoint>, chunk: Chunk, finish: &Finish) -> Response {
    let status = StatusCode::from_u16(finish.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::builder().status(status);
    if !finish.content_type.is_empty() {
        builder = builder.content_type(&*finish.content_type);
    }
    if let Some(point) = point {
        builder = builder.header("x-request-id", point.request.to_string());
    }
    builder.body(Body::from_vec(chunk.data))
}
