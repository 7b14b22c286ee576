//! `inventory`, `rules` and `config restore`: `plan` shows what would change,
//! `apply` changes it.

use crate::check::{Half, check};
use crate::console::Console;
use crate::failure::{Conflict, Failure, Result};
use crate::fleet::Fleet;
use crate::ground::Ground;
use crate::keys;
use crate::publish::{self, Base, Outcome};
use crate::record::now_ms;
use crate::store::Store;
use crate::wait;
use anyhow::Context;
use fireflycroft::{ConfigVersion, Diff, Document, Head, Name, split};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Where the content of a change comes from.
#[derive(Clone, Debug)]
pub(crate) enum Source {
    /// A file, for one half.
    File(Half, PathBuf),
    /// What the nodes have in force, for a platform that went back.
    Nodes,
}

/// What is to be put in force.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    /// Where the content comes from.
    pub(crate) source: Source,
    /// Whether only to show the difference.
    pub(crate) dry_run: bool,
    /// Whether the difference is shown as JSON.
    pub(crate) json: bool,
    /// Version that the operator planned on.
    pub(crate) expect: Option<u64>,
    /// Whether to build on the platform's state though nodes are ahead of it.
    pub(crate) from_platform: bool,
    /// Who changes it.
    pub(crate) by: Name,
    /// How long to wait until the nodes have it in force.
    pub(crate) wait: Option<Duration>,
}

/// Shows and, unless it is a dry run, makes the change.
pub(crate) async fn change(
    change: &Change,
    store: &impl Store,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<()> {
    if change.wait.is_some() || matches!(change.source, Source::Nodes) {
        fleet.require_nodes()?;
    }
    let ground = Ground::find(store, fleet, change.from_platform, console).await?;
    let doc = match &change.source {
        Source::File(half, path) => read(*half, path, &ground.doc)?,
        Source::Nodes => ground.doc.clone(),
    };
    let mine = Diff::between(&ground.doc, &doc);
    show_diff(change, &mine, console)?;
    expect_version(change, store, &ground.base, &mine).await?;
    if change.dry_run {
        return say_plan(&ground.base, &mine, console);
    }
    let head = put_in_force(change, store, &ground, &doc, &mine, console).await?;
    match change.wait {
        Some(time) => wait::in_force(&head, time, fleet, console).await,
        None => Ok(()),
    }
}

/// Publishes the document, unless it is in force already.
async fn put_in_force(
    change: &Change,
    store: &impl Store,
    ground: &Ground,
    doc: &Document,
    mine: &Diff,
    console: &mut Console<'_>,
) -> Result<Head> {
    if let Some(head) = ground.base.sound_head()
        && mine.is_empty()
        && !ground.must_write
    {
        console.say(format!("version {} holds this already", head.version))?;
        return Ok(head.clone());
    }
    let head = publish(change, store, ground, doc, mine).await?;
    console.say(format!("version {} is accepted", head.version))?;
    Ok(head)
}

fn read(half: Half, path: &Path, ground: &Document) -> Result<Document> {
    let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
    check(half, &text, ground).map_err(|faults| Failure::Faults(path.to_owned(), faults))
}

fn show_diff(change: &Change, mine: &Diff, console: &mut Console<'_>) -> Result<()> {
    if change.json {
        console.json(mine)
    } else {
        console.say(mine)
    }
}

fn say_plan(base: &Base, mine: &Diff, console: &mut Console<'_>) -> Result<()> {
    let version = base.version();
    if mine.is_empty() {
        return console.warn(format!("version {version} holds this already"));
    }
    console.warn(format!(
        "planned on version {version}; apply with --expect {version} to be told of other changes"
    ))
}

/// Fails when another version is in force than the operator planned on.
async fn expect_version(
    change: &Change,
    store: &impl Store,
    base: &Base,
    mine: &Diff,
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
        base: expected,
        version: head.version,
        by: author(Some(head)),
        mine: mine.clone(),
        theirs: diff_of(planned_on.as_ref(), base.doc.as_ref()),
    })))
}

async fn publish(
    change: &Change,
    store: &impl Store,
    ground: &Ground,
    doc: &Document,
    mine: &Diff,
) -> Result<Head> {
    let (base, version) = (&ground.base, ground.next_version);
    let snapshot = split(doc).map_err(anyhow::Error::from)?;
    let head = snapshot
        .head(
            ConfigVersion(version),
            now_ms(),
            change.by.clone(),
            keys::token()?,
        )
        .after(base.head.as_ref());
    publish::put_parts(store, &snapshot, base.sound_head()).await?;
    publish::put_past(store, &head).await?;
    match publish::publish_head(store, base, &head).await? {
        Outcome::Accepted => {
            publish::confirm_parts(store, &snapshot).await?;
            Ok(head)
        }
        Outcome::Replaced(now) => Err(Failure::Replaced {
            version,
            by: author(Some(&now)),
            now: now.version,
        }),
        Outcome::Lost(now) => Err(Failure::Conflict(Box::new(Conflict {
            base: base.version(),
            version: now.version(),
            by: author(now.head.as_ref()),
            mine: mine.clone(),
            theirs: diff_of(base.doc.as_ref(), now.doc.as_ref()),
        }))),
        Outcome::NoEffect(e) => Err(Failure::Unavailable(format!("the head: {e}"))),
        Outcome::Unknown => Err(Failure::Unknown(format!(
            "look for token {} in `fireflyctl config version`",
            head.token
        ))),
    }
}

fn diff_of(from: Option<&Document>, to: Option<&Document>) -> Option<Diff> {
    Some(Diff::between(from?, to?))
}

fn author(head: Option<&Head>) -> String {
    let by = head.map_or("", |h| &*h.by);
    if by.is_empty() { "somebody" } else { by }.to_owned()
}
