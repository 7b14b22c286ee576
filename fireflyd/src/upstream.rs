//! Clients of the upstream beside an agent: a model engine or a plain service.
//!
//! Errors distinguish a call that was never sent, and therefore did not run, from one that was
//! answered and from one that broke after it was sent, whose outcome is unknown. The clients
//! neither retry nor follow redirects.

use std::collections::VecDeque;
use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use reqwest::header::RETRY_AFTER;
use reqwest::{RequestBuilder, Response, Url};
use serde::de::DeserializeOwned;

use crate::engine_link;
pub use crate::engine_messages::*;
pub use crate::plain_client::*;
pub use crate::read_memory::ReadMemory;
use crate::read_memory::{HeldBytes, Reserved};

/// Default timeout of a short call.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes kept of an error response's body.
const MAX_ERROR_BODY_BYTES: usize = 4096;
/// Time in which it must arrive.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an engine's response to a short call in bytes.
const MAX_REPORT_BYTES: usize = 8 << 20;
/// Extra time for an events call beyond its requested wait.
const EVENTS_MARGIN: Duration = Duration::from_secs(2);
/// Header with the identifier of the request across systems.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Header of the version of an engine's software.
const SOFTWARE_VERSION: &str = "x-software-version";
/// Caller headers that apply only to the caller's own connection.
pub(crate) const HOP_BY_HOP: [&str; 9] = [
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

/// Error of an upstream call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamError {
    /// Not sent, because the connection failed or the call is invalid: did not run.
    NeverSent(String),
    /// Answered with an error status.
    Answered {
        /// HTTP status.
        status: u16,
        /// Start of the body.
        body: String,
        /// Delay before the next attempt, if the upstream gave one.
        retry_after: Option<Duration>,
    },
    /// Sent, but no complete response was received: may have run.
    Broken(String),
    /// Sent, and what came back is no answer: may have run.
    NoAnswer(String),
    /// Run and answered, but the body is too large or invalid.
    Unusable(String),
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverSent(reason) => write!(f, "never sent: {reason}"),
            Self::Answered { status, .. } => write!(f, "answered with status {status}"),
            Self::Broken(reason) => write!(f, "broken after sending: {reason}"),
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Self::Unusable(reason) => write!(f, "unusable answer: {reason}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

/// Result of an upstream call.
pub type Result<T> = std::result::Result<T, UpstreamError>;

/// Client of a model engine; clones share its connections.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: reqwest::Client,
    base: Url,
    timeout: Duration,
    memory: ReadMemory,
}

impl EngineClient {
    /// Creates a client of the engine at `base`; `timeout` limits connecting and short calls,
    /// not streams.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` is not an HTTP URL.
    pub fn new(base: &str, timeout: Duration) -> anyhow::Result<Self> {
        Ok(Self {
            http: http_client(timeout)?,
            base: base_url(base)?,
            timeout,
            memory: ReadMemory::default(),
        })
    }

    /// Reads answers within `memory`.
    #[must_use]
    pub fn with_memory(self, memory: ReadMemory) -> Self {
        Self { memory, ..self }
    }

    /// Starts a generation and returns its events; the wait for the response head has no timeout.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if no stream started.
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
        let decoder = Decoder::default();
        Ok(events(self.send_alone(call).await?, decoder, &self.memory))
    }

    /// Resumes the stream of a generation at token `from`.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; status 404 when the engine doesn't know the stream.
    pub async fn resume(&self, stream_id: &str, from: u64) -> Result<EngineStream> {
        let mut url = self.url(&["v1", "streams", stream_id])?;
        url.query_pairs_mut().append_pair("from", &from.to_string());
        let res = self.send_alone(self.http.get(url)).await?;
        Ok(events(res, Decoder::resumed(from), &self.memory))
    }

    /// Cancels a generation.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; status 404 when the engine doesn't know the stream.
    pub async fn cancel(&self, stream_id: &str) -> Result<()> {
        let url = self.url(&["v1", "streams", stream_id, "cancel"])?;
        send(self.with_timeout(self.http.post(url))).await.map(drop)
    }

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    pub async fn load(&self) -> Result<LoadReport> {
        self.report(self.http.get(self.url(&["v1", "load"])?)).await
    }

    /// Reads the cache events after number `since`, waiting up to `wait` for the first.
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
        parse(&read_body(send(call).await?, MAX_REPORT_BYTES, &self.memory).await?)
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; a refusal because of the fencing number is an outcome, not an error.
    pub async fn order(&self, order: &FencedOrder) -> Result<OrderOutcome> {
        let call = self.http.post(self.url(&["v1", "orders"])?).json(order);
        match send(self.with_timeout(call)).await {
            Ok(_) => Ok(OrderOutcome::Accepted),
            Err(UpstreamError::Answered {
                status: 409, body, ..
            }) => {
                let Fenced { fence } = parse(body.as_bytes())?;
                Ok(OrderOutcome::Fenced { fence })
            }
            Err(e) => Err(e),
        }
    }

    /// Reads the engine's models.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`].
    pub async fn models(&self) -> Result<ModelList> {
        let url = self.url(&["v1", "models"])?;
        self.report(self.http.get(url)).await
    }

    /// Checks the engine's health.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`] if the engine gives no response or an error status.
    pub async fn health(&self) -> Result<()> {
        let url = self.url(&["health"])?;
        send(self.with_timeout(self.http.get(url))).await.map(drop)
    }

    fn url(&self, segments: &[&str]) -> Result<Url> {
        if let Some(invalid) = segments.iter().find(|s| matches!(**s, "" | "." | "..")) {
            return Err(UpstreamError::NeverSent(format!(
                "path segment {invalid:?}"
            )));
        }
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(segments);
        }
        Ok(url)
    }

    /// Sends the call of a generation, whose wait for the head has no timeout.
    async fn send_alone(&self, call: RequestBuilder) -> Result<Response> {
        succeeded(engine_link::send(call, connect_timeout(self.timeout)).await?).await
    }

    fn with_timeout(&self, call: RequestBuilder) -> RequestBuilder {
        call.timeout(self.timeout)
    }

    async fn report<T: DeserializeOwned>(&self, call: RequestBuilder) -> Result<T> {
        parse(
            &read_body(
                send(self.with_timeout(call)).await?,
                MAX_REPORT_BYTES,
                &self.memory,
            )
            .await?,
        )
    }
}

