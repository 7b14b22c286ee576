//! Who is in the fleet, as one process sees it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fireflycroft::{Digest, MemberRecord, MemberState, Message, Name, Peer, Role, Time};

use crate::outbox::Outbox;

const PING_EVERY: Duration = Duration::from_millis(500);
const SUSPECT_AFTER: Duration = Duration::from_secs(2);
const DEAD_AFTER: Duration = Duration::from_secs(6);
const MAX_RECORDS: usize = 64;

struct Known {
    record: MemberRecord,
    heard: Time,
}

/// Members known, and pings to them.
pub struct Fleet {
    own: MemberRecord,
    seeds: Vec<SocketAddr>,
    members: HashMap<Name, Known>,
    pinged: Time,
    nonce: u64,
}

impl Fleet {
    /// A fleet of which only `own` is known.
    #[must_use]
    pub fn new(own: MemberRecord, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds,
            members: HashMap::new(),
            pinged: Time::default(),
            nonce: 0,
        }
    }

    /// Says to all that this process takes no new work.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.turn += 1;
        self.pinged = Time::default();
    }

    /// Members known, without this process.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|k| &k.record)
    }

    /// Mailboxes of all members that may be alive.
    #[must_use]
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let alive = |r: &&MemberRecord| r.state != MemberState::Dead;
        self.members().filter(alive).map(|r| r.peer.addr).collect()
    }

    /// Place of this process among the entries alive, by a hash of the names
    /// that all agree on; the first is 0.
    #[must_use]
    pub fn rank(&self) -> usize {
        let weight = |name: &Name| Digest::of(&[b"rank", name.as_bytes()]);
        let own = weight(&self.own.peer.name);
        let is_entry =
            |r: &&MemberRecord| r.peer.role == Role::Entry && r.state == MemberState::Alive;
        self.members()
            .filter(is_entry)
            .filter(|r| weight(&r.peer.name) > own)
            .count()
    }

    /// Says what the upstream of this process holds now; true when it changed.
    pub fn set_serves(&mut self, serves: &[Name]) -> bool {
        if self.own.serves == serves {
            return false;
        }
        self.own.serves = serves.to_vec();
        self.own.turn += 1;
        self.pinged = Time::default();
        true
    }

    /// Entries alive, this process counted.
    #[must_use]
    pub fn entries(&self) -> u32 {
        let is_entry =
            |r: &&MemberRecord| r.peer.role == Role::Entry && r.state == MemberState::Alive;
        let others = self.members().filter(is_entry).count();
        let own = usize::from(self.own.peer.role == Role::Entry);
        u32::try_from(others + own).unwrap_or(u32::MAX).max(1)
    }

    /// Takes a ping or pong; gives the records that changed.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &Peer,
        message: &Message,
        out: &mut Outbox,
    ) -> Vec<MemberRecord> {
        let records = match message {
            Message::Ping { nonce, records, .. } => {
                let pong = Message::Pong {
                    nonce: *nonce,
                    records: self.records(),
                    view: 0,
                };
                out.push(from.addr, pong);
                records
            }
            Message::Pong { records, .. } => records,
            _ => return Vec::new(),
        };
        let mut changed = Vec::new();
        for record in records {
            let direct = record.peer == *from;
            if self.learn(now, record, direct) {
                changed.push(record.clone());
            }
        }
        changed
    }

    fn learn(&mut self, now: Time, record: &MemberRecord, direct: bool) -> bool {
        if record.peer.name == self.own.peer.name {
            return false;
        }
        let Some(known) = self.members.get_mut(&record.peer.name) else {
            let record = record.clone();
            self.members
                .insert(record.peer.name.clone(), Known { record, heard: now });
            return true;
        };
        if direct {
            known.heard = now;
        }
        let life = |r: &MemberRecord| (r.peer.incarnation, r.turn);
        let newer = life(record) > life(&known.record);
        let back = direct && known.record != *record && life(record) == life(&known.record);
        if newer || back {
            known.record = record.clone();
            known.heard = now;
        }
        newer || back
    }

    /// Pings and ages members; gives the records that changed.
    pub fn on_tick(&mut self, now: Time, out: &mut Outbox) -> Vec<MemberRecord> {
        if self.pinged != Time::default() && now.since(self.pinged) < PING_EVERY {
            return Vec::new();
        }
        self.pinged = now;
        self.nonce += 1;
        let mut addrs = self.addrs();
        addrs.extend(&self.seeds);
        addrs.sort_unstable();
        addrs.dedup();
        let ping = Message::Ping {
            nonce: self.nonce,
            records: self.records(),
            view: 0,
        };
        for addr in addrs.into_iter().filter(|a| *a != self.own.peer.addr) {
            out.push(addr, ping.clone());
        }
        self.age(now)
    }

    fn age(&mut self, now: Time) -> Vec<MemberRecord> {
        let mut changed = Vec::new();
        for known in self.members.values_mut() {
            let quiet = now.since(known.heard);
            let state = match known.record.state {
                MemberState::Alive if quiet >= SUSPECT_AFTER => MemberState::Suspect,
                MemberState::Suspect | MemberState::Leaving if quiet >= DEAD_AFTER => {
                    MemberState::Dead
                }
                other => other,
            };
            if state != known.record.state {
                known.record.state = state;
                changed.push(known.record.clone());
            }
        }
        changed
    }

    fn records(&self) -> Vec<MemberRecord> {
        let alive = |r: &&MemberRecord| r.state == MemberState::Alive;
        let others = self.members().filter(alive).take(MAX_RECORDS).cloned();
        std::iter::once(self.own.clone()).chain(others).collect()
    }
}
