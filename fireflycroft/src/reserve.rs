//! The agent's way from an offer to a start.
//!
//! An offer becomes a reservation at once or when its turn in the queue comes,
//! or is refused and remembered, so that a copy gets the same answer. Only a
//! start that names a live reservation runs it.

use crate::agent::{
    Agent, AgentAction, DOWN_RETRY, LEAVING_RETRY, Offered, note, queued, refused, sends, stand,
};
use crate::code::Code;
use crate::generation::{Generation, Stage};
use crate::ids::{Digest, GenerationId, RequestId};
use crate::message::{Message, Standing};
use crate::offer::{OfferId, Verdict};
use crate::stream::TokenLog;
use crate::time::Time;
use crate::work::{Demand, Work};
use std::net::SocketAddr;
use std::time::Duration;

impl Agent {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_offer(
        &mut self,
        now: Time,
        from: SocketAddr,
        offer: OfferId,
        demand: Demand,
        max_wait: Duration,
        differs: bool,
        out: &mut Vec<AgentAction>,
    ) {
        if self.repeat_answer(now, from, offer, out) {
            return;
        }
        if let Some((code, retry)) = self.reason_to_refuse(&demand, differs) {
            self.refuse(now, from, offer, code, retry, out);
            return;
        }
        match self.admission.offer(now, offer, &demand, now + max_wait) {
            Verdict::Admit => self.reserve(now, from, offer, demand, out),
            Verdict::Queue(wait) => {
                self.offers.insert(offer, Offered::Waiting(from, demand));
                out.push(AgentAction::Send(from, queued(offer, wait)));
            }
            Verdict::Refuse(retry) => self.refuse(now, from, offer, Code::Overloaded, retry, out),
            Verdict::TooLong => {
                self.refuse(now, from, offer, Code::PromptTooLong, Duration::ZERO, out);
            }
        }
    }

    /// Answers a copy of an offer as the first was answered.
    pub(crate) fn repeat_answer(
        &mut self,
        now: Time,
        from: SocketAddr,
        offer: OfferId,
        out: &mut Vec<AgentAction>,
    ) -> bool {
        let answer = match self.offers.get(&offer) {
            None => return false,
            Some(Offered::Waiting(_, demand)) => {
                queued(offer, self.admission.expected_wait(demand.priority))
            }
            Some(Offered::Refused(code, _)) => refused(offer, *code, Duration::ZERO),
            Some(Offered::Reserved(serial)) => self.accepted(now, offer, *serial),
        };
        out.push(AgentAction::Send(from, answer));
        true
    }

    pub(crate) fn accepted(&self, now: Time, offer: OfferId, serial: u64) -> Message {
        let stage = self.generations.get(serial).map(|g| g.stage);
        let hold = match stage {
            Some(Stage::Reserved(until)) => until.since(now),
            Some(Stage::Running | Stage::Finished(_)) => Duration::ZERO,
            Some(Stage::Lapsed(_)) | None => {
                return refused(offer, Code::ReservationExpired, Duration::ZERO);
            }
        };
        Message::Accept {
            request: offer.request,
            attempt: offer.attempt,
            generation: self.id_of(serial),
            hold,
        }
    }

    pub(crate) fn reason_to_refuse(
        &self,
        demand: &Demand,
        differs: bool,
    ) -> Option<(Code, Duration)> {
        if self.leaving {
            return Some((Code::Leaving, LEAVING_RETRY));
        }
        if !self.upstream_up || !self.serves.contains(&demand.target) {
            return Some((Code::NoUpstream, DOWN_RETRY));
        }
        if self.quarantine.is_refused(demand.content) {
            return Some((Code::Quarantined, Duration::ZERO));
        }
        if differs {
            return Some((Code::ConfigOutdated, LEAVING_RETRY));
        }
        if self.offers.len() >= self.limits.max_offers {
            return Some((Code::Overloaded, DOWN_RETRY));
        }
        let suspect = demand.crashes.max(self.quarantine.crashes(demand.content)) > 0;
        if suspect && self.runs_another_suspect(demand.content) {
            return Some((Code::Overloaded, DOWN_RETRY));
        }
        None
    }

    pub(crate) fn runs_another_suspect(&self, content: Digest) -> bool {
        let is_suspect = |g: &Generation| {
            let crashes = self.quarantine.crashes(g.demand.content);
            g.demand.content != content && g.demand.crashes.max(crashes) > 0
        };
        let active = |g: &Generation| matches!(g.stage, Stage::Running | Stage::Reserved(_));
        self.generations
            .values()
            .any(|g| active(g) && is_suspect(g))
    }