/// Half of the timeout, so that a failed connection isn't mistaken for a lost response.
fn connect_timeout(timeout: Duration) -> Duration {
    timeout / 2
}

pub(crate) fn http_client(timeout: Duration) -> anyhow::Result<reqwest::Client> {
    let http = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .connect_timeout(connect_timeout(timeout))
        .tcp_nodelay(true)
        .build()?;
    Ok(http)
}

pub(crate) fn base_url(base: &str) -> anyhow::Result<Url> {
    let url = Url::parse(base).with_context(|| format!("upstream URL {base}"))?;
    anyhow::ensure!(!url.cannot_be_a_base(), "upstream URL {base} has no path");
    Ok(url)
}

pub(crate) fn never_sent(e: impl fmt::Display) -> UpstreamError {
    UpstreamError::NeverSent(e.to_string())
}

/// Returns the error of a call without a response.
pub(crate) fn transport_error(e: &reqwest::Error) -> UpstreamError {
    if e.is_connect() || e.is_builder() {
        never_sent(e)
    } else if is_unreadable(e) {
        UpstreamError::NoAnswer(e.to_string())
    } else {
        UpstreamError::Broken(e.to_string())
    }
}

/// Returns whether bytes came that are no HTTP response, so that the upstream hasn't ended.
fn is_unreadable(e: &reqwest::Error) -> bool {
    let mut cause = e.source();
    while let Some(inner) = cause {
        if let Some(e) = inner.downcast_ref::<hyper::Error>() {
            return e.is_parse();
        }
        cause = inner.source();
    }
    false
}

/// Sends a call and returns an error for any unsuccessful status.
pub(crate) async fn send(call: RequestBuilder) -> Result<Response> {
    succeeded(call.send().await.map_err(|e| transport_error(&e))?).await
}

/// Returns an error for any unsuccessful status.
async fn succeeded(res: Response) -> Result<Response> {
    if res.status().is_success() {
        return Ok(res);
    }
    let status = res.status().as_u16();
    let retry_after = res
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = read_body_prefix(res).await;
    Err(UpstreamError::Answered {
        status,
        body,
        retry_after,
    })
}

/// Reads the start of an error response's body, as far as it is received in time.
async fn read_body_prefix(mut res: Response) -> String {
    let mut buf = Vec::new();
    let read = async {
        while buf.len() < MAX_ERROR_BODY_BYTES {
            let Ok(Some(chunk)) = res.chunk().await else {
                break;
            };
            buf.extend_from_slice(&chunk);
        }
    };
    // What came until then tells enough.
    let _ = tokio::time::timeout(ERROR_BODY_TIMEOUT, read).await;
    buf.truncate(MAX_ERROR_BODY_BYTES);
    String::from_utf8_lossy(&buf).into_owned()
}

pub(crate) async fn read_body(
    mut res: Response,
    limit: usize,
    memory: &ReadMemory,
) -> Result<Bytes> {
    let mut reserved = memory.reserve();
    let mut buf = Vec::new();
    // The response has started, so an error can no longer mean that the call was never sent.
    let to_broken = |e: reqwest::Error| UpstreamError::Broken(e.to_string());
    while let Some(chunk) = res.chunk().await.map_err(to_broken)? {
        if buf.len() + chunk.len() > limit {
            return Err(UpstreamError::Unusable(format!("over {limit} bytes")));
        }
        buf.extend_from_slice(&chunk);
        if !reserved.grow_to(buf.capacity()) {
            let reason = format!("no memory for over {} bytes", buf.len());
            return Err(UpstreamError::Unusable(reason));
        }
    }
    Ok(Bytes::from_owner(HeldBytes::new(buf, reserved)))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| UpstreamError::Unusable(e.to_string()))
}

/// Open stream with its decoded events that have not been returned yet.
struct OpenStream {
    res: Response,
    decoder: Decoder,
    pending: VecDeque<EngineEvent>,
    reserved: Reserved,
}

fn events(res: Response, decoder: Decoder, memory: &ReadMemory) -> EngineStream {
    let version = res.headers().get(SOFTWARE_VERSION);
    let version = version
        .and_then(|v| v.to_str().ok())
        .filter(|v| !v.is_empty());
    let opened = EngineEvent::Opened {
        software_version: version.map(Arc::from),
    };
    let open = OpenStream {
        res,
        decoder,
        pending: VecDeque::from([opened]),
        reserved: memory.reserve(),
    };
    let events = stream::unfold(open, |mut open| async move {
        let event = open.next().await?;
        Some((event, open))
    });
    events.boxed()
}

impl OpenStream {
    async fn next(&mut self) -> Option<EngineEvent> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Some(event);
            }
            if self.decoder.ended {
                return None;
            }
            match self.res.chunk().await {
                Ok(Some(chunk)) => {
                    self.pending.extend(self.decoder.feed(&chunk));
                    if !self.reserved.grow_to(self.decoder.buffered()) {
                        self.pending
                            .extend(self.decoder.end("no memory for an event"));
                    }
                }
                Ok(None) => return self.decoder.end("closed before the end"),
                Err(e) => return self.decoder.end(e.to_string()),
            }
        }
    }
}
