//! Transfer of configurations between peers, part by part.
//!
//! Part 0 is the head; part `n` is the head's part `n - 1`. A process whose version is
//! out of date pulls part 0, then the parts that its own version lacks. Every part is
//! checked against the head before it is accepted, and a version is returned only
//! when it is complete and higher than the version held.
//!
//! One version is held and one collected at a time, each of at most [`MAX_SNAPSHOT`]
//! bytes; parts listed by both are stored once.

use crate::compile::{ConfigFault, compile_parts};
use crate::config::{Config, Document};
use crate::ids::Digest;
use crate::message::{ConfigVersion, Message};
use crate::part_name::PartName;
use crate::snapshot::{Head, MAX_PAST, Part, assemble, check_parts};
use crate::snapshot_error::{MAX_PART, MAX_PARTS, MAX_SNAPSHOT, SnapshotError};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// Consecutive parts of lower versions after which a collection is abandoned.
const MAX_LOWER_PARTS_IN_A_ROW: u32 = 3;

/// A part as a peer sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedPart {
    /// Version that the part belongs to.
    pub version: ConfigVersion,
    /// Number of the part; 0 is the head.
    pub part: u32,
    /// Number of all parts, including the head.
    pub parts: u32,
    /// Digest of all parts.
    pub digest: Digest,
    /// Content of the part.
    pub data: Arc<[u8]>,
}

/// Result of receiving a part.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Pull this part next.
    Next(u32),
    /// The version is complete; it is held and served from now on.
    Complete(Box<CompleteConfig>),
    /// The part is of a lower version, or present already.
    Ignored,
    /// The part does not match its head or limits; nothing was accepted.
    Invalid(SnapshotError),
}

/// A version with all its parts.
#[derive(Clone, Debug, PartialEq)]
pub struct CompleteConfig {
    /// The head.
    pub head: Head,
    /// The parts, shared with the transfer.
    pub parts: Vec<Part>,
}

impl CompleteConfig {
    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.head.config_version()
    }

    /// Compiles the version for look-ups, part by part.
    ///
    /// # Errors
    ///
    /// Every fault found; a part that can't be read is one.
    pub fn compile(&self) -> Result<Config, Vec<ConfigFault>> {
        compile_parts(&self.head, &self.parts)
    }

    /// Assembles the whole document.
    ///
    /// # Errors
    ///
    /// Parts that can't be read.
    pub fn document(&self) -> Result<Document, SnapshotError> {
        assemble(&self.head, &self.parts)
    }
}

/// A version with all its parts, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// The head.
    pub head: Head,
    /// Contents of the parts as text, in order.
    pub parts: Vec<String>,
}

impl ConfigBundle {
    /// Assembles the document.
    ///
    /// # Errors
    ///
    /// Parts that are not those that the head lists.
    pub fn document(&self) -> Result<Document, SnapshotError> {
        let parts: Vec<Part> = self.parts.iter().map(|p| Part::new(p.as_bytes())).collect();
        assemble(&self.head, &parts)
    }
}

/// Holds one version to serve to peers, and collects a higher one.
#[derive(Clone, Debug, Default)]
pub struct ConfigTransfer {
    held: Option<Held>,
    collecting: Option<Collecting>,
}

#[derive(Clone, Debug)]
struct Held {
    head: Head,
    head_data: Arc<[u8]>,
    parts: Vec<Part>,
}

#[derive(Clone, Debug)]
struct Collecting {
    head: Head,
    head_data: Arc<[u8]>,
    parts: Vec<Option<Part>>,
    bytes: usize,
    /// Parts of lower versions since the last part of this or a higher one.
    lower_in_a_row: u32,
}

