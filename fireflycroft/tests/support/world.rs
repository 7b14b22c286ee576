//! The fleet in one process and in virtual time, driven step by step.

use super::fleet::{self, AGENTS, Ask, ENTRIES, Proc};
use super::link::{MS, Net, Weather};
use super::mutant::Mutant;
use super::op::Op;
use super::oracle::{Fault, Oracle, Outcome, RunStart, token};
use super::platform::{Platform, PlatformMode};
use super::rng::Rng;
use super::upstream::{Mood, Turn, Upstream};
use fireflycroft::{
    Agent, AgentAction, AgentEvent, CallId, ClaimAnswer, ClaimOp, Code, Config, ConfigVersion,
    Demand, Digest, Entry, EntryAction, EntryEvent, Envelope, Finish, GenerationId, InForce,
    MemberRecord, MemberState, Message, Name, Reply, RequestId, ResumePoint, Standing, Time, Work,
};
use proptest::sample::Index;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

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
    /// Last time that anything was broken.
    troubled: u64,
    /// Highest configuration that any process was given.
    head: u64,
    /// Generation that each reader asked for last.
    wanted: BTreeMap<RequestId, GenerationId>,
    /// Offers that reached an agent after it was told to leave.
    too_late: BTreeSet<(usize, u64, RequestId, u32)>,
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
            troubled: 0,
            head: 1,
            wanted: BTreeMap::new(),
            too_late: BTreeSet::new(),
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
            Op::Steal { call, entry } => self.steal(call, entry),
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

    // What came of it.

    pub(crate) fn outcome(&self, call: usize) -> Option<Outcome> {
        self.oracle.calls[call].outcome
    }

    /// Number of the token that the call is given next.
    pub(crate) fn next(&self, call: usize) -> u64 {
        self.oracle.calls[call].next
    }

    /// Runs that were started for the call.
    pub(crate) fn runs(&self, call: usize) -> usize {
        self.oracle.calls[call].runs.len()
    }

    /// Agent that ran the call last.
    pub(crate) fn agent_of(&self, call: usize) -> Option<usize> {
        let run = self.oracle.calls[call].runs.last()?;
        Some(self.oracle.runs[*run].agent)
    }

    // Callers.

    /// A caller asks; `None` when the entry does not answer.
    pub(crate) fn submit(&mut self, entry: usize, ask: Ask) -> Option<usize> {
        self.submit_from(entry, ask, None)
    }

    /// A caller goes on at a point of an earlier call.
    pub(crate) fn resume(&mut self, entry: usize, earlier: usize, next: u64) -> Option<usize> {
        let record = &self.oracle.calls[earlier];
        let point = ResumePoint {
            next,
            ..record.point.clone()?
        };
        let ask = record.ask;
        self.submit_from(entry, ask, Some((earlier, point)))
    }

    pub(crate) fn submit_from(
        &mut self,
        entry: usize,
        ask: Ask,
        from: Option<(usize, ResumePoint)>,
    ) -> Option<usize> {
        if !self.entries[entry].works() {
            return None;
        }
        let mut submission = ask.submission();
        submission.resume = from.as_ref().map(|(_, point)| point.clone());
        let from = from.map(|(call, point)| (call, point.next));
        let call = self.oracle.asked(self.now, entry, ask, from);
        let event = EntryEvent::Submit(CallId(call as u64), Box::new(submission));
        self.entry(entry, event);
        Some(call)
    }

    pub(crate) fn leave_caller(&mut self, call: usize) {
        let record = &mut self.oracle.calls[call];
        if record.outcome.is_none() {
            record.outcome = Some(Outcome::Gone);
            let entry = record.entry;
            self.entry(entry, EntryEvent::CallerGone(CallId(call as u64)));
        }
    }

    fn pick(&self, index: Index) -> Option<usize> {
        let calls = self.oracle.calls.len();
        (calls > 0).then(|| index.index(calls))
    }

    fn again(&mut self, call: Index, entry: usize) {
        if let Some(call) = self.pick(call) {
            let ask = self.oracle.calls[call].ask;
            self.submit(entry, ask);
        }
    }

    fn resume_one(&mut self, call: Index, entry: usize, back: bool) {
        if let Some(call) = self.pick(call) {
            let next = self.oracle.calls[call].next;
            self.resume(entry, call, if back { next / 2 } else { next });
        }
    }

    fn steal(&mut self, call: Index, entry: usize) {
        let Some(call) = self.pick(call) else {
            return;
        };
        let record = &self.oracle.calls[call];
        let Some(point) = record.point.clone() else {
            return;
        };
        let mut ask = record.ask;
        ask.workspace = (ask.workspace + 1) % fleet::WORKSPACES;
        self.submit_from(entry, ask, Some((call, point)));
    }

    fn reply(&mut self, entry: usize, call: CallId, reply: &Reply) {
        let index = usize::try_from(call.0).unwrap();
        self.oracle.replied(self.now, index, reply);
        if let Reply::Tokens(chunk) = reply {
            let delay = self.rng.below(20) * MS;
            let life = self.entries[entry].life;
            let taken = EntryEvent::Taken(call, chunk.end());
            self.push(delay, Due::Entry(entry, life, taken));
        }
    }

    // Time.

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

    // Processes.

    fn entry(&mut self, i: usize, event: EntryEvent) {
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
        node.core.on_event(node.local(self.now), event, &mut out);
        if let Some(call) = submitted {
            self.number(call, &out);
        }
        for action in out {
            self.entry_action(i, action);
        }
        self.check_config(Proc::Entry(i));
    }

    /// Reads from the first message sent which request id the call has.
    fn number(&mut self, call: CallId, out: &[EntryAction]) {
        let request = out.iter().find_map(|action| match action {
            EntryAction::Send(_, Message::Offer { request, .. }) => Some(*request),
            EntryAction::Send(_, Message::Attach { reader, .. }) => Some(*reader),
            _ => None,
        });
        if let Some(request) = request {
            let call = usize::try_from(call.0).unwrap();
            self.oracle.numbered(call, request);
        }
    }

    fn entry_action(&mut self, i: usize, action: EntryAction) {
        let from = Proc::Entry(i);
        match action {
            EntryAction::Send(to, message) => self.send(from, to, message),
            EntryAction::Broadcast(message) => self.broadcast(from, &message),
            EntryAction::Reply(call, reply) => {
                if self.mutant == Mutant::HandOnTwice && matches!(reply, Reply::Tokens(_)) {
                    self.reply(i, call, &reply);
                }
                self.reply(i, call, &reply);
            }
            EntryAction::Claim(call, key, op) => self.claim(i, call, key, op),
            EntryAction::PullConfig(addr) => self.pull_config(from, addr),
            EntryAction::Note(_) => {}
        }
    }

    fn agent(&mut self, i: usize, event: AgentEvent) {
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
        self.note_offer(i, &event);
        let node = &mut self.agents[i];
        let mut out = Vec::new();
        node.core.on_event(node.local(self.now), event, &mut out);
        for action in out {
            self.agent_action(i, action);
        }
    }

    fn note_offer(&mut self, i: usize, event: &AgentEvent) {
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
        let known = self.offer_of.values().any(|o| *o == (request, attempt));
        if node.leaving.is_some() && !known {
            self.too_late.insert((i, node.life, request, attempt));
        }
    }

    fn agent_action(&mut self, i: usize, action: AgentAction) {
        let from = Proc::Agent(i);
        let life = self.agents[i].life;
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
                self.push(MS, Due::Begin(i, life, Box::new(order)));
            }
            AgentAction::Resume { generation, .. } => {
                self.push(5 * MS, Due::Reattach(i, generation));
            }
            AgentAction::Stop(generation) => {
                self.upstreams[i].live.remove(&generation);
            }
            AgentAction::PullConfig(addr) => self.pull_config(from, addr),
            AgentAction::Note(_) => {}
        }
    }

    /// A process loses all state and comes back after a while.
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
                self.upstreams[i].live.clear();
            }
        }
        let delay = self.rng.below(3_000) * MS;
        self.push(delay, Due::Rebirth(proc));
    }

    fn rebirth(&mut self, proc: Proc) {
        let now = self.now;
        match proc {
            Proc::Entry(i) => {
                let life = self.entries[i].life + 1;
                self.entries[i] = Node::new(fleet::new_entry(i, life), life, now);
                self.introduce(i);
            }
            Proc::Agent(i) => {
                let life = self.agents[i].life + 1;
                self.agents[i] = Node::new(fleet::new_agent(i, life), life, now);
                if self.upstreams[i].up {
                    self.agent(i, AgentEvent::UpstreamUp);
                }
                for entry in 0..ENTRIES {
                    let delay = self.rng.below(1_500) * MS;
                    self.push(delay, Due::Member(entry, i, MemberState::Alive));
                }
            }
        }
        let version = 1 + self.rng.below(self.head);
        self.configure(proc, &fleet::config(version, false));
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

    /// Goes on with what came meanwhile; its timers may fire first.
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
                    self.entry(i, EntryEvent::Tick);
                }
                for event in std::mem::take(&mut self.entries[i].inbox) {
                    self.entry(i, event);
                }
            }
            Proc::Agent(i) => {
                if self.agents[i].frozen.take().is_none() {
                    return;
                }
                if timers_first {
                    self.agent(i, AgentEvent::Tick);
                }
                for event in std::mem::take(&mut self.agents[i].inbox) {
                    self.agent(i, event);
                }
            }
        }
    }

    /// A planned stop: the process ends once it is idle.
    pub(crate) fn leave(&mut self, proc: Proc) {
        let now = self.now;
        match proc {
            Proc::Entry(i) if self.entries[i].works() => {
                self.entries[i].leaving.get_or_insert(now);
                self.entry(i, EntryEvent::Leave);
            }
            Proc::Agent(i) if self.agents[i].works() => {
                self.agents[i].leaving.get_or_insert(now);
                if self.mutant != Mutant::IgnoreLeave {
                    self.agent(i, AgentEvent::Leave);
                }
            }
            _ => {}
        }
    }

    fn stay(&mut self, agent: usize) {
        if self.agents[agent].works() {
            self.agents[agent].leaving = None;
            self.agent(agent, AgentEvent::Stay);
        }
    }

    fn stop_if_idle(&mut self, proc: Proc) {
        let at_once = self.mutant == Mutant::StopAtOnce;
        let ready = match proc {
            Proc::Entry(i) => {
                let node = &self.entries[i];
                node.works() && node.leaving.is_some() && (at_once || node.core.is_idle())
            }
            Proc::Agent(i) => {
                let node = &self.agents[i];
                node.works() && node.leaving.is_some() && (at_once || node.core.is_idle())
            }
        };
        if ready {
            let cut = self.cut_by_stop(proc);
            self.oracle.stopped(proc, &cut);
            self.kill(proc);
        }
    }

    /// Calls in progress that the end of the process would cut.
    fn cut_by_stop(&self, proc: Proc) -> Vec<usize> {
        match proc {
            Proc::Entry(i) => self.oracle.open_at(i),
            Proc::Agent(i) => {
                let calm = self.is_calm();
                let here = |call: &usize| {
                    let record = &self.oracle.calls[*call];
                    let run = record.run.or(record.runs.last().copied());
                    run.is_some_and(|r| {
                        let run = &self.oracle.runs[r];
                        let live = self.upstreams[i].live.contains_key(&run.generation);
                        live || (calm && run.agent == i && record.next < run.emitted)
                    })
                };
                self.oracle.open().filter(here).collect()
            }
        }
    }

    /// Whether nothing has been broken for a while.
    fn is_calm(&self) -> bool {
        let frozen = self.entries.iter().any(|e| e.frozen.is_some());
        self.net.is_calm() && !frozen && self.now - self.troubled > CALM
    }

    // Messages.

    fn config_of(&self, proc: Proc) -> ConfigVersion {
        match proc {
            Proc::Entry(i) => self.entries[i].core.config_version(),
            Proc::Agent(i) => self.agents[i].config.version(),
        }
    }

    fn send(&mut self, from: Proc, to: SocketAddr, message: Message) {
        match &message {
            Message::Start {
                request: reader,
                generation,
                ..
            }
            | Message::Attach {
                reader, generation, ..
            } => {
                self.wanted.insert(*reader, *generation);
            }
            _ => {}
        }
        let (life, load) = match from {
            Proc::Entry(i) => (self.entries[i].life, None),
            Proc::Agent(i) => (self.agents[i].life, Some(self.agents[i].core.load())),
        };
        let envelope = Envelope {
            from: from.peer(life),
            config: self.config_of(from),
            load,
            body: self.mutate(message),
        };
        for delay in self.net.delays(&mut self.rng, from.addr(), to) {
            self.push(delay, Due::Packet(to, Box::new(envelope.clone())));
        }
    }

    fn broadcast(&mut self, from: Proc, message: &Message) {
        for to in Proc::all().filter(|to| *to != from) {
            self.send(from, to.addr(), message.clone());
        }
    }

    fn deliver(&mut self, to: SocketAddr, envelope: Envelope) {
        match Proc::of(to) {
            Proc::Entry(i) => self.entry(i, EntryEvent::Message(Box::new(envelope))),
            Proc::Agent(i) => self.agent(i, AgentEvent::Message(Box::new(envelope))),
        }
    }

    /// Corrupts a message as the seeded fault demands.
    fn mutate(&self, mut message: Message) -> Message {
        match (&mut message, self.mutant) {
            (
                Message::Tokens {
                    reader, generation, ..
                },
                Mutant::AnyGeneration,
            ) => {
                if let Some(wanted) = self.wanted.get(reader) {
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

    // Membership and configuration.

    fn introduce(&mut self, entry: usize) {
        for agent in 0..AGENTS {
            self.tell_member(entry, agent, MemberState::Alive);
        }
    }

    pub(crate) fn tell_member(&mut self, entry: usize, agent: usize, state: MemberState) {
        let record = MemberRecord {
            peer: Proc::Agent(agent).peer(self.agents[agent].life),
            data_centre: Name::from("dc"),
            state,
            turn: 0,
            serves: fleet::serves(agent),
        };
        self.entry(entry, EntryEvent::Member(record));
    }

    /// A process reads a configuration.
    pub(crate) fn configure(&mut self, proc: Proc, config: &Arc<Config>) {
        match proc {
            Proc::Entry(i) => {
                if self.mutant == Mutant::AnyConfig && self.config_of(proc) > config.version {
                    self.entries[i].core = fleet::new_entry(i, self.entries[i].life);
                }
                self.entry(i, EntryEvent::Config(config.clone()));
            }
            Proc::Agent(i) => {
                if !self.agents[i].works() {
                    return;
                }
                self.agents[i].config.adopt(config.clone());
                self.agent(i, AgentEvent::Config(config.version));
                self.check_config(proc);
            }
        }
    }

    fn check_config(&mut self, proc: Proc) {
        let (life, config) = match proc {
            Proc::Entry(i) => (self.entries[i].life, self.entries[i].core.config()),
            Proc::Agent(i) => (self.agents[i].life, self.agents[i].config.get()),
        };
        if let Some(config) = config {
            let (version, digest) = (config.version, config.digest);
            self.oracle.in_force(proc, life, version, digest);
        }
    }

    fn pull_config(&mut self, to: Proc, addr: SocketAddr) {
        let life = match to {
            Proc::Entry(i) => self.entries[i].life,
            Proc::Agent(i) => self.agents[i].life,
        };
        let from = Proc::of(addr);
        let there = self.net.delays(&mut self.rng, to.addr(), addr);
        let back = self.net.delays(&mut self.rng, addr, to.addr());
        if let (Some(there), Some(back)) = (there.first(), back.first()) {
            self.push(there + back, Due::Config { to, life, from });
        }
    }

    fn give_config(&mut self, to: Proc, life: u64, from: Proc) {
        let config = match from {
            Proc::Entry(i) if self.entries[i].works() => self.entries[i].core.config().cloned(),
            Proc::Agent(i) if self.agents[i].works() => self.agents[i].config.get().cloned(),
            _ => None,
        };
        let same_life = match to {
            Proc::Entry(i) => self.entries[i].life == life,
            Proc::Agent(i) => self.agents[i].life == life,
        };
        if let Some(config) = config.filter(|_| same_life) {
            self.configure(to, &config);
        }
    }

    // Platform.

    fn claim(&mut self, entry: usize, call: CallId, key: Digest, op: ClaimOp) {
        let plan = self.platform.plan(&mut self.rng);
        let life = self.entries[entry].life;
        if let Some(effect) = plan.effect {
            let answer = (!plan.lost).then_some(self.now + plan.answer);
            let call = PlatformCall {
                entry,
                life,
                call,
                key,
                op,
                answer,
            };
            self.push(effect, Due::Claim(call));
        }
        let answer = if plan.lost {
            ClaimAnswer::Lost
        } else if plan.effect.is_none() {
            ClaimAnswer::Unavailable
        } else {
            return;
        };
        let event = EntryEvent::Claim(call, answer);
        self.push(plan.answer, Due::Entry(entry, life, event));
    }

    fn claim_effect(&mut self, call: PlatformCall) {
        let is_write = !matches!(call.op, ClaimOp::Read);
        let mut answer = self.platform.apply(call.key, call.op);
        if self.mutant == Mutant::EveryClaimWon && is_write {
            answer = ClaimAnswer::Written;
        }
        if let Some(at) = call.answer {
            let event = EntryEvent::Claim(call.call, answer);
            let delay = at.saturating_sub(self.now);
            self.push(delay, Due::Entry(call.entry, call.life, event));
        }
    }

    // Upstreams.

    pub(crate) fn set_mood(&mut self, agent: usize, mood: Mood) {
        self.upstreams[agent].mood = mood;
    }

    /// Lets an upstream wait longer between tokens.
    pub(crate) fn set_pause(&mut self, agent: usize, millis: u64) {
        self.upstreams[agent].pause = millis;
    }

    /// Most bytes of answers that any agent keeps.
    pub(crate) fn most_bytes(&self) -> usize {
        let bytes = self.agents.iter().map(|a| a.core.bytes());
        bytes.max().unwrap_or(0)
    }

    fn begin(&mut self, agent: usize, order: RunOrder) {
        let life = self.agents[agent].life;
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
            self.push(MS, Due::Agent(agent, life, event));
            return;
        }
        let content = fleet::content_of(&order.work);
        let run = self.oracle.began(RunStart {
            agent,
            generation,
            request: order.request,
            workspace: order.demand.workspace,
            content,
        });
        self.check_leaving(agent, run, generation);
        self.upstreams[agent].begin(generation, run, content);
        self.push(5 * MS, Due::Emit(agent, generation, 0));
    }

    fn check_leaving(&mut self, agent: usize, run: usize, generation: GenerationId) {
        let node = &self.agents[agent];
        let Some(leaving) = node.leaving else {
            return;
        };
        let offer = self.offer_of.get(&generation);
        let late = offer.is_some_and(|(request, attempt)| {
            let offer = (agent, node.life, *request, *attempt);
            self.too_late.contains(&offer)
        });
        // The upstream takes a millisecond to begin.
        let since = (self.now - leaving).saturating_sub(MS);
        self.oracle.began_leaving(run, late, since);
    }

    fn emit(&mut self, agent: usize, generation: GenerationId, epoch: u64) {
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
                self.push(pause, Due::Emit(agent, generation, epoch));
            }
            Turn::Wait => self.push(200 * MS, Due::Emit(agent, generation, epoch)),
            Turn::Break => self.agent(agent, AgentEvent::Broken { generation }),
            Turn::Die => self.crash(agent),
            Turn::End => self.end(agent, generation),
        }
    }

    fn give_tokens(&mut self, agent: usize, generation: GenerationId, count: u64) {
        let Some(live) = self.upstreams[agent].live.get_mut(&generation) else {
            return;
        };
        let numbers = live.sent..live.sent + count;
        let tokens = numbers.map(|n| token(live.run, n, live.content)).collect();
        live.sent += count;
        self.oracle.runs[live.run].emitted = live.sent;
        self.agent(agent, AgentEvent::Tokens { generation, tokens });
    }

    fn end(&mut self, agent: usize, generation: GenerationId) {
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
        self.agent(agent, AgentEvent::Finished { generation, finish });
    }

    fn reattach(&mut self, agent: usize, generation: GenerationId) {
        let live = self.upstreams[agent].live.get_mut(&generation);
        match live {
            Some(live) if live.resumable => {
                live.epoch += 1;
                let epoch = live.epoch;
                self.push(MS, Due::Emit(agent, generation, epoch));
            }
            _ => {
                self.upstreams[agent].live.remove(&generation);
                self.agent(agent, AgentEvent::Lost { generation });
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
        self.agent(agent, AgentEvent::UpstreamDown);
        let delay = (300 + self.rng.below(1_500)) * MS;
        self.push(delay, Due::UpstreamUp(agent));
    }

    fn upstream_up(&mut self, agent: usize) {
        self.upstreams[agent].up = true;
        self.agent(agent, AgentEvent::UpstreamUp);
    }

    /// All agents but one, and no entry, hear that the content crashed upstreams.
    pub(crate) fn tell_agents_of_crashes(&mut self, but: usize, ask: &Ask, count: u8) {
        let content = ask.digest();
        for to in (0..AGENTS).filter(|a| *a != but).map(Proc::Agent) {
            self.send(
                Proc::Entry(0),
                to.addr(),
                Message::Crashes { content, count },
            );
        }
    }

    // The end.

    /// Mends all that is broken.
    pub(crate) fn heal(&mut self) {
        self.net.heal();
        self.platform.mode = PlatformMode::Up;
        for agent in 0..AGENTS {
            self.set_mood(agent, Mood::Good);
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
            if core.calls() > 0 || !core.is_idle() || held > 0 {
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

    /// The weather from now on.
    pub(crate) fn set_weather(&mut self, weather: Weather) {
        self.net.weather = weather;
    }
}
