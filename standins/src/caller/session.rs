//! Runs one request to its end over several connections and entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use reqwest::{Client, Response};
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout_at};

use super::attempt::{Attempt, End, RequestOutcome};
use super::events::{Payload, Reader};
use super::request::Request;

/// Wait before a reconnection or a retry after a broken connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by all callers of a run; cheap to clone.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    entries: Arc<[String]>,
    timeout: Duration,
    tokens: Arc<AtomicU64>,
}

/// A request in progress.
#[derive(Debug)]
pub struct Session {
    caller: Caller,
    request: Request,
    entry: usize,
    attempts: Vec<Attempt>,
    connection: Option<Connection>,
    last_id: Option<String>,
    deadline: Instant,
}

/// An open stream.
#[derive(Debug)]
struct Connection {
    res: Response,
    reader: Reader,
}

/// Next action after an answer or a failure.
enum Next {
    /// Continue reading or sending.
    Continue,
    /// Start a new attempt after this wait.
    Retry(Duration),
    /// The request ended.
    Ended(End),
}

impl Caller {
    /// Creates callers of these entries (base URLs); each request ends within
    /// `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error when the HTTP client can't be built.
    pub fn new(
        entries: impl IntoIterator<Item = String>,
        timeout: Duration,
    ) -> reqwest::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            entries: entries.into_iter().collect(),
            timeout,
            tokens: Arc::default(),
        })
    }

    /// Returns the tokens received by all callers.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Starts a request at the entry with this index.
    #[must_use]
    pub fn begin(&self, request: Request, entry: usize) -> Session {
        let first = Attempt::new(request.mark.clone());
        Session {
            caller: self.clone(),
            request,
            entry,
            attempts: vec![first],
            connection: None,
            last_id: None,
            deadline: Instant::now() + self.timeout,
        }
    }

    /// Runs a request to its end, starting at the entry with this index.
    pub async fn run(&self, request: Request, entry: usize) -> RequestOutcome {
        self.begin(request, entry).finish().await
    }
}

impl Session {
    /// Reads until an attempt has `count` tokens; returns false when the request
    /// ended first.
    pub async fn read_until_tokens(&mut self, count: u64) -> bool {
        while self.attempt().tokens < count {
            if !self.step().await {
                return false;
            }
        }
        true
    }

    /// Runs the request to its end.
    pub async fn finish(mut self) -> RequestOutcome {
        while self.step().await {}
        RequestOutcome {
            request: self.request,
            attempts: self.attempts,
        }
    }

