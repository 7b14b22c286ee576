//! Life cycle of entries and agents, and execution of their actions.

use super::{FAULT_FREE_SPAN, Node, RunOrder, ScheduledEvent, World};
use crate::support::fleet::{self, ENTRIES, Proc};
use crate::support::link::MS;
use crate::support::mutant::Mutant;
use crate::support::oracle::Outcome;
use fireflycroft::{
    AgentAction, AgentEvent, CallId, EntryAction, EntryEvent, MemberState, Message, Reply,
};

impl World {
    pub(super) fn drive_entry(&mut self, i: usize, event: EntryEvent) {
        let node = &mut self.entries[i];
        if !node.alive {
            return;
        }
        if node.frozen.is_some() {
            if !matches!(event, EntryEvent::Tick) {
                node.inbox.push(event);
            }
            return;
        }
        let submitted = match &event {
            EntryEvent::Submit(call, _) => Some(*call),
            _ => None,
        };
        let mut out = Vec::new();
        node.core
            .on_event(node.local_time(self.now), event, &mut out);
        if let Some(call) = submitted {
            self.record_request_id(call, &out);
        }
        for action in out {
            self.entry_action(i, action);
        }
        self.check_config(Proc::Entry(i));
    }

    /// Reads the call's request id from its first message or log event.
    pub(super) fn record_request_id(&mut self, call: CallId, out: &[EntryAction]) {
        let request = out.iter().find_map(|action| match action {
            EntryAction::Send(_, Message::Offer { request, .. }) => Some(*request),
            EntryAction::Send(_, Message::Attach { reader, .. }) => Some(*reader),
            // A call that waits for a configuration sends no message yet.
            EntryAction::LogEvent(note) => note.request,
            _ => None,
        });
        if let Some(request) = request {
            let call = usize::try_from(call.0).unwrap();
            self.oracle.record_request_id(call, request);
        }
    }

    pub(super) fn entry_action(&mut self, i: usize, action: EntryAction) {
        let from = Proc::Entry(i);
        match action {
            EntryAction::Send(to, message) => self.send(from, to, message),
            EntryAction::Broadcast(message) => self.broadcast(from, &message),
            EntryAction::Reply(call, reply) => {
                if self.mutant == Mutant::DeliverTwice && matches!(reply, Reply::Tokens(_)) {
                    self.deliver_reply(i, call, &reply);
                }
                self.deliver_reply(i, call, &reply);
            }
            EntryAction::Claim(call, key, op) => self.claim(i, call, key, op),
            EntryAction::PullConfig(addr) => self.pull_config(from, addr),
            EntryAction::Measured(_) | EntryAction::LogEvent(_) => {}
        }
    }

    pub(super) fn drive_agent(&mut self, i: usize, event: AgentEvent) {
        let node = &mut self.agents[i];
        if !node.alive {
            return;
        }
        if node.frozen.is_some() {
            if !matches!(event, AgentEvent::Tick) {
                node.inbox.push(event);
            }
            return;
        }
        self.record_offer(i, &event);
        let node = &mut self.agents[i];
        let mut out = Vec::new();
        node.core
            .on_event(node.local_time(self.now), event, &mut out);
        for action in out {
            self.agent_action(i, action);
        }
    }

    pub(super) fn record_offer(&mut self, i: usize, event: &AgentEvent) {
        let node = &self.agents[i];
        let AgentEvent::Message(envelope) = event else {
            return;
        };
        let Message::Offer {
            request, attempt, ..
        } = envelope.body
        else {
            return;
        };
        self.offered
            .entry((request, attempt))
            .or_insert(envelope.config);
        let known = self.offer_of.values().any(|o| *o == (request, attempt));
        if node.leaving.is_some() && !known {
            self.offered_after_leave
                .insert((i, node.incarnation, request, attempt));
        }
    }

    pub(super) fn agent_action(&mut self, i: usize, action: AgentAction) {
        let from = Proc::Agent(i);
        let incarnation = self.agents[i].incarnation;
        match action {
            AgentAction::Send(to, message) => {
                if let Message::Accept {
                    request,
                    attempt,
                    generation,
                    ..
                } = &message
                {
                    self.offer_of.insert(*generation, (*request, *attempt));
                }
                self.send(from, to, message);
            }
            AgentAction::Broadcast(message) => self.broadcast(from, &message),
            AgentAction::Run {
                generation,
                request,
                demand,
                work,
            } => {
                let order = RunOrder {
                    generation,
                    request,
                    demand,
                    work,
                };
                self.schedule(MS, ScheduledEvent::Begin(i, incarnation, Box::new(order)));
            }
            AgentAction::Resume { generation, .. } => {
                self.schedule(5 * MS, ScheduledEvent::Reattach(i, generation));
            }
            AgentAction::Stop(generation) => {
                self.upstreams[i].active.remove(&generation);
            }
            AgentAction::PullConfig(addr) => self.pull_config(from, addr),
            // The simulation gives no orders.
            AgentAction::Order(_) | AgentAction::LogEvent(_) => {}
        }
    }

    /// Ends a process, which loses its state and restarts after a delay.
    pub(crate) fn kill(&mut self, proc: Proc) {
        match proc {
            Proc::Entry(i) => {
                if !std::mem::replace(&mut self.entries[i].alive, false) {
                    return;
                }
                for call in self.oracle.open_at(i) {
                    self.oracle.calls[call].outcome = Some(Outcome::Cut);
                }
            }
            Proc::Agent(i) => {
                if !std::mem::replace(&mut self.agents[i].alive, false) {
                    return;
                }
                self.upstreams[i].active.clear();
            }
        }
        let delay = self.rng.below(3_000) * MS;
        self.schedule(delay, ScheduledEvent::Restart(proc));
    }

