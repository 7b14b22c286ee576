//! Answers to callers: relayed ones and the entry's own errors.

use bytes::Bytes;
use fireflycroft::{Class, Code};
use fireflycroft_platform::response_headers;
use fireflynet::Unfinished;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Header that carries the result code of the entry's own answers.
const CODE_HEADER: HeaderName = HeaderName::from_static("x-firefly-code");

/// Body of an answer, complete or streamed.
pub type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = BrokenStream>>>;

/// Answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Error of a stream that is cut before its end; it closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenStream(pub Code);

impl fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0.phrase())
    }
}

impl std::error::Error for BrokenStream {}

/// Returns a complete body.
#[must_use]
pub fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    use http_body_util::BodyExt;
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Returns an upstream's response, unchanged except for connection-level headers.
#[must_use]
pub fn relayed_answer(parts: &Parts, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = response_headers(&parts.headers);
    answer
}

/// Returns the entry's own error answer, with an optional retry delay.
#[must_use]
pub fn error_answer(code: Code, retry_after: Option<Duration>) -> Answer {
    let class = match code.class() {
        Class::Operator => "operator",
        Class::NotRun => "not_run",
        Class::Ran => "ran",
        Class::Unknown => "unknown",
    };
    let body = serde_json::json!({"error": {
        "code": code.number(),
        "class": class,
        "message": code.phrase(),
    }});
    let mut answer = Response::new(whole_body(body.to_string()));
    *answer.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    if let Some(wait) = retry_after {
        insert_text(headers, RETRY_AFTER, &format!("{:.3}", wait.as_secs_f64()));
    }
    answer
}

/// Announces to the caller that the connection closes after this answer.
pub fn close_after(answer: &mut Answer) {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    // Digits and a point are always a valid value.
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Returns a body that holds `guard` until it has been sent or dropped.
#[must_use]
pub fn with_guard<G: 'static>(body: AnswerBody, guard: G) -> AnswerBody {
    use http_body_util::BodyExt;
    let guard = std::cell::Cell::new(Some(guard));
    Box::pin(body.map_frame(move |frame| {
        let _ = &guard;
        frame
    }))
}

/// Returns a body whose connection ends with a reset until the body is whole; one with a length is returned as it is.
#[must_use]
pub fn marked_until_whole(body: AnswerBody, mark: Unfinished) -> AnswerBody {
    if body.size_hint().exact().is_some() {
        return body;
    }
    mark.set(true);
    Box::pin(MarkedBody { body, mark })
}

/// Body that takes its mark away at its end.
struct MarkedBody {
    body: AnswerBody,
    mark: Unfinished,
}

impl Body for MarkedBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        let frame = ready!(self.body.as_mut().poll_frame(cx));
        if frame.is_none() {
            self.mark.set(false);
        }
        Poll::Ready(frame)
    }
}
