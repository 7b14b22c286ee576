//! Publishes a configuration: its parts first, then its head.
//!
//! Parts are immutable and named by their digest, so writing them is idempotent.
//! The head is written on the condition that it is still the one that was read;
//! only that write makes a configuration accepted. When its answer is lost, the
//! same write is sent again, which can't take effect twice, and the head is read
//! back: its token identifies the write that produced it.

use crate::failure::{Failure, Result};
use crate::store::Store;
use anyhow::Context;
use fireflycroft::{
    Document, HEAD_KIND, HEAD_NAME, Head, PART_KIND, PAST_KIND, Part, PartName, Snapshot,
    SnapshotError, WriteOutcome, assemble,
};
use fireflyd::platform::{Condition, PlatformError};
use futures_util::{StreamExt, TryStreamExt, stream};
use serde_json::Value;
use std::collections::HashSet;
use std::time::Duration;

/// Maximum number of concurrent calls to the platform.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Attempts of a call that had no effect or is idempotent.
const MAX_ATTEMPTS: u32 = 5;
/// Delay before the second attempt; doubled before each later one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Configuration stored on the platform.
#[derive(Clone, Debug)]
pub struct StoredConfig {
    /// Version of the head object; `None` when there is none.
    pub object_version: Option<u64>,
    /// Head; `None` before the first configuration.
    pub head: Option<Head>,
    /// Document; `None` when parts are missing, as they may be on a platform
    /// that went back to an older state during an apply.
    pub doc: Option<Document>,
}

/// Outcome of writing the head.
#[derive(Clone, Debug)]
pub enum PublishOutcome {
    /// The head is accepted.
    Accepted,
    /// The head was accepted and has been replaced by this one.
    Replaced(Box<Head>),
    /// Another write came first; the head was never accepted.
    Lost(Box<StoredConfig>),
    /// The write had no effect, for this reason.
    NoEffect(PlatformError),
    /// It is unknown whether the write took effect.
    Unknown,
}

impl StoredConfig {
    /// Returns the version; zero before the first configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |h| h.version)
    }

    /// Returns the head if all its parts are present.
    #[must_use]
    pub fn complete_head(&self) -> Option<&Head> {
        self.head.as_ref().filter(|_| self.doc.is_some())
    }

    /// Returns the document.
    ///
    /// # Errors
    ///
    /// Fails when parts are missing.
    pub fn document(&self) -> Result<&Document> {
        let version = self.version();
        let doc = self.doc.as_ref();
        Ok(doc.with_context(|| format!("parts of version {version} are missing on the platform"))?)
    }

    fn condition(&self) -> Condition {
        self.object_version
            .map_or(Condition::Absent, Condition::Version)
    }
}

/// Reads the head and its parts.
///
/// # Errors
///
/// Fails when the platform doesn't answer, or a part doesn't match its name.
pub async fn read_stored_config(store: &impl Store) -> Result<StoredConfig> {
    let Some((object_version, head)) = read_head(store).await? else {
        return Ok(StoredConfig {
            object_version: None,
            head: None,
            doc: Some(Document::default()),
        });
    };
    let doc = read_document(store, &head).await?;
    Ok(StoredConfig {
        object_version: Some(object_version),
        head: Some(head),
        doc,
    })
}

/// Writes the parts that `known` doesn't list; returns their number.
///
/// # Errors
///
/// Fails when the platform doesn't answer.
pub async fn put_parts(
    store: &impl Store,
    snapshot: &Snapshot,
    known: Option<&Head>,
) -> Result<usize> {
    let known: HashSet<PartName> = known.iter().flat_map(|h| h.parts.iter().copied()).collect();
    let missing = snapshot.parts.iter().filter(|p| !known.contains(&p.name));
    stream::iter(missing)
        .map(|part| put_part(store, part))
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .try_fold(0, |count, ()| async move { Ok(count + 1) })
        .await
}

