//! Storage format of a configuration: a head and its parts.
//!
//! A document is written as one list of items, which is cut into parts. The digest of
//! an item's name determines whether a part ends there, so that adding, changing or
//! removing an item rewrites the part around it and leaves the others unchanged. Each
//! part is immutable and named by the digest of its bytes; the head lists the names in
//! order. A process that holds an earlier version therefore fetches only what changed.
//!
//! Parts are transferred byte for byte, on the platform within a JSON string, so that
//! their digest does not depend on how a store formats JSON.

use crate::config::Document;
use crate::ids::{Digest, Name};
use crate::inventory::{
    Brand, Model, NonRetryable, Objective, PriorityRule, Quota, Rules, WithoutKey, Workspace,
};
use crate::message::ConfigVersion;
use crate::part_name::PartName;
use crate::snapshot_error::{MAX_PART, MAX_PARTS, MAX_SNAPSHOT, SnapshotError, malformed};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::sync::Arc;

/// Kind of the platform's objects that hold parts.
pub const PART_KIND: &str = "config-part";
/// Kind of the platform's objects that hold earlier heads, by token.
pub const PAST_KIND: &str = "config-past";
/// Kind of the platform's object that holds the head.
pub const HEAD_KIND: &str = "config";
/// Name of the platform's object that holds the head.
pub const HEAD_NAME: &str = "head";
/// Most earlier writes listed in a head.
pub const MAX_PAST: usize = 16;

/// Shortest part before a cut, in bytes, so that a small fleet has one part.
const MIN_PART_BYTES: usize = 16 * 1024;
/// Above the minimum size, one in this many items ends a part.
const ITEMS_PER_CUT: u16 = 128;

/// One immutable part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Name of the part.
    pub name: PartName,
    /// Content: a JSON list of items.
    pub data: Arc<[u8]>,
}

/// A document cut into parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Digest of all parts.
    pub digest: Digest,
    /// The parts, in order.
    pub parts: Vec<Part>,
}

/// The object that lists the parts of the active version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration; it only increases.
    pub version: u64,
    /// Digest of all parts.
    #[serde(with = "digest_hex")]
    pub digest: Digest,
    /// Names of the parts, in order.
    pub parts: Vec<PartName>,
    /// Time of the write, in milliseconds since 1970.
    #[serde(default)]
    pub at: u64,
    /// Author of the write.
    #[serde(default)]
    pub by: Name,
    /// Token by which the author recognises the write.
    #[serde(default)]
    pub token: Name,
    /// Earlier writes, the latest first; at most [`MAX_PAST`].
    #[serde(default)]
    pub past: Vec<EarlierWrite>,
}

/// An earlier write of the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierWrite {
    /// Version that the write activated.
    pub version: u64,
    /// Token of the write.
    pub token: Name,
}

/// Outcome of a write, as far as a head read after it shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write is active.
    Active,
    /// The write was active and has been replaced.
    Replaced,
    /// Another write took effect instead; this one was never active.
    Lost,
    /// Nothing was written since; the write may still take effect.
    Pending,
    /// The head does not show it: too many writes followed, or an older state was restored.
    Unknown,
}

/// An item of a document.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Item {
    /// Settings of the rules that are not lists.
    Settings(Settings),
    /// A brand.
    Brand(Brand),
    /// A model.
    Model(Model),
    /// A plain service.
    Service(Name),
    /// A call that must not be retried.
    #[serde(rename = "non_repeatable")]
    NonRetryable(NonRetryable),
    /// An objective.
    Objective(Objective),
    /// A workspace.
    Workspace(Workspace),
    /// A workspace's priority.
    Priority(PriorityRule),
    /// A workspace's quota.
    Quota(Quota),
}

/// Settings of the rules that are not lists.
#[derive(Serialize, Deserialize)]
pub(crate) struct Settings {
    without_key: WithoutKey,
    interactive_wait_ms: u64,
    batch_wait_ms: u64,
}

/// Cuts `doc` into parts; the same document always gives the same parts.
///
/// # Errors
///
/// An item over [`MAX_PART`], or a document over [`MAX_PARTS`] or [`MAX_SNAPSHOT`].
pub fn split(doc: &Document) -> Result<Snapshot, SnapshotError> {
    let mut builder = PartBuilder::default();
    for item in items(doc) {
        builder.add(&item)?;
    }
    let parts = builder.finish();
    let bytes: usize = parts.iter().map(|p| p.data.len()).sum();
    if parts.len() > MAX_PARTS || bytes > MAX_SNAPSHOT {
        return Err(SnapshotError::TooLarge);
    }
    let digest = digest_of(parts.iter().map(|p| &p.name));
    Ok(Snapshot { digest, parts })
}

