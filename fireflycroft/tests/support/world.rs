//! The simulated fleet, run in one process and in virtual time.

mod callers;
mod messages;
mod processes;
mod services;

use super::fleet::{self, AGENTS, ENTRIES, Proc};
use super::link::{MS, Net};
use super::mutant::Mutant;
use super::op::Op;
use super::oracle::{Oracle, Violation};
use super::platform::{Platform, PlatformMode};
use super::rng::Rng;
use super::upstream::{Upstream, UpstreamMode};
use fireflycroft::{
    ActiveConfig, Agent, AgentEvent, CallId, ClaimOp, ConfigVersion, Demand, Digest, Entry,
    EntryEvent, Envelope, GenerationId, MemberState, RequestId, Time, Work,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time between ticks.
const TICK: u64 = 100 * MS;

/// Time without injected faults after which a stop also counts as cutting calls
/// with undelivered tokens.
const FAULT_FREE_SPAN: u64 = 8_000 * MS;

/// Time after all faults are repaired within which every call must end.
const END_BOUND: u64 = 60_000 * MS;

/// Further time within which every table must be empty.
const DRAIN_BOUND: u64 = 65_000 * MS;

/// A process: its core and the state of its shell.
#[derive(Clone, Debug)]
struct Node<C, E> {
    core: C,
    alive: bool,
    incarnation: u64,
    started_at: u64,
    frozen: Option<u64>,
    inbox: Vec<E>,
    /// Time of the order to leave.
    leaving: Option<u64>,
    config: ActiveConfig,
}

impl<C, E> Node<C, E> {
    fn new(core: C, incarnation: u64, started_at: u64) -> Self {
        Self {
            core,
            alive: true,
            incarnation,
            started_at,
            frozen: None,
            inbox: Vec::new(),
            leaving: None,
            config: ActiveConfig::default(),
        }
    }

    fn local_time(&self, now: u64) -> Time {
        Time(now - self.started_at)
    }

    fn is_running(&self) -> bool {
        self.alive && self.frozen.is_none()
    }
}

/// An event scheduled for a time.
#[derive(Clone, Debug)]
enum ScheduledEvent {
    Packet(SocketAddr, Box<Envelope>),
    Tick,
    Restart(Proc),
    Entry(usize, u64, EntryEvent),
    Agent(usize, u64, AgentEvent),
    Claim(PlatformCall),
    Begin(usize, u64, Box<RunOrder>),
    Emit(usize, GenerationId, u64),
    Reattach(usize, GenerationId),
    UpstreamUp(usize),
    Config {
        to: Proc,
        incarnation: u64,
        from: Proc,
    },
    Member(usize, usize, MemberState),
}

#[derive(Clone, Debug)]
struct RunOrder {
    generation: GenerationId,
    request: RequestId,
    demand: Demand,
    work: Work,
}

#[derive(Clone, Debug)]
struct PlatformCall {
    entry: usize,
    incarnation: u64,
    call: CallId,
    key: Digest,
    op: ClaimOp,
    /// Time of the answer; `None` if it is lost.
    answer: Option<u64>,
}

/// The fleet and its simulated environment.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) oracle: Oracle,
    pub(crate) net: Net,
    pub(crate) platform: Platform,
    /// Number of executed events and steps.
    pub(crate) events: u64,
    mutant: Mutant,
    rng: Rng,
    entries: Vec<Node<Entry, EntryEvent>>,
    agents: Vec<Node<Agent, AgentEvent>>,
    upstreams: Vec<Upstream>,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    sequence: u64,
    /// Upstreams state their software versions.
    pub(crate) states_versions: bool,
    /// Callers don't consume their tokens.
    callers_stalled: bool,
    /// Time of the last injected fault.
    last_fault: u64,
    /// Highest configuration version sent to any process.
    highest_version: u64,
    /// Last generation that each reader attached to.
    awaited: BTreeMap<RequestId, GenerationId>,
    /// Offers that reached an agent after its order to leave.
    offered_after_leave: BTreeSet<(usize, u64, RequestId, u32)>,
    /// Configuration version carried by the first received copy of each offer.
    offered: BTreeMap<(RequestId, u32), ConfigVersion>,
    /// Offer for which each reservation was made.
    offer_of: BTreeMap<GenerationId, (RequestId, u32)>,
}

