//! Reading a generation and handing it to the caller, once and in order.

use crate::code::{Class, Code};
use crate::entry::{Call, Entry, Origin, Phase, Reading};
use crate::entry_io::{Delivery, EntryAction, EntryLimits, Reply, ResumePoint};
use crate::generation::WINDOW;
use crate::ids::{CallId, GenerationId, Incarnation, Name, Peer, RequestId};
use crate::message::{Finish, Message, Standing};
use crate::note::Note;
use crate::quarantine::CRASH_LIMIT;
use crate::stream::{Chunk, Cursor, Taken};
use crate::time::Time;
use std::time::Duration;

/// Tokens of a whole answer between two acknowledgements.
const ACK_STEP: u64 = 256;

impl Entry {
    /// Goes on with a generation where the caller left it.
    pub(crate) fn begin_resume(
        &mut self,
        now: Time,
        call: Call,
        point: ResumePoint,
        out: &mut Vec<EntryAction>,
    ) {
        let id = call.id;
        self.by_request.insert(call.request, id);
        self.calls.insert(id, call);
        let Some(addr) = self.router.addr_of(&point.agent) else {
            // This entry may yet hear of the agent.
            let retry = Some(self.limits.min_retry_after);
            self.fail(id, Code::StreamUnknown, retry, out);
            return;
        };
        let asked = crate::entry::Asked {
            agent: point.agent,
            addr,
        };
        let cursor = Cursor {
            generation: point.generation,
            next: point.next,
        };
        self.read(now, id, asked, Origin::Resumed, point.request, cursor);
        self.send_attach(now, id, out);
    }