/// Assembles a document from the parts that `head` lists, in its order.
///
/// # Errors
///
/// Parts that are missing, surplus, in another order or not those of their names, and a
/// head whose digest is not that of its list.
pub fn assemble(head: &Head, parts: &[Part]) -> Result<Document, SnapshotError> {
    check_parts(head, parts)?;
    let mut doc = Document::default();
    for part in parts {
        for item in read_items(part)? {
            add_item(&mut doc, item);
        }
    }
    Ok(doc)
}

/// Checks that `parts` are those that `head` lists, in its order.
///
/// # Errors
///
/// As [`assemble`], except for parts that can't be read.
pub(crate) fn check_parts(head: &Head, parts: &[Part]) -> Result<(), SnapshotError> {
    head.check()?;
    if parts.len() != head.parts.len() {
        return Err(SnapshotError::PartCount {
            listed: head.parts.len(),
            given: parts.len(),
        });
    }
    let is_listed =
        |(part, name): (&Part, &PartName)| part.name == *name && PartName::of(&part.data) == *name;
    let mut pairs = parts.iter().zip(&head.parts);
    match pairs.position(|pair| !is_listed(pair)) {
        Some(i) => Err(SnapshotError::WrongPart(i)),
        None => Ok(()),
    }
}

/// Reads the items of a part.
///
/// # Errors
///
/// A part that can't be read.
pub(crate) fn read_items(part: &Part) -> Result<Vec<Item>, SnapshotError> {
    serde_json::from_slice(&part.data).map_err(malformed)
}

impl Part {
    /// Creates a part of these bytes.
    #[must_use]
    pub fn new(data: impl Into<Arc<[u8]>>) -> Self {
        let data = data.into();
        Self {
            name: PartName::of(&data),
            data,
        }
    }

    /// Returns the value that the platform stores for the part.
    ///
    /// # Errors
    ///
    /// Bytes that are not UTF-8.
    pub fn to_value(&self) -> Result<Value, SnapshotError> {
        let text = std::str::from_utf8(&self.data).map_err(malformed)?;
        Ok(Value::String(text.to_owned()))
    }

    /// Returns the part that the platform stores under `name`.
    ///
    /// # Errors
    ///
    /// A value that is not that part.
    pub fn from_value(name: PartName, value: &Value) -> Result<Self, SnapshotError> {
        let text = value
            .as_str()
            .ok_or_else(|| malformed("the value of a part is not a string"))?;
        let part = Self::new(text.as_bytes());
        if part.name == name {
            Ok(part)
        } else {
            Err(malformed(format!(
                "the content of part {name} does not match its name"
            )))
        }
    }
}

impl Snapshot {
    /// Creates the head that activates this snapshot as `version`.
    #[must_use]
    pub fn head(&self, version: ConfigVersion, at: u64, by: Name, token: Name) -> Head {
        Head {
            version: version.0,
            digest: self.digest,
            parts: self.parts.iter().map(|p| p.name).collect(),
            at,
            by,
            token,
            past: Vec::new(),
        }
    }

    /// Returns the number of bytes of all parts.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(|p| p.data.len()).sum()
    }
}

impl Head {
    /// Returns the version of the configuration.
    #[must_use]
    pub const fn config_version(&self) -> ConfigVersion {
        ConfigVersion(self.version)
    }

    /// Returns this head with the history of a write over `base`.
    #[must_use]
    pub fn after(mut self, base: Option<&Self>) -> Self {
        let Some(base) = base else { return self };
        let last = EarlierWrite {
            version: base.version,
            token: base.token.clone(),
        };
        let before = base.past.iter().take(MAX_PAST - 1).cloned();
        self.past = std::iter::once(last).chain(before).collect();
        self
    }

    /// Returns the outcome of writing this head over `base`, given the head `now` read
    /// afterwards.
    #[must_use]
    pub fn write_outcome(&self, base: Option<&Self>, now: Option<&Self>) -> WriteOutcome {
        let Some(now) = now else {
            let untouched = base.is_none();
            return if untouched {
                WriteOutcome::Pending
            } else {
                WriteOutcome::Unknown
            };
        };
        if now.token == self.token {
            return WriteOutcome::Active;
        }
        if now.follows(&self.token) {
            return WriteOutcome::Replaced;
        }
        match base {
            Some(base) if now.token == base.token => WriteOutcome::Pending,
            Some(base) if now.follows(&base.token) => WriteOutcome::Lost,
            None if now.past.len() < MAX_PAST => WriteOutcome::Lost,
            _ => WriteOutcome::Unknown,
        }
    }

    /// Returns whether the write with this token precedes this head.
    fn follows(&self, token: &Name) -> bool {
        self.past.iter().any(|w| w.token == *token)
    }

    /// Checks that the digest is that of the list, and that the list is not too long.
    ///
    /// # Errors
    ///
    /// `HeadDigest` or `TooLarge`.
    pub fn check(&self) -> Result<(), SnapshotError> {
        if self.parts.len() > MAX_PARTS {
            return Err(SnapshotError::TooLarge);
        }
        if digest_of(self.parts.iter()) != self.digest {
            return Err(SnapshotError::HeadDigest);
        }
        Ok(())
    }
}

