//! Sends one request and reads its answer.

use reqwest::{Client, Response};
use serde::Serialize;
use serde_json::Value;
use tokio::time::{Instant, timeout_at};

use super::check::TokenCheck;
use super::events::{self, Delta, Event, EventReader};
use super::meter::Meter;
use super::mix::Class;
use super::progress::Progress;

/// Header with the request id, forwarded across systems.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Finish reason of a cancelled answer.
const FINISH_CANCELLED: &str = "cancelled";

/// Finish reason at a length limit; short of the expected length it means that the
/// engine ran out of memory.
const FINISH_LENGTH: &str = "length";

/// The body of a request.
#[derive(Serialize)]
pub(super) struct Body {
    pub(super) model: String,
    pub(super) messages: [Message; 2],
    pub(super) max_tokens: u64,
    pub(super) stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) priority_class: Option<Class>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) priority: Option<i64>,
}

/// A message of a request.
#[derive(Serialize)]
pub(super) struct Message {
    pub(super) role: &'static str,
    pub(super) content: String,
}

/// A request ready to be sent.
pub(super) struct Call {
    pub(super) url: String,
    pub(super) key: String,
    pub(super) body: Body,
    pub(super) mark: String,
    pub(super) output_tokens: u64,
    pub(super) deadline: Instant,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum End {
    /// The complete answer arrived.
    Complete,
    /// The system refused the request with this code.
    Refused(String),
    /// No answer started, for this reason.
    Failed(String),
    /// An answer started and broke off, for this reason.
    Broken(String),
    /// The request was still in progress when the run ended.
    Unfinished,
}

/// The result of a request.
pub(super) struct Outcome {
    pub(super) end: End,
    pub(super) meter: Meter,
    pub(super) check: TokenCheck,
    pub(super) tokens: u64,
    pub(super) preemptions: Option<u64>,
}

impl Call {
    /// Sends the request and reads the answer until it ends or the deadline passes.
    pub(super) async fn run(self, client: &Client, meter: Meter, progress: &Progress) -> Outcome {
        let mut outcome = Outcome {
            end: End::Unfinished,
            meter,
            check: TokenCheck::new(&*self.mark),
            tokens: 0,
            preemptions: None,
        };
        let deadline = self.deadline;
        let answer = self.send(client, &mut outcome, progress);
        outcome.end = timeout_at(deadline, answer)
            .await
            .unwrap_or(End::Unfinished);
        if outcome.end != End::Complete {
            outcome.meter.record_cut(Instant::now());
        }
        outcome
    }

    async fn send(self, client: &Client, outcome: &mut Outcome, progress: &Progress) -> End {
        let req = client
            .post(&self.url)
            .bearer_auth(&self.key)
            .header(REQUEST_ID_HEADER, &self.mark)
            .json(&self.body);
        match req.send().await {
            Ok(res) if res.status().is_success() => {
                outcome.read_stream(res, self.output_tokens, progress).await
            }
            Ok(res) => End::Refused(refusal_code(res).await),
            Err(err) => End::Failed(failure_reason(&err)),
        }
    }
}

impl Outcome {
    async fn read_stream(&mut self, mut res: Response, expected: u64, progress: &Progress) -> End {
        let mut reader = EventReader::default();
        let mut finish = None;
        loop {
            let chunk = match res.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => return End::Broken("ended".to_owned()),
                Err(err) => return End::Broken(failure_reason(&err)),
            };
            for event in reader.push(&chunk) {
                match event {
                    Event::Delta(delta) => self.apply_delta(delta, &mut finish, progress),
                    Event::Done => return self.complete(finish.as_deref(), expected),
                    Event::Error(code) => return End::Broken(code),
                }
            }
        }
    }

    fn apply_delta(&mut self, delta: Delta, finish: &mut Option<String>, progress: &Progress) {
        let now = Instant::now();
        let tokens = self.check.push_text(&delta.content);
        for _ in 0..tokens {
            self.meter.record_token(now);
        }
        self.tokens += tokens;
        progress.add_tokens(tokens);
        self.preemptions = delta.preemptions.or(self.preemptions);
        *finish = delta.finish_reason.or(finish.take());
    }

    fn complete(&mut self, finish: Option<&str>, expected: u64) -> End {
        match finish {
            None => End::Broken("no finish reason".to_owned()),
            Some(FINISH_CANCELLED) => End::Broken(FINISH_CANCELLED.to_owned()),
            Some(FINISH_LENGTH) if self.tokens < expected => End::Broken(FINISH_LENGTH.to_owned()),
            Some(_) => {
                self.check.complete(expected);
                End::Complete
            }
        }
    }
}

/// Returns the code of a refusal: the HTTP status, and the error code in the body
/// if there is one.
async fn refusal_code(res: Response) -> String {
    let status = res.status().as_u16();
    let body: Value = res.json().await.unwrap_or(Value::Null);
    let error = body.get("error").unwrap_or(&body);
    match error.get("code") {
        Some(_) => format!("{status}/{}", events::error_code(error)),
        None => status.to_string(),
    }
}

/// Returns a short reason for a failed transfer.
fn failure_reason(err: &reqwest::Error) -> String {
    let reason = if err.is_connect() {
        "connect"
    } else if err.is_timeout() {
        "timeout"
    } else if err.is_body() || err.is_decode() {
        "cut"
    } else {
        "transfer"
    };
    reason.to_owned()
}
