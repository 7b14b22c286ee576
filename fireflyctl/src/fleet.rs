//! Client of the nodes' admin ports.

use crate::failure::{Failure, Result};
use anyhow::Context;
use fireflycroft::{ConfigBundle, Digest};
use futures_util::{StreamExt, stream};
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum number of nodes queried concurrently.
const MAX_CONCURRENT_NODES: usize = 32;

/// Client of the nodes' admin ports.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    http: reqwest::Client,
    nodes: Vec<String>,
}

/// Status reported by a node; fields unknown to the node are absent.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct NodeStatus {
    pub(crate) name: String,
    pub(crate) role: String,
    pub(crate) data_centre: String,
    pub(crate) config_version: u64,
    /// Digest of the active configuration; `None` from a node that has none or
    /// doesn't report it.
    pub(crate) config_digest: Option<String>,
    pub(crate) streams: u64,
    pub(crate) queue: u64,
    pub(crate) leaving: bool,
}

impl NodeStatus {
    /// Returns whether the node's active content differs from that of `digest`.
    pub(crate) fn conflicts_with(&self, digest: Digest) -> bool {
        let own = self.config_digest.as_ref();
        own.is_some_and(|own| *own != digest.to_string())
    }
}

/// Node address with its answer, or the reason why there is none.
pub(crate) type Answer<T> = (String, std::result::Result<T, String>);

impl Fleet {
    /// Creates a client of these `host:port` addresses, with a timeout for each call.
    pub(crate) fn new(nodes: Vec<String>, timeout: Duration) -> Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(timeout)
            .build()
            .context("HTTP client")?;
        Ok(Self { http, nodes })
    }

    /// Returns the admin addresses of the nodes.
    pub(crate) fn nodes(&self) -> &[String] {
        &self.nodes
    }

    /// Fails when no nodes are given.
    pub(crate) fn require_nodes(&self) -> Result<()> {
        if self.nodes.is_empty() {
            return Err(Failure::Usage("--nodes HOST:PORT,… is needed".to_owned()));
        }
        Ok(())
    }

    /// Fetches the status of every node, in the order given.
    pub(crate) async fn statuses(&self) -> Vec<Answer<NodeStatus>> {
        self.query_all("/status").await
    }

    /// Fetches the readiness of every node, in the order given: `ready` or a reason.
    pub(crate) async fn readiness(&self) -> Vec<String> {
        stream::iter(&self.nodes)
            .map(|node| self.readiness_of(node))
            .buffered(MAX_CONCURRENT_NODES)
            .collect()
            .await
    }

    async fn readiness_of(&self, node: &str) -> String {
        let res = match self.get(node, "/health/ready").await {
            Ok(res) => res.text().await,
            Err(e) => Err(e),
        };
        res.map_or_else(|e| root_cause(&e), |text| text.trim().to_owned())
    }

    /// Fetches the status of a node.
    pub(crate) async fn status(&self, node: &str) -> std::result::Result<NodeStatus, String> {
        self.query(node, "/status").await
    }

    /// Tells a direct entry to release a refused part of prompts; returns whether it was refused there.
    pub(crate) async fn release_part(&self, node: &str, part: u64) -> Result<bool> {
        let url = format!("http://{node}/fleet/parts/release?part={part:x}");
        let res = self.http.post(url).send().await;
        let res = res.map_err(unreachable(node))?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(false);
        }
        res.error_for_status().map_err(unreachable(node))?;
        Ok(true)
    }

    /// Tells a node to drain.
    pub(crate) async fn drain(&self, node: &str) -> Result<()> {
        let req = self.http.post(format!("http://{node}/drain"));
        let res = req.send().await.map_err(unreachable(node))?;
        res.error_for_status().map_err(unreachable(node))?;
        Ok(())
    }

    /// Fetches the metrics of every node as text, in the order given.
    pub(crate) async fn metrics(&self) -> Vec<Answer<String>> {
        stream::iter(&self.nodes)
            .map(async |node| (node.clone(), self.fetch_text(node, "/metrics").await))
            .buffered(MAX_CONCURRENT_NODES)
            .collect()
            .await
    }

    async fn fetch_text(&self, node: &str, path: &str) -> std::result::Result<String, String> {
        let res = self.get(node, path).await.map_err(|e| root_cause(&e))?;
        let res = res.error_for_status().map_err(|e| root_cause(&e))?;
        res.text().await.map_err(|e| root_cause(&e))
    }

    /// Sends a `GET` to every node; returns the answers in the order given.
    pub(crate) async fn query_all<T: DeserializeOwned>(&self, path: &str) -> Vec<Answer<T>> {
        stream::iter(&self.nodes)
            .map(async |node| (node.clone(), self.query(node, path).await))
            .buffered(MAX_CONCURRENT_NODES)
            .collect()
            .await
    }

    /// Fetches a node's configuration; returns `None` when the node doesn't show it.
    pub(crate) async fn bundle(&self, node: &str) -> Result<Option<ConfigBundle>> {
        let res = self.get(node, "/config").await.map_err(unreachable(node))?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let bundle = res.json().await.map_err(unreachable(node))?;
        Ok(Some(bundle))
    }

    async fn query<T: DeserializeOwned>(
        &self,
        node: &str,
        path: &str,
    ) -> std::result::Result<T, String> {
        let res = self.get(node, path).await.map_err(|e| root_cause(&e))?;
        let res = res.error_for_status().map_err(|e| root_cause(&e))?;
        res.json().await.map_err(|e| root_cause(&e))
    }

    async fn get(&self, node: &str, path: &str) -> reqwest::Result<reqwest::Response> {
        self.http.get(format!("http://{node}{path}")).send().await
    }
}

fn unreachable(node: &str) -> impl Fn(reqwest::Error) -> Failure {
    move |e| Failure::Unavailable(format!("{node}: {}", root_cause(&e)))
}

/// Returns the innermost cause, which is the most specific.
fn root_cause(e: &reqwest::Error) -> String {
    let mut inner: &dyn std::error::Error = e;
    while let Some(next) = inner.source() {
        inner = next;
    }
    inner.to_string()
}
