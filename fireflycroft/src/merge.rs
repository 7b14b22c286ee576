//! Merging of received records into the table.
//!
//! Records are ordered by incarnation, then by revision, then by state. Records
//! older than the table are reported back, so that their sender can be corrected.
//! Leaving is kept for the rest of an incarnation; second-hand reports of failure
//! are verified.

use crate::ids::Peer;
use crate::log_event::LogEvent;
use crate::member::{Members, SUSPECT_TIMEOUT};
use crate::member_record::{MemberAction, MemberRecord, MemberState};
use crate::probe::ProbeKind;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::time::Duration;

/// Direct evidence younger than this outweighs reports of failure.
const FRESH_EVIDENCE_AGE: Duration = Duration::from_secs(1);

/// Revision of a record built from a message's header; any update of the member
/// itself is higher.
const HEADER_REVISION: u64 = 0;

/// Origin of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordSource {
    /// The member itself.
    Direct,
    /// Another process, as a recent change.
    Gossip,
    /// Another process, as a part of its table.
    Page,
}

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// It changed the table, or is being verified.
    Applied,
    /// The table held it already.
    Unchanged,
    /// The table holds a later record.
    Outdated,
}

impl Members {
    /// Merges the records of a message; returns the members whose records were outdated.
    pub(crate) fn merge_records(
        &mut self,
        now: Time,
        from: &Peer,
        records: Vec<MemberRecord>,
        source: RecordSource,
        out: &mut Vec<MemberAction>,
    ) -> Vec<MemberIx> {
        let mut outdated = Vec::new();
        for record in records {
            let name = record.peer.name.clone();
            let source = if record.peer == *from {
                RecordSource::Direct
            } else {
                source
            };
            if self.merge_record(now, record, source, out) == MergeOutcome::Outdated {
                outdated.extend(self.roster.find(&name));
            }
        }
        outdated
    }

    fn merge_record(
        &mut self,
        now: Time,
        record: MemberRecord,
        source: RecordSource,
        out: &mut Vec<MemberAction>,
    ) -> MergeOutcome {
        if record.peer.name == self.own().peer.name {
            return self.merge_own(now, &record, out);
        }
        let second_hand = source != RecordSource::Direct && record.state != MemberState::Dead;
        if second_hand && self.is_address_reassigned(&record) {
            return MergeOutcome::Outdated;
        }
        let Some(ix) = self.roster.find(&record.peer.name) else {
            return self.merge_unknown(now, record, source, out);
        };
        let held = &self.roster.get(ix).record;
        if record.peer.incarnation < held.peer.incarnation {
            return MergeOutcome::Outdated;
        }
        if record.peer.incarnation > held.peer.incarnation {
            self.change(now, ix, record, true, out);
            self.mark_former_holders_dead(now, ix, out);
            self.probe_if_suspect(now, ix);
            return MergeOutcome::Applied;
        }
        self.merge_same_incarnation(now, ix, record, source, out)
    }

    /// Adds a member that is not held, unless it is dead.
    fn merge_unknown(
        &mut self,
        now: Time,
        record: MemberRecord,
        source: RecordSource,
        out: &mut Vec<MemberAction>,
    ) -> MergeOutcome {
        if record.state == MemberState::Dead {
            return MergeOutcome::Unchanged;
        }
        let Some(ix) = self.insert(now, record, out) else {
            return MergeOutcome::Unchanged;
        };
        if source != RecordSource::Page {
            self.gossip.push(ix);
        }
        self.mark_former_holders_dead(now, ix, out);
        self.probe_if_suspect(now, ix);
        MergeOutcome::Applied
    }

    /// Merges a record of the incarnation that is held.
    fn merge_same_incarnation(
        &mut self,
        now: Time,
        ix: MemberIx,
        record: MemberRecord,
        source: RecordSource,
        out: &mut Vec<MemberAction>,
    ) -> MergeOutcome {
        let held = &self.roster.get(ix).record;
        let order = (record.revision, record.state).cmp(&(held.revision, held.state));
        if order.is_eq() {
            return MergeOutcome::Unchanged;
        }
        // Leaving is applied even when the record's revision is lower.
        let starts_leaving =
            record.state == MemberState::Leaving && held.state < MemberState::Leaving;
        if order.is_lt() && !starts_leaving {
            return MergeOutcome::Outdated;
        }
        if record.state == MemberState::Dead {
            self.merge_dead(now, ix, record, source, out);
        } else if record.state == MemberState::Suspect {
            self.merge_suspect(now, ix, record, out);
        } else {
            self.merge_alive_or_leaving(now, ix, record, out);
        }
        MergeOutcome::Applied
    }