    /// Returns the id of the last event, which a reconnection sends.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the tokens of the current attempt.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.attempts.last().map_or(0, |a| a.tokens)
    }

    /// Drops the connection, as on a network failure of the caller.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Uses the entry with this index from the next connection on.
    pub fn switch_entry(&mut self, entry: usize) {
        self.entry = entry;
    }

    /// Performs one step; returns false when the request has ended.
    async fn step(&mut self) -> bool {
        if self.attempt().end != End::InProgress {
            return false;
        }
        let deadline = self.deadline;
        let next = match timeout_at(deadline, self.advance()).await {
            Ok(next) => next,
            Err(_) => Next::Ended(End::TimedOut),
        };
        match next {
            Next::Continue => true,
            Next::Retry(wait) => {
                sleep(wait).await;
                self.start_retry();
                true
            }
            Next::Ended(end) => {
                self.attempt().end = end;
                false
            }
        }
    }

    async fn advance(&mut self) -> Next {
        if self.connection.is_some() {
            self.read().await
        } else {
            self.send().await
        }
    }

    fn attempt(&mut self) -> &mut Attempt {
        let last = self.attempts.len() - 1;
        &mut self.attempts[last]
    }

    fn start_retry(&mut self) {
        let mark = if self.request.keeps_body {
            self.request.mark.clone()
        } else {
            format!("{}-{}", self.request.mark, self.attempts.len())
        };
        self.attempts.push(Attempt::new(mark));
        self.last_id = None;
        self.entry += 1;
    }

    async fn send(&mut self) -> Next {
        let entries = &self.caller.entries;
        let base = &entries[self.entry % entries.len()];
        let url = format!("{base}{}", self.request.path());
        let body = self
            .request
            .body(&self.attempts[self.attempts.len() - 1].mark);
        let mut req = self
            .caller
            .client
            .post(url)
            .bearer_auth(&self.request.key)
            .json(&body);
        if let Some(key) = &self.request.idempotency_key {
            req = req.header("idempotency-key", key);
        }
        if let Some(id) = &self.last_id {
            req = req.header("last-event-id", id);
        }
        match req.send().await {
            Ok(res) if is_stream(&res) => {
                self.attempt().reconnects += u32::from(self.last_id.is_some());
                self.connection = Some(Connection {
                    res,
                    reader: Reader::default(),
                });
                Next::Continue
            }
            Ok(res) => self.read_complete(res).await,
            Err(err) => self.on_disconnect(err.is_connect()).await,
        }
    }

    /// Reads an answer that isn't streamed.
    async fn read_complete(&mut self, res: Response) -> Next {
        let ok = res.status().is_success();
        let Ok(value) = res.json::<Value>().await else {
            return self.on_disconnect(false).await;
        };
        if !ok {
            return self.on_error(&value).await;
        }
        let content = value["choices"][0]["message"]["content"].as_str();
        let text = content.map_or_else(|| value.to_string(), str::to_owned);
        self.add(&text);
        Next::Ended(End::Complete)
    }

    fn add(&mut self, text: &str) {
        let before = self.attempt().tokens;
        self.attempt().add(text);
        let more = self.attempt().tokens - before;
        self.caller.tokens.fetch_add(more, Ordering::Relaxed);
    }

    /// Processes the next event of a stream, or reads its next chunk.
    async fn read(&mut self) -> Next {
        let Some(connection) = &mut self.connection else {
            return Next::Continue;
        };
        if let Some(event) = connection.reader.next() {
            self.last_id = event.id.clone().or(self.last_id.take());
            return match event.payload() {
                Payload::Text(text) => {
                    self.add(&text);
                    Next::Continue
                }
                Payload::Done => Next::Ended(End::Complete),
                Payload::Error(value) => {
                    self.connection = None;
                    self.on_error(&value).await
                }
                Payload::Unreadable => Next::Ended(End::Disconnected),
            };
        }
        match connection.res.chunk().await {
            Ok(Some(chunk)) => {
                connection.reader.push(&chunk);
                Next::Continue
            }
            Ok(None) | Err(_) => self.on_disconnect(false).await,
        }
    }

    /// Resumes the stream through the next entry, retries, or ends the request.
    async fn on_disconnect(&mut self, refused: bool) -> Next {
        self.connection = None;
        if self.last_id.is_some() {
            self.entry += 1;
            sleep(RECONNECT_DELAY).await;
            return Next::Continue;
        }
        if refused || self.request.is_retryable() {
            self.attempt().end = End::Disconnected;
            return Next::Retry(RECONNECT_DELAY);
        }
        Next::Ended(End::Disconnected)
    }

    /// Waits and retries when the error has a `retry_after`; otherwise ends the
    /// request.
    async fn on_error(&mut self, value: &Value) -> Next {
        let error = &value["error"];
        let code = error["code"].as_u64().and_then(|c| u32::try_from(c).ok());
        let code = code.unwrap_or_default();
        let retry_after = error["retry_after"].as_u64();
        self.attempt().delivered = error["delivered"].as_u64();
        self.attempt().retry_after = retry_after;
        let Some(secs) = retry_after else {
            return Next::Ended(End::Code(code));
        };
        if self.last_id.is_some() {
            // Only this entry refuses the stream; others can continue it.
            self.entry += 1;
            sleep(Duration::from_secs(secs)).await;
            return Next::Continue;
        }
        self.attempt().end = End::Code(code);
        Next::Retry(Duration::from_secs(secs))
    }
}

fn is_stream(res: &Response) -> bool {
    let content_type = res.headers().get("content-type");
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    res.status().is_success() && content_type.starts_with("text/event-stream")
}
