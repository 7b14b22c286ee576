//! What direct entries tell the owners of a key, and ask them.

use crate::entry_announcement::EntryAnnouncement;
use crate::ids::{Digest, Name};
use crate::pace::Pace;
use crate::placed::{Placed, PlacedAt};
use crate::returning_callers::Refusal;
use crate::upstream::Life;
use std::time::Duration;

/// What an entry did, told to the owners of what it concerns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerReport {
    /// Name of the sender.
    pub entry: Name,
    /// Whether the sender has placed nothing else on upstreams that the receiver owns.
    pub is_whole: bool,
    /// Work that it has placed.
    pub placed: Vec<PlacedAt>,
    /// Callers whom it has refused of late.
    pub refused: Vec<Refusal>,
    /// Upstreams that it couldn't reach of late.
    pub unreachable: Vec<Life>,
}

/// A question to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerQuery {
    /// Name of the sender.
    pub entry: Name,
    /// Number by which the sender knows the reply.
    pub id: u64,
    /// What it asks.
    pub body: OwnerQueryBody,
}

/// What an owner is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerQueryBody {
    /// The load of upstreams, but for the work of the entry that asks.
    Loads(Vec<Life>),
    /// Leave to send one request to this service once more.
    Retry(Name),
    /// Whether a caller who asks this was refused of late.
    Refused(Digest),
}

/// What an owner knows of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedLoad {
    /// The upstream.
    pub upstream: Life,
    /// Whether it takes new work and can be reached, as far as the owner knows.
    pub serves: bool,
    /// Work of all entries but the one that asks.
    pub placed: Placed,
    /// How fast it made tokens for them.
    pub pace: Pace,
}

/// The reply to an [`OwnerQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerReply {
    /// Name of the sender.
    pub entry: Name,
    /// Number of the query.
    pub id: u64,
    /// What it knows.
    pub body: OwnerReplyBody,
}

/// What an owner answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerReplyBody {
    /// The loads of those upstreams that it knows.
    Loads(Vec<OwnedLoad>),
    /// Whether one repeat is lent.
    Retry {
        /// The service.
        service: Name,
        /// Whether there was one left.
        granted: bool,
    },
    /// Time since the caller was refused, if it was.
    Refused {
        /// What the caller asks.
        content: Digest,
        /// Time since.
        age: Option<Duration>,
    },
}

/// What one datagram between direct entries holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryMessage {
    /// The sender's state.
    Announcement(Box<EntryAnnouncement>),
    /// What it did.
    Report(OwnerReport),
    /// A question to an owner.
    Query(OwnerQuery),
    /// The reply to one.
    Reply(OwnerReply),
}

impl EntryMessage {
    /// Word of its kind, in metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Announcement(_) => "news",
            Self::Report(_) => "report",
            Self::Query(_) => "query",
            Self::Reply(_) => "reply",
        }
    }
}