    pub(super) fn restart(&mut self, proc: Proc) {
        let now = self.now;
        match proc {
            Proc::Entry(i) => {
                let incarnation = self.entries[i].incarnation + 1;
                self.entries[i] = Node::new(fleet::new_entry(i, incarnation), incarnation, now);
                self.announce_agents(i);
            }
            Proc::Agent(i) => {
                let incarnation = self.agents[i].incarnation + 1;
                self.agents[i] = Node::new(fleet::new_agent(i, incarnation), incarnation, now);
                if self.upstreams[i].up {
                    self.drive_agent(i, AgentEvent::UpstreamUp);
                }
                for entry in 0..ENTRIES {
                    let delay = self.rng.below(1_500) * MS;
                    self.schedule(delay, ScheduledEvent::Member(entry, i, MemberState::Alive));
                }
            }
        }
        let version = 1 + self.rng.below(self.highest_version);
        self.configure(proc, &fleet::config(version, false));
    }

    /// Restarts an entry without agents, and without a configuration unless `configured`.
    pub(crate) fn restart_isolated(&mut self, i: usize, configured: bool) {
        let incarnation = self.entries[i].incarnation + 1;
        self.entries[i] = Node::new(fleet::new_entry(i, incarnation), incarnation, self.now);
        if configured {
            self.configure(Proc::Entry(i), &fleet::config(self.highest_version, false));
        }
    }

    pub(crate) fn freeze(&mut self, proc: Proc) {
        let now = self.now;
        match proc {
            Proc::Entry(i) if self.entries[i].alive => {
                self.entries[i].frozen.get_or_insert(now);
            }
            Proc::Agent(i) if self.agents[i].alive => {
                self.agents[i].frozen.get_or_insert(now);
            }
            _ => {}
        }
    }

    /// Resumes a process with the events received meanwhile; its timers may fire first.
    pub(crate) fn thaw(&mut self, proc: Proc) {
        let timers_first = self.rng.per_mille(500);
        self.thaw_with(proc, timers_first);
    }

    pub(crate) fn thaw_with(&mut self, proc: Proc, timers_first: bool) {
        match proc {
            Proc::Entry(i) => {
                let Some(since) = self.entries[i].frozen.take() else {
                    return;
                };
                for call in self.oracle.open_at(i) {
                    self.oracle.calls[call].frozen += self.now - since;
                }
                if timers_first {
                    self.drive_entry(i, EntryEvent::Tick);
                }
                for event in std::mem::take(&mut self.entries[i].inbox) {
                    self.drive_entry(i, event);
                }
            }
            Proc::Agent(i) => {
                if self.agents[i].frozen.take().is_none() {
                    return;
                }
                if timers_first {
                    self.drive_agent(i, AgentEvent::Tick);
                }
                for event in std::mem::take(&mut self.agents[i].inbox) {
                    self.drive_agent(i, event);
                }
            }
        }
    }

    /// Orders a process to leave; it ends once it is idle.
    pub(crate) fn leave(&mut self, proc: Proc) {
        let now = self.now;
        match proc {
            Proc::Entry(i) if self.entries[i].is_running() => {
                self.entries[i].leaving.get_or_insert(now);
                self.drive_entry(i, EntryEvent::Leave);
            }
            Proc::Agent(i) if self.agents[i].is_running() => {
                self.agents[i].leaving.get_or_insert(now);
                if self.mutant != Mutant::IgnoreLeave {
                    self.drive_agent(i, AgentEvent::Leave);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn cancel_leave(&mut self, agent: usize) {
        if self.agents[agent].is_running() {
            self.agents[agent].leaving = None;
            self.drive_agent(agent, AgentEvent::Stay);
        }
    }

    pub(super) fn stop_if_idle(&mut self, proc: Proc) {
        let at_once = self.mutant == Mutant::StopAtOnce;
        let ready = match proc {
            Proc::Entry(i) => {
                let node = &self.entries[i];
                node.is_running() && node.leaving.is_some() && (at_once || node.core.is_idle())
            }
            Proc::Agent(i) => {
                let node = &self.agents[i];
                node.is_running() && node.leaving.is_some() && (at_once || node.core.is_idle())
            }
        };
        if ready {
            let cut = self.cut_by_stop(proc);
            self.oracle.record_stop(proc, &cut);
            self.kill(proc);
        }
    }

    /// Returns the calls in progress that the end of the process would cut.
    pub(super) fn cut_by_stop(&self, proc: Proc) -> Vec<usize> {
        match proc {
            Proc::Entry(i) => self.oracle.open_at(i),
            Proc::Agent(i) => {
                let fault_free = self.is_fault_free();
                let here = |call: &usize| {
                    let record = &self.oracle.calls[*call];
                    let run = record.run.or(record.runs.last().copied());
                    run.is_some_and(|r| {
                        let run = &self.oracle.runs[r];
                        let live = self.upstreams[i].active.contains_key(&run.generation);
                        live || (fault_free && run.agent == i && record.next < run.emitted)
                    })
                };
                self.oracle.open().filter(here).collect()
            }
        }
    }

    /// Returns whether no fault was injected recently and none is in effect.
    pub(super) fn is_fault_free(&self) -> bool {
        let frozen = self.entries.iter().any(|e| e.frozen.is_some());
        self.net.is_reliable() && !frozen && self.now - self.last_fault > FAULT_FREE_SPAN
    }
}
