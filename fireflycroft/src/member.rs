//! Who is in the fleet: records, their order and how they spread.

use crate::ids::{Name, Peer};

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
