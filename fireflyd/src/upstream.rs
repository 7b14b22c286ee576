//! Clients of the upstream beside an agent: a model engine or a plain service.
//!
//! The errors tell a call that was never sent, and so surely did not run, from one that was
//! answered and from one that broke after it was sent, whose outcome is unknown. Nothing is
//! retried and no redirect is followed.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use anyhow::Context;
use futures_util::StreamExt;
use futures_util::stream;
use reqwest::header::RETRY_AFTER;
use reqwest::{RequestBuilder, Response, Url};
use serde::de::DeserializeOwned;

pub use crate::engine_messages::*;
pub use crate::plain_client::*;

/// Timeout of a short call when the settings name none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes kept of the body of a refusal.
const MAX_ERROR_BODY_BYTES: usize = 4096;
/// Largest answer of a short call to an engine in bytes.
const MAX_REPORT_BYTES: usize = 8 << 20;
/// What a wait for events may take beyond the time it asks for.
const EVENTS_MARGIN: Duration = Duration::from_secs(2);
/// Header that names the request across systems.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Headers of a caller that concern its own connection only.
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
            Self::NeverSent(reason) => write!(f, "never sent: {reason}"),
            Self::Answered { status, .. } => write!(f, "answered with status {status}"),
            Self::Broken(reason) => write!(f, "broken after sending: {reason}"),
            Self::Unusable(reason) => write!(f, "unusable answer: {reason}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

/// Result of a call of an upstream.
pub type Result<T> = std::result::Result<T, UpstreamError>;

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
        send(self.with_timeout(self.http.post(url))).await.map(drop)
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
        parse(&read_body(send(call).await?, MAX_REPORT_BYTES).await?)
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`UpstreamError`]; an order refused for its fencing number is an outcome, not an error.
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

    fn with_timeout(&self, call: RequestBuilder) -> RequestBuilder {
        call.timeout(self.timeout)
    }

    async fn report<T: DeserializeOwned>(&self, call: RequestBuilder) -> Result<T> {
        parse(&read_body(send(self.with_timeout(call)).await?, MAX_REPORT_BYTES).await?)
    }
}

pub(crate) fn http_client(timeout: Duration) -> anyhow::Result<reqwest::Client> {
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

pub(crate) fn base_url(base: &str) -> anyhow::Result<Url> {
    let url = Url::parse(base).with_context(|| format!("upstream URL {base}"))?;
    anyhow::ensure!(!url.cannot_be_a_base(), "upstream URL {base} has no path");
    Ok(url)
}

pub(crate) fn never_sent(e: impl fmt::Display) -> UpstreamError {
    UpstreamError::NeverSent(e.to_string())
}

/// What a call without an answer means.
pub(crate) fn transport_error(e: &reqwest::Error) -> UpstreamError {
    if e.is_connect() || e.is_builder() {
        never_sent(e)
    } else {
        UpstreamError::Broken(e.to_string())
    }
}

/// Sends a call and takes any status but success for an error.
pub(crate) async fn send(call: RequestBuilder) -> Result<Response> {
    let res = call.send().await.map_err(|e| transport_error(&e))?;
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

/// The start of a refusal's body, as far as it comes.
async fn read_body_prefix(mut res: Response) -> String {
    let mut buf = Vec::new();
    while buf.len() < MAX_ERROR_BODY_BYTES {
        let Ok(Some(chunk)) = res.chunk().await else {
            break;
        };
        buf.extend_from_slice(&chunk);
    }
    buf.truncate(MAX_ERROR_BODY_BYTES);
    String::from_utf8_lossy(&buf).into_owned()
}

pub(crate) async fn read_body(mut res: Response, limit: usize) -> Result<Vec<u8>> {
    let mut buf = Vec::new();
    // The answer has begun, so that nothing from here on was never sent.
    let to_broken = |e: reqwest::Error| UpstreamError::Broken(e.to_string());
    while let Some(chunk) = res.chunk().await.map_err(to_broken)? {
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
struct OpenStream {
    res: Response,
    decoder: Decoder,
    pending: VecDeque<EngineEvent>,
}

fn events(res: Response) -> EngineStream {
    let open = OpenStream {
        res,
        decoder: Decoder::default(),
        pending: VecDeque::new(),
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
                Ok(Some(chunk)) => self.pending.extend(self.decoder.feed(&chunk)),
                Ok(None) => return self.decoder.end("closed before the end"),
                Err(e) => return self.decoder.end(e.to_string()),
            }
        }
    }
}
