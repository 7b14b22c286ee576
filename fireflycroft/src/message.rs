//! Messages between entries and agents.
//!
//! A request takes two steps: `Offer` requests a reservation, which `Accept`
//! grants under a generation id chosen by the agent; only `Start` with that id
//! runs it. Late duplicates therefore run nothing: an old `Offer` creates a
//! reservation that expires, an old `Start` names an id that is used up. Any
//! message may be lost, duplicated or reordered.

use crate::code::Code;
use crate::crash_report::{CrashId, CrashNews};
use crate::ids::{Digest, GenerationId, Name, Peer, RequestId};
use crate::member_record::MemberRecord;
use crate::order::Order;
use crate::stream::Chunk;
use crate::work::{Demand, Work};
use std::sync::Arc;
use std::time::Duration;

/// Version of the configuration; zero for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

/// A message with the fields common to all messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Sender.
    pub from: Peer,
    /// Active configuration version of the sender.
    pub config: ConfigVersion,
    /// Load of the sender's upstream, from agents only.
    pub load: Option<Load>,
    /// The message itself.
    pub body: Message,
}

/// Current load of an agent's upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Running generations.
    pub running: u32,
    /// Requests waiting at the agent.
    pub queued: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Expected peak memory of the running generations, in tokens.
    pub expected_tokens: u64,
    /// Total memory, in tokens.
    pub capacity_tokens: u64,
    /// Time of one decoding step: one token of each running generation.
    pub step: Duration,
    /// Expected wait of an interactive request.
    pub wait_interactive: Duration,
    /// Expected wait of a batch request.
    pub wait_batch: Duration,
    /// Whether the agent refuses new work.
    pub leaving: bool,
    /// Maximum number of generations in a batch.
    pub max_batch: u32,
}

/// End of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Total number of tokens.
    pub total: u64,
    /// Result of the generation.
    pub code: Code,
    /// Reason for the stop, as given by the upstream.
    pub reason: Name,
    /// HTTP status of a plain service's answer; zero for generations.
    pub status: u16,
    /// Content type of a plain service's answer.
    pub content_type: Name,
    /// Prompt tokens, as counted by the upstream.
    pub prompt_tokens: u32,
    /// Number of preemptions by the upstream.
    pub preemptions: u32,
    /// Known number of upstreams that this content crashed.
    pub crashes: u8,
    /// End of the upstream that broke it off.
    pub ended: Option<CrashId>,
}

/// State of a generation, as reported by an agent to a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Reserved; may still be started.
    Reserved,
    /// Reserved but never started, and no longer startable.
    NeverStarted,
    /// Unknown to this agent.
    Unknown,
    /// Started, but the requested part is no longer held.
    PartGone,
    /// Started, but the maximum number of readers is attached.
    Crowded,
}

/// Message from one process to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Entry: requests a reservation.
    Offer {
        /// The request.
        request: RequestId,
        /// Number of the offer among those for the request.
        attempt: u32,
        /// Its resource demand.
        demand: Demand,
        /// Maximum wait at the agent.
        max_wait: Duration,
    },
    /// Agent: the offer waits here and will be accepted or refused.
    Queued {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
        /// Expected time until acceptance.
        wait: Duration,
    },
    /// Agent: reserved; must be started before the hold expires.
    Accept {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
        /// Unique id of this reservation.
        generation: GenerationId,
        /// Lifetime of the reservation.
        hold: Duration,
    },
    /// Agent: refused; nothing has run or will run under this attempt.
    Refuse {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
        /// Reason.
        code: Code,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// Entry: withdraws the offer or reservation.
    Withdraw {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
    },
    /// Entry: runs the reserved work.
    Start {
        /// The request.
        request: RequestId,
        /// The reservation.
        generation: GenerationId,
        /// The work.
        work: Work,
    },
    /// Entry: attaches a reader to the generation at a token.
    Attach {
        /// The reader's own request id.
        reader: RequestId,
        /// The request that started the generation.
        request: RequestId,
        /// The generation.
        generation: GenerationId,
        /// Workspace of the reader; must be the generation's.
        workspace: Name,
        /// First token requested.
        from: u64,
    },
    /// Agent: tokens, and the end after the last one.
    Tokens {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
        /// Tokens; may be empty.
        chunk: Chunk,
        /// The end, if the chunk reaches it.
        finish: Option<Finish>,
    },
    /// Agent: state of a generation from which no tokens can be sent.
    Stand {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
        /// State of the generation.
        standing: Standing,
    },
    /// Entry: all tokens below `next` were delivered.
    Ack {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
        /// First token not yet delivered.
        next: u64,
    },
    /// Entry: the reader stops reading; its caller may return.
    Detach {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
    },
    /// Entry: stops the generation.
    Cancel {
        /// The generation.
        generation: GenerationId,
    },
    /// Any: evidence about requests that crash upstreams; without any, a question for it.
    CrashNews(CrashNews),
    /// Holder of the fleet's lease: an order to be executed.
    Order(Order),
    /// Agent: outcome of an order.
    OrderAnswer {
        /// The order.
        id: RequestId,
        /// Outcome.
        code: Code,
        /// Highest fencing number known to the agent.
        fence: u64,
    },
    /// Any: liveness probe, with recently changed records.
    Ping {
        /// Number to repeat in the pong.
        nonce: u64,
        /// Records that changed.
        records: Vec<MemberRecord>,
        /// Digest of all records held.
        view: u64,
    },
    /// Any: answer to a ping.
    Pong {
        /// Number of the ping.
        nonce: u64,
        /// Records that changed.
        records: Vec<MemberRecord>,
        /// Digest of all records held.
        view: u64,
    },
    /// Any: requests an indirect ping of a member; its pong is relayed under the
    /// sender's number.
    PingVia {
        /// Number to repeat in the pong.
        nonce: u64,
        /// The member, as the sender knows it.
        target: MemberRecord,
    },
    /// Any: digests of the partitions of all records held.
    ViewParts {
        /// Digest of each part.
        parts: Vec<u64>,
    },
    /// Any: hashes of the records held in parts that differ.
    ViewHashes {
        /// One bit for each part.
        parts: u64,
        /// Hash of each record.
        hashes: Vec<u64>,
        /// Whether this message replies to another `ViewHashes`.
        reply: bool,
    },
    /// Any: records missing at the receiver.
    ViewPage {
        /// The records.
        records: Vec<MemberRecord>,
    },
    /// Any: requests the receiver's configuration if it is newer.
    ConfigPull {
        /// Version held by the sender.
        have: ConfigVersion,
        /// Index of the requested part.
        part: u32,
    },
    /// Any: one part of the configuration.
    ConfigPart {
        /// Version the part belongs to.
        version: ConfigVersion,
        /// Index of the part.
        part: u32,
        /// Total number of parts.
        parts: u32,
        /// Digest of the whole.
        digest: Digest,
        /// Bytes of the part.
        data: Arc<[u8]>,
    },
}