impl World {
    pub(crate) fn new(seed: u64, mutant: Mutant) -> Self {
        let start = 1_000 * MS;
        let entry = |i| Node::new(fleet::new_entry(i, 0), 0, start);
        let agent = |i| Node::new(fleet::new_agent(i, 0), 0, start);
        let mut world = Self {
            now: start,
            oracle: Oracle::default(),
            net: Net::default(),
            platform: Platform::default(),
            events: 0,
            mutant,
            rng: Rng::new(seed),
            entries: (0..ENTRIES).map(entry).collect(),
            agents: (0..AGENTS).map(agent).collect(),
            upstreams: vec![Upstream::default(); AGENTS],
            queue: BTreeMap::new(),
            sequence: 0,
            states_versions: true,
            callers_stalled: false,
            last_fault: 0,
            highest_version: 1,
            awaited: BTreeMap::new(),
            offered_after_leave: BTreeSet::new(),
            offered: BTreeMap::new(),
            offer_of: BTreeMap::new(),
        };
        for i in 0..AGENTS {
            world.upstream_up(i);
        }
        for proc in Proc::all() {
            world.configure(proc, &fleet::config(1, false));
        }
        for entry in 0..ENTRIES {
            world.announce_agents(entry);
        }
        world.schedule(0, ScheduledEvent::Tick);
        world
    }

    /// Returns the violations that the oracle found.
    pub(crate) fn violations(&self) -> &[Violation] {
        &self.oracle.violations
    }

    /// Executes one step.
    pub(crate) fn apply(&mut self, op: &Op) {
        self.events += 1;
        match *op {
            Op::Submit(entry, spec) => {
                self.submit(entry, spec);
            }
            Op::SubmitTwice(a, b, spec) => {
                self.submit(a, spec);
                self.submit(b, spec);
            }
            Op::Resend(call, entry) => self.resend(call, entry),
            Op::Resume { call, entry, back } => self.resume_indexed(call, entry, back),
            Op::ResumeAsOtherWorkspace { call, entry } => {
                if let Some(call) = self.pick(call) {
                    let owner = self.oracle.calls[call].spec.workspace;
                    self.resume_as_other_workspace(call, entry, (owner + 1) % fleet::WORKSPACES);
                }
            }
            Op::CallerGone(call) => {
                if let Some(call) = self.pick(call) {
                    self.disconnect_caller(call);
                }
            }
            Op::Advance(millis) => self.advance(millis),
            Op::Heal => self.heal(),
            _ => self.apply_fault(op),
        }
    }

    fn apply_fault(&mut self, op: &Op) {
        self.last_fault = self.now;
        match *op {
            Op::NetworkMode(mode) => self.net.mode = mode,
            Op::Cut(from, to) => self.net.cut(from.addr(), to.addr()),
            Op::Reconnect(from, to) => self.net.reconnect(from.addr(), to.addr()),
            Op::Kill(proc) => self.kill(proc),
            Op::Freeze(proc) => self.freeze(proc),
            Op::Thaw(proc) => self.thaw(proc),
            Op::Leave(proc) => self.leave(proc),
            Op::CancelLeave(agent) => self.cancel_leave(agent),
            Op::Upstream(agent, mood) => self.set_upstream_mode(agent, mood),
            Op::Crash(agent) => self.crash(agent),
            Op::Platform(mode) => self.platform.mode = mode,
            Op::Config { to, version, other } => {
                self.highest_version = self.highest_version.max(version);
                self.configure(to, &fleet::config(version, other));
            }
            Op::Member {
                entry,
                agent,
                state,
            } => self.announce_member(entry, agent, state),
            _ => {}
        }
    }

    /// Advances time and executes the events that fall due.
    pub(crate) fn advance(&mut self, millis: u64) {
        let until = self.now + millis * MS;
        while let Some(next) = self.queue.first_entry() {
            if next.key().0 > until {
                break;
            }
            let ((at, _), queue) = next.remove_entry();
            self.now = at;
            self.events += 1;
            self.execute(queue);
        }
        self.now = until;
    }

