//! Member records, and the events and actions of membership.

use crate::ids::{Name, Peer};
use crate::log_event::LogEvent;
use crate::message::Message;
use std::net::SocketAddr;

/// State of a member, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// The member did not answer recently.
    Suspect,
    /// The member takes no new work and finishes its running work.
    Leaving,
    /// The member is gone.
    Dead,
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name, address, incarnation and role.
    pub peer: Peer,
    /// Data centre it runs in.
    pub data_centre: Name,
    /// Current state.
    pub state: MemberState,
    /// Number of the member's latest own update in this incarnation.
    pub revision: u64,
    /// Models or plain services of its upstream; empty for entries.
    pub serves: Vec<Name>,
}

/// A VM as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Address of the fleet's process on the VM.
    pub addr: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// Initial settings of membership.
#[derive(Clone, Debug)]
pub struct MemberSetup {
    /// This process.
    pub me: Peer,
    /// Data centre it runs in.
    pub data_centre: Name,
    /// Models or plain services of its upstream; empty for entries.
    pub serves: Vec<Name>,
    /// Addresses contacted first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: [u8; 32],
}

/// Input of membership.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// A message of membership arrived; any other counts as [`Self::Received`].
    Message(Peer, Message),
    /// Another message arrived from that process.
    Received(Peer),
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// The models or services of the upstream changed.
    Serves(Vec<Name>),
    /// This process takes no more new work.
    Leave,
    /// Time has passed; expected several times a second.
    Tick,
}

/// Output of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send(SocketAddr, Message),
    /// A member is new, or its state, incarnation or services changed.
    ///
    /// With this process's own record: the fleet asks this process to leave.
    Changed(MemberRecord),
    /// Number of entries that accept requests, including this process.
    Entries(u32),
    /// An event to log and count.
    LogEvent(LogEvent),
}
