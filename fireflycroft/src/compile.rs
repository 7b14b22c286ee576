//! Checks a document whole and makes it ready for look-ups.
//!
//! The check goes on after a fault, so that an operator sees all of them at
//! once; what is at fault is kept as far as it goes, so that one fault makes
//! no others. Digests of keys are never shown in a fault, as an operator may
//! have pasted the key itself.

use crate::config::{
    BrandEntry, BrandIx, CallRule, CallRules, Config, Document, WorkspaceEntry, WorkspaceIx,
};
use crate::ids::{Digest, Name};
use crate::inventory::Objective;
use crate::message::ConfigVersion;
use crate::work::Priority;
use std::collections::{HashMap, HashSet};
use std::fmt::Debug;
use std::time::Duration;

/// Most workspaces that one configuration may hold.
pub const MAX_WORKSPACES: usize = 200_000;
/// Longest name, in bytes.
pub const MAX_NAME: usize = 128;
/// Requests that [`Objective::per_mille`] counts in.
const MILLE: u32 = 1_000;

/// One fault of an inventory or of rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where, such as `workspaces[3].brand`.
    pub field: String,
    /// What is wrong, with the value.
    pub text: String,
}

/// Checks `doc` whole and makes it ready for look-ups.
///
/// # Errors
///
/// Every fault found, list by list.
pub fn compile(
    version: ConfigVersion,
    digest: Digest,
    doc: &Document,
) -> Result<Config, Vec<Fault>> {
    let mut compiler = Compiler::new(doc);
    let brands = compiler.brands();
    let mut workspaces = compiler.workspaces();
    let by_key = compiler.keys();
    let models = compiler.models();
    compiler.services();
    compiler.priorities(&mut workspaces);
    compiler.quotas(&mut workspaces);
    let non_repeatable = compiler.non_repeatable();
    let objectives = compiler.objectives();
    if !compiler.faults.is_empty() {
        return Err(compiler.faults);
    }
    Ok(Config {
        version,
        digest,
        brands,
        workspaces,
        by_key,
        non_repeatable,
        without_key: doc.rules.without_key,
        objectives,
        models,
        interactive_wait: Duration::from_millis(doc.rules.interactive_wait_ms),
        batch_wait: Duration::from_millis(doc.rules.batch_wait_ms),
    })
}

/// A document under check.
struct Compiler<'a> {
    doc: &'a Document,
    /// Place of each brand, by name.
    brand_ix: HashMap<&'a Name, u32>,
    /// Place of each workspace, by name.
    workspace_ix: HashMap<&'a Name, u32>,
    models: HashSet<&'a Name>,
    services: HashSet<&'a Name>,
    faults: Vec<Fault>,
}

impl<'a> Compiler<'a> {
    fn new(doc: &'a Document) -> Self {
        let inventory = &doc.inventory;
        Self {
            doc,
            brand_ix: index(inventory.brands.iter().map(|b| &b.name)),
            workspace_ix: index(inventory.workspaces.iter().map(|w| &w.name)),
            models: inventory.models.iter().map(|m| &m.name).collect(),
            services: inventory.services.iter().collect(),
            faults: Vec::new(),
        }
    }

    fn brands(&mut self) -> Vec<BrandEntry> {
        let doc = self.doc;
        let mut seen = HashSet::new();
        for (i, brand) in doc.inventory.brands.iter().enumerate() {
            self.check_name(&brand.name, &mut seen, || format!("brands[{i}].name"));
            self.check_models(i, &brand.models);
            self.check_services(i, &brand.services);
        }
        let entry = |brand: &crate::inventory::Brand| BrandEntry {
            name: brand.name.clone(),
            targets: brand
                .models
                .iter()
                .chain(&brand.services)
                .cloned()
                .collect(),
        };
        doc.inventory.brands.iter().map(entry).collect()
    }

