//! A short lease in the platform: at most one node acts for the fleet.
//!
//! The record is one object, changed only conditional on its version. Clocks
//! of nodes are never compared: a holder counts its time from the moment its
//! last successful write was *sent*, a challenger from the moment it *saw* the
//! record for the first time, and waits a margin more. Both use monotonic
//! time, so a holder that was paused finds its lease over before it acts.
//! Every change of hands raises the fencing number.

use crate::ids::{Name, RequestId};
use crate::time::Time;
use std::time::Duration;

/// The lease as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub holder: Name,
    /// Token of the holder's present life; unguessable.
    pub token: RequestId,
    /// Fencing number; grows with every change of hands.
    pub fence: u64,
    /// Renewals under this fencing number.
    pub renewal: u64,
}

/// What the platform is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOp {
    /// Read the record.
    Read,
    /// Create the record if there is none.
    Create(LeaseRecord),
    /// Replace the record of that version.
    Replace(u64, LeaseRecord),
}

/// What the platform answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The record read, with its version.
    Found(LeaseRecord, u64),
    /// There is no record.
    Absent,
    /// The write took effect and made that version.
    Written(u64),
    /// The write met another version and had no effect.
    Conflict,
    /// The platform is out; the call had no effect.
    Unavailable,
    /// The answer was lost; a write may have taken effect.
    Lost,
}

/// Number of a call, so that an answer that comes late is told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseCall(pub u64);

/// Spans of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimings {
    /// How long a write gives the lease.
    pub ttl: Duration,
    /// Taken off by the holder and added by a challenger.
    pub margin: Duration,
    /// Longest wait for an answer of the platform.
    pub call_timeout: Duration,
}

impl Default for LeaseTimings {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(15),
            margin: Duration::from_secs(1),
            call_timeout: Duration::from_secs(4),
        }
    }
}

/// Calls between two renewals, or two looks, in one span of the lease.
const CALLS_PER_TTL: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is known, or what was known may be out of date.
    Unknown,
    /// There is no record.
    Vacant,
    /// Another's record, unchanged since that time.
    Observed {
        record: LeaseRecord,
        version: u64,
        since: Time,
    },
    /// Held until that time.
    Held {
        record: LeaseRecord,
        version: u64,
        until: Time,
    },
}

#[derive(Clone, Debug)]
struct PendingCall {
    call: LeaseCall,
    op: LeaseOp,
    sent: Time,
}

/// One node's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    name: Name,
    token: RequestId,
    timings: LeaseTimings,
    state: State,
    pending: Option<PendingCall>,
    next_call: Time,
    calls: u64,
    /// Highest fencing number seen anywhere.
    highest_fence: u64,
    /// A write of this node whose answer was lost, and when it was sent.
    unconfirmed: Option<(LeaseRecord, Time)>,
}

impl Lease {
    /// A node that knows nothing of the lease yet.
    #[must_use]
    pub const fn new(name: Name, token: RequestId, timings: LeaseTimings) -> Self {
        Self {
            name,
            token,
            timings,
            state: State::Unknown,
            pending: None,
            next_call: Time(0),
            calls: 0,
            highest_fence: 0,
            unconfirmed: None,
        }
    }

