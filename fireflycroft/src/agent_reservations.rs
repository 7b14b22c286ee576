//! Handling of offers, reservations and starts at the agent.
//!
//! An offer becomes a reservation immediately or after waiting in the queue, or
//! is refused. Refusals are remembered, so that a duplicate offer gets the same
//! answer. Only a start that names an unexpired reservation runs the work.

use crate::agent::{
    Agent, AgentAction, LONG_RETRY_AFTER, OfferState, SHORT_RETRY_AFTER, note, queued_message,
    refusal_message, send_actions, status_message,
};
use crate::code::Code;
use crate::crash_report::Suspect;
use crate::generation::{Generation, Stage};
use crate::ids::{Digest, GenerationId, RequestId};
use crate::message::{Message, Standing};
use crate::offer::{AdmitDecision, OfferId};
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
        config_differs: bool,
        out: &mut Vec<AgentAction>,
    ) {
        if self.answer_duplicate(now, from, offer, out) {
            return;
        }
        if let Some((code, retry)) = self.refusal_reason(now, &demand, config_differs) {
            self.refuse(now, from, offer, code, retry, out);
            return;
        }
        match self.admission.offer(now, offer, &demand, now + max_wait) {
            AdmitDecision::Admit => self.reserve(now, from, offer, demand, out),
            AdmitDecision::Queue(wait) => {
                self.offers.insert(offer, OfferState::Waiting(from, demand));
                out.push(AgentAction::Send(from, queued_message(offer, wait)));
            }
            AdmitDecision::Refuse(retry) => {
                self.refuse(now, from, offer, Code::Overloaded, retry, out);
            }
            AdmitDecision::TooLong => {
                self.refuse(now, from, offer, Code::PromptTooLong, Duration::ZERO, out);
            }
        }
    }

    /// Answers a duplicate of an offer like the first; returns false for a new
    /// offer.
    pub(crate) fn answer_duplicate(
        &mut self,
        now: Time,
        from: SocketAddr,
        offer: OfferId,
        out: &mut Vec<AgentAction>,
    ) -> bool {
        let answer = match self.offers.get(&offer) {
            None => return false,
            Some(OfferState::Waiting(_, demand)) => {
                queued_message(offer, self.admission.expected_wait(demand.priority))
            }
            Some(OfferState::Refused(code, _)) => refusal_message(offer, *code, Duration::ZERO),
            Some(OfferState::Reserved(serial)) => self.reservation_reply(now, offer, *serial),
        };
        out.push(AgentAction::Send(from, answer));
        true
    }

    pub(crate) fn reservation_reply(&self, now: Time, offer: OfferId, serial: u64) -> Message {
        let stage = self.generations.get(serial).map(|g| g.stage);
        let hold = match stage {
            Some(Stage::Reserved(until)) => until.since(now),
            Some(Stage::Running | Stage::Finished(_)) => Duration::ZERO,
            Some(Stage::Expired(_)) | None => {
                return refusal_message(offer, Code::ReservationExpired, Duration::ZERO);
            }
        };
        Message::Accept {
            request: offer.request,
            attempt: offer.attempt,
            generation: self.id_of(serial),
            hold,
        }
    }

    pub(crate) fn refusal_reason(
        &self,
        now: Time,
        demand: &Demand,
        config_differs: bool,
    ) -> Option<(Code, Duration)> {
        if self.leaving {
            return Some((Code::Leaving, SHORT_RETRY_AFTER));
        }
        if !self.upstream_up || !self.serves.contains(&demand.target) {
            return Some((Code::NoUpstream, LONG_RETRY_AFTER));
        }
        if let Some(refusal) = self.crash_refusal(now, demand) {
            return Some(refusal);
        }
        if config_differs {
            return Some((Code::ConfigOutdated, SHORT_RETRY_AFTER));
        }
        if self.offers.len() >= self.limits.max_offers {
            return Some((Code::Overloaded, LONG_RETRY_AFTER));
        }
        if self.is_suspect(demand) && self.runs_another_suspect(demand.content) {
            return Some((Code::Overloaded, LONG_RETRY_AFTER));
        }
        None
    }

    pub(crate) fn runs_another_suspect(&self, content: Digest) -> bool {
        let active = |g: &Generation| matches!(g.stage, Stage::Running | Stage::Reserved(_));
        self.generations
            .values()
            .any(|g| active(g) && g.demand.content != content && self.is_suspect(&g.demand))
    }

    /// Returns whether an upstream ended under the same content since it was last seen sound.
    fn is_suspect(&self, demand: &Demand) -> bool {
        let content = Suspect::of_content(demand.content);
        demand.crashes > 0 || self.crash_evidence.crashes_under(content) > 0
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
        out.push(AgentAction::Send(to, refusal_message(offer, code, retry)));
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
            stage: Stage::Reserved(now + self.limits.reservation_hold),
            log: TokenLog::default(),
            finish: None,
            readers: Vec::new(),
            end_delivered: false,
            unread_since: None,
            resume_count: 0,
            broken_at: Time::default(),
            software_version: None,
            last_output: now,
        };
        self.generations.insert(generation);
        self.offers.insert(offer, OfferState::Reserved(serial));
        out.push(AgentAction::Send(
            to,
            self.reservation_reply(now, offer, serial),
        ));
    }

    pub(crate) fn on_withdraw(&mut self, now: Time, offer: OfferId, out: &mut Vec<AgentAction>) {
        let known = self.offers.get(&offer).cloned();
        match known {
            Some(OfferState::Reserved(serial)) => self.expire_reservation(now, serial, out),
            Some(OfferState::Refused(..)) => return,
            Some(OfferState::Waiting(..)) | None => self.admission.release(offer),
        }
        // A duplicate of the offer may still arrive and must not be reserved.
        self.remember_refusal(now, offer, Code::Withdrawn);
    }

    /// Remembers a refusal for duplicates of the offer, up to `max_offers`. Above
    /// that, a duplicate may get a new reservation, which expires unless started.
    pub(crate) fn remember_refusal(&mut self, now: Time, offer: OfferId, code: Code) {
        let has_capacity = self.offers.len() < self.limits.max_offers;
        if has_capacity || self.offers.contains_key(&offer) {
            self.offers.insert(offer, OfferState::Refused(code, now));
        }
    }

    pub(crate) fn expire_reservation(
        &mut self,
        now: Time,
        serial: u64,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(g) = self.generations.get_mut(serial) else {
            return;
        };
        if !matches!(g.stage, Stage::Reserved(_)) {
            return;
        }
        g.stage = Stage::Expired(now);
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
        self.expire_if_due(now, id, out);
        let standing = self.dropped_standing(id, request, None);
        let Some(g) = self.find(id).filter(|g| g.offer.request == request) else {
            out.push(status_message(from, request, id, standing));
            return;
        };
        match g.stage {
            Stage::Expired(_) => {
                out.push(status_message(from, request, id, Standing::NeverStarted));
            }
            Stage::Running | Stage::Finished(_) => {
                // A duplicate: the first start already ran it.
                out.extend(send_actions(g.messages(request, true)));
            }
            Stage::Reserved(_) => {
                g.stage = Stage::Running;
                g.last_output = now;
                let demand = g.demand.clone();
                if g.attach(now, request, from, 0).is_ok() {
                    out.extend(send_actions(g.messages(request, true)));
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

    /// Expires a reservation whose time has passed, without waiting for a tick.
    pub(crate) fn expire_if_due(
        &mut self,
        now: Time,
        id: GenerationId,
        out: &mut Vec<AgentAction>,
    ) {
        let stage = self.find(id).map(|g| g.stage);
        if matches!(stage, Some(Stage::Reserved(until)) if until <= now) {
            self.expire_reservation(now, id.serial, out);
        }
    }

    pub(crate) fn admit_waiting(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        if self.leaving || !self.upstream_up {
            return;
        }
        while let Some(offer) = self.admission.admit_next(now) {
            match self.offers.remove(&offer) {
                Some(OfferState::Waiting(to, demand)) => self.reserve(now, to, offer, demand, out),
                _ => self.admission.release(offer),
            }
        }
    }
}
