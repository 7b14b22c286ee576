//! Differences between two configurations, for operators to read.
//!
//! Items are matched by name; their order is ignored. Keys are shown by a prefix of
//! their digest.

use crate::config::Document;
use crate::ids::Name;
use crate::inventory::{NonRetryable, Objective, Rules, WithoutKey};
use crate::work::Priority;
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;

/// Digits of a key's digest that are shown.
const SHOWN_KEY_DIGITS: usize = 12;

/// Kind of item that a change concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A brand.
    Brand,
    /// A model.
    Model,
    /// A plain service.
    Service,
    /// A workspace.
    Workspace,
    /// A key of a workspace.
    Key,
    /// A workspace's priority.
    Priority,
    /// A workspace's quota.
    Quota,
    /// A call that must not be retried.
    #[serde(rename = "non_repeatable")]
    NonRetryable,
    /// An objective.
    Objective,
    /// A setting of the rules.
    Setting,
}

/// Difference of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The item is new; its content.
    Added(String),
    /// The item is gone; its former content.
    Removed(String),
    /// The content changed.
    Changed {
        /// Former content.
        from: String,
        /// New content.
        to: String,
    },
}

/// An item that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Kind of the item.
    pub subject: Subject,
    /// Name of the item; for a key the workspace and the prefix of the digest.
    pub name: String,
    /// Difference of the item.
    #[serde(flatten)]
    pub change: Change,
}

/// All differences between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diff {
    /// Items in order of subject and name.
    pub items: Vec<Difference>,
}

impl Diff {
    /// Returns the changes that turn `from` into `to`.
    #[must_use]
    pub fn between(from: &Document, to: &Document) -> Self {
        let mut items = Vec::new();
        for subject in Subject::ALL {
            compare(
                subject,
                &entries(subject, from),
                &entries(subject, to),
                &mut items,
            );
        }
        Self { items }
    }

    /// Returns whether nothing differs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the numbers of items added, changed and removed.
    #[must_use]
    pub fn counts(&self) -> [usize; 3] {
        let mut counts = [0; 3];
        for item in &self.items {
            let at = match item.change {
                Change::Added(_) => 0,
                Change::Changed { .. } => 1,
                Change::Removed(_) => 2,
            };
            counts[at] += 1;
        }
        counts
    }
}

impl Serialize for Diff {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(&self.items)
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for item in &self.items {
            writeln!(f, "{item}")?;
        }
        let [added, changed, removed] = self.counts();
        write!(f, "{added} added, {changed} changed, {removed} removed")
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { subject, name, .. } = self;
        match &self.change {
            Change::Added(details) => write!(f, "+ {subject} {name}{}", Details(details)),
            Change::Removed(details) => write!(f, "- {subject} {name}{}", Details(details)),
            Change::Changed { from, to } => write!(f, "~ {subject} {name}: {from} -> {to}"),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Brand => "brand",
            Self::Model => "model",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Key => "key",
            Self::Priority => "priority",
            Self::Quota => "quota",
            Self::NonRetryable => "non_repeatable",
            Self::Objective => "objective",
            Self::Setting => "setting",
        })
    }
}

impl Subject {
    /// All subjects, in the order of a diff.
    pub const ALL: [Self; 10] = [
        Self::Brand,
        Self::Model,
        Self::Service,
        Self::Workspace,
        Self::Key,
        Self::Priority,
        Self::Quota,
        Self::NonRetryable,
        Self::Objective,
        Self::Setting,
    ];
}

/// Details after a name, preceded by a colon unless empty.
struct Details<'a>(&'a str);

impl fmt::Display for Details<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return Ok(());
        }
        write!(f, ": {}", self.0)
    }
}

/// Items of one subject by name, with their contents as text.
type Entries = BTreeMap<String, String>;

fn compare(subject: Subject, from: &Entries, to: &Entries, items: &mut Vec<Difference>) {
    let mut add = |name: &String, change| {
        items.push(Difference {
            subject,
            name: display_name(subject, name),
            change,
        });
    };
    let names: std::collections::BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    for name in names {
        match (from.get(name), to.get(name)) {
            (None, Some(details)) => add(name, Change::Added(details.clone())),
            (Some(details), None) => add(name, Change::Removed(details.clone())),
            (Some(old), Some(new)) if old != new => add(
                name,
                Change::Changed {
                    from: old.clone(),
                    to: new.clone(),
                },
            ),
            _ => {}
        }
    }
}

