//! Reports and queries of direct entries to the owners of a key.

use crate::entry_announcement::EntryAnnouncement;
use crate::ids::{Digest, Name};
use crate::pace::Pace;
use crate::placed::{Placed, PlacedAt};
use crate::returning_callers::Refusal;
use crate::stream_origin::StreamStart;
use crate::upstream::UpstreamIncarnation;
use std::time::Duration;

/// Recent actions of an entry, reported to the owners of the keys concerned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerReport {
    /// Name of the sender.
    pub entry: Name,
    /// Whether `placed` is all that the sender has placed on upstreams owned by the receiver.
    pub is_whole: bool,
    /// Work placed by the sender.
    pub placed: Vec<PlacedAt>,
    /// Callers recently refused by the sender.
    pub refused: Vec<Refusal>,
    /// Upstreams that the sender recently failed to reach.
    pub unreachable: Vec<UpstreamIncarnation>,
    /// Streams that the sender began.
    pub streams: Vec<StreamStart>,
}

/// Query to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerQuery {
    /// Name of the sender.
    pub entry: Name,
    /// Number that matches the reply to the query.
    pub id: u64,
    /// Subject of the query.
    pub body: OwnerQueryBody,
}

/// Subject of a query to an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerQueryBody {
    /// The load of upstreams, without the work of the querying entry.
    Loads(Vec<UpstreamIncarnation>),
    /// One retry of a request to this service.
    Retry(Name),
    /// Whether the caller of a request with this content was recently refused.
    Refused(Digest),
    /// Where the stream with this digest began.
    Stream(Digest),
}

/// Load of one upstream as known to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedLoad {
    /// The upstream.
    pub upstream: UpstreamIncarnation,
    /// Whether it is reachable and accepts new work, as far as the owner knows.
    pub serves: bool,
    /// Work of all entries except the querying one.
    pub placed: Placed,
    /// Token pace observed by those entries.
    pub pace: Pace,
}

/// Reply to an [`OwnerQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerReply {
    /// Name of the sender.
    pub entry: Name,
    /// Number of the query.
    pub id: u64,
    /// Content of the reply.
    pub body: OwnerReplyBody,
}

/// Content of a reply by an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerReplyBody {
    /// Loads of the known upstreams among those queried.
    Loads(Vec<OwnedLoad>),
    /// Answer to a query for one retry.
    Retry {
        /// The service.
        service: Name,
        /// Whether a retry was available.
        granted: bool,
    },
    /// Time since the caller was refused, if it was.
    Refused {
        /// Content of the caller's request.
        content: Digest,
        /// Time since the refusal.
        age: Option<Duration>,
        /// Time from the caller's first attempt to the refusal.
        waited: Duration,
        /// Retry delay that the caller was given.
        expected_in: Duration,
    },
    /// Where a stream began, if it is known.
    Stream(Option<StreamStart>),
}

/// Content of one datagram between direct entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryMessage {
    /// State of the sender.
    Announcement(Box<EntryAnnouncement>),
    /// Recent actions of the sender.
    Report(OwnerReport),
    /// Query to an owner.
    Query(OwnerQuery),
    /// Reply to a query.
    Reply(OwnerReply),
}

impl EntryMessage {
    /// Returns the metric label of the message kind.
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
