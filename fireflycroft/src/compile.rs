//! Validation of a configuration and its compilation for look-ups.
//!
//! Items are read one by one as they are stored in the parts, and only what look-ups
//! need is kept, so that a process never holds a large document. Validation continues
//! after a fault, so that an operator sees all faults at once. Invalid items are kept as
//! far as possible, so that one fault does not cause others. Keys are never shown in a
//! fault, as a key may have been entered in place of its digest.

use crate::config::{
    BrandEntry, BrandIx, CallRule, CallRules, Config, Document, WorkspaceEntry, WorkspaceIx,
};
use crate::ids::{Digest, Name};
use crate::inventory::{Brand, Inventory, PriorityRule, Quota, Rules, Workspace};
use crate::message::ConfigVersion;
use crate::snapshot::{Head, Item, Part, add_item, items, read_items};
use crate::snapshot_error::SnapshotError;
use crate::work::Priority;
use std::collections::{HashMap, HashSet};
use std::fmt::Debug;
use std::time::Duration;

/// Most workspaces that one configuration may hold.
pub const MAX_WORKSPACES: usize = 200_000;
/// Longest name, in bytes.
pub const MAX_NAME: usize = 128;
/// Highest value of [`crate::Objective::per_mille`].
const PER_MILLE_MAX: u32 = 1_000;
/// Lists in the order in which their faults are reported.
const FAULT_ORDER: [&str; 8] = [
    "brands",
    "workspaces",
    "models",
    "services",
    "priorities",
    "quotas",
    "non_repeatable",
    "objectives",
];

/// A fault in an inventory or in rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Path of the field, such as `workspaces[3].brand`.
    pub field: String,
    /// Description of the fault, with the value.
    pub text: String,
}

/// Validates `doc` and compiles it for look-ups.
///
/// # Errors
///
/// Every fault found, list by list.
pub fn compile(
    version: ConfigVersion,
    digest: Digest,
    doc: &Document,
) -> Result<Config, Vec<ConfigFault>> {
    let mut compiler = Compiler::default();
    for item in items(doc) {
        compiler.add(item);
    }
    compiler.finish(version, digest)
}

/// Validates the parts of a version and compiles them for look-ups, part by part.
///
/// # Errors
///
/// Every fault found, list by list; a part that can't be read is one.
pub fn compile_parts(head: &Head, parts: &[Part]) -> Result<Config, Vec<ConfigFault>> {
    let mut compiler = Compiler::default();
    for (i, part) in parts.iter().enumerate() {
        let items = read_items(part).map_err(|e| vec![unreadable(i, &e)])?;
        for item in items {
            compiler.add(item);
        }
    }
    compiler.finish(head.config_version(), head.digest)
}

fn unreadable(part: usize, e: &SnapshotError) -> ConfigFault {
    ConfigFault {
        field: format!("parts[{part}]"),
        text: e.to_string(),
    }
}

/// State of a compilation.
#[derive(Default)]
struct Compiler {
    /// Items checked at the end, as they may refer to later items.
    deferred: Document,
    brand_ix: HashMap<Name, u32>,
    workspaces: Vec<WorkspaceEntry>,
    workspace_ix: HashMap<Name, u32>,
    by_key: HashMap<[u8; 32], WorkspaceIx>,
    /// Workspaces that have a priority, and those that have a quota.
    with_priority: HashSet<u32>,
    with_quota: HashSet<u32>,
    priorities: usize,
    quotas: usize,
    faults: Vec<ConfigFault>,
}

impl Compiler {
    fn add(&mut self, item: Item) {
        match item {
            Item::Workspace(workspace) => self.add_workspace(workspace),
            Item::Priority(rule) => self.add_priority(&rule),
            Item::Quota(quota) => self.add_quota(&quota),
            Item::Brand(brand) => self.add_brand(brand),
            item => add_item(&mut self.deferred, item),
        }
    }

    fn add_brand(&mut self, brand: Brand) {
        let ix = to_index(self.deferred.inventory.brands.len());
        self.brand_ix.entry(brand.name.clone()).or_insert(ix);
        self.deferred.inventory.brands.push(brand);
    }

