//! Leave broadcast of a planned stop: every member is pinged directly, entries first.
//!
//! Gossip would take several seconds to reach the last entry. The leaving process
//! therefore pings each member itself, a limited number per round, and retries those
//! that did not answer.

use crate::ids::Role;
use crate::log_event::LogEvent;
use crate::member::Members;
use crate::member_record::{MemberAction, MemberState};
use crate::message::Message;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Pings per round.
const PINGS_PER_ROUND: usize = 64;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time allowed for an answer.
const PONG_TIMEOUT: Duration = Duration::from_millis(300);

/// Most pings to one member.
const MAX_ATTEMPTS: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct PendingNotice {
    ix: MemberIx,
    attempts: u32,
    due: Time,
}

/// State of the leave broadcast.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaveBroadcast {
    nonce: u64,
    pending: VecDeque<PendingNotice>,
    round_at: Time,
}

impl LeaveBroadcast {
    pub(crate) fn forget(&mut self, ix: MemberIx) {
        self.pending.retain(|p| p.ix != ix);
    }

    /// Returns the next member to ping at `now`.
    fn next(&mut self, now: Time) -> Option<MemberIx> {
        let at = self.pending.iter().position(|p| p.due <= now)?;
        let mut pending = self.pending.remove(at)?;
        pending.attempts += 1;
        pending.due = now + PONG_TIMEOUT;
        if pending.attempts < MAX_ATTEMPTS {
            self.pending.push_back(pending);
        }
        Some(pending.ix)
    }
}

impl Members {
    /// Marks this process as leaving and starts the leave broadcast.
    pub(crate) fn leave(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        if self.own().state == MemberState::Leaving {
            return;
        }
        self.update_own(now, |own| own.state = MemberState::Leaving, out);
        out.push(MemberAction::LogEvent(LogEvent::new("member_leaves")));
        self.leave_broadcast = LeaveBroadcast {
            nonce: self.draw_nonce(),
            pending: self.all_recipients(now),
            round_at: now,
        };
        self.tick_leave_broadcast(now, out);
    }

    /// Pings members that have not yet acknowledged.
    pub(crate) fn tick_leave_broadcast(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        if self.leave_broadcast.pending.is_empty() || now < self.leave_broadcast.round_at {
            return;
        }
        self.leave_broadcast.round_at = now + ROUND_INTERVAL;
        for _ in 0..PINGS_PER_ROUND {
            let Some(ix) = self.leave_broadcast.next(now) else {
                return;
            };
            self.send_leave_notice(ix, out);
        }
    }

    /// Records that a member has acknowledged the leave notice.
    pub(crate) fn on_leave_acknowledged(&mut self, ix: MemberIx, nonce: u64) {
        if nonce == self.leave_broadcast.nonce {
            self.leave_broadcast.forget(ix);
        }
    }

    fn send_leave_notice(&mut self, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let addr = self.roster.get(ix).record.peer.addr;
        let message = Message::Ping {
            nonce: self.leave_broadcast.nonce,
            records: vec![self.own().clone()],
            view: self.view(),
        };
        out.push(MemberAction::Send(addr, message));
    }

    fn all_recipients(&self, now: Time) -> VecDeque<PendingNotice> {
        let mut all: Vec<MemberIx> = self
            .roster
            .indices()
            .filter(|ix| *ix != OWN && self.roster.get(*ix).is_present())
            .collect();
        all.sort_by_key(|ix| self.roster.get(*ix).record.peer.role != Role::Entry);
        let pending = |ix| PendingNotice {
            ix,
            attempts: 0,
            due: now,
        };
        all.into_iter().map(pending).collect()
    }
}
