//! Calls that wait until entry and agent have the same configuration version.
//!
//! An agent accepts an offer only if both have the same active version. The
//! older side pulls the newer version, which takes one or a few round trips.
//! Meanwhile the call waits; then it is checked against the new configuration
//! and offered again. It fails only if this exceeds a time limit.

use crate::code::Code;
use crate::entry::{Call, Entry, Phase};
use crate::entry_io::EntryAction;
use crate::ids::CallId;
use crate::log_event::LogEvent;
use crate::time::Time;

impl Entry {
    /// Makes a call wait whose offer was refused because of the version, or
    /// that arrived while this entry's configuration is out of date.
    pub(crate) fn await_config(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let retry = self.limits.config_retry_interval;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(assigned) = call.assigned() {
            self.router.record_done(&assigned.agent.clone());
        }
        // The same agent may get the offer again once the versions agree.
        call.tried.pop();
        call.offers = call.offers.saturating_sub(1);
        if call.awaiting_config_since.is_none() {
            let event = LogEvent::new("config_awaited").request(call.request);
            out.push(EntryAction::LogEvent(event));
        }
        let since = *call.awaiting_config_since.get_or_insert(now);
        call.phase = Phase::AwaitingConfig {
            retry_at: now + retry,
        };
        if now.since(since) >= self.limits.config_timeout {
            let wait = Some(self.limits.min_retry_after);
            self.fail(id, Code::ConfigOutdated, wait, out);
        }
    }

    /// Registers a new call that arrived while this entry's configuration is out of date.
    pub(crate) fn begin_awaiting_config(
        &mut self,
        now: Time,
        call: Call,
        out: &mut Vec<EntryAction>,
    ) {
        let id = call.id;
        self.by_request.insert(call.request, id);
        self.calls.insert(id, call);
        self.await_config(now, id, out);
    }

    /// Offers a waiting call again when its retry is due.
    pub(crate) fn tick_awaiting_config(
        &mut self,
        now: Time,
        id: CallId,
        out: &mut Vec<EntryAction>,
    ) {
        let due = |call: &Call| matches!(call.phase, Phase::AwaitingConfig { retry_at } if now >= retry_at);
        if !self.calls.get(&id).is_some_and(due) {
            return;
        }
        if self.config.is_lagging() {
            self.await_config(now, id, out);
        } else {
            self.offer_next(now, id, out);
        }
    }

    /// Offers all waiting calls again after a configuration became active.
    pub(crate) fn retry_awaiting_config(&mut self, now: Time, out: &mut Vec<EntryAction>) {
        if self.config.is_lagging() {
            return;
        }
        let held = |call: &&Call| matches!(call.phase, Phase::AwaitingConfig { .. });
        let ids: Vec<CallId> = self.calls.values().filter(held).map(|c| c.id).collect();
        for id in ids {
            self.offer_next(now, id, out);
        }
    }
}
