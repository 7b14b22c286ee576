//! Fleet membership as seen by one process, with the helpers that the event
//! loops need.

use std::net::SocketAddr;

use fireflycroft::{
    Digest, MemberAction, MemberEvent, MemberRecord, MemberSetup, MemberState, Members, Message,
    Name, Peer, Role, Time, Vm,
};

use crate::outbox::Outbox;

/// Number of members that watch the platform's configuration.
const WATCHERS: usize = 3;
/// Number of members to which a new configuration is announced at once.
const ANNOUNCE_FANOUT: usize = 3;

/// Membership changes caused by an event.
#[derive(Debug, Default)]
pub struct FleetChanges {
    /// Changed records of other members.
    pub changed: Vec<MemberRecord>,
    /// Whether the fleet asks this process to leave.
    pub leave: bool,
}

/// Fleet as known to this process.
pub struct Fleet {
    members: Members,
    entries: u32,
    serves: Vec<Name>,
    last_recipient: usize,
}

impl Fleet {
    /// Creates a fleet that contains this process and its seeds.
    #[must_use]
    pub fn new(setup: MemberSetup) -> Self {
        Self {
            serves: setup.serves.clone(),
            members: Members::new(setup),
            entries: 1,
            last_recipient: 0,
        }
    }

    /// Returns whether a message belongs to the membership protocol.
    #[must_use]
    pub const fn is_membership_message(message: &Message) -> bool {
        matches!(
            message,
            Message::Ping { .. }
                | Message::Pong { .. }
                | Message::PingVia { .. }
                | Message::ViewParts { .. }
                | Message::ViewHashes { .. }
                | Message::ViewPage { .. }
        )
    }

    /// Handles a message of the membership protocol.
    pub fn on_message(
        &mut self,
        now: Time,
        from: &Peer,
        message: Message,
        out: &mut Outbox,
    ) -> FleetChanges {
        self.drive(now, MemberEvent::Message(from.clone(), message), out)
    }

    /// Records that any other message was received from a process.
    pub fn on_received(&mut self, now: Time, from: &Peer, out: &mut Outbox) -> FleetChanges {
        self.drive(now, MemberEvent::Received(from.clone()), out)
    }

    /// Applies the platform's VM list.
    pub fn on_vms(&mut self, now: Time, vms: Vec<Vm>, out: &mut Outbox) -> FleetChanges {
        self.drive(now, MemberEvent::Vms(vms), out)
    }

    /// Pings members and updates their states.
    pub fn on_tick(&mut self, now: Time, out: &mut Outbox) -> FleetChanges {
        self.drive(now, MemberEvent::Tick, out)
    }

    /// Announces to all members that this process accepts no new work.
    pub fn leave(&mut self, now: Time, out: &mut Outbox) {
        self.drive(now, MemberEvent::Leave, out);
    }

    /// Announces what the upstream of this process serves, if that changed.
    pub fn set_serves(&mut self, now: Time, serves: &[Name], out: &mut Outbox) {
        if self.serves != serves {
            self.serves = serves.to_vec();
            self.drive(now, MemberEvent::Serves(serves.to_vec()), out);
        }
    }

    /// Returns the mailbox addresses of all other members not known to be dead.
    #[must_use]
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.other_members().map(|r| r.peer.addr).collect()
    }

    /// Returns the number of members in a state.
    #[must_use]
    pub fn count(&self, state: MemberState) -> usize {
        self.members.records().filter(|r| r.state == state).count()
    }

    /// Returns the number of live entries, including this process.
    #[must_use]
    pub const fn entries(&self) -> u32 {
        self.entries
    }

    /// Returns the rank of this process among the live entries, from 0.
    /// The order follows a hash of the names, so all members agree on it.
    #[must_use]
    pub fn rank(&self) -> usize {
        self.rank_among(b"lease", |r| r.peer.role == Role::Entry)
    }

    /// Returns whether this process is one of the members that watch the platform.
    #[must_use]
    pub fn is_watcher(&self) -> bool {
        self.rank_among(b"watch", |_| true) < WATCHERS
    }

    /// Sends a message, whose header carries the active version, to a few
    /// members, rotating through all of them.
    pub fn announce_to_some(&mut self, message: &Message, out: &mut Outbox) {
        let addrs = self.addrs();
        for _ in 0..ANNOUNCE_FANOUT.min(addrs.len()) {
            self.last_recipient = self.last_recipient.wrapping_add(1);
            out.push(addrs[self.last_recipient % addrs.len()], message.clone());
        }
    }

    fn rank_among(&self, purpose: &[u8], is_eligible: impl Fn(&MemberRecord) -> bool) -> usize {
        let weight = |name: &Name| Digest::of(&[purpose, name.as_bytes()]);
        let own = weight(&self.members.own().peer.name);
        let alive = |r: &&MemberRecord| r.state == MemberState::Alive;
        let eligible = self
            .other_members()
            .filter(alive)
            .filter(|r| is_eligible(r));
        eligible.filter(|r| weight(&r.peer.name) > own).count()
    }

    fn other_members(&self) -> impl Iterator<Item = &MemberRecord> {
        let own = &self.members.own().peer.name;
        let other = move |r: &&MemberRecord| r.peer.name != *own && r.state != MemberState::Dead;
        self.members.records().filter(other)
    }

    fn drive(&mut self, now: Time, event: MemberEvent, out: &mut Outbox) -> FleetChanges {
        let mut actions = Vec::new();
        self.members.on_event(now, event, &mut actions);
        let own = self.members.own().peer.name.clone();
        let mut changes = FleetChanges::default();
        for action in actions {
            match action {
                MemberAction::Send(to, message) => out.push(to, message),
                MemberAction::Changed(record) if record.peer.name == own => changes.leave = true,
                MemberAction::Changed(record) => changes.changed.push(record),
                MemberAction::Entries(entries) => self.entries = entries.max(1),
                MemberAction::LogEvent(log_event) => {
                    let peer = log_event.peer.as_deref().unwrap_or("-");
                    log::info!(event = log_event.event, peer = peer, count = log_event.count; "");
                }
            }
        }
        changes
    }
}