    fn merge_alive_or_leaving(
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
        record.revision = record.revision.max(held.revision);
        self.change(now, ix, record, true, out);
        self.mark_former_holders_dead(now, ix, out);
    }

    fn merge_suspect(
        &mut self,
        now: Time,
        ix: MemberIx,
        mut record: MemberRecord,
        out: &mut Vec<MemberAction>,
    ) {
        let slot = self.roster.get(ix);
        let held = slot.record.state;
        let recently_received =
            held == MemberState::Alive && slot.received_within(now, FRESH_EVIDENCE_AGE);
        if held == MemberState::Leaving || recently_received {
            record.state = held;
            self.change(now, ix, record, false, out);
            self.request_probe(now, ix, ProbeKind::Reported);
            return;
        }
        self.change(now, ix, record, true, out);
        self.request_probe(now, ix, ProbeKind::Suspected);
    }

    fn merge_dead(
        &mut self,
        now: Time,
        ix: MemberIx,
        mut record: MemberRecord,
        source: RecordSource,
        out: &mut Vec<MemberAction>,
    ) {
        let slot = self.roster.get(ix);
        let held = slot.record.state;
        let timed_out = now.since(slot.state_since) >= SUSPECT_TIMEOUT && now >= self.grace_until;
        let suspicion_expired = held == MemberState::Suspect
            && timed_out
            && !slot.received_within(now, FRESH_EVIDENCE_AGE);
        if held == MemberState::Dead || suspicion_expired || source == RecordSource::Direct {
            self.change(now, ix, record, true, out);
            return;
        }
        record.state = held;
        self.change(now, ix, record, false, out);
        self.request_probe(now, ix, ProbeKind::Reported);
    }

    /// Handles a record of this process that others sent, and refutes it if needed.
    fn merge_own(
        &mut self,
        now: Time,
        record: &MemberRecord,
        out: &mut Vec<MemberAction>,
    ) -> MergeOutcome {
        let own = self.own();
        if record.peer.incarnation > own.peer.incarnation {
            self.record_replaced(&record.peer, out);
            return MergeOutcome::Unchanged;
        }
        if record.peer.incarnation < own.peer.incarnation {
            return MergeOutcome::Outdated;
        }
        if (record.revision, record.state) == (own.revision, own.state) {
            return MergeOutcome::Unchanged;
        }
        if record.state == MemberState::Leaving && own.state == MemberState::Alive {
            self.leave(now, out);
            out.push(MemberAction::Changed(self.own().clone()));
            return MergeOutcome::Outdated;
        }
        if (record.revision, record.state) > (own.revision, own.state) {
            let revision = record.revision;
            self.update_own(now, |own| own.revision = own.revision.max(revision), out);
            out.push(MemberAction::LogEvent(
                LogEvent::new("member_refuted").count(revision),
            ));
        }
        MergeOutcome::Outdated
    }

    /// Marks dead every other member known at the address of `ix`, or `ix` itself when
    /// this process holds the address.
    fn mark_former_holders_dead(&mut self, now: Time, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let slot = self.roster.get(ix);
        if !slot.is_present() {
            return;
        }
        let addr = slot.record.peer.addr;
        while let Some(former) = self.roster.holder_of(addr, Some(ix)) {
            if former == OWN {
                self.set_state(now, ix, MemberState::Dead, out);
                return;
            }
            self.set_state(now, former, MemberState::Dead, out);
        }
    }

    /// Returns whether the record's address is held by this process or by a later
    /// incarnation of another name.
    fn is_address_reassigned(&self, record: &MemberRecord) -> bool {
        let except = self.roster.find(&record.peer.name);
        let Some(holder) = self.roster.holder_of(record.peer.addr, except) else {
            return false;
        };
        let later = self.roster.get(holder).record.peer.incarnation > record.peer.incarnation;
        holder == OWN || later
    }

    fn probe_if_suspect(&mut self, now: Time, ix: MemberIx) {
        if self.roster.get(ix).record.state == MemberState::Suspect {
            self.request_probe(now, ix, ProbeKind::Suspected);
        }
    }

    /// Replaces a record by one built from the header of a later incarnation, until the
    /// member's own record arrives.
    pub(crate) fn on_new_incarnation(
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
            revision: HEADER_REVISION,
            serves: Vec::new(),
        };
        self.change(now, ix, record, false, out);
        self.mark_former_holders_dead(now, ix, out);
    }
}
