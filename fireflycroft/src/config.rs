//! The configuration in force: compiled for look-up, never going back.
//!
//! [`compile`] checks an inventory and its rules whole and lists every fault.
//! [`InForce`] keeps the highest version a process has seen. A lower one is
//! not taken, whoever sends it; the same version with other content is a
//! conflict, which keeps what is in force.

use crate::ids::{Digest, Name};
use crate::inventory::{Inventory, NonRepeatable, Objective, Rules, WithoutKey};
use crate::message::ConfigVersion;
use crate::work::Priority;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Most workspaces that one configuration may hold.
pub const MAX_WORKSPACES: usize = 200_000;

/// Index of a workspace in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkspaceIx(u32);

/// Index of a brand in its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BrandIx(u32);

/// One fault of an inventory or of rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where, such as `workspaces[3].brand`.
    pub field: String,
    /// What is wrong, with the value.
    pub text: String,
}

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
    brands: Vec<BrandEntry>,
    workspaces: Vec<WorkspaceEntry>,
    by_key: HashMap<[u8; 32], WorkspaceIx>,
    non_repeatable: Vec<NonRepeatable>,
    without_key: WithoutKey,
    objectives: Vec<Objective>,
    models: Vec<(Name, u32)>,
    interactive_wait: Duration,
    batch_wait: Duration,
}

#[derive(Debug)]
struct BrandEntry {
    name: Name,
    targets: HashSet<Name>,
}

#[derive(Debug)]
struct WorkspaceEntry {
    name: Name,
    brand: BrandIx,
    default: Priority,
    highest: Priority,
    tokens_per_minute: Option<u64>,
}

/// Digest of a caller's key, as the inventory holds it.
#[must_use]
pub fn digest_key(key: &str) -> [u8; 32] {
    *blake3::hash(key.as_bytes()).as_bytes()
}

