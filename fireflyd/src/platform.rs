//! Client of the platform: versioned objects, watches and the VM list.
//!
//! Errors distinguish a write that had no effect from one whose outcome is unknown; after the
//! latter the caller reads the object back and compares. The client never retries.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use reqwest::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH, RETRY_AFTER};
use reqwest::{Method, RequestBuilder, Response, StatusCode, Url};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::metrics::Metrics;

/// Default timeout of a call.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Extra time for a watch call beyond its requested wait.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
/// Maximum size of an object's value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum size of a logged name in bytes.
const MAX_LOGGED_NAME: usize = 200;

/// Error of a platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The condition of a write was not met; no effect.
    Conflict {
        /// Current version of the object; 0 when it is absent or unknown.
        version: u64,
    },
    /// The object does not exist; no effect.
    NotFound,
    /// The platform is unreachable, down or limiting the rate; no effect.
    Unavailable {
        /// Delay before the next attempt, if the platform gave one.
        retry_after: Option<Duration>,
    },
    /// The write was sent but its response was lost: it may or may not have taken effect.
    OutcomeUnknown,
    /// The call or its response is invalid, or the value is too large; no effect.
    Invalid(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { version } => write!(f, "conflict with version {version}"),
            Self::NotFound => f.write_str("not found"),
            Self::Unavailable { retry_after: None } => f.write_str("unavailable"),
            Self::Unavailable {
                retry_after: Some(wait),
            } => write!(f, "unavailable for {} s", wait.as_secs()),
            Self::OutcomeUnknown => f.write_str("outcome unknown"),
            Self::Invalid(reason) => write!(f, "invalid: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}

impl PlatformError {
    const UNAVAILABLE: Self = Self::Unavailable { retry_after: None };

    /// Returns the value of the metrics' `result` label.
    fn label(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::NotFound => "not_found",
            Self::Unavailable { .. } => "unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Invalid(_) => "invalid",
        }
    }
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The object is absent.
    Absent,
    /// The object has this version.
    Version(u64),
    /// No condition.
    Always,
}

/// Object as stored by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Object {
    /// Kind of the object.
    pub kind: Arc<str>,
    /// Name, unique within its kind.
    pub name: Arc<str>,
    /// Version, increased by each write.
    pub version: u64,
    /// Last written value.
    pub value: Value,
}

/// Page of a list of objects, ordered by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Store revision from which to watch.
    pub revision: u64,
    /// Objects; fewer than the limit on the last page.
    pub objects: Vec<Object>,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// Revision from which to start the next watch.
    pub revision: u64,
    /// Changes; empty if the wait timed out.
    pub changes: Vec<Change>,
}

/// Change of an object.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "RawChange")]
pub struct Change {
    /// Name of the object.
    pub name: Arc<str>,
    /// Version after the change.
    pub version: u64,
    /// Whether the object was deleted.
    pub deleted: bool,
    /// New value, unless deleted or unreadable.
    pub value: Option<Value>,
}

#[derive(Deserialize)]
struct RawChange {
    name: Arc<str>,
    version: u64,
    #[serde(default)]
    deleted: bool,
    #[serde(default)]
    value: Option<Box<RawValue>>,
}

impl From<RawChange> for Change {
    fn from(raw: RawChange) -> Self {
        let value = raw.value.as_deref().map(RawValue::get);
        Self {
            name: raw.name,
            version: raw.version,
            deleted: raw.deleted,
            value: value.and_then(|text| serde_json::from_str(text).ok()),
        }
    }
}

