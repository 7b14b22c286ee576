//! Pings, their answers and pings for others.
//!
//! A ping that holds the sender's own record introduces it and is answered by
//! the receiver's. A member that is doubted is told so in pings and pongs, so
//! that it can refute the doubt at once.

use crate::ids::{Name, Peer};
use crate::member::Members;
use crate::member_record::{MemberAction, MemberRecord, MemberState};
use crate::merge::Source;
use crate::message::Message;
use crate::probe::ProbeKind;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Members named to a newcomer, so that it does not lean on the seeds alone.
const SAMPLE: usize = 16;

/// Pings under way for others.
const MAX_RELAYS: usize = 64;
const RELAY_WAIT: Duration = Duration::from_secs(2);

/// A ping sent for another member.
#[derive(Clone, Debug)]
struct Relay {
    nonce: u64,
    target: Name,
    asker: SocketAddr,
    asker_nonce: u64,
    at: Time,
}

/// Pings sent for other members.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relays(Vec<Relay>);

impl Relays {
    /// Drops those that were not answered in time.
    pub(crate) fn expire(&mut self, now: Time) {
        self.0.retain(|r| now.since(r.at) < RELAY_WAIT);
    }

    fn take(&mut self, nonce: u64, target: &Name) -> Option<Relay> {
        let mut relays = self.0.iter();
        let at = relays.position(|r| r.nonce == nonce && r.target == *target)?;
        Some(self.0.swap_remove(at))
    }
}

impl Members {
    pub(crate) fn on_ping(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        records: Vec<MemberRecord>,
        view: u64,
        out: &mut Vec<MemberAction>,
    ) {
        let turn = self.own().turn;
        let introduced = records.iter().any(|r| r.peer.name == from.name);
        let newcomer = self.is_newcomer(from);
        let behind = self.learn_all(now, from, records, Source::Gossip, out);
        let sender = self.note_heard(now, from, out);
        let sample = if newcomer {
            self.some_members(sender, SAMPLE)
        } else {
            Vec::new()
        };
        let doubt = sender.and_then(|ix| self.answer_doubt(ix, from));
        let restated = self.own().turn != turn;
        let records = self.payload(now, |roster, payload| {
            if introduced || restated {
                payload.add(roster.own());
            }
            if let Some(record) = &doubt {
                payload.add(record);
            }
            for ix in behind.into_iter().chain(sample) {
                payload.add(&roster.get(ix).record);
            }
        });
        let pong = Message::Pong {
            nonce,
            records,
            view: self.view(),
        };
        out.push(MemberAction::Send(from.addr, pong));
        self.compare_views(now, from, view, out);
    }

    pub(crate) fn on_pong(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        records: Vec<MemberRecord>,
        view: u64,
        out: &mut Vec<MemberAction>,
    ) {
        let behind = self.learn_all(now, from, records, Source::Gossip, out);
        self.on_heard(now, from, out);
        if let Some(relay) = self.relays.take(nonce, &from.name) {
            self.pass_on(&relay, out);
        }
        if let Some(ix) = self.roster.find(&from.name) {
            self.on_farewell_answer(ix, nonce);
        }
        if let Some(ix) = self.prober.probed_by(nonce) {
            self.on_answer(ix);
        }
        if behind.contains(&OWN) {
            self.greet(now, from.addr, out);
        }
        self.compare_views(now, from, view, out);
    }

    /// Pings a member for another.
    pub(crate) fn on_ping_via(
        &mut self,
        now: Time,
        from: &Peer,
        nonce: u64,
        target: MemberRecord,
        out: &mut Vec<MemberAction>,
    ) {
        let relay = Relay {
            nonce: self.draw_nonce(),
            target: target.peer.name.clone(),
            asker: from.addr,
            asker_nonce: nonce,
            at: now,
        };
        self.learn_all(now, from, vec![target.clone()], Source::Gossip, out);
        self.on_heard(now, from, out);
        if relay.target == self.own().peer.name {
            self.pass_on(&relay, out);
        } else if self.relays.0.len() < MAX_RELAYS {
            self.send_ping(target.peer.addr, relay.nonce, doubts(target), out);
            self.relays.0.push(relay);
        }
    }

    /// Tells a member that was heard how it is held, so that it may refute it.
    pub(crate) fn contradict(&mut self, now: Time, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let state = self.roster.get(ix).record.state;
        let doubted = matches!(state, MemberState::Suspect | MemberState::Dead);
        if doubted && self.prober.extra.take(now) {
            self.ping(ix, out);
        }
    }

    /// Introduces this process to a mailbox whose owner is not known.
    pub(crate) fn greet(&mut self, now: Time, addr: SocketAddr, out: &mut Vec<MemberAction>) {
        if self.prober.extra.take(now) {
            self.introduce(now, addr, out);
        }
    }

    /// Pings a mailbox with this process's own record, which asks for its owner's.
    pub(crate) fn introduce(&mut self, now: Time, addr: SocketAddr, out: &mut Vec<MemberAction>) {
        let nonce = self.draw_nonce();
        let records = self.payload(now, |roster, payload| {
            payload.add(roster.own());
        });
        self.send_ping(addr, nonce, records, out);
    }

    /// Pings a member once, with what it is to refute.
    pub(crate) fn ping(&mut self, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let nonce = self.draw_nonce();
        let record = self.roster.get(ix).record.clone();
        self.send_ping(record.peer.addr, nonce, doubts(record), out);
    }

    pub(crate) fn send_ping(
        &self,
        addr: SocketAddr,
        nonce: u64,
        records: Vec<MemberRecord>,
        out: &mut Vec<MemberAction>,
    ) {
        let ping = Message::Ping {
            nonce,
            records,
            view: self.view(),
        };
        out.push(MemberAction::Send(addr, ping));
    }

    /// The record of a member, as a probe of that kind puts it.
    pub(crate) fn accusation(&self, ix: MemberIx, kind: ProbeKind) -> MemberRecord {
        let mut record = self.roster.get(ix).record.clone();
        if kind == ProbeKind::Accused {
            record.state = MemberState::Dead;
        }
        record
    }

    pub(crate) fn draw_nonce(&mut self) -> u64 {
        u64::try_from(self.ids.draw().0 >> u64::BITS).unwrap_or(0)
    }

    /// Gives the asker of a relay its pong.
    fn pass_on(&self, relay: &Relay, out: &mut Vec<MemberAction>) {
        let pong = Message::Pong {
            nonce: relay.asker_nonce,
            records: self.get(&relay.target).cloned().into_iter().collect(),
            view: self.view(),
        };
        out.push(MemberAction::Send(relay.asker, pong));
    }

    /// Whether this life of the sender is not yet known.
    fn is_newcomer(&self, from: &Peer) -> bool {
        let held = self.get(&from.name).map(|r| r.peer.incarnation);
        held.is_none_or(|held| held < from.incarnation)
    }

    /// What the sender of a ping should know of how it is held.
    fn answer_doubt(&self, ix: MemberIx, from: &Peer) -> Option<MemberRecord> {
        let record = self.roster.get(ix).record.clone();
        if record.peer.incarnation > from.incarnation {
            return Some(record);
        }
        doubts(record).pop()
    }
}

/// The record, if its member is to refute it.
pub(crate) fn doubts(record: MemberRecord) -> Vec<MemberRecord> {
    match record.state {
        MemberState::Suspect | MemberState::Dead => vec![record],
        MemberState::Alive | MemberState::Leaving => Vec::new(),
    }
}