    /// Fencing number under which this node may act at `now`.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<u64> {
        match &self.state {
            State::Held { record, until, .. } if now < *until => Some(record.fence),
            _ => None,
        }
    }

    /// Notes a fencing number seen elsewhere, such as at an agent.
    pub fn record_fence(&mut self, fence: u64) {
        self.highest_fence = self.highest_fence.max(fence);
    }

    /// Decides what to ask the platform, if anything.
    ///
    /// Only a `candidate` looks and challenges; a holder renews while it is
    /// one, and lets the lease run out otherwise.
    pub fn on_tick(&mut self, now: Time, candidate: bool) -> Option<(LeaseCall, LeaseOp)> {
        self.expire_call(now);
        self.expire_hold(now);
        if self.pending.is_some() || now < self.next_call || !candidate {
            return None;
        }
        let op = self.next_op(now);
        self.next_call = now + self.timings.ttl / CALLS_PER_TTL;
        self.calls += 1;
        let call = LeaseCall(self.calls);
        self.pending = Some(PendingCall {
            call,
            op: op.clone(),
            sent: now,
        });
        Some((call, op))
    }

    /// Takes the platform's answer to a call; one that was given up on is
    /// not heard any more.
    pub fn on_answer(&mut self, now: Time, call: LeaseCall, answer: LeaseAnswer) {
        let matching = self.pending.take_if(|a| a.call == call);
        let Some(PendingCall { op, sent, .. }) = matching else {
            return;
        };
        match (answer, op) {
            (LeaseAnswer::Found(record, version), _) => self.on_found(now, record, version),
            (LeaseAnswer::Absent, _) => {
                self.state = State::Vacant;
                self.next_call = now;
            }
            (
                LeaseAnswer::Written(version),
                LeaseOp::Create(record) | LeaseOp::Replace(_, record),
            ) => {
                self.hold(record, version, sent);
            }
            (LeaseAnswer::Lost, LeaseOp::Create(record) | LeaseOp::Replace(_, record)) => {
                self.unconfirmed = Some((record, sent));
                self.schedule_read(now);
            }
            (LeaseAnswer::Conflict, _) => self.schedule_read(now),
            (LeaseAnswer::Written(_) | LeaseAnswer::Lost, LeaseOp::Read)
            | (LeaseAnswer::Unavailable, _) => {}
        }
    }

    fn next_op(&self, now: Time) -> LeaseOp {
        if self.unconfirmed.is_some() {
            return LeaseOp::Read;
        }
        match &self.state {
            State::Unknown => LeaseOp::Read,
            State::Vacant => LeaseOp::Create(self.new_record(0)),
            State::Observed {
                record,
                version,
                since,
            } => {
                let expired = now.since(*since) >= self.timings.ttl + self.timings.margin;
                if expired || record.token == self.token {
                    LeaseOp::Replace(*version, self.new_record(record.fence))
                } else {
                    LeaseOp::Read
                }
            }
            State::Held {
                record, version, ..
            } => {
                let renewed = LeaseRecord {
                    renewal: record.renewal + 1,
                    ..record.clone()
                };
                LeaseOp::Replace(*version, renewed)
            }
        }
    }

    fn new_record(&self, seen: u64) -> LeaseRecord {
        LeaseRecord {
            holder: self.name.clone(),
            token: self.token,
            fence: self.highest_fence.max(seen) + 1,
            renewal: 0,
        }
    }

    fn on_found(&mut self, now: Time, record: LeaseRecord, version: u64) {
        self.highest_fence = self.highest_fence.max(record.fence);
        if let Some((own, sent)) = self.unconfirmed.take()
            && own == record
        {
            // The write whose answer was lost took effect.
            self.hold(record, version, sent);
            return;
        }
        let unchanged =
            matches!(&self.state, State::Observed { version: seen, .. } if *seen == version);
        if !unchanged {
            self.state = State::Observed {
                record,
                version,
                since: now,
            };
        }
    }

    fn hold(&mut self, record: LeaseRecord, version: u64, sent: Time) {
        self.highest_fence = self.highest_fence.max(record.fence);
        self.unconfirmed = None;
        self.state = State::Held {
            record,
            version,
            until: sent + self.timings.ttl.saturating_sub(self.timings.margin),
        };
    }

    fn schedule_read(&mut self, now: Time) {
        self.next_call = now;
        // A hold stays valid for its time; it is only not renewed unseen.
        if !matches!(self.state, State::Held { .. }) || self.unconfirmed.is_none() {
            self.state = State::Unknown;
        }
    }

    fn expire_call(&mut self, now: Time) {
        let overdue = |a: &&PendingCall| now.since(a.sent) >= self.timings.call_timeout;
        if let Some(call) = self.pending.as_ref().filter(overdue).map(|a| a.call) {
            self.on_answer(now, call, LeaseAnswer::Lost);
        }
    }

    fn expire_hold(&mut self, now: Time) {
        if matches!(&self.state, State::Held { until, .. } if now >= *until) {
            self.state = State::Unknown;
        }
    }
}
