//! Generations on an agent: tokens, readers and ends.

use crate::agent::{
    Agent, AgentAction, note, request_of, send_actions, status_message, with_count,
};
use crate::code::Code;
use crate::crash_report::Suspect;
use crate::generation::{Generation, Stage};
use crate::ids::{GenerationId, Name, RequestId};
use crate::log_event::LogEvent;
use crate::message::{Finish, Standing};
use crate::time::Time;
use std::net::SocketAddr;

impl Agent {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn on_attach(
        &mut self,
        now: Time,
        from: SocketAddr,
        reader: RequestId,
        request: RequestId,
        id: GenerationId,
        workspace: &Name,
        token: u64,
        out: &mut Vec<AgentAction>,
    ) {
        self.expire_if_due(now, id, out);
        let own =
            |g: &&mut Generation| g.offer.request == request && g.demand.workspace == *workspace;
        // A reader of another workspace only gets `Unknown`.
        let standing = self.dropped_standing(id, request, Some(workspace));
        let Some(g) = self.find(id).filter(own) else {
            out.push(status_message(from, reader, id, standing));
            return;
        };
        match g.attach(now, reader, from, token) {
            Ok(()) => out.extend(send_actions(g.messages(reader, true))),
            Err(standing) => out.push(status_message(from, reader, id, standing)),
        }
    }

    pub(crate) fn on_ack(
        &mut self,
        now: Time,
        reader: RequestId,
        id: GenerationId,
        next: u64,
        out: &mut Vec<AgentAction>,
    ) {
        if let Some(g) = self.find(id) {
            g.ack(now, reader, next);
            out.extend(send_actions(g.messages(reader, false)));
        }
    }

    pub(crate) fn on_cancel(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        let Some(g) = self.find(id) else {
            return;
        };
        match g.stage {
            Stage::Reserved(_) => self.expire_reservation(now, id.serial, out),
            Stage::Running => self.stop(now, id, Code::Cancelled, out),
            Stage::Finished(_) => g.end_delivered = true,
            Stage::Expired(_) => {}
        }
    }

    pub(crate) fn stop(
        &mut self,
        now: Time,
        id: GenerationId,
        code: Code,
        out: &mut Vec<AgentAction>,
    ) {
        out.push(AgentAction::Stop(id));
        self.finish_with_code(now, id, code, "stopped", out);
    }

    /// Records the version that begins the tokens, or ends a generation that another version would continue.
    pub(crate) fn on_opened(
        &mut self,
        now: Time,
        id: GenerationId,
        software_version: Option<Name>,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(g) = self.find(id).filter(|g| g.is_running()) else {
            return;
        };
        if g.log.end() == 0 {
            g.software_version = software_version;
        } else if software_version.is_none() || g.software_version != software_version {
            out.push(note("software_version_changed", request_of(g), None));
            self.on_lost(now, id, out);
        }
    }

    pub(crate) fn on_tokens(
        &mut self,
        now: Time,
        id: GenerationId,
        tokens: &[Vec<u8>],
        out: &mut Vec<AgentAction>,
    ) {
        let Some(g) = self.find(id).filter(|g| g.is_running()) else {
            return;
        };
        g.last_output = now;
        let passed = g.log.end();
        let before = g.log.bytes();
        for token in tokens {
            g.log.push(token);
        }
        let added = g.log.bytes() - before;
        out.extend(send_actions(g.messages_to_all()));
        let offer = g.offer;
        let produced = g.log.end();
        self.generations
            .record_added_bytes(added, self.limits.max_bytes);
        self.admission.record_progress(now, offer, produced);
        self.record_progress(now, id, passed, false, out);
    }

    pub(crate) fn finish(
        &mut self,
        now: Time,
        id: GenerationId,
        finish: &Finish,
        out: &mut Vec<AgentAction>,
    ) {
        let Some(g) = self.find(id).filter(|g| g.is_running()) else {
            return;
        };
        g.stage = Stage::Finished(now);
        g.finish = Some(Finish {
            total: g.log.end(),
            ..finish.clone()
        });
        out.extend(send_actions(g.messages_to_all()));
        let offer = g.offer;
        let total = g.log.end();
        if finish.code == Code::Ok {
            self.admission.finish(offer);
            self.record_progress(now, id, total, true, out);
        } else {
            self.admission.release(offer);
        }
        let event = note("generation_ended", offer.request, Some(finish.code));
        out.push(with_count(event, total));
    }

