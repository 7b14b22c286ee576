//! Clients of the upstream beside an agent: a model engine or a plain service.
//!
//! The errors tell a call that was never sent, and so surely did not run, from one that was
//! answered and from one that broke after it was sent, whose outcome is unknown. Nothing is
//! retried and no redirect is followed.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use reqwest::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use reqwest::{Method, RequestBuilder, Response, Url};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::sse::{SseEvent, SseReader};

/// Timeout of a short call when the settings name none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes kept of the body of a refusal.
const MAX_REFUSAL: usize = 4096;
/// Largest answer of a short call to an engine in bytes.
const MAX_REPORT: usize = 8 << 20;
/// What a wait for events may take beyond the time it asks for.
const EVENTS_MARGIN: Duration = Duration::from_secs(2);
/// Last event of a generation's stream.
const DONE: &[u8] = b"[DONE]";
/// Header that names the request across systems.
const REQUEST_ID: &str = "x-request-id";
/// Headers of a caller that concern its own connection only.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a call gave no answer of the wanted kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// Not sent, because no connection was made or the call makes no sense: surely not run.
    NeverSent(String),
    /// Answered with a status other than success.
    Answered {
        /// HTTP status.
        status: u16,
        /// The start of the body.
        body: String,
        /// When to come back, if the upstream said so.
        retry_after: Option<Duration>,
    },
    /// Sent, but no whole answer came back: may have run.
    Broken(String),
    /// Run and answered, but with more bytes than allowed or a body that makes no sense.
    Unusable(String),
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverSent(why) => write!(f, "never sent: {why}"),
            Self::Answered { status, .. } => write!(f, "answered with status {status}"),
            Self::Broken(why) => write!(f, "broken after sending: {why}"),
            Self::Unusable(why) => write!(f, "unusable answer: {why}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

/// Result of a call of an upstream.
pub type Result<T> = std::result::Result<T, UpstreamError>;

/// A generation to run.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// Model to run it on.
    pub model: Arc<str>,
    /// The prompt, as the caller sent it.
    pub messages: Value,
    /// Most tokens to make.
    pub max_tokens: u64,
    /// Priority; what a greater number means is the engine's setting.
    pub priority: i64,
    /// Name under which the stream is cancelled or resumed.
    pub stream_id: Arc<str>,
    /// Name of the request across systems.
    pub request_id: Option<Arc<str>>,
}

#[derive(Serialize)]
struct ChatRequest<'a> {
    model: &'a str,
    messages: &'a Value,
    max_tokens: u64,
    priority: i64,
    stream_id: &'a str,
    stream: bool,
}

/// What happens on the stream of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// The next tokens, as many as arrived together.
    Tokens(Vec<Token>),
    /// The generation ended; the last event.
    Finished {
        /// Why it ended.
        reason: FinishReason,
        /// What it took.
        usage: Usage,
    },
    /// The stream ended before the generation; the last event.
    Broken {
        /// What happened, for the log.
        why: String,
    },
}

/// One token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its text.
    pub text: String,
    /// Its place in the generation, counted from 0, if the engine numbers its tokens.
    pub offset: Option<u64>,
}

/// Why a generation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The model stopped by itself.
    Stop,
    /// It reached its bound of tokens.
    Length,
    /// It was cancelled.
    Cancelled,
    /// Another reason, in the engine's words.
    Other(Arc<str>),
}

impl From<&str> for FinishReason {
    fn from(text: &str) -> Self {
        match text {
            "stop" => Self::Stop,
            "length" => Self::Length,
            "cancelled" | "canceled" | "abort" => Self::Cancelled,
            other => Self::Other(other.into()),
        }
    }
}

/// What a generation took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens made.
    pub completion_tokens: u64,
    /// How often it lost its memory and began again.
    pub preemptions: u64,
}

/// The events of one generation.
pub type EngineStream = BoxStream<'static, EngineEvent>;

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<Usage>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Turns the bytes of a generation's stream into events; holds no socket.
#[derive(Debug, Default)]
pub struct Decoder {
    sse: SseReader,
    reason: Option<FinishReason>,
    usage: Usage,
    ended: bool,
}

impl Decoder {
    /// The events that `chunk` completes; none after the last one.
    pub fn feed(&mut self, chunk: &[u8]) -> Vec<EngineEvent> {
        if self.ended {
            return Vec::new();
        }
        self.sse.push(chunk);
        let mut tokens = Vec::new();
        let last = self.take_all(&mut tokens);
        self.ended = last.is_some();
        let tokens = (!tokens.is_empty()).then_some(EngineEvent::Tokens(tokens));
        tokens.into_iter().chain(last).collect()
    }

