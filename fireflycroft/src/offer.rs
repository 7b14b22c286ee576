//! Offers to an agent: their identity, the admission policy, the upstream's
//! capacity and the decision.

use crate::ids::RequestId;
use std::time::Duration;

/// Identifies one offer of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OfferId {
    /// The request.
    pub request: RequestId,
    /// Number of the offer among those for the request.
    pub attempt: u32,
}

/// Admission policy of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmitPolicy {
    /// Admits by slots and expected memory, with a priority queue.
    #[default]
    Expected,
    /// Admits everything immediately; the upstream queues. A baseline.
    PassThrough,
}

/// Capacity of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory in tokens.
    pub tokens: u64,
    /// Maximum number of generations in a batch.
    pub max_batch: u32,
    /// Maximum number of waiting requests.
    pub max_queue: usize,
}

/// Delayed load report of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Generations in the batch.
    pub running: u32,
    /// Waiting generations.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
}

/// Decision on an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitDecision {
    /// Runs now; its slot and memory are reserved.
    Admit,
    /// Waits for about this time.
    Queue(Duration),
    /// Cannot begin before its deadline; retry after this time.
    Refuse(Duration),
    /// Exceeds the memory of this upstream.
    TooLong,
}
