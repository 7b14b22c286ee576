//! The table of members: records by index and by name, with their digests.
//!
//! Records are divided into parts by a hash of the name. The digest of a part is the
//! sum of its records' hashes, so that it does not depend on their order and can be
//! updated record by record. Dead members are excluded, as each process forgets them
//! at its own time.

use crate::ids::{Digest, Name};
use crate::member::MAX_MEMBERS;
use crate::member_record::{MemberRecord, MemberState};
use crate::time::Time;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Parts of the table that are compared separately.
pub(crate) const PARTS: usize = 64;

/// Interned names above which unused ones are removed.
const MAX_INTERNED_NAMES: usize = 1_024;

/// Position of the name's bits in a record's hash.
const NAME_SHIFT: u32 = 32;

/// Index of a member in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MemberIx(u32);

/// Index of this process in its own table.
pub(crate) const OWN: MemberIx = MemberIx(0);

/// A member with its times and hashes.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) record: MemberRecord,
    /// Time when this incarnation became known.
    pub(crate) first_seen: Time,
    /// Time of the last change of state or revision.
    pub(crate) state_since: Time,
    /// Time of the last message from the member.
    pub(crate) last_received: Option<Time>,
    name_hash: u32,
    state_hash: u32,
}

/// Table of all known members.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    /// Slots in use, and the former contents of vacant ones.
    slots: Vec<Slot>,
    vacant: Vec<MemberIx>,
    /// Indices in use, in order of name.
    by_name: Vec<MemberIx>,
    parts: [u64; PARTS],
    interned: HashSet<Name>,
}

impl MemberIx {
    const fn at(self) -> usize {
        self.0 as usize
    }
}

impl Slot {
    fn new(now: Time, record: MemberRecord) -> Self {
        Self {
            name_hash: hash_of_name(&record.peer.name),
            state_hash: hash_of_state(&record),
            record,
            first_seen: now,
            state_since: now,
            last_received: None,
        }
    }

    /// Returns the part of the table that the member belongs to.
    pub(crate) const fn part(&self) -> usize {
        self.name_hash as usize % PARTS
    }

    /// Returns the hash of the name, then of incarnation, revision and state.
    pub(crate) const fn hash(&self) -> u64 {
        ((self.name_hash as u64) << NAME_SHIFT) | self.state_hash as u64
    }

    /// Returns whether the member is not dead.
    pub(crate) fn is_present(&self) -> bool {
        self.record.state != MemberState::Dead
    }

    /// Returns whether a message of the member arrived less than `span` ago.
    pub(crate) fn received_within(&self, now: Time, span: Duration) -> bool {
        self.last_received.is_some_and(|at| now.since(at) < span)
    }
}

impl Roster {
    /// Creates a table that holds this process alone.
    pub(crate) fn new(own: MemberRecord) -> Self {
        let mut roster = Self {
            slots: Vec::new(),
            vacant: Vec::new(),
            by_name: Vec::new(),
            parts: [0; PARTS],
            interned: HashSet::new(),
        };
        roster.insert(Time::default(), own);
        roster
    }

    /// Returns the number of members, including this process and the dead.
    pub(crate) const fn len(&self) -> usize {
        self.by_name.len()
    }

    pub(crate) fn get(&self, ix: MemberIx) -> &Slot {
        &self.slots[ix.at()]
    }

    pub(crate) fn get_mut(&mut self, ix: MemberIx) -> &mut Slot {
        &mut self.slots[ix.at()]
    }

    pub(crate) fn own(&self) -> &MemberRecord {
        &self.get(OWN).record
    }

    /// Returns all members in order of name.
    pub(crate) fn indices(&self) -> impl Iterator<Item = MemberIx> {
        self.by_name.iter().copied()
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.by_name.iter().map(|ix| self.get(*ix))
    }

    /// Returns the member of that name.
    pub(crate) fn find(&self, name: &str) -> Option<MemberIx> {
        let at = self.position_of(name).ok()?;
        Some(self.by_name[at])
    }

    /// Returns a member at `addr` that is not dead, other than `except`.
    pub(crate) fn holder_of(&self, addr: SocketAddr, except: Option<MemberIx>) -> Option<MemberIx> {
        self.indices()
            .filter(|ix| Some(*ix) != except)
            .find(|ix| self.get(*ix).is_present() && self.get(*ix).record.peer.addr == addr)
    }

