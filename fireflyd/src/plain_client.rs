//! Client of a plain service beside an agent.

use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use reqwest::{Method, Response, Url};

use crate::upstream::{
    HOP_BY_HOP, ReadMemory, Result, UpstreamError, base_url, http_client, never_sent, read_body,
    transport_error,
};

/// Statuses with which a response ends a call.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Response of a plain service, with any final status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if present.
    pub content_type: Option<String>,
    /// Complete body.
    pub body: Bytes,
}

/// Client of one plain service; clones share its connections.
#[derive(Clone, Debug)]
pub struct PlainClient {
    http: reqwest::Client,
    base: Url,
    timeout: Duration,
    max_response_bytes: usize,
    memory: ReadMemory,
}

impl PlainClient {
    /// Creates a client of the service at `base`; `timeout` limits a call, `max_response_bytes`
    /// its response.
    ///
    /// # Errors
    ///
    /// Returns an error when `base` is not an HTTP URL.
    pub fn new(base: &str, timeout: Duration, max_response_bytes: usize) -> anyhow::Result<Self> {
        Ok(Self {
            http: http_client(timeout)?,
            base: base_url(base)?,
            timeout,
            max_response_bytes,
            memory: ReadMemory::default(),
        })
    }

    /// Reads answers within `memory`.
    #[must_use]
    pub fn with_memory(self, memory: ReadMemory) -> Self {
        Self { memory, ..self }
    }

    /// Makes a call; `path` may include a query.
    ///
    /// Headers of the caller's own connection, such as `host`, are omitted.
    ///
    /// # Errors
    ///
    /// Returns `NeverSent`, `Broken`, `NoAnswer` or `Unusable`; an HTTP error status is a response.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(impl AsRef<str>, impl AsRef<str>)],
        payload: impl Into<Bytes>,
    ) -> Result<PlainResponse> {
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
        self.read_response(call.send().await.map_err(|e| transport_error(&e))?)
            .await
    }

    /// Returns the URL of a path below the base; the host can't change.
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

    async fn read_response(&self, res: Response) -> Result<PlainResponse> {
        let status = res.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(UpstreamError::NoAnswer(format!("status {status}")));
        }
        let content_type = res
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Ok(PlainResponse {
            status,
            content_type,
            body: read_body(res, self.max_response_bytes, &self.memory).await?,
        })
    }
}