    pub(crate) fn send_attach(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Phase::Reading(reading) = &mut call.phase else {
            return;
        };
        reading.polled = now;
        let message = Message::Attach {
            reader: call.request,
            request: reading.request,
            generation: reading.cursor.generation,
            workspace: call.demand.workspace.clone(),
            from: reading.cursor.next,
        };
        out.push(EntryAction::Send(reading.asked.addr, message));
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_tokens(
        &mut self,
        now: Time,
        from: &Peer,
        reader: RequestId,
        generation: GenerationId,
        chunk: Chunk,
        finish: Option<Finish>,
        out: &mut Vec<EntryAction>,
    ) {
        let call = self.call_of(reader).and_then(|id| self.calls.get_mut(&id));
        let Some(call) = call else {
            out.push(EntryAction::Send(
                from.addr,
                Message::Detach { reader, generation },
            ));
            return;
        };
        let id = call.id;
        let Phase::Reading(reading) = &mut call.phase else {
            return;
        };
        let taken = reading.cursor.take(generation, chunk);
        reading.begun |= taken != Taken::Foreign;
        match taken {
            Taken::Foreign => {
                // The fenced generation of an earlier start: nobody wants it.
                out.push(EntryAction::Send(
                    from.addr,
                    Message::Detach { reader, generation },
                ));
                return;
            }
            Taken::Unsound => return,
            Taken::Gap(_) => {
                reading.heard = now;
                self.send_attach(now, id, out);
                return;
            }
            Taken::Old => reading.heard = now,
            Taken::Next(chunk) => {
                reading.heard = now;
                self.hand_on(now, id, chunk, out);
            }
        }
        if let Some(finish) = finish {
            self.on_finish(now, id, finish, out);
        }
    }

    fn hand_on(&mut self, now: Time, id: CallId, chunk: Chunk, out: &mut Vec<EntryAction>) {
        let most = self.limits.max_answer;
        let most_in_all = self.limits.max_held;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.pace
            .record(now, call.received, chunk.count(), call.goal);
        match call.delivery {
            Delivery::Stream => {
                if !call.told_begin {
                    call.told_begin = true;
                    let point = point_of(call, chunk.offset);
                    out.extend(point.map(|p| EntryAction::Reply(id, Reply::Begin(p))));
                }
                out.push(EntryAction::Reply(id, Reply::Tokens(chunk)));
            }
            Delivery::Whole => {
                for token in chunk.tokens() {
                    call.held_back.push(token);
                }
                self.held += chunk.data.len();
                ack_held_back(now, call, out);
                if call.held_back.data.len() > most || self.held > most_in_all {
                    self.cancel(id, out);
                    self.fail(id, Code::AnswerTooLarge, None, out);
                }
            }
        }
    }

    fn on_finish(&mut self, now: Time, id: CallId, finish: Finish, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Phase::Reading(reading) = &call.phase else {
            return;
        };
        if reading.cursor.next != finish.total {
            return;
        }
        let content = call.demand.content;
        if finish.crashes > 0 && self.quarantine.learn(now, content, finish.crashes) {
            let count = finish.crashes;
            out.push(EntryAction::Broadcast(Message::Crashes { content, count }));
        }
        if finish.code == Code::Ok {
            self.complete(id, finish, out);
        } else if finish.code.class() == Class::NotRun {
            self.on_not_run(now, id, finish.code, out);
        } else if finish.code == Code::UpstreamFailed {
            self.on_lost(now, id, Code::UpstreamFailed, out);
        } else {
            self.send_last_ack(id, out);
            self.fail(id, finish.code, None, out);
        }
    }

    fn complete(&mut self, id: CallId, finish: Finish, out: &mut Vec<EntryAction>) {
        self.send_last_ack(id, out);
        let Some(mut call) = self.remove(id) else {
            return;
        };
        // Who joined or came back reads what the first one was charged for.
        if call.is_own() {
            self.quotas.charge(&call.demand.workspace, finish.total);
        }
        out.push(call.measured(finish.code));
        if call.delivery == Delivery::Whole {
            let whole = std::mem::take(&mut call.held_back);
            if let Some(point) = point_of(&call, whole.offset) {
                out.push(EntryAction::Reply(id, Reply::Begin(point)));
            }
            out.push(EntryAction::Reply(id, Reply::Tokens(whole)));
        }
        let note = Note::new("request_done")
            .request(call.request)
            .code(Code::Ok);
        out.push(EntryAction::Note(note.count(finish.total)));
        out.push(EntryAction::Reply(id, Reply::End(finish)));
    }

    fn send_last_ack(&self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Phase::Reading(reading) = &call.phase {
            let message = Message::Detach {
                reader: call.request,
                generation: reading.cursor.generation,
            };
            out.push(EntryAction::Send(reading.asked.addr, message));
        }
    }

    /// The agent says that nothing ran: another may be asked.
    fn on_not_run(&mut self, now: Time, id: CallId, code: Code, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Phase::Reading(reading) = &call.phase else {
            return;
        };
        match reading.origin {
            Origin::Own if call.claim_key.is_some() => {
                call.starts = call.starts.saturating_sub(1);
                let retry = Some(self.limits.min_retry_after);
                self.fail(id, code, retry, out);
            }
            Origin::Own => {
                call.starts = call.starts.saturating_sub(1);
                call.refusal = Some(code);
                self.offer_next(now, id, out);
            }
            // The key's reservation is spent: its claim may be replaced.
            Origin::Joined(version) => {
                call.replace = Some(version);
                call.tried.clear();
                self.offer_next(now, id, out);
            }
            Origin::Resumed => self.fail(id, Code::StreamUnknown, None, out),
        }
    }

    /// The generation is lost: starts afresh where nobody saw any of it and
    /// the rules allow, else says so at once.
    fn on_lost(&mut self, now: Time, id: CallId, code: Code, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let crashes = self.quarantine.crashes(call.demand.content);
        let may = call.may_restart(self.limits.max_starts);
        if !may || crashes >= CRASH_LIMIT || !self.retries.spend() {
            self.fail(id, code, None, out);
            return;
        }
        self.cancel(id, out);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.demand.crashes = crashes;
        self.held -= call.held_back.data.len();
        call.held_back = Chunk::default();
        call.offers = 0;
        out.push(EntryAction::Note(
            Note::new("restarted").request(call.request),
        ));
        self.offer_next(now, id, out);
    }

    fn cancel(&self, id: CallId, out: &mut Vec<EntryAction>) {
        if let Some(Phase::Reading(reading)) = self.calls.get(&id).map(|c| &c.phase) {
            let generation = reading.cursor.generation;
            out.push(EntryAction::Send(
                reading.asked.addr,
                Message::Cancel { generation },
            ));
        }
    }

    pub(crate) fn on_stand(
        &mut self,
        now: Time,
        reader: RequestId,
        generation: GenerationId,
        standing: Standing,
        out: &mut Vec<EntryAction>,
    ) {
        let call = self.call_of(reader).and_then(|id| self.calls.get_mut(&id));
        let Some(call) = call else {
            return;
        };
        let id = call.id;
        let Phase::Reading(reading) = &mut call.phase else {
            return;
        };
        if reading.cursor.generation != generation {
            return;
        }
        reading.heard = now;
        let origin = reading.origin;
        let retry = Some(self.limits.min_retry_after);
        match (standing, origin) {
            (Standing::Reserved, _) => {}
            (Standing::NeverStarted, _) => {
                self.on_not_run(now, id, Code::ReservationExpired, out);
            }
            (Standing::Unknown, Origin::Own) => self.on_lost(now, id, Code::OutcomeUnknown, out),
            (Standing::Unknown, Origin::Joined(_)) => {
                self.fail(id, Code::ClaimUnresolved, None, out);
            }
            (Standing::Unknown, Origin::Resumed) => {
                self.fail(id, Code::StreamUnknown, None, out);
            }
            (Standing::PartGone, Origin::Joined(_)) => self.fail(id, Code::AlreadyRan, None, out),
            (Standing::PartGone, _) => self.fail(id, Code::PartGone, None, out),
            (Standing::Crowded, _) => self.fail(id, Code::ClaimUnresolved, retry, out),
        }
    }

    pub(crate) fn on_taken(
        &mut self,
        now: Time,
        id: CallId,
        next: u64,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let request = call.request;
        if let Phase::Reading(reading) = &mut call.phase {
            let next = next.min(reading.cursor.next);
            if next > reading.acked {
                reading.acked = next;
                out.push(ack_of(now, request, reading));
            }
        }
    }

    pub(crate) fn tick_reading(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let limits = self.limits;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let request = call.request;
        let delivery = call.delivery;
        let patience = call.patience(&limits);
        let Phase::Reading(reading) = &mut call.phase else {
            return;
        };
        if delivery == Delivery::Whole {
            reading.acked = reading.cursor.next;
        }
        if reading.cursor.next - reading.acked >= WINDOW {
            // The agent waits for the caller, not the other way round.
            reading.heard = now;
        }
        if now.since(reading.heard) >= patience {
            self.on_silence(now, id, out);
            return;
        }
        if now.since(reading.acked_at) >= limits.ack_every {
            out.push(ack_of(now, request, reading));
        }
        let quiet = now.since(reading.heard) >= limits.poll_after;
        if quiet && now.since(reading.polled) >= limits.poll_after {
            reading.polled = now;
            let unheard = reading.origin == Origin::Own && !reading.begun;
            if unheard {
                self.send_start(id, out);
            } else {
                self.send_attach(now, id, out);
            }
        }
    }

    fn on_silence(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(Phase::Reading(reading)) = self.calls.get(&id).map(|c| &c.phase) else {
            return;
        };
        let agent = reading.asked.agent.clone();
        let joined = matches!(reading.origin, Origin::Joined(_));
        self.router.avoid(now, &agent, self.limits.avoid);
        out.push(EntryAction::Note(Note::new("agent_silent").peer(&agent)));
        if joined {
            let retry = Some(self.limits.min_retry_after);
            self.fail(id, Code::ClaimUnresolved, retry, out);
        } else {
            self.on_lost(now, id, Code::OutcomeUnknown, out);
        }
    }

    /// The agent was replaced, and what it held in other lives than `alive`
    /// is lost; or it is believed dead, and what another can do is given up.
    ///
    /// Death is a belief: a paused agent comes back, so what nobody else can
    /// go on with waits for the long silence.
    pub(crate) fn on_agent_gone(
        &mut self,
        now: Time,
        agent: &Name,
        alive: Option<Incarnation>,
        out: &mut Vec<EntryAction>,
    ) {
        let limits = self.limits;
        // Called dead, it may only be paused; a later life says for sure.
        let lost = |call: &Call| match &call.phase {
            Phase::Reading(r) if r.asked.agent == *agent => match alive {
                Some(life) => r.cursor.generation.incarnation != life,
                None => call.patience(&limits) == limits.silence,
            },
            _ => false,
        };
        let ids: Vec<CallId> = self
            .calls
            .values()
            .filter(|c| lost(c))
            .map(|c| c.id)
            .collect();
        for id in ids {
            self.on_silence(now, id, out);
        }
    }

    pub(crate) fn on_caller_gone(&mut self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match &call.phase {
            Phase::New | Phase::Behind { .. } => {}
            Phase::Offered { .. } | Phase::Queued { .. } | Phase::Claiming { .. } => {
                self.withdraw(id, out);
            }
            Phase::Reading(_) => self.send_last_ack(id, out),
        }
        if let Some(call) = self.remove(id) {
            out.push(EntryAction::Note(
                Note::new("caller_gone").request(call.request),
            ));
        }
    }
}

impl Call {
    /// Whether the generation that is read may be started afresh elsewhere:
    /// nobody saw any of it and the rules allow.
    fn may_restart(&self, max_starts: u32) -> bool {
        let own = matches!(&self.phase, Phase::Reading(r) if r.origin == Origin::Own);
        let unseen = self.delivered() == 0;
        own && unseen && self.demand.repeatable && self.starts < max_starts
    }

