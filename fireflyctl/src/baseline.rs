//! Baseline of a change: the platform's document, or a node's if the platform
//! went back to an older state.
//!
//! Nodes never go back, so a platform that was restored to an older state
//! holds a lower version than their active one. The baseline is then taken from
//! a node, so that the next change doesn't undo what was accepted meanwhile.

use crate::console::Console;
use crate::failure::{Failure, Result};
use crate::fleet::{Fleet, NodeStatus};
use crate::publish::{self, StoredConfig};
use crate::store::Store;
use fireflycroft::Document;

/// Configuration that a change is based on.
#[derive(Clone, Debug)]
pub(crate) struct Baseline {
    /// Configuration on the platform, whose head the change replaces.
    pub(crate) base: StoredConfig,
    /// Active document.
    pub(crate) doc: Document,
    /// Version above the platform's and those of all nodes.
    pub(crate) next_version: u64,
    /// Whether to write the platform's head even without a change, as nodes
    /// have other content active.
    pub(crate) needs_write: bool,
}

impl Baseline {
    /// Determines the baseline from the platform and the nodes.
    pub(crate) async fn find(
        store: &impl Store,
        fleet: &Fleet,
        from_platform: bool,
        console: &mut Console<'_>,
    ) -> Result<Self> {
        let base = publish::read_stored_config(store).await?;
        let nodes = responding_nodes(fleet, console).await?;
        let highest_node = nodes.iter().max_by_key(|(_, status)| status.config_version);
        let highest_version = highest_node.map_or(0, |(_, status)| status.config_version);
        let doc = baseline_document(&base, highest_node, from_platform, fleet, console).await?;
        Ok(Self {
            doc,
            next_version: 1 + base.version().max(highest_version),
            needs_write: highest_version > base.version() || has_conflict(&base, &nodes),
            base,
        })
    }
}

/// Responding nodes, with their status.
type Nodes = Vec<(String, NodeStatus)>;

async fn responding_nodes(fleet: &Fleet, console: &mut Console<'_>) -> Result<Nodes> {
    let mut nodes = Nodes::new();
    for (node, answer) in fleet.statuses().await {
        match answer {
            Ok(status) => nodes.push((node, status)),
            Err(error) => console.warn(format!("{node} didn't answer: {error}"))?,
        }
    }
    Ok(nodes)
}

/// Returns whether a node has other content active under the platform's version.
fn has_conflict(base: &StoredConfig, nodes: &Nodes) -> bool {
    base.head.as_ref().is_some_and(|head| {
        let conflicts_with = |status: &NodeStatus| {
            status.config_version == head.version && status.conflicts_with(head.digest)
        };
        nodes.iter().any(|(_, status)| conflicts_with(status))
    })
}

/// Returns the platform's document, or a node's when that node is ahead of the
/// platform or parts are missing there.
async fn baseline_document(
    base: &StoredConfig,
    highest_node: Option<&(String, NodeStatus)>,
    from_platform: bool,
    fleet: &Fleet,
    console: &mut Console<'_>,
) -> Result<Document> {
    let stored_version = base.version();
    let is_ahead =
        |status: &NodeStatus| status.config_version > stored_version || base.doc.is_none();
    let Some((node, status)) = highest_node.filter(|(_, status)| is_ahead(status)) else {
        return Ok(base.document()?.clone());
    };
    let version = status.config_version;
    let state = if base.doc.is_none() { "parts of " } else { "" };
    console.warn(format!(
        "{node} has version {version} active, the platform holds {state}version {stored_version}: \
         it went back"
    ))?;
    if from_platform {
        return Ok(base.document()?.clone());
    }
    document_from_node(node, version, stored_version, fleet).await
}

/// Fetches the document of a node on which `version` is active.
async fn document_from_node(
    node: &str,
    version: u64,
    stored_version: u64,
    fleet: &Fleet,
) -> Result<Document> {
    let bundle = fleet.bundle(node).await?.ok_or_else(|| {
        Failure::Unavailable(format!(
            "{node} doesn't show version {version}, so changes accepted since version {stored_version} \
             can't be kept; --from-platform continues without them"
        ))
    })?;
    if bundle.head.version < version.max(stored_version) {
        let shown = bundle.head.version;
        let reason = format!("{node} shows only version {shown}");
        return Err(Failure::Unavailable(reason));
    }
    let doc = bundle.document().map_err(anyhow::Error::from)?;
    Ok(doc)
}