fn entries(subject: Subject, doc: &Document) -> Entries {
    let Document { inventory, rules } = doc;
    match subject {
        Subject::Brand => brands(doc),
        Subject::Model => collect(inventory.models.iter().map(|m| {
            let details = format!("replicas {}", m.replicas);
            (m.name.to_string(), details)
        })),
        Subject::Service => collect(
            inventory
                .services
                .iter()
                .map(|s| (s.to_string(), String::new())),
        ),
        Subject::Workspace => collect(inventory.workspaces.iter().map(|w| {
            let details = format!("brand {}", w.brand);
            (w.name.to_string(), details)
        })),
        Subject::Key => keys(doc),
        Subject::Priority => collect(rules.priorities.iter().map(|p| {
            let (default, highest) = (priority(p.default), priority(p.highest));
            let details = format!("default {default}, highest {highest}");
            (p.workspace.to_string(), details)
        })),
        Subject::Quota => collect(rules.quotas.iter().map(|q| {
            let details = format!("{} tokens a minute", q.tokens_per_minute);
            (q.workspace.to_string(), details)
        })),
        Subject::NonRetryable => collect(
            rules
                .non_repeatable
                .iter()
                .map(|r| (call(r), String::new())),
        ),
        Subject::Objective => collect(rules.objectives.iter().map(objective)),
        Subject::Setting => settings(rules),
    }
}

/// Collects items; numbers those with the same name.
fn collect(items: impl Iterator<Item = (String, String)>) -> Entries {
    let mut entries = Entries::new();
    for (name, details) in items {
        let mut key = name.clone();
        let mut copy = 1;
        while entries.contains_key(&key) {
            copy += 1;
            key = format!("{name} ({copy})");
        }
        entries.insert(key, details);
    }
    entries
}

fn brands(doc: &Document) -> Entries {
    let describe = |b: &crate::inventory::Brand| {
        let details = format!("models {}, services {}", list(&b.models), list(&b.services));
        (b.name.to_string(), details)
    };
    collect(doc.inventory.brands.iter().map(describe))
}

fn keys(doc: &Document) -> Entries {
    let all = doc.inventory.workspaces.iter().flat_map(|w| {
        let full = w.key_digests.iter();
        full.map(|digest| (w.name.clone(), digest.clone()))
    });
    collect(all.map(|(workspace, digest)| (format!("{workspace} {digest}"), String::new())))
}

/// Shortens a key's digest, by which keys are matched, to the prefix that is shown.
fn display_name(subject: Subject, name: &str) -> String {
    let Some((workspace, digest)) = name.rsplit_once(' ').filter(|_| subject == Subject::Key)
    else {
        return name.to_owned();
    };
    let head = digest.get(..SHOWN_KEY_DIGITS).unwrap_or(digest);
    format!("{workspace} {head}")
}

fn call(rule: &NonRetryable) -> String {
    let mut text = rule.target.to_string();
    if let Some(method) = &rule.method {
        let _ = write!(text, " {method}");
    }
    if let Some(path) = &rule.path {
        let _ = write!(text, " {path}");
    }
    if let Some(workspace) = &rule.workspace {
        let _ = write!(text, " of {workspace}");
    }
    text
}

fn objective(o: &Objective) -> (String, String) {
    let brand = o.brand.as_deref().unwrap_or("*");
    let name = format!("{brand} {}", priority(o.priority));
    let details = format!(
        "first token {} ms, between tokens {} ms, {} of 1000",
        o.first_token_ms, o.between_tokens_ms, o.per_mille
    );
    (name, details)
}

const fn priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    }
}

fn settings(rules: &Rules) -> Entries {
    let without_key = match rules.without_key {
        WithoutKey::Refuse => "refuse",
        WithoutKey::RunOnce => "run_once",
    };
    collect(
        [
            ("without_key", without_key.to_owned()),
            ("interactive_wait_ms", rules.interactive_wait_ms.to_string()),
            ("batch_wait_ms", rules.batch_wait_ms.to_string()),
        ]
        .into_iter()
        .map(|(name, details)| (name.to_owned(), details)),
    )
}

fn list(names: &[Name]) -> String {
    if names.is_empty() {
        return "none".to_owned();
    }
    names.join(" ")
}
