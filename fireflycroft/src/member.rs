//! Who is in the fleet: records, their order and how they are merged.
//!
//! Each process pings one other a second and tells what changed of late along
//! with it. A record is ordered by incarnation, then by turn, which only the
//! member itself raises, then by state. Good news and leaving are taken from
//! anybody. Bad news is checked: a member is dead here when it did not answer
//! this process, or when it stayed suspect for the whole of [`SUSPECT_SPAN`]
//! and another process found it dead. A member that hears itself called suspect
//! or dead raises its turn and says that it is alive.
//!
//! When to ping is in `probe`, the pings in `ping`, telling in `gossip`,
//! comparing whole tables in `reconcile`, the table itself in `roster`, a
//! planned stop in `farewell`.

use crate::farewell::Farewell;
use crate::gossip::{Gossip, Payload};
use crate::ids::{IdSource, Name, Peer, Role};
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

/// Members held at once; when full, the dead go first, then newcomers are
/// turned away with the note `members_full`.
pub const MAX_MEMBERS: usize = 4_096;

/// How long a member stays suspect before it is dead.
pub const SUSPECT_SPAN: Duration = Duration::from_millis(2_500);

/// How long the dead are kept, so that old news does not revive them.
pub const DEAD_KEEP: Duration = Duration::from_mins(10);

/// Longest lag of the VM list that does no harm.
///
/// Its word that a VM leaves is not taken for a life known for a shorter time:
/// it may concern the VM that was at the address before.
pub const VM_LIST_LAG: Duration = Duration::from_secs(90);

/// Time between two ticks from which on the process was paused.
pub const PAUSE: Duration = Duration::from_secs(1);

/// How long after a pause nobody is called suspect or dead.
pub const GRACE: Duration = Duration::from_secs(5);

const FIRST_TURN: u64 = 1;

const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// Membership as one process sees it.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) roster: Roster,
    pub(crate) gossip: Gossip,
    pub(crate) prober: Prober,
    pub(crate) reconciler: Reconciler,
    pub(crate) relays: Relays,
    pub(crate) farewell: Farewell,
    pub(crate) ids: IdSource,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) vms: Vec<SocketAddr>,
    /// Until when nobody is called suspect or dead.
    pub(crate) grace_until: Time,
    ticked: Option<Time>,
    swept: Time,
    entries: u32,
    replaced: bool,
}

impl Members {
    /// Membership that knows this process and its seeds.
    #[must_use]
    pub fn new(setup: MemberSetup) -> Self {
        let own = MemberRecord {
            peer: setup.me,
            data_centre: setup.data_centre,
            state: MemberState::Alive,
            turn: FIRST_TURN,
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
            farewell: Farewell::default(),
            ids: IdSource::new(setup.seed),
            seeds,
            vms: Vec::new(),
            grace_until: Time::default(),
            ticked: None,
            swept: Time::default(),
            entries: 0,
            replaced: false,
        }
    }

    /// Takes one event at `now` and adds what is to be done to `out`.
    pub fn on_event(&mut self, now: Time, event: MemberEvent, out: &mut Vec<MemberAction>) {
        match event {
            MemberEvent::Message(from, message) => self.on_message(now, &from, message, out),
            MemberEvent::Heard(from) => self.on_heard(now, &from, out),
            MemberEvent::Vms(vms) => self.on_vms(now, vms, out),
            MemberEvent::Serves(serves) => self.on_serves(now, serves, out),
            MemberEvent::Leave => self.leave(now, out),
            MemberEvent::Tick => self.on_tick(now, out),
        }
    }

