//! Offers to an agent: who makes them, what the upstream holds, what becomes of them.

use crate::ids::RequestId;
use std::time::Duration;

/// Identifies one offer of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId {
    /// The request.
    pub request: RequestId,
    /// The offer's number.
    pub attempt: u32,
}

/// How an agent admits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmitPolicy {
    /// By slots and expected memory, with a queue by priority.
    #[default]
    Expected,
    /// Everything at once; the upstream queues. A baseline.
    PassThrough,
}

/// Size of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory in tokens.
    pub tokens: u64,
    /// Most generations in a batch.
    pub max_batch: u32,
    /// Most requests that wait.
    pub max_queue: usize,
}

/// What the upstream itself reports of its load, late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// It may run now; its slot and memory are taken.
    Admit,
    /// It waits about so long.
    Queue(Duration),
    /// It cannot begin in time; come back after so long.
    Refuse(Duration),
    /// It can never fit this upstream.
    TooLong,
}