impl ConfigTransfer {
    /// Returns the version held and served; zero before the first.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.held
            .as_ref()
            .map_or(ConfigVersion(0), |h| h.head.config_version())
    }

    /// Returns the head held.
    #[must_use]
    pub fn head(&self) -> Option<&Head> {
        self.held.as_ref().map(|h| &h.head)
    }

    /// Returns the part of that name if it is held, so that it need not be fetched again.
    #[must_use]
    pub fn part(&self, name: &PartName) -> Option<&Part> {
        let held = self.held.as_ref()?;
        held.parts.iter().find(|p| p.name == *name)
    }

    /// Returns the version held with all its parts, for operators.
    #[must_use]
    pub fn bundle(&self) -> Option<ConfigBundle> {
        let held = self.held.as_ref()?;
        let text = |part: &Part| String::from_utf8_lossy(&part.data).into_owned();
        Some(ConfigBundle {
            head: held.head.clone(),
            parts: held.parts.iter().map(text).collect(),
        })
    }

    /// Returns the number of bytes held and being collected.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let held = self.held.as_ref().map_or(0, Held::bytes);
        let collecting = self.collecting.as_ref().map_or(0, |c| c.bytes);
        held + collecting
    }

    /// Holds and serves a version read from the platform; returns it if it is higher than
    /// the version held.
    ///
    /// # Errors
    ///
    /// Parts that are not those that the head lists.
    pub fn install(
        &mut self,
        head: Head,
        parts: Vec<Part>,
    ) -> Result<Option<CompleteConfig>, SnapshotError> {
        if head.config_version() <= self.version() {
            return Ok(None);
        }
        check_parts(&head, &parts)?;
        let head_data = encode(&head)?;
        Ok(Some(self.activate(head, head_data, parts)))
    }

    /// Returns the answer to a peer that has version `have` and requests `part`; `None` if
    /// no higher version is held or the part does not exist.
    #[must_use]
    pub fn serve(&self, have: ConfigVersion, part: u32) -> Option<Message> {
        let held = self.held.as_ref()?;
        if held.head.config_version() <= have {
            return None;
        }
        let data = match part.checked_sub(1) {
            None => held.head_data.clone(),
            Some(i) => held.parts.get(usize::try_from(i).ok()?)?.data.clone(),
        };
        Some(Message::ConfigPart {
            version: held.head.config_version(),
            part,
            parts: u32::try_from(held.parts.len()).ok()?.checked_add(1)?,
            digest: held.head.digest,
            data,
        })
    }

    /// Returns the part to pull next; the head if no version is being collected.
    #[must_use]
    pub fn next_part(&self) -> u32 {
        self.collecting
            .as_ref()
            .and_then(Collecting::missing)
            .unwrap_or(0)
    }

    /// Abandons the current collection, as its peer stopped answering.
    pub fn abandon(&mut self) {
        self.collecting = None;
    }

    /// Handles a part that a peer sent.
    pub fn on_part(&mut self, part: &ReceivedPart) -> Progress {
        if part.version <= self.version() || self.is_superseded(part) {
            return Progress::Ignored;
        }
        if part.data.len() > MAX_PART {
            return Progress::Invalid(SnapshotError::TooLarge);
        }
        let taken = if part.part == 0 {
            self.begin(part)
        } else {
            self.collect(part)
        };
        match taken {
            Ok(true) => self.advance(),
            Ok(false) => Progress::Ignored,
            Err(e) => Progress::Invalid(e),
        }
    }

    /// Returns whether a higher version than the part's is being collected. After several
    /// lower ones in a row no peer has that version any more, and it is abandoned.
    fn is_superseded(&mut self, part: &ReceivedPart) -> bool {
        let Some(collecting) = &mut self.collecting else {
            return false;
        };
        if part.version >= collecting.head.config_version() {
            collecting.lower_in_a_row = 0;
            return false;
        }
        collecting.lower_in_a_row += 1;
        let abandoned = collecting.lower_in_a_row >= MAX_LOWER_PARTS_IN_A_ROW;
        if abandoned {
            self.collecting = None;
        }
        !abandoned
    }

    fn collecting_version(&self) -> ConfigVersion {
        self.collecting
            .as_ref()
            .map_or(ConfigVersion(0), |c| c.head.config_version())
    }

    /// Begins to collect the version of this head.
    fn begin(&mut self, part: &ReceivedPart) -> Result<bool, SnapshotError> {
        let head: Head = serde_json::from_slice(&part.data)
            .map_err(|e| SnapshotError::Malformed(e.to_string()))?;
        head.check()?;
        if head.config_version() != part.version || head.digest != part.digest {
            return Err(SnapshotError::HeadDigest);
        }
        let same = self.collecting.as_ref().is_some_and(|c| c.head == head);
        if same {
            return Ok(true);
        }
        let parts = self.available_parts(&head);
        let bytes = parts.iter().flatten().map(|p| p.data.len()).sum();
        self.collecting = Some(Collecting {
            head,
            head_data: part.data.clone(),
            parts,
            bytes,
            lower_in_a_row: 0,
        });
        Ok(true)
    }

    /// Returns the parts that `head` lists and that are held or already collected.
    fn available_parts(&self, head: &Head) -> Vec<Option<Part>> {
        let own = self.held.iter().flat_map(|h| h.parts.iter());
        let collected = self
            .collecting
            .iter()
            .flat_map(|c| c.parts.iter().flatten());
        let known: HashMap<PartName, &Part> = own.chain(collected).map(|p| (p.name, p)).collect();
        let find = |name| known.get(name).map(|p| (*p).clone());
        head.parts.iter().map(find).collect()
    }

    /// Accepts a part of the version being collected. A part of a higher version ends the
    /// collection, so that the head of that version is pulled next.
    fn collect(&mut self, part: &ReceivedPart) -> Result<bool, SnapshotError> {
        let Some(collecting) = &mut self.collecting else {
            return Ok(true);
        };
        if part.version > collecting.head.config_version() {
            self.collecting = None;
            return Ok(true);
        }
        collecting.fill(part)
    }

    /// Returns the part to pull next, or activates the version if it is complete.
    fn advance(&mut self) -> Progress {
        let Some(collecting) = self.collecting.take_if(|c| c.missing().is_none()) else {
            return Progress::Next(self.next_part());
        };
        let Collecting {
            head,
            head_data,
            parts,
            ..
        } = collecting;
        let parts = parts.into_iter().flatten().collect();
        Progress::Complete(Box::new(self.activate(head, head_data, parts)))
    }

    fn activate(&mut self, head: Head, head_data: Arc<[u8]>, parts: Vec<Part>) -> CompleteConfig {
        if self.collecting_version() <= head.config_version() {
            self.collecting = None;
        }
        self.held = Some(Held {
            head: head.clone(),
            head_data,
            parts: parts.clone(),
        });
        CompleteConfig { head, parts }
    }
}

