//! Evidence of an agent about the requests that crash its upstream.
//!
//! An agent sees its upstream end, and how far each of its generations had got. It tells the whole fleet, again and
//! again for some seconds since messages may be lost, and refuses offers of refused requests itself, so that an entry
//! that has just started learns of them with its first offer. A process that has just started asks those that it knows.

use crate::agent::{Agent, AgentAction, OfferState};
use crate::code::Code;
use crate::crash_evidence::Judgement;
use crate::crash_report::{CrashId, CrashNews, CrashReport, CrashVerdict, Reach, Suspect};
use crate::generation::Generation;
use crate::ids::{Digest, GenerationId};
use crate::log_event::LogEvent;
use crate::message::Message;
use crate::offer::OfferId;
use crate::suspicion::ContentLimits;
use crate::time::Time;
use crate::work::Demand;
use std::net::SocketAddr;
use std::time::Duration;

/// Crashes at which a request is refused that comes again.
pub const CRASH_LIMIT: u8 = 2;

/// Tokens after which an answer is past its beginning.
const BEGINNING_TOKENS: u64 = 16;

/// Interval at which an agent tells what it knows first-hand.
const TELL_INTERVAL: Duration = Duration::from_millis(400);

/// Returns when a request's content is refused: at once, since an agent runs no two suspects side by side.
pub(crate) const fn content_limits() -> ContentLimits {
    ContentLimits {
        crashes: CRASH_LIMIT as usize,
        span: Duration::ZERO,
    }
}

impl Demand {
    /// Returns what its request has in common with others.
    pub(crate) fn suspects(&self) -> Vec<Suspect> {
        Suspect::of_request(&self.shared_parts, self.content)
    }
}

/// Returns the suspects of an upstream's end: of an answer past its beginning only the content.
fn suspects_of(g: &Generation) -> Vec<Suspect> {
    if g.log.end() < BEGINNING_TOKENS {
        g.demand.suspects()
    } else {
        vec![Suspect::of_content(g.demand.content)]
    }
}

impl Agent {
    /// Records that the upstream ended, for each of its answers, and tells the fleet; returns which end it was.
    pub(crate) fn record_crashes(&mut self, now: Time, out: &mut Vec<AgentAction>) -> CrashId {
        self.upstream_ends += 1;
        let incarnation = self.me.incarnation.0.to_le_bytes();
        let number = self.upstream_ends.to_le_bytes();
        let ended = Digest::of(&[self.me.name.as_bytes(), &incarnation, &number]);
        let ended = CrashId(ended.folded());
        let running = self.generations.values().filter(|g| g.is_running());
        let reports: Vec<CrashReport> = running
            .map(|g| CrashReport {
                ended,
                suspects: suspects_of(g),
                begun: true,
                reach: Reach::default(),
                age: Duration::ZERO,
            })
            .collect();
        let mut is_news = false;
        for report in reports {
            is_news |= self.crash_evidence.record_crash(now, report);
        }
        if is_news {
            self.judge_crashes(now, out);
            self.tell_crashes(now, out);
        }
        ended
    }

    /// Records the progress of an answer: past its beginning its parts are sound, and once complete its content.
    pub(crate) fn record_progress(
        &mut self,
        now: Time,
        id: GenerationId,
        before: u64,
        is_complete: bool,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(g) = self.find(id) else {
            return;
        };
        let passed = before < BEGINNING_TOKENS && g.log.end() >= BEGINNING_TOKENS;
        if !passed && !is_complete {
            return;
        }
        let mut sound = g.demand.suspects();
        sound.retain(|s| is_complete || !s.is_content());
        self.crash_evidence
            .record_sound(now, &sound, Duration::ZERO);
        if self.crash_evidence.take_news() {
            self.tell_crashes(now, out);
        }
    }

    /// Applies evidence that another process told, or answers one that asks.
    pub(crate) fn on_crash_news(
        &mut self,
        now: Time,
        from: SocketAddr,
        told: &CrashNews,
        out: &mut Vec<AgentAction>,
    ) {
        if told.is_empty() {
            let known = self.crash_evidence.all_to_tell(now);
            if !known.is_empty() {
                out.push(AgentAction::Send(from, Message::CrashNews(known)));
            }
            return;
        }
        self.crash_evidence.apply(now, told);
        self.judge_crashes(now, out);
        if !told.refused.is_empty() {
            self.refuse_waiting_suspects(now, out);
        }
        if self.crash_evidence.take_news() {
            self.tell_crashes(now, out);
        }
    }

    /// Returns the code and retry delay with which an offer is refused because its request may crash the upstream.
    pub(crate) fn crash_refusal(&self, now: Time, demand: &Demand) -> Option<(Code, Duration)> {
        match self.crash_evidence.verdict(now, &demand.suspects())? {
            CrashVerdict::Refused(refused) if refused.suspect.is_content() => {
                Some((Code::Quarantined, Duration::ZERO))
            }
            CrashVerdict::Refused(_) => Some((Code::PartRefused, Duration::ZERO)),
            CrashVerdict::Doubted { wait, .. } | CrashVerdict::Suspended { wait, .. } => {
                Some((Code::Overloaded, wait))
            }
        }
    }

    /// Refuses the waiting offers of refused requests.
    fn refuse_waiting_suspects(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let refused = |state: &OfferState| match state {
            OfferState::Waiting(to, demand) => {
                let refusal = self.crash_refusal(now, demand);
                let (code, _) = refusal.filter(|(code, _)| *code != Code::Overloaded)?;
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
    pub(crate) fn tick_crashes(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.crash_evidence.expire(now);
        self.judge_crashes(now, out);
        if self.tells_crashes && now.since(self.crashes_told) >= TELL_INTERVAL {
            self.tell_crashes(now, out);
        }
    }

    fn judge_crashes(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        let judgement = self.crash_evidence.judge(now);
        if !judgement.refused.is_empty() {
            self.refuse_waiting_suspects(now, out);
        }
        out.extend(judgement.log_events().map(AgentAction::LogEvent));
    }

    fn tell_crashes(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.crashes_told = now;
        let news = self.crash_evidence.news_to_tell(now);
        // Refusals alone are told by the offers that agents refuse.
        self.tells_crashes = !news.crashes.is_empty() || !news.sound.is_empty();
        if self.tells_crashes {
            out.push(AgentAction::Broadcast(Message::CrashNews(news)));
        }
    }
}

impl Judgement {
    /// Returns the events that log it.
    pub(crate) fn log_events(&self) -> impl Iterator<Item = LogEvent> {
        let refused = self.refused.iter().map(|refused| {
            let event = LogEvent::new("part_refused").suspect(refused.suspect);
            event.count(u64::from(refused.crashes))
        });
        let exonerated = self.exonerated.iter();
        refused.chain(exonerated.map(|s| LogEvent::new("part_released").suspect(*s)))
    }
}