    fn check_models(&mut self, brand: usize, models: &[Name]) {
        for (j, model) in models.iter().enumerate() {
            if !self.models.contains(model) {
                let field = format!("brands[{brand}].models[{j}]");
                self.add(field, "no such model", model);
            }
        }
    }

    fn check_services(&mut self, brand: usize, services: &[Name]) {
        for (j, service) in services.iter().enumerate() {
            if !self.services.contains(service) {
                let field = format!("brands[{brand}].services[{j}]");
                self.add(field, "no such service", service);
            }
        }
    }

    fn workspaces(&mut self) -> Vec<WorkspaceEntry> {
        let doc = self.doc;
        let list = &doc.inventory.workspaces;
        if list.len() > MAX_WORKSPACES {
            let what = format!("{} workspaces, at most {MAX_WORKSPACES}", list.len());
            self.add_text("workspaces".to_owned(), what);
        }
        let mut seen = HashSet::new();
        let mut entries = Vec::with_capacity(list.len());
        for (i, workspace) in list.iter().enumerate() {
            self.check_name(&workspace.name, &mut seen, || {
                format!("workspaces[{i}].name")
            });
            let brand = self.brand_ix.get(&workspace.brand).copied();
            if brand.is_none() {
                let field = format!("workspaces[{i}].brand");
                self.add(field, "no such brand", &workspace.brand);
            }
            entries.push(WorkspaceEntry {
                name: workspace.name.clone(),
                brand: BrandIx(brand.unwrap_or_default()),
                default: Priority::Batch,
                highest: Priority::Interactive,
                tokens_per_minute: None,
            });
        }
        entries
    }

    fn keys(&mut self) -> HashMap<[u8; 32], WorkspaceIx> {
        let doc = self.doc;
        let mut by_key = HashMap::new();
        for (i, workspace) in (0..).zip(&doc.inventory.workspaces) {
            for (j, text) in workspace.key_digests.iter().enumerate() {
                let field = || format!("workspaces[{i}].key_digests[{j}]");
                let Ok(hash) = blake3::Hash::from_hex(text.as_bytes()) else {
                    self.add_text(field(), "not 64 hexadecimal digits".to_owned());
                    continue;
                };
                if by_key.insert(*hash.as_bytes(), WorkspaceIx(i)).is_some() {
                    self.add_text(field(), "held already, here or elsewhere".to_owned());
                }
            }
        }
        by_key
    }

    fn models(&mut self) -> Vec<(Name, u32)> {
        let doc = self.doc;
        let mut seen = HashSet::new();
        for (i, model) in doc.inventory.models.iter().enumerate() {
            self.check_name(&model.name, &mut seen, || format!("models[{i}].name"));
        }
        let entry = |m: &crate::inventory::Model| (m.name.clone(), m.replicas);
        doc.inventory.models.iter().map(entry).collect()
    }

    fn services(&mut self) {
        let doc = self.doc;
        let mut seen = HashSet::new();
        for (i, service) in doc.inventory.services.iter().enumerate() {
            self.check_name(service, &mut seen, || format!("services[{i}]"));
            if self.models.contains(service) {
                self.add(format!("services[{i}]"), "a model has that name", service);
            }
        }
    }

    fn priorities(&mut self, workspaces: &mut [WorkspaceEntry]) {
        let doc = self.doc;
        let mut seen = HashSet::new();
        for (i, rule) in doc.rules.priorities.iter().enumerate() {
            let field = || format!("priorities[{i}].workspace");
            if rule.default > rule.highest {
                let what = "higher than the highest".to_owned();
                self.add_text(format!("priorities[{i}].default"), what);
            }
            let Some(at) = self.find_workspace(&rule.workspace, &mut seen, field) else {
                continue;
            };
            workspaces[at].default = rule.default;
            workspaces[at].highest = rule.highest;
        }
    }

