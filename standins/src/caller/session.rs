//! Seeing one request to its end over several connections and entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use reqwest::{Client, Response};
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout_at};

use super::attempt::{Attempt, End, Got};
use super::events::{Reader, Said};
use super::request::Request;

/// Wait before a broken connection is taken up elsewhere.
const RECONNECT: Duration = Duration::from_millis(50);
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// What all callers of a run share; cloning is cheap.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    entries: Arc<[String]>,
    patience: Duration,
    tokens: Arc<AtomicU64>,
}

/// One request on its way.
#[derive(Debug)]
pub struct Session {
    caller: Caller,
    request: Request,
    entry: usize,
    attempts: Vec<Attempt>,
    link: Option<Link>,
    last_id: Option<String>,
    deadline: Instant,
}

/// A stream that is being read.
#[derive(Debug)]
struct Link {
    res: Response,
    reader: Reader,
}

/// What is to be done after an answer or a failure.
enum Next {
    /// Go on reading or sending.
    On,
    /// Send it anew after that wait.
    Anew(Duration),
    /// This is the end.
    Ended(End),
}

impl Caller {
    /// Callers of these entries (base URLs); each request ends within
    /// `patience`.
    ///
    /// # Errors
    ///
    /// When there is no HTTP client to be had.
    pub fn new(
        entries: impl IntoIterator<Item = String>,
        patience: Duration,
    ) -> reqwest::Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT)
            .build()?;
        Ok(Self {
            client,
            entries: entries.into_iter().collect(),
            patience,
            tokens: Arc::default(),
        })
    }

    /// Tokens that all callers have got.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Begins a request at the entry of that index.
    #[must_use]
    pub fn begin(&self, request: Request, entry: usize) -> Session {
        let first = Attempt::new(request.mark.clone());
        Session {
            caller: self.clone(),
            request,
            entry,
            attempts: vec![first],
            link: None,
            last_id: None,
            deadline: Instant::now() + self.patience,
        }
    }

    /// Sees a request to its end, from the entry of that index on.
    pub async fn run(&self, request: Request, entry: usize) -> Got {
        self.begin(request, entry).finish().await
    }
}

impl Session {
    /// Reads until the attempt has `count` tokens; false when it ended first.
    pub async fn until_tokens(&mut self, count: u64) -> bool {
        while self.attempt().tokens < count {
            if !self.step().await {
                return false;
            }
        }
        true
    }

    /// Sees the request to its end.
    pub async fn finish(mut self) -> Got {
        while self.step().await {}
        Got {
            request: self.request,
            attempts: self.attempts,
        }
    }

    /// Id of the last event, to come back with.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Tokens of the present attempt.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.attempts.last().map_or(0, |a| a.tokens)
    }

    /// Gives up the connection, as a caller does whose network broke.
    pub fn hang_up(&mut self) {
        self.link = None;
    }

    /// Goes on at the entry of that index from the next connection on.
    pub fn turn_to(&mut self, entry: usize) {
        self.entry = entry;
    }

    /// Takes one step; false when the request has ended.
    async fn step(&mut self) -> bool {
        if self.attempt().end != End::Open {
            return false;
        }
        let deadline = self.deadline;
        let next = match timeout_at(deadline, self.act()).await {
            Ok(next) => next,
            Err(_) => Next::Ended(End::Hung),
        };
        match next {
            Next::On => true,
            Next::Anew(wait) => {
                sleep(wait).await;
                self.begin_anew();
                true
            }
            Next::Ended(end) => {
                self.attempt().end = end;
                false
            }
        }
    }

    async fn act(&mut self) -> Next {
        if self.link.is_some() {
            self.read().await
        } else {
            self.send().await
        }
    }

    fn attempt(&mut self) -> &mut Attempt {
        let last = self.attempts.len() - 1;
        &mut self.attempts[last]
    }

    fn begin_anew(&mut self) {
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
                self.attempt().returns += u32::from(self.last_id.is_some());
                self.link = Some(Link {
                    res,
                    reader: Reader::default(),
                });
                Next::On
            }
            Ok(res) => self.take_whole(res).await,
            Err(err) => self.on_cut(err.is_connect()).await,
        }
    }

    /// Takes an answer that is no stream.
    async fn take_whole(&mut self, res: Response) -> Next {
        let ok = res.status().is_success();
        let Ok(value) = res.json::<Value>().await else {
            return self.on_cut(false).await;
        };
        if !ok {
            return self.on_error(&value).await;
        }
        let content = value["choices"][0]["message"]["content"].as_str();
        let text = content.map_or_else(|| value.to_string(), str::to_owned);
        self.add(&text);
        Next::Ended(End::Whole)
    }

    fn add(&mut self, text: &str) {
        let before = self.attempt().tokens;
        self.attempt().add(text);
        let more = self.attempt().tokens - before;
        self.caller.tokens.fetch_add(more, Ordering::Relaxed);
    }

    /// Takes the next event of a stream.
    async fn read(&mut self) -> Next {
        let Some(link) = &mut self.link else {
            return Next::On;
        };
        if let Some(event) = link.reader.next() {
            self.last_id = event.id.clone().or(self.last_id.take());
            return match event.said() {
                Said::Text(text) => {
                    self.add(&text);
                    Next::On
                }
                Said::Done => Next::Ended(End::Whole),
                Said::Error(value) => {
                    self.link = None;
                    self.on_error(&value).await
                }
                Said::Unreadable => Next::Ended(End::Cut),
            };
        }
        match link.res.chunk().await {
            Ok(Some(chunk)) => {
                link.reader.push(&chunk);
                Next::On
            }
            Ok(None) | Err(_) => self.on_cut(false).await,
        }
    }

    /// Comes back to the stream through the next entry, or sends anew.
    async fn on_cut(&mut self, refused: bool) -> Next {
        self.link = None;
        if self.last_id.is_some() {
            self.entry += 1;
            sleep(RECONNECT).await;
            return Next::On;
        }
        if refused || self.request.is_repeatable() {
            self.attempt().end = End::Cut;
            return Next::Anew(RECONNECT);
        }
        Next::Ended(End::Cut)
    }

    /// Waits where the system says when to come back; else that's the end.
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
            // The stream goes on elsewhere: only this entry won't serve it.
            self.entry += 1;
            sleep(Duration::from_secs(secs)).await;
            return Next::On;
        }
        self.attempt().end = End::Code(code);
        Next::Anew(Duration::from_secs(secs))
    }
}

fn is_stream(res: &Response) -> bool {
    let kind = res.headers().get("content-type");
    let kind = kind.and_then(|v| v.to_str().ok()).unwrap_or_default();
    res.status().is_success() && kind.starts_with("text/event-stream")
}