/// VM as listed by the platform; the list may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Arc<str>,
    /// Address of the process on it.
    pub address: Arc<str>,
    /// Data centre of the VM.
    pub data_centre: Arc<str>,
    /// Role of the VM.
    pub role: Arc<str>,
    /// State of the VM.
    pub state: VmState,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be removed.
    Leaving,
    /// A state unknown to this version.
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize)]
struct VmList {
    vms: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct RawPage {
    #[serde(default)]
    revision: u64,
    objects: Vec<Box<RawValue>>,
}

/// Name in a record that is otherwise unreadable.
#[derive(Deserialize)]
struct Named {
    name: Box<RawValue>,
}

#[derive(Deserialize)]
struct Version {
    version: u64,
}

/// Returns an element of a list; logs one that can't be read as `event`.
fn read_element<T: DeserializeOwned>(element: &RawValue, event: &str) -> Option<T> {
    let read = serde_json::from_str(element.get());
    read.inspect_err(|e| {
        let named: Option<Named> = serde_json::from_str(element.get()).ok();
        let name = named.as_ref().map_or("-", |n| n.name.get());
        let name = name.get(..MAX_LOGGED_NAME).unwrap_or(name);
        log::warn!(event = event, name = name, cause:% = e; "");
    })
    .ok()
}

/// Whether a call can have an effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

/// Client of the platform; clones share its connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: reqwest::Client,
    base: Url,
    timeout: Duration,
    metrics: Metrics,
}

impl PlatformClient {
    /// Creates a client of the platform at `base` whose calls take at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if `base` is not an HTTP URL.
    pub fn new(base: &str, timeout: Duration, metrics: Metrics) -> anyhow::Result<Self> {
        let base = Url::parse(base).with_context(|| format!("platform URL {base}"))?;
        anyhow::ensure!(!base.cannot_be_a_base(), "platform URL {base} has no path");
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            // Half of the timeout, so that a failed connection isn't mistaken for a lost response.
            .connect_timeout(timeout / 2)
            .build()?;
        Ok(Self {
            http,
            base,
            timeout,
            metrics,
        })
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// `NotFound`, `Unavailable` or `Invalid`, also for the answer of another object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Object> {
        let req = self.request(Method::GET, self.object_url(kind, name)?);
        let object: Object = self.read("get", req).await?;
        if *object.kind != *kind || *object.name != *name {
            let found = format!("{}/{} instead of {kind}/{name}", object.kind, object.name);
            return Err(PlatformError::Invalid(found));
        }
        Ok(object)
    }

    /// Writes an object under a condition and returns its new version.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except `NotFound`.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &impl Serialize,
        condition: Condition,
    ) -> Result<u64> {
        let body = serde_json::to_vec(value).map_err(|e| PlatformError::Invalid(e.to_string()))?;
        if body.len() > MAX_VALUE_BYTES {
            let reason = format!("value of {} bytes, at most {MAX_VALUE_BYTES}", body.len());
            return Err(PlatformError::Invalid(reason));
        }
        let req = self
            .request(Method::PUT, self.object_url(kind, name)?)
            .header(reqwest::header::CONTENT_TYPE, "application/json")
            .body(body);
        self.write("put", conditional(req, condition)).await
    }

    /// Deletes an object under a condition and returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`].
    pub async fn delete(&self, kind: &str, name: &str, condition: Condition) -> Result<u64> {
        let req = self.request(Method::DELETE, self.object_url(kind, name)?);
        self.write("delete", conditional(req, condition)).await
    }

    /// Lists up to `limit` objects of a kind whose names come after `after`, without those that can't be read.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Invalid`.
    pub async fn list(&self, kind: &str, after: &str, limit: usize) -> Result<Page> {
        let mut url = self.url(&["objects", kind])?;
        url.query_pairs_mut()
            .append_pair("after", after)
            .append_pair("limit", &limit.to_string());
        let page: RawPage = self.read("list", self.request(Method::GET, url)).await?;
        let objects = page.objects.iter();
        Ok(Page {
            revision: page.revision,
            objects: objects
                .filter_map(|o| read_element(o, "object_unreadable"))
                .collect(),
        })
    }

    /// Waits up to `wait` for changes of a kind after revision `since`.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Invalid`.
    pub async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Result<Changes> {
        let mut url = self.url(&["watch", kind])?;
        url.query_pairs_mut()
            .append_pair("since", &since.to_string())
            .append_pair("timeout_ms", &wait.as_millis().to_string());
        let req = self.request(Method::GET, url).timeout(wait + WATCH_MARGIN);
        self.read("watch", req).await
    }

    /// Reads the VM list, without the records that can't be read.
    ///
    /// # Errors
    ///
    /// `Unavailable` or `Invalid`.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let req = self.request(Method::GET, self.url(&["vms"])?);
        let list: VmList = self.read("vms", req).await?;
        let vms = list.vms.iter();
        Ok(vms
            .filter_map(|vm| read_element(vm, "vm_unreadable"))
            .collect())
    }

    fn request(&self, method: Method, url: Url) -> RequestBuilder {
        self.http.request(method, url).timeout(self.timeout)
    }

    /// Returns the URL of an object, whose name may have several segments.
    fn object_url(&self, kind: &str, name: &str) -> Result<Url> {
        let mut segments = vec!["objects", kind];
        segments.extend(name.split('/'));
        self.url(&segments)
    }

    fn url(&self, segments: &[&str]) -> Result<Url> {
        // URL normalisation would drop these segments or move up the path.
        if let Some(invalid) = segments.iter().find(|s| matches!(**s, "" | "." | "..")) {
            return Err(PlatformError::Invalid(format!("path segment {invalid:?}")));
        }
        let mut url = self.base.clone();
        match url.path_segments_mut() {
            Ok(mut path) => path.pop_if_empty().push("v1").extend(segments),
            Err(()) => return Err(PlatformError::Invalid(format!("URL {}", self.base))),
        };
        Ok(url)
    }

    async fn read<T: DeserializeOwned>(&self, kind: &str, req: RequestBuilder) -> Result<T> {
        self.call(kind, Effect::Read, req).await
    }

    async fn write(&self, kind: &str, req: RequestBuilder) -> Result<u64> {
        let written: Version = self.call(kind, Effect::Write, req).await?;
        Ok(written.version)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: &str,
        effect: Effect,
        req: RequestBuilder,
    ) -> Result<T> {
        let res = send_and_parse(effect, req).await;
        let label = res.as_ref().err().map_or("ok", PlatformError::label);
        self.metrics
            .platform_calls
            .with_label_values(&[kind, label])
            .inc();
        res
    }
}