    fn is_own(&self) -> bool {
        matches!(&self.phase, Phase::Reading(r) if r.origin == Origin::Own)
    }

    /// Silence of the agent after which it is given up. Where nobody else can
    /// go on, an agent that was only paused is waited for.
    fn patience(&self, limits: &EntryLimits) -> Duration {
        let joined =
            matches!(&self.phase, Phase::Reading(r) if matches!(r.origin, Origin::Joined(_)));
        if joined || self.may_restart(limits.max_starts) {
            limits.silence
        } else {
            limits.long_silence
        }
    }
}

fn ack_of(now: Time, reader: RequestId, reading: &mut Reading) -> EntryAction {
    reading.acked_at = now;
    EntryAction::Send(
        reading.asked.addr,
        Message::Ack {
            reader,
            generation: reading.cursor.generation,
            next: reading.acked,
        },
    )
}

/// Acknowledges what is held back for the caller, in large steps.
fn ack_held_back(now: Time, call: &mut Call, out: &mut Vec<EntryAction>) {
    let request = call.request;
    if let Phase::Reading(reading) = &mut call.phase
        && reading.cursor.next - reading.acked >= ACK_STEP
    {
        reading.acked = reading.cursor.next;
        out.push(ack_of(now, request, reading));
    }
}

fn point_of(call: &Call, next: u64) -> Option<ResumePoint> {
    let Phase::Reading(reading) = &call.phase else {
        return None;
    };
    Some(ResumePoint {
        request: reading.request,
        generation: reading.cursor.generation,
        agent: reading.asked.agent.clone(),
        next,
    })
}
