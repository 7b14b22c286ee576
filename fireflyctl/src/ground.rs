//! What a change is laid on: the platform's document, or that of a node when
//! the platform went back.
//!
//! Nodes never go back, so a platform that was restored to an older state
//! holds a lower version than they have in force. What was accepted meanwhile
//! must not be undone by the next change, so it is taken from a node.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::{Fleet, NodeStatus};
use crate::publish::{self, Base};
use crate::store::Store;
use fireflycroft::Document;

/// What a change is laid on.
#[derive(Clone, Debug)]
pub(crate) struct Ground {
    /// What the platform holds, whose head the change replaces.
    pub(crate) base: Base,
    /// What is in force.
    pub(crate) doc: Document,
    /// Version that is above the platform's and all nodes'.
    pub(crate) next_version: u64,
    /// Whether the platform's head must be written even when nothing
    /// changes, since nodes have something else in force.
    pub(crate) must_write: bool,
}

impl Ground {
    /// Looks at the platform and the nodes.
    pub(crate) async fn find(
        store: &impl Store,
        fleet: &Fleet,
        from_platform: bool,
        console: &mut Console<'_>,
    ) -> Result<Self> {
        let base = publish::base(store).await?;
        let nodes = answers(fleet, console).await?;
        let highest = nodes.iter().max_by_key(|(_, status)| status.config_version);
        let most = highest.map_or(0, |(_, status)| status.config_version);
        let doc = document(&base, highest, from_platform, fleet, console).await?;
        Ok(Self {
            doc,
            next_version: 1 + base.version().max(most),
            must_write: most > base.version() || has_rival(&base, &nodes),
            base,
        })
    }
}

/// Nodes that answer, with their status.
type Nodes = Vec<(String, NodeStatus)>;

async fn answers(fleet: &Fleet, console: &mut Console<'_>) -> Result<Nodes> {
    let mut nodes = Nodes::new();
    for (node, answer) in fleet.statuses().await {
        match answer {
            Ok(status) => nodes.push((node, status)),
            Err(why) => console.warn(format!("{node} didn't answer: {why}"))?,
        }
    }
    Ok(nodes)
}

/// Whether a node has other content in force under the platform's version.
fn has_rival(base: &Base, nodes: &Nodes) -> bool {
    base.head.as_ref().is_some_and(|head| {
        let is_rival = |status: &NodeStatus| {
            status.config_version == head.version && status.is_rival(head.digest)
        };
        nodes.iter().any(|(_, status)| is_rival(status))
    })
}

/// The platform's document, unless a node is ahead of it or parts of it are
/// gone; then the node's.
async fn document(
    base: &Base,
    highest: Option<&(String, NodeStatus)>,
    from_platform: bool,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<Document> {
    let held = base.version();
    let is_ahead = |status: &NodeStatus| status.config_version > held || base.doc.is_none();
    let Some((node, status)) = highest.filter(|(_, status)| is_ahead(status)) else {
        return Ok(base.document()?.clone());
    };
    let version = status.config_version;
    let state = if base.doc.is_none() { "parts of " } else { "" };
    console.warn(format!(
        "{node} has version {version} in force, the platform holds {state}version {held}: \
         it went back"
    ))?;
    if from_platform {
        return Ok(base.document()?.clone());
    }
    document_of(node, version, held, fleet).await
}

/// Document of a node that has `version` in force.
async fn document_of(node: &str, version: u64, held: u64, fleet: &Fleet) -> Result<Document> {
    let bundle = fleet.bundle(node).await?.ok_or_else(|| {
        Failure::Unavailable(format!(
            "{node} doesn't show version {version}, so what was accepted since version {held} \
             can't be kept; --from-platform goes on without it"
        ))
    })?;
    if bundle.head.version < version.max(held) {
        let shown = bundle.head.version;
        let why = format!("{node} shows version {shown} alone");
        return Err(Failure::Unavailable(why));
    }
    let doc = bundle.document().map_err(anyhow::Error::from)?;
    Ok(doc)
}
