//! Requests that wait, for a moment, until both sides hold one configuration.
//!
//! An offer is taken only where entry and agent have the same version in
//! force. The older side pulls what it lacks from the other, which takes one
//! or a few round trips; meanwhile the request is held, then checked again by
//! what is in force and offered anew. Only past a bound is its caller told.

use crate::code::Code;
use crate::entry::{Call, Entry, Phase};
use crate::entry_io::EntryAction;
use crate::ids::CallId;
use crate::note::Note;
use crate::time::Time;

impl Entry {
    /// Holds a call whose offer was refused for the version, or that came
    /// while this side is behind.
    pub(crate) fn hold_for_config(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let retry = self.limits.config_retry;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(asked) = call.asked() {
            self.router.note_done(&asked.agent.clone());
        }
        // The same agent may be asked again once both sides agree.
        call.tried.pop();
        call.offers = call.offers.saturating_sub(1);
        if call.behind_since.is_none() {
            let note = Note::new("config_awaited").request(call.request);
            out.push(EntryAction::Note(note));
        }
        let since = *call.behind_since.get_or_insert(now);
        call.phase = Phase::Behind { again: now + retry };
        if now.since(since) >= self.limits.config_wait {
            let wait = Some(self.limits.min_retry_after);
            self.fail(id, Code::ConfigOutdated, wait, out);
        }
    }

    /// Takes a new call that came while this side is behind.
    pub(crate) fn begin_behind(&mut self, now: Time, call: Call, out: &mut Vec<EntryAction>) {
        let id = call.id;
        self.by_request.insert(call.request, id);
        self.calls.insert(id, call);
        self.hold_for_config(now, id, out);
    }

    /// Offers a held call again when its time has come.
    pub(crate) fn tick_behind(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let due = |call: &Call| matches!(call.phase, Phase::Behind { again } if now >= again);
        if !self.calls.get(&id).is_some_and(due) {
            return;
        }
        if self.config.is_behind() {
            self.hold_for_config(now, id, out);
        } else {
            self.offer_next(now, id, out);
        }
    }

    /// A configuration came into force: offers all held calls again.
    pub(crate) fn on_caught_up(&mut self, now: Time, out: &mut Vec<EntryAction>) {
        if self.config.is_behind() {
            return;
        }
        let held = |call: &&Call| matches!(call.phase, Phase::Behind { .. });
        let ids: Vec<CallId> = self.calls.values().filter(held).map(|c| c.id).collect();
        for id in ids {
            self.offer_next(now, id, out);
        }
    }
}
