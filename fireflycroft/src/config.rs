//! The active configuration: compiled for look-ups, with versions that only increase.
//!
//! `compile` turns a document into a [`Config`]. [`ActiveConfig`] keeps the highest
//! version that a process has received. A lower version is rejected; the same version
//! with other content is a conflict, and the active configuration is kept.

use crate::ids::{Digest, Name};
use crate::inventory::{Inventory, Objective, Rules, WithoutKey, find_objective};
use crate::message::ConfigVersion;
use crate::work::Priority;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Index of a workspace in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkspaceIx(pub(crate) u32);

/// Index of a brand in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BrandIx(pub(crate) u32);

/// Inventory and rules, as stored and transferred.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The inventory.
    pub inventory: Inventory,
    /// The rules.
    #[serde(default)]
    pub rules: Rules,
}

/// A validated configuration, compiled for look-ups.
#[derive(Debug)]
pub struct Config {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Digest of the document it was compiled from.
    pub digest: Digest,
    pub(crate) brands: Vec<BrandEntry>,
    pub(crate) workspaces: Vec<WorkspaceEntry>,
    pub(crate) by_key: HashMap<[u8; 32], WorkspaceIx>,
    pub(crate) non_repeatable: HashMap<Name, CallRules>,
    pub(crate) without_key: WithoutKey,
    pub(crate) objectives: Vec<Objective>,
    pub(crate) models: Vec<(Name, u32)>,
    pub(crate) services: HashSet<Name>,
    pub(crate) interactive_wait: Duration,
    pub(crate) batch_wait: Duration,
}

/// A brand, compiled for look-ups.
#[derive(Debug)]
pub(crate) struct BrandEntry {
    pub(crate) name: Name,
    /// Models and plain services that the brand may use.
    pub(crate) targets: HashSet<Name>,
}

/// A workspace, compiled for look-ups.
#[derive(Debug)]
pub(crate) struct WorkspaceEntry {
    pub(crate) name: Name,
    pub(crate) brand: BrandIx,
    pub(crate) default: Priority,
    pub(crate) highest: Priority,
    pub(crate) tokens_per_minute: Option<u64>,
}

/// Calls to one target that must not be retried.
#[derive(Debug, Default)]
pub(crate) struct CallRules {
    /// Rules for every workspace.
    pub(crate) general: Vec<CallRule>,
    /// Rules for one workspace.
    pub(crate) own: HashMap<WorkspaceIx, Vec<CallRule>>,
}

/// A pattern of calls to a target.
#[derive(Debug)]
pub(crate) struct CallRule {
    /// HTTP method; every method when absent.
    pub(crate) method: Option<Name>,
    /// Prefix of the path; every path when absent.
    pub(crate) path: Option<Name>,
}

/// Returns the digest of a caller's key, as the inventory stores it.
#[must_use]
pub fn digest_key(key: &str) -> [u8; 32] {
    *blake3::hash(key.as_bytes()).as_bytes()
}

impl Config {
    /// Returns the workspace that has the key with this digest.
    #[must_use]
    pub fn workspace_of_key(&self, key_digest: &[u8; 32]) -> Option<WorkspaceIx> {
        self.by_key.get(key_digest).copied()
    }

    /// Returns the name of a workspace.
    #[must_use]
    pub fn workspace_name(&self, ix: WorkspaceIx) -> &Name {
        &self.workspaces[ix.0 as usize].name
    }

    /// Returns the name of a workspace's brand.
    #[must_use]
    pub fn brand_name(&self, ix: WorkspaceIx) -> &Name {
        &self.brand_of(ix).name
    }

    /// Returns whether the workspace's brand may use that model or plain service.
    #[must_use]
    pub fn may_use(&self, ix: WorkspaceIx, target: &str) -> bool {
        self.brand_of(ix).targets.contains(target)
    }

    /// Returns the priority of a request: the requested or default one, limited to the
    /// workspace's highest.
    #[must_use]
    pub fn priority(&self, ix: WorkspaceIx, requested: Option<Priority>) -> Priority {
        let workspace = &self.workspaces[ix.0 as usize];
        requested
            .unwrap_or(workspace.default)
            .min(workspace.highest)
    }