    fn add_workspace(&mut self, workspace: Workspace) {
        let i = self.workspaces.len();
        let ix = to_index(i);
        let field = || format!("workspaces[{i}].name");
        self.check_name(&workspace.name, field);
        if self.workspace_ix.contains_key(&workspace.name) {
            self.add_fault(field(), "used twice", &workspace.name);
        }
        let brand = self.brand_ix.get(&workspace.brand).copied();
        if brand.is_none() {
            let field = format!("workspaces[{i}].brand");
            self.add_fault(field, "no such brand", &workspace.brand);
        }
        self.add_keys(WorkspaceIx(ix), &workspace.key_digests);
        self.workspace_ix
            .entry(workspace.name.clone())
            .or_insert(ix);
        self.workspaces.push(WorkspaceEntry {
            name: workspace.name,
            brand: BrandIx(brand.unwrap_or_default()),
            default: Priority::Batch,
            highest: Priority::Interactive,
            tokens_per_minute: None,
        });
    }

    fn add_keys(&mut self, workspace: WorkspaceIx, digests: &[Name]) {
        for (j, text) in digests.iter().enumerate() {
            let field = || format!("workspaces[{}].key_digests[{j}]", workspace.0);
            let Ok(hash) = blake3::Hash::from_hex(text.as_bytes()) else {
                self.add_fault_text(field(), "not 64 hexadecimal digits".to_owned());
                continue;
            };
            if self.by_key.insert(*hash.as_bytes(), workspace).is_some() {
                self.add_fault_text(field(), "held already, here or elsewhere".to_owned());
            }
        }
    }

    fn add_priority(&mut self, rule: &PriorityRule) {
        let i = self.priorities;
        self.priorities += 1;
        if rule.default > rule.highest {
            let detail = "higher than the highest".to_owned();
            self.add_fault_text(format!("priorities[{i}].default"), detail);
        }
        let field = || format!("priorities[{i}].workspace");
        let Some(ix) = self.find_workspace(&rule.workspace, field) else {
            return;
        };
        if !self.with_priority.insert(ix) {
            self.add_fault(field(), "named twice", &rule.workspace);
        }
        let entry = &mut self.workspaces[ix as usize];
        entry.default = rule.default;
        entry.highest = rule.highest;
    }

    fn add_quota(&mut self, quota: &Quota) {
        let i = self.quotas;
        self.quotas += 1;
        let field = || format!("quotas[{i}].workspace");
        let Some(ix) = self.find_workspace(&quota.workspace, field) else {
            return;
        };
        if !self.with_quota.insert(ix) {
            self.add_fault(field(), "named twice", &quota.workspace);
        }
        self.workspaces[ix as usize].tokens_per_minute = Some(quota.tokens_per_minute);
    }

    fn finish(
        mut self,
        version: ConfigVersion,
        digest: Digest,
    ) -> Result<Config, Vec<ConfigFault>> {
        let Document { inventory, rules } = std::mem::take(&mut self.deferred);
        self.check_inventory(&inventory);
        self.check_objectives(&rules);
        let non_repeatable = self.call_rules(&inventory, &rules);
        if self.workspaces.len() > MAX_WORKSPACES {
            let count = self.workspaces.len();
            let detail = format!("{count} workspaces, at most {MAX_WORKSPACES}");
            self.add_fault_text("workspaces".to_owned(), detail);
        }
        if !self.faults.is_empty() {
            self.faults.sort_by_key(|fault| list_rank(&fault.field));
            return Err(self.faults);
        }
        let models = inventory.models.into_iter().map(|m| (m.name, m.replicas));
        Ok(Config {
            version,
            digest,
            brands: inventory.brands.into_iter().map(brand_entry).collect(),
            workspaces: self.workspaces,
            by_key: self.by_key,
            non_repeatable,
            without_key: rules.without_key,
            objectives: rules.objectives,
            models: models.collect(),
            services: inventory.services.into_iter().collect(),
            interactive_wait: Duration::from_millis(rules.interactive_wait_ms),
            batch_wait: Duration::from_millis(rules.batch_wait_ms),
        })
    }

    fn check_inventory(&mut self, inventory: &Inventory) {
        let models: HashSet<&Name> = inventory.models.iter().map(|m| &m.name).collect();
        let services: HashSet<&Name> = inventory.services.iter().collect();
        self.check_names("brands", ".name", inventory.brands.iter().map(|b| &b.name));
        self.check_names("models", ".name", inventory.models.iter().map(|m| &m.name));
        self.check_names("services", "", inventory.services.iter());
        for (i, brand) in inventory.brands.iter().enumerate() {
            self.check_known(
                &format!("brands[{i}].models"),
                "model",
                &brand.models,
                &models,
            );
            let field = format!("brands[{i}].services");
            self.check_known(&field, "service", &brand.services, &services);
        }
        for (i, service) in inventory.services.iter().enumerate() {
            if models.contains(service) {
                self.add_fault(format!("services[{i}]"), "a model has that name", service);
            }
        }
    }

