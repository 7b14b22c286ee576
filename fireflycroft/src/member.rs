//! Fleet membership: member records, their order and how they are merged.
//!
//! Each process pings one other each second and adds recent changes to its
//! pings and pongs. Records are ordered by incarnation, then by revision, which
//! only the member itself increments, then by state. Alive and leaving are
//! accepted from anyone. Reports of failure are verified: a member is dead here
//! when it did not answer this process, or when it stayed suspect for all of
//! [`SUSPECT_TIMEOUT`] and another process found it dead. A member that receives
//! a record that calls it suspect or dead refutes it with a higher revision.
//!
//! Probe scheduling is in `probe`, pings in `ping`, dissemination in `gossip`,
//! comparison of whole tables in `reconcile`, the table in `roster`, and the
//! planned stop in `leave_broadcast`.

use crate::gossip::{Gossip, Payload};
use crate::ids::{IdSource, Name, Peer, Role};
use crate::leave_broadcast::LeaveBroadcast;
use crate::log_event::LogEvent;
use crate::member_record::{MemberAction, MemberEvent, MemberRecord, MemberSetup, MemberState, Vm};
use crate::message::Message;
use crate::ping::Relays;
use crate::probe::Prober;
use crate::reconcile::Reconciler;
use crate::roster::{MemberIx, OWN, Roster};
use crate::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Most members held at once. When the table is full, a newcomer replaces the
/// longest dead member, or is rejected with the log event `members_full`.
pub const MAX_MEMBERS: usize = 4_096;

/// Time for which a member stays suspect before it is dead.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time for which dead members are kept, so that old gossip does not revive them.
pub const DEAD_RETENTION: Duration = Duration::from_mins(10);

/// Longest tolerated lag of the VM list.
///
/// A leaving mark in the list is ignored for an incarnation known for a shorter
/// time: it may concern the previous VM at the address.
pub const MAX_VM_LIST_LAG: Duration = Duration::from_secs(90);

/// Shortest time between two ticks that counts as a pause of the process.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a pause in which no member is marked suspect or dead.
pub const GRACE_PERIOD: Duration = Duration::from_secs(5);

const FIRST_REVISION: u64 = 1;

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Membership as seen by one process.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) roster: Roster,
    pub(crate) gossip: Gossip,
    pub(crate) prober: Prober,
    pub(crate) reconciler: Reconciler,
    pub(crate) relays: Relays,
    pub(crate) leave_broadcast: LeaveBroadcast,
    pub(crate) ids: IdSource,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) vms: Vec<SocketAddr>,
    /// End of the time in which no member is marked suspect or dead.
    pub(crate) grace_until: Time,
    last_tick: Option<Time>,
    last_sweep: Time,
    entry_count: u32,
    replaced: bool,
}

impl Members {
    /// Creates a membership that holds this process and its seeds.
    #[must_use]
    pub fn new(setup: MemberSetup) -> Self {
        let own = MemberRecord {
            peer: setup.me,
            data_centre: setup.data_centre,
            state: MemberState::Alive,
            revision: FIRST_REVISION,
            serves: setup.serves,
        };
        let mut gossip = Gossip::default();
        gossip.push(OWN);
        let mut seeds = setup.seeds;
        seeds.retain(|addr| *addr != own.peer.addr);
        Self {
            roster: Roster::new(own),
            gossip,
            prober: Prober::default(),
            reconciler: Reconciler::default(),
            relays: Relays::default(),
            leave_broadcast: LeaveBroadcast::default(),
            ids: IdSource::new(setup.seed),
            seeds,
            vms: Vec::new(),
            grace_until: Time::default(),
            last_tick: None,
            last_sweep: Time::default(),
            entry_count: 0,
            replaced: false,
        }
    }

    /// Handles one event at `now` and appends the resulting actions to `out`.
    pub fn on_event(&mut self, now: Time, event: MemberEvent, out: &mut Vec<MemberAction>) {
        match event {
            MemberEvent::Message(from, message) => self.on_message(now, &from, message, out),
            MemberEvent::Received(from) => self.on_received(now, &from, out),
            MemberEvent::Vms(vms) => self.on_vms(now, vms, out),
            MemberEvent::Serves(serves) => self.on_serves(now, serves, out),
            MemberEvent::Leave => self.leave(now, out),
            MemberEvent::Tick => self.on_tick(now, out),
        }
    }

