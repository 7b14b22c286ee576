//! A planned stop: every member is told directly, entries first.
//!
//! Gossip would take several seconds to reach the last entry. The process that
//! leaves therefore pings each member itself, a bounded number a tick, and
//! again those that did not answer.

use crate::ids::Role;
use crate::log_event::LogEvent;
use crate::member::Members;
use crate::member_record::{MemberAction, MemberState};
use crate::message::Message;
use crate::roster::{MemberIx, OWN};
use crate::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Pings of one round of telling.
const PINGS_A_ROUND: usize = 64;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(100);

/// Time that an answer may take.
const ANSWER_WAIT: Duration = Duration::from_millis(300);

/// Pings to one member.
const MAX_TRIES: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Untold {
    ix: MemberIx,
    tries: u32,
    due: Time,
}

/// Members that were not yet told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Farewell {
    nonce: u64,
    untold: VecDeque<Untold>,
    round_at: Time,
}

impl Farewell {
    pub(crate) fn forget(&mut self, ix: MemberIx) {
        self.untold.retain(|u| u.ix != ix);
    }

    /// Next member to ping at `now`.
    fn next(&mut self, now: Time) -> Option<MemberIx> {
        let at = self.untold.iter().position(|u| u.due <= now)?;
        let mut untold = self.untold.remove(at)?;
        untold.tries += 1;
        untold.due = now + ANSWER_WAIT;
        if untold.tries < MAX_TRIES {
            self.untold.push_back(untold);
        }
        Some(untold.ix)
    }
}

impl Members {
    /// States that this process leaves and begins to tell everybody.
    pub(crate) fn leave(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        if self.own().state == MemberState::Leaving {
            return;
        }
        self.restate(now, |own| own.state = MemberState::Leaving, out);
        out.push(MemberAction::LogEvent(LogEvent::new("member_leaves")));
        self.farewell = Farewell {
            nonce: self.draw_nonce(),
            untold: self.all_untold(now),
            round_at: now,
        };
        self.tick_farewell(now, out);
    }

    /// Pings members that were not yet told.
    pub(crate) fn tick_farewell(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        if self.farewell.untold.is_empty() || now < self.farewell.round_at {
            return;
        }
        self.farewell.round_at = now + ROUND;
        for _ in 0..PINGS_A_ROUND {
            let Some(ix) = self.farewell.next(now) else {
                return;
            };
            self.tell_leaving(ix, out);
        }
    }

    /// Notes that the answerer of a farewell's ping knows.
    pub(crate) fn on_farewell_answer(&mut self, ix: MemberIx, nonce: u64) {
        if nonce == self.farewell.nonce {
            self.farewell.forget(ix);
        }
    }

    fn tell_leaving(&mut self, ix: MemberIx, out: &mut Vec<MemberAction>) {
        let addr = self.roster.get(ix).record.peer.addr;
        let message = Message::Ping {
            nonce: self.farewell.nonce,
            records: vec![self.own().clone()],
            view: self.view(),
        };
        out.push(MemberAction::Send(addr, message));
    }

    fn all_untold(&self, now: Time) -> VecDeque<Untold> {
        let mut all: Vec<MemberIx> = self
            .roster
            .indices()
            .filter(|ix| *ix != OWN && self.roster.get(*ix).is_present())
            .collect();
        all.sort_by_key(|ix| self.roster.get(*ix).record.peer.role != Role::Entry);
        let untold = |ix| Untold {
            ix,
            tries: 0,
            due: now,
        };
        all.into_iter().map(untold).collect()
    }
}
