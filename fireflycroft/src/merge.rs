//! How records are merged into the table.
//!
//! A record is ordered by incarnation, then by turn, then by state. What is
//! behind the table is reported back, so that its teller can be put right.
//! Leaving is kept for the rest of a life; bad news by hearsay is checked.

use crate::ids::Peer;
use crate::log_event::LogEvent;
use crate::member::{Members, SUSPECT_SPAN};
use crate::member_record::{MemberAction, MemberRecord, MemberState};
use crate::probe::ProbeKind;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::time::Duration;

/// Direct evidence of that age outweighs bad news.
const FRESH: Duration = Duration::from_secs(1);

/// Turn of a record made up from a message's header; any statement of the
/// member itself is later.
const HEADER_TURN: u64 = 0;

/// Where a record came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The member itself.
    Direct,
    /// Another process, as a change of late.
    Gossip,
    /// Another process, as a part of its table.
    Page,
}

/// What became of a record that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Learned {
    /// It changed the table, or is being checked.
    News,
    /// It was known.
    Same,
    /// The table holds a later one.
    Older,
}

impl Members {
    /// Takes records that came with a message; gives those that are out of date.
    pub(crate) fn learn_all(
        &mut self,
        now: Time,
        from: &Peer,
        records: Vec<MemberRecord>,
        source: Source,
        out: &mut Vec<MemberAction>,
    ) -> Vec<MemberIx> {
        let mut behind = Vec::new();
        for record in records {
            let name = record.peer.name.clone();
            let source = if record.peer == *from {
                Source::Direct
            } else {
                source
            };
            if self.learn(now, record, source, out) == Learned::Older {
                behind.extend(self.roster.find(&name));
            }
        }
        behind
    }

    fn learn(
        &mut self,
        now: Time,
        record: MemberRecord,
        source: Source,
        out: &mut Vec<MemberAction>,
    ) -> Learned {
        if record.peer.name == self.own().peer.name {
            return self.learn_own(now, &record, out);
        }
        let hearsay = source != Source::Direct && record.state != MemberState::Dead;
        if hearsay && self.is_displaced(&record) {
            return Learned::Older;
        }
        let Some(ix) = self.roster.find(&record.peer.name) else {
            return self.learn_new(now, record, source, out);
        };
        let held = &self.roster.get(ix).record;
        if record.peer.incarnation < held.peer.incarnation {
            return Learned::Older;
        }
        if record.peer.incarnation > held.peer.incarnation {
            self.change(now, ix, record, true, out);
            self.displace_others(now, ix, out);
            self.check_if_suspect(now, ix);
            return Learned::News;
        }
        self.learn_turn(now, ix, record, source, out)
    }

    /// A record of a member not held; of the dead none is made.
    fn learn_new(
        &mut self,
        now: Time,
        record: MemberRecord,
        source: Source,
        out: &mut Vec<MemberAction>,
    ) -> Learned {
        if record.state == MemberState::Dead {
            return Learned::Same;
        }
        let Some(ix) = self.insert(now, record, out) else {
            return Learned::Same;
        };
        if source != Source::Page {
            self.gossip.push(ix);
        }
        self.displace_others(now, ix, out);
        self.check_if_suspect(now, ix);
        Learned::News
    }

    /// A record of the life that is held.
    fn learn_turn(
        &mut self,
        now: Time,
        ix: MemberIx,
        record: MemberRecord,
        source: Source,
        out: &mut Vec<MemberAction>,
    ) -> Learned {
        let held = &self.roster.get(ix).record;
        let order = (record.turn, record.state).cmp(&(held.turn, held.state));
        if order.is_eq() {
            return Learned::Same;
        }
        // Leaving is kept even by a record that is behind in its turn.
        let leaves = record.state == MemberState::Leaving && held.state < MemberState::Leaving;
        if order.is_lt() && !leaves {
            return Learned::Older;
        }
        if record.state == MemberState::Dead {
            self.learn_dead(now, ix, record, source, out);
        } else if record.state == MemberState::Suspect {
            self.learn_suspect(now, ix, record, out);
        } else {
            self.learn_good(now, ix, record, out);
        }
        Learned::News
    }

