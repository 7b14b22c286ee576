//! The platform and the upstreams, as the processes meet them.

use super::{PlatformCall, RunOrder, ScheduledEvent, World};
use crate::support::fleet::{self, AGENTS, CallSpec, Proc};
use crate::support::link::MS;
use crate::support::mutant::Mutant;
use crate::support::oracle::{RunStart, token};
use crate::support::upstream::{Mood, Turn};
use fireflycroft::{
    AgentEvent, CallId, ClaimAnswer, ClaimOp, Code, ConfigVersion, Digest, EntryEvent, Finish,
    GenerationId, Message, Name,
};

impl World {
    pub(super) fn claim(&mut self, entry: usize, call: CallId, key: Digest, op: ClaimOp) {
        let plan = self.platform.plan(&mut self.rng);
        let incarnation = self.entries[entry].incarnation;
        if let Some(effect) = plan.effect {
            let answer = (!plan.lost).then_some(self.now + plan.answer);
            let call = PlatformCall {
                entry,
                incarnation,
                call,
                key,
                op,
                answer,
            };
            self.schedule(effect, ScheduledEvent::Claim(call));
        }
        let answer = if plan.lost {
            ClaimAnswer::Lost
        } else if plan.effect.is_none() {
            ClaimAnswer::Unavailable
        } else {
            return;
        };
        let event = EntryEvent::Claim(call, answer);
        self.schedule(
            plan.answer,
            ScheduledEvent::Entry(entry, incarnation, event),
        );
    }

    pub(super) fn claim_effect(&mut self, call: PlatformCall) {
        let is_write = !matches!(call.op, ClaimOp::Read);
        let mut answer = self.platform.apply(call.key, call.op);
        if self.mutant == Mutant::EveryClaimWon && is_write {
            answer = ClaimAnswer::Written;
        }
        if let Some(at) = call.answer {
            let event = EntryEvent::Claim(call.call, answer);
            let delay = at.saturating_sub(self.now);
            self.schedule(
                delay,
                ScheduledEvent::Entry(call.entry, call.incarnation, event),
            );
        }
    }

    pub(crate) fn set_mood(&mut self, agent: usize, mood: Mood) {
        self.upstreams[agent].mood = mood;
    }

    /// Runs of the agent's upstream.
    pub(crate) fn running(&self, agent: usize) -> usize {
        self.upstreams[agent].live.len()
    }

    /// Lets an upstream wait longer between tokens.
    pub(crate) fn set_pause(&mut self, agent: usize, millis: u64) {
        self.upstreams[agent].pause = millis;
    }

    /// Most bytes of whole answers that any entry holds back.
    pub(crate) fn most_held(&self) -> usize {
        let held = self.entries.iter().map(|e| e.core.buffered_bytes());
        held.max().unwrap_or(0)
    }

    /// Most requests that wait at any agent.
    pub(crate) fn most_queued(&self) -> u32 {
        let queued = self.agents.iter().map(|a| a.core.load().queued);
        queued.max().unwrap_or(0)
    }

    /// Most offers that any agent remembers.
    pub(crate) fn most_offers(&self) -> usize {
        let offers = self.agents.iter().map(|a| a.core.offers());
        offers.max().unwrap_or(0)
    }

    /// Most bytes of answers that any agent keeps.
    pub(crate) fn most_bytes(&self) -> usize {
        let bytes = self.agents.iter().map(|a| a.core.bytes());
        bytes.max().unwrap_or(0)
    }

    pub(super) fn begin(&mut self, agent: usize, order: RunOrder) {
        let incarnation = self.agents[agent].incarnation;
        let generation = order.generation;
        let refusal = if !self.upstreams[agent].up {
            Some(Code::NoUpstream)
        } else if self.upstreams[agent].mood == Mood::Refuse {
            Some(Code::Overloaded)
        } else {
            None
        };
        if let Some(code) = refusal {
            let event = AgentEvent::NotStarted { generation, code };
            self.schedule(MS, ScheduledEvent::Agent(agent, incarnation, event));
            return;
        }
        let content = fleet::content_of(&order.work);
        let run = self.oracle.record_run(RunStart {
            agent,
            generation,
            request: order.request,
            workspace: order.demand.workspace,
            content,
        });
        self.check_leaving(agent, run, generation);
        if let Some(offered) = self.offered_under(generation) {
            let own = self.agents[agent].config.version();
            self.oracle.check_run_config(run, own, offered);
        }
        self.upstreams[agent].begin(generation, run, content);
        self.schedule(5 * MS, ScheduledEvent::Emit(agent, generation, 0));
    }