/// Writes missing parts again after the head was accepted: the platform could
/// have gone back to an older state since they were written.
///
/// # Errors
///
/// Fails when the platform doesn't answer.
pub async fn confirm_parts(store: &impl Store, snapshot: &Snapshot) -> Result<()> {
    stream::iter(&snapshot.parts)
        .map(|part| confirm_part(store, part))
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .try_collect()
        .await
}

async fn confirm_part(store: &impl Store, part: &Part) -> Result<()> {
    let name = part.name.to_string();
    let read = async || store.get(PART_KIND, &name).await;
    match retry("a part", read).await? {
        Some(_) => Ok(()),
        None => put_part(store, part).await,
    }
}

/// Writes the head over `base`, in a single attempt.
///
/// # Errors
///
/// Returns the platform's error; after `OutcomeUnknown`, call [`read_write_outcome`].
pub async fn put_head(
    store: &impl Store,
    base: &StoredConfig,
    head: &Head,
) -> std::result::Result<u64, PlatformError> {
    let value = head_value(head).map_err(|e| PlatformError::Invalid(e.to_string()))?;
    store
        .put(HEAD_KIND, HEAD_NAME, &value, base.condition())
        .await
}

/// Writes a copy of the head under its token, so that it can still be read
/// after its replacement.
///
/// # Errors
///
/// Fails when the platform doesn't answer.
pub async fn put_past_head(store: &impl Store, head: &Head) -> Result<()> {
    let value = head_value(head).map_err(anyhow::Error::from)?;
    put_immutable(store, PAST_KIND, &head.token, &value).await
}

/// Reads the head back and determines the outcome of writing `head`.
///
/// # Errors
///
/// Fails when the platform doesn't answer.
pub async fn read_write_outcome(
    store: &impl Store,
    base: &StoredConfig,
    head: &Head,
) -> Result<WriteOutcome> {
    let now = read_head(store).await?.map(|(_, now)| now);
    Ok(head.write_outcome(base.head.as_ref(), now.as_ref()))
}

/// Writes the head over `from` until the outcome is known or all attempts
/// failed.
///
/// # Errors
///
/// Fails when another operator's head can't be read.
pub async fn publish_head(
    store: &impl Store,
    from: &StoredConfig,
    head: &Head,
) -> Result<PublishOutcome> {
    let mut may_have_taken_effect = false;
    let mut last_error = PlatformError::OutcomeUnknown;
    for delay in retry_delays() {
        match put_head(store, from, head).await {
            Ok(_) => return Ok(PublishOutcome::Accepted),
            Err(PlatformError::Conflict { .. }) if !may_have_taken_effect => {
                return Ok(PublishOutcome::Lost(Box::new(
                    read_stored_config(store).await?,
                )));
            }
            Err(PlatformError::Conflict { .. }) => return resolve_outcome(store, from, head).await,
            Err(e @ PlatformError::Invalid(_)) if !may_have_taken_effect => {
                return Ok(PublishOutcome::NoEffect(e));
            }
            Err(e) => {
                may_have_taken_effect |= e == PlatformError::OutcomeUnknown;
                last_error = e;
            }
        }
        tokio::time::sleep(delay).await;
    }
    if may_have_taken_effect {
        return resolve_outcome(store, from, head).await;
    }
    Ok(PublishOutcome::NoEffect(last_error))
}

/// Reads the head until it shows the outcome of a write that may have taken
/// effect, or all attempts failed.
async fn resolve_outcome(
    store: &impl Store,
    from: &StoredConfig,
    head: &Head,
) -> Result<PublishOutcome> {
    for delay in retry_delays() {
        match read_write_outcome(store, from, head).await {
            Ok(WriteOutcome::Active) => return Ok(PublishOutcome::Accepted),
            Ok(WriteOutcome::Replaced) => return replaced_outcome(store).await,
            Ok(WriteOutcome::Lost) => {
                return Ok(PublishOutcome::Lost(Box::new(
                    read_stored_config(store).await?,
                )));
            }
            // A read may lag behind the write.
            Ok(WriteOutcome::Pending | WriteOutcome::Unknown) => tokio::time::sleep(delay).await,
            Err(_) => break,
        }
    }
    Ok(PublishOutcome::Unknown)
}