    fn quotas(&mut self, workspaces: &mut [WorkspaceEntry]) {
        let doc = self.doc;
        let mut seen = HashSet::new();
        for (i, quota) in doc.rules.quotas.iter().enumerate() {
            let field = || format!("quotas[{i}].workspace");
            if let Some(at) = self.find_workspace(&quota.workspace, &mut seen, field) {
                workspaces[at].tokens_per_minute = Some(quota.tokens_per_minute);
            }
        }
    }

    fn non_repeatable(&mut self) -> HashMap<Name, CallRules> {
        let doc = self.doc;
        let mut by_target: HashMap<Name, CallRules> = HashMap::new();
        for (i, rule) in doc.rules.non_repeatable.iter().enumerate() {
            let field = |name: &str| format!("non_repeatable[{i}].{name}");
            if !self.models.contains(&rule.target) && !self.services.contains(&rule.target) {
                self.add(field("target"), "no such model or service", &rule.target);
            }
            if let Some(path) = rule.path.as_ref().filter(|p| !p.starts_with('/')) {
                self.add(field("path"), "doesn't begin with /", path);
            }
            let own = rule.workspace.as_ref();
            let at = own.and_then(|w| self.workspace_ix.get(w).copied());
            if let (Some(workspace), None) = (own, at) {
                self.add(field("workspace"), "no such workspace", workspace);
            }
            let rules = by_target.entry(rule.target.clone()).or_default();
            let list = match at {
                Some(at) => rules.own.entry(WorkspaceIx(at)).or_default(),
                None => &mut rules.general,
            };
            list.push(CallRule {
                method: rule.method.clone(),
                path: rule.path.clone(),
            });
        }
        by_target
    }

    fn objectives(&mut self) -> Vec<Objective> {
        let doc = self.doc;
        let mut seen = HashSet::new();
        for (i, objective) in doc.rules.objectives.iter().enumerate() {
            let field = |name: &str| format!("objectives[{i}].{name}");
            if let Some(brand) = &objective.brand
                && !self.brand_ix.contains_key(brand)
            {
                self.add(field("brand"), "no such brand", brand);
            }
            if !seen.insert((&objective.brand, objective.priority)) {
                let what = "there is one of this brand and priority already".to_owned();
                self.add_text(field("priority"), what);
            }
            if objective.per_mille > MILLE {
                self.add(field("per_mille"), "over 1000", objective.per_mille);
            }
        }
        doc.rules.objectives.clone()
    }

    /// Place of a workspace that rules of one kind may name once.
    fn find_workspace(
        &mut self,
        name: &'a Name,
        seen: &mut HashSet<&'a Name>,
        field: impl Fn() -> String,
    ) -> Option<usize> {
        if !seen.insert(name) {
            self.add(field(), "named twice", name);
        }
        let at = self.workspace_ix.get(name).copied();
        if at.is_none() {
            self.add(field(), "no such workspace", name);
        }
        usize::try_from(at?).ok()
    }

    /// Checks a name that must be unique among `seen`.
    fn check_name(
        &mut self,
        name: &'a Name,
        seen: &mut HashSet<&'a Name>,
        field: impl Fn() -> String,
    ) {
        let is_bad = |c: char| c.is_whitespace() || c.is_control();
        if name.is_empty() {
            self.add_text(field(), "empty".to_owned());
        } else if name.len() > MAX_NAME {
            self.add_text(field(), format!("{} bytes, at most {MAX_NAME}", name.len()));
        } else if name.contains(is_bad) {
            self.add(field(), "holds a space or control character", name);
        }
        if !seen.insert(name) {
            self.add(field(), "used twice", name);
        }
    }

    fn add(&mut self, field: String, what: &str, value: impl Debug) {
        self.add_text(field, format!("{what}: {value:?}"));
    }

    fn add_text(&mut self, field: String, text: String) {
        self.faults.push(Fault { field, text });
    }
}

fn index<'a>(names: impl Iterator<Item = &'a Name>) -> HashMap<&'a Name, u32> {
    let mut places = HashMap::new();
    for (i, name) in (0..).zip(names) {
        places.entry(name).or_insert(i);
    }
    places
}
