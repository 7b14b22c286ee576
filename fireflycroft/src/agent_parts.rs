//! Evidence of an agent about the parts of prompts that crash its upstream.
//!
//! An agent sees its upstream end, and how far each of its generations had got. It tells the whole fleet, again and
//! again for some seconds since messages may be lost, and refuses offers of refused parts itself, so that an entry
//! that has just started learns of them with its first offer.

use crate::agent::{Agent, AgentAction, OfferState};
use crate::code::Code;
use crate::crash_evidence::{CrashId, CrashReport, PartEvidence, PartVerdict};
use crate::generation::Generation;
use crate::ids::{Digest, GenerationId, PartId};
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::offer::OfferId;
use crate::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Tokens after which an answer is past its beginning.
const BEGINNING_TOKENS: u64 = 16;

/// Interval at which an agent tells what it knows first-hand.
const TELL_INTERVAL: Duration = Duration::from_millis(400);

fn is_beginning(g: &Generation) -> bool {
    g.is_running() && g.log.end() < BEGINNING_TOKENS && !g.demand.shared_parts.is_empty()
}

impl Agent {
    /// Records that the upstream ended, for each answer that was beginning there, and tells the fleet.
    pub(crate) fn record_part_crashes(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.upstream_ends += 1;
        let incarnation = self.me.incarnation.0.to_le_bytes();
        let number = self.upstream_ends.to_le_bytes();
        let ended = Digest::of(&[self.me.name.as_bytes(), &incarnation, &number]);
        let beginning = self.generations.values().filter(|g| is_beginning(g));
        let reports: Vec<CrashReport> = beginning
            .map(|g| CrashReport {
                ended: CrashId(ended.folded()),
                parts: g.demand.shared_parts.clone(),
                begun: true,
                age: Duration::ZERO,
            })
            .collect();
        let mut is_news = false;
        for report in reports {
            is_news |= self.crash_evidence.record_crash(now, report);
        }
        if is_news {
            self.tells_parts = true;
            self.judge_parts(now, out);
            self.tell_parts(now, out);
        }
    }

    /// Records the progress of an answer: once it is past its beginning or complete, its parts are sound.
    pub(crate) fn record_part_progress(
        &mut self,
        now: Time,
        id: GenerationId,
        before: u64,
        is_complete: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let passes = |g: &&mut Generation| {
            let passed = before < BEGINNING_TOKENS && g.log.end() >= BEGINNING_TOKENS;
            (passed || is_complete) && !g.demand.shared_parts.is_empty()
        };
        let parts = self.find(id).filter(passes);
        let Some(parts) = parts.map(|g| g.demand.shared_parts.clone()) else {
            return;
        };
        self.crash_evidence
            .record_sound(now, &parts, Duration::ZERO);
        if self.crash_evidence.take_news() {
            self.tells_parts = true;
            self.tell_parts(now, out);
        }
    }

    /// Applies evidence that another process told.
    pub(crate) fn on_part_evidence(
        &mut self,
        now: Time,
        told: &PartEvidence,
        out: &mut Vec<AgentAction>,
    ) {
        self.crash_evidence.apply(now, told);
        self.judge_parts(now, out);
        if !told.refused.is_empty() {
            self.refuse_waiting_parts(now, out);
        }
        if self.crash_evidence.take_news() {
            self.tells_parts = true;
            self.tell_parts(now, out);
        }
    }

    /// Returns the code and retry delay with which an offer of these parts is refused.
    pub(crate) fn part_refusal(&self, now: Time, parts: &[PartId]) -> Option<(Code, Duration)> {
        match self.crash_evidence.verdict(now, parts)? {
            PartVerdict::Refused(_) => Some((Code::PartRefused, Duration::ZERO)),
            PartVerdict::Suspended { wait, .. } => Some((Code::Overloaded, wait)),
        }
    }

    /// Refuses the waiting offers of refused parts.
    fn refuse_waiting_parts(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let refused = |state: &OfferState| match state {
            OfferState::Waiting(to, demand) => {
                let refusal = self.part_refusal(now, &demand.shared_parts);
                let (code, _) = refusal.filter(|(code, _)| *code == Code::PartRefused)?;
                Some((*to, code))
            }
            _ => None,
        };
        let waiting = self.offers.iter();
        let waiting: Vec<(OfferId, SocketAddr, Code)> = waiting
            .filter_map(|(offer, state)| refused(state).map(|(to, code)| (*offer, to, code)))
            .collect();
        for (offer, to, code) in waiting {
            self.admission.release(offer);
            self.refuse(now, to, offer, code, Duration::ZERO, out);
        }
    }

    /// Judges the evidence, and tells it again as long as there is some that this agent knows first-hand.
    pub(crate) fn tick_parts(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.crash_evidence.expire(now);
        self.judge_parts(now, out);
        if self.tells_parts && now.since(self.parts_told) >= TELL_INTERVAL {
            self.tell_parts(now, out);
        }
    }

    fn judge_parts(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let refused = self.crash_evidence.judge(now);
        if !refused.is_empty() {
            self.refuse_waiting_parts(now, out);
        }
        for refused in refused {
            let event = LogEvent::new("part_refused").part(refused.part);
            let event = event.count(u64::from(refused.crashes));
            out.push(AgentAction::LogEvent(event));
        }
    }

    fn tell_parts(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.parts_told = now;
        let evidence = self.crash_evidence.to_tell(now);
        // Refusals alone are told by the offers that agents refuse.
        self.tells_parts = !evidence.crashes.is_empty() || !evidence.sound.is_empty();
        if self.tells_parts {
            out.push(AgentAction::Broadcast(Message::PartEvidence(evidence)));
        }
    }
}
