//! Dispatch of a checked call: offers, claim and start on one agent.
//!
//! Until a start is sent nothing has run, so the call may be offered to any
//! other agent. After that, only the agent itself can report "not run".

use crate::claim::{ClaimAnswer, ClaimAttempt, ClaimNext, ClaimRecord};
use crate::code::Code;
use crate::entry::{AssignedAgent, Call, Entry, Origin, Phase, Reading};
use crate::entry_io::EntryAction;
use crate::ids::{CallId, GenerationId, Name, Peer, RequestId};
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::stream::{Chunk, Cursor};
use crate::time::Time;
use std::time::Duration;

/// Time past a call's longest wait before its place in an agent's queue is abandoned.
const QUEUE_SLACK: Duration = Duration::from_secs(1);

impl Entry {
    /// Registers a new call and offers it to its first agent.
    pub(crate) fn begin_offers(&mut self, now: Time, call: Call, out: &mut Vec<EntryAction>) {
        let id = call.id;
        self.by_request.insert(call.request, id);
        self.calls.insert(id, call);
        self.offer_next(now, id, out);
    }

    /// Offers the call to the next agent, or refuses it if none is left.
    pub(crate) fn offer_next(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(assigned) = call.assigned() {
            self.router.record_done(&assigned.agent.clone());
            call.phase = Phase::New;
        }
        let checked = self.config.get().map_or(Ok(()), |c| call.recheck(c));
        if let Err(code) = checked {
            self.fail(id, code, None, out);
            return;
        }
        let exhausted = call.offers >= self.limits.max_offers;
        let chosen = if exhausted {
            None
        } else {
            self.router
                .choose(now, &call.demand, &call.tried, &mut self.ids)
        };
        let Some(ix) = chosen else {
            self.refuse_call(id, out);
            return;
        };
        let peer = self.router.get(ix).peer.clone();
        self.send_offer(now, id, &peer, out);
    }

    fn send_offer(&mut self, now: Time, id: CallId, peer: &Peer, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        self.router.record_sent(&peer.name, &call.demand);
        call.attempt += 1;
        call.offers += 1;
        call.tried.push(peer.name.clone());
        call.phase = Phase::Offered {
            assigned: AssignedAgent {
                agent: peer.name.clone(),
                addr: peer.addr,
            },
            sent: now,
        };
        out.push(EntryAction::Send(peer.addr, offer_message(now, call)));
        let event = LogEvent::new("offer_sent")
            .request(call.request)
            .peer(&peer.name);
        out.push(EntryAction::LogEvent(event.count(u64::from(call.attempt))));
    }

    /// Fails a call that no agent accepted, with the reason and a retry delay.
    fn refuse_call(&mut self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let code = call.refusal.unwrap_or(Code::NoUpstream);
        let retry = match code {
            Code::PromptTooLong | Code::Quarantined => None,
            _ => Some(call.retry_after.unwrap_or_default()),
        };
        self.fail(id, code, retry, out);
    }

