//! Short forms for JSON answers.

use poem::http::StatusCode;
use poem::{Body, Response};
use serde::Serialize;

/// An answer with a message for the reader of an error.
#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// An answer of `status` with `value` as its JSON body.
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

/// An answer of 200 with `value` as its JSON body.
pub(crate) fn ok(value: &impl Serialize) -> Response {
    json(StatusCode::OK, value)
}

/// An answer of `status` that says why.
pub(crate) fn failure(status: StatusCode, error: &str) -> Response {
    json(status, &ErrorBody { error })
}
