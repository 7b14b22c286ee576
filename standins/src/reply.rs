//! Helpers for JSON responses.

use poem::http::StatusCode;
use poem::{Body, Response};
use serde::Serialize;

/// Body of an error response.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Returns a response with `status` and `value` as its JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    match Body::from_json(value) {
        Ok(body) => Response::builder()
            .status(status)
            .content_type("application/json")
            .body(body),
        Err(err) => Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(err.to_string()),
    }
}

/// Returns a response with status 200 and `value` as its JSON body.
pub(crate) fn ok(value: &impl Serialize) -> Response {
    json(StatusCode::OK, value)
}

/// Returns an error response with `status` and a message.
pub(crate) fn failure(status: StatusCode, error: &str) -> Response {
    json(status, &ErrorBody { error })
}