    pub(crate) fn on_queued(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: u32,
        wait: Duration,
    ) {
        let Some(call) = self.call_for_attempt(request, attempt) else {
            return;
        };
        let deadline = call.received + call.max_wait + QUEUE_SLACK;
        call.retry_after = Some(wait);
        match &mut call.phase {
            Phase::Offered { assigned, .. } => {
                let assigned = assigned.clone();
                call.phase = Phase::Queued {
                    assigned,
                    last_received: now,
                    deadline,
                };
            }
            Phase::Queued { last_received, .. } => *last_received = now,
            _ => {}
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_accept(
        &mut self,
        now: Time,
        from: &Peer,
        request: RequestId,
        attempt: u32,
        generation: GenerationId,
        hold: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let wait = self.limits.claim_timeout;
        let is_undecided =
            |call: &&mut Call| matches!(call.phase, Phase::Offered { .. } | Phase::Queued { .. });
        let config = self.config.get().cloned();
        let Some(call) = self.call_for_attempt(request, attempt).filter(is_undecided) else {
            self.withdraw_stray_reservation(from, request, attempt, generation, out);
            return;
        };
        let id = call.id;
        if let Err(code) = config.map_or(Ok(()), |c| call.recheck(&c)) {
            self.withdraw(id, out);
            self.fail(id, code, None, out);
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let assigned = AssignedAgent {
            agent: from.name.clone(),
            addr: from.addr,
        };
        let Some(key) = call.claim_key else {
            self.start(now, request, assigned, generation, out);
            return;
        };
        let record = ClaimRecord {
            request,
            generation,
            agent: from.name.clone(),
            addr: from.addr,
            content: call.demand.content,
        };
        let claim = ClaimAttempt::new(record, call.replace, now + wait.min(hold));
        let op = claim.first();
        call.phase = Phase::Claiming {
            assigned,
            generation,
            claim,
        };
        out.push(EntryAction::Claim(call.id, key, op));
    }

    /// Withdraws a reservation that no call waits for, unless a call is
    /// claiming it or has started from it.
    fn withdraw_stray_reservation(
        &self,
        from: &Peer,
        request: RequestId,
        attempt: u32,
        generation: GenerationId,
        out: &mut Vec<EntryAction>,
    ) {
        let call = self
            .call_by_request(request)
            .and_then(|id| self.calls.get(&id));
        let in_use = call.is_some_and(|c| match &c.phase {
            Phase::Claiming {
                generation: own, ..
            } => *own == generation,
            Phase::Reading(reading) => reading.cursor.generation == generation,
            _ => false,
        });
        if !in_use {
            out.push(EntryAction::Send(
                from.addr,
                Message::Withdraw { request, attempt },
            ));
        }
    }

    pub(crate) fn on_refuse(
        &mut self,
        now: Time,
        request: RequestId,
        attempt: u32,
        code: Code,
        retry_after: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.call_for_attempt(request, attempt) else {
            return;
        };
        if !matches!(call.phase, Phase::Offered { .. } | Phase::Queued { .. }) {
            return;
        }
        let id = call.id;
        if code == Code::ConfigOutdated {
            self.await_config(now, id, out);
            return;
        }
        if is_unavailable(code) {
            call.offers = call.offers.saturating_sub(1);
        }
        call.retry_after = Some(call.retry_after.map_or(retry_after, |r| r.min(retry_after)));
        if call.refusal != Some(Code::Overloaded) {
            call.refusal = Some(code);
        }
        if code == Code::PartRefused {
            self.fail(id, Code::Quarantined, None, out);
            return;
        }
        if code == Code::Quarantined {
            let content = call.demand.content;
            self.record_refused_content(now, content);
            self.fail(id, code, None, out);
            return;
        }
        self.offer_next(now, id, out);
    }

    pub(crate) fn on_claim(
        &mut self,
        now: Time,
        id: CallId,
        answer: ClaimAnswer,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (
            Phase::Claiming {
                assigned,
                generation,
                claim,
            },
            Some(key),
        ) = (&mut call.phase, call.claim_key)
        else {
            return;
        };
        let next = claim.on_answer(now, answer);
        let (assigned, generation, request) = (assigned.clone(), *generation, call.request);
        match next {
            ClaimNext::Request(op) => out.push(EntryAction::Claim(id, key, op)),
            ClaimNext::Acquired => self.start(now, request, assigned, generation, out),
            ClaimNext::ClaimedByOther(record, version) => {
                self.withdraw(id, out);
                self.join(now, id, &record, version, out);
            }
            ClaimNext::GiveUp => {
                self.withdraw(id, out);
                let retry = Some(self.limits.min_retry_after);
                self.fail(id, Code::ClaimUnavailable, retry, out);
            }
        }
    }

    /// Attaches the call to the generation of the request that holds the claim.
    fn join(
        &mut self,
        now: Time,
        id: CallId,
        record: &ClaimRecord,
        version: u64,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if record.content != call.demand.content {
            self.fail(id, Code::IdempotencyKeyReused, None, out);
            return;
        }
        let assigned = AssignedAgent {
            agent: record.agent.clone(),
            addr: record.addr,
        };
        let cursor = Cursor {
            generation: record.generation,
            next: 0,
        };
        let event = LogEvent::new("claim_joined")
            .request(call.request)
            .peer(&record.agent);
        out.push(EntryAction::LogEvent(event));
        self.begin_reading(
            now,
            id,
            assigned,
            Origin::Joined(version),
            record.request,
            cursor,
        );
        self.send_attach(now, id, out);
    }

    fn start(
        &mut self,
        now: Time,
        request: RequestId,
        assigned: AssignedAgent,
        generation: GenerationId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(id) = self.call_by_request(request) else {
            return;
        };
        let cursor = Cursor {
            generation,
            next: 0,
        };
        self.begin_reading(now, id, assigned, Origin::Own, request, cursor);
        if let Some(call) = self.calls.get_mut(&id) {
            call.starts += 1;
        }
        self.send_start(id, out);
    }

    pub(crate) fn send_start(&self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Phase::Reading(reading) = &call.phase {
            let message = Message::Start {
                request: call.request,
                generation: reading.cursor.generation,
                work: call.work.clone(),
            };
            out.push(EntryAction::Send(reading.assigned.addr, message));
        }
    }

    pub(crate) fn begin_reading(
        &mut self,
        now: Time,
        id: CallId,
        assigned: AssignedAgent,
        origin: Origin,
        request: RequestId,
        cursor: Cursor,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let same_agent = call
            .assigned()
            .is_some_and(|old| old.agent == assigned.agent);
        if !same_agent {
            if let Some(old) = call.assigned() {
                self.router.record_done(&old.agent.clone());
            }
            self.router.record_sent(&assigned.agent, &call.demand);
        }
        self.buffered_bytes -= call.buffered.data.len();
        call.buffered = Chunk {
            offset: cursor.next,
            ..Chunk::default()
        };
        call.phase = Phase::Reading(Reading {
            assigned,
            origin,
            request,
            cursor,
            last_received: now,
            frame_received: false,
            polled: now,
            acked_at: now,
            acked: cursor.next,
        });
    }

    /// Withdraws the call's offer or reservation from its agent.
    pub(crate) fn withdraw(&self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (Phase::Offered { assigned, .. }
        | Phase::Queued { assigned, .. }
        | Phase::Claiming { assigned, .. }) = &call.phase
        else {
            return;
        };
        let message = Message::Withdraw {
            request: call.request,
            attempt: call.attempt,
        };
        out.push(EntryAction::Send(assigned.addr, message));
    }

    pub(crate) fn tick_call(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let limits = self.limits;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match &mut call.phase {
            Phase::New => {}
            Phase::AwaitingConfig { .. } => self.tick_awaiting_config(now, id, out),
            Phase::Offered { assigned, sent } => {
                if now.since(*sent) >= limits.offer_timeout {
                    let agent = assigned.agent.clone();
                    self.abandon_silent_agent(now, id, &agent, out);
                }
            }
            Phase::Queued {
                assigned,
                last_received,
                deadline,
            } => {
                let agent = assigned.agent.clone();
                let addr = assigned.addr;
                if now >= *deadline || now.since(*last_received) >= limits.silence_timeout {
                    self.abandon_silent_agent(now, id, &agent, out);
                } else if self.router.has_free_alternative(now, &call.demand, &agent) {
                    self.reoffer_queued(now, id, agent, out);
                } else if now.since(*last_received) >= limits.poll_after {
                    let offer = offer_message(now, call);
                    out.push(EntryAction::Send(addr, offer));
                }
            }
            Phase::Claiming { claim, .. } => {
                if claim.is_expired(now) {
                    self.withdraw(id, out);
                    let retry = Some(limits.min_retry_after);
                    self.fail(id, Code::ClaimUnavailable, retry, out);
                }
            }
            Phase::Reading(_) => self.tick_reading(now, id, out),
        }
    }

    /// Moves a request from one agent's queue to an agent with free capacity.
    fn reoffer_queued(&mut self, now: Time, id: CallId, agent: Name, out: &mut Vec<EntryAction>) {
        self.withdraw(id, out);
        out.push(EntryAction::LogEvent(
            LogEvent::new("offer_moved").peer(&agent),
        ));
        if let Some(call) = self.calls.get_mut(&id) {
            call.offers = 0;
            call.tried = vec![agent];
        }
        self.offer_next(now, id, out);
    }

    /// Abandons an agent that is silent before the start and tries another.
    fn abandon_silent_agent(
        &mut self,
        now: Time,
        id: CallId,
        agent: &Name,
        out: &mut Vec<EntryAction>,
    ) {
        self.withdraw(id, out);
        self.router.avoid(now, agent, self.limits.avoid_for);
        out.push(EntryAction::LogEvent(
            LogEvent::new("agent_silent").peer(agent),
        ));
        self.offer_next(now, id, out);
    }

    fn call_for_attempt(&mut self, request: RequestId, attempt: u32) -> Option<&mut Call> {
        let id = self.call_by_request(request)?;
        self.calls.get_mut(&id).filter(|c| c.attempt == attempt)
    }
}

/// Returns whether the agent currently accepts no work at all. Such an offer
/// doesn't count towards the limit: it was cheap, and the agent is not tried
/// again for this call.
const fn is_unavailable(code: Code) -> bool {
    matches!(code, Code::Leaving | Code::NoUpstream)
}

fn offer_message(now: Time, call: &Call) -> Message {
    let waited = now.since(call.received);
    Message::Offer {
        request: call.request,
        attempt: call.attempt,
        demand: call.demand.clone(),
        max_wait: call.max_wait.saturating_sub(waited),
    }
}
