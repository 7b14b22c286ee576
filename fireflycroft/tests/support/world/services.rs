//! The simulated platform and upstreams of the processes.

use super::{PlatformCall, RunOrder, ScheduledEvent, World};
use crate::support::fleet::{self, AGENTS, CallSpec, Proc};
use crate::support::link::MS;
use crate::support::mutant::Mutant;
use crate::support::oracle::{RunStart, token};
use crate::support::upstream::{StreamStep, UpstreamMode};
use fireflycroft::{
    AgentEvent, CRASH_LIMIT, CallId, ClaimAnswer, ClaimOp, Code, ConfigVersion, CrashNews, Digest,
    EntryEvent, Finish, GenerationId, Message, Name, RefusedSuspect, Suspect,
};
use std::time::Duration;

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

    pub(super) fn apply_claim(&mut self, call: PlatformCall) {
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

    pub(crate) fn set_upstream_mode(&mut self, agent: usize, mode: UpstreamMode) {
        self.upstreams[agent].mode = mode;
    }

    /// Returns the number of running generations on the agent's upstream.
    pub(crate) fn running(&self, agent: usize) -> usize {
        self.upstreams[agent].active.len()
    }

    /// Sets the base pause of an upstream between bursts of tokens.
    pub(crate) fn set_pause(&mut self, agent: usize, millis: u64) {
        self.upstreams[agent].pause = millis;
    }

    /// Returns the maximum over all entries of the buffered bytes.
    pub(crate) fn max_held(&self) -> usize {
        let held = self.entries.iter().map(|e| e.core.buffered_bytes());
        held.max().unwrap_or(0)
    }

    /// Returns the maximum over all agents of the waiting requests.
    pub(crate) fn max_queued(&self) -> u32 {
        let queued = self.agents.iter().map(|a| a.core.load().queued);
        queued.max().unwrap_or(0)
    }

    /// Returns the maximum over all agents of the offers remembered.
    pub(crate) fn max_offers(&self) -> usize {
        let offers = self.agents.iter().map(|a| a.core.offers());
        offers.max().unwrap_or(0)
    }

    /// Returns the maximum over all agents of the bytes of answers kept.
    pub(crate) fn max_bytes(&self) -> usize {
        let bytes = self.agents.iter().map(|a| a.core.bytes());
        bytes.max().unwrap_or(0)
    }

    pub(super) fn begin(&mut self, agent: usize, order: RunOrder) {
        let incarnation = self.agents[agent].incarnation;
        let generation = order.generation;
        let refusal = if !self.upstreams[agent].up {
            Some(Code::NoUpstream)
        } else if self.upstreams[agent].mode == UpstreamMode::Refuse {
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
        if let Some(offered) = self.config_at_offer(generation) {
            let own = self.agents[agent].config.version();
            self.oracle.check_run_config(run, own, offered);
        }
        self.upstreams[agent].begin(generation, run, content);
        self.open(agent, generation, "v1");
        self.schedule(5 * MS, ScheduledEvent::Emit(agent, generation, 0));
    }

    /// Returns the configuration version under which the generation was offered.
    fn config_at_offer(&self, generation: GenerationId) -> Option<ConfigVersion> {
        let offer = self.offer_of.get(&generation)?;
        self.offered.get(offer).copied()
    }

    pub(super) fn check_leaving(&mut self, agent: usize, run: usize, generation: GenerationId) {
        let node = &self.agents[agent];
        let Some(leaving) = node.leaving else {
            return;
        };
        let offer = self.offer_of.get(&generation);
        let offered_after_leave = offer.is_some_and(|(request, attempt)| {
            let offer = (agent, node.incarnation, *request, *attempt);
            self.offered_after_leave.contains(&offer)
        });
        // The upstream takes a millisecond to begin.
        let since = (self.now - leaving).saturating_sub(MS);
        self.oracle
            .check_run_after_leave(run, offered_after_leave, since);
    }

    /// Opens the stream of a generation at an upstream of that software version, unless it states none.
    fn open(&mut self, agent: usize, generation: GenerationId, version: &str) {
        let stated = self.states_versions.then(|| Name::from(version));
        let event = AgentEvent::Opened {
            generation,
            software_version: stated,
        };
        self.drive_agent(agent, event);
    }

    pub(super) fn emit(&mut self, agent: usize, generation: GenerationId, epoch: u64) {
        let current = self.upstreams[agent]
            .active
            .get(&generation)
            .map(|l| l.epoch);
        if current != Some(epoch) {
            return;
        }
        let burst = 1 + self.rng.below(8);
        let pause = self.upstreams[agent].pause + self.rng.below(40);
        let pause = pause.max(2) * MS;
        match self.upstreams[agent].next_step(generation, burst) {
            StreamStep::Emit(count) => {
                self.emit_tokens(agent, generation, count);
                self.schedule(pause, ScheduledEvent::Emit(agent, generation, epoch));
            }
            StreamStep::Wait => {
                self.schedule(200 * MS, ScheduledEvent::Emit(agent, generation, epoch));
            }
            StreamStep::Break => self.drive_agent(agent, AgentEvent::Broken { generation }),
            StreamStep::Die => self.crash(agent),
            StreamStep::End => self.end(agent, generation),
        }
    }

    pub(super) fn emit_tokens(&mut self, agent: usize, generation: GenerationId, count: u64) {
        let Some(active) = self.upstreams[agent].active.get_mut(&generation) else {
            return;
        };
        let numbers = active.sent..active.sent + count;
        let tokens = numbers
            .map(|n| token(active.run, n, active.content))
            .collect();
        active.sent += count;
        self.oracle.runs[active.run].emitted = active.sent;
        self.drive_agent(agent, AgentEvent::Tokens { generation, tokens });
    }

    pub(super) fn end(&mut self, agent: usize, generation: GenerationId) {
        let Some(active) = self.upstreams[agent].active.remove(&generation) else {
            return;
        };
        self.oracle.runs[active.run].ended = true;
        let finish = Finish {
            total: 0,
            code: Code::Ok,
            reason: Name::from("stop"),
            status: 0,
            content_type: Name::from(""),
            prompt_tokens: 0,
            preemptions: 0,
            crashes: 0,
            ended: None,
        };
        self.drive_agent(agent, AgentEvent::Finished { generation, finish });
    }

    pub(super) fn reattach(&mut self, agent: usize, generation: GenerationId) {
        let active = self.upstreams[agent].active.get_mut(&generation);
        let Some(active) = active.filter(|a| a.resumable) else {
            self.upstreams[agent].active.remove(&generation);
            self.drive_agent(agent, AgentEvent::Lost { generation });
            return;
        };
        active.epoch += 1;
        let epoch = active.epoch;
        let version = if active.upgraded { "v2" } else { "v1" };
        if active.upgraded {
            // Its tokens belong to no run that the caller has tokens of.
            active.run = self.oracle.record_other_run(active.run);
        }
        self.open(agent, generation, version);
        self.schedule(MS, ScheduledEvent::Emit(agent, generation, epoch));
    }

    /// Crashes the upstream with all its runs; it comes up again later.
    pub(crate) fn crash(&mut self, agent: usize) {
        let upstream = &mut self.upstreams[agent];
        if !std::mem::replace(&mut upstream.up, false) {
            return;
        }
        let lost = std::mem::take(&mut upstream.active);
        for active in lost.values() {
            *self.oracle.crashes.entry(active.content).or_default() += 1;
        }
        self.drive_agent(agent, AgentEvent::UpstreamDown);
        let delay = (300 + self.rng.below(1_500)) * MS;
        self.schedule(delay, ScheduledEvent::UpstreamUp(agent));
    }

    pub(super) fn upstream_up(&mut self, agent: usize) {
        self.upstreams[agent].up = true;
        self.drive_agent(agent, AgentEvent::UpstreamUp);
    }

    /// Tells all agents but one, and no entry, that the content is refused.
    pub(crate) fn announce_refusal_to_agents(&mut self, except: usize, spec: &CallSpec) {
        let refused = RefusedSuspect {
            suspect: Suspect::of_content(spec.digest()),
            crashes: CRASH_LIMIT.into(),
            age: Duration::ZERO,
        };
        let news = CrashNews {
            refused: vec![refused],
            ..CrashNews::default()
        };
        for to in (0..AGENTS).filter(|a| *a != except).map(Proc::Agent) {
            self.send(Proc::Entry(0), to.addr(), Message::CrashNews(news.clone()));
        }
    }
}
