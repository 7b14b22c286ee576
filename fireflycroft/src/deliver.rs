//! Reading of a generation and its in-order, exactly-once delivery to the caller.

use crate::code::{Class, Code};
use crate::entry::{Call, Entry, Origin, Phase, Reading};
use crate::entry_io::{Delivery, EntryAction, EntryLimits, Reply, ResumePoint};
use crate::generation::WINDOW_TOKENS;
use crate::ids::{CallId, GenerationId, Incarnation, Name, Peer, RequestId};
use crate::log_event::LogEvent;
use crate::message::{Finish, Message, Standing};
use crate::stream::{Chunk, ChunkOutcome, Cursor};
use crate::time::Time;
use std::time::Duration;

/// Tokens between two acknowledgements of an answer that is delivered whole.
const ACK_INTERVAL_TOKENS: u64 = 256;

impl Entry {
    /// Resumes a generation at the caller's resume point.
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
            // This entry may not have received the agent's record yet.
            let retry = Some(self.limits.min_retry_after);
            self.fail(id, Code::StreamUnknown, retry, out);
            return;
        };
        let assigned = crate::entry::AssignedAgent {
            agent: point.agent,
            addr,
        };
        let cursor = Cursor {
            generation: point.generation,
            next: point.next,
        };
        self.begin_reading(now, id, assigned, Origin::Resumed, point.request, cursor);
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
        out.push(EntryAction::Send(reading.assigned.addr, message));
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
        let call = self
            .call_by_request(reader)
            .and_then(|id| self.calls.get_mut(&id));
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
        let outcome = reading.cursor.advance(generation, chunk);
        reading.frame_received |= outcome != ChunkOutcome::OtherGeneration;
        match outcome {
            ChunkOutcome::OtherGeneration => {
                // Late tokens of a superseded generation.
                out.push(EntryAction::Send(
                    from.addr,
                    Message::Detach { reader, generation },
                ));
                return;
            }
            ChunkOutcome::Malformed => return,
            ChunkOutcome::Gap(_) => {
                reading.last_received = now;
                self.send_attach(now, id, out);
                return;
            }
            ChunkOutcome::Duplicate => reading.last_received = now,
            ChunkOutcome::Next(chunk) => {
                reading.last_received = now;
                self.deliver_chunk(now, id, chunk, out);
            }
        }
        if let Some(finish) = finish {
            self.on_finish(now, id, finish, out);
        }
    }

    fn deliver_chunk(&mut self, now: Time, id: CallId, chunk: Chunk, out: &mut Vec<EntryAction>) {
        let max_answer = self.limits.max_answer_bytes;
        let max_held = self.limits.max_buffered;
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.pace
            .record(now, call.received, chunk.count(), call.goal);
        match call.delivery {
            Delivery::Stream => {
                if !call.begin_sent {
                    call.begin_sent = true;
                    let point = resume_point_of(call, chunk.offset);
                    out.extend(point.map(|p| EntryAction::Reply(id, Reply::Begin(p))));
                }
                out.push(EntryAction::Reply(id, Reply::Tokens(chunk)));
            }
            Delivery::Whole => {
                for token in chunk.tokens() {
                    call.buffered.push(token);
                }
                self.buffered_bytes += chunk.data.len();
                ack_buffered(now, call, out);
                if call.buffered.data.len() > max_answer || self.buffered_bytes > max_held {
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
        if let Some(ended) = finish.ended {
            let suspects = call.demand.suspects();
            self.record_crash(now, ended, suspects, out);
        }
        if finish.code == Code::Ok {
            self.complete(id, finish, out);
        } else if finish.code.class() == Class::NotRun {
            self.on_not_run(now, id, finish.code, out);
        } else if finish.code == Code::UpstreamFailed {
            self.on_lost(now, id, Code::UpstreamFailed, out);
        } else {
            self.send_detach(id, out);
            self.fail(id, finish.code, None, out);
        }
    }

    fn complete(&mut self, id: CallId, finish: Finish, out: &mut Vec<EntryAction>) {
        self.send_detach(id, out);
        let Some(mut call) = self.remove(id) else {
            return;
        };
        // The first reader was charged; readers that joined or resumed are not.
        if call.reads_own_generation() {
            self.quotas.charge(&call.demand.workspace, finish.total);
        }
        out.push(call.measurement(finish.code));
        let answer = std::mem::take(&mut call.buffered);
        if !call.begin_sent {
            let next = match call.delivery {
                Delivery::Stream => finish.total,
                Delivery::Whole => answer.offset,
            };
            let point = resume_point_of(&call, next);
            out.extend(point.map(|p| EntryAction::Reply(id, Reply::Begin(p))));
        }
        if call.delivery == Delivery::Whole {
            out.push(EntryAction::Reply(id, Reply::Tokens(answer)));
        }
        let event = LogEvent::new("request_done")
            .request(call.request)
            .code(Code::Ok);
        out.push(EntryAction::LogEvent(event.count(finish.total)));
        out.push(EntryAction::Reply(id, Reply::End(finish)));
    }

    fn send_detach(&self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if let Phase::Reading(reading) = &call.phase {
            let message = Message::Detach {
                reader: call.request,
                generation: reading.cursor.generation,
            };
            out.push(EntryAction::Send(reading.assigned.addr, message));
        }
    }

    /// Handles the agent's report that nothing ran: another may be tried.
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
            // The key's reservation is used up: its claim may be replaced.
            Origin::Joined(version) => {
                call.replace = Some(version);
                call.tried.clear();
                self.offer_next(now, id, out);
            }
            Origin::Resumed => self.fail(id, Code::StreamUnknown, None, out),
        }
    }

    /// Handles a lost generation: restarts it if the caller has received nothing
    /// of it and the rules allow, otherwise fails the call.
    fn on_lost(&mut self, now: Time, id: CallId, code: Code, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let crashes = self.known_crashes(call.demand.content);
        let allowed = call.may_restart(self.limits.max_starts);
        let verdict = self.crash_evidence.verdict(now, &call.demand.suspects());
        let is_refused = verdict.is_some();
        if !allowed || is_refused || !self.retries.spend() {
            self.fail(id, code, None, out);
            return;
        }
        self.cancel(id, out);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.demand.crashes = crashes;
        self.buffered_bytes -= call.buffered.data.len();
        call.buffered = Chunk::default();
        call.offers = 0;
        out.push(EntryAction::LogEvent(
            LogEvent::new("restarted").request(call.request),
        ));
        self.offer_next(now, id, out);
    }

    fn cancel(&self, id: CallId, out: &mut Vec<EntryAction>) {
        if let Some(Phase::Reading(reading)) = self.calls.get(&id).map(|c| &c.phase) {
            let generation = reading.cursor.generation;
            out.push(EntryAction::Send(
                reading.assigned.addr,
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
        let call = self
            .call_by_request(reader)
            .and_then(|id| self.calls.get_mut(&id));
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
        reading.last_received = now;
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

    pub(crate) fn on_delivered(
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
                out.push(ack_action(now, request, reading));
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
        let silence_timeout = call.silence_timeout(&limits);
        let Phase::Reading(reading) = &mut call.phase else {
            return;
        };
        if delivery == Delivery::Whole {
            reading.acked = reading.cursor.next;
        }
        if reading.cursor.next - reading.acked >= WINDOW_TOKENS {
            // The window is full: the agent waits for the caller, so its silence
            // does not count.
            reading.last_received = now;
        }
        if now.since(reading.last_received) >= silence_timeout {
            self.on_agent_timeout(now, id, out);
            return;
        }
        if now.since(reading.acked_at) >= limits.ack_interval {
            out.push(ack_action(now, request, reading));
        }
        let quiet = now.since(reading.last_received) >= limits.poll_after;
        if quiet && now.since(reading.polled) >= limits.poll_after {
            reading.polled = now;
            let start_unconfirmed = reading.origin == Origin::Own && !reading.frame_received;
            if start_unconfirmed {
                self.send_start(id, out);
            } else {
                self.send_attach(now, id, out);
            }
        }
    }

    fn on_agent_timeout(&mut self, now: Time, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(Phase::Reading(reading)) = self.calls.get(&id).map(|c| &c.phase) else {
            return;
        };
        let agent = reading.assigned.agent.clone();
        let joined = matches!(reading.origin, Origin::Joined(_));
        self.router.avoid(now, &agent, self.limits.avoid_for);
        out.push(EntryAction::LogEvent(
            LogEvent::new("agent_silent").peer(&agent),
        ));
        if joined {
            let retry = Some(self.limits.min_retry_after);
            self.fail(id, Code::ClaimUnresolved, retry, out);
        } else {
            self.on_lost(now, id, Code::OutcomeUnknown, out);
        }
    }

    /// Handles a replaced agent, whose generations of incarnations other than
    /// `alive` are lost; or, without `alive`, an agent believed dead.
    ///
    /// An agent believed dead may only be paused and come back. Calls that can
    /// restart elsewhere are abandoned; the others wait for the long silence.
    pub(crate) fn on_agent_gone(
        &mut self,
        now: Time,
        agent: &Name,
        alive: Option<Incarnation>,
        out: &mut Vec<EntryAction>,
    ) {
        let limits = self.limits;
        // Only a later incarnation confirms that the generation is lost.
        let lost = |call: &Call| match &call.phase {
            Phase::Reading(r) if r.assigned.agent == *agent => match alive {
                Some(incarnation) => r.cursor.generation.incarnation != incarnation,
                None => call.silence_timeout(&limits) == limits.silence_timeout,
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
            self.on_agent_timeout(now, id, out);
        }
    }

    pub(crate) fn on_caller_gone(&mut self, id: CallId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match &call.phase {
            Phase::New | Phase::AwaitingConfig { .. } => {}
            Phase::Offered { .. } | Phase::Queued { .. } | Phase::Claiming { .. } => {
                self.withdraw(id, out);
            }
            Phase::Reading(_) => self.send_detach(id, out),
        }
        if let Some(call) = self.remove(id) {
            out.push(EntryAction::LogEvent(
                LogEvent::new("caller_gone").request(call.request),
            ));
        }
    }
}

impl Call {
    /// Returns whether the generation may restart elsewhere: the caller has
    /// received nothing of it and the rules allow it.
    fn may_restart(&self, max_starts: u32) -> bool {
        let own = matches!(&self.phase, Phase::Reading(r) if r.origin == Origin::Own);
        let unseen = self.delivered() == 0;
        own && unseen && self.demand.retryable && self.starts < max_starts
    }

    fn reads_own_generation(&self) -> bool {
        matches!(&self.phase, Phase::Reading(r) if r.origin == Origin::Own)
    }

    /// Returns the silence after which the agent is abandoned. It is longer where
    /// no other agent can take over, since this one may only be paused.
    fn silence_timeout(&self, limits: &EntryLimits) -> Duration {
        let joined =
            matches!(&self.phase, Phase::Reading(r) if matches!(r.origin, Origin::Joined(_)));
        if joined || self.may_restart(limits.max_starts) {
            limits.silence_timeout
        } else {
            limits.long_silence_timeout
        }
    }
}

fn ack_action(now: Time, reader: RequestId, reading: &mut Reading) -> EntryAction {
    reading.acked_at = now;
    EntryAction::Send(
        reading.assigned.addr,
        Message::Ack {
            reader,
            generation: reading.cursor.generation,
            next: reading.acked,
        },
    )
}

/// Acknowledges tokens held back for the caller, in large steps.
fn ack_buffered(now: Time, call: &mut Call, out: &mut Vec<EntryAction>) {
    let request = call.request;
    if let Phase::Reading(reading) = &mut call.phase
        && reading.cursor.next - reading.acked >= ACK_INTERVAL_TOKENS
    {
        reading.acked = reading.cursor.next;
        out.push(ack_action(now, request, reading));
    }
}

fn resume_point_of(call: &Call, next: u64) -> Option<ResumePoint> {
    let Phase::Reading(reading) = &call.phase else {
        return None;
    };
    Some(ResumePoint {
        request: reading.request,
        generation: reading.cursor.generation,
        agent: reading.assigned.agent.clone(),
        next,
    })
}