    /// The last event, when the connection ended; `None` when it was given out before.
    pub fn end(&mut self, why: impl Into<String>) -> Option<EngineEvent> {
        if self.ended {
            return None;
        }
        self.ended = true;
        match self.reason.take() {
            // All tokens are there; only the closing event is missing.
            Some(reason) => Some(self.finished(reason)),
            None => Some(EngineEvent::Broken { why: why.into() }),
        }
    }

    fn finished(&self, reason: FinishReason) -> EngineEvent {
        EngineEvent::Finished {
            reason,
            usage: self.usage,
        }
    }

    /// Takes the whole events at hand; gives the last event of the stream if it is among them.
    fn take_all(&mut self, tokens: &mut Vec<Token>) -> Option<EngineEvent> {
        loop {
            let taken = match self.sse.next_event() {
                Ok(Some(event)) => self.take(&event, tokens),
                Ok(None) => return None,
                Err(e) => Err(e.to_string()),
            };
            match taken {
                Ok(None) => {}
                Ok(last) => return last,
                Err(why) => return Some(EngineEvent::Broken { why }),
            }
        }
    }

    fn take(
        &mut self,
        event: &SseEvent,
        tokens: &mut Vec<Token>,
    ) -> std::result::Result<Option<EngineEvent>, String> {
        if event.data.is_empty() {
            return Ok(None);
        }
        if event.data == DONE {
            let reason = self.reason.take().ok_or("end without a reason")?;
            return Ok(Some(self.finished(reason)));
        }
        let chunk: Chunk = serde_json::from_slice(&event.data).map_err(|e| e.to_string())?;
        if let Some(error) = chunk.error {
            return Err(error.to_string());
        }
        self.usage = chunk.usage.unwrap_or(self.usage);
        if let Some(choice) = chunk.choices.into_iter().next() {
            tokens.extend(token(choice.delta, event));
            let reason = choice.finish_reason.as_deref().map(FinishReason::from);
            self.reason = reason.or(self.reason.take());
        }
        Ok(None)
    }
}

/// The token of an event: one with text, or a numbered one without.
fn token(delta: Delta, event: &SseEvent) -> Option<Token> {
    let offset = event.id.as_deref().and_then(|id| id.parse().ok());
    let text = delta.content.unwrap_or_default();
    (offset.is_some() || !text.is_empty()).then_some(Token { text, offset })
}

/// What an engine reports of its load; it lags behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Generations in the batch.
    pub running: u64,
    /// Generations that wait.
    pub waiting: u64,
    /// Tokens held in memory.
    pub used_tokens: u64,
    /// Tokens that fit in memory.
    pub capacity_tokens: u64,
    /// Most generations in a batch.
    pub max_batch: u64,
    /// Preemptions since the start.
    pub preemptions_total: u64,
    /// Length of the last step in milliseconds.
    pub step_ms: f64,
}

/// A page of cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EventPage {
    /// Number from which the next page goes on.
    pub seq: u64,
    /// The events; gaps in their numbers are lost events.
    pub events: Vec<CacheEvent>,
}

/// What happened to a block of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Number of the event.
    pub seq: u64,
    /// What happened.
    pub kind: CacheChange,
    /// Digest of the prefix that the block ends.
    pub prefix: Arc<str>,
}

/// What can happen to a block of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was taken in.
    Stored,
    /// It was thrown out.
    Evicted,
    /// A change this version doesn't know.
    #[serde(other)]
    Unknown,
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FencedOrder {
    /// Fencing number of the issuer's lease.
    pub fence: u64,
    /// What is ordered.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model.
    Load {
        /// Its name.
        model: Arc<str>,
    },
    /// Unload a model.
    Unload {
        /// Its name.
        model: Arc<str>,
    },
    /// Take another role.
    Role {
        /// Its name.
        role: Arc<str>,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Taken,
    /// The engine refused it, having seen a greater fencing number.
    Fenced {
        /// The greatest number it has seen.
        fence: u64,
    },
}

#[derive(Deserialize)]
struct Fenced {
    fence: u64,
}

/// The models of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct ModelList {
    /// The models, loaded or on their way.
    pub models: Vec<Model>,
    /// Role of the engine.
    pub role: Arc<str>,
    /// Greatest fencing number the engine has seen.
    pub fence: u64,
}

/// A model of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// Whether it can be used.
    pub state: ModelState,
}

/// Whether a model can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// On its way into memory.
    Loading,
    /// Ready.
    Loaded,
    /// A state this version doesn't know.
    #[serde(other)]
    Unknown,
}

/// Client of one model engine; cloning shares its connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
    base: Url,
    timeout: Duration,
}

