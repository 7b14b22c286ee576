//! Messages, membership and configurations between the simulated processes.

use super::{ScheduledEvent, World};
use crate::support::fleet::{self, AGENTS, Proc};
use crate::support::mutant::Mutant;
use fireflycroft::{
    AgentEvent, Config, ConfigVersion, EntryEvent, Envelope, MemberRecord, MemberState, Message,
    Name, Standing,
};
use std::net::SocketAddr;
use std::sync::Arc;

impl World {
    pub(super) fn config_of(&self, proc: Proc) -> ConfigVersion {
        match proc {
            Proc::Entry(i) => self.entries[i].core.config_version(),
            Proc::Agent(i) => self.agents[i].config.version(),
        }
    }

    pub(crate) fn send(&mut self, from: Proc, to: SocketAddr, message: Message) {
        match &message {
            Message::Start {
                request: reader,
                generation,
                ..
            }
            | Message::Attach {
                reader, generation, ..
            } => {
                self.awaited.insert(*reader, *generation);
            }
            _ => {}
        }
        let (incarnation, load) = match from {
            Proc::Entry(i) => (self.entries[i].incarnation, None),
            Proc::Agent(i) => (self.agents[i].incarnation, Some(self.agents[i].core.load())),
        };
        let envelope = Envelope {
            from: from.peer(incarnation),
            config: self.config_of(from),
            load,
            body: self.mutate(message),
        };
        for delay in self.net.delays(&mut self.rng, from.addr(), to) {
            self.schedule(
                delay,
                ScheduledEvent::Packet(to, Box::new(envelope.clone())),
            );
        }
    }

    pub(super) fn broadcast(&mut self, from: Proc, message: &Message) {
        for to in Proc::all().filter(|to| *to != from) {
            self.send(from, to.addr(), message.clone());
        }
    }

    pub(super) fn deliver(&mut self, to: SocketAddr, envelope: Envelope) {
        match Proc::of(to) {
            Proc::Entry(i) => self.drive_entry(i, EntryEvent::Message(Box::new(envelope))),
            Proc::Agent(i) => self.drive_agent(i, AgentEvent::Message(Box::new(envelope))),
        }
    }

    /// Corrupts a message according to the injected fault.
    pub(super) fn mutate(&self, mut message: Message) -> Message {
        match (&mut message, self.mutant) {
            (
                Message::Tokens {
                    reader, generation, ..
                },
                Mutant::AnyGeneration,
            ) => {
                if let Some(wanted) = self.awaited.get(reader) {
                    *generation = *wanted;
                }
            }
            (
                Message::Attach {
                    generation,
                    workspace,
                    ..
                },
                Mutant::AnyWorkspace,
            ) => {
                let mut runs = self.oracle.runs.iter();
                if let Some(run) = runs.find(|r| r.generation == *generation) {
                    *workspace = run.workspace.clone();
                }
            }
            (Message::Stand { standing, .. }, Mutant::UnknownIsNotRun)
                if *standing == Standing::Unknown =>
            {
                *standing = Standing::NeverStarted;
            }
            _ => {}
        }
        message
    }

    /// Delivers the records of all agents to an entry.
    pub(crate) fn announce_agents(&mut self, entry: usize) {
        for agent in 0..AGENTS {
            self.announce_member(entry, agent, MemberState::Alive);
        }
    }

    pub(crate) fn announce_member(&mut self, entry: usize, agent: usize, state: MemberState) {
        let record = MemberRecord {
            peer: Proc::Agent(agent).peer(self.agents[agent].incarnation),
            data_centre: Name::from("dc"),
            state,
            revision: 0,
            serves: fleet::serves(agent),
        };
        self.drive_entry(entry, EntryEvent::Member(record));
    }

    /// Delivers a configuration to a process.
    pub(crate) fn configure(&mut self, proc: Proc, config: &Arc<Config>) {
        match proc {
            Proc::Entry(i) => {
                if self.mutant == Mutant::AnyConfig && self.config_of(proc) > config.version {
                    self.entries[i].core = fleet::new_entry(i, self.entries[i].incarnation);
                }
                self.drive_entry(i, EntryEvent::Config(config.clone()));
            }
            Proc::Agent(i) => {
                if !self.agents[i].is_running() {
                    return;
                }
                self.agents[i].config.adopt(config.clone());
                self.drive_agent(i, AgentEvent::Config(config.version));
                self.check_config(proc);
            }
        }
    }

    pub(super) fn check_config(&mut self, proc: Proc) {
        let (incarnation, config) = match proc {
            Proc::Entry(i) => (self.entries[i].incarnation, self.entries[i].core.config()),
            Proc::Agent(i) => (self.agents[i].incarnation, self.agents[i].config.get()),
        };
        if let Some(config) = config {
            let (version, digest) = (config.version, config.digest);
            self.oracle
                .record_config(proc, incarnation, version, digest);
        }
    }

    pub(super) fn pull_config(&mut self, to: Proc, addr: SocketAddr) {
        let incarnation = match to {
            Proc::Entry(i) => self.entries[i].incarnation,
            Proc::Agent(i) => self.agents[i].incarnation,
        };
        let from = Proc::of(addr);
        let there = self.net.delays(&mut self.rng, to.addr(), addr);
        let back = self.net.delays(&mut self.rng, addr, to.addr());
        if let (Some(there), Some(back)) = (there.first(), back.first()) {
            self.schedule(
                there + back,
                ScheduledEvent::Config {
                    to,
                    incarnation,
                    from,
                },
            );
        }
    }

    pub(super) fn deliver_config(&mut self, to: Proc, incarnation: u64, from: Proc) {
        let config = match from {
            Proc::Entry(i) if self.entries[i].is_running() => {
                self.entries[i].core.config().cloned()
            }
            Proc::Agent(i) if self.agents[i].is_running() => self.agents[i].config.get().cloned(),
            _ => None,
        };
        let same_incarnation = match to {
            Proc::Entry(i) => self.entries[i].incarnation == incarnation,
            Proc::Agent(i) => self.agents[i].incarnation == incarnation,
        };
        if let Some(config) = config.filter(|_| same_incarnation) {
            self.configure(to, &config);
        }
    }
}