    /// Checks the names of a list and that each is used once.
    fn check_names<'a>(&mut self, list: &str, tail: &str, names: impl Iterator<Item = &'a Name>) {
        let mut seen = HashSet::new();
        for (i, name) in names.enumerate() {
            let field = || format!("{list}[{i}]{tail}");
            self.check_name(name, field);
            if !seen.insert(name) {
                self.add_fault(field(), "used twice", name);
            }
        }
    }

    /// Checks that all names of a list are known.
    fn check_known(&mut self, field: &str, kind: &str, names: &[Name], known: &HashSet<&Name>) {
        for (j, name) in names.iter().enumerate() {
            if !known.contains(name) {
                self.add_fault(format!("{field}[{j}]"), &format!("no such {kind}"), name);
            }
        }
    }

    fn call_rules(&mut self, inventory: &Inventory, rules: &Rules) -> HashMap<Name, CallRules> {
        let models = inventory.models.iter().map(|m| &m.name);
        let targets: HashSet<&Name> = models.chain(&inventory.services).collect();
        let mut by_target: HashMap<Name, CallRules> = HashMap::new();
        for (i, rule) in rules.non_repeatable.iter().enumerate() {
            let field = |name: &str| format!("non_repeatable[{i}].{name}");
            if !targets.contains(&rule.target) {
                self.add_fault(field("target"), "no such model or service", &rule.target);
            }
            if let Some(path) = rule.path.as_ref().filter(|p| !p.starts_with('/')) {
                self.add_fault(field("path"), "doesn't begin with /", path);
            }
            let own = rule.workspace.as_ref();
            let ix = own.and_then(|w| self.find_workspace(w, || field("workspace")));
            let rules = by_target.entry(rule.target.clone()).or_default();
            let list = match ix {
                Some(ix) => rules.own.entry(WorkspaceIx(ix)).or_default(),
                None => &mut rules.general,
            };
            list.push(CallRule {
                method: rule.method.clone(),
                path: rule.path.clone(),
            });
        }
        by_target
    }

    fn check_objectives(&mut self, rules: &Rules) {
        let mut seen = HashSet::new();
        for (i, objective) in rules.objectives.iter().enumerate() {
            let field = |name: &str| format!("objectives[{i}].{name}");
            if let Some(brand) = &objective.brand
                && !self.brand_ix.contains_key(brand)
            {
                self.add_fault(field("brand"), "no such brand", brand);
            }
            if !seen.insert((&objective.brand, objective.priority)) {
                let detail = "there is one of this brand and priority already".to_owned();
                self.add_fault_text(field("priority"), detail);
            }
            if objective.per_mille > PER_MILLE_MAX {
                self.add_fault(field("per_mille"), "over 1000", objective.per_mille);
            }
        }
    }

    fn find_workspace(&mut self, name: &Name, field: impl Fn() -> String) -> Option<u32> {
        let ix = self.workspace_ix.get(name).copied();
        if ix.is_none() {
            self.add_fault(field(), "no such workspace", name);
        }
        ix
    }

    fn check_name(&mut self, name: &Name, field: impl Fn() -> String) {
        let is_bad = |c: char| c.is_whitespace() || c.is_control();
        if name.is_empty() {
            self.add_fault_text(field(), "empty".to_owned());
        } else if name.len() > MAX_NAME {
            let detail = format!("{} bytes, at most {MAX_NAME}", name.len());
            self.add_fault_text(field(), detail);
        } else if name.contains(is_bad) {
            self.add_fault(field(), "holds a space or control character", name);
        }
    }

    fn add_fault(&mut self, field: String, detail: &str, value: impl Debug) {
        self.add_fault_text(field, format!("{detail}: {value:?}"));
    }

    fn add_fault_text(&mut self, field: String, text: String) {
        self.faults.push(ConfigFault { field, text });
    }
}

fn brand_entry(brand: Brand) -> BrandEntry {
    BrandEntry {
        name: brand.name,
        targets: brand.models.into_iter().chain(brand.services).collect(),
    }
}

/// Returns the rank of a field's list in the order of faults.
fn list_rank(field: &str) -> usize {
    let list = field.split('[').next().unwrap_or_default();
    let at = FAULT_ORDER.iter().position(|l| *l == list);
    at.unwrap_or(FAULT_ORDER.len())
}

/// Converts an index to the stored type; longer lists are rejected in any case.
fn to_index(i: usize) -> u32 {
    u32::try_from(i).unwrap_or(u32::MAX)
}