    /// Configuration under which the generation was offered.
    fn offered_under(&self, generation: GenerationId) -> Option<ConfigVersion> {
        let offer = self.offer_of.get(&generation)?;
        self.offered.get(offer).copied()
    }

    pub(super) fn check_leaving(&mut self, agent: usize, run: usize, generation: GenerationId) {
        let node = &self.agents[agent];
        let Some(leaving) = node.leaving else {
            return;
        };
        let offer = self.offer_of.get(&generation);
        let late = offer.is_some_and(|(request, attempt)| {
            let offer = (agent, node.incarnation, *request, *attempt);
            self.offered_after_leave.contains(&offer)
        });
        // The upstream takes a millisecond to begin.
        let since = (self.now - leaving).saturating_sub(MS);
        self.oracle.check_run_after_leave(run, late, since);
    }

    pub(super) fn emit(&mut self, agent: usize, generation: GenerationId, epoch: u64) {
        let current = self.upstreams[agent].live.get(&generation).map(|l| l.epoch);
        if current != Some(epoch) {
            return;
        }
        let burst = 1 + self.rng.below(8);
        let pause = self.upstreams[agent].pause + self.rng.below(40);
        let pause = pause.max(2) * MS;
        match self.upstreams[agent].turn(generation, burst) {
            Turn::Give(count) => {
                self.give_tokens(agent, generation, count);
                self.schedule(pause, ScheduledEvent::Emit(agent, generation, epoch));
            }
            Turn::Wait => self.schedule(200 * MS, ScheduledEvent::Emit(agent, generation, epoch)),
            Turn::Break => self.drive_agent(agent, AgentEvent::Broken { generation }),
            Turn::Die => self.crash(agent),
            Turn::End => self.end(agent, generation),
        }
    }

    pub(super) fn give_tokens(&mut self, agent: usize, generation: GenerationId, count: u64) {
        let Some(live) = self.upstreams[agent].live.get_mut(&generation) else {
            return;
        };
        let numbers = live.sent..live.sent + count;
        let tokens = numbers.map(|n| token(live.run, n, live.content)).collect();
        live.sent += count;
        self.oracle.runs[live.run].emitted = live.sent;
        self.drive_agent(agent, AgentEvent::Tokens { generation, tokens });
    }

    pub(super) fn end(&mut self, agent: usize, generation: GenerationId) {
        let Some(live) = self.upstreams[agent].live.remove(&generation) else {
            return;
        };
        self.oracle.runs[live.run].ended = true;
        let finish = Finish {
            total: 0,
            code: Code::Ok,
            reason: Name::from("stop"),
            status: 0,
            content_type: Name::from(""),
            prompt_tokens: 0,
            preemptions: 0,
            crashes: 0,
        };
        self.drive_agent(agent, AgentEvent::Finished { generation, finish });
    }

    pub(super) fn reattach(&mut self, agent: usize, generation: GenerationId) {
        let live = self.upstreams[agent].live.get_mut(&generation);
        match live {
            Some(live) if live.resumable => {
                live.epoch += 1;
                let epoch = live.epoch;
                self.schedule(MS, ScheduledEvent::Emit(agent, generation, epoch));
            }
            _ => {
                self.upstreams[agent].live.remove(&generation);
                self.drive_agent(agent, AgentEvent::Lost { generation });
            }
        }
    }

    /// The upstream dies with all that it runs, and comes back.
    pub(crate) fn crash(&mut self, agent: usize) {
        let upstream = &mut self.upstreams[agent];
        if !std::mem::replace(&mut upstream.up, false) {
            return;
        }
        let lost = std::mem::take(&mut upstream.live);
        for live in lost.values() {
            *self.oracle.crashes.entry(live.content).or_default() += 1;
        }
        self.drive_agent(agent, AgentEvent::UpstreamDown);
        let delay = (300 + self.rng.below(1_500)) * MS;
        self.schedule(delay, ScheduledEvent::UpstreamUp(agent));
    }

    pub(super) fn upstream_up(&mut self, agent: usize) {
        self.upstreams[agent].up = true;
        self.drive_agent(agent, AgentEvent::UpstreamUp);
    }

    /// All agents but one, and no entry, hear that the content crashed upstreams.
    pub(crate) fn tell_agents_of_crashes(&mut self, but: usize, spec: &CallSpec, count: u8) {
        let content = spec.digest();
        for to in (0..AGENTS).filter(|a| *a != but).map(Proc::Agent) {
            self.send(
                Proc::Entry(0),
                to.addr(),
                Message::Crashes { content, count },
            );
        }
    }
}
