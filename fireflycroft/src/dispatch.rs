//! The way of a call from its checks to a start on one agent.
//!
//! Until a start is sent nothing has run, so every other agent may still be
//! asked. After it, "not run" is said only when the agent itself says so.

use crate::claim::{ClaimAnswer, ClaimNext, ClaimRecord, ClaimRun};
use crate::code::Code;
use crate::entry::{Asked, Call, Entry, Origin, Phase, Reading};
use crate::entry_io::EntryAction;
use crate::ids::{CallId, GenerationId, Name, Peer, RequestId};
use crate::message::Message;
use crate::note::Note;
use crate::stream::{Chunk, Cursor};
use crate::time::Time;
use std::time::Duration;

/// Time beyond the longest wait before a silent queue is given up.
const QUEUE_SLACK: Duration = Duration::from_secs(1);

impl Entry {
    /// Offers a new call to its first agent.
    pub(crate) fn begin_offers(&mut self, now: Time, call: Call, out: &mut Vec<EntryAction>) {
        let id = call.id;
        self.by_request.insert(call.request, id);
        self.calls.insert(id, call);
        self.offer_next(now, id, out);
    }

    /// Offers the call to the next agent, or refuses it at once.
    pub(crate) fn offer_next(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(asked) = call.asked() {
            self.router.note_done(&asked.agent.clone());
            call.phase = Phase::New;
        }
        let checked = self.config.get().map_or(Ok(()), |c| call.check_again(c));
        if let Err(code) = checked {
            self.fail(id, code, None, out);
            return;
        }
        let spent = call.offers >= self.limits.max_offers;
        let chosen = if spent {
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
        self.router.note_sent(&peer.name, &call.demand);
        call.attempt += 1;
        call.offers += 1;
        call.tried.push(peer.name.clone());
        call.phase = Phase::Offered {
            asked: Asked {
                agent: peer.name.clone(),
                addr: peer.addr,
            },
            sent: now,
        };
        out.push(EntryAction::Send(peer.addr, offer_of(now, call)));
        let note = Note::new("offer_sent")
            .request(call.request)
            .peer(&peer.name);
        out.push(EntryAction::Note(note.count(u64::from(call.attempt))));
    }

    /// No agent is left to ask: says why and when to come back.
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
        let Some(call) = self.current(request, attempt) else {
            return;
        };
        let until = call.received + call.max_wait + QUEUE_SLACK;
        call.retry_after = Some(wait);
        match &mut call.phase {
            Phase::Offered { asked, .. } => {
                let asked = asked.clone();
                call.phase = Phase::Queued {
                    asked,
                    heard: now,
                    until,
                };
            }
            Phase::Queued { heard, .. } => *heard = now,
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
        let wait = self.limits.claim_wait;
        let waiting =
            |call: &&mut Call| matches!(call.phase, Phase::Offered { .. } | Phase::Queued { .. });
        let config = self.config.get().cloned();
        let Some(call) = self.current(request, attempt).filter(waiting) else {
            self.give_back_stray(from, request, attempt, generation, out);
            return;
        };
        let id = call.id;
        if let Err(code) = config.map_or(Ok(()), |c| call.check_again(&c)) {
            self.withdraw(id, out);
            self.fail(id, code, None, out);
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let asked = Asked {
            agent: from.name.clone(),
            addr: from.addr,
        };
        let Some(key) = call.claim_key else {
            self.start(now, request, asked, generation, out);
            return;
        };
        let record = ClaimRecord {
            request,
            generation,
            agent: from.name.clone(),
            addr: from.addr,
            content: call.demand.content,
        };
        let run = ClaimRun::new(record, call.replace, now + wait.min(hold));
        let op = run.first();
        call.phase = Phase::Claiming {
            asked,
            generation,
            run,
        };
        out.push(EntryAction::Claim(call.id, key, op));
    }

    /// A reservation that no call waits for is given back, unless it is the
    /// one that a call has just started from or is claiming.
    fn give_back_stray(
        &self,
        from: &Peer,
        request: RequestId,
        attempt: u32,
        generation: GenerationId,
        out: &mut Vec<EntryAction>,
    ) {
        let call = self.call_of(request).and_then(|id| self.calls.get(&id));
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
        let Some(call) = self.current(request, attempt) else {
            return;
        };
        if !matches!(call.phase, Phase::Offered { .. } | Phase::Queued { .. }) {
            return;
        }
        let id = call.id;
        if code == Code::ConfigOutdated {
            self.hold_for_config(now, id, out);
            return;
        }
        if takes_no_work(code) {
            call.offers = call.offers.saturating_sub(1);
        }
        call.retry_after = Some(call.retry_after.map_or(retry_after, |r| r.min(retry_after)));
        if call.refusal != Some(Code::Overloaded) {
            call.refusal = Some(code);
        }
        if code == Code::Quarantined {
            let content = call.demand.content;
            self.quarantine
                .learn(now, content, crate::quarantine::CRASH_LIMIT);
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
                asked,
                generation,
                run,
            },
            Some(key),
        ) = (&mut call.phase, call.claim_key)
        else {
            return;
        };
        let next = run.on_answer(now, answer);
        let (asked, generation, request) = (asked.clone(), *generation, call.request);
        match next {
            ClaimNext::Ask(op) => out.push(EntryAction::Claim(id, key, op)),
            ClaimNext::Won => self.start(now, request, asked, generation, out),
            ClaimNext::Other(record, version) => {
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

    /// Reads the answer of the request that claimed the key first.
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
        let asked = Asked {
            agent: record.agent.clone(),
            addr: record.addr,
        };
        let cursor = Cursor {
            generation: record.generation,
            next: 0,
        };
        let note = Note::new("claim_joined")
            .request(call.request)
            .peer(&record.agent);
        out.push(EntryAction::Note(note));
        self.read(
            now,
            id,
            asked,
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
        asked: Asked,
        generation: GenerationId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(id) = self.call_of(request) else {
            return;
        };
        let cursor = Cursor {
            generation,
            next: 0,
        };
        self.read(now, id, asked, Origin::Own, request, cursor);
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
            out.push(EntryAction::Send(reading.asked.addr, message));
        }
    }

    pub(crate) fn read(
        &mut self,
        now: Time,
        id: CallId,
        asked: Asked,
        origin: Origin,
        request: RequestId,
        cursor: Cursor,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let same = call.asked().is_some_and(|old| old.agent == asked.agent);
        if !same {
            if let Some(old) = call.asked() {
                self.router.note_done(&old.agent.clone());
            }
            self.router.note_sent(&asked.agent, &call.demand);
        }
        self.held -= call.held_back.data.len();
        call.held_back = Chunk {
            offset: cursor.next,
            ..Chunk::default()
        };
        call.phase = Phase::Reading(Reading {
            asked,
            origin,
            request,
            cursor,
            heard: now,
            begun: false,
            polled: now,
            acked_at: now,
            acked: cursor.next,
        });
    }

    /// Tells the agent that the offer or reservation is not wanted.
    pub(crate) fn withdraw(&self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (Phase::Offered { asked, .. }
        | Phase::Queued { asked, .. }
        | Phase::Claiming { asked, .. }) = &call.phase
        else {
            return;
        };
        let message = Message::Withdraw {
            request: call.request,
            attempt: call.attempt,
        };
        out.push(EntryAction::Send(asked.addr, message));
    }

    pub(crate) fn tick_call(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let limits = self.limits;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match &mut call.phase {
            Phase::New => {}
            Phase::Behind { .. } => self.tick_behind(now, id, out),
            Phase::Offered { asked, sent } => {
                if now.since(*sent) >= limits.offer_wait {
                    let agent = asked.agent.clone();
                    self.give_up_agent(now, id, &agent, out);
                }
            }
            Phase::Queued {
                asked,
                heard,
                until,
            } => {
                let agent = asked.agent.clone();
                let addr = asked.addr;
                if now >= *until || now.since(*heard) >= limits.silence {
                    self.give_up_agent(now, id, &agent, out);
                } else if self.router.has_freer(now, &call.demand, &agent) {
                    self.move_queued(now, id, agent, out);
                } else if now.since(*heard) >= limits.poll_after {
                    let offer = offer_of(now, call);
                    out.push(EntryAction::Send(addr, offer));
                }
            }
            Phase::Claiming { run, .. } => {
                if run.is_late(now) {
                    self.withdraw(id, out);
                    let retry = Some(limits.min_retry_after);
                    self.fail(id, Code::ClaimUnavailable, retry, out);
                }
            }
            Phase::Reading(_) => self.tick_reading(now, id, out),
        }
    }

    /// Takes a request from one agent's queue to an agent that has room.
    fn move_queued(&mut self, now: Time, id: CallId, agent: Name, out: &mut Vec<EntryAction>) {
        self.withdraw(id, out);
        out.push(EntryAction::Note(Note::new("offer_moved").peer(&agent)));
        if let Some(call) = self.calls.get_mut(&id) {
            call.offers = 0;
            call.tried = vec![agent];
        }
        self.offer_next(now, id, out);
    }

    /// Leaves a silent agent, before any start, for another.
    fn give_up_agent(&mut self, now: Time, id: CallId, agent: &Name, out: &mut Vec<EntryAction>) {
        self.withdraw(id, out);
        self.router.avoid(now, agent, self.limits.avoid);
        out.push(EntryAction::Note(Note::new("agent_silent").peer(agent)));
        self.offer_next(now, id, out);
    }

    fn current(&mut self, request: RequestId, attempt: u32) -> Option<&mut Call> {
        let id = self.call_of(request)?;
        self.calls.get_mut(&id).filter(|c| c.attempt == attempt)
    }
}

/// Whether the agent has no work at all now: asking it was cheap, and it is
/// not asked again, so the offer does not count.
const fn takes_no_work(code: Code) -> bool {
    matches!(code, Code::Leaving | Code::NoUpstream)
}

fn offer_of(now: Time, call: &Call) -> Message {
    let waited = now.since(call.received);
    Message::Offer {
        request: call.request,
        attempt: call.attempt,
        demand: call.demand.clone(),
        max_wait: call.max_wait.saturating_sub(waited),
    }
}
