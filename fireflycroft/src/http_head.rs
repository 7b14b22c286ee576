//! What a caller of a direct entry asks, and what an upstream says of it.

use crate::ids::Name;
use crate::rate_limit::RateLimit;
use std::net::SocketAddr;
use std::time::Duration;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Id of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// Size of a generation, as far as it is known before it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// The caller's guess at the tokens of the answer; right in the median only.
    pub length_hint: Option<u32>,
    /// Parts of the prompt, in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}

/// What the head of a request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's id of this attempt.
    pub request_id: Option<Name>,
    /// The caller's key.
    pub key: Option<Name>,
    /// How long the caller will wait from now.
    pub deadline: Option<Duration>,
    /// Set for generations.
    pub size: Option<GenerationSize>,
    /// Id of the last event that the caller has, when it comes back for the rest.
    pub last_event_id: Option<u64>,
}

/// Where the memory of a run lies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Upstream that names the copy.
    pub named_by: SocketAddr,
    /// Name of the copy there.
    pub handle: Name,
}

/// What an entry adds to a request that it sends to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch<'a> {
    /// Instance that is to run it, and no other.
    pub instance: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Time that is left.
    pub deadline: Duration,
    /// Upstream that is to keep a copy of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Memory to go on from.
    pub memory: Option<&'a MemoryCopy>,
    /// Event after which the stream goes on.
    pub last_event_id: Option<u64>,
}

/// What an upstream says of having run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunClaim {
    /// It says nothing, so it may have.
    MayHaveRun,
    /// It did not, and will not.
    NotRun,
    /// Another instance has the address; it did not, and will not.
    WrongInstance,
}

/// What an upstream says in an answer of the requests to come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamConditions {
    /// Whether it leaves.
    pub leaving: bool,
    /// Rate that it takes, while it is in need.
    pub rate_limit: Option<RateLimit>,
    /// Time for which it wants nothing more of the entry that it turned away.
    pub backoff: Option<Duration>,
}

/// What the head of an upstream's answer says of the request, and of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the answer belongs to the request.
    pub is_own: bool,
    /// What the upstream says of having run the request.
    pub claim: RunClaim,
    /// Whether the upstream sealed the answer.
    pub sealed: bool,
    /// Whether the upstream will close the connection.
    pub closes: bool,
    /// How long the connection may be idle.
    pub keep_alive: Option<Duration>,
    /// What the upstream says of requests to come.
    pub conditions: UpstreamConditions,
}
