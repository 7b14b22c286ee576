//! Claims of idempotency keys: at most one run per key, however often it is sent.
//!
//! A claim is made after an agent has reserved capacity and before the start,
//! so that the record names the one reservation that may run. It is an object
//! in the platform's store, created if absent, with the claimer's own token:
//! if an answer is lost, reading the object shows who owns it. A claim whose
//! reservation was never started may be replaced, conditional on its version.

use crate::ids::{Digest, GenerationId, Name, RequestId};
use crate::time::Time;
use std::net::SocketAddr;

/// Record of one claim, as stored by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Unguessable token of the claimer, also its request id.
    pub request: RequestId,
    /// The one reservation that may run.
    pub generation: GenerationId,
    /// Name of the agent that holds it.
    pub agent: Name,
    /// Mailbox of that agent.
    pub addr: SocketAddr,
    /// Digest of the request's content.
    pub content: Digest,
}

/// A request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOp {
    /// Create the record if absent.
    Create(ClaimRecord),
    /// Read the record.
    Read,
    /// Replace the record of that version.
    Replace(u64, ClaimRecord),
}

/// The platform's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The write took effect.
    Written,
    /// Another record or version exists; the write had no effect.
    Conflict,
    /// The record and its version.
    Found(ClaimRecord, u64),
    /// There is no record.
    Absent,
    /// The platform is unavailable; the call had no effect.
    Unavailable,
    /// The answer was lost; a write may have taken effect.
    Lost,
}

/// Next step after an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimNext {
    /// Send this request.
    Request(ClaimOp),
    /// The claim is acquired; the generation may start.
    Acquired,
    /// Another request holds the claim, at that version.
    ClaimedByOther(ClaimRecord, u64),
    /// The claim was not settled in time; nothing may start.
    GiveUp,
}

/// An attempt to claim a key.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    record: ClaimRecord,
    replace: Option<u64>,
    calls: u32,
    deadline: Time,
}

const MAX_CALLS: u32 = 6;

impl ClaimAttempt {
    /// Creates an attempt with `record` that replaces version `replace`, if given.
    #[must_use]
    pub const fn new(record: ClaimRecord, replace: Option<u64>, deadline: Time) -> Self {
        Self {
            record,
            replace,
            calls: 0,
            deadline,
        }
    }

    /// Returns the record to be written.
    #[must_use]
    pub const fn record(&self) -> &ClaimRecord {
        &self.record
    }

    /// Returns the first request.
    #[must_use]
    pub fn first(&self) -> ClaimOp {
        self.write()
    }

    /// Returns the next step after an answer.
    pub fn on_answer(&mut self, now: Time, answer: ClaimAnswer) -> ClaimNext {
        self.calls += 1;
        // The start must not come after the reservation's hold has ended.
        if now >= self.deadline {
            return ClaimNext::GiveUp;
        }
        match answer {
            ClaimAnswer::Written => ClaimNext::Acquired,
            ClaimAnswer::Found(record, _) if record == self.record => ClaimNext::Acquired,
            ClaimAnswer::Found(record, version) if self.replace == Some(version) => {
                // The write whose answer was lost has had no effect yet.
                self.request_or_yield(
                    ClaimOp::Replace(version, self.record.clone()),
                    record,
                    version,
                )
            }
            ClaimAnswer::Found(record, version) => ClaimNext::ClaimedByOther(record, version),
            ClaimAnswer::Conflict | ClaimAnswer::Lost => self.request_or_give_up(ClaimOp::Read),
            ClaimAnswer::Absent => self.request_or_give_up(ClaimOp::Create(self.record.clone())),
            ClaimAnswer::Unavailable => ClaimNext::GiveUp,
        }
    }

    /// Returns whether the deadline has passed.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.deadline
    }

    fn write(&self) -> ClaimOp {
        match self.replace {
            Some(version) => ClaimOp::Replace(version, self.record.clone()),
            None => ClaimOp::Create(self.record.clone()),
        }
    }

    fn request_or_yield(&self, op: ClaimOp, other: ClaimRecord, version: u64) -> ClaimNext {
        if self.calls < MAX_CALLS {
            ClaimNext::Request(op)
        } else {
            ClaimNext::ClaimedByOther(other, version)
        }
    }

    fn request_or_give_up(&self, op: ClaimOp) -> ClaimNext {
        if self.calls < MAX_CALLS {
            ClaimNext::Request(op)
        } else {
            ClaimNext::GiveUp
        }
    }
}
