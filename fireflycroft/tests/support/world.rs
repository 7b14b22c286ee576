//! The fleet in one process and in virtual time, driven step by step.

mod callers;
mod messages;
mod processes;
mod services;

use super::fleet::{self, AGENTS, ENTRIES, Proc};
use super::link::{MS, Net};
use super::mutant::Mutant;
use super::op::Op;
use super::oracle::{Fault, Oracle};
use super::platform::{Platform, PlatformMode};
use super::rng::Rng;
use super::upstream::{Mood, Upstream};
use fireflycroft::{
    Agent, AgentEvent, CallId, ClaimOp, ConfigVersion, Demand, Digest, Entry, EntryEvent, Envelope,
    GenerationId, InForce, MemberState, RequestId, Time, Work,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time between ticks.
const TICK: u64 = 100 * MS;

/// Time without any fault before a stop is blamed for what it cut.
const CALM: u64 = 8_000 * MS;

/// Time after all is mended within which every call must end.
const END_BOUND: u64 = 60_000 * MS;

/// Time after that within which every table must be empty.
const DRAIN_BOUND: u64 = 65_000 * MS;

/// One process and its shell.
#[derive(Clone, Debug)]
struct Node<C, E> {
    core: C,
    alive: bool,
    life: u64,
    born: u64,
    frozen: Option<u64>,
    inbox: Vec<E>,
    /// Told to stop at that time.
    leaving: Option<u64>,
    config: InForce,
}

impl<C, E> Node<C, E> {
    fn new(core: C, life: u64, born: u64) -> Self {
        Self {
            core,
            alive: true,
            life,
            born,
            frozen: None,
            inbox: Vec::new(),
            leaving: None,
            config: InForce::default(),
        }
    }

    fn local(&self, now: u64) -> Time {
        Time(now - self.born)
    }

    fn works(&self) -> bool {
        self.alive && self.frozen.is_none()
    }
}

/// What is to happen at a time.
#[derive(Clone, Debug)]
enum Due {
    Packet(SocketAddr, Box<Envelope>),
    Tick,
    Rebirth(Proc),
    Entry(usize, u64, EntryEvent),
    Agent(usize, u64, AgentEvent),
    Claim(PlatformCall),
    Begin(usize, u64, Box<RunOrder>),
    Emit(usize, GenerationId, u64),
    Reattach(usize, GenerationId),
    UpstreamUp(usize),
    Config { to: Proc, life: u64, from: Proc },
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
    life: u64,
    call: CallId,
    key: Digest,
    op: ClaimOp,
    /// When the answer comes; `None` when it is lost.
    answer: Option<u64>,
}

/// The fleet with all that surrounds it.
#[derive(Clone, Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) oracle: Oracle,
    pub(crate) net: Net,
    pub(crate) platform: Platform,
    /// Events of any kind that were carried out.
    pub(crate) events: u64,
    mutant: Mutant,
    rng: Rng,
    entries: Vec<Node<Entry, EntryEvent>>,
    agents: Vec<Node<Agent, AgentEvent>>,
    upstreams: Vec<Upstream>,
    due: BTreeMap<(u64, u64), Due>,
    drawn: u64,
    /// Callers take nothing of what they are given.
    stalled: bool,
    /// Last time that anything was broken.
    troubled: u64,
    /// Highest configuration that any process was given.
    head: u64,
    /// Generation that each reader asked for last.
    wanted: BTreeMap<RequestId, GenerationId>,
    /// Offers that reached an agent after it was told to leave.
    too_late: BTreeSet<(usize, u64, RequestId, u32)>,
    /// Configuration that rode on the first copy of each offer to arrive.
    offered: BTreeMap<(RequestId, u32), ConfigVersion>,
    /// Offer that a reservation was made for.
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
            due: BTreeMap::new(),
            drawn: 0,
            stalled: false,
            troubled: 0,
            head: 1,
            wanted: BTreeMap::new(),
            too_late: BTreeSet::new(),
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
            world.introduce(entry);
        }
        world.push(0, Due::Tick);
        world
    }

    /// What the oracle found wrong.
    pub(crate) fn faults(&self) -> &[Fault] {
        &self.oracle.faults
    }

    /// Carries out one step.
    pub(crate) fn apply(&mut self, op: &Op) {
        self.events += 1;
        match *op {
            Op::Submit(entry, ask) => {
                self.submit(entry, ask);
            }
            Op::Twins(a, b, ask) => {
                self.submit(a, ask);
                self.submit(b, ask);
            }
            Op::Again(call, entry) => self.again(call, entry),
            Op::Resume { call, entry, back } => self.resume_one(call, entry, back),
            Op::Steal { call, entry } => {
                if let Some(call) = self.pick(call) {
                    let owner = self.oracle.calls[call].ask.workspace;
                    self.steal(call, entry, (owner + 1) % fleet::WORKSPACES);
                }
            }
            Op::Gone(call) => {
                if let Some(call) = self.pick(call) {
                    self.leave_caller(call);
                }
            }
            Op::Advance(millis) => self.advance(millis),
            Op::Heal => self.heal(),
            _ => self.trouble(op),
        }
    }

    fn trouble(&mut self, op: &Op) {
        self.troubled = self.now;
        match *op {
            Op::Weather(weather) => self.net.weather = weather,
            Op::Cut(from, to) => self.net.cut(from.addr(), to.addr()),
            Op::Join(from, to) => self.net.join(from.addr(), to.addr()),
            Op::Kill(proc) => self.kill(proc),
            Op::Freeze(proc) => self.freeze(proc),
            Op::Thaw(proc) => self.thaw(proc),
            Op::Leave(proc) => self.leave(proc),
            Op::Stay(agent) => self.stay(agent),
            Op::Upstream(agent, mood) => self.set_mood(agent, mood),
            Op::Crash(agent) => self.crash(agent),
            Op::Platform(mode) => self.platform.mode = mode,
            Op::Config { to, version, other } => {
                self.head = self.head.max(version);
                self.configure(to, &fleet::config(version, other));
            }
            Op::Member {
                entry,
                agent,
                state,
            } => self.tell_member(entry, agent, state),
            _ => {}
        }
    }

    /// Lets time go on.
    pub(crate) fn advance(&mut self, millis: u64) {
        let until = self.now + millis * MS;
        while let Some(next) = self.due.first_entry() {
            if next.key().0 > until {
                break;
            }
            let ((at, _), due) = next.remove_entry();
            self.now = at;
            self.events += 1;
            self.carry_out(due);
        }
        self.now = until;
    }

    /// Lets time go on until something holds, for at most that long.
    pub(crate) fn advance_until(&mut self, millis: u64, holds: impl Fn(&Self) -> bool) {
        let until = self.now + millis * MS;
        while !holds(self) {
            assert!(self.now < until, "it did not come to hold");
            self.advance(10);
        }
    }

    fn push(&mut self, delay: u64, due: Due) {
        self.drawn += 1;
        self.due.insert((self.now + delay, self.drawn), due);
    }

    fn carry_out(&mut self, due: Due) {
        match due {
            Due::Packet(to, envelope) => self.deliver(to, *envelope),
            Due::Tick => self.tick(),
            Due::Rebirth(proc) => self.rebirth(proc),
            Due::Entry(i, life, event) => {
                if self.entries[i].life == life {
                    self.entry(i, event);
                }
            }
            Due::Agent(i, life, event) => {
                if self.agents[i].life == life {
                    self.agent(i, event);
                }
            }
            Due::Claim(call) => self.claim_effect(call),
            Due::Begin(agent, life, order) => {
                if self.agents[agent].life == life && self.agents[agent].alive {
                    self.begin(agent, *order);
                }
            }
            Due::Emit(agent, generation, epoch) => self.emit(agent, generation, epoch),
            Due::Reattach(agent, generation) => self.reattach(agent, generation),
            Due::UpstreamUp(agent) => self.upstream_up(agent),
            Due::Config { to, life, from } => self.give_config(to, life, from),
            Due::Member(entry, agent, state) => self.tell_member(entry, agent, state),
        }
    }

    fn tick(&mut self) {
        self.push(TICK, Due::Tick);
        for i in 0..ENTRIES {
            if self.mutant != Mutant::NoTicks {
                self.entry(i, EntryEvent::Tick);
            }
        }
        for i in 0..AGENTS {
            self.agent(i, AgentEvent::Tick);
        }
        for proc in Proc::all() {
            self.stop_if_idle(proc);
        }
    }

    /// Mends all that is broken.
    pub(crate) fn heal(&mut self) {
        self.net.heal();
        self.platform.mode = PlatformMode::Up;
        for agent in 0..AGENTS {
            self.set_mood(agent, Mood::Good);
            self.set_pause(agent, 0);
        }
        for proc in Proc::all() {
            self.thaw(proc);
        }
        self.head += 1;
        for proc in Proc::all() {
            self.configure(proc, &fleet::config(self.head, false));
        }
        for entry in 0..ENTRIES {
            self.introduce(entry);
        }
    }

    /// Mends all, lets time pass and checks that nothing hangs.
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
            self.oracle.fault(0, format!("calls {open:?} hang"));
        }
    }

    fn check_drained(&mut self) {
        for i in 0..ENTRIES {
            let core = &self.entries[i].core;
            let held: u32 = core.router().agents().map(|a| a.outstanding).sum();
            if core.calls() > 0 || !core.is_idle() || held > 0 || core.buffered_bytes() > 0 {
                let text = format!("entry {i} holds {} calls, {held} shares", core.calls());
                self.oracle.fault(0, text);
            }
        }
        for i in 0..AGENTS {
            let load = self.agents[i].core.load();
            let idle = self.agents[i].core.is_idle();
            if !idle || load.running > 0 || load.queued > 0 {
                let text = format!("agent {i} holds {load:?}, idle: {idle}");
                self.oracle.fault(0, text);
            }
        }
    }
}
