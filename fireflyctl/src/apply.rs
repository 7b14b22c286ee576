//! `plan` and `apply` of `inventory` and `rules`, and `config restore`.

use crate::baseline::Baseline;
use crate::check::{ConfigSection, check};
use crate::console::Console;
use crate::failure::{Conflict, Failure, Result};
use crate::fleet::Fleet;
use crate::keys;
use crate::publish::{self, PublishOutcome, StoredConfig};
use crate::record::unix_ms_now;
use crate::store::Store;
use crate::wait;
use anyhow::Context;
use fireflycroft::{ConfigVersion, Diff, Document, Head, Name, split};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Source of the content of a change.
#[derive(Clone, Debug)]
pub(crate) enum Source {
    /// A file with one section.
    File(ConfigSection, PathBuf),
    /// Active configuration of the nodes, for a platform that went back to an
    /// older state.
    Nodes,
}

/// Requested change of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    /// Source of the content.
    pub(crate) source: Source,
    /// Whether to show the difference only.
    pub(crate) dry_run: bool,
    /// Whether to show the difference as JSON.
    pub(crate) json: bool,
    /// Version that the change was planned on.
    pub(crate) expect: Option<u64>,
    /// Whether to build on the platform's state even if nodes are ahead of it.
    pub(crate) from_platform: bool,
    /// Author of the change.
    pub(crate) author: Name,
    /// Time to wait until the change is active on the nodes.
    pub(crate) wait: Option<Duration>,
}

/// Shows the change and, unless it is a dry run, publishes it.
pub(crate) async fn change(
    change: &Change,
    store: &impl Store,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<()> {
    if change.wait.is_some() || matches!(change.source, Source::Nodes) {
        fleet.require_nodes()?;
    }
    let baseline = Baseline::find(store, fleet, change.from_platform, console).await?;
    let doc = match &change.source {
        Source::File(section, path) => read_file(*section, path, &baseline.doc)?,
        Source::Nodes => baseline.doc.clone(),
    };
    let diff = Diff::between(&baseline.doc, &doc);
    print_diff(change, &diff, console)?;
    check_expected_version(change, store, &baseline.base, &diff).await?;
    if change.dry_run {
        return print_plan(&baseline.base, &diff, console);
    }
    let head = publish_if_needed(change, store, &baseline, &doc, &diff, console).await?;
    match change.wait {
        Some(time) => wait::until_active(&head, time, fleet, console).await,
        None => Ok(()),
    }
}

/// Publishes the document unless it is accepted already; returns its head.
async fn publish_if_needed(
    change: &Change,
    store: &impl Store,
    baseline: &Baseline,
    doc: &Document,
    diff: &Diff,
    console: &mut Console<'_>,
) -> Result<Head> {
    if let Some(head) = baseline.base.complete_head()
        && diff.is_empty()
        && !baseline.needs_write
    {
        console.print(format!("version {} holds this already", head.version))?;
        return Ok(head.clone());
    }
    let head = publish(change, store, baseline, doc, diff).await?;
    console.print(format!("version {} is accepted", head.version))?;
    Ok(head)
}

fn read_file(section: ConfigSection, path: &Path, baseline: &Document) -> Result<Document> {
    let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
    check(section, &text, baseline).map_err(|faults| Failure::Faults(path.to_owned(), faults))
}

fn print_diff(change: &Change, diff: &Diff, console: &mut Console<'_>) -> Result<()> {
    if change.json {
        console.print_json(diff)
    } else {
        console.print(diff)
    }
}

fn print_plan(base: &StoredConfig, diff: &Diff, console: &mut Console<'_>) -> Result<()> {
    let version = base.version();
    if diff.is_empty() {
        return console.warn(format!("version {version} holds this already"));
    }
    console.warn(format!(
        "planned on version {version}; apply with --expect {version} to detect changes made since"
    ))
}

/// Fails when the current version isn't the one that the change was planned on.
async fn check_expected_version(
    change: &Change,
    store: &impl Store,
    base: &StoredConfig,
    diff: &Diff,
) -> Result<()> {
    let (Some(expected), Some(head)) = (change.expect, &base.head) else {
        return Ok(());
    };
    if expected == head.version {
        return Ok(());
    }
    let planned_on = match expected {
        0 => Some(Document::default()),
        _ => publish::past_document(store, head, expected).await?,
    };
    Err(Failure::Conflict(Box::new(Conflict {
        base_version: expected,
        version: head.version,
        author: author_or_unknown(Some(head)),
        mine: diff.clone(),
        theirs: diff_if_known(planned_on.as_ref(), base.doc.as_ref()),
    })))
}

async fn publish(
    change: &Change,
    store: &impl Store,
    baseline: &Baseline,
    doc: &Document,
    diff: &Diff,
) -> Result<Head> {
    let (base, version) = (&baseline.base, baseline.next_version);
    let snapshot = split(doc).map_err(anyhow::Error::from)?;
    let head = snapshot
        .head(
            ConfigVersion(version),
            unix_ms_now(),
            change.author.clone(),
            keys::new_write_token()?,
        )
        .after(base.head.as_ref());
    publish::put_parts(store, &snapshot, base.complete_head()).await?;
    publish::put_past_head(store, &head).await?;
    match publish::publish_head(store, base, &head).await? {
        PublishOutcome::Accepted => {
            publish::confirm_parts(store, &snapshot).await?;
            Ok(head)
        }
        PublishOutcome::Replaced(now) => Err(Failure::Replaced {
            version,
            author: author_or_unknown(Some(&now)),
            now: now.version,
        }),
        PublishOutcome::Lost(now) => Err(Failure::Conflict(Box::new(Conflict {
            base_version: base.version(),
            version: now.version(),
            author: author_or_unknown(now.head.as_ref()),
            mine: diff.clone(),
            theirs: diff_if_known(base.doc.as_ref(), now.doc.as_ref()),
        }))),
        PublishOutcome::NoEffect(e) => Err(Failure::Unavailable(format!("writing the head: {e}"))),
        PublishOutcome::Unknown => Err(Failure::OutcomeUnknown(format!(
            "look for token {} in `fireflyctl config version`",
            head.token
        ))),
    }
}

fn diff_if_known(from: Option<&Document>, to: Option<&Document>) -> Option<Diff> {
    Some(Diff::between(from?, to?))
}

fn author_or_unknown(head: Option<&Head>) -> String {
    let author = head.map_or("", |h| &*h.by);
    if author.is_empty() {
        "an unknown operator"
    } else {
        author
    }
    .to_owned()
}