    /// Returns this process's own record.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        self.roster.own()
    }

    /// Returns the record of the member with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        let ix = self.roster.find(name)?;
        Some(&self.roster.get(ix).record)
    }

    /// Returns all records, including this process's own and those of dead members.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.roster.slots().map(|slot| &slot.record)
    }

    /// Returns the digest of all records except those of dead members.
    #[must_use]
    pub fn view(&self) -> u64 {
        self.roster.view()
    }

    /// Returns whether a later incarnation of this process's name is known.
    #[must_use]
    pub const fn is_replaced(&self) -> bool {
        self.replaced
    }

    fn on_message(
        &mut self,
        now: Time,
        from: &Peer,
        message: Message,
        out: &mut Vec<MemberAction>,
    ) {
        match message {
            Message::Ping {
                nonce,
                records,
                view,
            } => self.on_ping(now, from, nonce, records, view, out),
            Message::Pong {
                nonce,
                records,
                view,
            } => self.on_pong(now, from, nonce, records, view, out),
            Message::PingVia { nonce, target } => self.on_ping_via(now, from, nonce, target, out),
            Message::ViewParts { parts } => self.on_view_parts(now, from, &parts, out),
            Message::ViewHashes {
                parts,
                hashes,
                reply,
            } => self.on_view_hashes(now, from, parts, hashes, reply, out),
            Message::ViewPage { records } => self.on_view_page(now, from, records, out),
            _ => self.on_received(now, from, out),
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        match self.last_tick.replace(now) {
            None => self.join(now, out),
            Some(last) if now.since(last) >= PAUSE_THRESHOLD => self.on_pause(now, out),
            Some(_) => {}
        }
        self.relays.expire(now);
        self.tick_leave_broadcast(now, out);
        self.tick_probes(now, out);
        self.tick_reconciler(now, out);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
        }
    }

    /// Handles any message as evidence that its sender is alive.
    pub(crate) fn on_received(&mut self, now: Time, from: &Peer, out: &mut Vec<MemberAction>) {
        if let Some(ix) = self.record_received(now, from, out) {
            self.prompt_refutation(now, ix, out);
        }
    }

    /// Records a message from a member; introduces this process to unknown senders.
    pub(crate) fn record_received(
        &mut self,
        now: Time,
        from: &Peer,
        out: &mut Vec<MemberAction>,
    ) -> Option<MemberIx> {
        if from.name == self.own().peer.name {
            self.record_replaced(from, out);
            return None;
        }
        let Some(ix) = self.roster.find(&from.name) else {
            self.introduce_limited(now, from.addr, out);
            return None;
        };
        let held = self.roster.get(ix).record.peer.incarnation;
        if from.incarnation < held {
            return Some(ix);
        }
        if from.incarnation > held {
            self.on_new_incarnation(now, ix, from, out);
            self.introduce_limited(now, from.addr, out);
        }
        self.roster.get_mut(ix).last_received = Some(now);
        self.on_probe_answered(ix);
        Some(ix)
    }

    /// Updates this process's own record and increments its revision.
    pub(crate) fn update_own(
        &mut self,
        now: Time,
        edit: impl FnOnce(&mut MemberRecord),
        out: &mut Vec<MemberAction>,
    ) {
        let mut record = self.own().clone();
        edit(&mut record);
        record.revision = record.revision.saturating_add(1);
        self.roster.replace(now, OWN, record);
        self.gossip.push(OWN);
        self.count_entries(out);
    }

    fn on_serves(&mut self, now: Time, serves: Vec<Name>, out: &mut Vec<MemberAction>) {
        if self.own().serves != serves {
            self.update_own(now, |own| own.serves = serves, out);
        }
    }

    /// Applies the VM list: addresses to try, and VMs that leave.
    fn on_vms(&mut self, now: Time, vms: Vec<Vm>, out: &mut Vec<MemberAction>) {
        for vm in vms.iter().filter(|vm| vm.leaving) {
            self.on_vm_leaving(now, vm.addr, out);
        }
        let live = vms.into_iter().filter(|vm| !vm.leaving);
        self.vms = live.map(|vm| vm.addr).take(MAX_MEMBERS).collect();
    }

    fn on_vm_leaving(&mut self, now: Time, addr: SocketAddr, out: &mut Vec<MemberAction>) {
        let Some(ix) = self.roster.holder_of(addr, None) else {
            return;
        };
        let slot = self.roster.get(ix);
        if slot.record.state == MemberState::Leaving || now.since(slot.first_seen) < MAX_VM_LIST_LAG
        {
            return;
        }
        if ix == OWN {
            self.leave(now, out);
            out.push(MemberAction::Changed(self.own().clone()));
            return;
        }
        let mut record = slot.record.clone();
        record.state = MemberState::Leaving;
        self.change(now, ix, record.clone(), true, out);
        let nonce = self.draw_nonce();
        self.send_ping(addr, nonce, vec![record], out);
    }

    pub(crate) fn insert(
        &mut self,
        now: Time,
        record: MemberRecord,
        out: &mut Vec<MemberAction>,
    ) -> Option<MemberIx> {
        if self.roster.len() >= MAX_MEMBERS {
            self.drop_longest_dead();
        }
        let name = record.peer.name.clone();
        let Some(ix) = self.roster.insert(now, record) else {
            let event = LogEvent::new("members_full").peer(&name);
            out.push(MemberAction::LogEvent(event));
            return None;
        };
        self.prober.add(ix, |bound| self.ids.draw_below(bound));
        self.report_change(ix, out);
        Some(ix)
    }

    /// Replaces a record, queues it for gossip if `disseminate`, and reports visible
    /// changes.
    pub(crate) fn change(
        &mut self,
        now: Time,
        ix: MemberIx,
        record: MemberRecord,
        disseminate: bool,
        out: &mut Vec<MemberAction>,
    ) {
        let before = self.roster.get(ix).record.clone();
        let new_incarnation = before.peer.incarnation != record.peer.incarnation;
        let later = record.revision > before.revision && record.state != MemberState::Suspect;
        let dead = record.state == MemberState::Dead;
        if new_incarnation || later || dead {
            self.prober.cancel(ix);
        }
        self.roster.replace(now, ix, record);
        if disseminate {
            self.gossip.push(ix);
        }
        let after = &self.roster.get(ix).record;
        let same = before.peer == after.peer
            && before.state == after.state
            && before.serves == after.serves
            && before.data_centre == after.data_centre;
        if !same {
            self.report_change(ix, out);
        }
    }

    fn report_change(&mut self, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let record = self.roster.get(ix).record.clone();
        let event = match record.state {
            MemberState::Alive => "member_alive",
            MemberState::Suspect => "member_suspect",
            MemberState::Leaving => "member_leaving",
            MemberState::Dead => "member_dead",
        };
        let event = LogEvent::new(event)
            .peer(&record.peer.name)
            .count(record.revision);
        out.push(MemberAction::LogEvent(event));
        out.push(MemberAction::Changed(record));
        self.count_entries(out);
    }

    pub(crate) fn count_entries(&mut self, out: &mut Vec<MemberAction>) {
        let accepts_requests =
            |r: &MemberRecord| r.peer.role == Role::Entry && r.state < MemberState::Leaving;
        let count = self.records().filter(|r| accepts_requests(r)).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if count != self.entry_count {
            self.entry_count = count;
            out.push(MemberAction::Entries(count));
        }
    }

    /// Sets a state that this process determined itself.
    pub(crate) fn set_state(
        &mut self,
        now: Time,
        ix: MemberIx,
        state: MemberState,
        out: &mut Vec<MemberAction>,
    ) {
        let mut record = self.roster.get(ix).record.clone();
        record.state = state;
        self.change(now, ix, record, true, out);
    }

    pub(crate) fn record_replaced(&mut self, by: &Peer, out: &mut Vec<MemberAction>) {
        let later = by.incarnation > self.own().peer.incarnation;
        if !later || self.replaced {
            return;
        }
        self.replaced = true;
        let event = LogEvent::new("member_replaced").peer(&by.name);
        out.push(MemberAction::LogEvent(event));
    }

    /// Removes members that have been dead for [`DEAD_RETENTION`].
    fn sweep(&mut self, now: Time) {
        let expired: Vec<MemberIx> = self
            .roster
            .indices()
            .filter(|ix| {
                let slot = self.roster.get(*ix);
                !slot.is_present() && now.since(slot.state_since) >= DEAD_RETENTION
            })
            .collect();
        for ix in expired {
            self.forget(ix);
        }
    }

    fn drop_longest_dead(&mut self) {
        let dead = self
            .roster
            .indices()
            .filter(|ix| !self.roster.get(*ix).is_present());
        let longest = dead.min_by_key(|ix| self.roster.get(*ix).state_since);
        if let Some(ix) = longest {
            self.forget(ix);
        }
    }

    fn forget(&mut self, ix: MemberIx) {
        self.roster.remove(ix);
        self.gossip.forget(ix);
        self.prober.forget(ix);
        self.leave_broadcast.forget(ix);
    }

    /// Builds a payload from what `first` adds, then recent changes.
    pub(crate) fn payload(
        &mut self,
        now: Time,
        first: impl FnOnce(&Roster, &mut Payload),
    ) -> Vec<MemberRecord> {
        let mut payload = Payload::default();
        first(&self.roster, &mut payload);
        self.gossip.fill(now, &self.roster, &mut payload);
        payload.into_records()
    }
}
