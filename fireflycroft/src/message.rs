//! Messages between entries and agents.
//!
//! A request takes two steps: `Offer` asks for a reservation, which `Accept`
//! grants under a generation id of the agent's own; only `Start` with that id
//! runs it. Copies of either that arrive late therefore run nothing: an old
//! `Offer` makes a reservation that lapses, an old `Start` names an id that is
//! spent. Any message may be lost, repeated or overtaken.

use crate::code::Code;
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

/// A message with what rides on every message.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Who sent it.
    pub from: Peer,
    /// Configuration in force at the sender.
    pub config: ConfigVersion,
    /// Load of the sender's upstream, from agents only.
    pub load: Option<Load>,
    /// The message itself.
    pub body: Message,
}

/// What an agent knows of its upstream at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Generations that run.
    pub running: u32,
    /// Requests that wait at the agent.
    pub queued: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Memory that the running are expected to need, in tokens.
    pub expected_tokens: u64,
    /// Memory in all, in tokens.
    pub capacity_tokens: u64,
    /// Time for one token of each running generation.
    pub step: Duration,
    /// Time until an interactive request would begin.
    pub wait_interactive: Duration,
    /// Time until a batch request would begin.
    pub wait_batch: Duration,
    /// Whether the agent takes no new work.
    pub leaving: bool,
    /// Most generations in a batch.
    pub max_batch: u32,
}

/// How a generation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finish {
    /// Number of tokens in all.
    pub total: u64,
    /// Result of the generation.
    pub code: Code,
    /// Why it stopped, in the upstream's word.
    pub reason: Name,
    /// HTTP status of a plain service's answer; zero for generations.
    pub status: u16,
    /// Content type of a plain service's answer.
    pub content_type: Name,
    /// Tokens of the prompt as the upstream counted them.
    pub prompt_tokens: u32,
    /// Times the upstream preempted the generation.
    pub preemptions: u32,
    /// Upstreams that this content crashed, as far as known.
    pub crashes: u8,
}

/// State of a generation that an agent tells a reader of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Reserved, and may yet be started.
    Reserved,
    /// Reserved once, never started and never will be.
    NeverStarted,
    /// Nothing is known of it here.
    Unknown,
    /// Started, but the part asked for is no longer held.
    PartGone,
    /// Started, but as many readers as allowed are attached.
    Crowded,
}

/// What one process says to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Entry: may this run with you?
    Offer {
        /// The request.
        request: RequestId,
        /// Counts the offers made for the request.
        attempt: u32,
        /// What it needs.
        demand: Demand,
        /// Longest that it may wait at the agent.
        max_wait: Duration,
    },
    /// Agent: it waits here and will be accepted or refused.
    Queued {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
        /// Expected time until it is accepted.
        wait: Duration,
    },
    /// Agent: reserved; start it before the hold lapses.
    Accept {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
        /// Id that only this reservation has.
        generation: GenerationId,
        /// How long the reservation is held.
        hold: Duration,
    },
    /// Agent: not run here, and will not be under this attempt.
    Refuse {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
        /// Why.
        code: Code,
        /// When to come back.
        retry_after: Duration,
    },
    /// Entry: the offer or reservation is not wanted any more.
    Withdraw {
        /// The request.
        request: RequestId,
        /// The offer's number.
        attempt: u32,
    },
    /// Entry: run it.
    Start {
        /// The request.
        request: RequestId,
        /// The reservation.
        generation: GenerationId,
        /// The work itself.
        work: Work,
    },
    /// Entry: give the reader the generation from this token on.
    Attach {
        /// The reader's own request id.
        reader: RequestId,
        /// The request that started the generation.
        request: RequestId,
        /// The generation.
        generation: GenerationId,
        /// Workspace of the reader; must be the generation's.
        workspace: Name,
        /// First token wanted.
        from: u64,
    },
    /// Agent: tokens, and the end when all were given.
    Tokens {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
        /// Tokens; may be empty.
        chunk: Chunk,
        /// The end, when the chunk reaches it.
        finish: Option<Finish>,
    },
    /// Agent: no tokens, and why.
    Stand {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
        /// How the generation stands.
        standing: Standing,
    },
    /// Entry: all tokens below `next` were handed on.
    Ack {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
        /// First token not yet handed on.
        next: u64,
    },
    /// Entry: the caller went away; it may come back.
    Detach {
        /// The reader's request id.
        reader: RequestId,
        /// The generation.
        generation: GenerationId,
    },
    /// Entry: stop the generation.
    Cancel {
        /// The generation.
        generation: GenerationId,
    },
    /// Any: this content crashed so many upstreams.
    Crashes {
        /// Digest of the content.
        content: Digest,
        /// Upstreams crashed.
        count: u8,
    },
    /// Holder of the fleet's lease: carry this out.
    Order(Order),
    /// Agent: what became of an order.
    OrderAnswer {
        /// The order.
        id: RequestId,
        /// What became of it.
        code: Code,
        /// Highest fencing number that the agent knows.
        fence: u64,
    },
    /// Any: is there anybody, and what changed of late.
    Ping {
        /// Number to be given back.
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
    /// Any: ping that member for me and pass its pong on under my number.
    PingVia {
        /// Number to be given back.
        nonce: u64,
        /// The member, as the sender knows it.
        target: MemberRecord,
    },
    /// Any: digests of the parts of all records held.
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
        /// Whether it answers another of its kind.
        reply: bool,
    },
    /// Any: records that the other side lacks.
    ViewPage {
        /// The records.
        records: Vec<MemberRecord>,
    },
    /// Any: give me your configuration if it is later than this.
    ConfigPull {
        /// What the sender holds.
        have: ConfigVersion,
        /// Part of it wanted, in the order of the parts.
        part: u32,
    },
    /// Any: one part of the configuration.
    ConfigPart {
        /// Version the part belongs to.
        version: ConfigVersion,
        /// Number of the part.
        part: u32,
        /// Parts in all.
        parts: u32,
        /// Digest of the whole.
        digest: Digest,
        /// Bytes of the part.
        data: Arc<[u8]>,
    },
}
