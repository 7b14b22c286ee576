//! Records of members, and what goes into membership and comes out.

use crate::ids::{Name, Peer};
use crate::log_event::LogEvent;
use crate::message::Message;
use std::net::SocketAddr;

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
    LogEvent(LogEvent),
}
