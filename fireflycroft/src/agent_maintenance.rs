//! Timer-driven work of the agent, and its drain.

use crate::agent::{Agent, AgentAction, OfferState, SHORT_RETRY_AFTER};
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
        let is_waiting = |o: &OfferState| matches!(o, OfferState::Waiting(..));
        let waiting: Vec<(OfferId, OfferState)> = self
            .offers
            .iter()
            .filter(|(_, o)| is_waiting(o))
            .map(|(id, o)| (*id, o.clone()))
            .collect();
        for (offer, state) in waiting {
            if let OfferState::Waiting(to, _) = state {
                self.admission.release(offer);
                self.refuse(now, to, offer, Code::Leaving, SHORT_RETRY_AFTER, out);
            }
        }
    }

    pub(crate) fn on_tick(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.expire_due_reservations(now, out);
        self.refuse_expired_offers(now, out);
        self.drop_silent_readers(now);
        self.stop_unread(now, out);
        self.stop_stalled(now, out);
        self.remove_old_records(now);
        self.tick_crashes(now, out);
    }

    pub(crate) fn expire_due_reservations(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let due = |g: &&Generation| matches!(g.stage, Stage::Reserved(until) if until <= now);
        let serials: Vec<u64> = self
            .generations
            .values()
            .filter(due)
            .map(|g| g.id.serial)
            .collect();
        for serial in serials {
            self.expire_reservation(now, serial, out);
        }
    }

    pub(crate) fn refuse_expired_offers(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        for offer in self.admission.remove_expired(now) {
            let Some(OfferState::Waiting(to, demand)) = self.offers.get(&offer).cloned() else {
                continue;
            };
            let retry = self.admission.expected_wait(demand.priority);
            self.refuse(now, to, offer, Code::Overloaded, retry, out);
        }
    }

    pub(crate) fn drop_silent_readers(&mut self, now: Time) {
        let limit = now - self.limits.reader_timeout;
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
        let unread_timeout = self.limits.unread_timeout;
        let unread = |g: &&Generation| {
            g.is_running()
                && g.unread_since
                    .is_some_and(|t| now.since(t) >= unread_timeout)
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
        let stall_timeout = self.limits.stall_timeout;
        let stalled = |g: &&Generation| g.is_running() && now.since(g.last_output) >= stall_timeout;
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

    /// Drops refused offers and finished answers past their retention.
    pub(crate) fn remove_old_records(&mut self, now: Time) {
        let limits = self.limits;
        self.generations.remove_old(now, &limits);
        let held = &self.generations;
        self.offers.retain(|_, o| match o {
            OfferState::Waiting(..) => true,
            OfferState::Reserved(serial) => held.get(*serial).is_some(),
            OfferState::Refused(_, at) => now.since(*at) < limits.offer_retention,
        });
    }
}
