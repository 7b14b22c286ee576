//! `inventory` and `rules`: `plan` shows what a file would change, `apply`
//! changes it.

use crate::check::{Half, check};
use crate::console::Console;
use crate::failure::{Conflict, Failure, Result};
use crate::fleet::{Answer, Fleet, NodeStatus};
use crate::keys;
use crate::publish::{self, Base, Outcome};
use crate::store::Store;
use anyhow::Context;
use fireflycroft::{ConfigVersion, Diff, Digest, Document, Head, Name, split};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime};

/// Time between two looks at the nodes.
const POLL_EVERY: Duration = Duration::from_millis(200);

/// What is to be done with a file.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    /// Half that the file holds.
    pub(crate) half: Half,
    /// The file.
    pub(crate) file: PathBuf,
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
    if change.wait.is_some() {
        fleet.require_nodes()?;
    }
    let text = std::fs::read_to_string(&change.file)
        .with_context(|| format!("{}", change.file.display()))?;
    let base = publish::base(store).await?;
    let highest = highest_version(fleet, console).await?;
    let doc = base_document(change, &base, highest.as_ref(), fleet, console).await?;
    let doc_now = check(change.half, &text, &doc)
        .map_err(|faults| Failure::Faults(change.file.clone(), faults))?;
    let mine = Diff::between(&doc, &doc_now);
    show_diff(change, &mine, console)?;
    expect_version(change, store, &base, &mine).await?;
    let highest = highest.map_or(0, |(_, version)| version);
    let is_behind = highest > base.version();
    if change.dry_run {
        return say_plan(&base, &mine, console);
    }
    if let Some(head) = base.sound_head().filter(|_| mine.is_empty() && !is_behind) {
        console.say(format!("version {} holds this already", head.version))?;
        return wait_in_force(change, head.version, head.digest, fleet, console).await;
    }
    let version = 1 + base.version().max(highest);
    let head = publish(change, store, &base, &doc_now, version, &mine).await?;
    console.say(format!("version {} is accepted", head.version))?;
    wait_in_force(change, head.version, head.digest, fleet, console).await
}

/// Node that reports the highest version.
async fn highest_version(
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<Option<(String, u64)>> {
    let mut highest: Option<(String, u64)> = None;
    for (node, answer) in fleet.statuses().await {
        match answer {
            Ok(status)
                if highest
                    .as_ref()
                    .is_none_or(|(_, v)| status.config_version > *v) =>
            {
                highest = Some((node, status.config_version));
            }
            Ok(_) => {}
            Err(why) => console.warn(format!("{node} didn't answer: {why}"))?,
        }
    }
    Ok(highest)
}

/// Document that the change is laid on: the platform's, unless a node is
/// ahead of it or parts of it are gone; then the node's.
async fn base_document(
    change: &Change,
    base: &Base,
    highest: Option<&(String, u64)>,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<Document> {
    let held = base.version();
    let ahead = highest.filter(|(_, version)| *version > held || base.doc.is_none());
    let Some((node, version)) = ahead else {
        return Ok(base.document()?.clone());
    };
    let state = if base.doc.is_none() { "parts of " } else { "" };
    console.warn(format!(
        "{node} has version {version} in force, the platform holds {state}version {held}: it went back"
    ))?;
    if change.from_platform {
        return Ok(base.document()?.clone());
    }
    let Some(bundle) = fleet.bundle(node).await? else {
        let why = format!(
            "{node} doesn't show version {version}, so what was accepted since version {held} \
             can't be kept; --from-platform goes on without it"
        );
        return Err(Failure::Unavailable(why));
    };
    if bundle.head.version < held {
        let why = format!("{node} holds only version {}", bundle.head.version);
        return Err(Failure::Unavailable(why));
    }
    let doc = bundle.document().map_err(anyhow::Error::from)?;
    Ok(doc)
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
    base: &Base,
    doc: &Document,
    version: u64,
    mine: &Diff,
) -> Result<Head> {
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

/// Waits until every node reports the version, and says which do.
async fn wait_in_force(
    change: &Change,
    version: u64,
    digest: Digest,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<()> {
    let Some(wait) = change.wait else {
        return Ok(());
    };
    let until = Instant::now() + wait;
    loop {
        let seen = fleet.statuses().await;
        let late: Vec<String> = seen
            .iter()
            .filter(|(_, answer)| !in_force(answer, version, digest))
            .map(|(node, _)| node.clone())
            .collect();
        if late.is_empty() || Instant::now() >= until {
            say_in_force(&seen, version, digest, console)?;
            return if late.is_empty() {
                Ok(())
            } else {
                Err(Failure::NotInForce {
                    version,
                    nodes: late,
                })
            };
        }
        tokio::time::sleep(POLL_EVERY).await;
    }
}

/// Whether a node has the version or a higher one in force, and no rival of
/// the same version.
fn in_force(
    answer: &std::result::Result<NodeStatus, String>,
    version: u64,
    digest: Digest,
) -> bool {
    answer.as_ref().is_ok_and(|s| {
        s.config_version > version || (s.config_version == version && !s.is_rival(digest))
    })
}

fn say_in_force(
    seen: &[Answer<NodeStatus>],
    version: u64,
    digest: Digest,
    console: &mut Console<'_>,
) -> Result<()> {
    for (node, answer) in seen {
        let phrase = match answer {
            Ok(s) if s.config_version == version && s.is_rival(digest) => {
                format!("{} other content as version {version}", s.name)
            }
            Ok(s) if s.config_version < version => {
                format!("{} still at version {}", s.name, s.config_version)
            }
            Ok(s) => format!("{} version {} in force", s.name, s.config_version),
            Err(why) => format!("no answer: {why}"),
        };
        console.say(format!("{node} {phrase}"))?;
    }
    Ok(())
}

fn diff_of(from: Option<&Document>, to: Option<&Document>) -> Option<Diff> {
    Some(Diff::between(from?, to?))
}

fn author(head: Option<&Head>) -> String {
    let by = head.map_or("", |h| &*h.by);
    if by.is_empty() { "somebody" } else { by }.to_owned()
}

fn now_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
