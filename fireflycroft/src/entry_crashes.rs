//! Evidence of an entry about the requests that crash upstreams.
//!
//! Entries hear of crashes from the agents, with the end of each call and in messages of their own. An entry that has
//! just started asks the first agents that it meets, and tells those that start later what it refuses.

use crate::agent_crashes::CRASH_LIMIT;
use crate::code::Code;
use crate::crash_report::{
    CrashId, CrashNews, CrashReport, CrashVerdict, Reach, RefusedSuspect, Suspect,
};
use crate::entry::Entry;
use crate::entry_io::EntryAction;
use crate::ids::Digest;
use crate::message::Message;
use crate::submit::Refusal;
use crate::time::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Agents that an entry asks after its start; each knows what all were told.
const MAX_QUESTIONS: usize = 8;

impl Entry {
    /// Applies evidence that an agent told.
    pub(crate) fn on_crash_news(
        &mut self,
        now: Time,
        told: &CrashNews,
        out: &mut Vec<EntryAction>,
    ) {
        self.crash_evidence.apply(now, told);
        self.judge_crashes(now, out);
    }

    /// Asks an agent that has come for evidence, or tells it what is refused.
    pub(crate) fn meet_agent(&mut self, now: Time, addr: SocketAddr, out: &mut Vec<EntryAction>) {
        let known = self.crash_evidence.all_to_tell(now);
        let asks = self.crash_questions < MAX_QUESTIONS;
        self.crash_questions += usize::from(asks);
        if asks {
            let question = Message::CrashNews(CrashNews::default());
            out.push(EntryAction::Send(addr, question));
        }
        if !known.is_empty() {
            out.push(EntryAction::Send(addr, Message::CrashNews(known)));
        }
    }

    /// Records the end of an upstream that broke off a call, and tells the fleet.
    pub(crate) fn record_crash(
        &mut self,
        now: Time,
        ended: CrashId,
        suspects: Vec<Suspect>,
        out: &mut Vec<EntryAction>,
    ) {
        let report = CrashReport {
            ended,
            suspects,
            begun: true,
            reach: Reach::default(),
            age: Duration::ZERO,
        };
        if self.crash_evidence.record_told_crash(now, report.clone()) {
            let news = CrashNews {
                crashes: vec![report],
                ..CrashNews::default()
            };
            out.push(EntryAction::Broadcast(Message::CrashNews(news)));
            self.judge_crashes(now, out);
        }
    }

    /// Records that an agent refuses a content.
    pub(crate) fn record_refused_content(&mut self, now: Time, content: Digest) {
        let refused = RefusedSuspect {
            suspect: Suspect::of_content(content),
            crashes: CRASH_LIMIT.into(),
            age: Duration::ZERO,
        };
        self.crash_evidence.adopt(now, refused);
    }

    /// Returns the known number of upstreams that a content has crashed.
    pub(crate) fn known_crashes(&self, content: Digest) -> u8 {
        let crashes = self
            .crash_evidence
            .crashes_under(Suspect::of_content(content));
        u8::try_from(crashes).unwrap_or(u8::MAX)
    }

    /// Refuses a request that may crash upstreams, unless it tries a suspect again.
    pub(crate) fn check_suspects(
        &mut self,
        now: Time,
        suspects: &[Suspect],
    ) -> Result<(), Refusal> {
        match self.crash_evidence.verdict(now, suspects) {
            None => Ok(()),
            Some(CrashVerdict::Refused(_) | CrashVerdict::Doubted { .. })
                if self.crash_evidence.take_probe(now, suspects) =>
            {
                Ok(())
            }
            Some(CrashVerdict::Refused(_)) => Err(Refusal {
                code: Code::Quarantined,
                retry_after: None,
            }),
            Some(CrashVerdict::Doubted { wait, .. } | CrashVerdict::Suspended { wait, .. }) => {
                Err(Refusal {
                    code: Code::PartRefused,
                    retry_after: Some(wait),
                })
            }
        }
    }

    pub(crate) fn judge_crashes(&mut self, now: Time, out: &mut Vec<EntryAction>) {
        let judgement = self.crash_evidence.judge(now);
        out.extend(judgement.log_events().map(EntryAction::LogEvent));
    }
}
