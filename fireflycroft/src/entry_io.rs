//! What goes into an entry and comes out: limits, requests, events, replies, actions.

use crate::claim::{ClaimAnswer, ClaimOp};
use crate::code::Code;
use crate::config::Config;
use crate::ids::{CallId, Digest, GenerationId, Name, RequestId};
use crate::member_record::MemberRecord;
use crate::message::{Envelope, Finish, Message};
use crate::note::Note;
use crate::objective::MeasuredRequest;
use crate::route::RoutePolicy;
use crate::stream::Chunk;
use crate::work::{Priority, Work};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Bounds and waits of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Wait for an answer to an offer before another agent is asked.
    pub offer_wait: Duration,
    /// Agents asked for one request before it is refused.
    pub max_offers: usize,
    /// Silence of an agent after which a poll is sent.
    pub poll_after: Duration,
    /// Silence of an agent after which it is given up.
    pub silence: Duration,
    /// Silence after which it is given up where nobody else can go on.
    pub long_silence: Duration,
    /// Time between acknowledgements that also say the reader is there.
    pub ack_every: Duration,
    /// Time between two ticks from which on this process was paused.
    pub pause: Duration,
    /// Starts of one repeatable request in all.
    pub max_starts: u32,
    /// Longest hold of a request until both sides have one configuration.
    pub config_wait: Duration,
    /// Time between two looks whether they have.
    pub config_retry: Duration,
    /// Time that a claim may take.
    pub claim_wait: Duration,
    /// How long an agent is left out after it was given up.
    pub avoid: Duration,
    /// Bytes of a whole answer held back.
    pub max_answer: usize,
    /// Bytes of whole answers held back in all.
    pub max_held: usize,
    /// Calls at once.
    pub max_calls: usize,
    /// How long an agent's word that it takes no work is believed.
    pub believe_leaving: Duration,
    /// What a refused caller waits at least.
    pub min_retry_after: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            offer_wait: Duration::from_millis(300),
            max_offers: 4,
            poll_after: Duration::from_millis(500),
            silence: Duration::from_secs(3),
            long_silence: Duration::from_secs(10),
            ack_every: Duration::from_secs(1),
            pause: Duration::from_secs(1),
            max_starts: 3,
            config_wait: Duration::from_secs(2),
            config_retry: Duration::from_millis(50),
            claim_wait: Duration::from_millis(1_500),
            avoid: Duration::from_secs(2),
            max_answer: 8 * 1024 * 1024,
            max_held: 256 * 1024 * 1024,
            max_calls: 4_096,
            believe_leaving: Duration::from_secs(1),
            min_retry_after: Duration::from_secs(1),
        }
    }
}

/// What an entry is told at its start.
#[derive(Clone, Debug)]
pub struct EntrySetup {
    /// Data centre it runs in.
    pub data_centre: Name,
    /// How it chooses among agents.
    pub policy: RoutePolicy,
    /// Secret from which ids are drawn.
    pub seed: [u8; 32],
    /// Bounds and waits.
    pub limits: EntryLimits,
}

/// How the caller wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Token by token.
    Stream,
    /// All at once; held back until complete.
    Whole,
}

/// A caller's request as the front has read it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// BLAKE3 digest of the caller's key.
    pub key_digest: [u8; 32],
    /// Model or plain service.
    pub target: Name,
    /// HTTP method, for rules on repeating.
    pub method: Name,
    /// Path, for rules on repeating.
    pub path: Name,
    /// The work.
    pub work: Work,
    /// Priority that the caller asks for.
    pub priority: Option<Priority>,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Digest of the prompt's head.
    pub prefix: Digest,
    /// How the answer is wanted.
    pub delivery: Delivery,
    /// `Idempotency-Key`, when there is one.
    pub idempotency_key: Option<Name>,
    /// Whether it is run once at most even where no rule says so.
    pub never_repeat: bool,
    /// Place to go on from, when the caller comes back.
    pub resume: Option<ResumePoint>,
}

/// Place in a stream, as the id of an event tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The request that started the generation.
    pub request: RequestId,
    /// The generation.
    pub generation: GenerationId,
    /// Name of the agent that keeps it.
    pub agent: Name,
    /// First token not yet received.
    pub next: u64,
}

/// What an entry hears.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request.
    Submit(CallId, Box<Submission>),
    /// The caller went away.
    CallerGone(CallId),
    /// The caller took all tokens below that number.
    Taken(CallId, u64),
    /// A message of a process of the fleet.
    Message(Box<Envelope>),
    /// The platform's answer on a call's claim.
    Claim(CallId, ClaimAnswer),
    /// A configuration was read.
    Config(Arc<Config>),
    /// What membership says of an agent or entry.
    Member(MemberRecord),
    /// Number of entries alive, for shares of quotas.
    Entries(u32),
    /// The entry is to stop.
    Leave,
    /// Time went on.
    Tick,
}

/// What a caller is given.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The generation has begun; tokens follow.
    Begin(ResumePoint),
    /// Next tokens.
    Tokens(Chunk),
    /// The end of a whole answer.
    End(Finish),
    /// No more comes: why, and when to come back.
    Fail {
        /// Result code.
        code: Code,
        /// When to come back; `None` when there is no use in it.
        retry_after: Option<Duration>,
        /// Tokens given so far.
        delivered: u64,
    },
}

/// What an entry wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Send a message to every member that is known.
    Broadcast(Message),
    /// Give this to a caller.
    Reply(CallId, Reply),
    /// Ask the platform about the claim of that key.
    Claim(CallId, Digest, ClaimOp),
    /// Ask the sender for its configuration.
    PullConfig(SocketAddr),
    /// Count a request that has ended.
    Measured(MeasuredRequest),
    /// Something to log and count.
    Note(Note),
}