    /// Adds a member; returns `None` when its name is held or the table is full.
    pub(crate) fn insert(&mut self, now: Time, record: MemberRecord) -> Option<MemberIx> {
        let at = self.position_of(&record.peer.name).err()?;
        if self.len() >= MAX_MEMBERS {
            return None;
        }
        let slot = Slot::new(now, self.intern_names(record));
        let ix = self.occupy(slot);
        self.add_hash(ix);
        self.by_name.insert(at, ix);
        Some(ix)
    }

    /// Replaces a member's record by a later one.
    pub(crate) fn replace(&mut self, now: Time, ix: MemberIx, record: MemberRecord) {
        let record = self.intern_names(record);
        self.subtract_hash(ix);
        let slot = self.get_mut(ix);
        let before = &slot.record;
        if before.peer.incarnation == record.peer.incarnation {
            if (before.revision, before.state) != (record.revision, record.state) {
                slot.state_since = now;
            }
            slot.state_hash = hash_of_state(&record);
            slot.record = record;
        } else {
            *slot = Slot::new(now, record);
        }
        self.add_hash(ix);
    }

    /// Removes a member.
    pub(crate) fn remove(&mut self, ix: MemberIx) {
        self.subtract_hash(ix);
        self.by_name.retain(|held| *held != ix);
        self.vacant.push(ix);
    }

    /// Returns the digest of all records.
    pub(crate) fn view(&self) -> u64 {
        self.parts.iter().copied().fold(0, u64::wrapping_add)
    }

    /// Returns the digests of the parts.
    pub(crate) const fn parts(&self) -> &[u64; PARTS] {
        &self.parts
    }

    fn occupy(&mut self, slot: Slot) -> MemberIx {
        if let Some(ix) = self.vacant.pop() {
            *self.get_mut(ix) = slot;
            return ix;
        }
        let ix = MemberIx(u32::try_from(self.slots.len()).unwrap_or(u32::MAX));
        self.slots.push(slot);
        ix
    }

    fn position_of(&self, name: &str) -> Result<usize, usize> {
        self.by_name.binary_search_by(|ix| {
            let held: &str = &self.get(*ix).record.peer.name;
            held.cmp(name)
        })
    }

    /// Adds a record to the digest of its part, unless it is dead.
    fn add_hash(&mut self, ix: MemberIx) {
        let (part, hash) = self.hash_in_digest(ix);
        self.parts[part] = self.parts[part].wrapping_add(hash);
    }

    fn subtract_hash(&mut self, ix: MemberIx) {
        let (part, hash) = self.hash_in_digest(ix);
        self.parts[part] = self.parts[part].wrapping_sub(hash);
    }

    fn hash_in_digest(&self, ix: MemberIx) -> (usize, u64) {
        let slot = self.get(ix);
        let hash = if slot.is_present() { slot.hash() } else { 0 };
        (slot.part(), hash)
    }

    /// Replaces a record's names by interned copies.
    fn intern_names(&mut self, mut record: MemberRecord) -> MemberRecord {
        if self.interned.len() >= MAX_INTERNED_NAMES {
            self.interned
                .retain(|name| std::sync::Arc::strong_count(name) > 1);
        }
        record.data_centre = self.intern(record.data_centre);
        record.serves = record.serves.into_iter().map(|n| self.intern(n)).collect();
        record
    }

    fn intern(&mut self, name: Name) -> Name {
        if let Some(held) = self.interned.get(&name) {
            return held.clone();
        }
        self.interned.insert(name.clone());
        name
    }
}

/// Returns whether a hash belongs to the slot's member, in any state.
pub(crate) const fn is_of_name(hash: u64, slot: &Slot) -> bool {
    hash >> NAME_SHIFT == slot.name_hash as u64
}

fn hash_of_name(name: &Name) -> u32 {
    low_bits(Digest::of(&[name.as_bytes()]))
}

fn hash_of_state(record: &MemberRecord) -> u32 {
    low_bits(Digest::of(&[
        &record.peer.incarnation.0.to_le_bytes(),
        &record.revision.to_le_bytes(),
        &[record.state as u8],
    ]))
}

fn low_bits(digest: Digest) -> u32 {
    u32::try_from(digest.0 & u128::from(u32::MAX)).unwrap_or(u32::MAX)
}