    pub(crate) fn refuse(
        &mut self,
        now: Time,
        to: SocketAddr,
        offer: OfferId,
        code: Code,
        retry: Duration,
        out: &mut Vec<AgentAction>,
    ) {
        self.remember_refusal(now, offer, code);
        out.push(AgentAction::Send(to, refused(offer, code, retry)));
        out.push(note("offer_refused", offer.request, Some(code)));
    }

    pub(crate) fn reserve(
        &mut self,
        now: Time,
        to: SocketAddr,
        offer: OfferId,
        demand: Demand,
        out: &mut Vec<AgentAction>,
    ) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let generation = Generation {
            id: self.id_of(serial),
            offer,
            demand,
            stage: Stage::Reserved(now + self.limits.hold),
            log: TokenLog::default(),
            finish: None,
            readers: Vec::new(),
            taken: false,
            unread_since: None,
            resumed: 0,
            heard: now,
        };
        self.generations.insert(generation);
        self.offers.insert(offer, Offered::Reserved(serial));
        out.push(AgentAction::Send(to, self.accepted(now, offer, serial)));
    }

    pub(crate) fn on_withdraw(&mut self, now: Time, offer: OfferId, out: &mut Vec<AgentAction>) {
        let known = self.offers.get(&offer).cloned();
        match known {
            Some(Offered::Reserved(serial)) => self.lapse(now, serial, out),
            Some(Offered::Refused(..)) => return,
            Some(Offered::Waiting(..)) | None => self.admission.release(offer),
        }
        // A copy of the offer may still be under way; it must not be taken.
        self.remember_refusal(now, offer, Code::Withdrawn);
    }

    /// Keeps a refusal for copies of the offer, within the bound. Beyond it,
    /// a copy may be reserved afresh; unless started, that lapses.
    pub(crate) fn remember_refusal(&mut self, now: Time, offer: OfferId, code: Code) {
        let room = self.offers.len() < self.limits.max_offers;
        if room || self.offers.contains_key(&offer) {
            self.offers.insert(offer, Offered::Refused(code, now));
        }
    }

    pub(crate) fn lapse(&mut self, now: Time, serial: u64, out: &mut Vec<AgentAction>) {
        let Some(g) = self.generations.get_mut(serial) else {
            return;
        };
        if !matches!(g.stage, Stage::Reserved(_)) {
            return;
        }
        g.stage = Stage::Lapsed(now);
        let offer = g.offer;
        self.admission.release(offer);
        out.push(note("reservation_lapsed", offer.request, None));
    }

    pub(crate) fn on_start(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: RequestId,
        id: GenerationId,
        work: Work,
        out: &mut Vec<AgentAction>,
    ) {
        self.lapse_if_due(now, id, out);
        let standing = self.forgotten(id, request, None);
        let Some(g) = self.find(id).filter(|g| g.offer.request == request) else {
            out.push(stand(from, request, id, standing));
            return;
        };
        match g.stage {
            Stage::Lapsed(_) => out.push(stand(from, request, id, Standing::NeverStarted)),
            Stage::Running | Stage::Finished(_) => {
                // A copy: the first one started it already.
                out.extend(sends(g.messages(request, true)));
            }
            Stage::Reserved(_) => {
                g.stage = Stage::Running;
                g.heard = now;
                let demand = g.demand.clone();
                if g.attach(now, request, from, 0).is_ok() {
                    out.extend(sends(g.messages(request, true)));
                }
                out.push(AgentAction::Run {
                    generation: id,
                    request,
                    demand,
                    work,
                });
                out.push(note("generation_started", request, None));
            }
        }
    }

    /// Lets a reservation lapse by the clock, also when no tick came in time.
    pub(crate) fn lapse_if_due(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        let stage = self.find(id).map(|g| g.stage);
        if matches!(stage, Some(Stage::Reserved(until)) if until <= now) {
            self.lapse(now, id.serial, out);
        }
    }

    pub(crate) fn admit_waiting(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        if self.leaving || !self.upstream_up {
            return;
        }
        while let Some(offer) = self.admission.next(now) {
            match self.offers.remove(&offer) {
                Some(Offered::Waiting(to, demand)) => self.reserve(now, to, offer, demand, out),
                _ => self.admission.release(offer),
            }
        }
    }
}
