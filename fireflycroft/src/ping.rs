//! Pings, pongs and pings relayed for other members.
//!
//! A ping with the sender's own record introduces it, and the receiver answers with
//! its own record. Pings and pongs to a suspect member contain its record, so that
//! it can refute the suspicion at once.

use crate::ids::{Name, Peer};
use crate::member::Members;
use crate::member_record::{MemberAction, MemberRecord, MemberState};
use crate::merge::RecordSource;
use crate::message::Message;
use crate::probe::ProbeKind;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Members sent to a newcomer, so that it does not depend on the seeds alone.
const NEWCOMER_SAMPLE: usize = 16;

/// Most relayed pings awaiting an answer.
const MAX_RELAYS: usize = 64;
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// A ping relayed for another member.
#[derive(Clone, Debug)]
struct Relay {
    nonce: u64,
    target: Name,
    requester: SocketAddr,
    requester_nonce: u64,
    at: Time,
}

/// Relayed pings awaiting an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Relays(Vec<Relay>);

impl Relays {
    /// Drops relayed pings that were not answered in time.
    pub(crate) fn expire(&mut self, now: Time) {
        self.0.retain(|r| now.since(r.at) < RELAY_TIMEOUT);
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
        let revision = self.own().revision;
        let introduced = records.iter().any(|r| r.peer.name == from.name);
        let newcomer = self.is_newcomer(from);
        let outdated = self.merge_records(now, from, records, RecordSource::Gossip, out);
        let sender = self.record_received(now, from, out);
        let sample = if newcomer {
            self.sample_members(sender, NEWCOMER_SAMPLE)
        } else {
            Vec::new()
        };
        let disputed = sender.and_then(|ix| self.record_for_sender(ix, from));
        let own_updated = self.own().revision != revision;
        let records = self.payload(now, |roster, payload| {
            if introduced || own_updated {
                payload.add(roster.own());
            }
            if let Some(record) = &disputed {
                payload.add(record);
            }
            for ix in outdated.into_iter().chain(sample) {
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
        let outdated = self.merge_records(now, from, records, RecordSource::Gossip, out);
        self.on_received(now, from, out);
        if let Some(relay) = self.relays.take(nonce, &from.name) {
            self.answer_requester(&relay, out);
        }
        if let Some(ix) = self.roster.find(&from.name) {
            self.on_leave_acknowledged(ix, nonce);
        }
        if let Some(ix) = self.prober.probed_by(nonce) {
            self.on_probe_answered(ix);
        }
        if outdated.contains(&OWN) {
            self.introduce_limited(now, from.addr, out);
        }
        self.compare_views(now, from, view, out);
    }

    /// Relays a ping to a member.
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
            requester: from.addr,
            requester_nonce: nonce,
            at: now,
        };
        self.merge_records(now, from, vec![target.clone()], RecordSource::Gossip, out);
        self.on_received(now, from, out);
        if relay.target == self.own().peer.name {
            self.answer_requester(&relay, out);
        } else if self.relays.0.len() < MAX_RELAYS {
            self.send_ping(target.peer.addr, relay.nonce, refutable(target), out);
            self.relays.0.push(relay);
        }
    }

    /// Sends a suspect or dead member its record, so that it can refute it.
    pub(crate) fn prompt_refutation(
        &mut self,
        now: Time,
        ix: MemberIx,
        out: &mut Vec<MemberAction>,
    ) {
        let state = self.roster.get(ix).record.state;
        let needs_refutation = matches!(state, MemberState::Suspect | MemberState::Dead);
        if needs_refutation && self.prober.extra_pings.try_consume(now) {
            self.ping(ix, out);
        }
    }

    /// Introduces this process to an unknown sender, within the limit on extra pings.
    pub(crate) fn introduce_limited(
        &mut self,
        now: Time,
        addr: SocketAddr,
        out: &mut Vec<MemberAction>,
    ) {
        if self.prober.extra_pings.try_consume(now) {
            self.introduce(now, addr, out);
        }
    }

    /// Pings an address with this process's own record; the answer contains the
    /// receiver's.
    pub(crate) fn introduce(&mut self, now: Time, addr: SocketAddr, out: &mut Vec<MemberAction>) {
        let nonce = self.draw_nonce();
        let records = self.payload(now, |roster, payload| {
            payload.add(roster.own());
        });
        self.send_ping(addr, nonce, records, out);
    }

    /// Pings a member once, with its record if it should refute it.
    pub(crate) fn ping(&mut self, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let nonce = self.draw_nonce();
        let record = self.roster.get(ix).record.clone();
        self.send_ping(record.peer.addr, nonce, refutable(record), out);
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

    /// Returns a member's record as a probe of that kind sends it.
    pub(crate) fn probed_record(&self, ix: MemberIx, kind: ProbeKind) -> MemberRecord {
        let mut record = self.roster.get(ix).record.clone();
        if kind == ProbeKind::Reported {
            record.state = MemberState::Dead;
        }
        record
    }

    pub(crate) fn draw_nonce(&mut self) -> u64 {
        u64::try_from(self.ids.draw().0 >> u64::BITS).unwrap_or(0)
    }

    /// Sends the pong of a relayed ping to its requester.
    fn answer_requester(&self, relay: &Relay, out: &mut Vec<MemberAction>) {
        let pong = Message::Pong {
            nonce: relay.requester_nonce,
            records: self.get(&relay.target).cloned().into_iter().collect(),
            view: self.view(),
        };
        out.push(MemberAction::Send(relay.requester, pong));
    }

    /// Returns whether this incarnation of the sender is not yet known.
    fn is_newcomer(&self, from: &Peer) -> bool {
        let held = self.get(&from.name).map(|r| r.peer.incarnation);
        held.is_none_or(|held| held < from.incarnation)
    }

    /// Returns the record of the sender of a ping, if it should refute it or has been
    /// replaced by a later incarnation.
    fn record_for_sender(&self, ix: MemberIx, from: &Peer) -> Option<MemberRecord> {
        let record = self.roster.get(ix).record.clone();
        if record.peer.incarnation > from.incarnation {
            return Some(record);
        }
        refutable(record).pop()
    }
}

/// Returns the record if its member should refute it.
pub(crate) fn refutable(record: MemberRecord) -> Vec<MemberRecord> {
    match record.state {
        MemberState::Suspect | MemberState::Dead => vec![record],
        MemberState::Alive | MemberState::Leaving => Vec::new(),
    }
}