    /// Returns the workspace's quota in tokens per minute; `None` if it has no quota.
    #[must_use]
    pub fn tokens_per_minute(&self, ix: WorkspaceIx) -> Option<u64> {
        self.workspaces[ix.0 as usize].tokens_per_minute
    }

    /// Returns whether a rule forbids retrying such a request.
    #[must_use]
    pub fn is_non_retryable(
        &self,
        ix: WorkspaceIx,
        target: &str,
        method: &str,
        path: &str,
    ) -> bool {
        let Some(rules) = self.non_repeatable.get(target) else {
            return false;
        };
        let own = rules.own.get(&ix).into_iter().flatten();
        let mut all = rules.general.iter().chain(own);
        all.any(|rule| rule.matches(method, path))
    }

    /// Returns the handling of non-retryable requests without an idempotency key.
    #[must_use]
    pub const fn without_key(&self) -> WithoutKey {
        self.without_key
    }

    /// Returns the longest wait before a request of that priority starts.
    #[must_use]
    pub const fn max_wait(&self, priority: Priority) -> Duration {
        match priority {
            Priority::Interactive => self.interactive_wait,
            Priority::Batch => self.batch_wait,
        }
    }

    /// Returns the objective for a brand's requests of one priority.
    #[must_use]
    pub fn objective(&self, brand: &str, priority: Priority) -> Option<&Objective> {
        find_objective(&self.objectives, brand, priority)
    }

    /// Returns the models, each with the number of engines that should hold it.
    pub fn models(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.models.iter().map(|(name, replicas)| (name, *replicas))
    }

    /// Returns whether `target` is a plain service.
    #[must_use]
    pub fn is_service(&self, target: &str) -> bool {
        self.services.contains(target)
    }

    /// Returns the number of workspaces.
    #[must_use]
    pub fn workspaces(&self) -> usize {
        self.workspaces.len()
    }

    fn brand_of(&self, ix: WorkspaceIx) -> &BrandEntry {
        let brand = self.workspaces[ix.0 as usize].brand;
        &self.brands[brand.0 as usize]
    }
}

impl CallRule {
    fn matches(&self, method: &str, path: &str) -> bool {
        let of_method = |m: &Name| m.eq_ignore_ascii_case(method);
        let of_path = |p: &Name| path.starts_with(&**p);
        self.method.as_ref().is_none_or(of_method) && self.path.as_ref().is_none_or(of_path)
    }
}

/// Result of offering a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is active now.
    Activated,
    /// It was active already.
    Unchanged,
    /// Its version is lower than the active one.
    Outdated,
    /// It has the active version, but other content.
    Conflict,
}

/// The active configuration of one process.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    config: Option<Arc<Config>>,
    highest_seen: ConfigVersion,
}

impl ActiveConfig {
    /// Returns the configuration; `None` before the first.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the active version; zero before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |c| c.version)
    }

    /// Activates a configuration if its version is higher than the active one.
    pub fn adopt(&mut self, config: Arc<Config>) -> AdoptOutcome {
        let held = self.version();
        if config.version < held {
            return AdoptOutcome::Outdated;
        }
        if let Some(own) = self.config.as_ref().filter(|c| c.version == config.version) {
            let same = own.digest == config.digest;
            return if same {
                AdoptOutcome::Unchanged
            } else {
                AdoptOutcome::Conflict
            };
        }
        self.observe_version(config.version);
        self.config = Some(config);
        AdoptOutcome::Activated
    }

    /// Records that a peer has `version`; returns whether this process is lagging.
    pub fn observe_version(&mut self, version: ConfigVersion) -> bool {
        self.highest_seen = self.highest_seen.max(version);
        self.is_lagging()
    }

    /// Returns whether a higher version is known to be active elsewhere.
    #[must_use]
    pub fn is_lagging(&self) -> bool {
        self.highest_seen > self.version()
    }
}