    /// What this process says of itself.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        self.roster.own()
    }

    /// What is known of the member of that name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&MemberRecord> {
        let ix = self.roster.find(name)?;
        Some(&self.roster.get(ix).record)
    }

    /// All records, this process's own and those of the dead among them.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.roster.slots().map(|slot| &slot.record)
    }

    /// Digest of all records but those of the dead.
    #[must_use]
    pub fn view(&self) -> u64 {
        self.roster.view()
    }

    /// Whether a later life of the same name was heard of.
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
            _ => self.on_heard(now, from, out),
        }
    }

    fn on_tick(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        match self.ticked.replace(now) {
            None => self.join(now, out),
            Some(last) if now.since(last) >= PAUSE => self.on_pause(now, out),
            Some(_) => {}
        }
        self.relays.expire(now);
        self.tick_farewell(now, out);
        self.tick_probes(now, out);
        self.tick_reconciler(now, out);
        if now.since(self.swept) >= SWEEP_EVERY {
            self.swept = now;
            self.sweep(now);
        }
    }

    /// Any message is evidence that its sender is alive.
    pub(crate) fn on_heard(&mut self, now: Time, from: &Peer, out: &mut Vec<MemberAction>) {
        if let Some(ix) = self.note_heard(now, from, out) {
            self.contradict(now, ix, out);
        }
    }

    /// Notes that a member was heard; greets the unknown.
    pub(crate) fn note_heard(
        &mut self,
        now: Time,
        from: &Peer,
        out: &mut Vec<MemberAction>,
    ) -> Option<MemberIx> {
        if from.name == self.own().peer.name {
            self.note_replaced(from, out);
            return None;
        }
        let Some(ix) = self.roster.find(&from.name) else {
            self.greet(now, from.addr, out);
            return None;
        };
        let held = self.roster.get(ix).record.peer.incarnation;
        if from.incarnation < held {
            return Some(ix);
        }
        if from.incarnation > held {
            self.on_new_life(now, ix, from, out);
            self.greet(now, from.addr, out);
        }
        self.roster.get_mut(ix).heard = Some(now);
        self.on_answer(ix);
        Some(ix)
    }

    /// Makes a new statement of this process about itself.
    pub(crate) fn restate(
        &mut self,
        now: Time,
        edit: impl FnOnce(&mut MemberRecord),
        out: &mut Vec<MemberAction>,
    ) {
        let mut record = self.own().clone();
        edit(&mut record);
        record.turn = record.turn.saturating_add(1);
        self.roster.replace(now, OWN, record);
        self.gossip.push(OWN);
        self.count_entries(out);
    }

    fn on_serves(&mut self, now: Time, serves: Vec<Name>, out: &mut Vec<MemberAction>) {
        if self.own().serves != serves {
            self.restate(now, |own| own.serves = serves, out);
        }
    }

    /// Takes the VM list: mailboxes to try, and VMs that leave.
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
        if slot.record.state == MemberState::Leaving || now.since(slot.learned) < VM_LIST_LAG {
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
            let note = LogEvent::new("members_full").peer(&name);
            out.push(MemberAction::LogEvent(note));
            return None;
        };
        self.prober.enter(ix, |bound| self.ids.draw_below(bound));
        self.tell(ix, out);
        Some(ix)
    }

    /// Puts a record in place and tells of it what others may see.
    pub(crate) fn change(
        &mut self,
        now: Time,
        ix: MemberIx,
        record: MemberRecord,
        spread: bool,
        out: &mut Vec<MemberAction>,
    ) {
        let before = self.roster.get(ix).record.clone();
        let other_life = before.peer.incarnation != record.peer.incarnation;
        let later = record.turn > before.turn && record.state != MemberState::Suspect;
        let dead = record.state == MemberState::Dead;
        if other_life || later || dead {
            self.prober.cancel(ix);
        }
        self.roster.replace(now, ix, record);
        if spread {
            self.gossip.push(ix);
        }
        let after = &self.roster.get(ix).record;
        let same = before.peer == after.peer
            && before.state == after.state
            && before.serves == after.serves
            && before.data_centre == after.data_centre;
        if !same {
            self.tell(ix, out);
        }
    }

    fn tell(&mut self, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let record = self.roster.get(ix).record.clone();
        let event = match record.state {
            MemberState::Alive => "member_alive",
            MemberState::Suspect => "member_suspect",
            MemberState::Leaving => "member_leaving",
            MemberState::Dead => "member_dead",
        };
        let note = LogEvent::new(event)
            .peer(&record.peer.name)
            .count(record.turn);
        out.push(MemberAction::LogEvent(note));
        out.push(MemberAction::Changed(record));
        self.count_entries(out);
    }

    pub(crate) fn count_entries(&mut self, out: &mut Vec<MemberAction>) {
        let takes = |r: &MemberRecord| r.peer.role == Role::Entry && r.state < MemberState::Leaving;
        let count = self.records().filter(|r| takes(r)).count();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if count != self.entries {
            self.entries = count;
            out.push(MemberAction::Entries(count));
        }
    }

    /// Puts a member into a state that this process found itself.
    pub(crate) fn mark(
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

    pub(crate) fn note_replaced(&mut self, by: &Peer, out: &mut Vec<MemberAction>) {
        let later = by.incarnation > self.own().peer.incarnation;
        if !later || self.replaced {
            return;
        }
        self.replaced = true;
        let note = LogEvent::new("member_replaced").peer(&by.name);
        out.push(MemberAction::LogEvent(note));
    }

    /// Forgets those who have been dead for long.
    fn sweep(&mut self, now: Time) {
        let expired: Vec<MemberIx> = self
            .roster
            .indices()
            .filter(|ix| {
                let slot = self.roster.get(*ix);
                !slot.is_present() && now.since(slot.since) >= DEAD_KEEP
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
        let longest = dead.min_by_key(|ix| self.roster.get(*ix).since);
        if let Some(ix) = longest {
            self.forget(ix);
        }
    }

    fn forget(&mut self, ix: MemberIx) {
        self.roster.remove(ix);
        self.gossip.forget(ix);
        self.prober.forget(ix);
        self.farewell.forget(ix);
    }

    /// Payload of the changes of late, after what `first` put into it.
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
