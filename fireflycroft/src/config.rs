//! The configuration in force: ready for look-ups, never going back.
//!
//! `compile` makes a [`Config`] of a document. [`InForce`] keeps the highest version a process has seen. A lower one is
//! not taken, whoever sends it; the same version with other content is a
//! conflict, which keeps what is in force.

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

/// Inventory and rules as they are stored and carried.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The inventory.
    pub inventory: Inventory,
    /// The rules.
    #[serde(default)]
    pub rules: Rules,
}

/// A checked configuration, ready for look-ups.
#[derive(Debug)]
pub struct Config {
    /// Its version.
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

/// A brand, ready for look-ups.
#[derive(Debug)]
pub(crate) struct BrandEntry {
    pub(crate) name: Name,
    /// Models and plain services that it may use.
    pub(crate) targets: HashSet<Name>,
}

/// A workspace, ready for look-ups.
#[derive(Debug)]
pub(crate) struct WorkspaceEntry {
    pub(crate) name: Name,
    pub(crate) brand: BrandIx,
    pub(crate) default: Priority,
    pub(crate) highest: Priority,
    pub(crate) tokens_per_minute: Option<u64>,
}

/// Calls of one target that may not be repeated.
#[derive(Debug, Default)]
pub(crate) struct CallRules {
    /// Those of every workspace.
    pub(crate) general: Vec<CallRule>,
    /// Those of one workspace.
    pub(crate) own: HashMap<WorkspaceIx, Vec<CallRule>>,
}

/// Which calls of a target a rule is for.
#[derive(Debug)]
pub(crate) struct CallRule {
    /// HTTP method; every method when absent.
    pub(crate) method: Option<Name>,
    /// Head of the path; every path when absent.
    pub(crate) path: Option<Name>,
}

/// Digest of a caller's key, as the inventory holds it.
#[must_use]
pub fn digest_key(key: &str) -> [u8; 32] {
    *blake3::hash(key.as_bytes()).as_bytes()
}

impl Config {
    /// Workspace that holds the key of this digest.
    #[must_use]
    pub fn workspace_of_key(&self, key_digest: &[u8; 32]) -> Option<WorkspaceIx> {
        self.by_key.get(key_digest).copied()
    }

    /// Name of a workspace.
    #[must_use]
    pub fn workspace_name(&self, ix: WorkspaceIx) -> &Name {
        &self.workspaces[ix.0 as usize].name
    }

    /// Name of a workspace's brand.
    #[must_use]
    pub fn brand_name(&self, ix: WorkspaceIx) -> &Name {
        &self.brand_of(ix).name
    }

    /// Whether the workspace's brand may use that model or plain service.
    #[must_use]
    pub fn may_use(&self, ix: WorkspaceIx, target: &str) -> bool {
        self.brand_of(ix).targets.contains(target)
    }

    /// Priority of a request that asks for `asked`.
    #[must_use]
    pub fn priority(&self, ix: WorkspaceIx, requested: Option<Priority>) -> Priority {
        let workspace = &self.workspaces[ix.0 as usize];
        requested
            .unwrap_or(workspace.default)
            .min(workspace.highest)
    }

    /// Tokens a minute that the workspace may use; `None` for no quota.
    #[must_use]
    pub fn tokens_per_minute(&self, ix: WorkspaceIx) -> Option<u64> {
        self.workspaces[ix.0 as usize].tokens_per_minute
    }

    /// Whether a rule forbids to repeat such a request.
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

    /// What becomes of a non-repeatable request without a key.
    #[must_use]
    pub const fn without_key(&self) -> WithoutKey {
        self.without_key
    }

    /// Longest wait before a request of that priority begins.
    #[must_use]
    pub const fn max_wait(&self, priority: Priority) -> Duration {
        match priority {
            Priority::Interactive => self.interactive_wait,
            Priority::Batch => self.batch_wait,
        }
    }

    /// Objective of a brand's requests of one priority.
    #[must_use]
    pub fn objective(&self, brand: &str, priority: Priority) -> Option<&Objective> {
        find_objective(&self.objectives, brand, priority)
    }

    /// Models with the number of engines that should hold each.
    pub fn models(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.models.iter().map(|(name, replicas)| (name, *replicas))
    }

    /// Whether that is a plain service.
    #[must_use]
    pub fn is_service(&self, target: &str) -> bool {
        self.services.contains(target)
    }

    /// Number of workspaces.
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

/// What became of a configuration that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It is in force now.
    Activated,
    /// It was in force already.
    Unchanged,
    /// It is lower than what is in force.
    Outdated,
    /// It has the version in force, but other content.
    Conflict,
}

/// The configuration in force at one process.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfig {
    config: Option<Arc<Config>>,
    highest_seen: ConfigVersion,
}

impl ActiveConfig {
    /// The configuration; `None` before the first.
    #[must_use]
    pub fn get(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Version in force; zero before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.config.as_ref().map_or(ConfigVersion(0), |c| c.version)
    }

    /// Takes a configuration when it is higher than the one in force.
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

    /// Notes that a peer holds `version`; true when this side is behind.
    pub fn observe_version(&mut self, version: ConfigVersion) -> bool {
        self.highest_seen = self.highest_seen.max(version);
        self.is_lagging()
    }

    /// Whether a higher version is known to be in force elsewhere.
    #[must_use]
    pub fn is_lagging(&self) -> bool {
        self.highest_seen > self.version()
    }
}
