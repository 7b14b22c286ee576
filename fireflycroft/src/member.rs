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
use crate::message::Message;
use crate::note::Note;
use crate::ping::Relays;
use crate::probe::{ProbeKind, Prober};
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

/// Direct evidence of that age outweighs bad news.
const FRESH: Duration = Duration::from_secs(1);

/// Turn of a record made up from a message's header; any statement of the
/// member itself is later.
const HEADER_TURN: u64 = 0;
const FIRST_TURN: u64 = 1;

const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// State of one member, worse ones later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer lately.
    Suspect,
    /// Takes no new work; finishes what runs.
    Leaving,
    /// Gone.
    Dead,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Who it is.
    pub peer: Peer,
    /// Data centre it runs in.
    pub data_centre: Name,
    /// Its state.
    pub state: MemberState,
    /// Counts the member's own statements about itself in this life.
    pub turn: u64,
    /// Models or plain services that its upstream serves; empty for entries.
    pub serves: Vec<Name>,
}

/// One VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Mailbox that a process of the fleet has there.
    pub addr: SocketAddr,
    /// Whether the platform takes the VM away.
    pub leaving: bool,
}

/// What membership is told at the start.
#[derive(Clone, Debug)]
pub struct MemberSetup {
    /// This process.
    pub me: Peer,
    /// Data centre it runs in.
    pub data_centre: Name,
    /// Models or plain services of its upstream; empty for entries.
    pub serves: Vec<Name>,
    /// Mailboxes to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Seed of everything that is drawn.
    pub seed: [u8; 32],
}

/// What membership hears.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A message of membership came; any other counts as heard.
    Message(Peer, Message),
    /// Some other message came from that process.
    Heard(Peer),
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// The upstream serves other models than before.
    Serves(Vec<Name>),
    /// This process takes no new work any more.
    Leave,
    /// Time went on; expected several times a second.
    Tick,
}

/// What membership wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send(SocketAddr, Message),
    /// A member is new, or its state, life or service changed.
    ///
    /// With this process's own record: the fleet says that it is to leave.
    Changed(MemberRecord),
    /// Number of entries that take requests, this process counted.
    Entries(u32),
    /// Something to log and count.
    Note(Note),
}

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

    /// Takes the header of a later life until its own record comes.
    fn on_new_life(&mut self, now: Time, ix: MemberIx, peer: &Peer, out: &mut Vec<MemberAction>) {
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
            out.push(MemberAction::Note(Note::new("member_refuted").count(turn)));
        }
        Learned::Older
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

    fn insert(
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
            let note = Note::new("members_full").peer(&name);
            out.push(MemberAction::Note(note));
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
        let note = Note::new(event).peer(&record.peer.name).count(record.turn);
        out.push(MemberAction::Note(note));
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

    fn check_if_suspect(&mut self, now: Time, ix: MemberIx) {
        if self.roster.get(ix).record.state == MemberState::Suspect {
            self.check(now, ix, ProbeKind::Suspected);
        }
    }

    fn note_replaced(&mut self, by: &Peer, out: &mut Vec<MemberAction>) {
        let later = by.incarnation > self.own().peer.incarnation;
        if !later || self.replaced {
            return;
        }
        self.replaced = true;
        let note = Note::new("member_replaced").peer(&by.name);
        out.push(MemberAction::Note(note));
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
