//! Claims of idempotency keys: at most one run a key, whoever re-sends it.
//!
//! A claim is made after an agent has reserved and before the start, so that
//! the record names the one reservation that may run. It is an object of the
//! platform, created if absent under the claimer's own token: when an answer
//! is lost, reading it back tells whose it is. A claim whose reservation was
//! never started may be replaced, conditional on its version.

use crate::ids::{Digest, GenerationId, Name, RequestId};
use crate::time::Time;
use std::net::SocketAddr;

/// Record of one claim, as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Unguessable token of the claimer; also its request id.
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

/// What the platform is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOp {
    /// Create the record if there is none.
    Create(ClaimRecord),
    /// Read the record.
    Read,
    /// Replace the record of that version.
    Replace(u64, ClaimRecord),
}

/// What the platform answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The write took effect.
    Written,
    /// The write met another record or version and had no effect.
    Conflict,
    /// The record read, with its version.
    Found(ClaimRecord, u64),
    /// There is no record.
    Absent,
    /// The platform is out; the call had no effect.
    Unavailable,
    /// The answer was lost; a write may have taken effect.
    Lost,
}

/// What comes of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimNext {
    /// Ask this.
    Request(ClaimOp),
    /// The claim is this claimer's: start.
    Acquired,
    /// The key belongs to another, at that version.
    ClaimedByOther(ClaimRecord, u64),
    /// Not settled in time: do not start.
    GiveUp,
}

/// One attempt to claim a key.
#[derive(Clone, Debug)]
pub struct ClaimAttempt {
    record: ClaimRecord,
    replace: Option<u64>,
    calls: u32,
    deadline: Time,
}

const MAX_CALLS: u32 = 6;

impl ClaimAttempt {
    /// Attempt with `record`, over the version `replace` if one is replaced.
    #[must_use]
    pub const fn new(record: ClaimRecord, replace: Option<u64>, deadline: Time) -> Self {
        Self {
            record,
            replace,
            calls: 0,
            deadline,
        }
    }

    /// The record that is claimed.
    #[must_use]
    pub const fn record(&self) -> &ClaimRecord {
        &self.record
    }

    /// The first call.
    #[must_use]
    pub fn first(&self) -> ClaimOp {
        self.write()
    }

    /// Decides on an answer.
    pub fn on_answer(&mut self, now: Time, answer: ClaimAnswer) -> ClaimNext {
        self.calls += 1;
        // The start must not come after the hold: past `until` nothing is won.
        if now >= self.deadline {
            return ClaimNext::GiveUp;
        }
        match answer {
            ClaimAnswer::Written => ClaimNext::Acquired,
            ClaimAnswer::Found(record, _) if record == self.record => ClaimNext::Acquired,
            ClaimAnswer::Found(record, version) if self.replace == Some(version) => {
                // The write that was lost had no effect yet.
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

    /// Whether the attempt has run out of time.
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