/// Builds parts from items, ending each at an item whose name is a boundary.
#[derive(Default)]
struct PartBuilder {
    parts: Vec<Part>,
    buf: Vec<u8>,
}

impl PartBuilder {
    fn add(&mut self, item: &Item) -> Result<(), SnapshotError> {
        let json = serde_json::to_vec(item).map_err(malformed)?;
        if json.len() + 2 > MAX_PART {
            return Err(SnapshotError::ItemTooLarge {
                item: item.name(),
                bytes: json.len(),
            });
        }
        if self.buf.len() + json.len() + 2 > MAX_PART {
            self.cut();
        }
        self.buf.push(if self.buf.is_empty() { b'[' } else { b',' });
        self.buf.extend_from_slice(&json);
        if self.buf.len() >= MIN_PART_BYTES && is_boundary(item) {
            self.cut();
        }
        Ok(())
    }

    fn cut(&mut self) {
        if self.buf.is_empty() {
            return;
        }
        self.buf.push(b']');
        self.parts.push(Part::new(std::mem::take(&mut self.buf)));
    }

    fn finish(mut self) -> Vec<Part> {
        self.cut();
        self.parts
    }
}

impl Item {
    fn name(&self) -> Name {
        match self {
            Self::Settings(_) => Name::from("settings"),
            Self::Brand(brand) => brand.name.clone(),
            Self::Model(model) => model.name.clone(),
            Self::Service(name) => name.clone(),
            Self::NonRetryable(rule) => rule.target.clone(),
            Self::Objective(objective) => objective.brand.clone().unwrap_or_default(),
            Self::Workspace(workspace) => workspace.name.clone(),
            Self::Priority(rule) => rule.workspace.clone(),
            Self::Quota(quota) => quota.workspace.clone(),
        }
    }
}

fn is_boundary(item: &Item) -> bool {
    let hash = blake3::hash(item.name().as_bytes());
    let [low, high, ..] = *hash.as_bytes();
    u16::from_le_bytes([low, high]) % ITEMS_PER_CUT == 0
}

/// Returns the items of a document in the order in which they are cut.
pub(crate) fn items(doc: &Document) -> impl Iterator<Item = Item> {
    let Document { inventory, rules } = doc;
    let settings = Settings {
        without_key: rules.without_key,
        interactive_wait_ms: rules.interactive_wait_ms,
        batch_wait_ms: rules.batch_wait_ms,
    };
    std::iter::once(Item::Settings(settings))
        .chain(inventory.brands.iter().cloned().map(Item::Brand))
        .chain(inventory.models.iter().cloned().map(Item::Model))
        .chain(inventory.services.iter().cloned().map(Item::Service))
        .chain(rules.non_repeatable.iter().cloned().map(Item::NonRetryable))
        .chain(rules.objectives.iter().cloned().map(Item::Objective))
        .chain(inventory.workspaces.iter().cloned().map(Item::Workspace))
        .chain(rules.priorities.iter().cloned().map(Item::Priority))
        .chain(rules.quotas.iter().cloned().map(Item::Quota))
}

/// Adds an item to its list in the document.
pub(crate) fn add_item(doc: &mut Document, item: Item) {
    let Document { inventory, rules } = doc;
    match item {
        Item::Settings(settings) => apply_settings(rules, &settings),
        Item::Brand(brand) => inventory.brands.push(brand),
        Item::Model(model) => inventory.models.push(model),
        Item::Service(name) => inventory.services.push(name),
        Item::NonRetryable(rule) => rules.non_repeatable.push(rule),
        Item::Objective(objective) => rules.objectives.push(objective),
        Item::Workspace(workspace) => inventory.workspaces.push(workspace),
        Item::Priority(rule) => rules.priorities.push(rule),
        Item::Quota(quota) => rules.quotas.push(quota),
    }
}

fn apply_settings(rules: &mut Rules, settings: &Settings) {
    rules.without_key = settings.without_key;
    rules.interactive_wait_ms = settings.interactive_wait_ms;
    rules.batch_wait_ms = settings.batch_wait_ms;
}

fn digest_of<'a>(names: impl Iterator<Item = &'a PartName>) -> Digest {
    let names: Vec<&[u8]> = names.map(PartName::as_bytes).collect();
    Digest::of(&names)
}

/// Serialises a digest as 32 hexadecimal digits.
mod digest_hex {
    use crate::ids::Digest;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(digest: &Digest, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(digest)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Digest, D::Error> {
        let text = String::deserialize(de)?;
        u128::from_str_radix(&text, 16)
            .map(Digest)
            .map_err(serde::de::Error::custom)
    }
}
