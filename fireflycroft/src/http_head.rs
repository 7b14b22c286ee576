//! Parsed heads of callers' requests and upstreams' responses.

use crate::ids::{Name, PartId};
use crate::rate_limit::RateLimit;
use crate::stream_end::BodyFraming;
use std::net::SocketAddr;
use std::time::Duration;

/// Part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size of a generation, as far as it is known before the run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Upper limit on generated tokens.
    pub max_tokens: u32,
    /// The caller's estimate of generated tokens; accurate only in the median.
    pub length_hint: Option<u32>,
    /// Parts of the prompt, in order; the last one is unique to the request.
    pub parts: Vec<PromptPart>,
}

/// Parsed head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifier that the caller gave to this attempt.
    pub request_id: Option<Name>,
    /// API key of the caller.
    pub key: Option<Name>,
    /// Remaining time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Size of the generation; `None` for other requests.
    pub size: Option<GenerationSize>,
    /// Parts of the prompt that other requests may share, in order: all but the last one.
    pub shared_parts: Vec<PartId>,
    /// Identifier of the last event received, when the caller resumes a stream.
    pub last_event_id: Option<u64>,
    /// Identifier of the attempt that brought the stream's first event, when the caller resumes it.
    pub resumes: Option<Name>,
}

/// Location of a copy of a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryCopy {
    /// Upstream that issued the handle.
    pub issued_by: SocketAddr,
    /// Handle of the copy on that upstream.
    pub handle: Name,
}

/// Fields that an entry adds to a request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch<'a> {
    /// The only instance that may run the request.
    pub instance: &'a str,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Time that the upstream gets.
    pub deadline: Duration,
    /// Upstream that holds the memory backup of the run.
    pub backup: Option<SocketAddr>,
    /// Memory from which the run resumes.
    pub memory: Option<&'a MemoryCopy>,
    /// Event after which the stream resumes.
    pub last_event_id: Option<u64>,
}

/// What a response states about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunClaim {
    /// No statement, so the request may have run.
    MayHaveRun,
    /// The request did not run and will not run.
    NotRun,
    /// Another instance has the address; the request did not run and will not run there.
    WrongInstance,
}

/// Conditions that an upstream sets in a response for further requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamConditions {
    /// Whether the upstream is draining.
    pub leaving: bool,
    /// Rate limit of an overloaded upstream.
    pub rate_limit: Option<RateLimit>,
    /// Time for which an upstream that refused a request accepts no more from this entry.
    pub backoff: Option<Duration>,
}

/// Parsed head of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the response belongs to the request.
    pub is_own: bool,
    /// What the upstream states about the execution of the request.
    pub claim: RunClaim,
    /// Whether the response carries the upstream's seal.
    pub sealed: bool,
    /// Whether the upstream will close the connection.
    pub closes: bool,
    /// Idle timeout of the connection.
    pub keep_alive: Option<Duration>,
    /// How the end of the body is told.
    pub framing: BodyFraming,
    /// Conditions for further requests.
    pub conditions: UpstreamConditions,
}
