//! A short lease in the platform's store, so that at most one node acts for the fleet.
//!
//! The record is one object, written only conditional on its version. Clocks
//! of different nodes are never compared: a holder counts from the time at
//! which its last successful write was *sent*, a challenger from the time at
//! which it first *read* the record, plus a margin. Both use monotonic time,
//! so a holder that was paused finds its lease expired before it acts. Every
//! change of holder raises the fencing number.

use crate::ids::{Name, RequestId};
use crate::time::Time;
use std::time::Duration;

/// Record of the lease, as stored by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Name of the holder.
    pub holder: Name,
    /// Unguessable token of the holder's current incarnation.
    pub token: RequestId,
    /// Fencing number, raised by every change of holder.
    pub fence: u64,
    /// Number of renewals under this fencing number.
    pub renewal: u64,
}

/// A request to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseOp {
    /// Read the record.
    Read,
    /// Create the record if absent.
    Create(LeaseRecord),
    /// Replace the record of that version.
    Replace(u64, LeaseRecord),
}

/// The platform's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The record and its version.
    Found(LeaseRecord, u64),
    /// There is no record.
    Absent,
    /// The write took effect and created that version.
    Written(u64),
    /// Another version exists; the write had no effect.
    Conflict,
    /// The platform is unavailable; the call had no effect.
    Unavailable,
    /// The answer was lost; a write may have taken effect.
    Lost,
}

/// Number of a call, by which late answers are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseCall(pub u64);

/// Durations of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimings {
    /// Time for which a write holds the lease.
    pub ttl: Duration,
    /// Safety margin, subtracted by the holder and added by a challenger.
    pub margin: Duration,
    /// Longest wait for an answer from the platform.
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

/// Renewals, or reads by a challenger, within one `ttl`.
const CALLS_PER_TTL: u32 = 3;

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Nothing is known, or the known state may be out of date.
    Unknown,
    /// There is no record.
    Vacant,
    /// A record of another node, unchanged since that time.
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
    /// A write of this node whose answer was lost, and the time it was sent.
    unconfirmed: Option<(LeaseRecord, Time)>,
}

impl Lease {
    /// Creates a view that knows nothing about the lease.
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

    /// Returns the fencing number under which this node may act at `now`.
    #[must_use]
    pub fn held(&self, now: Time) -> Option<u64> {
        match &self.state {
            State::Held { record, until, .. } if now < *until => Some(record.fence),
            _ => None,
        }
    }

    /// Records a fencing number observed elsewhere, such as at an agent.
    pub fn record_fence(&mut self, fence: u64) {
        self.highest_fence = self.highest_fence.max(fence);
    }

    /// Returns the next request to the platform, if one is due.
    ///
    /// Only a `candidate` reads the record and challenges the holder; a holder
    /// that is no longer a candidate lets the lease expire.
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

    /// Handles the platform's answer to a call; the answer to an abandoned
    /// call is ignored.
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
        // A renewal whose answer was lost doesn't end the lease early; the next
        // call reads the record.
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