/// Checks `doc` whole and makes it ready for look-ups.
///
/// # Errors
///
/// Every fault found, in the order of the document.
pub fn compile(
    version: ConfigVersion,
    digest: Digest,
    doc: &Document,
) -> Result<Config, Vec<Fault>> {
    let mut faults = Vec::new();
    let brands = compile_brands(doc, &mut faults);
    let mut workspaces = compile_workspaces(doc, &mut faults);
    let by_key = compile_keys(doc, &mut faults);
    apply_rules(&doc.rules, &mut workspaces, &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    Ok(Config {
        version,
        digest,
        brands,
        workspaces,
        by_key,
        non_repeatable: doc.rules.non_repeatable.clone(),
        without_key: doc.rules.without_key,
        objectives: doc.rules.objectives.clone(),
        models: doc
            .inventory
            .models
            .iter()
            .map(|m| (m.name.clone(), m.replicas))
            .collect(),
        interactive_wait: Duration::from_millis(doc.rules.interactive_wait_ms),
        batch_wait: Duration::from_millis(doc.rules.batch_wait_ms),
    })
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
    pub fn priority(&self, ix: WorkspaceIx, asked: Option<Priority>) -> Priority {
        let workspace = &self.workspaces[ix.0 as usize];
        asked.unwrap_or(workspace.default).min(workspace.highest)
    }

    /// Tokens a minute that the workspace may use; `None` for no quota.
    #[must_use]
    pub fn tokens_per_minute(&self, ix: WorkspaceIx) -> Option<u64> {
        self.workspaces[ix.0 as usize].tokens_per_minute
    }

    /// Whether a rule forbids to repeat such a request.
    #[must_use]
    pub fn is_non_repeatable(
        &self,
        ix: WorkspaceIx,
        target: &str,
        method: &str,
        path: &str,
    ) -> bool {
        let workspace = self.workspace_name(ix);
        self.non_repeatable.iter().any(|rule| {
            *rule.target == *target
                && rule
                    .method
                    .as_deref()
                    .is_none_or(|m| m.eq_ignore_ascii_case(method))
                && rule.path.as_deref().is_none_or(|p| path.starts_with(p))
                && rule.workspace.as_ref().is_none_or(|w| w == workspace)
        })
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
        let fits = |o: &&Objective| o.priority == priority;
        let own = |o: &&Objective| o.brand.as_deref() == Some(brand);
        let general = |o: &&Objective| o.brand.is_none();
        let mut of_priority = self.objectives.iter().filter(fits);
        of_priority
            .clone()
            .find(own)
            .or_else(|| of_priority.find(general))
    }

    /// Models with the number of engines that should hold each.
    pub fn models(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.models.iter().map(|(name, replicas)| (name, *replicas))
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

fn compile_brands(doc: &Document, faults: &mut Vec<Fault>) -> Vec<BrandEntry> {
    let models: HashSet<&Name> = doc.inventory.models.iter().map(|m| &m.name).collect();
    let services: HashSet<&Name> = doc.inventory.services.iter().collect();
    let mut seen = HashSet::new();
    let mut brands = Vec::with_capacity(doc.inventory.brands.len());
    for (i, brand) in doc.inventory.brands.iter().enumerate() {
        if brand.name.is_empty() || !seen.insert(&brand.name) {
            add_fault(
                faults,
                format!("brands[{i}].name"),
                "empty or used twice",
                &brand.name,
            );
        }
        for (j, model) in brand.models.iter().enumerate() {
            if !models.contains(model) {
                add_fault(
                    faults,
                    format!("brands[{i}].models[{j}]"),
                    "no such model",
                    model,
                );
            }
        }
        for (j, service) in brand.services.iter().enumerate() {
            if !services.contains(service) {
                add_fault(
                    faults,
                    format!("brands[{i}].services[{j}]"),
                    "no such service",
                    service,
                );
            }
        }
        brands.push(BrandEntry {
            name: brand.name.clone(),
            targets: brand
                .models
                .iter()
                .chain(&brand.services)
                .cloned()
                .collect(),
        });
    }
    brands
}

fn compile_workspaces(doc: &Document, faults: &mut Vec<Fault>) -> Vec<WorkspaceEntry> {
    let list = &doc.inventory.workspaces;
    if list.len() > MAX_WORKSPACES {
        add_fault(
            faults,
            "workspaces".into(),
            "more than the limit",
            &list.len().to_string(),
        );
        return Vec::new();
    }
    let brands: HashMap<&Name, u32> = (0..)
        .zip(&doc.inventory.brands)
        .map(|(i, b)| (&b.name, i))
        .collect();
    let mut seen = HashSet::new();
    let mut workspaces = Vec::with_capacity(list.len());
    for (i, workspace) in list.iter().enumerate() {
        if workspace.name.is_empty() || !seen.insert(&workspace.name) {
            add_fault(
                faults,
                format!("workspaces[{i}].name"),
                "empty or used twice",
                &workspace.name,
            );
        }
        let Some(&brand) = brands.get(&workspace.brand) else {
            add_fault(
                faults,
                format!("workspaces[{i}].brand"),
                "no such brand",
                &workspace.brand,
            );
            continue;
        };
        workspaces.push(WorkspaceEntry {
            name: workspace.name.clone(),
            brand: BrandIx(brand),
            default: Priority::Batch,
            highest: Priority::Interactive,
            tokens_per_minute: None,
        });
    }
    workspaces
}

fn compile_keys(doc: &Document, faults: &mut Vec<Fault>) -> HashMap<[u8; 32], WorkspaceIx> {
    let mut by_key = HashMap::new();
    for (i, workspace) in (0..).zip(&doc.inventory.workspaces) {
        for (j, text) in workspace.key_digests.iter().enumerate() {
            let field = || format!("workspaces[{i}].key_digests[{j}]");
            match blake3::Hash::from_hex(text.as_bytes()) {
                Ok(hash) => {
                    if by_key.insert(*hash.as_bytes(), WorkspaceIx(i)).is_some() {
                        add_fault(faults, field(), "key used twice", text);
                    }
                }
                Err(_) => add_fault(faults, field(), "not 64 hexadecimal digits", text),
            }
        }
    }
    by_key
}

fn apply_rules(rules: &Rules, workspaces: &mut [WorkspaceEntry], faults: &mut Vec<Fault>) {
    let index: HashMap<Name, usize> = workspaces
        .iter()
        .enumerate()
        .map(|(i, w)| (w.name.clone(), i))
        .collect();
    for (i, rule) in rules.priorities.iter().enumerate() {
        let Some(&at) = index.get(&rule.workspace) else {
            add_fault(
                faults,
                format!("priorities[{i}].workspace"),
                "no such workspace",
                &rule.workspace,
            );
            continue;
        };
        workspaces[at].default = rule.default.min(rule.highest);
        workspaces[at].highest = rule.highest;
    }
    for (i, quota) in rules.quotas.iter().enumerate() {
        let Some(&at) = index.get(&quota.workspace) else {
            add_fault(
                faults,
                format!("quotas[{i}].workspace"),
                "no such workspace",
                &quota.workspace,
            );
            continue;
        };
        workspaces[at].tokens_per_minute = Some(quota.tokens_per_minute);
    }
    for (i, objective) in rules.objectives.iter().enumerate() {
        if objective.per_mille > 1_000 {
            let text = objective.per_mille.to_string();
            add_fault(
                faults,
                format!("objectives[{i}].per_mille"),
                "over 1000",
                &text,
            );
        }
    }
}

fn add_fault(faults: &mut Vec<Fault>, field: String, what: &str, value: &str) {
    faults.push(Fault {
        field,
        text: format!("{what}: {value:?}"),
    });
}

/// What became of a configuration that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// It is in force now.
    InForce,
    /// It was in force already.
    Same,
    /// It is lower than what is in force.
    Older,
    /// It has the version in force, but other content.
    Conflict,
}

/// The configuration in force at one process.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    config: Option<Arc<Config>>,
    highest_heard: ConfigVersion,
}

impl InForce {
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
    pub fn adopt(&mut self, config: Arc<Config>) -> Adopted {
        let held = self.version();
        if config.version < held {
            return Adopted::Older;
        }
        if let Some(own) = self.config.as_ref().filter(|c| c.version == config.version) {
            let same = own.digest == config.digest;
            return if same {
                Adopted::Same
            } else {
                Adopted::Conflict
            };
        }
        self.hear(config.version);
        self.config = Some(config);
        Adopted::InForce
    }

    /// Notes that a peer holds `version`; true when this side is behind.
    pub fn hear(&mut self, version: ConfigVersion) -> bool {
        self.highest_heard = self.highest_heard.max(version);
        self.is_behind()
    }

    /// Whether a higher version is known to be in force elsewhere.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.highest_heard > self.version()
    }
}
