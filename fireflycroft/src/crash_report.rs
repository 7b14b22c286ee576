//! What processes tell each other about upstreams that end under requests.

use crate::ids::{ContentId, Digest, PartId};
use crate::upstream::UpstreamIncarnation;
use std::fmt;
use std::time::Duration;

/// Maximum number of shared parts of one request that are considered.
pub const MAX_SHARED_PARTS: usize = 64;

/// Id of an incarnation of an upstream that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Returns the id of the end of an incarnation.
    #[must_use]
    pub fn of(ended: &UpstreamIncarnation) -> Self {
        let start = ended.incarnation.0.to_le_bytes();
        Self(Digest::of(&[ended.instance.as_bytes(), &start]).folded())
    }
}

/// What a request has in common with others that may crash upstreams as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Suspect {
    /// A part of its prompt.
    Part(PartId),
    /// Its path, caller and body: the same request may come again.
    Content(ContentId),
}

impl Suspect {
    /// Returns the suspects of a request: the shared parts of its prompt, in order, then its content.
    #[must_use]
    pub fn of_request(parts: &[PartId], content: Digest) -> Vec<Self> {
        let parts = parts.iter().take(MAX_SHARED_PARTS);
        let parts = parts.copied().map(Self::Part);
        parts.chain([Self::of_content(content)]).collect()
    }

    /// Returns the suspect of a request's content.
    #[must_use]
    pub const fn of_content(content: Digest) -> Self {
        Self::Content(ContentId(content.folded()))
    }

    /// Returns whether it is a request's content.
    #[must_use]
    pub const fn is_content(&self) -> bool {
        matches!(self, Self::Content(_))
    }

    /// Returns its id, which doesn't say what kind of suspect it is.
    #[must_use]
    pub const fn id(&self) -> u64 {
        match self {
            Self::Part(part) => part.0,
            Self::Content(content) => content.0,
        }
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Content(content) => content.fmt(f),
        }
    }
}

/// Shortest time from the head of an answer to the end of its beginning; a part that crashes upstreams does so
/// within a tenth of a second.
const BEGINNING_TIME: Duration = Duration::from_millis(250);

/// Events after which an answer is past its beginning.
const BEGINNING_EVENTS: u64 = 3;

/// How far an answer got at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reach {
    /// Time from its head to its last event.
    pub lasted: Duration,
    /// Whole events.
    pub events: u64,
}

impl Reach {
    /// Returns whether an answer got so much further than another one, in time and in events, that what ended the
    /// other one would have ended it too.
    ///
    /// Upstreams differ in speed, and a cause may lie at an event or at a time, so that one of the two alone shows
    /// nothing.
    #[must_use]
    pub fn is_beyond(&self, other: &Self) -> bool {
        let lasts = self.lasted >= other.lasted.saturating_add(BEGINNING_TIME);
        lasts && self.events >= other.events.saturating_add(BEGINNING_EVENTS)
    }

    /// Returns whether an answer has gone on past its beginning.
    #[must_use]
    pub fn is_past_beginning(&self) -> bool {
        self.is_beyond(&Self::default())
    }
}

/// An upstream that ended while an answer was in progress there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The incarnation that ended.
    pub ended: CrashId,
    /// Suspects of the answer's request: shared parts in order, then its content; past its beginning the content alone.
    pub suspects: Vec<Suspect>,
    /// Whether the answer is known to have begun.
    pub begun: bool,
    /// How far it had got.
    pub reach: Reach,
    /// Time since the crash.
    pub age: Duration,
}

/// An answer in progress that has got further than others with the same content had when their upstreams ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Survivor {
    /// Content of its request.
    pub content: Suspect,
    /// Incarnation of its upstream.
    pub at: CrashId,
    /// How far it has got there.
    pub reach: Reach,
}

/// A suspect under which an answer is complete, or a part with which one went on past its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoundSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Time since then.
    pub age: Duration,
}

/// A suspect whose requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// Incarnations that ended under it, as far as is known.
    pub crashes: u32,
    /// Time since the last of them.
    pub age: Duration,
}

/// Evidence that a process tells others; without any, it asks them for theirs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashNews {
    /// Upstreams that recently ended under answers.
    pub crashes: Vec<CrashReport>,
    /// Suspects of a crash that were seen sound.
    pub sound: Vec<SoundSuspect>,
    /// Suspects that the sender refuses.
    pub refused: Vec<RefusedSuspect>,
    /// Answers that went on past the crashes of others.
    pub survivors: Vec<Survivor>,
}

impl CrashNews {
    /// Returns whether it tells nothing.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty()
            && self.sound.is_empty()
            && self.refused.is_empty()
            && self.survivors.is_empty()
    }
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The suspect crashes upstreams.
    Refused(RefusedSuspect),
    /// The suspect is refused, but other ones may have caused its crashes: it is tried again soon.
    Doubted {
        /// The refusal.
        refused: RefusedSuspect,
        /// Time until it may be known better.
        wait: Duration,
    },
    /// The suspect may crash upstreams.
    Suspended {
        /// The suspect.
        suspect: Suspect,
        /// Time until it is known better.
        wait: Duration,
    },
}

impl CrashVerdict {
    /// Returns the suspect.
    #[must_use]
    pub const fn suspect(&self) -> Suspect {
        match self {
            Self::Refused(refused) | Self::Doubted { refused, .. } => refused.suspect,
            Self::Suspended { suspect, .. } => *suspect,
        }
    }
}