    pub(crate) fn finish_with_code(
        &mut self,
        now: Time,
        id: GenerationId,
        code: Code,
        reason: &str,
        out: &mut Vec<AgentAction>,
    ) {
        let finish = self.find(id).map(|g| g.finish_with(code, reason));
        if let Some(finish) = finish {
            self.finish(now, id, &finish, out);
        }
    }

    pub(crate) fn on_not_started(
        &mut self,
        now: Time,
        id: GenerationId,
        code: Code,
        out: &mut Vec<AgentAction>,
    ) {
        if code == Code::NoUpstream {
            self.upstream_up = false;
        }
        self.finish_with_code(now, id, code, "not started", out);
    }

    pub(crate) fn on_broken(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        let max_resumes = self.limits.max_resumes;
        let Some(g) = self.find(id).filter(|g| g.is_running()) else {
            return;
        };
        if g.resume_count >= max_resumes {
            self.on_lost(now, id, out);
            return;
        }
        g.resume_count += 1;
        g.broken_at = now;
        let from = g.log.end();
        out.push(AgentAction::Resume {
            generation: id,
            from,
        });
        out.push(note("upstream_stream_broken", request_of(g), None));
    }

    /// Ends a generation whose tokens can no longer be read, and stops it at its upstream, which may go on with it.
    pub(crate) fn on_lost(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        if self.find(id).is_none_or(|g| !g.is_running()) {
            return;
        }
        out.push(AgentAction::Stop(id));
        self.finish_with_code(now, id, Code::UpstreamFailed, "upstream failed", out);
    }

    /// Ends a generation that its upstream no longer knows; all of them, as after a crash, unless another has had
    /// tokens since this one broke.
    pub(crate) fn on_forgotten(&mut self, now: Time, id: GenerationId, out: &mut Vec<AgentAction>) {
        let running = self.find(id).filter(|g| g.is_running());
        let Some(broken_at) = running.map(|g| g.broken_at) else {
            return;
        };
        let goes_on =
            |g: &Generation| g.is_running() && g.log.end() > 0 && g.last_output > broken_at;
        if self.generations.values().any(goes_on) {
            self.on_lost(now, id, out);
        } else {
            self.on_upstream_down(now, out);
            self.upstream_up = true;
        }
    }

    /// Records the crash for every running generation, and ends them.
    pub(crate) fn on_upstream_down(&mut self, now: Time, out: &mut Vec<AgentAction>) {
        self.upstream_up = false;
        let ended = self.record_crashes(now, out);
        let running = self.generations.values().filter(|g| g.is_running());
        let lost: Vec<(GenerationId, Finish)> = running
            .map(|g| {
                let content = Suspect::of_content(g.demand.content);
                let crashes = self.crash_evidence.crashes_under(content);
                let finish = Finish {
                    crashes: u8::try_from(crashes).unwrap_or(u8::MAX),
                    ended: Some(ended),
                    ..g.finish_with(Code::UpstreamFailed, "upstream failed")
                };
                (g.id, finish)
            })
            .collect();
        for (id, finish) in lost {
            self.finish(now, id, &finish, out);
        }
        out.push(AgentAction::LogEvent(LogEvent::new("upstream_down")));
    }

    pub(crate) fn find(&mut self, id: GenerationId) -> Option<&mut Generation> {
        if id.incarnation != self.me.incarnation {
            return None;
        }
        self.generations.get_mut(id.serial)
    }

    /// Returns the standing of a generation that is no longer held.
    pub(crate) fn dropped_standing(
        &self,
        id: GenerationId,
        request: RequestId,
        workspace: Option<&Name>,
    ) -> Standing {
        if id.incarnation != self.me.incarnation {
            return Standing::Unknown;
        }
        self.generations.standing(id.serial, request, workspace)
    }
}