    fn learn_good(
        &mut self,
        now: Time,
        ix: MemberIx,
        mut record: MemberRecord,
        out: &mut Vec<MemberAction>,
    ) {
        let held = &self.roster.get(ix).record;
        if held.state == MemberState::Leaving {
            record.state = MemberState::Leaving;
        }
        record.turn = record.turn.max(held.turn);
        self.change(now, ix, record, true, out);
        self.displace_others(now, ix, out);
    }

    fn learn_suspect(
        &mut self,
        now: Time,
        ix: MemberIx,
        mut record: MemberRecord,
        out: &mut Vec<MemberAction>,
    ) {
        let slot = self.roster.get(ix);
        let held = slot.record.state;
        let fresh = held == MemberState::Alive && slot.heard_within(now, FRESH);
        if held == MemberState::Leaving || fresh {
            record.state = held;
            self.change(now, ix, record, false, out);
            self.check(now, ix, ProbeKind::Accused);
            return;
        }
        self.change(now, ix, record, true, out);
        self.check(now, ix, ProbeKind::Suspected);
    }

    fn learn_dead(
        &mut self,
        now: Time,
        ix: MemberIx,
        mut record: MemberRecord,
        source: Source,
        out: &mut Vec<MemberAction>,
    ) {
        let slot = self.roster.get(ix);
        let held = slot.record.state;
        let waited = now.since(slot.since) >= SUSPECT_SPAN && now >= self.grace_until;
        let stayed = held == MemberState::Suspect && waited && !slot.heard_within(now, FRESH);
        if held == MemberState::Dead || stayed || source == Source::Direct {
            self.change(now, ix, record, true, out);
            return;
        }
        record.state = held;
        self.change(now, ix, record, false, out);
        self.check(now, ix, ProbeKind::Accused);
    }

    /// What others say of this process.
    fn learn_own(
        &mut self,
        now: Time,
        record: &MemberRecord,
        out: &mut Vec<MemberAction>,
    ) -> Learned {
        let own = self.own();
        if record.peer.incarnation > own.peer.incarnation {
            self.note_replaced(&record.peer, out);
            return Learned::Same;
        }
        if record.peer.incarnation < own.peer.incarnation {
            return Learned::Older;
        }
        if (record.turn, record.state) == (own.turn, own.state) {
            return Learned::Same;
        }
        if record.state == MemberState::Leaving && own.state == MemberState::Alive {
            self.leave(now, out);
            out.push(MemberAction::Changed(self.own().clone()));
            return Learned::Older;
        }
        if (record.turn, record.state) > (own.turn, own.state) {
            let turn = record.turn;
            self.restate(now, |own| own.turn = own.turn.max(turn), out);
            out.push(MemberAction::LogEvent(
                LogEvent::new("member_refuted").count(turn),
            ));
        }
        Learned::Older
    }

    /// Calls dead whoever else was known at the address of `ix`.
    fn displace_others(&mut self, now: Time, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let slot = self.roster.get(ix);
        if !slot.is_present() {
            return;
        }
        let addr = slot.record.peer.addr;
        while let Some(former) = self.roster.holder_of(addr, Some(ix)) {
            if former == OWN {
                self.mark(now, ix, MemberState::Dead, out);
                return;
            }
            self.mark(now, former, MemberState::Dead, out);
        }
    }

    /// Whether a later life of another name is known at the record's address.
    fn is_displaced(&self, record: &MemberRecord) -> bool {
        let except = self.roster.find(&record.peer.name);
        let Some(holder) = self.roster.holder_of(record.peer.addr, except) else {
            return false;
        };
        let later = self.roster.get(holder).record.peer.incarnation > record.peer.incarnation;
        holder == OWN || later
    }

    fn check_if_suspect(&mut self, now: Time, ix: MemberIx) {
        if self.roster.get(ix).record.state == MemberState::Suspect {
            self.check(now, ix, ProbeKind::Suspected);
        }
    }

    /// Takes the header of a later life until its own record comes.
    pub(crate) fn on_new_life(
        &mut self,
        now: Time,
        ix: MemberIx,
        peer: &Peer,
        out: &mut Vec<MemberAction>,
    ) {
        let record = MemberRecord {
            peer: peer.clone(),
            data_centre: self.roster.get(ix).record.data_centre.clone(),
            state: MemberState::Alive,
            turn: HEADER_TURN,
            serves: Vec::new(),
        };
        self.change(now, ix, record, false, out);
        self.displace_others(now, ix, out);
    }
}
