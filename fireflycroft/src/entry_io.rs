//! Inputs and outputs of an entry: limits, requests, events, replies, actions.

use crate::claim::{ClaimAnswer, ClaimOp};
use crate::code::Code;
use crate::config::Config;
use crate::ids::{CallId, Digest, GenerationId, Name, PartId, RequestId};
use crate::log_event::LogEvent;
use crate::member_record::MemberRecord;
use crate::message::{Envelope, Finish, Message};
use crate::objective::MeasuredRequest;
use crate::route::RoutePolicy;
use crate::stream::Chunk;
use crate::work::{Priority, Work};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Limits and timeouts of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Time to wait for the answer to an offer before trying another agent.
    pub offer_timeout: Duration,
    /// Offers per request before it is refused.
    pub max_offers: usize,
    /// Silence of an agent after which it is polled.
    pub poll_after: Duration,
    /// Silence after which an agent is abandoned.
    pub silence_timeout: Duration,
    /// Silence after which an agent is abandoned if no other agent can continue its work.
    pub long_silence_timeout: Duration,
    /// Time between acknowledgements, which also show that the reader is alive.
    pub ack_interval: Duration,
    /// Time between two ticks that counts as a pause of this process.
    pub pause_threshold: Duration,
    /// Total starts of one retryable request.
    pub max_starts: u32,
    /// Longest wait of a request until entry and agent have the same configuration.
    pub config_timeout: Duration,
    /// Time between two checks of whether they do.
    pub config_retry_interval: Duration,
    /// Time limit of a claim.
    pub claim_timeout: Duration,
    /// Time for which an abandoned agent gets no offers.
    pub avoid_for: Duration,
    /// Buffered bytes of one whole answer.
    pub max_answer_bytes: usize,
    /// Buffered bytes of all whole answers together.
    pub max_buffered: usize,
    /// Calls in progress.
    pub max_calls: usize,
    /// Time for which an agent's report that it is leaving is valid.
    pub leaving_report_ttl: Duration,
    /// Shortest retry delay sent to a refused caller.
    pub min_retry_after: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            offer_timeout: Duration::from_millis(300),
            max_offers: 4,
            poll_after: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(3),
            long_silence_timeout: Duration::from_secs(10),
            ack_interval: Duration::from_secs(1),
            pause_threshold: Duration::from_secs(1),
            max_starts: 3,
            config_timeout: Duration::from_secs(2),
            config_retry_interval: Duration::from_millis(50),
            claim_timeout: Duration::from_millis(1_500),
            avoid_for: Duration::from_secs(2),
            max_answer_bytes: 8 * 1024 * 1024,
            max_buffered: 256 * 1024 * 1024,
            max_calls: 4_096,
            leaving_report_ttl: Duration::from_secs(1),
            min_retry_after: Duration::from_secs(1),
        }
    }
}

/// Parameters of a new entry.
#[derive(Clone, Debug)]
pub struct EntrySetup {
    /// Data centre that it runs in.
    pub data_centre: Name,
    /// Policy for choosing agents.
    pub policy: RoutePolicy,
    /// Secret from which ids are derived.
    pub seed: [u8; 32],
    /// Limits and timeouts.
    pub limits: EntryLimits,
}

/// Form in which the caller wants the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Token by token.
    Stream,
    /// As a whole, buffered until complete.
    Whole,
}

/// A caller's request as parsed by the HTTP front end.
#[derive(Clone, Debug)]
pub struct Submission {
    /// BLAKE3 digest of the caller's key.
    pub key_digest: [u8; 32],
    /// Model or plain service.
    pub target: Name,
    /// HTTP method, matched by the rules on retries.
    pub method: Name,
    /// Path, matched by the rules on retries.
    pub path: Name,
    /// The work to run.
    pub work: Work,
    /// Priority requested by the caller.
    pub priority: Option<Priority>,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens in the answer.
    pub max_tokens: u32,
    /// Digest of the prompt's prefix.
    pub prefix: Digest,
    /// Messages of the prompt but the last, which other requests may share.
    pub shared_parts: Vec<PartId>,
    /// Form of the answer.
    pub delivery: Delivery,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<Name>,
    /// Whether it runs at most once even if no rule demands it.
    pub never_retry: bool,
    /// Position at which a returning caller resumes.
    pub resume: Option<ResumePoint>,
}

/// Position in a stream, carried in the ids of its server-sent events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The request that started the generation.
    pub request: RequestId,
    /// The generation.
    pub generation: GenerationId,
    /// Name of the agent that holds it.
    pub agent: Name,
    /// First token not yet received.
    pub next: u64,
}

/// An input of an entry.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// A caller's request.
    Submit(CallId, Box<Submission>),
    /// The caller disconnected.
    CallerGone(CallId),
    /// The caller consumed all tokens below that index.
    Consumed(CallId, u64),
    /// A message from another process of the fleet.
    Message(Box<Envelope>),
    /// The platform's answer to a call's claim.
    Claim(CallId, ClaimAnswer),
    /// A configuration was read.
    Config(Arc<Config>),
    /// A membership record of an agent or entry.
    Member(MemberRecord),
    /// Number of live entries, among which quotas are divided.
    EntryCount(u32),
    /// The entry is to stop.
    Leave,
    /// Periodic timer.
    Tick,
}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The generation has started; tokens or the end follow.
    Begin(ResumePoint),
    /// Next tokens.
    Tokens(Chunk),
    /// The end of a complete answer.
    End(Finish),
    /// The call failed; no tokens follow.
    Fail {
        /// Result code.
        code: Code,
        /// Time after which to retry; `None` if a retry is useless.
        retry_after: Option<Duration>,
        /// Tokens sent so far.
        delivered: u64,
    },
}

/// An output of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Send a message to every known member.
    Broadcast(Message),
    /// Send a reply to a caller.
    Reply(CallId, Reply),
    /// Perform an operation on the claim of that key at the platform.
    Claim(CallId, Digest, ClaimOp),
    /// Pull the configuration from that process.
    PullConfig(SocketAddr),
    /// Count a finished request.
    Measured(MeasuredRequest),
    /// Log and count an event.
    LogEvent(LogEvent),
}