impl EngineClient {
    /// Client of the engine at `base`; `timeout` bounds connecting and short calls, no stream.
    ///
    /// # Errors
    ///
    /// An error when `base` is no HTTP URL.
    pub fn new(base: &str, timeout: Duration) -> anyhow::Result<Self> {
        Ok(Self {
            http: http_client(timeout)?,
            base: base_url(base)?,
            timeout,
        })
    }

    /// Starts a generation and gives its events; the wait for the answer's head is not bounded.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] when no stream began.
    pub async fn generate(&self, req: &GenerateRequest) -> Result<EngineStream> {
        let body = ChatRequest {
            model: &req.model,
            messages: &req.messages,
            max_tokens: req.max_tokens,
            priority: req.priority,
            stream_id: &req.stream_id,
            stream: true,
        };
        let mut call = self
            .http
            .post(self.url(&["v1", "chat", "completions"])?)
            .json(&body);
        if let Some(id) = &req.request_id {
            call = call.header(REQUEST_ID, &**id);
        }
        Ok(events(send(call).await?))
    }

    /// Takes up the stream of a generation at token `from`.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; status 404 when the engine doesn't know the stream.
    pub async fn resume(&self, stream_id: &str, from: u64) -> Result<EngineStream> {
        let mut url = self.url(&["v1", "streams", stream_id])?;
        url.query_pairs_mut().append_pair("from", &from.to_string());
        Ok(events(send(self.http.get(url)).await?))
    }

    /// Cancels a generation.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; status 404 when the engine doesn't know the stream.
    pub async fn cancel(&self, stream_id: &str) -> Result<()> {
        let url = self.url(&["v1", "streams", stream_id, "cancel"])?;
        send(self.short(self.http.post(url))).await.map(drop)
    }

    /// What the engine reports of its load.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    pub async fn load(&self) -> Result<LoadReport> {
        self.report(self.http.get(self.url(&["v1", "load"])?)).await
    }

    /// Cache events after number `since`, after a wait of at most `wait` for the first.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    pub async fn events(&self, since: u64, wait: Duration) -> Result<EventPage> {
        let mut url = self.url(&["v1", "events"])?;
        url.query_pairs_mut()
            .append_pair("since", &since.to_string())
            .append_pair("timeout_ms", &wait.as_millis().to_string());
        let call = self.http.get(url).timeout(wait + EVENTS_MARGIN);
        parse(&body(send(call).await?, MAX_REPORT).await?)
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; an order refused for its fencing number is an outcome, not an error.
    pub async fn order(&self, order: &FencedOrder) -> Result<OrderOutcome> {
        let call = self.http.post(self.url(&["v1", "orders"])?).json(order);
        match send(self.short(call)).await {
            Ok(_) => Ok(OrderOutcome::Taken),
            Err(UpstreamError::Answered {
                status: 409, body, ..
            }) => {
                let Fenced { fence } = parse(body.as_bytes())?;
                Ok(OrderOutcome::Fenced { fence })
            }
            Err(e) => Err(e),
        }
    }

    /// The models of the engine.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    pub async fn models(&self) -> Result<ModelList> {
        let url = self.url(&["v1", "models"])?;
        self.report(self.http.get(url)).await
    }

    /// Whether the engine answers.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] when it doesn't, or not with success.
    pub async fn health(&self) -> Result<()> {
        let url = self.url(&["health"])?;
        send(self.short(self.http.get(url))).await.map(drop)
    }

    fn url(&self, segments: &[&str]) -> Result<Url> {
        if let Some(wrong) = segments.iter().find(|s| matches!(**s, "" | "." | "..")) {
            return Err(UpstreamError::NeverSent(format!("path segment {wrong:?}")));
        }
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(segments);
        }
        Ok(url)
    }

    fn short(&self, call: RequestBuilder) -> RequestBuilder {
        call.timeout(self.timeout)
    }

    async fn report<T: DeserializeOwned>(&self, call: RequestBuilder) -> Result<T> {
        parse(&body(send(self.short(call)).await?, MAX_REPORT).await?)
    }
}

/// Answer of a plain service, whatever its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the service named one.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Bytes,
}

/// Client of one plain service; cloning shares its connections.
#[derive(Clone, Debug)]
pub struct PlainClient {
    http: reqwest::Client,
    base: Url,
    timeout: Duration,
    max_answer: usize,
}

impl PlainClient {
    /// Client of the service at `base`; `timeout` bounds a call, `max_answer` its answer in bytes.
    ///
    /// # Errors
    ///
    /// An error when `base` is no HTTP URL.
    pub fn new(base: &str, timeout: Duration, max_answer: usize) -> anyhow::Result<Self> {
        Ok(Self {
            http: http_client(timeout)?,
            base: base_url(base)?,
            timeout,
            max_answer,
        })
    }