impl Held {
    fn bytes(&self) -> usize {
        self.head_data.len() + self.parts.iter().map(|p| p.data.len()).sum::<usize>()
    }
}

impl Collecting {
    /// Returns the number of the first missing part.
    fn missing(&self) -> Option<u32> {
        let at = self.parts.iter().position(Option::is_none)?;
        u32::try_from(at).ok()?.checked_add(1)
    }

    /// Stores `part`; returns false if it is present already.
    fn fill(&mut self, part: &ReceivedPart) -> Result<bool, SnapshotError> {
        let at = part.part.saturating_sub(1) as usize;
        let (Some(slot), Some(name)) = (self.parts.get_mut(at), self.head.parts.get(at)) else {
            return Err(SnapshotError::WrongPart(at));
        };
        if slot.is_some() {
            return Ok(false);
        }
        let part = Part::new(part.data.clone());
        if part.name != *name {
            return Err(SnapshotError::WrongPart(at));
        }
        self.bytes += part.data.len();
        if self.bytes > MAX_SNAPSHOT {
            return Err(SnapshotError::TooLarge);
        }
        *slot = Some(part);
        Ok(true)
    }
}

fn encode(head: &Head) -> Result<Arc<[u8]>, SnapshotError> {
    let json = serde_json::to_vec(head).map_err(|e| SnapshotError::Malformed(e.to_string()))?;
    Ok(Arc::from(json))
}

// The head must itself fit in a part.
const _: () = assert!(MAX_PARTS * 67 + MAX_PAST * 256 + 4_096 < MAX_PART);