    /// Advances time until `holds`, for at most that long.
    pub(crate) fn advance_until(&mut self, millis: u64, holds: impl Fn(&Self) -> bool) {
        let until = self.now + millis * MS;
        while !holds(self) {
            assert!(self.now < until, "the condition did not hold in time");
            self.advance(10);
        }
    }

    fn schedule(&mut self, delay: u64, queue: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), queue);
    }

    fn execute(&mut self, queue: ScheduledEvent) {
        match queue {
            ScheduledEvent::Packet(to, envelope) => self.deliver(to, *envelope),
            ScheduledEvent::Tick => self.tick(),
            ScheduledEvent::Restart(proc) => self.restart(proc),
            ScheduledEvent::Entry(i, incarnation, event) => {
                if self.entries[i].incarnation == incarnation {
                    self.drive_entry(i, event);
                }
            }
            ScheduledEvent::Agent(i, incarnation, event) => {
                if self.agents[i].incarnation == incarnation {
                    self.drive_agent(i, event);
                }
            }
            ScheduledEvent::Claim(call) => self.apply_claim(call),
            ScheduledEvent::Begin(agent, incarnation, order) => {
                if self.agents[agent].incarnation == incarnation && self.agents[agent].alive {
                    self.begin(agent, *order);
                }
            }
            ScheduledEvent::Emit(agent, generation, epoch) => self.emit(agent, generation, epoch),
            ScheduledEvent::Reattach(agent, generation) => self.reattach(agent, generation),
            ScheduledEvent::UpstreamUp(agent) => self.upstream_up(agent),
            ScheduledEvent::Config {
                to,
                incarnation,
                from,
            } => self.deliver_config(to, incarnation, from),
            ScheduledEvent::Member(entry, agent, state) => {
                self.announce_member(entry, agent, state);
            }
        }
    }

    fn tick(&mut self) {
        self.schedule(TICK, ScheduledEvent::Tick);
        for i in 0..ENTRIES {
            if self.mutant != Mutant::NoTicks {
                self.drive_entry(i, EntryEvent::Tick);
            }
        }
        for i in 0..AGENTS {
            self.drive_agent(i, AgentEvent::Tick);
        }
        for proc in Proc::all() {
            self.stop_if_idle(proc);
        }
    }

    /// Repairs all faults.
    pub(crate) fn heal(&mut self) {
        self.net.heal();
        self.platform.mode = PlatformMode::Up;
        for agent in 0..AGENTS {
            self.set_upstream_mode(agent, UpstreamMode::Serve);
            self.set_pause(agent, 0);
        }
        for proc in Proc::all() {
            self.thaw(proc);
        }
        self.highest_version += 1;
        for proc in Proc::all() {
            self.configure(proc, &fleet::config(self.highest_version, false));
        }
        for entry in 0..ENTRIES {
            self.announce_agents(entry);
        }
    }

    /// Repairs all faults, then checks that every call ends and no state remains.
    pub(crate) fn settle(&mut self) {
        self.heal();
        self.advance(4_000);
        self.heal();
        self.advance(END_BOUND / MS);
        self.check_answered();
        self.advance(DRAIN_BOUND / MS);
        self.check_drained();
    }

    fn check_answered(&mut self) {
        let open: Vec<usize> = self.oracle.open().collect();
        if !open.is_empty() {
            self.oracle.violation(0, format!("calls {open:?} hang"));
        }
    }

    fn check_drained(&mut self) {
        for i in 0..ENTRIES {
            let core = &self.entries[i].core;
            let held: u32 = core.router().agents().map(|a| a.outstanding).sum();
            if core.calls() > 0 || !core.is_idle() || held > 0 || core.buffered_bytes() > 0 {
                let text = format!("entry {i} holds {} calls, {held} shares", core.calls());
                self.oracle.violation(0, text);
            }
        }
        for i in 0..AGENTS {
            let load = self.agents[i].core.load();
            let idle = self.agents[i].core.is_idle();
            if !idle || load.running > 0 || load.queued > 0 {
                let text = format!("agent {i} holds {load:?}, idle: {idle}");
                self.oracle.violation(0, text);
            }
        }
    }
}
