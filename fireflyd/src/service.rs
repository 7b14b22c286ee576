//! What a caller's request holds while it is served.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use fireflycroft::{CALL_BYTES, Code, Purpose};
use fireflynet::{Account, CallGuard, Callers, Charge, CollectError, collect_request};
use http_body_util::combinators::BoxBody;
use poem::http::StatusCode;
use poem::{Body, Request, Response};

use crate::request::{BadRequest, MAX_BODY_BYTES, check_headers};

/// Retry delay where other requests hold the memory: those that no longer arrive have given way by then.
pub(crate) const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request in service, with the account of its connection.
pub(crate) struct Service {
    account: Account,
    /// Memory of its buffers.
    _buffers: Charge,
    /// Memory of its body.
    body: Option<Charge>,
    /// Memory of what has come of its answer, if that is collected.
    answer: Option<Charge>,
    _guard: CallGuard,
}

impl Service {
    /// Marks the beginning of a request's service.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no memory for it, or its connection is closed already.
    pub(crate) fn begin(callers: &Callers, req: &Request) -> Result<Self, BadRequest> {
        let peer = req.remote_addr().as_socket_addr();
        let account = peer.and_then(|peer| callers.account_of(*peer));
        let account = account.ok_or_else(|| BadRequest {
            code: Code::Withdrawn,
            detail: "the connection is closed".to_owned(),
        })?;
        let buffers = account.reserve(CALL_BYTES, Purpose::Input);
        Ok(Self {
            _buffers: buffers.ok_or_else(|| refusal(&CollectError::NoRoom))?,
            _guard: account.begin_call(),
            account,
            body: None,
            answer: None,
        })
    }

    /// Reads the body, whose memory stays reserved until the end of the service.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the headers or the body are too large, there is no memory for it, or it broke off.
    pub(crate) async fn read_body(
        &mut self,
        req: &Request,
        body: Body,
    ) -> Result<Vec<u8>, BadRequest> {
        check_headers(req.headers())?;
        let body: BoxBody<Bytes, io::Error> = body.into();
        let collected = collect_request(body, MAX_BODY_BYTES, &self.account).await;
        let (bytes, charge) = collected.map_err(|e| refusal(&e))?.into_parts();
        self.body = charge;
        // The message to the agent holds the body once more.
        let has_room = match &mut self.body {
            Some(charge) => charge.grow(charge.bytes(), Purpose::Input),
            None => true,
        };
        if has_room {
            Ok(bytes)
        } else {
            Err(refusal(&CollectError::NoRoom))
        }
    }

    /// Reserves memory for more of the answer; returns false if others hold it.
    pub(crate) fn reserve_answer(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let is_granted = match &mut self.answer {
            Some(charge) => charge.grow(bytes, Purpose::Answer),
            none => {
                *none = self.account.reserve(bytes, Purpose::Answer);
                none.is_some()
            }
        };
        if !is_granted {
            log::warn!(event = "answer_without_memory", bytes = bytes; "");
        }
        is_granted
    }

    /// Reserves the memory of a stream's events until they are written; returns `None` if others hold it.
    pub(crate) fn hold_events(&self, events: Bytes) -> Option<Bytes> {
        let bytes = events.len();
        let charge = self.account.reserve(bytes as u64, Purpose::Answer);
        if charge.is_none() {
            log::warn!(event = "answer_without_memory", bytes = bytes; "");
        }
        Some(charge?.hold(events))
    }

    /// Keeps the answer's memory reserved until the response with it is written.
    pub(crate) async fn hold(&mut self, res: Response) -> Response {
        let Some(charge) = self.answer.take() else {
            return res;
        };
        let (parts, body) = res.into_parts();
        match body.into_bytes().await {
            Ok(bytes) => Response::from_parts(parts, Body::from_bytes(charge.hold(bytes))),
            Err(e) => {
                log::error!(event = "answer_unreadable", error:% = e; "");
                StatusCode::INTERNAL_SERVER_ERROR.into()
            }
        }
    }
}

fn refusal(e: &CollectError<io::Error>) -> BadRequest {
    let code = match e {
        CollectError::TooLarge => Code::BodyTooLarge,
        CollectError::NoRoom => Code::NoMemory,
        CollectError::Broken(_) => Code::BadRequest,
    };
    BadRequest {
        code,
        detail: e.to_string(),
    }
}