async fn replaced_outcome(store: &impl Store) -> Result<PublishOutcome> {
    let now = read_head(store).await?.map(|(_, head)| head);
    Ok(now.map_or(PublishOutcome::Unknown, |now| {
        PublishOutcome::Replaced(Box::new(now))
    }))
}

/// Reads the document of an earlier version in the history of `now`; returns
/// `None` when it is no longer known.
///
/// # Errors
///
/// Fails when the platform doesn't answer.
pub async fn past_document(
    store: &impl Store,
    now: &Head,
    version: u64,
) -> Result<Option<Document>> {
    let Some(write) = now.past.iter().find(|w| w.version == version) else {
        return Ok(None);
    };
    let read = async || store.get(PAST_KIND, &write.token).await;
    let Some(object) = retry("an earlier head", read).await? else {
        return Ok(None);
    };
    let head = parse_head(object.value)?;
    read_document(store, &head).await
}

async fn read_head(store: &impl Store) -> Result<Option<(u64, Head)>> {
    let read = async || store.get(HEAD_KIND, HEAD_NAME).await;
    let Some(object) = retry("the head", read).await? else {
        return Ok(None);
    };
    Ok(Some((object.version, parse_head(object.value)?)))
}

fn parse_head(value: Value) -> Result<Head> {
    let head = serde_json::from_value(value)
        .map_err(|e| anyhow::anyhow!("can't parse a head on the platform: {e}"))?;
    Ok(head)
}

/// Reads the document of a head; returns `None` when a part is missing.
async fn read_document(store: &impl Store, head: &Head) -> Result<Option<Document>> {
    let parts: Option<Vec<Part>> = stream::iter(&head.parts)
        .map(|name| read_part(store, *name))
        .buffered(MAX_CONCURRENT_CALLS)
        .try_collect::<Vec<Option<Part>>>()
        .await?
        .into_iter()
        .collect();
    let Some(parts) = parts else { return Ok(None) };
    Ok(Some(assemble(head, &parts).map_err(invalid_snapshot)?))
}

async fn read_part(store: &impl Store, name: PartName) -> Result<Option<Part>> {
    let text = name.to_string();
    let read = async || store.get(PART_KIND, &text).await;
    let Some(object) = retry("a part", read).await? else {
        return Ok(None);
    };
    Ok(Some(
        Part::from_value(name, &object.value).map_err(invalid_snapshot)?,
    ))
}

async fn put_part(store: &impl Store, part: &Part) -> Result<()> {
    let name = part.name.to_string();
    let value = part.to_value().map_err(invalid_snapshot)?;
    put_immutable(store, PART_KIND, &name, &value).await
}

/// Writes an object whose name determines its content, so that an existing one
/// is the same.
async fn put_immutable(store: &impl Store, kind: &str, name: &str, value: &Value) -> Result<()> {
    let write = async || match store.put(kind, name, value, Condition::Absent).await {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(e) => Err(e),
    };
    retry(kind, write).await
}

fn head_value(head: &Head) -> serde_json::Result<Value> {
    serde_json::to_value(head)
}

/// Repeats an idempotent call until it is answered or all attempts failed.
async fn retry<T>(
    what: &str,
    call: impl AsyncFn() -> std::result::Result<T, PlatformError>,
) -> Result<T> {
    let mut last_error = PlatformError::OutcomeUnknown;
    for delay in retry_delays() {
        match call().await {
            Ok(answer) => return Ok(answer),
            Err(PlatformError::Invalid(reason)) => {
                return Err(anyhow::anyhow!("the platform refused {what}: {reason}").into());
            }
            Err(e) => last_error = e,
        }
        tokio::time::sleep(delay).await;
    }
    Err(Failure::Unavailable(format!("{what}: {last_error}")))
}

fn retry_delays() -> impl Iterator<Item = Duration> {
    (0..MAX_ATTEMPTS).map(|n| FIRST_RETRY_DELAY * 2_u32.pow(n))
}

fn invalid_snapshot(e: SnapshotError) -> anyhow::Error {
    anyhow::Error::from(e).context("the configuration on the platform is invalid")
}