    /// Makes a call; `path` may hold a query.
    ///
    /// Headers that concern the caller's own connection are left out.
    ///
    /// # Errors
    ///
    /// `NeverSent`, `Broken` or `Unusable`; any status is an answer.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(impl AsRef<str>, impl AsRef<str>)],
        payload: impl Into<Bytes>,
    ) -> Result<PlainAnswer> {
        let method = Method::from_bytes(method.as_bytes()).map_err(never_sent)?;
        let mut call = self
            .http
            .request(method, self.url(path))
            .timeout(self.timeout)
            .body(payload.into());
        for (name, value) in headers {
            let name = HeaderName::try_from(name.as_ref()).map_err(never_sent)?;
            let value = HeaderValue::try_from(value.as_ref()).map_err(never_sent)?;
            if !HOP_BY_HOP.contains(&name.as_str()) {
                call = call.header(name, value);
            }
        }
        self.answer(call.send().await.map_err(|e| broken(&e))?)
            .await
    }

    /// URL of a path below the base; never another host.
    fn url(&self, path: &str) -> Url {
        let (path, query) = path
            .split_once('?')
            .map_or((path, None), |(path, query)| (path, Some(query)));
        let mut url = self.base.clone();
        let prefix = self.base.path().trim_end_matches('/');
        url.set_path(&format!("{prefix}/{}", path.trim_start_matches('/')));
        url.set_query(query);
        url
    }

    async fn answer(&self, res: Response) -> Result<PlainAnswer> {
        let content_type = res
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Ok(PlainAnswer {
            status: res.status().as_u16(),
            content_type,
            body: body(res, self.max_answer).await?.into(),
        })
    }
}

fn http_client(timeout: Duration) -> anyhow::Result<reqwest::Client> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        // Half of the whole, so that a connection never made isn't taken for a lost answer.
        .connect_timeout(timeout / 2)
        .tcp_nodelay(true)
        .build()?;
    Ok(http)
}

fn base_url(base: &str) -> anyhow::Result<Url> {
    let url = Url::parse(base).with_context(|| format!("upstream URL {base}"))?;
    anyhow::ensure!(!url.cannot_be_a_base(), "upstream URL {base} has no path");
    Ok(url)
}

fn never_sent(e: impl fmt::Display) -> UpstreamError {
    UpstreamError::NeverSent(e.to_string())
}

/// What a call without an answer means.
fn broken(e: &reqwest::Error) -> UpstreamError {
    if e.is_connect() || e.is_builder() {
        never_sent(e)
    } else {
        UpstreamError::Broken(e.to_string())
    }
}

/// Sends a call and takes any status but success for an error.
async fn send(call: RequestBuilder) -> Result<Response> {
    let res = call.send().await.map_err(|e| broken(&e))?;
    if res.status().is_success() {
        return Ok(res);
    }
    let status = res.status().as_u16();
    let retry_after = res
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = start_of_body(res).await;
    Err(UpstreamError::Answered {
        status,
        body,
        retry_after,
    })
}

/// The start of a refusal's body, as far as it comes.
async fn start_of_body(mut res: Response) -> String {
    let mut buf = Vec::new();
    while buf.len() < MAX_REFUSAL {
        let Ok(Some(chunk)) = res.chunk().await else {
            break;
        };
        buf.extend_from_slice(&chunk);
    }
    buf.truncate(MAX_REFUSAL);
    String::from_utf8_lossy(&buf).into_owned()
}

async fn body(mut res: Response, limit: usize) -> Result<Vec<u8>> {
    let mut buf = Vec::new();
    // The answer has begun, so that nothing from here on was never sent.
    let lost = |e: reqwest::Error| UpstreamError::Broken(e.to_string());
    while let Some(chunk) = res.chunk().await.map_err(lost)? {
        if buf.len() + chunk.len() > limit {
            return Err(UpstreamError::Unusable(format!("over {limit} bytes")));
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf)
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| UpstreamError::Unusable(e.to_string()))
}

/// An open stream with what it has given and not yet handed on.
struct Open {
    res: Response,
    decoder: Decoder,
    ready: VecDeque<EngineEvent>,
}

fn events(res: Response) -> EngineStream {
    let open = Open {
        res,
        decoder: Decoder::default(),
        ready: VecDeque::new(),
    };
    let events = stream::unfold(open, |mut open| async move {
        let event = open.next().await?;
        Some((event, open))
    });
    events.boxed()
}

impl Open {
    async fn next(&mut self) -> Option<EngineEvent> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some(event);
            }
            if self.decoder.ended {
                return None;
            }
            match self.res.chunk().await {
                Ok(Some(chunk)) => self.ready.extend(self.decoder.feed(&chunk)),
                Ok(None) => return self.decoder.end("closed before the end"),
                Err(e) => return self.decoder.end(e.to_string()),
            }
        }
    }
}
