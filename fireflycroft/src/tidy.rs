//! What the agent does by the clock, and when it is to leave.

use crate::agent::{Agent, AgentAction, LEAVING_RETRY, Offered};
use crate::code::Code;
use crate::generation::{Generation, Stage};
use crate::ids::GenerationId;
use crate::log_event::LogEvent;
use crate::offer::OfferId;
use crate::time::Time;

impl Agent {
    pub(crate) fn on_leave(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        out.push(AgentAction::LogEvent(LogEvent::new("agent_leaving")));
        let is_waiting = |o: &Offered| matches!(o, Offered::Waiting(..));
        let waiting: Vec<(OfferId, Offered)> = self
            .offers
            .iter()
            .filter(|(_, o)| is_waiting(o))
            .map(|(id, o)| (*id, o.clone()))
            .collect();
        for (offer, state) in waiting {
            if let Offered::Waiting(to, _) = state {
                self.admission.release(offer);
                self.refuse(now, to, offer, Code::Leaving, LEAVING_RETRY, out);
            }
        }
    }

    pub(crate) fn on_tick(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.lapse_due(now, out);
        self.refuse_expired(now, out);
        self.drop_silent_readers(now);
        self.stop_unread(now, out);
        self.stop_stalled(now, out);
        self.forget_old(now);
        self.quarantine.expire(now);
        out.extend(self.news.due(now).into_iter().map(AgentAction::Broadcast));
    }

    pub(crate) fn lapse_due(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let due = |g: &&Generation| matches!(g.stage, Stage::Reserved(until) if until <= now);
        let serials: Vec<u64> = self
            .generations
            .values()
            .filter(due)
            .map(|g| g.id.serial)
            .collect();
        for serial in serials {
            self.lapse(now, serial, out);
        }
    }

    pub(crate) fn refuse_expired(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        for offer in self.admission.expired(now) {
            let Some(Offered::Waiting(to, demand)) = self.offers.get(&offer).cloned() else {
                continue;
            };
            let retry = self.admission.expected_wait(demand.priority);
            self.refuse(now, to, offer, Code::Overloaded, retry, out);
        }
    }

    pub(crate) fn drop_silent_readers(&mut self, now: Time) {
        let limit = now - self.limits.reader_silence;
        if limit == Time::default() {
            return;
        }
        for g in self.generations.values_mut() {
            if matches!(g.stage, Stage::Running | Stage::Finished(_)) {
                g.drop_silent(now, limit);
            }
        }
    }

    pub(crate) fn stop_unread(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let keep = self.limits.keep_unread;
        let unread = |g: &&Generation| {
            g.is_running() && g.unread_since.is_some_and(|t| now.since(t) >= keep)
        };
        let ids: Vec<GenerationId> = self
            .generations
            .values()
            .filter(unread)
            .map(|g| g.id)
            .collect();
        for id in ids {
            self.stop(now, id, Code::Cancelled, out);
        }
    }

    pub(crate) fn stop_stalled(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let most = self.limits.max_stall;
        let stalled = |g: &&Generation| g.is_running() && now.since(g.heard) >= most;
        let ids: Vec<GenerationId> = self
            .generations
            .values()
            .filter(stalled)
            .map(|g| g.id)
            .collect();
        for id in ids {
            self.stop(now, id, Code::DeadlineExceeded, out);
        }
    }

    /// Forgets settled offers and ended answers whose time has come.
    pub(crate) fn forget_old(&mut self, now: Time) {
        let limits = self.limits;
        self.generations.forget(now, &limits);
        let held = &self.generations;
        self.offers.retain(|_, o| match o {
            Offered::Waiting(..) => true,
            Offered::Reserved(serial) => held.get(*serial).is_some(),
            Offered::Refused(_, at) => now.since(*at) < limits.remember,
        });
    }
}
