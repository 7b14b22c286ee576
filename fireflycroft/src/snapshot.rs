//! A configuration as it is stored and carried: a head and its parts.
//!
//! A document is written as one list of items, which is cut into parts. A cut
//! falls where the digest of an item's name says so, not at a fixed number of
//! items, so that an item added, changed or removed rewrites the part around
//! it and leaves the others as they are. Each part is immutable and named by
//! the digest of its bytes; the head lists the names in order. Whoever holds
//! parts of an earlier version therefore fetches only what changed.
//!
//! Parts travel as the very bytes that were cut, on the platform within a
//! JSON string, so that their digest doesn't hang on how a store writes JSON.

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
/// Kind of the platform's objects that hold heads of the past, by token.
pub const PAST_KIND: &str = "config-past";
/// Kind of the platform's object that holds the head.
pub const HEAD_KIND: &str = "config";
/// Name of the platform's object that holds the head.
pub const HEAD_NAME: &str = "head";
/// Most earlier writes that a head names.
pub const MAX_PAST: usize = 16;

/// Bytes below which a part is not cut, so that a small fleet has one part.
const MIN_PART_BYTES: usize = 16 * 1024;
/// Of so many items beyond the least size, one ends a part.
const ITEMS_PER_CUT: u16 = 128;

/// One immutable part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Its name.
    pub name: PartName,
    /// Its bytes: a JSON list of items.
    pub data: Arc<[u8]>,
}

/// A document cut into parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Digest of the whole.
    pub digest: Digest,
    /// The parts, in order.
    pub parts: Vec<Part>,
}

/// The one object that says which parts are in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the configuration, which only grows.
    pub version: u64,
    /// Digest of the whole.
    #[serde(with = "digest_hex")]
    pub digest: Digest,
    /// Names of the parts, in order.
    pub parts: Vec<PartName>,
    /// When it was written, in milliseconds since 1970.
    #[serde(default)]
    pub at: u64,
    /// Who wrote it.
    #[serde(default)]
    pub by: Name,
    /// Token of the write, by which its writer knows it again.
    #[serde(default)]
    pub token: Name,
    /// Writes before this one, the latest first; at most [`MAX_PAST`].
    #[serde(default)]
    pub past: Vec<EarlierWrite>,
}

/// An earlier write of the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierWrite {
    /// Version that it put in force.
    pub version: u64,
    /// Its token.
    pub token: Name,
}

/// What a head that is read after a write tells of that write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is in force.
    Active,
    /// It was in force and has been replaced.
    Replaced,
    /// Another write took its place; it never was in force.
    Lost,
    /// Nothing was written since; it may yet take effect.
    Pending,
    /// The head can't tell: it went too far on, or back to an older state.
    Unknown,
}

/// One item of a document.
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
    /// A call that may not be repeated.
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

/// Cuts `doc` into parts; the same document gives the same parts.
///
/// # Errors
///
/// An item over [`MAX_PART`], or a whole over [`MAX_PARTS`] or [`MAX_SNAPSHOT`].
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

/// Puts a document together from the parts that `head` lists, in its order.
///
/// # Errors
///
/// Parts that are missing, too many, in another order or not what they are
/// named, and a head whose digest is not that of its list.
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
/// As [`assemble`], but for parts that can't be read.
pub(crate) fn check_parts(head: &Head, parts: &[Part]) -> Result<(), SnapshotError> {
    head.check()?;
    if parts.len() != head.parts.len() {
        return Err(SnapshotError::PartCount {
            wanted: head.parts.len(),
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

/// Items of a part.
///
/// # Errors
///
/// A part that can't be read.
pub(crate) fn read_items(part: &Part) -> Result<Vec<Item>, SnapshotError> {
    serde_json::from_slice(&part.data).map_err(malformed)
}

impl Part {
    /// Part of these bytes.
    #[must_use]
    pub fn new(data: impl Into<Arc<[u8]>>) -> Self {
        let data = data.into();
        Self {
            name: PartName::of(&data),
            data,
        }
    }

    /// Value that the platform holds for the part.
    ///
    /// # Errors
    ///
    /// Bytes that are no text.
    pub fn to_value(&self) -> Result<Value, SnapshotError> {
        let text = std::str::from_utf8(&self.data).map_err(malformed)?;
        Ok(Value::String(text.to_owned()))
    }

    /// Part of the value that the platform holds under `name`.
    ///
    /// # Errors
    ///
    /// A value that is not that part.
    pub fn from_value(name: PartName, value: &Value) -> Result<Self, SnapshotError> {
        let text = value
            .as_str()
            .ok_or_else(|| malformed("the value of a part is no string"))?;
        let part = Self::new(text.as_bytes());
        if part.name == name {
            Ok(part)
        } else {
            Err(malformed(format!("part {name} holds other content")))
        }
    }
}

impl Snapshot {
    /// Head that puts this snapshot in force as `version`.
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

    /// Bytes of all parts.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.parts.iter().map(|p| p.data.len()).sum()
    }
}

impl Head {
    /// Version of the configuration.
    #[must_use]
    pub const fn config_version(&self) -> ConfigVersion {
        ConfigVersion(self.version)
    }

    /// This head as the one that follows `base`.
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

    /// What `now`, read after this head was written over `base`, tells of
    /// that write.
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

    /// Whether the write with this token is among those before this one.
    fn follows(&self, token: &Name) -> bool {
        self.past.iter().any(|w| w.token == *token)
    }

    /// Checks that the digest is that of the list, and the list not too long.
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

/// Fills parts with items and cuts where an item's name says so.
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

/// Items of a document, in the order in which they are cut.
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

/// Puts an item in its place.
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

/// A digest as 32 hexadecimal digits.
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