fn conditional(req: RequestBuilder, condition: Condition) -> RequestBuilder {
    match condition {
        Condition::Absent => req.header(IF_NONE_MATCH, "*"),
        Condition::Version(version) => req.header(IF_MATCH, version.to_string()),
        Condition::Always => req,
    }
}

async fn send_and_parse<T: DeserializeOwned>(effect: Effect, req: RequestBuilder) -> Result<T> {
    let res = req.send().await.map_err(|e| transport_error(effect, &e))?;
    if !res.status().is_success() {
        return Err(status_error(effect, res).await);
    }
    let body = res.bytes().await.map_err(|e| transport_error(effect, &e))?;
    serde_json::from_slice(&body).map_err(|e| match effect {
        Effect::Read => PlatformError::Invalid(e.to_string()),
        // The write took effect, but the caller must read the object back for its version.
        Effect::Write => PlatformError::OutcomeUnknown,
    })
}

/// Returns the error of a call without a response.
fn transport_error(effect: Effect, e: &reqwest::Error) -> PlatformError {
    if e.is_builder() {
        PlatformError::Invalid(e.to_string())
    } else if e.is_connect() {
        PlatformError::UNAVAILABLE
    } else {
        missing_response(effect)
    }
}

fn missing_response(effect: Effect) -> PlatformError {
    match effect {
        Effect::Read => PlatformError::UNAVAILABLE,
        Effect::Write => PlatformError::OutcomeUnknown,
    }
}

/// Returns the error of an unsuccessful response.
async fn status_error(effect: Effect, res: Response) -> PlatformError {
    match res.status() {
        StatusCode::NOT_FOUND => PlatformError::NotFound,
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => conflict(res).await,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            PlatformError::Unavailable {
                retry_after: retry_after(res.headers()),
            }
        }
        StatusCode::REQUEST_TIMEOUT => missing_response(effect),
        status if status.is_client_error() => PlatformError::Invalid(status.to_string()),
        _ => missing_response(effect),
    }
}

async fn conflict(res: Response) -> PlatformError {
    match res.json::<Version>().await {
        Ok(Version { version }) => PlatformError::Conflict { version },
        // The refusal is certain; the caller reads the object before it continues.
        Err(_) => PlatformError::Conflict { version: 0 },
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
